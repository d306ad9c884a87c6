/*
 * Tests of the leader's parts that do no I/O: leases, departures, start
 * orders, upstream lists, recovery and succession.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "lead/contact.h"
#include "lead/delivery.h"
#include "lead/departure.h"
#include "lead/election.h"
#include "lead/leaseclock.h"
#include "lead/model.h"
#include "lead/record.h"
#include "lead/replica.h"
#include "lead/succession.h"
#include <stdlib.h>

#define LEASE_MS 6000

/*
 * An upstream that stops answering is called repeatedly. Its runs must be
 * known to have ended when the last granted lease is over; renewals that
 * counted as granted would postpone that forever.
 */
static void test_leases_of_silent_upstream_expire(void **state)
{
	struct lease_clock c;
	uint64_t now = 1000000;

	(void)state;
	lease_clock_reset(&c, 0);
	lease_clock_note_answer(&c, 500, now);
	assert_int_equal(lease_clock_request(&c, LEASE_MS, now),
			 500 + LEASE_MS);
	for (uint32_t i = 0; i < 60; i++) {
		lease_clock_note_timeout(&c);
		now += 120;
		assert_int_equal(lease_clock_request(&c, LEASE_MS, now), 0);
	}
	assert_true(lease_clock_is_expired(&c, now));
}

static void test_lease_bound_allows_for_slow_upstream_clock(void **state)
{
	struct lease_clock c;

	(void)state;
	lease_clock_reset(&c, 0);
	lease_clock_note_answer(&c, 500, 1000);
	lease_clock_request(&c, LEASE_MS, 1000);
	assert_false(lease_clock_is_expired(&c, 1000 + LEASE_MS * 100 / 98));
	assert_true(lease_clock_is_expired(&c, 1000 + LEASE_MS * 104 / 100));
}

static void test_lease_request_assumes_slowest_upstream_clock(void **state)
{
	struct lease_clock c;

	(void)state;
	lease_clock_reset(&c, 0);
	assert_int_equal(lease_clock_request(&c, LEASE_MS, 1000), 0);
	lease_clock_note_answer(&c, 500, 1000);
	assert_int_equal(lease_clock_request(&c, LEASE_MS, 2000),
			 500 + 980 + LEASE_MS);
}

/*
 * An upstream that obeyed a new leader and then left delays its tasks by at
 * most one lease, whatever the old leader has requested.
 */
static void test_new_epoch_bounds_leases_of_earlier_leader(void **state)
{
	struct lease_clock c;

	(void)state;
	lease_clock_reset(&c, 1000 + 26000);
	lease_clock_note_answer(&c, 500, 1000);
	lease_clock_note_token_accepted(&c, LEASE_MS, 1000);
	assert_false(lease_clock_is_expired(&c, 1000 + LEASE_MS));
	assert_true(lease_clock_is_expired(&c, 1000 + LEASE_MS * 104 / 100));
}

/*
 * A draining upstream answers until it leaves. Its tasks may run elsewhere
 * once its entry is removed and its address refuses connections, but must
 * wait for the end of their leases if a network partition can explain the
 * same observations.
 */
static void test_departed_upstream_is_distinguished_from_partition(void **state)
{
	struct departure d = {.entry_timeout_ms = 3000};

	(void)state;
	departure_note_answer(&d, 10000);
	departure_note_written(&d, 9500);
	/* The upstream is still listed. */
	assert_false(departure_is_certain(&d, 10500));
	departure_note_unlisted(&d, true, 10600);
	/* The call was sent before the removal. */
	assert_false(departure_is_certain(&d, 10500));
	assert_true(departure_is_certain(&d, 10700));
	/* An answer after the removal shows that it still runs. */
	departure_note_answer(&d, 10800);
	assert_false(departure_is_certain(&d, 10900));

	/* After silence it may still run behind a network partition. */
	departure_note_answer(&d, 20000);
	departure_note_written(&d, 20000);
	departure_note_unlisted(&d, true, 23000);
	assert_false(departure_is_certain(&d, 23100));

	/* An upstream that was not draining did not leave by itself. */
	departure_note_answer(&d, 30000);
	departure_note_written(&d, 30000);
	departure_note_unlisted(&d, false, 30100);
	assert_false(departure_is_certain(&d, 30200));

	/* An upstream that is listed again has not left. */
	departure_note_unlisted(&d, true, 30300);
	departure_note_listed(&d);
	assert_false(departure_is_certain(&d, 30400));

	/* Nobody knows when an entry was written that a full read shows. */
	departure_note_written(&d, 0);
	departure_note_unlisted(&d, true, 30300);
	assert_false(departure_is_certain(&d, 30400));
}

