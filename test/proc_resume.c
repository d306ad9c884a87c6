/*
 * An instance that wakes from a pause first learns what was decided without it:
 * it acts neither on an old list or configuration nor on old requests of peers.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/judge.h"

/* Bounds of docs/PROOFS.md, from a change to its effect everywhere. */
#define LEAVE_MAX_MS 3000
#define CONFIG_MAX_MS 5000
#define LIST_LAG_MS 500
#define CHECKS 40

static const char accounts[] = "[{\"name\": \"damodar\"}]";

static uint32_t starts_at(struct test_site *s, uint32_t domain,
			  const char *worker)
{
	json_t *list = records(s, domain), *r;
	uint32_t n = 0;
	size_t i;

	json_array_foreach(list, i, r) n +=
		!strcmp(json_str_or(r, "worker", ""), worker);
	json_decref(list);
	return n;
}

static void wait_ms(struct test_site *s, uint64_t ms)
{
	uint64_t until_ms = clock_mono_ms() + ms;

	while (clock_mono_ms() < until_ms)
		loop_step(test_loop(s), 10);
}

/* Send checks to an instance that is paused, resume it, await the answers. */
static void resume_with_checks(struct test_site *s, struct stream *st)
{
	st->total = st->sent + CHECKS;
	st->verdicts = g_realloc(st->verdicts, st->total + 1);
	for (int i = 0; i < 30; i++)
		stream_pump(st);
	assert_int_equal(st->open, CHECKS);
	instance_signal(s, 0, 0, SIGCONT);
	while (!stream_done(st))
		stream_pump(st);
}

static void resumed_instance_sends_no_checks_to_upstream_that_left(void **state)
{
	struct site_options o = {.net = 76,
				 .domains = 1,
				 .instances = 2,
				 .workers = 2,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	struct stream st = {
		.site = s, .net = 76, .concurrent = CHECKS, .total = CHECKS};
	uint32_t before;

	(void)state;
	stream_target(&st, 0, 0);
	while (!stream_done(&st))
		stream_pump(&st);
	before = starts_at(s, 0, "kolkata-w1");
	assert_true(before > 0);
	instance_signal(s, 0, 0, SIGSTOP);
	command(s, at_platform(s), "/control",
		"{\"member\": {\"name\": \"kolkata-w1\", "
		"\"state\": \"leaving\"}}");
	wait_ms(s, LIST_LAG_MS + LEAVE_MAX_MS);
	resume_with_checks(s, &st);
	assert_int_equal(starts_at(s, 0, "kolkata-w1"), before);
	assert_int_equal(st.ran, 2 * CHECKS);
	stream_free(&st);
	site_stop(s);
}

static void resumed_instance_refuses_checks_of_a_removed_account(void **state)
{
	struct site_options o = {.net = 77,
				 .domains = 1,
				 .instances = 2,
				 .workers = 2,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	struct stream st = {
		.site = s, .net = 77, .concurrent = CHECKS, .total = CHECKS};

	(void)state;
	stream_target(&st, 0, 0);
	while (!stream_done(&st))
		stream_pump(&st);
	assert_int_equal(st.ran, CHECKS);
	instance_signal(s, 0, 0, SIGSTOP);
	command(s, at_instance(s, 0, 1), "/v1/config",
		"{\"remove\": [\"account/damodar\"]}");
	wait_ms(s, CONFIG_MAX_MS);
	resume_with_checks(s, &st);
	assert_int_equal(st.ran, CHECKS);
	assert_int_equal(st.did_not_run, CHECKS);
	stream_free(&st);
	site_stop(s);
}

static void resumed_peer_runs_no_check_that_its_sender_gave_up(void **state)
{
	struct site_options o = {.net = 78,
				 .domains = 2,
				 .instances = 1,
				 .workers = 1,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	static const char check[] =
		"{\"account\": \"damodar\", \"payload\": \"x\", "
		"\"deadline_ms\": 800}";
	int status;

	(void)state;
	command(s, at_platform(s), "/control",
		"{\"member\": {\"name\": \"kolkata-w1\", "
		"\"state\": \"leaving\"}}");
	wait_for(s, 5000,
		 (json_decref(ask(s, at_instance(s, 0, 0), "POST", "/v1/checks",
				  check, &status)),
		  status == 200 && starts_at(s, 1, "durgapur-w1") > 0));
	command(s, at_workers(s, 1), "/control", "{}");
	uint32_t before = starts_at(s, 1, "durgapur-w1");

	instance_signal(s, 1, 0, SIGSTOP);
	json_decref(ask(s, at_instance(s, 0, 0), "POST", "/v1/checks", check,
			&status));
	assert_int_equal(status, 504);
	wait_ms(s, 2000);
	instance_signal(s, 1, 0, SIGCONT);
	wait_ms(s, 1500);
	assert_int_equal(starts_at(s, 1, "durgapur-w1"), before);
	site_stop(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			resumed_instance_sends_no_checks_to_upstream_that_left),
		cmocka_unit_test(
			resumed_instance_refuses_checks_of_a_removed_account),
		cmocka_unit_test(
			resumed_peer_runs_no_check_that_its_sender_gave_up),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
