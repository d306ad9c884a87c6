/*
 * Tests of the session with one upstream, against an upstream in the same
 * event loop that answers orders as the test wants.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <signal.h>
#include <stdlib.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>

#include "lead/session.h"
#include "lib/http.h"
#include "lib/schema.h"
#include "test/sessionsite.h"

/* Time after which the client has closed connections that are not used. */
#define UNUSED_CLOSED_MS 5000

/* The plain course: a run is started, listed and stopped. */
static void test_run_is_started_and_stopped(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	assert_true(s.upstream->synced);
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_RUNNING);
	s.task->state = TASK_STOPPING;
	session_stop_run(s.upstream->session, s.task);
	session_site_await_state(&s, TASK_WAITING);
	assert_int_equal(f.starts, 1);
	session_site_destroy(&s);
}

/*
 * The upstream's address changes while a start order is in flight. Guards
 * against a run that stays placed for ever.
 */
static void test_start_survives_change_of_address(void **state)
{
	struct fake_upstream before, after;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&before, s.loop);
	fake_upstream_create(&after, s.loop);
	session_site_open(&s, &before);
	session_site_step(s.loop, &s.changes, 1000);
	before.mute = true;
	session_site_start_task(&s);
	session_site_step(s.loop, &before.starts, 1000);
	s.entry.address = after.address;
	session_apply_entry(s.upstream->session, &s.entry);
	session_site_await_state(&s, TASK_RUNNING);
	session_site_destroy(&s);
}

/*
 * The upstream's address changes while a stop order is in flight. Guards
 * against a run that goes on although it is to be stopped.
 */
static void test_stop_survives_change_of_address(void **state)
{
	struct fake_upstream before, after;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&before, s.loop);
	fake_upstream_create(&after, s.loop);
	session_site_open(&s, &before);
	session_site_step(s.loop, &s.changes, 1000);
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_RUNNING);
	fake_upstream_add_run(&after, before.running[0], before.runs[0]);
	before.mute = true;
	s.task->state = TASK_STOPPING;
	session_stop_run(s.upstream->session, s.task);
	session_site_step(s.loop, &before.stops, 1000);
	s.entry.address = after.address;
	session_apply_entry(s.upstream->session, &s.entry);
	session_site_await_state(&s, TASK_WAITING);
	session_site_destroy(&s);
}

/*
 * A run that an earlier leader recorded is to be stopped before its upstream
 * is listed. Guards against a run of a cancelled job that nobody stops.
 */
static void test_stop_decided_before_session_is_sent(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	s.upstream->state = UPSTREAM_GONE;
	s.task->run = 4;
	model_inherit_run(s.model, s.task, "u1", 77, clock_mono_ms());
	s.task->state = TASK_STOPPING;
	fake_upstream_add_run(&f, "00000000000000a1.0.0.0", 4);
	session_site_open(&s, &f);
	session_site_await_state(&s, TASK_WAITING);
	assert_int_equal(f.stops, 1);
	session_site_destroy(&s);
}

/*
 * An upstream whose domain is in doubt answers. Guards against a site on which
 * nothing is placed because each pass comes too late after the answers.
 */
static void test_answer_that_ends_doubt_is_reported(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	s.changes = 0;
	s.upstream->doubted = true;
	session_schedule_call(s.upstream->session);
	session_site_step(s.loop, &s.changes, 1000);
	assert_false(s.upstream->doubted);
	assert_int_equal(s.changes, 1);
	session_site_destroy(&s);
}

/*
 * An idle upstream has restarted unnoticed and starts a run. Guards against a
 * second run elsewhere beside it, when its lists show the restart.
 */
static void test_run_started_after_unnoticed_restart_is_kept(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	fake_upstream_restart(&f);
	s.changes = 0;
	session_site_start_task(&s);
	s.job->dirty = false;
	session_site_step(s.loop, &s.changes, 1000);
	assert_int_equal(s.upstream->started_wall_ms, f.born);
	session_site_step(s.loop, NULL, 300);
	assert_int_equal(s.task->state, TASK_RUNNING);
	assert_int_equal(s.task->run, 1);
	assert_int_equal(f.stops, 0);
	/* its row names the incarnation, so it has to be written again */
	assert_true(s.job->dirty);
	session_site_destroy(&s);
}

/*
 * The list shows a restart while a start order is in flight, which the newer
 * incarnation may carry out. Guards against a second run elsewhere: the task
 * stays there until a stop, as it may have ended the earlier one, is answered.
 */
static void test_start_in_flight_at_restart_is_settled_there(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	f.mute = true;
	session_site_start_task(&s);
	session_site_step(s.loop, &f.starts, 1000);
	fake_upstream_restart(&f);
	s.entry.started_wall_ms = f.born;
	session_apply_entry(s.upstream->session, &s.entry);
	assert_true(task_is_active(s.task));
	f.mute = false;
	session_site_await_state(&s, TASK_WAITING);
	assert_int_equal(f.starts, 1);
	assert_in_range(f.stops, 1, 2);
	session_site_destroy(&s);
}