/*
 * A draining upstream is cut off from the store and not from the leader: the
 * platform removes its entry. Then it is cut off from the leader as well, by a
 * cut that refuses connections.
 */
static void test_upstream_cut_off_from_the_store_has_not_left(void **state)
{
	struct departure d = {.entry_timeout_ms = 3000};

	(void)state;
	departure_note_written(&d, 9900);
	departure_note_answer(&d, 14400);
	departure_note_unlisted(&d, true, 14500);
	assert_false(departure_is_certain(&d, 14700));
}

/* A fleet of one upstream, and a job whose tasks are placed on it. */
struct fixture {
	struct model *model;
	struct upstream *upstream;
	struct job *job;
	struct task *task;
};

static void fixture_create(struct fixture *s, uint32_t tasks, bool gang)
{
	struct step *step;

	s->model = model_create();
	s->upstream = fleet_add_upstream(s->model->fleet, "u1");
	s->upstream->resources = (struct resources){100000, 100000, 100};
	s->upstream->started_wall_ms = 77;
	s->job = job_create("00000000000000a1");
	s->job->max_attempts = 3;
	s->job->queue_known = true;
	step = job_add_step(s->job);
	step->count = tasks;
	step->gang = gang;
	step->need = (struct resources){1000, 1000, 1};
	job_create_stages(s->job);
	model_add_job(s->model, s->job);
	for (uint32_t i = 0; i < tasks; i++)
		task_place(job_find_task(s->job, 0, 0, i), s->upstream, 1,
			   1000);
	s->task = job_find_task(s->job, 0, 0, 0);
}

static uint32_t active_count;

static void count_active(void *arg, struct task *t, const struct run_place *at)
{
	(void)arg;
	(void)t;
	active_count +=
		!strcmp(at->upstream, "u1") && at->started_wall_ms == 77;
}

static void fixture_destroy(struct fixture *s)
{
	model_destroy(s->model);
}

/*
 * The first order was not answered and may be carried out seconds later; a
 * refusal of its retry must not make the leader forget the run.
 */
static void
test_refused_retry_after_unanswered_order_requires_stop(void **state)
{
	static const enum order_outcome refusals[] = {
		ORDER_INVALID, ORDER_NO_CAPACITY, ORDER_UNAVAILABLE,
		ORDER_NO_TICKET};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		struct fixture s;

		fixture_create(&s, 1, false);
		assert_int_equal(delivery_decide(s.task, ORDER_UNKNOWN, 1100),
				 DELIVERY_RETRY);
		assert_int_equal(delivery_decide(s.task, refusals[i], 1200),
				 DELIVERY_STOP);
		fixture_destroy(&s);
	}
}

static void test_late_retry_after_timeout_requires_stop(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 1, false);
	delivery_decide(s.task, ORDER_UNKNOWN, 1100);
	assert_int_equal(delivery_decide(s.task, ORDER_LEASE_EXPIRED, 1200),
			 DELIVERY_RETRY);
	assert_int_equal(delivery_decide(s.task, ORDER_LEASE_EXPIRED, 9000),
			 DELIVERY_STOP);
	fixture_destroy(&s);
}

static void test_refused_first_order_counts_as_not_started(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 1, false);
	assert_int_equal(delivery_decide(s.task, ORDER_NO_CAPACITY, 1100),
			 DELIVERY_NOT_STARTED);
	fixture_destroy(&s);
}

static void
test_old_run_without_unanswered_order_counts_as_not_started(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 1, false);
	assert_int_equal(delivery_decide(s.task, ORDER_OLD_RUN, 1200),
			 DELIVERY_NOT_STARTED);
	fixture_destroy(&s);
}

/*
 * The first order was carried out and its answer lost; the short run had
 * ended when the order was retried.
 */
static void test_old_run_after_unanswered_order_awaits_its_end(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 1, false);
	delivery_decide(s.task, ORDER_UNKNOWN, 1100);
	assert_int_equal(delivery_decide(s.task, ORDER_OLD_RUN, 1200),
			 DELIVERY_AWAIT_END);
	fixture_destroy(&s);
}

/*
 * The end time is set before a final state is recorded; a row without an
 * end time is never removed.
 */
static void test_failed_job_expires_only_after_its_end_time(void **state)
{
	struct state_record r = {.state = JOB_FAILED};
	struct fixture s;
	char *text;

	(void)state;
	assert_false(state_expired(&r, 0));
	assert_false(state_expired(&r, 1000));
	fixture_create(&s, 1, false);
	s.job->max_attempts = 1;
	task_end_run(s.task, RUN_FAILED, NULL, 2000);
	model_update_job_states(s.model, 7000);
	text = state_encode(s.job);
	assert_true(state_decode(text, &r));
	assert_int_equal(r.ended_ms, 7000);
	assert_false(state_expired(&r, 7000));
	assert_true(state_expired(&r, 7001));
	free(text);
	fixture_destroy(&s);
}

