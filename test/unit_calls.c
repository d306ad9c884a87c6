/*
 * Tests of what the calls of a session carry to an upstream that restarts, and of
 * what is concluded from its lists.
 */
#include <signal.h>
#include <stdlib.h>

#include "test/sessionsite.h"

/* An end that the upstream lists first, and its number. */
#define RECORDED_END "[130,\"00000000000000ff.0.0.0\",1,\"done\",\"\"]"
#define RECORDED_END_NUMBER 130

/* Record the end that f lists, so that it is acknowledged and listed no more. */
static void acknowledge_ends(struct session_site *s, struct fake_upstream *f)
{
	session_note_write_sent(s->upstream->session);
	session_note_write_committed(s->upstream->session);
	session_site_step(s->loop, NULL, 1000);
	assert_int_equal(f->cursor_max, RECORDED_END_NUMBER);
	f->odd_end = NULL;
}

/* Let the session ask for the lists, whatever else it needs. */
static void ask_for_lists(struct session_site *s)
{
	s->upstream->doubted = true;
	session_schedule_call(s->upstream->session);
}

/*
 * An upstream has acknowledged ends, restarts, and leaves the first calls without
 * an answer, so that the leader does not know it yet. Guards against calls whose
 * numbers of ends and leases mean something else to the later incarnation, and
 * against earlier calls that it still obeys once it is known.
 */
static void
test_later_incarnation_is_told_nothing_of_the_earlier_one(void **state)
{
	struct fake_upstream f;
	struct session_site s;
	uint32_t lists;
	json_int_t token;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	f.odd_end = RECORDED_END;
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_RUNNING);
	acknowledge_ends(&s, &f);
	assert_true(f.leases);
	token = f.token_max;
	fake_upstream_end(&f);
	fake_upstream_restart(&f);
	f.holds_lists = true;
	fake_upstream_begin(&f, s.loop);
	lists = f.lists;
	while (f.lists < lists + 3)
		loop_step(s.loop, 10);
	assert_int_equal(f.cursor_max, 0);
	assert_int_equal(f.leases, 0);
	f.holds_lists = false;
	session_site_list_as(&s, &f, "");
	session_site_await_state(&s, TASK_WAITING);
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_RUNNING);
	session_site_step(s.loop, NULL, 1000);
	assert_int_equal(f.cursor_max, 0);
	assert_true(f.leases);
	assert_true(f.token_max > token);
	session_site_destroy(&s);
}

/*
 * A later incarnation has seen a higher token, and refuses the first call over a
 * new connection. Guards against numbers of ends that go to it over that, as if
 * it were the incarnation that is known.
 */
static void test_refusal_by_token_leaves_no_connection(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	f.odd_end = RECORDED_END;
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	acknowledge_ends(&s, &f);
	fake_upstream_end(&f);
	fake_upstream_restart(&f);
	f.fence = EPOCH + 1;
	fake_upstream_begin(&f, s.loop);
	for (uint32_t i = 0; i < 3; i++) {
		ask_for_lists(&s);
		session_site_step(s.loop, NULL, 200);
	}
	assert_true(f.token_max > 0);
	assert_int_equal(f.cursor_max, 0);
	assert_int_equal(f.leases, 0);
	session_site_destroy(&s);
}

/*
 * A run that no task has is stopped, over a new connection which a later
 * incarnation takes, and that names itself. Guards against numbers of ends that go
 * to it over that connection before the leader knows of it.
 */
static void test_stop_of_a_stray_run_shows_a_restart(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	f.names_itself = true;
	f.odd_end = RECORDED_END;
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	acknowledge_ends(&s, &f);
	fake_upstream_add_run(&f, "00000000000000fe.0.0.0", 1);
	f.restarts_after_lists = true;
	ask_for_lists(&s);
	session_site_step(s.loop, &f.stops, 1000);
	assert_int_equal(f.processes, 3);
	ask_for_lists(&s);
	session_site_step(s.loop, NULL, 500);
	assert_int_equal(f.cursor_max, 0);
	assert_int_equal(s.upstream->started_wall_ms, f.born);
	session_site_destroy(&s);
}

/*
 * The call that acknowledges the last ends has no answer. Guards against ends
 * that an idle upstream lists for good.
 */
static void test_ends_are_acknowledged_again_after_a_lost_call(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	f.odd_end = "[5,\"00000000000000ff.0.0.0\",1,\"done\",\"\"]";
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	session_site_step(s.loop, NULL, 500);
	f.odd_end = NULL;
	f.loses_next_lists = true;
	session_note_write_sent(s.upstream->session);
	session_note_write_committed(s.upstream->session);
	session_site_step(s.loop, NULL, 2000);
	assert_false(f.loses_next_lists);
	assert_true(f.acknowledging >= 1);
	assert_int_equal(f.cursor_max, 5);
	f.acknowledging = 0;
	session_site_step(s.loop, NULL, 1000);
	assert_int_equal(f.acknowledging, 0);
	session_site_destroy(&s);
}

/*
 * A stop has been answered when the upstream restarts, and the later incarnation
 * has begun the run. Guards against a run that nobody stops.
 */
static void test_stop_is_repeated_at_a_later_incarnation(void **state)
{
	struct fake_upstream f;
	struct session_site s;
	char name[TASK_NAME_BYTES];

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	f.holds_lists = true;
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_RUNNING);
	s.task->state = TASK_STOPPING;
	session_stop_run(s.upstream->session, s.task);
	while (!s.task->stop_answered_ms)
		loop_step(s.loop, 10);
	assert_int_equal(f.stops, 1);
	fake_upstream_end(&f);
	fake_upstream_restart(&f);
	task_format_name(s.task, name, sizeof(name));
	fake_upstream_add_run(&f, name, s.task->run);
	f.holds_lists = false;
	fake_upstream_begin(&f, s.loop);
	session_site_list_as(&s, &f, "");
	session_site_await_state(&s, TASK_WAITING);
	assert_int_equal(f.stops, 2);
	assert_int_equal(f.running_len, 0);
	session_site_destroy(&s);
}

/*
 * A row of the running runs is odd, so that it does not say which run it shows.
 * Guards against a run that is started again as the lists seem to lack it.
 */
static void test_run_lasts_while_a_row_of_running_runs_is_odd(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_RUNNING);
	f.odd_running = true;
	session_site_step(s.loop, NULL, 1500);
	assert_int_equal(s.task->state, TASK_RUNNING);
	f.odd_running = false;
	f.running_len = 0;
	session_site_await_state(&s, TASK_WAITING);
	session_site_destroy(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_later_incarnation_is_told_nothing_of_the_earlier_one),
		cmocka_unit_test(test_refusal_by_token_leaves_no_connection),
		cmocka_unit_test(test_stop_of_a_stray_run_shows_a_restart),
		cmocka_unit_test(
			test_ends_are_acknowledged_again_after_a_lost_call),
		cmocka_unit_test(test_stop_is_repeated_at_a_later_incarnation),
		cmocka_unit_test(
			test_run_lasts_while_a_row_of_running_runs_is_odd),
	};

	/* processes end while calls reach them */
	signal(SIGPIPE, SIG_IGN);
	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