/*
 * The list shows a restart after the newer incarnation has confirmed a run, and
 * before it has listed any. Guards against a second run elsewhere.
 */
static void test_run_confirmed_before_restart_is_known_is_kept(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	fake_upstream_restart(&f);
	f.holds_lists = true;
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_RUNNING);
	s.entry.started_wall_ms = f.born;
	session_apply_entry(s.upstream->session, &s.entry);
	assert_true(task_is_active(s.task));
	f.holds_lists = false;
	session_site_step(s.loop, NULL, 1500);
	assert_true(s.upstream->synced);
	assert_int_equal(s.task->state, TASK_RUNNING);
	assert_int_equal(s.task->run, 1);
	assert_int_equal(f.stops, 0);
	session_site_destroy(&s);
}

/*
 * An upstream that is cut off from this leader restarts, and the leader before
 * it, which is not, starts its run there. Guards against a second run elsewhere
 * until the lists show it, or the leases of that leader have ended.
 */
static void
test_run_started_after_restart_by_earlier_leader_is_kept(void **state)
{
	uint64_t end_ms;
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	for (uint32_t answers = 0; answers < 2; answers++) {
		session_site_create(&s);
		fake_upstream_create(&f, s.loop);
		s.settings.lease_ms = s.settings.lease_max_ms = 300;
		end_ms = clock_mono_ms() + 1500;
		s.model->earlier_leases_end_ms = end_ms;
		s.task->run = 4;
		s.upstream->state = UPSTREAM_GONE;
		model_inherit_run(s.model, s.task, "u1", 77, clock_mono_ms());
		f.mute = true;
		session_site_open(&s, &f);
		session_site_step(s.loop, NULL, 100);
		fake_upstream_restart(&f);
		s.entry.started_wall_ms = f.born;
		session_apply_entry(s.upstream->session, &s.entry);
		fake_upstream_add_run(&f, "00000000000000a1.0.0.0", 4);
		if (answers) {
			f.mute = false;
			session_site_await_state(&s, TASK_RUNNING);
			assert_true(clock_mono_ms() < end_ms);
			assert_int_equal(f.stops, 0);
		} else {
			while (clock_mono_ms() < end_ms) {
				assert_true(task_is_active(s.task));
				loop_step(s.loop, 10);
			}
			session_site_await_state(&s, TASK_WAITING);
		}
		session_site_destroy(&s);
	}
}

/*
 * The start of a suspect is not answered: it may have ended the upstream.
 * Guards against an order that is sent again to its next incarnation.
 */
static void test_unanswered_start_of_suspect_is_not_repeated(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	s.task->suspicion.early_ends = 1;
	f.mute = true;
	session_site_start_task(&s);
	session_site_step(s.loop, &f.stops, 1000);
	assert_int_equal(f.stops, 1);
	assert_int_equal(s.task->state, TASK_STOPPING);
	f.mute = false;
	session_site_await_state(&s, TASK_WAITING);
	assert_int_equal(f.starts, 1);
	session_site_destroy(&s);
}

/*
 * The process is paused while an unanswered start waits for its retry. Guards
 * against a start that is sent when its gang, or a successor, has given it up.
 */
static void test_start_is_not_repeated_after_its_retry_time(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	f.mute = true;
	session_site_start_task(&s);
	while (!s.task->retry)
		loop_step(s.loop, 10);
	assert_int_equal(f.starts, 1);
	g_usleep(1500000);
	f.mute = false;
	session_site_await_state(&s, TASK_WAITING);
	assert_int_equal(f.starts, 1);
	assert_in_range(f.stops, 1, 2);
	session_site_destroy(&s);
}

static bool refuse_start(void *arg, const struct task *t)
{
	(void)t;
	((struct session_site *)arg)->refusals++;
	return false;
}

/*
 * LIMIT: the upstream does not refuse excess work, and the list of upstreams
 * has become old, or shows less room, while a start waits for its repetition.
 */
static void test_start_is_not_repeated_beyond_the_listed_room(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	for (uint32_t shrinks = 0; shrinks < 2; shrinks++) {
		session_site_create(&s);
		fake_upstream_create(&f, s.loop);
		session_site_open(&s, &f);
		session_site_step(s.loop, &s.changes, 1000);
		f.mute = true;
		session_site_start_task(&s);
		session_site_step(s.loop, &f.starts, 1000);
		if (shrinks)
			s.upstream->resources.accelerators = 0;
		else
			s.env.events.may_start = refuse_start;
		session_site_step(s.loop, NULL, 600);
		f.mute = false;
		session_site_await_state(&s, TASK_WAITING);
		assert_int_equal(f.starts, 1);
		assert_true(f.stops);
		assert_true(shrinks || s.refusals);
		session_site_destroy(&s);
	}
}