/* A run row contains all that a new leader needs to know of a job's runs. */
static void test_run_row_round_trip_restores_task_state(void **state)
{
	struct fixture s, t;
	char *text;

	(void)state;
	fixture_create(&s, 6, false);
	task_end_run(job_find_task(s.job, 0, 0, 1), RUN_DONE, NULL, 2000);
	task_end_run(job_find_task(s.job, 0, 0, 2), RUN_FAILED, "saved", 2000);
	text = run_encode(s.job);
	fixture_create(&t, 6, false);
	for (uint32_t i = 0; i < 6; i++)
		task_end_run(job_find_task(t.job, 0, 0, i), RUN_NEVER_STARTED,
			     NULL, 2000);
	active_count = 0;
	assert_true(run_decode(t.job, text, count_active, NULL));
	assert_int_equal(active_count, 4);
	assert_int_equal(job_find_task(t.job, 0, 0, 1)->state, TASK_DONE);
	assert_int_equal(job_find_task(t.job, 0, 0, 2)->failures, 1);
	assert_string_equal(job_find_task(t.job, 0, 0, 2)->checkpoint, "saved");
	assert_int_equal(job_find_task(t.job, 0, 0, 5)->run, 1);
	free(text);
	fixture_destroy(&s);
	fixture_destroy(&t);
}

static void inherit_run(void *arg, struct task *t, const struct run_place *at)
{
	model_inherit_run(arg, t, at->upstream, at->started_wall_ms, 3000);
}

/* Decode a run row in a new leader whose list has no upstream yet. */
static void decode_in_new_leader(struct fixture *s, const char *row)
{
	s->model = model_create();
	s->job = job_create("00000000000000a1");
	job_add_step(s->job)->count = 1;
	job_create_stages(s->job);
	model_add_job(s->model, s->job);
	assert_true(run_decode(s->job, row, inherit_run, s->model));
	s->task = job_find_task(s->job, 0, 0, 0);
	s->upstream = fleet_find_upstream(s->model->fleet, "u1");
}

/*
 * An upstream's entry has expired when a leader takes over and records the
 * job again; the next leader finds it listed in the same incarnation, in
 * which the task still runs.
 */
static void test_run_on_unlisted_upstream_survives_leader_changes(void **state)
{
	struct fixture first, second, third;
	char *row;

	(void)state;
	fixture_create(&first, 1, false);
	row = run_encode(first.job);
	decode_in_new_leader(&second, row);
	free(row);
	assert_ptr_equal(second.task->at, second.upstream);
	assert_int_equal(second.upstream->state, UPSTREAM_GONE);
	row = run_encode(second.job);
	decode_in_new_leader(&third, row);
	free(row);
	assert_false(model_note_incarnation(third.model, third.upstream, 77,
					    4000, NULL));
	assert_ptr_equal(third.task->at, third.upstream);
	/* None of its runs is active in a later incarnation. */
	assert_true(model_note_incarnation(third.model, third.upstream, 78,
					   4000, NULL));
	assert_null(third.task->at);
	assert_int_equal(third.task->state, TASK_WAITING);
	fixture_destroy(&first);
	fixture_destroy(&second);
	fixture_destroy(&third);
}

/* Apply lists of the only upstream, which show this many runs of the task. */
static void apply_running(struct fixture *s, uint32_t running, uint64_t now_ms)
{
	GArray *strays = g_array_new(FALSE, FALSE, sizeof(struct stray_run));
	char name[TASK_NAME_BYTES];
	struct run_report r = {.run = s->task->run, .checkpoint = ""};
	struct order_answer a = {.outcome = ORDER_DONE,
				 .has_lists = true,
				 .running = &r,
				 .running_len = running};

	task_format_name(s->task, name, sizeof(name));
	r.task = name;
	model_apply_lists(s->model, s->upstream, &a, now_ms, now_ms, 0, strays);
	assert_int_equal(strays->len, 0);
	g_array_unref(strays);
}

/* Let a leader at 3000 take over a run whose upstream is not listed yet. */
static void take_over_run(struct fixture *s, uint64_t earlier_leases_end_ms)
{
	struct fixture first;
	char *row;

	fixture_create(&first, 1, false);
	row = run_encode(first.job);
	decode_in_new_leader(s, row);
	s->model->earlier_leases_end_ms = earlier_leases_end_ms;
	s->job->dirty = false;
	free(row);
	fixture_destroy(&first);
}

/*
 * An upstream has restarted after a change of leader. The earlier leader may
 * still send its start there, as the new incarnation has seen no epoch. Guards
 * against a second run elsewhere beside that one.
 */
