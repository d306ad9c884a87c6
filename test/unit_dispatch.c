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

/*
 * Create a site of this many idle upstreams; one account is guaranteed 64
 * accelerators.
 */
static void simulation_create(struct simulation *sim, uint32_t upstreams)
{
	sim->fleet = fleet_create();
	sim->estimator = estimator_create();
	sim->jobs = g_ptr_array_new();
	sim->guarantee = (struct account_guarantee){"account", 64};
	sim->now_ms = 1000000;
	sim->number = 0;
	sim->stops_only = false;
	for (uint32_t i = 0; i < upstreams; i++) {
		char id[16], rack[16];
		struct upstream *u;

		snprintf(id, sizeof(id), "u%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / 8);
		u = fleet_add_upstream(sim->fleet, id);
		upstream_describe(u, "s", "d", "a", rack);
		u->resources = (struct resources){32000, 65536, 8};
		u->synced = true;
	}
}

static void simulation_destroy(struct simulation *sim)
{
	for (guint i = 0; i < sim->jobs->len; i++) {
		struct job *j = g_ptr_array_index(sim->jobs, i);

		for (uint32_t s = 0; s < j->stages_len; s++)
			for (uint32_t t = 0; t < j->stages[s].step->count; t++)
				if (j->stages[s].tasks[t].at)
					fleet_release(&j->stages[s].tasks[t]);
		job_destroy(j);
	}
	g_ptr_array_free(sim->jobs, TRUE);
	estimator_destroy(sim->estimator);
	fleet_destroy(sim->fleet);
}

/* Submit a job of one step with `count` tasks for the guaranteed account. */
static struct job *simulation_add_job(struct simulation *sim, uint32_t priority,
				      uint32_t count, int64_t accelerators,
				      uint32_t estimate_ms, bool gang)
{
	char id[JOB_ID_BYTES];
	struct job *j;
	struct step *s;

	snprintf(id, sizeof(id), "%016x", ++sim->number);
	j = job_create(id);
	text_set(&j->account, "account");
	job_set_service(j, "s");
	text_set_format(&j->queue, "q%u", priority);
	j->queue_known = true;
	j->priority = priority;
	j->max_attempts = 3;
	j->slack_factor = priority ? 3 : 1.5;
	j->target_ms = priority ? 1000 : 250;
	j->since_ms = sim->now_ms;
	s = job_add_step(j);
	s->count = count;
	s->need = (struct resources){2000, 4000, accelerators};
	s->estimate_ms = estimate_ms;
	s->gang = gang;
	s->rack_sensitive = gang;
	job_create_stages(j);
	g_ptr_array_add(sim->jobs, j);
	estimator_record_job(sim->estimator, j);
	return j;
}

/*
 * Run one pass and confirm all starts; end all stopped runs at once if asked.
 * Returns the number of stops.
 */
static uint32_t simulation_run_pass(struct simulation *sim, bool end_stops)
{
	struct dispatch_input v = {.jobs = sim->jobs,
				   .fleet = sim->fleet,
				   .guarantees = &sim->guarantee,
				   .guarantees_len = 1,
				   .now_ms = sim->now_ms,
				   .stops_only = sim->stops_only,
				   .estimator = sim->estimator,
				   .checkpoint_ms = 2000,
				   .stop_ms = STOP_MS,
				   .reclaim_ms = RECLAIM_MS,
				   .lease_ms = LEASE_MS};
	GArray *actions = dispatch(&v);
	uint32_t stops = 0;

	for (guint i = 0; i < actions->len; i++) {
		struct action *a = &g_array_index(actions, struct action, i);

		if (a->tag == ACTION_START) {
			task_confirm(a->task, sim->now_ms);
			continue;
		}
		if (a->tag != ACTION_STOP)
			continue;
		stops++;
		if (end_stops)
			task_end_run(a->task, RUN_STOPPED, NULL, sim->now_ms);
	}
	g_array_unref(actions);
	return stops;
}

/* Report whether all tasks of the first stage of j have been started. */
static bool running(const struct job *j)
{
	return !stage_waiting_count(&j->stages[0]);
}

/*
 * Quiet work without listed progress fills the site, so its expected end is
 * near, and a guaranteed gang arrives. Guards against a guarantee that relies
 * on an expected end and is missed when the work does not end.
 */
static void test_guaranteed_gang_starts_in_time(void **state)
{
	struct simulation sim;
	struct job *urgent;

	(void)state;
	simulation_create(&sim, 16);
	simulation_add_job(&sim, 2, 128, 1, 1000, false);
	simulation_run_pass(&sim, true);
	sim.now_ms += 10000;
	urgent = simulation_add_job(&sim, 0, 3, 8, 2500, true);
	for (uint32_t ms = 0; ms < RECLAIM_MS - STOP_MS; ms += 100) {
		simulation_run_pass(&sim, true);
		sim.now_ms += 100;
	}
	assert_true(running(urgent));
	simulation_destroy(&sim);
}

/*
 * Quiet work that should have ended by its listed progress fills the site, and
 * a guaranteed gang arrives. Guards against a gang that waits for overdue work.
 */
static void test_guaranteed_gang_does_not_wait_for_overdue_work(void **state)
{
	struct simulation sim;
	struct job *quiet, *urgent;

	(void)state;
	simulation_create(&sim, 16);
	quiet = simulation_add_job(&sim, 2, 128, 1, 6000, false);
	simulation_run_pass(&sim, true);
	sim.now_ms += 5000;
	for (uint32_t i = 0; i < 128; i++)
		task_record_progress(&quiet->stages[0].tasks[i], 95,
				     sim.now_ms);
	sim.now_ms += 2000;
	urgent = simulation_add_job(&sim, 0, 4, 8, 2500, true);
	for (uint32_t ms = 0; ms < RECLAIM_MS - STOP_MS; ms += 100) {
		simulation_run_pass(&sim, true);
		sim.now_ms += 100;
	}
	assert_true(running(urgent));
	simulation_destroy(&sim);
}

/*
 * A guaranteed gang is too late for its objective while urgent gangs of higher
 * value keep arriving. Guards against their taking the resources that were
 * freed for it.
 */
static void test_guaranteed_gang_keeps_freed_resources(void **state)
{
	struct simulation sim;
	struct job *gang;

	(void)state;
	simulation_create(&sim, 8);
	sim.guarantee.accelerators = 1000;
	simulation_add_job(&sim, 2, 64, 1, 20000, false);
	simulation_run_pass(&sim, true);
	gang = simulation_add_job(&sim, 0, 6, 8, 1000, true);
	gang->since_ms = sim.now_ms - (RECLAIM_MS - STOP_MS - 400);
	for (uint32_t ms = 0; ms < 400; ms += 50) {
		simulation_add_job(&sim, 0, 3, 8, 2500, true);
		simulation_run_pass(&sim, true);
		sim.now_ms += 50;
	}
	assert_true(running(gang));
	simulation_destroy(&sim);
}

/* Urgent work never preempts guaranteed work. */
static void test_guaranteed_work_is_not_preempted(void **state)
{
	struct simulation sim;
	struct job *first, *second;

	(void)state;
	simulation_create(&sim, 8);
	first = simulation_add_job(&sim, 0, 4, 8, 2500, true);
	second = simulation_add_job(&sim, 0, 4, 8, 2500, true);
	simulation_run_pass(&sim, true);
	assert_true(running(first) && running(second));
	sim.now_ms += 3000;
	simulation_add_job(&sim, 0, 8, 8, 2500, true);
	assert_int_equal(simulation_run_pass(&sim, true), 0);
	assert_true(running(first) && running(second));
	simulation_destroy(&sim);
}

/*
 * While starts cannot be recorded, a cancelled job is still stopped and no task
 * is placed.
 */
static void test_cancelled_job_stops_while_starts_are_suspended(void **state)
{
	struct simulation sim;
	struct job *first, *second;

	(void)state;
	simulation_create(&sim, 8);
	first = simulation_add_job(&sim, 1, 4, 8, 20000, false);
	simulation_run_pass(&sim, true);
	job_cancel(first, 5000);
	second = simulation_add_job(&sim, 1, 2, 8, 5000, false);
	sim.stops_only = true;
	assert_int_equal(simulation_run_pass(&sim, true), 4);
	assert_false(running(second));
	simulation_destroy(&sim);
}

/*
 * Guaranteed gangs hold six of the eight upstreams of each rack, so another
 * gang of four fits on no single rack. It starts across racks when its
 * guarantee is due, but not at once.
 */
static void test_guaranteed_gang_spans_racks_when_due(void **state)
{
	struct simulation sim;
	struct job *urgent;

	(void)state;
	simulation_create(&sim, 16);
	sim.guarantee.accelerators = 1000;
	simulation_add_job(&sim, 0, 6, 8, 20000, true);
	simulation_add_job(&sim, 0, 6, 8, 20000, true);
	simulation_run_pass(&sim, true);
	urgent = simulation_add_job(&sim, 0, 4, 8, 2500, true);
	for (uint32_t ms = 0; ms < RECLAIM_MS - STOP_MS; ms += 100) {
		simulation_run_pass(&sim, true);
		assert_true(ms || !running(urgent)); /* not in the first pass */
		sim.now_ms += 100;
	}
	assert_true(running(urgent));
	simulation_destroy(&sim);
}

/*
 * Three upstreams announce at short notice that they leave, each with a member
 * of a gang. The gang that has just started restarts elsewhere at once; the one
 * that ends before the departure and the one that has run for long stay.
 */
static void test_gang_moves_off_leaving_upstream(void **state)
{
	struct simulation sim;
	struct job *fresh, *nearly_done, *old;
	struct upstream *u[3];

	(void)state;
	simulation_create(&sim, 24);
	old = simulation_add_job(&sim, 1, 2, 8, 40000, true);
	simulation_run_pass(&sim, true);
	sim.now_ms += 20000;
	nearly_done = simulation_add_job(&sim, 0, 2, 8, 2500, true);
	simulation_run_pass(&sim, true);
	sim.now_ms += 1500;
	fresh = simulation_add_job(&sim, 0, 2, 8, 4000, true);
	simulation_run_pass(&sim, true);
	sim.now_ms += 300;
	u[0] = fresh->stages[0].tasks[0].at;
	u[1] = nearly_done->stages[0].tasks[0].at;
	u[2] = old->stages[0].tasks[0].at;
	for (uint32_t i = 0; i < 3; i++) {
		u[i]->state = UPSTREAM_DRAINING;
		u[i]->leaves_ms = sim.now_ms + 2000;
	}
	assert_int_equal(simulation_run_pass(&sim, true), 2);
	simulation_run_pass(&sim, true);
	assert_true(running(fresh) && running(nearly_done) && running(old));
	assert_ptr_not_equal(fresh->stages[0].tasks[0].at, u[0]);
	assert_ptr_not_equal(fresh->stages[0].tasks[1].at, u[0]);
	assert_ptr_equal(nearly_done->stages[0].tasks[0].at, u[1]);
	assert_ptr_equal(old->stages[0].tasks[0].at, u[2]);
	simulation_destroy(&sim);
}

/*
 * Long-running work fills the site and a guaranteed gang preempts some of it.
 * The preempted tasks restart when the gang has ended, before quiet work that
 * arrived meanwhile.
 */
static void test_long_running_work_yields_to_guarantee(void **state)
{
	struct simulation sim;
	struct job *long_running, *urgent;

	(void)state;
	simulation_create(&sim, 8);
	long_running = simulation_add_job(&sim, 2, 64, 1, 6000, false);
	long_running->steps[0].long_running = true;
	simulation_run_pass(&sim, true);
	assert_true(running(long_running));
	sim.now_ms += 5000;
	urgent = simulation_add_job(&sim, 0, 2, 8, 2500, true);
	for (uint32_t ms = 0; ms < RECLAIM_MS - STOP_MS; ms += 100) {
		simulation_run_pass(&sim, true);
		sim.now_ms += 100;
	}
	assert_true(running(urgent));
	assert_int_equal(stage_waiting_count(&long_running->stages[0]), 16);
	for (uint32_t i = 0; i < 2; i++)
		task_end_run(&urgent->stages[0].tasks[i], RUN_DONE, NULL,
			     sim.now_ms);
	job_update_completion(urgent, 1);
	simulation_add_job(&sim, 1, 16, 1, 20000, false);
	simulation_run_pass(&sim, true);
	assert_true(running(long_running));
	simulation_destroy(&sim);
}

/*
 * No more long-running tasks are stopped at a time than max_unavailable, by one
 * plan or by several.
 */
static void test_long_running_work_keeps_max_unavailable(void **state)
{
	struct simulation sim;
	struct job *long_running, *urgent;

	(void)state;
	simulation_create(&sim, 8);
	long_running = simulation_add_job(&sim, 2, 64, 1, 6000, false);
	long_running->steps[0].long_running = true;
	long_running->steps[0].max_unavailable = 8;
	simulation_run_pass(&sim, true);
	for (uint32_t i = 0; i < 64; i++)
		task_record_progress(&long_running->stages[0].tasks[i], 100,
				     sim.now_ms);
	sim.now_ms += 5000;
	simulation_add_job(&sim, 0, 2, 8, 2500, true); /* would need 16 */
	for (uint32_t ms = 0; ms < RECLAIM_MS; ms += 100) {
		assert_int_equal(simulation_run_pass(&sim, true), 0);
		sim.now_ms += 100;
	}
	urgent = simulation_add_job(&sim, 0, 1, 8, 2500, true);
	for (uint32_t ms = 0; ms < RECLAIM_MS - STOP_MS; ms += 100) {
		simulation_run_pass(&sim, true);
		assert_true(stage_waiting_count(&long_running->stages[0]) <= 8);
		sim.now_ms += 100;
	}
	assert_true(running(urgent));
	simulation_destroy(&sim);
}

/* End the tasks that have run for run_ms, some a little later. */
static void simulation_end_runs(struct simulation *sim, uint64_t run_ms)
{
	for (guint i = 0; i < sim->jobs->len; i++) {
		struct job *j = g_ptr_array_index(sim->jobs, i);
		struct stage *st = &j->stages[0];

		for (uint32_t k = 0; k < st->step->count; k++)
			if (st->tasks[k].state == TASK_RUNNING &&
			    sim->now_ms >= st->tasks[k].placed_ms + run_ms +
						   k % 7 * 50)
				task_end_run(&st->tasks[k], RUN_DONE, NULL,
					     sim->now_ms);
		job_update_completion(j, sim->now_ms);
	}
}

/*
 * Endless quiet work fills the site, and every 900 ms four urgent jobs of a
 * whole upstream each arrive for 300 ms. Once such arrivals are expected,
 * headroom lets at least 90 percent start in the pass in which they arrive.
 */
static void test_urgent_stream_starts_at_once(void **state)
{
	uint32_t started_at_once = 0, arrived = 0;
	struct simulation sim;

	(void)state;
	simulation_create(&sim, 16);
	simulation_add_job(&sim, 2, 4000, 1, 300, false);
	for (uint32_t ms = 0; ms < 12000; ms += 50) {
		struct job *j[4] = {NULL};

		simulation_end_runs(&sim, 300);
		for (uint32_t k = 0; ms % 900 == 0 && k < 4; k++)
			j[k] = simulation_add_job(&sim, 0, 1, 8, 300, true);
		simulation_run_pass(&sim, true);
		for (uint32_t k = 0; j[0] && ms >= 3000 && k < 4; k++) {
			arrived++;
			started_at_once += running(j[k]);
		}
		sim.now_ms += 50;
	}
	assert_true(started_at_once * 10 >= arrived * 9);
	simulation_destroy(&sim);
}

/*
 * Three urgent gangs of most of the site have ended. Guards against headroom
 * for similar gangs that holds up quiet work on an idle site.
 */
static void test_headroom_does_not_delay_quiet_work(void **state)
{
	struct simulation sim;
	struct job *quiet;

	(void)state;
	simulation_create(&sim, 16);
	for (uint32_t n = 0; n < 3; n++) {
		simulation_add_job(&sim, 0, 14, 8, 300, true);
		simulation_run_pass(&sim, true);
		sim.now_ms += 700;
		simulation_end_runs(&sim, 300);
	}
	quiet = simulation_add_job(&sim, 2, 64, 1, 5000, false);
	simulation_run_pass(&sim, true);
	assert_true(running(quiet));
	simulation_destroy(&sim);
}

/* Let the upstream list all of its runs at this percentage, and judge it. */
static void simulation_list_progress(struct simulation *sim, struct upstream *u,
				     uint32_t percent)
{
	for (guint k = 0; k < u->tasks->len; k++) {
		struct task *t = g_ptr_array_index(u->tasks, k);

		task_record_progress(t, percent, sim->now_ms);
		progress_record(t, percent, sim->now_ms);
	}
	progress_detect_slow(u, sim->estimator, sim->now_ms);
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
	struct simulation sim;

	(void)state;
	simulation_create(&sim, 4);
	quiet = simulation_add_job(&sim, 2, 16, 1, 10000, false);
	quiet->steps[0].max_tasks_per_upstream = 4;
	simulation_run_pass(&sim, true);
	slow = g_ptr_array_index(sim.fleet->list, 1);
	silent = g_ptr_array_index(sim.fleet->list, 2);
	for (uint32_t n = 0; n <= 8; n++) {
		for (guint i = 0; i < 4; i++) {
			struct upstream *u =
				g_ptr_array_index(sim.fleet->list, i);

			if (u != silent || n == 0 || n == 8)
				simulation_list_progress(&sim, u,
							 u == slow ? n : 6 * n);
		}
		sim.now_ms += 600;
	}
	later = simulation_add_job(&sim, 1, 12, 1, 10000, false);
	simulation_run_pass(&sim, true);
	assert_true(running(later));
	for (uint32_t i = 0; i < 12; i++)
		assert_ptr_not_equal(later->stages[0].tasks[i].at, slow);
	for (uint32_t n = 1; n <= 3; n++) {
		simulation_list_progress(&sim, slow, 8 + 6 * n);
		sim.now_ms += 600;
	}
	later = simulation_add_job(&sim, 1, 4, 1, 10000, false);
	simulation_run_pass(&sim, true);
	assert_ptr_equal(later->stages[0].tasks[0].at, slow);
	simulation_destroy(&sim);
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
	struct simulation sim;

	(void)state;
	simulation_create(&sim, 4);
	quiet = simulation_add_job(&sim, 2, 16, 1, 10000, false);
	quiet->steps[0].max_tasks_per_upstream = 4;
	far = simulation_add_job(&sim, 2, 8, 1, 10000, false);
	far->steps[0].max_tasks_per_upstream = 2;
	text_set(&far->steps[0].data_rack, "r0");
	simulation_run_pass(&sim, true);
	moved = &quiet->stages[0].tasks[0];
	task_end_run(moved, RUN_STOPPED, "c", sim.now_ms);
	simulation_run_pass(&sim, true);
	for (uint32_t n = 0; n <= 8; n++) {
		for (guint i = 0; i < 4; i++) {
			struct upstream *u =
				g_ptr_array_index(sim.fleet->list, i);

			simulation_list_progress(&sim, u, 6 * n);
			for (guint k = 0; k < u->tasks->len; k++) {
				struct task *t = g_ptr_array_index(u->tasks, k);

				if (t->stage->job == far && i)
					progress_record(t, 2 * n, sim.now_ms);
			}
			if (moved->at == u)
				progress_record(moved, n ? 50 + 6 * n : 0,
						sim.now_ms);
			progress_detect_slow(u, sim.estimator, sim.now_ms);
			assert_true(u->slow_until_ms <= sim.now_ms);
		}
		sim.now_ms += 600;
	}
	simulation_destroy(&sim);
}

/*
 * A job in which each step depends on all earlier ones. Guards against a pass
 * that enumerates its paths, whose number is exponential.
 */
static void test_job_with_many_paths_is_scheduled(void **state)
{
	struct simulation sim;
	struct job *j;
	struct step *s;

	(void)state;
	simulation_create(&sim, 8);
	j = job_create("00000000000000ff");
	text_set(&j->account, "account");
	job_set_service(j, "s");
	j->queue_known = true;
	j->since_ms = sim.now_ms;
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
	g_ptr_array_add(sim.jobs, j);
	simulation_run_pass(&sim, true);
	assert_int_equal(j->stages[0].tasks[0].state, TASK_RUNNING);
	simulation_destroy(&sim);
}

/* A gang starts whole or not at all. */
static void test_gang_starts_whole_or_not_at_all(void **state)
{
	struct simulation sim;
	struct job *gang;

	(void)state;
	simulation_create(&sim, 8);
	simulation_add_job(&sim, 1, 5, 8, 20000, false);
	simulation_run_pass(&sim, true);
	gang = simulation_add_job(&sim, 1, 4, 8, 5000, true);
	simulation_run_pass(&sim, true);
	assert_int_equal(stage_waiting_count(&gang->stages[0]), 4);
	simulation_destroy(&sim);
}

/*
 * The instances of a site may run on different processors and take over from
 * each other. The sizes are some whose result a fused multiply-add changes.
 */
static void test_estimates_round_the_same_on_each_processor(void **state)
{
	static const struct {
		uint32_t estimate_ms;
		int64_t cpu_milli;
	} sizes[] = {{5411, 3628}, {4667, 13057}, {5906, 15716}};
	struct estimator *e = estimator_create();
	struct job *jobs[G_N_ELEMENTS(sizes)];

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct step *s;

		jobs[i] = job_create("0000000000000001");
		s = job_add_step(jobs[i]);
		s->count = 1;
		s->estimate_ms = sizes[i].estimate_ms;
		s->need.cpu_milli = sizes[i].cpu_milli;
		estimator_record_job(e, jobs[i]);
	}
	assert_true(estimator_relative_size(e, jobs[2]) ==
		    0x1.9b21a01f2c959p+0);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		job_destroy(jobs[i]);
	estimator_destroy(e);
}

