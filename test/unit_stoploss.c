/*
 * Tests of what a stop costs, and of the runs that are preempted: those whose
 * stop costs the least.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>

#include "sched/dispatch.h"
#include "sched/stoploss.h"

#define STOP_MS 200
#define CHECKPOINT_MS 1000
#define RECLAIM_MS 2700
#define LEASE_MS 6000
#define PASS_MS 20
#define UPSTREAM_CORES 64000
#define UPSTREAM_MEMORY_MB 131072

/* A run of a job with time to spare. */
static const struct stoploss_run spare = {.ran_ms = 4000,
					  .remaining_ms = 6000,
					  .expected_ms = 10000,
					  .critical_path_ms = 10000,
					  .objective_ms = 31000,
					  .slack_ms = 17000,
					  .stop_ms = STOP_MS,
					  .value_in_time = 3,
					  .value_late = 1};

/*
 * A run without checkpoints loses all its work, one with checkpoints what came
 * after the last one. Guards against victims chosen as if every run with
 * checkpoints lost a whole interval.
 */
static void work_since_the_checkpoint_is_lost(void **state)
{
	struct stoploss_run r = spare, fresh, stale;

	(void)state;
	assert_int_equal(stoploss_work_ms(&r), 4000 + STOP_MS);
	r.checkpoint_ms = CHECKPOINT_MS;
	fresh = stale = r;
	fresh.ran_ms = 3900; /* the next one is written before it ends */
	stale.ran_ms = 3600;
	assert_true(stoploss_work_ms(&fresh) + 500 < stoploss_work_ms(&stale));
	assert_true(stoploss_work_ms(&stale) < 4000);
	r.ran_ms = 300; /* none yet */
	assert_int_equal(stoploss_work_ms(&r), 300 + STOP_MS);
}

/*
 * A job that has time to run again loses no value, one that then ends late
 * does, and the wait under the present load decides. Guards against a stop that
 * is thought free because the job could restart at once on an empty site.
 */
static void the_wait_to_start_again_costs_value(void **state)
{
	struct stoploss_run r = spare;
	double crowded;

	(void)state;
	assert_true(stoploss_value(&r) == 0);
	r.wait_ms = 25000;
	assert_in_range(stoploss_value(&r) * 1000, 1900, 2000);
	r.wait_ms = 19000;
	crowded = stoploss_value(&r);
	assert_true(crowded > 0.5 * (r.value_in_time - r.value_late));
	r.checkpoint_ms = CHECKPOINT_MS; /* it continues with what it has */
	assert_true(stoploss_value(&r) < crowded);
	r.checkpoint_ms = 0;
	r.wait_ms = 25000;
	r.others_wait = true; /* it is late without the stop as well */
	assert_true(stoploss_value(&r) < 0.2);
	r.others_wait = false;
	r.wait_ms = 200000; /* too late for any value */
	assert_in_range(stoploss_value(&r) * 1000, 2900, 3000);
}

/* A site of one rack. */
struct site {
	struct fleet *fleet;
	struct estimator *estimator;
	GPtrArray *jobs;
	uint64_t now_ms;
	uint32_t number;
};

static void site_create(struct site *s, uint32_t upstreams)
{
	*s = (struct site){.fleet = fleet_create(),
			   .estimator = estimator_create(),
			   .jobs = g_ptr_array_new(),
			   .now_ms = 1000000};
	for (uint32_t i = 0; i < upstreams; i++) {
		char id[16];
		struct upstream *u;

		snprintf(id, sizeof(id), "u%u", i);
		u = fleet_add_upstream(s->fleet, id);
		upstream_describe(u, "s", "d", "a", "r");
		u->resources = (struct resources){UPSTREAM_CORES,
						  UPSTREAM_MEMORY_MB, 8};
		u->synced = true;
	}
}

static void site_destroy(struct site *s)
{
	for (guint i = 0; i < s->jobs->len; i++) {
		struct job *j = g_ptr_array_index(s->jobs, i);
		struct stage *st = &j->stages[0];

		for (uint32_t t = 0; t < st->step->count; t++)
			if (st->tasks[t].at)
				fleet_release(&st->tasks[t]);
		job_destroy(j);
	}
	g_ptr_array_free(s->jobs, TRUE);
	estimator_destroy(s->estimator);
	fleet_destroy(s->fleet);
}

/* What a submission asks for. */
struct submission {
	uint32_t priority;
	uint32_t tasks;
	struct resources need;
	uint32_t run_ms;
	bool gang;
	bool checkpoints;
};

static const struct submission urgent = {
	.tasks = 2, .need = {7500, 15000, 8}, .run_ms = 2500, .gang = true};
static const struct submission gang = {.priority = 1,
				       .tasks = 2,
				       .need = {26000, 38000, 8},
				       .run_ms = 11000,
				       .gang = true};

static struct stage *site_submit(struct site *s, const struct submission *sub)
{
	char id[JOB_ID_BYTES];
	struct step *step;
	struct job *j;

	snprintf(id, sizeof(id), "%016x", ++s->number);
	j = job_create(id);
	text_set(&j->account, "a");
	job_set_service(j, "s");
	text_set_format(&j->queue, "q%u", sub->priority);
	j->queue_known = true;
	j->priority = sub->priority;
	j->max_attempts = 3;
	j->slack_factor = sub->priority ? 3 : 1.5;
	j->target_ms = sub->priority ? 1000 : 250;
	j->since_ms = s->now_ms;
	step = job_add_step(j);
	step->count = sub->tasks;
	step->need = sub->need;
	step->estimate_ms = sub->run_ms;
	step->gang = sub->gang;
	step->checkpoints = sub->checkpoints;
	job_create_stages(j);
	g_ptr_array_add(s->jobs, j);
	estimator_record_job(s->estimator, j);
	return &j->stages[0];
}

