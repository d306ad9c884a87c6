/*
 * Tests of an upstream that is cut off until its leases have ended, so that its
 * runs count as lost, and comes back with a run that is done. Each guards against
 * a task that stays unfinished as nobody asks the upstream for its lists.
 */
#include <signal.h>
#include <stdlib.h>

#include "test/sessionsite.h"

/* Leases end soon, so that the end of the upstream is presumed soon. */
#define LEASE_MS 600
/* Time in which nothing may happen. */
#define QUIET_MS 600

/* Begin a session with f, whose task runs. */
static void begin_run(struct session_site *s, struct fake_upstream *f)
{
	session_site_create(s);
	fake_upstream_create(f, s->loop);
	s->settings.lease_ms = s->settings.lease_max_ms = LEASE_MS;
	session_site_open(s, f);
	session_site_step(s->loop, &s->changes, 1000);
	session_site_start_task(s);
	session_site_await_state(s, TASK_RUNNING);
}

/* Cut f off until its run counts as lost; meanwhile the run has ended done. */
static void cut_off(struct session_site *s, struct fake_upstream *f)
{
	char name[TASK_NAME_BYTES], *end;

	task_format_name(s->task, name, sizeof(name));
	f->mute = true;
	session_site_await_state(s, TASK_WAITING);
	end = g_strdup_printf("[%u,\"%s\",%u,\"done\",\"\"]", f->odd_ends + 1,
			      name, s->task->run);
	f->odd_end = end;
	f->running_len = 0;
}

static void end_site(struct session_site *s, struct fake_upstream *f)
{
	g_free((char *)f->odd_end);
	session_site_destroy(s);
}

static bool is_usable(const struct session_site *s)
{
	return upstream_is_usable(s->upstream, clock_mono_ms() + SETTLE_MAX_MS);
}

/* The upstream stays listed, and answers again. */
static void test_upstream_that_answers_again_is_asked(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	begin_run(&s, &f);
	cut_off(&s, &f);
	assert_false(is_usable(&s));
	f.mute = false;
	session_site_await_state(&s, TASK_DONE);
	assert_true(is_usable(&s));
	end_site(&s, &f);
}

/* Its entry is removed, and is back only after it has answered nobody. */
static void test_upstream_is_asked_when_its_entry_is_back(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	begin_run(&s, &f);
	session_note_unlisted(s.upstream->session, true);
	cut_off(&s, &f);
	session_site_step(s.loop, NULL, QUIET_MS);
	f.mute = false;
	session_apply_entry(s.upstream->session, &s.entry);
	assert_false(is_usable(&s));
	session_site_await_state(&s, TASK_DONE);
	assert_true(is_usable(&s));
	end_site(&s, &f);
}

/* Its entry is back while the leader cannot reach it yet. */
static void test_upstream_is_asked_until_it_is_reached(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	begin_run(&s, &f);
	session_note_unlisted(s.upstream->session, true);
	cut_off(&s, &f);
	session_apply_entry(s.upstream->session, &s.entry);
	session_site_step(s.loop, NULL, 2 * QUIET_MS);
	assert_false(is_usable(&s));
	assert_int_equal(s.task->state, TASK_WAITING);
	f.mute = false;
	session_site_await_state(&s, TASK_DONE);
	end_site(&s, &f);
}

/* The leader changes in the cut, and the next one knows the run as lost. */
static void test_next_leader_asks_the_upstream(void **state)
{
	struct fake_upstream f;
	struct session_site s, next;
	uint64_t until_ms;

	(void)state;
	begin_run(&s, &f);
	cut_off(&s, &f);
	session_site_create(&next);
	next.env.epoch *= 2;
	next.task->run = s.task->run;
	f.mute = false;
	session_site_open(&next, &f);
	assert_false(is_usable(&next));
	/* the upstream is in the loop of the first leader */
	until_ms = clock_mono_ms() + SETTLE_MAX_MS;
	while (next.task->state != TASK_DONE && clock_mono_ms() < until_ms) {
		loop_step(next.loop, 5);
		loop_step(s.loop, 5);
	}
	assert_int_equal(next.task->state, TASK_DONE);
	session_site_destroy(&next);
	end_site(&s, &f);
}

/* Over a page of ends comes before the one of the run. */
static void test_all_pages_of_ends_are_read(void **state)
{
	struct fake_upstream f;
	struct session_site s;
	uint64_t until_ms;

	(void)state;
	begin_run(&s, &f);
	f.odd_ends = 700;
	cut_off(&s, &f);
	f.mute = false;
	until_ms = clock_mono_ms() + SETTLE_MAX_MS;
	while (s.task->state != TASK_DONE && clock_mono_ms() < until_ms) {
		session_note_write_sent(s.upstream->session);
		session_note_write_committed(s.upstream->session);
		loop_step(s.loop, 10);
	}
	assert_int_equal(s.task->state, TASK_DONE);
	assert_true(f.cursor_max >= 500);
	end_site(&s, &f);
}

/* It drains when its entry is back. */
static void test_draining_upstream_is_asked(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	begin_run(&s, &f);
	session_note_unlisted(s.upstream->session, true);
	cut_off(&s, &f);
	f.mute = false;
	s.entry.draining = true;
	session_apply_entry(s.upstream->session, &s.entry);
	session_site_await_state(&s, TASK_DONE);
	assert_false(is_usable(&s));
	end_site(&s, &f);
}

/*
 * A later incarnation answers. Guards against one that is not used as the one
 * before was presumed to have ended.
 */
static void test_later_incarnation_is_used(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	begin_run(&s, &f);
	cut_off(&s, &f);
	g_free((char *)f.odd_end);
	f.odd_end = NULL;
	fake_upstream_end(&f);
	fake_upstream_restart(&f);
	f.mute = false;
	fake_upstream_begin(&f, s.loop);
	session_site_list_as(&s, &f, "");
	session_site_step(s.loop, NULL, QUIET_MS);
	assert_true(is_usable(&s));
	assert_int_equal(s.task->state, TASK_WAITING);
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_RUNNING);
	end_site(&s, &f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_upstream_that_answers_again_is_asked),
		cmocka_unit_test(test_upstream_is_asked_when_its_entry_is_back),
		cmocka_unit_test(test_upstream_is_asked_until_it_is_reached),
		cmocka_unit_test(test_next_leader_asks_the_upstream),
		cmocka_unit_test(test_all_pages_of_ends_are_read),
		cmocka_unit_test(test_draining_upstream_is_asked),
		cmocka_unit_test(test_later_incarnation_is_used),
	};

	/* processes end while calls reach them */
	signal(SIGPIPE, SIG_IGN);
	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