static bool forbid_start(void *arg, const struct task *t)
{
	(void)arg;
	(void)t;
	return true;
}

/*
 * The operators evacuate the domain while a start waits for its repetition.
 * Guards against a start that is sent again, and against one that is dropped
 * although the first order was carried out.
 */
static void test_start_is_not_repeated_in_an_evacuated_domain(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	for (uint32_t carried_out = 0; carried_out < 2; carried_out++) {
		session_site_create(&s);
		fake_upstream_create(&f, s.loop);
		session_site_open(&s, &f);
		session_site_step(s.loop, &s.changes, 1000);
		f.mute = !carried_out;
		f.holds_orders = true;
		session_site_start_task(&s);
		session_site_step(s.loop, &f.starts, 1000);
		s.env.events.is_forbidden = forbid_start;
		/* the lists show a run that was carried out */
		f.holds_lists = true;
		session_site_step(s.loop, &f.stops, 2000);
		f.mute = f.holds_orders = f.holds_lists = false;
		fake_upstream_remove_run(&f, "00000000000000a1.0.0.0");
		session_site_await_state(&s, TASK_WAITING);
		assert_int_equal(f.starts, 1);
		assert_true(f.stops);
		session_site_destroy(&s);
	}
}

/*
 * The settings shorten the lease while an earlier leader's one of the former
 * length lasts. Guards against a run that is taken as lost before it has ended.
 */
static void test_shorter_lease_setting_does_not_shorten_leases(void **state)
{
	struct fake_upstream f;
	struct session_site s;
	uint64_t end_ms;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	s.settings.lease_ms = s.settings.lease_max_ms = 2000;
	s.model->earlier_leases_end_ms = clock_mono_ms() + 9000;
	s.task->run = 4;
	s.upstream->state = UPSTREAM_GONE;
	model_inherit_run(s.model, s.task, "u1", 77, clock_mono_ms());
	fake_upstream_add_run(&f, "00000000000000a1.0.0.0", 4);
	s.settings.lease_ms = 500;
	session_site_open(&s, &f);
	end_ms = clock_mono_ms() + 2000;
	session_site_await_state(&s, TASK_RUNNING);
	f.mute = true;
	while (clock_mono_ms() < end_ms) {
		assert_true(task_is_active(s.task));
		loop_step(s.loop, 10);
	}
	session_site_await_state(&s, TASK_WAITING);
	session_site_destroy(&s);
}

/* A run that was confirmed before a restart is lost with the first lists. */
static void test_run_of_earlier_incarnation_is_lost(void **state)
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
	fake_upstream_restart(&f);
	session_site_await_state(&s, TASK_WAITING);
	assert_int_equal(s.upstream->tasks->len, 0);
	session_site_destroy(&s);
}

/*
 * One that was listed before is lost as soon as the upstream confirms that it
 * has restarted. Its entry alone, which another writer may have left, does not
 * end the run.
 */
static void test_listed_run_is_lost_when_restart_is_confirmed(void **state)
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
	session_site_step(s.loop, NULL, 100);
	f.holds_lists = true;
	fake_upstream_restart(&f);
	s.entry.started_wall_ms = f.born;
	session_apply_entry(s.upstream->session, &s.entry);
	session_site_step(s.loop, NULL, 200);
	assert_int_equal(s.task->state, TASK_RUNNING);
	assert_false(upstream_is_usable(s.upstream, clock_mono_ms()));
	f.holds_lists = false;
	/* the call in flight ends, and the next one is answered */
	session_site_step(s.loop, NULL, 500);
	assert_int_equal(s.task->state, TASK_WAITING);
	assert_int_equal(s.upstream->tasks->len, 0);
	session_site_destroy(&s);
}

/*
 * Another writer leaves an entry with a later start, at this address or one
 * where another upstream or none answers. Guards against a second run of a task
 * whose upstream answers as before.
 */
static void test_entry_with_later_start_ends_no_run_that_goes_on(void **state)
{
	struct fake_upstream f, other;
	struct sockaddr_in addresses[3];
	struct session_site s;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
		session_site_create(&s);
		fake_upstream_create(&f, s.loop);
		fake_upstream_create(&other, s.loop);
		other.replaced = true;
		addresses[0] = f.address;
		addresses[1] = other.address;
		addresses[2] = session_site_free_address();
		session_site_open(&s, &f);
		session_site_step(s.loop, &s.changes, 1000);
		session_site_start_task(&s);
		session_site_await_state(&s, TASK_RUNNING);
		session_site_step(s.loop, NULL, 100);
		s.entry.started_wall_ms = 99;
		s.entry.address = addresses[i];
		session_apply_entry(s.upstream->session, &s.entry);
		session_site_step(s.loop, NULL, 800);
		assert_int_equal(s.task->state, TASK_RUNNING);
		/* the upstream's own entry is back with the next heartbeat */
		s.entry.started_wall_ms = f.born;
		s.entry.address = f.address;
		session_apply_entry(s.upstream->session, &s.entry);
		f.lists = 0;
		session_site_step(s.loop, NULL, 1500);
		assert_true(f.lists);
		assert_int_equal(s.task->state, TASK_RUNNING);
		assert_int_equal(s.task->run, 1);
		assert_true(upstream_is_usable(s.upstream, clock_mono_ms()));
		session_site_destroy(&s);
	}
}