static void
test_run_is_kept_at_restart_while_earlier_leader_may_start_it(void **state)
{
	struct fixture s;

	(void)state;
	take_over_run(&s, 20000);
	assert_true(
		model_note_incarnation(s.model, s.upstream, 78, 4000, NULL));
	assert_ptr_equal(s.task->at, s.upstream);
	assert_true(s.job->dirty);
	/* the end of the incarnation counts all the same */
	assert_int_equal(s.task->suspicion.early_ends, 1);
	apply_running(&s, 1, 5000);
	assert_int_equal(s.task->state, TASK_RUNNING);
	/* and so for a run that this leader has seen there */
	assert_true(
		model_note_incarnation(s.model, s.upstream, 79, 6000, NULL));
	assert_ptr_equal(s.task->at, s.upstream);
	apply_running(&s, 0, 7000);
	assert_int_equal(s.task->state, TASK_WAITING);
	fixture_destroy(&s);
}

/* A restart costs no time when no earlier leader can act. */
static void
test_run_is_lost_at_restart_after_leases_of_earlier_leaders(void **state)
{
	struct fixture s;

	(void)state;
	take_over_run(&s, 3999);
	assert_true(
		model_note_incarnation(s.model, s.upstream, 78, 4000, NULL));
	assert_int_equal(s.task->state, TASK_WAITING);
	fixture_destroy(&s);
	/* nor for a run that this leader has placed itself */
	take_over_run(&s, 20000);
	task_end_run(s.task, RUN_NEVER_STARTED, NULL, 3100);
	task_place(s.task, s.upstream, s.task->run + 1, 3200);
	s.task->sent = true;
	task_confirm(s.task, 3300);
	task_record_progress(s.task, 1, 3300);
	assert_true(
		model_note_incarnation(s.model, s.upstream, 78, 4000, NULL));
	assert_int_equal(s.task->state, TASK_WAITING);
	fixture_destroy(&s);
}

/* The upstream is listed with its new incarnation before the run is read. */
static void
test_run_of_ended_incarnation_is_taken_over_while_it_may_start(void **state)
{
	struct fixture s;

	(void)state;
	take_over_run(&s, 20000);
	task_end_run(s.task, RUN_NEVER_STARTED, NULL, 3100);
	s.upstream->started_wall_ms = 78;
	model_inherit_run(s.model, s.task, "u1", 77, 3200);
	assert_ptr_equal(s.task->at, s.upstream);
	assert_int_equal(s.task->suspicion.early_ends, 1);
	apply_running(&s, 0, 3300);
	assert_int_equal(s.task->state, TASK_WAITING);
	model_inherit_run(s.model, s.task, "u1", 77, 20001);
	assert_int_equal(s.task->state, TASK_WAITING);
	fixture_destroy(&s);
}

/*
 * Every task that waits for a retry is handled, even if tasks end while the
 * list of them is processed.
 */
static void test_retries_cover_tasks_that_end_meanwhile(void **state)
{
	GPtrArray *list;
	struct fixture s;

	(void)state;
	fixture_create(&s, 5, false);
	for (uint32_t i = 0; i < 5; i++)
		job_find_task(s.job, 0, 0, i)->retry = true;
	list = upstream_take_retry_tasks(s.upstream);
	for (guint i = 0; i < list->len; i++)
		task_end_run(g_ptr_array_index(list, i), RUN_NEVER_STARTED,
			     NULL, 2000);
	assert_int_equal(list->len, 5);
	assert_int_equal(s.upstream->tasks->len, 0);
	g_ptr_array_free(list, TRUE);
	fixture_destroy(&s);
}

/* Only a list requested after the stop proves that the run has ended. */
static void test_list_requested_before_stop_keeps_task_stopping(void **state)
{
	GArray *strays = g_array_new(FALSE, FALSE, sizeof(struct stray_run));
	struct order_answer empty = {.outcome = ORDER_DONE, .has_lists = true};
	struct fixture s;

	(void)state;
	fixture_create(&s, 1, false);
	s.task->state = TASK_STOPPING;
	model_apply_lists(s.model, s.upstream, &empty, 1500, 1600, 0, strays);
	assert_int_equal(s.task->state, TASK_STOPPING);
	s.task->stop_answered_ms = 1550;
	model_apply_lists(s.model, s.upstream, &empty, 1500, 1600, 0, strays);
	assert_int_equal(s.task->state, TASK_STOPPING);
	model_apply_lists(s.model, s.upstream, &empty, 1560, 1600, 0, strays);
	assert_int_equal(s.task->state, TASK_WAITING);
	g_array_unref(strays);
	fixture_destroy(&s);
}

