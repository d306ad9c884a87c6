/*
 * Guards against lost or repeated jobs and failing checks while the platform
 * refuses connections, hangs, is slow or loses its answers.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/counter.h"
#include "test/judge.h"

/* Outage length: OUTAGE_SECONDS or 12 s; the long run uses 60 s. */
static uint32_t outage_ms(void)
{
	const char *s = g_getenv("OUTAGE_SECONDS");

	return (s ? (uint32_t)g_ascii_strtoull(s, NULL, 10) : 12) * 1000;
}

static const char accounts[] =
	"[{\"name\": \"damodar\", \"check_limit\": 5000}]";

static void submit_jobs(struct test_site *s, const char *prefix, int n,
			uint32_t run_ms)
{
	for (int i = 0; i < n; i++) {
		char *body = g_strdup_printf(
			"{\"account\": \"damodar\", \"key\": \"%s%d\", "
			"\"parts\": 2, \"accelerators\": 4, \"run_ms\": %u}",
			prefix, i, run_ms);

		submit(s, 0, i % 2, body);
		g_free(body);
	}
}

static void await_jobs_done(struct test_site *s, const char *prefix, int n)
{
	for (int i = 0; i < n; i++) {
		char key[32];

		snprintf(key, sizeof(key), "%s%d", prefix, i);
		wait_for(s, 40000, job_in_state(s, key, "done"));
		judge_gang(s, 1, key, 2);
	}
}

/* Run checks for ms through two instances; every one must succeed. */
static void run_checks(struct test_site *s, uint32_t net, uint32_t ms,
		       uint32_t first, uint32_t last)
{
	struct stream st = {.site = s,
			    .net = net,
			    .concurrent = 2,
			    .total = UINT32_MAX / 2,
			    .extra = "\"run_ms\": 5"};
	uint64_t until = clock_mono_ms() + ms;

	st.total = 200000;
	stream_target(&st, 0, first);
	if (last != first)
		stream_target(&st, 0, last);
	while (clock_mono_ms() < until)
		stream_pump(&st);
	st.total = st.sent;
	while (!stream_done(&st))
		stream_pump(&st);
	assert_int_equal(st.wrong, 0);
	assert_int_equal(st.ran, st.total);
	assert_true(st.ran > 100);
	stream_free(&st);
}

static void assert_non_idempotent_check_refused(struct test_site *s)
{
	json_t *v;
	int status;

	v = ask(s, at_instance(s, 0, 0), "POST", "/v1/checks",
		"{\"account\": \"damodar\", \"idempotent\": false, \"key\": "
		"\"out\", \"request\": \"out\", \"deadline_ms\": 800}",
		&status);
	assert_string_equal(json_str_or(v, "verdict", ""), "did_not_run");
	json_decref(v);
	v = records(s, 0);
	assert_int_equal(runs_of(v, "out"), 0);
	json_decref(v);
}

static void run_jobs_through_outage(uint32_t net, const char *fault)
{
	struct site_options o = {.net = net,
				 .domains = 1,
				 .instances = 2,
				 .workers = 4,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);

	submit_jobs(s, "before", 3, 1000);
	submit_jobs(s, "long", 2, outage_ms() + 2000);
	wait_for(s, 10000, job_in_state(s, "before0", "running"));
	command(s, at_platform(s), "/control", fault);
	assert_non_idempotent_check_refused(s);
	run_checks(s, net, outage_ms(), 0, 1);
	command(s, at_platform(s), "/control", "{\"outage\": \"\"}");
	await_jobs_done(s, "before", 3);
	await_jobs_done(s, "long", 2);
	submit_jobs(s, "after", 1, 100);
	await_jobs_done(s, "after", 1);
	site_stop(s);
}

static void jobs_and_checks_survive_platform_refusing_connections(void **state)
{
	(void)state;
	run_jobs_through_outage(71, "{\"outage\": \"refuse\"}");
}

static void jobs_and_checks_survive_hung_platform(void **state)
{
	(void)state;
	run_jobs_through_outage(72, "{\"outage\": \"hang\"}");
}

static void jobs_and_checks_survive_slow_platform(void **state)
{
	struct site_options o = {.net = 73,
				 .domains = 1,
				 .instances = 2,
				 .workers = 4,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);

	(void)state;
	command(s, at_platform(s), "/control", "{\"slow_ms\": 800}");
	submit_jobs(s, "slow", 4, 500);
	run_checks(s, 73, outage_ms(), 0, 1);
	await_jobs_done(s, "slow", 4);
	site_stop(s);
}

/* The coordinator dies while the platform hangs; each job runs only once. */
static void no_job_runs_twice_when_coordinator_dies_during_outage(void **state)
{
	struct site_options o = {.net = 74,
				 .domains = 1,
				 .instances = 2,
				 .workers = 4,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	uint32_t d = coordinator_of(s, 0);

	(void)state;
	submit_jobs(s, "run", 2, 3000);
	submit_jobs(s, "quick", 2, 300);
	for (int i = 0; i < 2; i++) {
		char key[16];

		snprintf(key, sizeof(key), "run%d", i);
		wait_for(s, 10000, job_in_state(s, key, "running"));
	}
	command(s, at_platform(s), "/control", "{\"outage\": \"hang\"}");
	instance_kill(s, 0, d);
	wait_for(s, 10000, coordinator_of(s, 0) != UINT32_MAX);
	run_checks(s, 74, 7000, 1 - d, 1 - d);
	command(s, at_platform(s), "/control", "{\"outage\": \"\"}");
	await_jobs_done(s, "run", 2);
	await_jobs_done(s, "quick", 2);
	site_stop(s);
}

/* Answers to committed writes are lost; each job has one row and one run. */
static void lost_write_answers_leave_one_row_and_one_run(void **state)
{
	struct site_options o = {.net = 75,
				 .domains = 1,
				 .instances = 2,
				 .workers = 4,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);

	(void)state;
	for (int i = 0; i < 6; i++) {
		char prefix[16];

		command(s, at_platform(s), "/control", "{\"lose_answers\": 2}");
		snprintf(prefix, sizeof(prefix), "lost%d-", i);
		submit_jobs(s, prefix, 1, 200);
	}
	for (int i = 0; i < 6; i++) {
		char prefix[16];

		snprintf(prefix, sizeof(prefix), "lost%d-", i);
		await_jobs_done(s, prefix, 1);
	}
	site_stop(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			jobs_and_checks_survive_platform_refusing_connections),
		cmocka_unit_test(jobs_and_checks_survive_hung_platform),
		cmocka_unit_test(jobs_and_checks_survive_slow_platform),
		cmocka_unit_test(
			no_job_runs_twice_when_coordinator_dies_during_outage),
		cmocka_unit_test(lost_write_answers_leave_one_row_and_one_run),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