/*
 * A successor knows the upstream by the entry of an earlier incarnation than
 * the one that the run's row names. Guards against a run that is taken for lost
 * by who answers at the earlier one's address, or by nobody there.
 */
static void test_old_address_says_nothing_of_recorded_incarnation(void **state)
{
	struct fake_upstream f, other;
	struct session_site s;

	(void)state;
	for (uint32_t recorded = 0; recorded < 2; recorded++) {
		session_site_create(&s);
		fake_upstream_create(&f, s.loop);
		fake_upstream_create(&other, s.loop);
		other.replaced = true;
		f.born = 88;
		s.model->earlier_leases_end_ms = clock_mono_ms() + 2500;
		session_site_open(&s, &other);
		s.task->run = 4;
		model_inherit_run(s.model, s.task, "u1", 88, clock_mono_ms());
		fake_upstream_add_run(&f, "00000000000000a1.0.0.0", 4);
		if (recorded)
			session_note_recorded(s.upstream->session, &f.address);
		session_site_step(s.loop, NULL, 1000);
		assert_true(task_is_active(s.task));
		s.entry.started_wall_ms = f.born;
		s.entry.address = f.address;
		session_apply_entry(s.upstream->session, &s.entry);
		session_site_await_state(&s, TASK_RUNNING);
		assert_int_equal(s.task->run, 4);
		assert_int_equal(f.stops, 0);
		session_site_destroy(&s);
	}
}

/*
 * An upstream has restarted at another address, and the leader before this one
 * starts the run that it recorded there. Guards against a second run elsewhere
 * by who answers at the former address.
 */
static void
test_replaced_upstream_may_run_what_earlier_leader_starts(void **state)
{
	struct fake_upstream f, other;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	fake_upstream_create(&other, s.loop);
	other.replaced = true;
	f.born = 88;
	s.model->earlier_leases_end_ms = clock_mono_ms() + 9000;
	s.upstream->state = UPSTREAM_GONE;
	s.task->run = 4;
	model_inherit_run(s.model, s.task, "u1", 77, clock_mono_ms());
	session_site_open(&s, &other);
	session_site_step(s.loop, NULL, 500);
	assert_true(task_is_active(s.task));
	fake_upstream_add_run(&f, "00000000000000a1.0.0.0", 4);
	s.entry.started_wall_ms = f.born;
	s.entry.address = f.address;
	session_apply_entry(s.upstream->session, &s.entry);
	session_site_await_state(&s, TASK_RUNNING);
	session_site_step(s.loop, NULL, 500);
	assert_int_equal(s.task->state, TASK_RUNNING);
	assert_int_equal(s.task->run, 4);
	assert_int_equal(f.stops, 0);
	session_site_destroy(&s);
}

/*
 * A call has failed when the process is suspended until the leases have ended,
 * and so does the first call after that, as its connection is gone. Guards
 * against a run that is taken for lost though its upstream was not asked in
 * time.
 */
static void test_call_of_suspended_process_proves_nothing(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	s.settings.lease_ms = s.settings.lease_max_ms = 2000;
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_RUNNING);
	f.mute = true;
	while (!s.upstream->silent)
		loop_step(s.loop, 10);
	f.mute = false;
	f.loses_next_lists = true;
	g_usleep(2300000);
	session_site_step(s.loop, NULL, 1500);
	assert_false(f.loses_next_lists);
	assert_int_equal(s.task->state, TASK_RUNNING);
	assert_int_equal(s.task->run, 1);
	session_site_destroy(&s);
}

/*
 * Orders that are not answered take all connections, so that no list call can
 * be sent until the leases have ended. Guards against a run that is taken for
 * lost though its upstream was not asked.
 */
static void test_call_without_a_connection_is_no_silence(void **state)
{
	struct fake_upstream f;
	struct session_site s;
	uint64_t until_ms;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	s.settings.lease_ms = s.settings.lease_max_ms = 300;
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_RUNNING);
	/* list calls are sent with pauses, in which orders take their place */
	f.odd_end = "[]";
	f.holds_orders = true;
	until_ms = clock_mono_ms() + 1500;
	while (clock_mono_ms() < until_ms) {
		for (uint32_t i = 0; i < 40 && task_is_active(s.task); i++)
			session_stop_run(s.upstream->session, s.task);
		assert_true(task_is_active(s.task));
		loop_step(s.loop, 5);
	}
	f.holds_orders = false;
	session_site_step(s.loop, NULL, 1000);
	assert_int_equal(s.task->run, 1);
	session_site_destroy(&s);
}

