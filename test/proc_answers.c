/*
 * Every caller gets the complete answer to its own request or a true verdict,
 * and a check that is not idempotent runs at most once, while answers, links
 * and processes fail.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/counter.h"
#include "test/judge.h"

static const char accounts[] =
	"[{\"name\": \"damodar\", \"check_limit\": 5000}]";

static struct test_site *start_site(uint32_t net, uint32_t domains)
{
	struct site_options o = {.net = net,
				 .domains = domains,
				 .instances = 2,
				 .workers = 6,
				 .accounts = accounts,
				 .cut_workers = true,
				 .cut_platform = true};

	return site_start(&o);
}

static const char *const worker_faults[] = {
	"{\"worker\": \"kolkata-w1\", \"half_answers\": 5}",
	"{\"worker\": \"kolkata-w6\", \"swap_answers\": 5}",
	"{\"worker\": \"kolkata-w3\", \"lose_answers\": 3}",
	"{\"worker\": \"kolkata-w4\", \"late_ms\": 40}",
	"{\"worker\": \"kolkata-w4\", \"late_ms\": 0}",
	"{\"worker\": \"kolkata-w5\", \"half_answers\": 2}",
};

static const char *const link_faults[] = {
	"{\"link\": 1, \"mode\": \"half\"}",
	"{\"link\": 2, \"mode\": \"forget\"}",
	"{\"link\": 3, \"mode\": \"cut\"}",
	"{\"link\": 4, \"mode\": \"pass\", \"delay_ms\": 30}",
	"{\"link\": -1, \"mode\": \"pass\"}",
};

/* Run a stream to its end; inject the next fault after every 300 checks. */
static void run_with_faults(struct test_site *s, struct stream *st)
{
	uint32_t step = 0, due = 300;

	while (!stream_done(st)) {
		stream_pump(st);
		if (st->sent < due || st->sent == st->total)
			continue;
		due += 300;
		command(s, at_workers(s, 0), "/control",
			worker_faults[step % G_N_ELEMENTS(worker_faults)]);
		command(s, at_worker_cutter(s, 0), "/control",
			link_faults[step % G_N_ELEMENTS(link_faults)]);
		step++;
	}
}

/*
 * Guards against an answer that is accepted for the wrong check or truncated.
 * Upstreams swap, truncate, lose and delay answers, and links are cut.
 */
static void each_check_gets_its_own_answer_under_answer_faults(void **state)
{
	struct test_site *s = start_site(41, 1);
	struct stream st = {.site = s,
			    .net = 41,
			    .concurrent = 64,
			    .total = 10000,
			    .extra = "\"run_ms\": 2"};

	(void)state;
	stream_target(&st, 0, 0);
	stream_target(&st, 0, 1);
	run_with_faults(s, &st);
	print_message("ran %u, did not run %u, may have run %u\n", st.ran,
		      st.did_not_run, st.may_have_run);
	assert_int_equal(st.wrong, 0);
	assert_int_equal(st.cut, 0);
	assert_true(st.ran > 9000);
	judge_once(s, 1, &st);
	stream_free(&st);
	site_stop(s);
}

/*
 * Guards against a second run of a check that is not idempotent when the
 * answers of upstreams are lost, or those of the platform to the writes of
 * intent rows.
 */
static void non_idempotent_check_runs_at_most_once_under_faults(void **state)
{
	struct test_site *s = start_site(42, 1);
	struct stream st = {.site = s,
			    .net = 42,
			    .concurrent = 16,
			    .total = 3000,
			    .extra = "\"run_ms\": 2",
			    .non_idempotent = true};

	(void)state;
	stream_target(&st, 0, 0);
	stream_target(&st, 0, 1);
	command(s, at_platform(s), "/control", "{\"lose_answers\": 40}");
	run_with_faults(s, &st);
	print_message("ran %u, did not run %u, may have run %u\n", st.ran,
		      st.did_not_run, st.may_have_run);
	assert_int_equal(st.wrong, 0);
	judge_once(s, 1, &st);
	stream_free(&st);
	site_stop(s);
}

/*
 * Guards against a second run when a caller repeats a check through another
 * domain: every key is sent up to three times, alternately to two domains,
 * while answers of the upstreams and the platform are lost.
 */