/* A call sent in the same millisecond as the confirmation may predate it. */
static void
test_list_requested_in_confirmation_millisecond_keeps_run(void **state)
{
	GArray *strays = g_array_new(FALSE, FALSE, sizeof(struct stray_run));
	struct order_answer empty = {.outcome = ORDER_DONE, .has_lists = true};
	struct fixture s;

	(void)state;
	fixture_create(&s, 1, false);
	task_confirm(s.task, 1015);
	model_apply_lists(s.model, s.upstream, &empty, 1015, 1016, 0, strays);
	assert_int_equal(s.task->state, TASK_RUNNING);
	model_apply_lists(s.model, s.upstream, &empty, 1016, 1017, 0, strays);
	assert_int_equal(s.task->state, TASK_WAITING);
	g_array_unref(strays);
	fixture_destroy(&s);
}

static void test_failures_of_one_gang_run_count_once(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 4, true);
	for (uint32_t i = 0; i < 4; i++)
		task_end_run(job_find_task(s.job, 0, 0, i), RUN_FAILED, NULL,
			     2000);
	assert_int_equal(s.job->stages[0].failures, 1);
	assert_int_equal(s.job->state, JOB_RUNNING);
	fixture_destroy(&s);
}

static void apply_done(struct fixture *s, uint32_t run, GArray *strays)
{
	struct run_end_report end = {.number = 1,
				     .task = "00000000000000a1.0.0.0",
				     .run = run,
				     .end_reason = RUN_DONE,
				     .checkpoint = ""};
	struct order_answer a = {.outcome = ORDER_DONE,
				 .has_lists = true,
				 .ended = &end,
				 .ended_len = 1};

	model_apply_lists(s->model, s->upstream, &a, 3000, 3001, 0, strays);
}

/*
 * An upstream was silent until its leases ended, so its run was counted as
 * lost; later it lists the run as done. The run must not be repeated.
 */
static void test_run_done_during_silence_completes_task(void **state)
{
	GArray *strays = g_array_new(FALSE, FALSE, sizeof(struct stray_run));
	struct fixture s;

	(void)state;
	fixture_create(&s, 1, false);
	task_confirm(s.task, 1015);
	model_lose_upstream(s.model, s.upstream, 2000,
			    INCARNATION_PRESUMED_ENDED, "leases ended");
	assert_int_equal(s.task->state, TASK_WAITING);
	apply_done(&s, s.task->run, strays);
	assert_int_equal(s.task->state, TASK_DONE);
	g_array_unref(strays);
	fixture_destroy(&s);
}

/*
 * An upstream was silent until its leases ended and its task was placed
 * again; later it lists the first run as done. The newer run is stopped, and
 * the task counts as done however that run ends.
 */
static void test_repeated_run_of_completed_task_is_stopped(void **state)
{
	GArray *strays = g_array_new(FALSE, FALSE, sizeof(struct stray_run));
	struct upstream *other;
	struct fixture s;
	uint32_t run;

	(void)state;
	fixture_create(&s, 1, false);
	task_confirm(s.task, 1015);
	run = s.task->run;
	model_lose_upstream(s.model, s.upstream, 2000,
			    INCARNATION_PRESUMED_ENDED, "leases ended");
	other = fleet_add_upstream(s.model->fleet, "u9");
	task_place(s.task, other, run + 1, 2100);
	apply_done(&s, run, strays);
	assert_true(task_is_active(s.task));
	assert_true(s.task->earlier_run_done &&
		    s.task->stage->earlier_run_done);
	task_end_run(s.task, RUN_STOPPED, NULL, 3100);
	assert_int_equal(s.task->state, TASK_DONE);
	g_array_unref(strays);
	fixture_destroy(&s);
}

/*
 * A strong instance claims first. A weak leader yields, but leads again if
 * no stronger instance claims, for longer each time.
 */
static void test_weak_leader_yields_with_growing_delay(void **state)
{
	uint32_t weak = succession_strength(0.12, 20);
	uint32_t full = succession_strength(0.5, 200);
	struct succession s = {0};
	uint32_t yields = 0;

	(void)state;
	assert_int_equal(full, STRENGTH_FULL_PERCENT);
	assert_int_equal(succession_claim_delay_ms(full), 0);
	assert_true(succession_claim_delay_ms(weak) > 3000);
	succession_note_gained(&s, 1000);
	/* It does not yield if no peer is stronger. */
	assert_false(succession_try_yield(&s, 0, 100000));
	assert_false(succession_try_yield(&s, 3, 1100));
	for (uint64_t now = 1000; now < 61000; now += 100) {
		if (!succession_try_yield(&s, 3, now))
			continue;
		yields++;
		succession_note_lost(&s);
		assert_false(succession_try_yield(&s, 3, now + 50));
		succession_note_gained(&s, now + 100);
	}
	assert_in_range(yields, 1, 6);
}