/* Report whether the upstream may be given work. */
static bool is_usable(const struct session_site *s)
{
	return upstream_is_usable(s->upstream, clock_mono_ms());
}

/* Step the loop until the upstream may be given work. */
static void assert_becomes_usable(struct session_site *s)
{
	uint64_t deadline_ms = clock_mono_ms() + SETTLE_MAX_MS;

	while (!is_usable(s) && clock_mono_ms() < deadline_ms)
		loop_step(s->loop, 10);
	assert_true(is_usable(s));
}

/*
 * An upstream withdraws its draining, is listed again after its entry was
 * missing, and answers again after another one did at its address.
 */
static void test_upstream_that_is_back_gets_work_again(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	session_site_open(&s, &f);
	assert_becomes_usable(&s);
	s.entry.draining = true;
	s.entry.drain_remaining_ms = 3000;
	session_apply_entry(s.upstream->session, &s.entry);
	assert_false(is_usable(&s));
	s.entry.draining = false;
	session_apply_entry(s.upstream->session, &s.entry);
	assert_becomes_usable(&s);
	session_note_unlisted(s.upstream->session, true);
	assert_false(is_usable(&s));
	session_apply_entry(s.upstream->session, &s.entry);
	assert_becomes_usable(&s);
	f.replaced = true;
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_WAITING);
	assert_false(is_usable(&s));
	f.replaced = false;
	session_apply_entry(s.upstream->session, &s.entry);
	assert_becomes_usable(&s);
	session_site_destroy(&s);
}

/*
 * A start order is the first call that another upstream answers. Guards against
 * a task that is blamed for the end of an upstream that it never ran on.
 */
static void test_start_that_finds_another_upstream_is_not_blamed(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	session_site_open(&s, &f);
	assert_becomes_usable(&s);
	f.replaced = true;
	f.holds_lists = true;
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_WAITING);
	assert_int_equal(f.starts, 0);
	assert_false(task_is_suspect(s.task));
	session_site_destroy(&s);
}

/* List an upstream as an incarnation of a machine; returns it. */
static struct upstream *list_incarnation(struct session_site *s, const char *id,
					 const char *machine, uint64_t born)
{
	struct upstream *u = fleet_find_upstream(s->model->fleet, id);

	if (!u)
		u = fleet_add_upstream(s->model->fleet, id);
	s->entry.started_wall_ms = born;
	s->entry.machine = g_intern_string(machine);
	if (u->session)
		session_apply_entry(u->session, &s->entry);
	else
		u->session = session_create(&s->env, u, &s->entry);
	return u;
}

/*
 * A machine has restarted under another id, and its old address is silent.
 * Guards against a job with nothing running until the leases have ended.
 */
static void test_run_on_earlier_incarnation_of_machine_is_lost(void **state)
{
	struct upstream *other, *later;
	struct fake_upstream f, g;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	fake_upstream_create(&g, s.loop);
	g.born = 99;
	s.entry.address = f.address;
	list_incarnation(&s, "u1", "m1", 77);
	session_site_step(s.loop, &s.changes, 1000);
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_RUNNING);
	f.mute = true;
	other = list_incarnation(&s, "u2", "m2", 88);
	s.entry.address = g.address;
	later = list_incarnation(&s, "u3", "m1", 99);
	assert_int_equal(s.upstream->state, UPSTREAM_GONE);
	/* a held call ends, and one that was sent since fails */
	session_site_await_state(&s, TASK_WAITING);
	/* the entry of the earlier incarnation does not make it usable again */
	s.entry.address = f.address;
	list_incarnation(&s, "u1", "m1", 77);
	assert_int_equal(s.upstream->state, UPSTREAM_GONE);
	assert_int_equal(later->state, UPSTREAM_READY);
	/* unless the later one is listed no more */
	session_note_unlisted(later->session, true);
	list_incarnation(&s, "u1", "m1", 77);
	assert_int_equal(s.upstream->state, UPSTREAM_READY);
	session_destroy(other->session);
	session_destroy(later->session);
	session_site_destroy(&s);
}

/*
 * A sound entry of another writer names the machine of an upstream and a later
 * start. Guards against a second run beside one that goes on, and against an
 * upstream that is out of use while that entry is listed.
 */