static void repeat_in_other_domain_does_not_run_check_twice(void **state)
{
	struct test_site *s = start_site(43, 2);
	json_t *first, *second;
	uint32_t faults = 0;

	(void)state;
	for (int i = 0; i < 120; i++) {
		bool ran = false;

		if (i % 4 == 1)
			command(s, at_workers(s, 0), "/control",
				"{\"lose_answers\": 1}");
		if (i % 6 == 2)
			command(s, at_platform(s), "/control",
				"{\"lose_answers\": 1}");
		faults += i % 4 == 1 || i % 6 == 2;
		for (int k = 0; k < 3 && !ran; k++) {
			char *body = g_strdup_printf(
				"{\"account\": \"damodar\", \"key\": \"p%d\", "
				"\"request\": \"pay%d\", \"payload\": "
				"\"pay%d\", \"idempotent\": false, "
				"\"deadline_ms\": 900}",
				i, i, i);
			json_t *v = ask(s, at_instance(s, k % 2, 1), "POST",
					"/v1/checks", body, NULL);

			ran = !strcmp(json_str_or(v, "verdict", ""), "ran");
			json_decref(v);
			g_free(body);
		}
		if (i == 60) {
			instance_kill(s, 0, 1);
			instance_start(s, 0, 1);
			wait_for(s, 10000, coordinator_of(s, 0) != UINT32_MAX);
		}
	}
	first = records(s, 0);
	second = records(s, 1);
	for (int i = 0; i < 120; i++) {
		char id[32];
		uint32_t n;

		snprintf(id, sizeof(id), "pay%d", i);
		n = runs_of(first, id) + runs_of(second, id);
		if (n > 1)
			fail_msg("%s was started %u times", id, n);
	}
	assert_true(faults > 40);
	json_decref(first);
	json_decref(second);
	site_stop(s);
}

/*
 * Guards against the verdict "did not run" for a check that an upstream did
 * run, while the instances are killed and restarted in turn.
 */
static void did_not_run_verdict_holds_when_instances_are_killed(void **state)
{
	struct test_site *s = start_site(44, 1);
	struct stream st = {.site = s,
			    .net = 44,
			    .concurrent = 32,
			    .total = 4000,
			    .extra = "\"run_ms\": 4"};
	uint32_t due = 1000;

	(void)state;
	stream_target(&st, 0, 0);
	stream_target(&st, 0, 1);
	while (!stream_done(&st)) {
		stream_pump(&st);
		if (st.sent < due || due > 3000)
			continue;
		instance_kill(s, 0, due / 1000 % 2);
		instance_start(s, 0, due / 1000 % 2);
		due += 1000;
	}
	print_message("ran %u, did not run %u, may have run %u, cut %u\n",
		      st.ran, st.did_not_run, st.may_have_run, st.cut);
	assert_int_equal(st.wrong, 0);
	judge_once(s, 1, &st);
	stream_free(&st);
	site_stop(s);
}

static uint32_t count_ended_runs(struct test_site *s)
{
	json_t *list = records(s, 0), *r;
	uint32_t n = 0;
	size_t i;

	json_array_foreach(list, i, r) n +=
		json_object_get(r, "ended_ms") != NULL;
	json_decref(list);
	return n;
}

/*
 * Guards against a retry's verdict that replaces that of the first attempt:
 * the first attempt runs but its answer is lost, and the retry is refused.
 */
static void refused_retry_keeps_verdict_of_first_attempt(void **state)
{
	struct test_site *s = start_site(47, 1);
	struct stream st = {.site = s,
			    .net = 47,
			    .concurrent = 8,
			    .total = 8,
			    .extra = "\"run_ms\": 5"};

	(void)state;
	command(s, at_workers(s, 0), "/control", "{\"lose_answers\": 9}");
	stream_target(&st, 0, 0);
	stream_pump(&st);
	wait_for(s, 3000, count_ended_runs(s) == 8);
	command(s, at_workers(s, 0), "/control", "{\"refuse_runs\": true}");
	while (!stream_done(&st))
		stream_pump(&st);
	judge_once(s, 1, &st);
	assert_int_equal(st.may_have_run, 8);
	stream_free(&st);
	site_stop(s);
}

/*
 * Guards against a second run after a crash: the instance is killed while
 * checks that are not idempotent run, and the caller repeats them through
 * another instance, which must find their intent rows.
 */
