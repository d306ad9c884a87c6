/* Leading without a network: leases, lists of upstreams, recovery. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "lead/delivery.h"
#include "lead/departure.h"
#include "lead/leaseclock.h"
#include "lead/model.h"
#include "lead/record.h"
#include "lead/succession.h"
#include <stdlib.h>

#define LEASE_MS 6000

/*
 * An upstream that stops answering is asked again and again; what ran on
 * it must be known to have ended when the last granted lease is over.
 */
static void test_leases_of_a_silent_upstream_end(void **state)
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

static void test_lease_may_last_longer_on_a_slow_clock(void **state)
{
	struct lease_clock c;

	(void)state;
	lease_clock_reset(&c, 0);
	lease_clock_note_answer(&c, 500, 1000);
	lease_clock_request(&c, LEASE_MS, 1000);
	assert_false(lease_clock_is_expired(&c, 1000 + LEASE_MS * 100 / 98));
	assert_true(lease_clock_is_expired(&c, 1000 + LEASE_MS * 104 / 100));
}

static void test_lease_is_asked_for_on_the_slowest_clock(void **state)
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
 * An upstream that has obeyed a new leader, and then left, holds up its
 * tasks for no longer than a lease, whatever the old leader might do.
 */
static void test_command_ends_the_predecessors_leases(void **state)
{
	struct lease_clock c;

	(void)state;
	lease_clock_reset(&c, 1000 + 26000);
	lease_clock_note_answer(&c, 500, 1000);
	lease_clock_note_command(&c, LEASE_MS, 1000);
	assert_false(lease_clock_is_expired(&c, 1000 + LEASE_MS));
	assert_true(lease_clock_is_expired(&c, 1000 + LEASE_MS * 104 / 100));
}

/*
 * A draining upstream answers until it leaves.  Its tasks run elsewhere
 * as soon as its entry is gone and its address refuses; they wait for the
 * end of their leases when a cut can explain all that was seen.
 */
static void test_an_upstream_that_has_left_is_told_from_a_cut(void **state)
{
	struct departure d = {.entry_timeout_ms = 3000};

	(void)state;
	departure_note_answer(&d, 10000);
	assert_false(departure_is_certain(&d, 10500)); /* still listed */
	departure_note_unlisted(&d, true, 10600);
	assert_false(departure_is_certain(&d, 10500)); /* called before that */
	assert_true(departure_is_certain(&d, 10700));
	departure_note_answer(&d, 10800); /* it lives after all */
	assert_false(departure_is_certain(&d, 10900));

	/* its entry lapsed after a silence: it may run on behind a cut */
	departure_note_answer(&d, 20000);
	departure_note_unlisted(&d, true, 23000);
	assert_false(departure_is_certain(&d, 23100));

	/* it was not to leave */
	departure_note_answer(&d, 30000);
	departure_note_unlisted(&d, false, 30100);
	assert_false(departure_is_certain(&d, 30200));

	/* it is back on the list */
	departure_note_unlisted(&d, true, 30300);
	departure_note_listed(&d);
	assert_false(departure_is_certain(&d, 30400));
}

/* A fleet of one upstream and a job of one task that is placed on it. */
struct scene {
	struct model *model;
	struct upstream *upstream;
	struct job *job;
	struct task *task;
};

static void scene_create(struct scene *s, uint32_t tasks, bool gang)
{
	struct step *step;

	s->model = model_create();
	s->upstream = fleet_add(s->model->fleet, "u1");
	s->upstream->room = (struct room){100000, 100000, 100};
	s->upstream->born_wall_ms = 77;
	s->job = job_create("00000000000000a1");
	s->job->max_attempts = 3;
	s->job->queue_known = true;
	step = job_add_step(s->job);
	step->count = tasks;
	step->gang = gang;
	step->need = (struct room){1000, 1000, 1};
	job_lay_out(s->job);
	model_add_job(s->model, s->job);
	for (uint32_t i = 0; i < tasks; i++)
		task_place(job_task(s->job, 0, 0, i), s->upstream, 1, 1000);
	s->task = job_task(s->job, 0, 0, 0);
}

static uint32_t actives;

static void count_active(void *arg, struct task *t, const char *upstream,
			 uint64_t born)
{
	(void)arg;
	(void)t;
	actives += !strcmp(upstream, "u1") && born == 77;
}

static void scene_destroy(struct scene *s)
{
	model_destroy(s->model);
}