static void test_upstream_that_answers_is_not_superseded(void **state)
{
	struct fake_upstream f, g;
	struct upstream *later;
	struct session_site s;

	(void)state;
	for (uint32_t idle = 0; idle < 2; idle++) {
		session_site_create(&s);
		fake_upstream_create(&f, s.loop);
		fake_upstream_create(&g, s.loop);
		g.born = 99;
		s.entry.address = f.address;
		list_incarnation(&s, "u1", "m1", 77);
		session_site_step(s.loop, &s.changes, 1000);
		if (!idle) {
			session_site_start_task(&s);
			session_site_await_state(&s, TASK_RUNNING);
		}
		s.entry.address = g.address;
		later = list_incarnation(&s, "u3", "m1", 99);
		assert_int_equal(s.upstream->state, UPSTREAM_GONE);
		/* its entry is written again with each heartbeat */
		s.entry.address = f.address;
		list_incarnation(&s, "u1", "m1", 77);
		session_site_step(s.loop, NULL, 1500);
		assert_true(idle || s.task->state == TASK_RUNNING);
		assert_int_equal(s.upstream->state, UPSTREAM_READY);
		list_incarnation(&s, "u1", "m1", 77);
		assert_int_equal(s.upstream->state, UPSTREAM_READY);
		session_destroy(later->session);
		session_site_destroy(&s);
	}
}

/* Guards against calls and losses without end while an old entry is listed. */
static void
test_replaced_upstream_without_runs_is_not_called_again(void **state)
{
	struct fake_upstream f, g;
	struct upstream *later;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	fake_upstream_create(&g, s.loop);
	g.born = 99;
	s.entry.address = f.address;
	list_incarnation(&s, "u1", "m1", 77);
	session_site_step(s.loop, &s.changes, 1000);
	f.replaced = true;
	s.entry.address = g.address;
	later = list_incarnation(&s, "u3", "m1", 99);
	s.entry.address = f.address;
	list_incarnation(&s, "u1", "m1", 77);
	session_site_step(s.loop, NULL, 1000);
	assert_int_equal(f.refusals, 1);
	s.changes = 0;
	session_site_step(s.loop, NULL, 2000);
	assert_in_range(s.changes, 0, 2);
	assert_int_equal(f.refusals, 1);
	assert_int_equal(s.upstream->state, UPSTREAM_GONE);
	session_destroy(later->session);
	session_site_destroy(&s);
}

/*
 * A run recorded for an earlier incarnation of a machine ends once that does
 * not answer and the later one does, and goes on if it answers.
 */
static void test_run_on_earlier_incarnation_of_machine_is_not_kept(void **state)
{
	struct fake_upstream f, g;
	struct upstream *later;
	struct session_site s;

	(void)state;
	for (uint32_t answers = 0; answers < 2; answers++) {
		session_site_create(&s);
		fake_upstream_create(&f, s.loop);
		fake_upstream_create(&g, s.loop);
		g.born = 99;
		f.mute = !answers;
		s.model->earlier_leases_end_ms = clock_mono_ms() + 9000;
		s.entry.address = g.address;
		later = list_incarnation(&s, "u3", "m1", 99);
		s.entry.address = f.address;
		list_incarnation(&s, "u1", "m1", 77);
		s.task->run = 4;
		model_inherit_run(s.model, s.task, "u1", 77, clock_mono_ms());
		fake_upstream_add_run(&f, "00000000000000a1.0.0.0", 4);
		if (answers) {
			session_site_await_state(&s, TASK_RUNNING);
			session_site_step(s.loop, NULL, 1500);
			assert_int_equal(s.task->state, TASK_RUNNING);
		} else {
			session_site_await_state(&s, TASK_WAITING);
		}
		session_destroy(later->session);
		session_site_destroy(&s);
	}
}

/*
 * The upstream answers at once while it lists an end that is not acknowledged.
 * Guards against list calls without a delay, and against lost runs.
 */
static void test_odd_end_is_passed_and_its_upstream_stays_in_use(void **state)
{
	static const char *const rows[] = {
		"[1,\"00000000000000a1.0.0.0\",1,\"gone\",\"\"]",
		"[1,7,1,\"done\",\"\"]",
		"[1,\"00000000000000a1.0.0.0\",4294967297,\"done\",\"\"]",
		"[-1,\"00000000000000a1.0.0.0\",1,\"done\",\"\"]",
		"[\"1\",\"00000000000000a1.0.0.0\",1,\"done\",\"\"]",
		"[]",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct fake_upstream f;
		struct session_site s;

		session_site_create(&s);
		fake_upstream_create(&f, s.loop);
		session_site_open(&s, &f);
		session_site_step(s.loop, &s.changes, 1000);
		session_site_start_task(&s);
		session_site_await_state(&s, TASK_RUNNING);
		f.odd_end = rows[i];
		/* an upstream that is not odd holds its answers */
		f.lists = 0;
		session_site_step(s.loop, NULL, 1000);
		assert_in_range(f.lists, 2, 6);
		assert_int_equal(s.task->state, TASK_RUNNING);
		session_site_destroy(&s);
	}
}