static void repeat_after_instance_killed_gets_first_answer(void **state)
{
	struct test_site *s = start_site(50, 1);
	struct stream st = {.site = s,
			    .net = 50,
			    .concurrent = 8,
			    .total = 8,
			    .extra = "\"run_ms\": 700",
			    .non_idempotent = true};
	struct stream again = st;
	json_t *list;
	size_t n;

	(void)state;
	stream_target(&st, 0, 0);
	stream_pump(&st);
	wait_for(s, 3000,
		 (list = records(s, 0), n = json_array_size(list),
		  json_decref(list), n == 8));
	instance_kill(s, 0, 0);
	while (!stream_done(&st))
		stream_pump(&st);
	assert_int_equal(st.cut, 8);
	stream_target(&again, 0, 1);
	while (!stream_done(&again))
		stream_pump(&again);
	assert_int_equal(again.ran, 8);
	assert_int_equal(again.wrong, 0);
	judge_once(s, 1, &again);
	stream_free(&st);
	stream_free(&again);
	site_stop(s);
}

/*
 * Guards against a verdict "did not run" from an upstream that has restarted
 * and lost its record of leases: checks that are not idempotent run, their
 * answers are lost, and then the upstreams restart.
 */
static void verdict_is_may_have_run_after_upstream_restarted(void **state)
{
	struct test_site *s = start_site(48, 1);
	struct stream first = {.site = s,
			       .net = 49,
			       .concurrent = 8,
			       .total = 200,
			       .extra = "\"run_ms\": 1"};
	struct stream st = {.site = s,
			    .net = 48,
			    .concurrent = 6,
			    .total = 6,
			    .extra = "\"run_ms\": 20",
			    .non_idempotent = true};

	(void)state;
	stream_target(&first, 0, 0);
	while (!stream_done(&first))
		stream_pump(&first);
	command(s, at_workers(s, 0), "/control", "{\"lose_answers\": 9}");
	stream_target(&st, 0, 0);
	stream_pump(&st);
	wait_for(s, 3000, count_ended_runs(s) == 206);
	command(s, at_workers(s, 0), "/control",
		"{\"lose_answers\": 0, \"reboot\": true}");
	while (!stream_done(&st))
		stream_pump(&st);
	judge_once(s, 1, &st);
	assert_int_equal(st.may_have_run, 6);
	stream_free(&first);
	stream_free(&st);
	site_stop(s);
}

/*
 * Guards against waiting on connections that were dropped without a close:
 * all open ones go silent for good, while new ones work.
 */
static void silent_connections_are_replaced(void **state)
{
	struct test_site *s = start_site(45, 1);
	struct stream st = {.site = s,
			    .net = 45,
			    .concurrent = 16,
			    .total = 2000,
			    .extra = "\"run_ms\": 1"};
	struct stream after = {.site = s,
			       .net = 46,
			       .concurrent = 16,
			       .total = 500,
			       .extra = "\"run_ms\": 1"};
	uint64_t began;

	(void)state;
	stream_target(&st, 0, 0);
	while (!stream_done(&st)) {
		stream_pump(&st);
		if (st.sent != 1000 || !st.open)
			continue;
		command(s, at_worker_cutter(s, 0), "/control",
			"{\"link\": -1, \"mode\": \"forget\"}");
		command(s, at_platform_cutter(s, 0), "/control",
			"{\"link\": -1, \"mode\": \"forget\"}");
	}
	assert_int_equal(st.wrong, 0);
	assert_true(st.ran > 1900);
	began = clock_mono_ms();
	submit(s, 0, 0,
	       "{\"account\": \"damodar\", \"key\": \"after\", "
	       "\"accelerators\": 1, \"run_ms\": 1}");
	wait_for(s, 5000, job_in_state(s, "after", "done"));
	print_message("a job after the silence: %d ms\n",
		      (int)(clock_mono_ms() - began));
	stream_target(&after, 0, 0);
	while (!stream_done(&after))
		stream_pump(&after);
	assert_int_equal(after.ran, 500);
	judge_once(s, 1, &st);
	stream_free(&st);
	stream_free(&after);
	site_stop(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			each_check_gets_its_own_answer_under_answer_faults),
		cmocka_unit_test(
			non_idempotent_check_runs_at_most_once_under_faults),
		cmocka_unit_test(
			repeat_in_other_domain_does_not_run_check_twice),
		cmocka_unit_test(
			did_not_run_verdict_holds_when_instances_are_killed),
		cmocka_unit_test(refused_retry_keeps_verdict_of_first_attempt),
		cmocka_unit_test(
			repeat_after_instance_killed_gets_first_answer),
		cmocka_unit_test(
			verdict_is_may_have_run_after_upstream_restarted),
		cmocka_unit_test(silent_connections_are_replaced),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
