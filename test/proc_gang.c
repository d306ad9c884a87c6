/*
 * Guards against gangs that run in part or twice: the coordinator is killed or
 * paused, or a worker is cut off or silent, at each phase of a gang.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/judge.h"

static const char accounts[] = "[{\"name\": \"damodar\"}]";
static const char gang_job[] =
	"{\"account\": \"damodar\", \"key\": \"gang\", \"parts\": 16, "
	"\"accelerators\": 8, \"run_ms\": 1500}";

static struct test_site *start_gang_site(uint32_t net)
{
	struct site_options o = {.net = net,
				 .domains = 1,
				 .instances = 3,
				 .workers = 17,
				 .accounts = accounts,
				 .cut_workers = true};

	return site_start(&o);
}

static void delay_workers(struct test_site *s, uint32_t from, uint32_t to,
			  uint32_t ms)
{
	for (uint32_t i = from; i < to; i++) {
		char *body = g_strdup_printf("{\"link\": %u, \"mode\": "
					     "\"pass\", \"delay_ms\": %u}",
					     i, ms);

		command(s, at_worker_cutter(s, 0), "/control", body);
		g_free(body);
	}
}

/* Let the workers from this number on lose the requests to start leases. */
static void lose_starts(struct test_site *s, uint32_t from, uint32_t to,
			bool lost)
{
	for (uint32_t i = from; i <= to; i++) {
		char *body = g_strdup_printf("{\"worker\": \"kolkata-w%u\", "
					     "\"starts_are_lost\": %s}",
					     i, lost ? "true" : "false");

		command(s, at_workers(s, 0), "/control", body);
		g_free(body);
	}
}

static void await_gang_and_stop(struct test_site *s)
{
	wait_for(s, 30000, job_in_state(s, "gang", "done"));
	judge_gang(s, 1, "gang", 16);
	site_stop(s);
}

static void
gang_completes_after_coordinator_killed_between_reserve_and_start(void **state)
{
	struct test_site *s = start_gang_site(21);
	uint32_t d = coordinator_of(s, 0);

	(void)state;
	delay_workers(s, 0, 17, 150);
	submit(s, 0, d, gang_job);
	wait_for(s, 8000, event_seen(s, 0, d, "reserved", "gang"));
	instance_kill(s, 0, d);
	delay_workers(s, 0, 17, 0);
	await_gang_and_stop(s);
}

static void gang_completes_after_coordinator_killed_with_half_its_parts_started(
	void **state)
{
	struct test_site *s = start_gang_site(22);
	uint32_t d = coordinator_of(s, 0);
	json_t *list;
	size_t n;

	(void)state;
	lose_starts(s, 9, 17, true);
	submit(s, 0, d, gang_job);
	wait_for(s, 8000, event_seen(s, 0, d, "reserved", "gang"));
	wait_for(s, 2000,
		 (list = records(s, 0), n = json_array_size(list),
		  json_decref(list), n > 0));
	instance_kill(s, 0, d);
	list = records(s, 0);
	assert_in_range(json_array_size(list), 1, 8);
	json_decref(list);
	lose_starts(s, 9, 17, false);
	await_gang_and_stop(s);
}

static void running_gang_is_adopted_after_coordinator_killed(void **state)
{
	struct test_site *s = start_gang_site(23);
	uint32_t d = coordinator_of(s, 0);
	json_t *list;

	(void)state;
	submit(s, 0, d,
	       "{\"account\": \"damodar\", \"key\": \"gang\", \"parts\": 16, "
	       "\"accelerators\": 8, \"run_ms\": 6000}");
	wait_for(s, 8000, job_in_state(s, "gang", "running"));
	instance_kill(s, 0, d);
	wait_for(s, 10000, coordinator_of(s, 0) != UINT32_MAX);
	wait_for(s, 30000, job_in_state(s, "gang", "done"));
	list = records(s, 0);
	assert_int_equal(json_array_size(list),
			 16); /* adopted, not restarted */
	json_decref(list);
	await_gang_and_stop(s);
}