/*
 * An entry of a later start names an address at which another upstream answers,
 * and the upstream itself has ended. Guards against a run that is never taken
 * for lost, as each call that is answered there counts as one more lease.
 */
static void test_answer_of_another_upstream_prolongs_no_lease(void **state)
{
	struct fake_upstream f, other;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	fake_upstream_create(&other, s.loop);
	other.replaced = true;
	s.settings.lease_ms = s.settings.lease_max_ms = 500;
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_RUNNING);
	f.mute = true;
	s.entry.started_wall_ms = 99;
	s.entry.address = other.address;
	session_apply_entry(s.upstream->session, &s.entry);
	session_note_unlisted(s.upstream->session, true);
	session_site_await_state(&s, TASK_WAITING);
	session_site_destroy(&s);
}

/*
 * An upstream that the leader cannot reach restarts again and again, as its
 * entries show. Guards against a run that is never taken for lost, as each entry
 * counts as one more lease.
 */
static void test_restarts_of_silent_upstream_keep_no_run_for_ever(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	s.settings.lease_ms = s.settings.lease_max_ms = 500;
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_RUNNING);
	session_site_step(s.loop, NULL, 700);
	f.mute = true;
	for (uint32_t i = 0; i < 12 && task_is_active(s.task); i++) {
		s.entry.started_wall_ms++;
		session_apply_entry(s.upstream->session, &s.entry);
		session_site_step(s.loop, NULL, 400);
	}
	assert_false(task_is_active(s.task));
	session_site_destroy(&s);
}

/*
 * An answer shows a restart before an entry does. Guards against work that is
 * placed by the labels and resources of the earlier incarnation.
 */
static void
test_restarted_upstream_gets_no_work_until_it_is_listed(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	assert_true(upstream_is_usable(s.upstream, clock_mono_ms()));
	fake_upstream_restart(&f);
	s.upstream->doubted = true;
	session_schedule_call(s.upstream->session);
	session_site_step(s.loop, NULL, 500);
	assert_int_equal(s.upstream->started_wall_ms, f.born);
	assert_false(upstream_is_usable(s.upstream, clock_mono_ms()));
	/* the entry of the earlier one is written again */
	session_apply_entry(s.upstream->session, &s.entry);
	session_site_step(s.loop, NULL, 500);
	assert_false(upstream_is_usable(s.upstream, clock_mono_ms()));
	session_site_list_as(&s, &f, "b");
	session_site_step(s.loop, NULL, 500);
	assert_true(upstream_is_usable(s.upstream, clock_mono_ms()));
	assert_string_equal(s.upstream->kind, "b");
	session_site_destroy(&s);
}

/*
 * An idle upstream has restarted, and nothing has told so yet; the connections to
 * it are open or were closed as unused. Guards against a first start that goes to
 * an incarnation that is not known.
 */
static void test_first_start_asks_who_answers(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	for (uint32_t unused = 0; unused < 2; unused++) {
		session_site_create(&s);
		fake_upstream_create(&f, s.loop);
		session_site_open(&s, &f);
		session_site_step(s.loop, &s.changes, 1000);
		if (unused)
			session_site_step(s.loop, NULL, UNUSED_CLOSED_MS);
		fake_upstream_end(&f);
		fake_upstream_restart(&f);
		fake_upstream_begin(&f, s.loop);
		session_site_start_task(&s);
		session_site_await_state(&s, TASK_WAITING);
		assert_int_equal(f.starts, 0);
		assert_int_equal(s.upstream->started_wall_ms, f.born);
		assert_false(upstream_is_usable(s.upstream, clock_mono_ms()));
		session_site_destroy(&s);
	}
}

/*
 * A start is refused and waits to be sent again; meanwhile the upstream ends, and
 * is up again as another kind. Guards against a start that is sent again to the
 * later incarnation.
 */
static void test_start_is_not_repeated_at_a_later_incarnation(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	f.refuses_starts = true;
	session_site_start_task(&s);
	session_site_step(s.loop, NULL, 300);
	assert_int_equal(s.task->state, TASK_PLACED);
	fake_upstream_end(&f);
	fake_upstream_restart(&f);
	f.refuses_starts = false;
	fake_upstream_begin(&f, s.loop);
	session_site_list_as(&s, &f, "b");
	session_site_await_state(&s, TASK_WAITING);
	session_site_step(s.loop, NULL, 1500);
	assert_int_equal(f.starts, 0);
	assert_true(upstream_is_usable(s.upstream, clock_mono_ms()));
	session_site_destroy(&s);
}

/*
 * The later incarnation has begun a run before it was known. Guards against work
 * that goes on where its client has excluded it.
 */