/* A store whose calls the test answers. */
struct manual_store {
	char path[256]; /* of the call in flight; empty: none */
	uint32_t sent;	/* number of calls */
	http_done_fn done;
	void *done_arg;
};

static bool send_to_test(void *arg, const char *method, const char *path,
			 const char *body, uint32_t timeout_ms,
			 http_done_fn done, void *done_arg)
{
	struct manual_store *m = arg;

	(void)method;
	(void)body;
	(void)timeout_ms;
	g_strlcpy(m->path, path, sizeof(m->path));
	m->sent++;
	m->done = done;
	m->done_arg = done_arg;
	return true;
}

/* What an election under test has reported. */
struct election_log {
	uint32_t gained;
	uint32_t committed;
};

static void note_gained(void *arg, uint64_t version)
{
	(void)version;
	((struct election_log *)arg)->gained++;
}

static void note_lost(void *arg, const char *why)
{
	(void)arg;
	(void)why;
}

static void note_committed(void *arg)
{
	((struct election_log *)arg)->committed++;
}

static void note_write_due(void *arg)
{
	(void)arg;
}

/* Show the election its own record of this sequence in the feed. */
static void feed_own_row(struct election *e, uint64_t sequence,
			 uint64_t version)
{
	struct owner_record r = {.instance = "i",
				 .incarnation = 7,
				 .epoch = EPOCH_STEP,
				 .sequence = sequence};
	char *value = owner_encode(&r);

	election_apply_row(e, value, version);
	free(value);
}

/*
 * The store executes a claim and a write and loses both answers. The feed shows
 * their rows, so the claim holds and the write counts as committed; the row of
 * an earlier write confirms nothing. Guards against a leaderless time until the
 * store answers a retry.
 */
static void test_feed_confirms_writes_without_answer(void **state)
{
	struct election_log g = {0};
	struct election_events ev = {.gained = note_gained,
				     .lost = note_lost,
				     .committed = note_committed,
				     .write_due = note_write_due};
	struct loop *l = loop_create();
	struct counters *c = counters_create();
	struct manual_store m = {0};
	struct rows *rows = rows_create(send_to_test, &m);
	struct election *e = election_create(l, rows, c, "i", 7, 0, &ev, &g);
	uint64_t deadline_ms = clock_mono_ms() + 5000;

	(void)state;
	election_apply_row(e, NULL, 0);
	while (!m.sent && clock_mono_ms() < deadline_ms) {
		election_consider_claim(e, 1, true);
		loop_step(l, 10);
	}
	assert_int_equal(m.sent, 1);
	feed_own_row(e, 1, 5);
	assert_int_equal(g.gained, 1);
	assert_true(election_is_leader(e));
	election_commit(e, rows_tx_create("leader"));
	feed_own_row(e, 1, 5);
	assert_int_equal(g.committed, 0);
	assert_true(election_write_in_flight(e));
	feed_own_row(e, 2, 6);
	assert_int_equal(g.committed, 1);
	assert_false(election_write_in_flight(e));
	election_destroy(e);
	rows_destroy(rows);
	counters_destroy(c);
	loop_destroy(l);
}

static void ignore_change(void *arg, const char *key, const char *value,
			  uint64_t version)
{
	(void)arg;
	(void)key;
	(void)value;
	(void)version;
}

/* Wait for a call and check that its path contains this text. */
static void assert_call(struct manual_store *m, struct loop *l,
			const char *text)
{
	uint64_t deadline_ms = clock_mono_ms() + 5000;

	while (!*m->path && clock_mono_ms() < deadline_ms)
		loop_step(l, 10);
	assert_non_null(strstr(m->path, text));
	*m->path = '\0';
}

/*
 * A feed call is not answered. The next one does not let the store wait for a
 * change, so that it is known early when the store is back; the one after its
 * answer does. Guards against a policy that comes into force too late after an
 * outage.
 */
static void test_feed_call_after_failure_asks_for_immediate_answer(void **state)
{
	struct manual_store m = {0};
	struct loop *l = loop_create();
	struct rows *rows = rows_create(send_to_test, &m);
	struct replica_events ev = {.changed = ignore_change};
	struct http_result ok = {.verdict = verdict_ran(),
				 .status = 200,
				 .body = "{}",
				 .len = 2};
	struct http_result lost = {
		.verdict = verdict_may_have_run(REASON_DEADLINE), .body = ""};
	struct replica *f = replica_create(l, rows, "op", replica_single_part,
					   1000, &ev, NULL);

	(void)state;
	assert_call(&m, l, "/-/rows-get");
	m.done(m.done_arg, &ok);
	assert_call(&m, l, "waitMs=1000");
	m.done(m.done_arg, &lost);
	assert_call(&m, l, "waitMs=0");
	m.done(m.done_arg, &ok);
	assert_call(&m, l, "waitMs=1000");
	m.done(m.done_arg, &ok);
	replica_destroy(f);
	rows_destroy(rows);
	loop_destroy(l);
}