/*
 * The first order was not answered and may be carried out seconds later;
 * whatever is said of its repetition, the run may not be forgotten.
 */
static void test_refused_repetition_says_nothing_of_the_first(void **state)
{
	static const enum order_outcome refusals[] = {
		ORDER_BAD, ORDER_NO_ROOM, ORDER_UNHEALTHY, ORDER_NO_TICKET};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		struct scene s;

		scene_create(&s, 1, false);
		assert_int_equal(delivery_decide(s.task, ORDER_UNKNOWN, 1100),
				 DELIVERY_RETRY);
		assert_int_equal(delivery_decide(s.task, refusals[i], 1200),
				 DELIVERY_STOP);
		scene_destroy(&s);
	}
}

static void test_late_repetition_is_forbidden_in_the_end(void **state)
{
	struct scene s;

	(void)state;
	scene_create(&s, 1, false);
	delivery_decide(s.task, ORDER_UNKNOWN, 1100);
	assert_int_equal(delivery_decide(s.task, ORDER_LATE, 1200),
			 DELIVERY_RETRY);
	assert_int_equal(delivery_decide(s.task, ORDER_LATE, 9000),
			 DELIVERY_STOP);
	scene_destroy(&s);
}

static void test_refused_first_order_never_starts(void **state)
{
	struct scene s;

	(void)state;
	scene_create(&s, 1, false);
	assert_int_equal(delivery_decide(s.task, ORDER_NO_ROOM, 1100),
			 DELIVERY_NOT_STARTED);
	scene_destroy(&s);
}

static void test_old_run_never_starts(void **state)
{
	struct scene s;

	(void)state;
	scene_create(&s, 1, false);
	assert_int_equal(delivery_decide(s.task, ORDER_OLD_RUN, 1200),
			 DELIVERY_NOT_STARTED);
	scene_destroy(&s);
}

/*
 * The first order was carried out and its answer lost; the run was short
 * and had ended when the order was repeated.
 */
static void test_old_run_may_have_ended_as_done(void **state)
{
	struct scene s;

	(void)state;
	scene_create(&s, 1, false);
	delivery_decide(s.task, ORDER_UNKNOWN, 1100);
	assert_int_equal(delivery_decide(s.task, ORDER_OLD_RUN, 1200),
			 DELIVERY_AWAIT_END);
	scene_destroy(&s);
}

/* A final state is swept with its time before it is recorded, and a row
 * without one is kept. */
static void test_failed_job_is_kept_for_its_time(void **state)
{
	struct state_record r = {.state = JOB_FAILED};
	struct scene s;
	char *text;

	(void)state;
	assert_false(state_expired(&r, 0));
	assert_false(state_expired(&r, 1000));
	scene_create(&s, 1, false);
	s.job->max_attempts = 1;
	task_end(s.task, RUN_FAILED, NULL, 2000);
	model_settle_jobs(s.model, 7000);
	text = state_encode(s.job);
	assert_true(state_decode(text, &r));
	assert_int_equal(r.ended_ms, 7000);
	assert_false(state_expired(&r, 7000));
	assert_true(state_expired(&r, 7001));
	free(text);
	scene_destroy(&s);
}

/* The rows of a job say all that a new leader has to know of its runs. */
static void test_run_row_is_read_back(void **state)
{
	struct scene s, t;
	char *text;

	(void)state;
	scene_create(&s, 6, false);
	task_end(job_task(s.job, 0, 0, 1), RUN_DONE, NULL, 2000);
	task_end(job_task(s.job, 0, 0, 2), RUN_FAILED, "saved", 2000);
	text = run_encode(s.job);
	scene_create(&t, 6, false);
	for (uint32_t i = 0; i < 6; i++)
		task_end(job_task(t.job, 0, 0, i), RUN_NEVER, NULL, 2000);
	actives = 0;
	assert_true(run_decode(t.job, text, count_active, NULL));
	assert_int_equal(actives, 4);
	assert_int_equal(job_task(t.job, 0, 0, 1)->state, TASK_DONE);
	assert_int_equal(job_task(t.job, 0, 0, 2)->failures, 1);
	assert_string_equal(job_task(t.job, 0, 0, 2)->checkpoint, "saved");
	assert_int_equal(job_task(t.job, 0, 0, 5)->run, 1);
	free(text);
	scene_destroy(&s);
	scene_destroy(&t);
}