static void
test_run_that_does_not_suit_a_new_incarnation_is_stopped(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	s.entry.kind = "a";
	text_set(&s.job->steps[0].label, "a");
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	fake_upstream_restart(&f);
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_RUNNING);
	session_site_list_as(&s, &f, "b");
	session_site_await_state(&s, TASK_WAITING);
	assert_int_equal(f.stops, 1);
	session_site_destroy(&s);
}

/*
 * Another writer leaves an entry of a later start and another kind. Guards
 * against its labels, and against an upstream that is out of use meanwhile.
 */
static void test_labels_of_a_denied_entry_are_not_used(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	s.entry.kind = "a";
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	s.entry.started_wall_ms = 99;
	s.entry.kind = "b";
	for (uint32_t i = 0; i < 3; i++) {
		session_apply_entry(s.upstream->session, &s.entry);
		session_site_step(s.loop, NULL, 300);
		assert_string_equal(s.upstream->kind, "a");
	}
	assert_true(upstream_is_usable(s.upstream, clock_mono_ms()));
	session_site_destroy(&s);
}

/* Guards against an upstream that gets no starts as it closes connections. */
static void test_upstream_that_keeps_no_connection_is_used(void **state)
{
	struct fake_upstream f;
	struct session_site s;

	(void)state;
	session_site_create(&s);
	fake_upstream_create(&f, s.loop);
	http_server_close_after_reply(f.server);
	session_site_open(&s, &f);
	session_site_step(s.loop, &s.changes, 1000);
	session_site_start_task(&s);
	session_site_await_state(&s, TASK_RUNNING);
	assert_int_equal(f.starts, 1);
	session_site_destroy(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_restarted_upstream_gets_no_work_until_it_is_listed),
		cmocka_unit_test(test_first_start_asks_who_answers),
		cmocka_unit_test(
			test_start_is_not_repeated_at_a_later_incarnation),
		cmocka_unit_test(
			test_run_that_does_not_suit_a_new_incarnation_is_stopped),
		cmocka_unit_test(test_labels_of_a_denied_entry_are_not_used),
		cmocka_unit_test(
			test_upstream_that_keeps_no_connection_is_used),
		cmocka_unit_test(test_run_is_started_and_stopped),
		cmocka_unit_test(test_start_survives_change_of_address),
		cmocka_unit_test(test_stop_survives_change_of_address),
		cmocka_unit_test(test_stop_decided_before_session_is_sent),
		cmocka_unit_test(test_answer_that_ends_doubt_is_reported),
		cmocka_unit_test(
			test_run_started_after_unnoticed_restart_is_kept),
		cmocka_unit_test(
			test_start_in_flight_at_restart_is_settled_there),
		cmocka_unit_test(
			test_run_confirmed_before_restart_is_known_is_kept),
		cmocka_unit_test(
			test_run_started_after_restart_by_earlier_leader_is_kept),
		cmocka_unit_test(
			test_unanswered_start_of_suspect_is_not_repeated),
		cmocka_unit_test(
			test_start_is_not_repeated_after_its_retry_time),
		cmocka_unit_test(
			test_start_is_not_repeated_beyond_the_listed_room),
		cmocka_unit_test(
			test_start_is_not_repeated_in_an_evacuated_domain),
		cmocka_unit_test(
			test_shorter_lease_setting_does_not_shorten_leases),
		cmocka_unit_test(test_run_of_earlier_incarnation_is_lost),
		cmocka_unit_test(
			test_listed_run_is_lost_when_restart_is_confirmed),
		cmocka_unit_test(
			test_replaced_upstream_may_run_what_earlier_leader_starts),
		cmocka_unit_test(test_call_of_suspended_process_proves_nothing),
		cmocka_unit_test(test_call_without_a_connection_is_no_silence),
		cmocka_unit_test(
			test_entry_with_later_start_ends_no_run_that_goes_on),
		cmocka_unit_test(
			test_old_address_says_nothing_of_recorded_incarnation),
		cmocka_unit_test(test_upstream_that_is_back_gets_work_again),
		cmocka_unit_test(
			test_start_that_finds_another_upstream_is_not_blamed),
		cmocka_unit_test(
			test_run_on_earlier_incarnation_of_machine_is_lost),
		cmocka_unit_test(
			test_run_on_earlier_incarnation_of_machine_is_not_kept),
		cmocka_unit_test(test_upstream_that_answers_is_not_superseded),
		cmocka_unit_test(
			test_replaced_upstream_without_runs_is_not_called_again),
		cmocka_unit_test(
			test_answer_of_another_upstream_prolongs_no_lease),
		cmocka_unit_test(
			test_restarts_of_silent_upstream_keep_no_run_for_ever),
		cmocka_unit_test(
			test_odd_end_is_passed_and_its_upstream_stays_in_use),
	};

	/* processes end while calls reach them */
	signal(SIGPIPE, SIG_IGN);
	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