/* A replica, and the bound on the age of its last change. */
struct aged_change {
	struct replica *replica;
	uint64_t after_ms;
};

static void note_age(void *arg, const char *key, const char *value,
		     uint64_t version)
{
	struct aged_change *c = arg;

	(void)key;
	(void)value;
	(void)version;
	c->after_ms = replica_changes_after_ms(c->replica);
}

/*
 * A change is newer than the answer before the one that shows it, also when
 * both are read after a pause. That of a full read may have any age.
 */
static void test_age_of_a_change_is_bounded_by_the_feed(void **state)
{
	static const char *const text[] = {
		"{\"rowVersion\":1,\"rows\":"
		"[{\"key\":\"a\",\"value\":\"\",\"rowVersion\":1}]}",
		"{\"rowVersion\":2,\"rows\":"
		"[{\"key\":\"a\",\"value\":\"\",\"rowVersion\":2}]}",
		"{\"rowVersion\":3,\"rows\":"
		"[{\"key\":\"a\",\"value\":\"\",\"rowVersion\":3}]}"};
	struct manual_store m = {0};
	struct loop *l = loop_create();
	struct rows *rows = rows_create(send_to_test, &m);
	struct replica_events ev = {.changed = note_age};
	struct http_result ok = {.verdict = verdict_ran(), .status = 200};
	struct aged_change c = {.after_ms = 1};
	uint64_t feed_ms = 0;

	(void)state;
	c.replica = replica_create(l, rows, "op", replica_single_part, 1000,
				   &ev, &c);
	for (uint32_t i = 0; i < 3; i++) {
		assert_call(&m, l, i ? "rows-feed" : "rows-get");
		feed_ms = i == 1 ? clock_mono_ms() : feed_ms;
		g_usleep(20000);
		ok.body = text[i];
		ok.len = strlen(text[i]);
		m.done(m.done_arg, &ok);
		assert_true(i == 2 ? c.after_ms && c.after_ms <= feed_ms
				   : !c.after_ms);
		assert_int_equal(replica_changes_after_ms(c.replica), 0);
	}
	replica_destroy(c.replica);
	rows_destroy(rows);
	loop_destroy(l);
}

/* BUDGET: each restart of an upstream put its task back to waiting for good. */
static void test_task_under_which_upstreams_restart_is_given_up(void **state)
{
	struct fixture s;
	uint32_t starts = 0;

	(void)state;
	fixture_create(&s, 1, false);
	task_end_run(s.task, RUN_NEVER_STARTED, NULL, 1500);
	while (!job_is_final(s.job) && starts < 6) {
		uint64_t now = 2000 + 5000 * starts;
		char id[16];
		struct upstream *u;

		snprintf(id, sizeof(id), "x%u", starts++);
		u = fleet_add_upstream(s.model->fleet, id);
		model_note_incarnation(s.model, u, 77, now, NULL);
		task_place(s.task, u, s.task->run + 1, now);
		s.task->sent = true;
		task_confirm(s.task, now + 10);
		model_note_incarnation(s.model, u, 78, now + 20, NULL);
	}
	assert_int_equal(s.job->state, JOB_FAILED);
	assert_int_equal(starts, 2);
	fixture_destroy(&s);
}

/*
 * A restarted upstream lists a run that it has started since. Guards against a
 * sound task that is suspected of the end of an incarnation in which it never ran.
 */
static void test_run_of_newer_incarnation_is_not_blamed(void **state)
{
	struct order_answer lists = {.has_lists = true, .running_len = 1};
	struct run_report running = {.run = 1, .checkpoint = ""};
	char name[TASK_NAME_BYTES];
	struct fixture s;

	(void)state;
	fixture_create(&s, 1, false);
	s.task->sent = true;
	task_confirm(s.task, 1010);
	task_format_name(s.task, name, sizeof(name));
	running.task = name;
	running.run = s.task->run;
	lists.running = &running;
	assert_true(
		model_note_incarnation(s.model, s.upstream, 78, 1020, &lists));
	assert_ptr_equal(s.task->at, s.upstream);
	assert_false(task_is_suspect(s.task));
	/* the end of the newer one still counts */
	model_lose_upstream(s.model, s.upstream, 1100, INCARNATION_ENDED,
			    "replaced");
	assert_true(task_is_suspect(s.task));
	fixture_destroy(&s);
}