static void inherit_run(void *arg, struct task *t, const char *upstream,
			uint64_t born)
{
	model_inherit_run(arg, t, upstream, born, 3000);
}

/* Let a new leader, whose list has no upstream yet, read a run row. */
static void take_over(struct scene *s, const char *row)
{
	s->model = model_create();
	s->job = job_create("00000000000000a1");
	job_add_step(s->job)->count = 1;
	job_lay_out(s->job);
	model_add_job(s->model, s->job);
	assert_true(run_decode(s->job, row, inherit_run, s->model));
	s->task = job_task(s->job, 0, 0, 0);
	s->upstream = fleet_find(s->model->fleet, "u1");
}

/*
 * An upstream has lapsed from the list when a leader takes over and
 * records the job again; the next leader finds it listed, in the life in
 * which the task still runs.
 */
static void test_run_of_an_unlisted_upstream_is_not_lost(void **state)
{
	struct scene first, second, third;
	char *row;

	(void)state;
	scene_create(&first, 1, false);
	row = run_encode(first.job);
	take_over(&second, row);
	free(row);
	assert_ptr_equal(second.task->at, second.upstream);
	assert_int_equal(second.upstream->state, UPSTREAM_GONE);
	row = run_encode(second.job);
	take_over(&third, row);
	free(row);
	assert_false(
		model_note_incarnation(third.model, third.upstream, 77, 4000));
	assert_ptr_equal(third.task->at, third.upstream);
	/* listed again in a later life, nothing of it runs any more */
	assert_true(
		model_note_incarnation(third.model, third.upstream, 78, 4000));
	assert_null(third.task->at);
	assert_int_equal(third.task->state, TASK_WAITING);
	scene_destroy(&first);
	scene_destroy(&second);
	scene_destroy(&third);
}

/* Orders are sent again for all tasks, though some end meanwhile. */
static void test_retries_reach_every_task(void **state)
{
	GPtrArray *list;
	struct scene s;

	(void)state;
	scene_create(&s, 5, false);
	for (uint32_t i = 0; i < 5; i++)
		job_task(s.job, 0, 0, i)->retry = true;
	list = upstream_take_retries(s.upstream);
	for (guint i = 0; i < list->len; i++)
		task_end(g_ptr_array_index(list, i), RUN_NEVER, NULL, 2000);
	assert_int_equal(list->len, 5);
	assert_int_equal(s.upstream->tasks->len, 0);
	g_ptr_array_free(list, TRUE);
	scene_destroy(&s);
}

/* A stopped run is gone only in a list asked for after the stop. */
static void test_list_from_before_the_stop_proves_nothing(void **state)
{
	GArray *strays = g_array_new(FALSE, FALSE, sizeof(struct stray_run));
	struct order_answer empty = {.outcome = ORDER_DONE, .lists = true};
	struct scene s;

	(void)state;
	scene_create(&s, 1, false);
	s.task->state = TASK_STOPPING;
	model_apply_lists(s.model, s.upstream, &empty, 1500, 1600, 0, strays);
	assert_int_equal(s.task->state, TASK_STOPPING);
	s.task->stop_answered_ms = 1550;
	model_apply_lists(s.model, s.upstream, &empty, 1500, 1600, 0, strays);
	assert_int_equal(s.task->state, TASK_STOPPING);
	model_apply_lists(s.model, s.upstream, &empty, 1560, 1600, 0, strays);
	assert_int_equal(s.task->state, TASK_WAITING);
	g_array_unref(strays);
	scene_destroy(&s);
}

/* A call sent in the millisecond of the confirmation may be older. */
static void test_list_of_the_same_millisecond_proves_nothing(void **state)
{
	GArray *strays = g_array_new(FALSE, FALSE, sizeof(struct stray_run));
	struct order_answer empty = {.outcome = ORDER_DONE, .lists = true};
	struct scene s;

	(void)state;
	scene_create(&s, 1, false);
	task_confirm(s.task, 1015);
	model_apply_lists(s.model, s.upstream, &empty, 1015, 1016, 0, strays);
	assert_int_equal(s.task->state, TASK_RUNNING);
	model_apply_lists(s.model, s.upstream, &empty, 1016, 1017, 0, strays);
	assert_int_equal(s.task->state, TASK_WAITING);
	g_array_unref(strays);
	scene_destroy(&s);
}

