/*
 * Guards against a guarantee that is not reclaimed in time from borrowers,
 * also when the coordinator, the platform or an upstream fails meanwhile.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/judge.h"

/*
 * The maximum time of a reclaim: a checkpoint, one call timeout, one lease
 * term, and the scheduler's polling intervals.  If the coordinator is lost, a
 * peer must first detect that, claim every upstream and read the table.
 */
#define GRACE_MS 500
#define CALL_TIMEOUT_MS 1000
#define POLLING_MS 1500
#define RECLAIM_MAX_MS (GRACE_MS + CALL_TIMEOUT_MS + LEASE_TERM_MS + POLLING_MS)
#define TAKEOVER_MAX_MS 4000

static const char accounts[] =
	"[{\"name\": \"damodar\"}, {\"name\": \"teesta\", \"guarantee\": "
	"[{\"cell\": \"upstream\", \"count\": 2}]}]";

static const char claim_job[] =
	"{\"account\": \"teesta\", \"key\": \"claim\", \"parts\": 4, "
	"\"accelerators\": 4, \"run_ms\": 600000}";

/* Start a site whose four upstreams are all borrowed by damodar. */
static struct test_site *start_borrowed_site(uint32_t net)
{
	struct site_options o = {.net = net,
				 .domains = 1,
				 .instances = 2,
				 .workers = 4,
				 .accounts = accounts,
				 .cut_workers = true,
				 .cut_platform = true};
	struct test_site *s = site_start(&o);

	for (int i = 0; i < 8; i++) {
		char *body = g_strdup_printf(
			"{\"account\": \"damodar\", \"key\": \"b%d\", "
			"\"accelerators\": 4, \"run_ms\": 600000}",
			i);

		submit(s, 0, i % 2, body);
		g_free(body);
	}
	for (int i = 0; i < 8; i++) {
		char key[16];

		snprintf(key, sizeof(key), "b%d", i);
		wait_for(s, 10000, job_in_state(s, key, "running"));
	}
	return s;
}

static bool claim_is_running(struct test_site *s)
{
	json_t *list = records(s, 0);
	uint32_t n = runs_of(list, "claim");

	json_decref(list);
	return n >= 4;
}

static void check_claim_and_stop(struct test_site *s)
{
	judge_gang(s, 1, "claim", 4);
	site_stop(s);
}

static void guarantee_is_reclaimed_from_borrowers(void **state)
{
	struct test_site *s = start_borrowed_site(31);

	(void)state;
	submit(s, 0, 0, claim_job);
	wait_for(s, RECLAIM_MAX_MS, claim_is_running(s));
	check_claim_and_stop(s);
}

static void guarantee_is_reclaimed_from_work_that_ignores_stop(void **state)
{
	struct test_site *s = start_borrowed_site(32);

	(void)state;
	command(s, at_workers(s, 0), "/control", "{\"ignore_stop\": true}");
	submit(s, 0, 0, claim_job);
	wait_for(s, RECLAIM_MAX_MS, claim_is_running(s));
	check_claim_and_stop(s);
}

static void guarantee_is_reclaimed_when_coordinator_is_killed(void **state)
{
	struct test_site *s = start_borrowed_site(33);
	uint32_t d = coordinator_of(s, 0);

	(void)state;
	submit(s, 0, 1 - d, claim_job);
	instance_kill(s, 0, d);
	wait_for(s, RECLAIM_MAX_MS + TAKEOVER_MAX_MS, claim_is_running(s));
	check_claim_and_stop(s);
}

static void guarantee_is_reclaimed_during_platform_outage(void **state)
{
	struct test_site *s = start_borrowed_site(34);
	uint32_t d = coordinator_of(s, 0);

	(void)state;
	submit(s, 0, 1 - d, claim_job);
	command(s, at_platform(s), "/control", "{\"outage\": \"hang\"}");
	wait_for(s, RECLAIM_MAX_MS, claim_is_running(s));
	check_claim_and_stop(s);
}

static void guarantee_is_reclaimed_when_paused_coordinator_resumes(void **state)
{
	struct test_site *s = start_borrowed_site(35);
	uint32_t d = coordinator_of(s, 0);

	(void)state;
	/* The paused coordinator resumes after the other took over. */
	submit(s, 0, 1 - d, claim_job);
	instance_signal(s, 0, d, SIGSTOP);
	wait_for(s, RECLAIM_MAX_MS + TAKEOVER_MAX_MS,
		 event_seen(s, 0, 1 - d, "deciding",
			    d ? "kolkata-1" : "kolkata-2"));
	instance_signal(s, 0, d, SIGCONT);
	wait_for(s, RECLAIM_MAX_MS + TAKEOVER_MAX_MS, claim_is_running(s));
	check_claim_and_stop(s);
}

static void guarantee_is_reclaimed_after_bound_upstream_is_removed(void **state)
{
	struct test_site *s = start_borrowed_site(36);

	(void)state;
	command(s, at_worker_cutter(s, 0), "/control",
		"{\"link\": 0, \"mode\": \"cut\"}");
	command(s, at_platform(s), "/control",
		"{\"member\": {\"name\": \"kolkata-w1\", "
		"\"state\": \"gone\"}}");
	wait_for(s, 20000,
		 event_seen(s, 0, 0, "rebound", "config") ||
			 event_seen(s, 0, 1, "rebound", "config"));
	submit(s, 0, 0, claim_job);
	wait_for(s, RECLAIM_MAX_MS, claim_is_running(s));
	check_claim_and_stop(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(guarantee_is_reclaimed_from_borrowers),
		cmocka_unit_test(
			guarantee_is_reclaimed_from_work_that_ignores_stop),
		cmocka_unit_test(
			guarantee_is_reclaimed_when_coordinator_is_killed),
		cmocka_unit_test(guarantee_is_reclaimed_during_platform_outage),
		cmocka_unit_test(
			guarantee_is_reclaimed_when_paused_coordinator_resumes),
		cmocka_unit_test(
			guarantee_is_reclaimed_after_bound_upstream_is_removed),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