/* Let ms milliseconds pass; runs do not end, stops take effect at once. */
static void site_run(struct site *s, uint32_t ms)
{
	for (uint32_t t = 0; t < ms; t += PASS_MS) {
		struct dispatch_input v = {.jobs = s->jobs,
					   .fleet = s->fleet,
					   .now_ms = s->now_ms += PASS_MS,
					   .estimator = s->estimator,
					   .checkpoint_ms = CHECKPOINT_MS,
					   .stop_ms = STOP_MS,
					   .reclaim_ms = RECLAIM_MS,
					   .lease_ms = LEASE_MS};
		GArray *actions = dispatch(&v);

		for (guint i = 0; i < actions->len; i++) {
			struct action *a =
				&g_array_index(actions, struct action, i);

			if (a->tag == ACTION_START)
				task_confirm(a->task, s->now_ms);
			else if (a->tag == ACTION_STOP)
				task_end_run(a->task, RUN_STOPPED, "c",
					     s->now_ms);
		}
		g_array_unref(actions);
	}
}

static bool running(const struct stage *st)
{
	return !stage_waiting_count(st);
}

/*
 * Two gangs fill the site, one of them has just started, and an urgent gang
 * takes the place of that one. Guards against discarding old work while young
 * work is at hand.
 */
static void the_gang_that_has_just_started_is_stopped(void **state)
{
	struct stage *old, *young, *u;
	struct site s;

	(void)state;
	site_create(&s, 4);
	old = site_submit(&s, &gang);
	site_run(&s, 1500);
	young = site_submit(&s, &gang);
	site_run(&s, 100);
	u = site_submit(&s, &urgent);
	site_run(&s, 2 * PASS_MS);
	assert_true(running(u));
	assert_true(running(old));
	assert_false(running(young));
	site_destroy(&s);
}

/*
 * The same with checkpoints: the one whose checkpoint is fresh is stopped,
 * though it has run longer. Guards against counting a whole interval for each.
 */
static void the_gang_with_the_fresh_checkpoint_is_stopped(void **state)
{
	struct submission writing = gang;
	struct stage *fresh, *stale, *u;
	struct site s;

	(void)state;
	writing.checkpoints = true;
	site_create(&s, 4);
	fresh = site_submit(&s, &writing);
	site_run(&s, 400);
	stale = site_submit(&s, &writing);
	site_run(&s, 1500); /* 1,900 and 1,500 ms after their starts */
	u = site_submit(&s, &urgent);
	site_run(&s, 2 * PASS_MS);
	assert_true(running(u));
	assert_false(running(fresh));
	assert_true(running(stale));
	site_destroy(&s);
}

/*
 * A gang that was stopped for an urgent one has restarted, and another gang
 * that was never stopped has run a little longer. The next urgent gang takes
 * the place of that one. Guards against the same client paying each time.
 */
static void a_gang_is_not_stopped_again_and_again(void **state)
{
	struct stage *first, *second, *u;
	struct site s;

	(void)state;
	site_create(&s, 4);
	second = site_submit(&s, &gang);
	site_run(&s, 600);
	first = site_submit(&s, &gang);
	site_run(&s, 100);
	u = site_submit(&s, &urgent);
	site_run(&s, 2 * PASS_MS);
	assert_false(running(first));
	assert_int_equal(first->preempted, 2);
	for (uint32_t i = 0; i < u->step->count; i++)
		task_end_run(&u->tasks[i], RUN_DONE, NULL, s.now_ms);
	job_update_completion(u->job, s.now_ms);
	site_run(&s, 1800); /* first has run 1.8 s, second 2.5 s */
	assert_true(running(first));
	u = site_submit(&s, &urgent);
	site_run(&s, 2 * PASS_MS);
	assert_true(running(u));
	assert_true(running(first));
	assert_false(running(second));
	site_destroy(&s);
}

/*
 * An upstream holds a small task and a large one, and an urgent task needs more
 * than the small one leaves. Only the large one is stopped. Guards against
 * stops of cheap runs that turn out to be of no use.
 */
static void runs_that_need_not_stop_are_spared(void **state)
{
	struct submission small = {.priority = 2,
				   .tasks = 1,
				   .need = {5600, 15000, 1},
				   .run_ms = 7600};
	struct submission large = {.priority = 1,
				   .tasks = 1,
				   .need = {52000, 76000, 7},
				   .run_ms = 11000};
	struct submission task = urgent;
	struct stage *cheap, *dear, *u;
	struct site s;

	(void)state;
	task.tasks = 1;
	task.need.accelerators = 7;
	site_create(&s, 1);
	cheap = site_submit(&s, &small);
	dear = site_submit(&s, &large);
	site_run(&s, 500);
	u = site_submit(&s, &task);
	site_run(&s, 2 * PASS_MS);
	assert_true(running(u));
	assert_int_equal(cheap->preempted, 0);
	assert_int_equal(dear->preempted, 1);
	site_destroy(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(work_since_the_checkpoint_is_lost),
		cmocka_unit_test(the_wait_to_start_again_costs_value),
		cmocka_unit_test(the_gang_that_has_just_started_is_stopped),
		cmocka_unit_test(the_gang_with_the_fresh_checkpoint_is_stopped),
		cmocka_unit_test(a_gang_is_not_stopped_again_and_again),
		cmocka_unit_test(runs_that_need_not_stop_are_spared),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