static void test_failures_of_one_gang_run_count_once(void **state)
{
	struct scene s;

	(void)state;
	scene_create(&s, 4, true);
	for (uint32_t i = 0; i < 4; i++)
		task_end(job_task(s.job, 0, 0, i), RUN_FAILED, NULL, 2000);
	assert_int_equal(s.job->stages[0].failures, 1);
	assert_int_equal(s.job->state, JOB_RUNNING);
	scene_destroy(&s);
}

static void apply_done(struct scene *s, uint32_t run, GArray *strays)
{
	struct end_row end = {.number = 1,
			      .task = "00000000000000a1.0.0.0",
			      .run = run,
			      .how = RUN_DONE,
			      .checkpoint = ""};
	struct order_answer a = {.outcome = ORDER_DONE,
				 .lists = true,
				 .ended = &end,
				 .ended_len = 1};

	model_apply_lists(s->model, s->upstream, &a, 3000, 3001, 0, strays);
}

/*
 * An upstream was silent until its leases had ended, so its run was taken
 * for lost; then it lists that the run was done.  It is not run again.
 */
static void test_work_that_was_done_in_silence_is_done(void **state)
{
	GArray *strays = g_array_new(FALSE, FALSE, sizeof(struct stray_run));
	struct scene s;

	(void)state;
	scene_create(&s, 1, false);
	task_confirm(s.task, 1015);
	model_lose_upstream(s.model, s.upstream, 2000, "leases ended");
	assert_int_equal(s.task->state, TASK_WAITING);
	apply_done(&s, s.task->run, strays);
	assert_int_equal(s.task->state, TASK_DONE);
	g_array_unref(strays);
	scene_destroy(&s);
}

/* The same, when it runs again already: that run is stopped, and its end
 * counts as done however it is listed. */
static void test_work_that_runs_again_though_done_is_stopped(void **state)
{
	GArray *strays = g_array_new(FALSE, FALSE, sizeof(struct stray_run));
	struct upstream *other;
	struct scene s;
	uint32_t run;

	(void)state;
	scene_create(&s, 1, false);
	task_confirm(s.task, 1015);
	run = s.task->run;
	model_lose_upstream(s.model, s.upstream, 2000, "leases ended");
	other = fleet_add(s.model->fleet, "u9");
	task_place(s.task, other, run + 1, 2100);
	apply_done(&s, run, strays);
	assert_true(task_active(s.task));
	assert_true(s.task->finished && s.task->stage->finished);
	task_end(s.task, RUN_STOPPED, NULL, 3100);
	assert_int_equal(s.task->state, TASK_DONE);
	g_array_unref(strays);
	scene_destroy(&s);
}

/* A strong instance claims first; a weak leader gives way, but leads on
 * when none of the stronger ones claims, for longer each time. */
static void test_weak_leader_gives_way(void **state)
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
	assert_false(
		succession_try_yield(&s, 0, 100000)); /* nobody is stronger */
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_leases_of_a_silent_upstream_end),
		cmocka_unit_test(test_lease_may_last_longer_on_a_slow_clock),
		cmocka_unit_test(test_lease_is_asked_for_on_the_slowest_clock),
		cmocka_unit_test(test_command_ends_the_predecessors_leases),
		cmocka_unit_test(
			test_an_upstream_that_has_left_is_told_from_a_cut),
		cmocka_unit_test(
			test_refused_repetition_says_nothing_of_the_first),
		cmocka_unit_test(test_late_repetition_is_forbidden_in_the_end),
		cmocka_unit_test(test_refused_first_order_never_starts),
		cmocka_unit_test(test_old_run_never_starts),
		cmocka_unit_test(test_old_run_may_have_ended_as_done),
		cmocka_unit_test(test_failed_job_is_kept_for_its_time),
		cmocka_unit_test(test_run_row_is_read_back),
		cmocka_unit_test(test_run_of_an_unlisted_upstream_is_not_lost),
		cmocka_unit_test(test_retries_reach_every_task),
		cmocka_unit_test(test_list_from_before_the_stop_proves_nothing),
		cmocka_unit_test(
			test_list_of_the_same_millisecond_proves_nothing),
		cmocka_unit_test(test_failures_of_one_gang_run_count_once),
		cmocka_unit_test(test_work_that_was_done_in_silence_is_done),
		cmocka_unit_test(
			test_work_that_runs_again_though_done_is_stopped),
		cmocka_unit_test(test_weak_leader_gives_way),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
