/* Unit tests of the scheduling pass on simulated sites. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>

#include "sched/dispatch.h"
#include "sched/progress.h"

#define STOP_MS 900
#define RECLAIM_MS 3400
#define LEASE_MS 6000

/* A site of racks of eight upstreams with eight accelerators each. */
struct simulation {
	struct fleet *fleet;
	struct estimator *estimator;
	GPtrArray *jobs;
	struct account_guarantee guarantee;
	uint64_t now_ms;
	uint32_t number;
	bool stops_only;
};

static void simulation_create(struct simulation *p, uint32_t upstreams)
{
	p->fleet = fleet_create();
	p->estimator = estimator_create();
	p->jobs = g_ptr_array_new();
	p->guarantee = (struct account_guarantee){"account", 64};
	p->now_ms = 1000000;
	p->number = 0;
	p->stops_only = false;
	for (uint32_t i = 0; i < upstreams; i++) {
		char id[16], rack[16];
		struct upstream *u;

		snprintf(id, sizeof(id), "u%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / 8);
		u = fleet_add_upstream(p->fleet, id);
		upstream_describe(u, "s", "d", "a", rack);
		u->resources = (struct resources){32000, 65536, 8};
		u->synced = true;
	}
}

static void simulation_destroy(struct simulation *p)
{
	for (guint i = 0; i < p->jobs->len; i++) {
		struct job *j = g_ptr_array_index(p->jobs, i);

		for (uint32_t s = 0; s < j->stages_len; s++)
			for (uint32_t t = 0; t < j->stages[s].step->count; t++)
				if (j->stages[s].tasks[t].at)
					fleet_release(&j->stages[s].tasks[t]);
		job_destroy(j);
	}
	g_ptr_array_free(p->jobs, TRUE);
	estimator_destroy(p->estimator);
	fleet_destroy(p->fleet);
}

static struct job *simulation_add_job(struct simulation *p, uint32_t priority,
				      uint32_t count, int64_t accelerators,
				      uint32_t estimate_ms, bool gang)
{
	char id[JOB_ID_BYTES];
	struct job *j;
	struct step *s;

	snprintf(id, sizeof(id), "%016x", ++p->number);
	j = job_create(id);
	g_strlcpy(j->account, "account", sizeof(j->account));
	job_set_service(j, "s");
	snprintf(j->queue, sizeof(j->queue), "q%u", priority);
	j->queue_known = true;
	j->priority = priority;
	j->max_attempts = 3;
	j->slack_factor = priority ? 3 : 1.5;
	j->target_ms = priority ? 1000 : 250;
	j->since_ms = p->now_ms;
	s = job_add_step(j);
	s->count = count;
	s->need = (struct resources){2000, 4000, accelerators};
	s->estimate_ms = estimate_ms;
	s->gang = gang;
	s->rack_sensitive = gang;
	job_create_stages(j);
	g_ptr_array_add(p->jobs, j);
	estimator_record_job(p->estimator, j);
	return j;
}

/*
 * Run one pass and confirm all starts; end all stopped runs at once if asked.
 * Returns the number of stops.
 */
static uint32_t simulation_run_pass(struct simulation *p, bool end_stops)
{
	struct dispatch_input v = {.jobs = p->jobs,
				   .fleet = p->fleet,
				   .guarantees = &p->guarantee,
				   .guarantees_len = 1,
				   .now_ms = p->now_ms,
				   .stops_only = p->stops_only,
				   .estimator = p->estimator,
				   .checkpoint_ms = 2000,
				   .stop_ms = STOP_MS,
				   .reclaim_ms = RECLAIM_MS,
				   .lease_ms = LEASE_MS};
	GArray *actions = dispatch(&v);
	uint32_t stops = 0;

	for (guint i = 0; i < actions->len; i++) {
		struct action *a = &g_array_index(actions, struct action, i);

		if (a->tag == ACTION_START) {
			task_confirm(a->task, p->now_ms);
			continue;
		}
		stops++;
		if (end_stops)
			task_end_run(a->task, RUN_STOPPED, NULL, p->now_ms);
	}
	g_array_unref(actions);
	return stops;
}

static bool running(const struct job *j)
{
	return !stage_waiting_count(&j->stages[0]);
}

/*
 * Quiet work without listed progress fills the site, so its expected end is
 * near, and a guaranteed gang arrives. Guards against a guarantee that waits
 * for an expected end.
 */
static void test_guaranteed_gang_starts_in_time(void **state)
{
	struct simulation p;
	struct job *urgent;

	(void)state;
	simulation_create(&p, 16);
	simulation_add_job(&p, 2, 128, 1, 1000, false);
	simulation_run_pass(&p, true);
	p.now_ms += 10000;
	urgent = simulation_add_job(&p, 0, 3, 8, 2500, true);
	for (uint32_t ms = 0; ms < RECLAIM_MS - STOP_MS; ms += 100) {
		simulation_run_pass(&p, true);
		p.now_ms += 100;
	}
	assert_true(running(urgent));
	simulation_destroy(&p);
}

/*
 * Quiet work that is overdue by its listed progress fills the site, and a
 * guaranteed gang arrives. Guards against a gang that waits for overdue work.
 */
static void test_guaranteed_gang_does_not_wait_for_overdue_work(void **state)
{
	struct simulation p;
	struct job *quiet, *urgent;

	(void)state;
	simulation_create(&p, 16);
	quiet = simulation_add_job(&p, 2, 128, 1, 6000, false);
	simulation_run_pass(&p, true);
	p.now_ms += 5000;
	for (uint32_t i = 0; i < 128; i++)
		task_record_progress(&quiet->stages[0].tasks[i], 95, p.now_ms);
	p.now_ms += 2000;
	urgent = simulation_add_job(&p, 0, 4, 8, 2500, true);
	for (uint32_t ms = 0; ms < RECLAIM_MS - STOP_MS; ms += 100) {
		simulation_run_pass(&p, true);
		p.now_ms += 100;
	}
	assert_true(running(urgent));
	simulation_destroy(&p);
}

/*
 * A guaranteed gang is too late for its objective while urgent gangs of higher
 * value keep arriving. Guards against their taking the resources that were
 * freed for it.
 */
static void test_guaranteed_gang_keeps_freed_resources(void **state)
{
	struct simulation p;
	struct job *gang;

	(void)state;
	simulation_create(&p, 8);
	p.guarantee.accelerators = 1000;
	simulation_add_job(&p, 2, 64, 1, 20000, false);
	simulation_run_pass(&p, true);
	gang = simulation_add_job(&p, 0, 6, 8, 1000, true);
	gang->since_ms = p.now_ms - (RECLAIM_MS - STOP_MS - 400);
	for (uint32_t ms = 0; ms < 400; ms += 50) {
		simulation_add_job(&p, 0, 3, 8, 2500, true);
		simulation_run_pass(&p, true);
		p.now_ms += 50;
	}
	assert_true(running(gang));
	simulation_destroy(&p);
}

/* Urgent work never preempts guaranteed work. */
static void test_guaranteed_work_is_not_preempted(void **state)
{
	struct simulation p;
	struct job *first, *second;

	(void)state;
	simulation_create(&p, 8);
	first = simulation_add_job(&p, 0, 4, 8, 2500, true);
	second = simulation_add_job(&p, 0, 4, 8, 2500, true);
	simulation_run_pass(&p, true);
	assert_true(running(first) && running(second));
	p.now_ms += 3000;
	simulation_add_job(&p, 0, 8, 8, 2500, true);
	assert_int_equal(simulation_run_pass(&p, true), 0);
	assert_true(running(first) && running(second));
	simulation_destroy(&p);
}

/*
 * While starts cannot be recorded, a cancelled job is still stopped and no task
 * is placed.
 */
static void test_cancelled_job_stops_while_starts_are_suspended(void **state)
{
	struct simulation p;
	struct job *first, *second;

	(void)state;
	simulation_create(&p, 8);
	first = simulation_add_job(&p, 1, 4, 8, 20000, false);
	simulation_run_pass(&p, true);
	job_cancel(first, 5000);
	second = simulation_add_job(&p, 1, 2, 8, 5000, false);
	p.stops_only = true;
	assert_int_equal(simulation_run_pass(&p, true), 4);
	assert_false(running(second));
	simulation_destroy(&p);
}

/*
 * Guaranteed gangs hold six of the eight upstreams of each rack, so another
 * gang of four fits on no single rack. It starts across racks when its
 * guarantee is due, but not at once.
 */
static void test_guaranteed_gang_spans_racks_when_due(void **state)
{
	struct simulation p;
	struct job *urgent;

	(void)state;
	simulation_create(&p, 16);
	p.guarantee.accelerators = 1000;
	simulation_add_job(&p, 0, 6, 8, 20000, true);
	simulation_add_job(&p, 0, 6, 8, 20000, true);
	simulation_run_pass(&p, true);
	urgent = simulation_add_job(&p, 0, 4, 8, 2500, true);
	for (uint32_t ms = 0; ms < RECLAIM_MS - STOP_MS; ms += 100) {
		simulation_run_pass(&p, true);
		assert_true(ms || !running(urgent)); /* not in the first pass */
		p.now_ms += 100;
	}
	assert_true(running(urgent));
	simulation_destroy(&p);
}

/*
 * Three upstreams announce that they leave soon. A gang that has just started
 * restarts elsewhere at once; one that ends before the departure and one that
 * has run for long stay.
 */
static void test_gang_moves_off_leaving_upstream(void **state)
{
	struct simulation p;
	struct job *fresh, *nearly, *old;
	struct upstream *u[3];

	(void)state;
	simulation_create(&p, 24);
	old = simulation_add_job(&p, 1, 2, 8, 40000, true);
	simulation_run_pass(&p, true);
	p.now_ms += 20000;
	nearly = simulation_add_job(&p, 0, 2, 8, 2500, true);
	simulation_run_pass(&p, true);
	p.now_ms += 1500;
	fresh = simulation_add_job(&p, 0, 2, 8, 4000, true);
	simulation_run_pass(&p, true);
	p.now_ms += 300;
	u[0] = fresh->stages[0].tasks[0].at;
	u[1] = nearly->stages[0].tasks[0].at;
	u[2] = old->stages[0].tasks[0].at;
	for (uint32_t i = 0; i < 3; i++) {
		u[i]->state = UPSTREAM_DRAINING;
		u[i]->leaves_ms = p.now_ms + 2000;
	}
	assert_int_equal(simulation_run_pass(&p, true), 2);
	simulation_run_pass(&p, true);
	assert_true(running(fresh) && running(nearly) && running(old));
	assert_ptr_not_equal(fresh->stages[0].tasks[0].at, u[0]);
	assert_ptr_not_equal(fresh->stages[0].tasks[1].at, u[0]);
	assert_ptr_equal(nearly->stages[0].tasks[0].at, u[1]);
	assert_ptr_equal(old->stages[0].tasks[0].at, u[2]);
	simulation_destroy(&p);
}

/*
 * Long-running work fills the site and a guaranteed gang preempts some of it.
 * The preempted tasks restart when the gang has ended, before quiet work that
 * arrived meanwhile.
 */
static void test_long_running_work_yields_to_guarantee(void **state)
{
	struct simulation p;
	struct job *long_running, *urgent;

	(void)state;
	simulation_create(&p, 8);
	long_running = simulation_add_job(&p, 2, 64, 1, 6000, false);
	long_running->steps[0].long_running = true;
	simulation_run_pass(&p, true);
	assert_true(running(long_running));
	p.now_ms += 5000;
	urgent = simulation_add_job(&p, 0, 2, 8, 2500, true);
	for (uint32_t ms = 0; ms < RECLAIM_MS - STOP_MS; ms += 100) {
		simulation_run_pass(&p, true);
		p.now_ms += 100;
	}
	assert_true(running(urgent));
	assert_int_equal(stage_waiting_count(&long_running->stages[0]), 16);
	for (uint32_t i = 0; i < 2; i++)
		task_end_run(&urgent->stages[0].tasks[i], RUN_DONE, NULL,
			     p.now_ms);
	job_update_completion(urgent, 1);
	simulation_add_job(&p, 1, 16, 1, 20000, false);
	simulation_run_pass(&p, true);
	assert_true(running(long_running));
	simulation_destroy(&p);
}

/*
 * No more long-running tasks are stopped at a time than max_unavailable, by one
 * plan or by several.
 */
static void test_long_running_work_keeps_max_unavailable(void **state)
{
	struct simulation p;
	struct job *long_running, *urgent;

	(void)state;
	simulation_create(&p, 8);
	long_running = simulation_add_job(&p, 2, 64, 1, 6000, false);
	long_running->steps[0].long_running = true;
	long_running->steps[0].max_unavailable = 8;
	simulation_run_pass(&p, true);
	for (uint32_t i = 0; i < 64; i++)
		task_record_progress(&long_running->stages[0].tasks[i], 100,
				     p.now_ms);
	p.now_ms += 5000;
	simulation_add_job(&p, 0, 2, 8, 2500, true); /* would need 16 */
	for (uint32_t ms = 0; ms < RECLAIM_MS; ms += 100) {
		assert_int_equal(simulation_run_pass(&p, true), 0);
		p.now_ms += 100;
	}
	urgent = simulation_add_job(&p, 0, 1, 8, 2500, true);
	for (uint32_t ms = 0; ms < RECLAIM_MS - STOP_MS; ms += 100) {
		simulation_run_pass(&p, true);
		assert_true(stage_waiting_count(&long_running->stages[0]) <= 8);
		p.now_ms += 100;
	}
	assert_true(running(urgent));
	simulation_destroy(&p);
}

/* End the tasks that have run for run_ms, some a little later. */
static void simulation_end_runs(struct simulation *p, uint64_t run_ms)
{
	for (guint i = 0; i < p->jobs->len; i++) {
		struct job *j = g_ptr_array_index(p->jobs, i);
		struct stage *st = &j->stages[0];

		for (uint32_t k = 0; k < st->step->count; k++)
			if (st->tasks[k].state == TASK_RUNNING &&
			    p->now_ms >= st->tasks[k].placed_ms + run_ms +
						 k % 7 * 50)
				task_end_run(&st->tasks[k], RUN_DONE, NULL,
					     p->now_ms);
		job_update_completion(j, p->now_ms);
	}
}

/*
 * Endless quiet work fills the site, and every 900 ms four urgent jobs of a
 * whole upstream each arrive for 300 ms. Once such arrivals are expected,
 * headroom lets at least 90 percent start in the pass in which they arrive.
 */
static void test_urgent_stream_starts_at_once(void **state)
{
	uint32_t at_once = 0, came = 0;
	struct simulation p;

	(void)state;
	simulation_create(&p, 16);
	simulation_add_job(&p, 2, 4000, 1, 300, false);
	for (uint32_t ms = 0; ms < 12000; ms += 50) {
		struct job *j[4] = {NULL};

		simulation_end_runs(&p, 300);
		for (uint32_t k = 0; ms % 900 == 0 && k < 4; k++)
			j[k] = simulation_add_job(&p, 0, 1, 8, 300, true);
		simulation_run_pass(&p, true);
		for (uint32_t k = 0; j[0] && ms >= 3000 && k < 4; k++) {
			came++;
			at_once += running(j[k]);
		}
		p.now_ms += 50;
	}
	assert_true(at_once * 10 >= came * 9);
	simulation_destroy(&p);
}

/*
 * Three urgent gangs of most of the site have ended. Guards against headroom
 * for similar gangs that holds up quiet work on an idle site.
 */
static void test_headroom_does_not_delay_quiet_work(void **state)
{
	struct simulation p;
	struct job *quiet;

	(void)state;
	simulation_create(&p, 16);
	for (uint32_t n = 0; n < 3; n++) {
		simulation_add_job(&p, 0, 14, 8, 300, true);
		simulation_run_pass(&p, true);
		p.now_ms += 700;
		simulation_end_runs(&p, 300);
	}
	quiet = simulation_add_job(&p, 2, 64, 1, 5000, false);
	simulation_run_pass(&p, true);
	assert_true(running(quiet));
	simulation_destroy(&p);
}

/* Let the upstream list all of its runs at this percentage. */
static void simulation_list_progress(struct simulation *p, struct upstream *u,
				     uint32_t percent)
{
	for (guint k = 0; k < u->tasks->len; k++) {
		struct task *t = g_ptr_array_index(u->tasks, k);

		task_record_progress(t, percent, p->now_ms);
		progress_record(t, percent, p->now_ms);
	}
	progress_detect_slow(u, p->estimator, p->now_ms);
}

/*
 * One of four upstreams slows down by a factor of six. New work avoids it until
 * it recovers; an upstream that lists nothing for a while does not count as
 * slow.
 */
static void test_slow_upstream_gets_no_new_work(void **state)
{
	struct upstream *slow, *silent;
	struct job *quiet, *later;
	struct simulation p;

	(void)state;
	simulation_create(&p, 4);
	quiet = simulation_add_job(&p, 2, 16, 1, 10000, false);
	quiet->steps[0].spread = 4;
	simulation_run_pass(&p, true);
	slow = g_ptr_array_index(p.fleet->list, 1);
	silent = g_ptr_array_index(p.fleet->list, 2);
	for (uint32_t n = 0; n <= 8; n++) {
		for (guint i = 0; i < 4; i++) {
			struct upstream *u =
				g_ptr_array_index(p.fleet->list, i);

			if (u != silent || n == 0 || n == 8)
				simulation_list_progress(&p, u,
							 u == slow ? n : 6 * n);
		}
		p.now_ms += 600;
	}
	later = simulation_add_job(&p, 1, 12, 1, 10000, false);
	simulation_run_pass(&p, true);
	assert_true(running(later));
	for (uint32_t i = 0; i < 12; i++)
		assert_ptr_not_equal(later->stages[0].tasks[i].at, slow);
	for (uint32_t n = 1; n <= 3; n++) {
		simulation_list_progress(&p, slow, 8 + 6 * n);
		p.now_ms += 600;
	}
	later = simulation_add_job(&p, 1, 4, 1, 10000, false);
	simulation_run_pass(&p, true);
	assert_ptr_equal(later->stages[0].tasks[0].at, slow);
	simulation_destroy(&p);
}

/*
 * A task has moved and resumed from its checkpoint, and other work runs far
 * from its data. Neither the jump in progress nor the distance makes an
 * upstream count as slow.
 */
static void test_moved_work_does_not_mark_upstream_slow(void **state)
{
	struct job *quiet, *far;
	struct task *moved;
	struct simulation p;

	(void)state;
	simulation_create(&p, 4);
	quiet = simulation_add_job(&p, 2, 16, 1, 10000, false);
	quiet->steps[0].spread = 4;
	far = simulation_add_job(&p, 2, 8, 1, 10000, false);
	far->steps[0].spread = 2;
	g_strlcpy(far->steps[0].data_rack, "r0", LABEL_BYTES);
	simulation_run_pass(&p, true);
	moved = &quiet->stages[0].tasks[0];
	task_end_run(moved, RUN_STOPPED, "c", p.now_ms);
	simulation_run_pass(&p, true);
	for (uint32_t n = 0; n <= 8; n++) {
		for (guint i = 0; i < 4; i++) {
			struct upstream *u =
				g_ptr_array_index(p.fleet->list, i);

			simulation_list_progress(&p, u, 6 * n);
			for (guint k = 0; k < u->tasks->len; k++) {
				struct task *t = g_ptr_array_index(u->tasks, k);

				if (t->stage->job == far && i)
					progress_record(t, 2 * n, p.now_ms);
			}
			if (moved->at == u)
				progress_record(moved, n ? 50 + 6 * n : 0,
						p.now_ms);
			progress_detect_slow(u, p.estimator, p.now_ms);
			assert_true(u->slow_until_ms <= p.now_ms);
		}
		p.now_ms += 600;
	}
	simulation_destroy(&p);
}

/*
 * A job in which each step depends on all earlier ones. Guards against a pass
 * that enumerates its paths, whose number is exponential.
 */
static void test_job_with_many_paths_is_scheduled(void **state)
{
	struct simulation p;
	struct job *j;
	struct step *s;

	(void)state;
	simulation_create(&p, 8);
	j = job_create("00000000000000ff");
	g_strlcpy(j->account, "account", sizeof(j->account));
	job_set_service(j, "s");
	j->queue_known = true;
	j->since_ms = p.now_ms;
	for (uint32_t i = 0; i < JOB_STEPS_MAX; i++) {
		s = job_add_step(j);
		s->count = 1;
		s->need = (struct resources){2000, 4000, 1};
		s->estimate_ms = 100;
		s->after = g_new0(uint32_t, i + 1);
		for (uint32_t k = 0; k < i; k++)
			s->after[s->after_len++] = k;
	}
	job_create_stages(j);
	g_ptr_array_add(p.jobs, j);
	simulation_run_pass(&p, true);
	assert_int_equal(j->stages[0].tasks[0].state, TASK_RUNNING);
	simulation_destroy(&p);
}

/* A gang starts whole or not at all. */
static void test_gang_starts_whole_or_not_at_all(void **state)
{
	struct simulation p;
	struct job *gang;

	(void)state;
	simulation_create(&p, 8);
	simulation_add_job(&p, 1, 5, 8, 20000, false);
	simulation_run_pass(&p, true);
	gang = simulation_add_job(&p, 1, 4, 8, 5000, true);
	simulation_run_pass(&p, true);
	assert_int_equal(stage_waiting_count(&gang->stages[0]), 4);
	simulation_destroy(&p);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_guaranteed_gang_starts_in_time),
		cmocka_unit_test(
			test_guaranteed_gang_does_not_wait_for_overdue_work),
		cmocka_unit_test(test_guaranteed_gang_keeps_freed_resources),
		cmocka_unit_test(test_guaranteed_work_is_not_preempted),
		cmocka_unit_test(
			test_cancelled_job_stops_while_starts_are_suspended),
		cmocka_unit_test(test_guaranteed_gang_spans_racks_when_due),
		cmocka_unit_test(test_long_running_work_yields_to_guarantee),
		cmocka_unit_test(test_long_running_work_keeps_max_unavailable),
		cmocka_unit_test(test_gang_moves_off_leaving_upstream),
		cmocka_unit_test(test_gang_starts_whole_or_not_at_all),
		cmocka_unit_test(test_job_with_many_paths_is_scheduled),
		cmocka_unit_test(test_urgent_stream_starts_at_once),
		cmocka_unit_test(test_slow_upstream_gets_no_new_work),
		cmocka_unit_test(test_moved_work_does_not_mark_upstream_slow),
		cmocka_unit_test(test_headroom_does_not_delay_quiet_work),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