/*
 * The members of a gang have saved different checkpoints when all of their
 * upstreams are lost. Guards against a gang whose members resume from different
 * states.
 */
static void test_gang_resumes_from_one_checkpoint(void **state)
{
	struct simulation sim;
	struct job *gang;
	struct task *t;

	(void)state;
	simulation_create(&sim, 8);
	gang = simulation_add_job(&sim, 1, 3, 8, 20000, true);
	gang->steps[0].checkpoints = true;
	simulation_run_pass(&sim, true);
	t = gang->stages[0].tasks;
	t[0].checkpoint = g_strdup("first");
	task_record_progress(&t[0], 20, sim.now_ms);
	t[2].checkpoint = g_strdup("second");
	task_record_progress(&t[2], 40, sim.now_ms);
	for (uint32_t i = 0; i < 3; i++)
		task_end_run(&t[i], RUN_UPSTREAM_GONE, NULL, sim.now_ms);
	simulation_run_pass(&sim, true);
	assert_true(running(gang));
	for (uint32_t i = 0; i < 3; i++)
		assert_string_equal(t[i].checkpoint, "second");
	simulation_destroy(&sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_estimates_round_the_same_on_each_processor),
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
		cmocka_unit_test(test_gang_resumes_from_one_checkpoint),
		cmocka_unit_test(test_job_with_many_paths_is_scheduled),
		cmocka_unit_test(test_urgent_stream_starts_at_once),
		cmocka_unit_test(test_slow_upstream_gets_no_new_work),
		cmocka_unit_test(test_moved_work_does_not_mark_upstream_slow),
		cmocka_unit_test(test_headroom_does_not_delay_quiet_work),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