/* List one end of the first task's run, which was placed at 1000 ms. */
static void end_first_run(struct fixture *s, enum run_end how, uint64_t now_ms)
{
	struct run_end_report e = {.number = 1,
				   .run = 1,
				   .end_reason = how,
				   .checkpoint = "saved"};
	struct order_answer a = {.ended = &e, .ended_len = 1};
	GArray *strays = g_array_new(FALSE, FALSE, sizeof(struct stray_run));
	char name[TASK_NAME_BYTES];

	task_format_name(s->task, name, sizeof(name));
	e.task = name;
	task_confirm(s->task, 1001);
	model_apply_lists(s->model, s->upstream, &a, now_ms, now_ms, 0, strays);
	g_array_unref(strays);
}

/* Return what a run of 8 s teaches if it ends like that. */
static struct duration_estimate
learn_from_end(enum run_end how, const char *checkpoint, bool from_checkpoint)
{
	struct duration_estimate d;
	struct fixture s;

	fixture_create(&s, 1, false);
	s.job->steps[0].estimate_ms = 2000;
	s.task->checkpoint = g_strdup(checkpoint);
	s.task->run_rate.from_checkpoint = from_checkpoint;
	end_first_run(&s, how, 9000);
	d = estimator_duration(s.model->estimator, s.job, 0);
	fixture_destroy(&s);
	return d;
}

/*
 * Guards against runs that are not learned from because they wrote a
 * checkpoint, and against short ends that are taken for short tasks.
 */
static void test_durations_are_learned_from_all_whole_runs(void **state)
{
	(void)state;
	assert_true(learn_from_end(RUN_DONE, NULL, false).median_ms > 2200);
	assert_true(learn_from_end(RUN_DONE, "c", false).median_ms > 2200);
	assert_true(learn_from_end(RUN_DONE, "c", true).runs == 0);
	/* 8 s is longer than expected, however the run has ended */
	assert_true(learn_from_end(RUN_FAILED, NULL, false).median_ms > 2000);
	assert_true(learn_from_end(RUN_STOPPED, NULL, false).median_ms > 2000);
	assert_true(learn_from_end(RUN_STOPPED, "c", true).runs == 0);
	/* nobody saw when these ended */
	assert_true(learn_from_end(RUN_LEASE_EXPIRED, NULL, false).runs == 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_durations_are_learned_from_all_whole_runs),
		cmocka_unit_test(
			test_task_under_which_upstreams_restart_is_given_up),
		cmocka_unit_test(test_run_of_newer_incarnation_is_not_blamed),
		cmocka_unit_test(test_leases_of_silent_upstream_expire),
		cmocka_unit_test(test_feed_confirms_writes_without_answer),
		cmocka_unit_test(
			test_feed_call_after_failure_asks_for_immediate_answer),
		cmocka_unit_test(test_age_of_a_change_is_bounded_by_the_feed),
		cmocka_unit_test(
			test_lease_bound_allows_for_slow_upstream_clock),
		cmocka_unit_test(
			test_lease_request_assumes_slowest_upstream_clock),
		cmocka_unit_test(
			test_new_epoch_bounds_leases_of_earlier_leader),
		cmocka_unit_test(
			test_departed_upstream_is_distinguished_from_partition),
		cmocka_unit_test(
			test_upstream_cut_off_from_the_store_has_not_left),
		cmocka_unit_test(
			test_refused_retry_after_unanswered_order_requires_stop),
		cmocka_unit_test(test_late_retry_after_timeout_requires_stop),
		cmocka_unit_test(
			test_refused_first_order_counts_as_not_started),
		cmocka_unit_test(
			test_old_run_without_unanswered_order_counts_as_not_started),
		cmocka_unit_test(
			test_old_run_after_unanswered_order_awaits_its_end),
		cmocka_unit_test(
			test_failed_job_expires_only_after_its_end_time),
		cmocka_unit_test(test_run_row_round_trip_restores_task_state),
		cmocka_unit_test(
			test_run_on_unlisted_upstream_survives_leader_changes),
		cmocka_unit_test(
			test_run_is_kept_at_restart_while_earlier_leader_may_start_it),
		cmocka_unit_test(
			test_run_is_lost_at_restart_after_leases_of_earlier_leaders),
		cmocka_unit_test(
			test_run_of_ended_incarnation_is_taken_over_while_it_may_start),
		cmocka_unit_test(test_retries_cover_tasks_that_end_meanwhile),
		cmocka_unit_test(
			test_list_requested_before_stop_keeps_task_stopping),
		cmocka_unit_test(
			test_list_requested_in_confirmation_millisecond_keeps_run),
		cmocka_unit_test(test_failures_of_one_gang_run_count_once),
		cmocka_unit_test(test_run_done_during_silence_completes_task),
		cmocka_unit_test(
			test_repeated_run_of_completed_task_is_stopped),
		cmocka_unit_test(test_weak_leader_yields_with_growing_delay),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