static void paused_coordinator_steps_down_after_its_lease_expired(void **state)
{
	struct test_site *s = start_gang_site(24);
	uint32_t d = coordinator_of(s, 0), next;

	(void)state;
	submit(s, 0, d,
	       "{\"account\": \"damodar\", \"key\": \"gang\", \"parts\": 16, "
	       "\"accelerators\": 8, \"run_ms\": 4000}");
	wait_for(s, 8000, job_in_state(s, "gang", "running"));
	instance_signal(s, 0, d, SIGSTOP);
	for (next = 0; next == d; next++)
		;
	wait_for(s, 15000,
		 event_seen(s, 0, next, "deciding",
			    next ? "kolkata-2" : "kolkata-1") ||
			 event_seen(s, 0, 2, "deciding", "kolkata-3"));
	submit(s, 0, next,
	       "{\"account\": \"damodar\", \"key\": \"later\", "
	       "\"accelerators\": 8, \"run_ms\": 100}");
	wait_for(s, 15000,
		 event_seen(s, 0, next, "running", "later") ||
			 event_seen(s, 0, 2, "running", "later"));
	instance_signal(s, 0, d, SIGCONT);
	wait_for(s, 15000,
		 event_seen(s, 0, d, "stepped_down",
			    d == 0   ? "kolkata-1"
			    : d == 1 ? "kolkata-2"
				     : "kolkata-3"));
	wait_for(s, 15000, job_in_state(s, "later", "done"));
	judge_gang(s, 1, "later", 1);
	await_gang_and_stop(s);
}

static void running_gang_is_requeued_when_one_worker_is_cut_off(void **state)
{
	struct test_site *s = start_gang_site(25);

	(void)state;
	submit(s, 0, 0,
	       "{\"account\": \"damodar\", \"key\": \"gang\", \"parts\": 16, "
	       "\"accelerators\": 8, \"run_ms\": 3000}");
	wait_for(s, 8000, job_in_state(s, "gang", "running"));
	command(s, at_worker_cutter(s, 0), "/control",
		"{\"link\": 2, \"mode\": \"cut\"}");
	/* It may run again within milliseconds, so wait for the event. */
	wait_for(s, 15000,
		 event_seen(s, 0, coordinator_of(s, 0), "requeued", "gang"));
	await_gang_and_stop(s);
}

static void
gang_completes_when_one_worker_is_silent_at_reservation(void **state)
{
	struct test_site *s = start_gang_site(26);

	(void)state;
	command(s, at_worker_cutter(s, 0), "/control",
		"{\"link\": 1, \"mode\": \"freeze\"}");
	submit(s, 0, 0, gang_job);
	await_gang_and_stop(s);
}

/* Returns the record of the start with this index, or NULL. */
static json_t *find_start(struct test_site *s, size_t index)
{
	json_t *list = records(s, 0);
	json_t *r = json_incref(json_array_get(list, index));

	json_decref(list);
	return r;
}

static bool was_started(struct test_site *s, size_t count)
{
	json_t *r = find_start(s, count - 1);

	json_decref(r);
	return r;
}

/* Claims a worker past the proxy, as an instance on the other side of a cut. */
static void claim_worker(struct test_site *s, uint32_t net, uint32_t worker)
{
	char *at = g_strdup_printf("127.%u.101.%u:9000", net, worker);

	command(s, at, "/claim",
		"{\"epoch\": 1000, \"holder\": \"kolkata-9\", "
		"\"term_ms\": 3000}");
	g_free(at);
}

static void
run_is_not_doubled_when_its_worker_is_claimed_beyond_a_cut(void **state)
{
	struct test_site *s = start_gang_site(27);
	uint32_t worker;
	char *cut;
	json_t *r;

	(void)state;
	submit(s, 0, 0,
	       "{\"account\": \"damodar\", \"key\": \"single\", "
	       "\"accelerators\": 8, \"run_ms\": 15000}");
	wait_for(s, 8000, was_started(s, 1));
	r = find_start(s, 0);
	worker = strtoul(json_str_or(r, "worker", "") + strlen("kolkata-w"),
			 NULL, 10);
	json_decref(r);
	cut = g_strdup_printf("{\"link\": %u, \"mode\": \"cut\"}", worker - 1);
	command(s, at_worker_cutter(s, 0), "/control", cut);
	g_free(cut);
	wait_for(s, 15000, (claim_worker(s, 27, worker), was_started(s, 2)));
	r = find_start(s, 0);
	assert_true(json_int_or(r, "ended_ms", INT64_MAX) < INT64_MAX);
	json_decref(r);
	site_stop(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			gang_completes_after_coordinator_killed_between_reserve_and_start),
		cmocka_unit_test(
			gang_completes_after_coordinator_killed_with_half_its_parts_started),
		cmocka_unit_test(
			running_gang_is_adopted_after_coordinator_killed),
		cmocka_unit_test(
			paused_coordinator_steps_down_after_its_lease_expired),
		cmocka_unit_test(
			running_gang_is_requeued_when_one_worker_is_cut_off),
		cmocka_unit_test(
			gang_completes_when_one_worker_is_silent_at_reservation),
		cmocka_unit_test(
			run_is_not_doubled_when_its_worker_is_claimed_beyond_a_cut),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
