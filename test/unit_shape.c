/*
 * Tests of placement by the shape of cores, memory and accelerators: what is
 * left free must still be of use to usual work.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>

#include "sched/dispatch.h"
#include "sched/shape.h"

/* An upstream, and tasks of the second priority, urgent and quiet. */
static const struct resources upstream = {64000, 131072, 8};
static const struct resources second = {26000, 38000, 1};
static const struct resources urgent = {7500, 15000, 8};
static const struct resources quiet = {5600, 15000, 1};

/*
 * Accelerators behind exhausted cores or memory are of no use. Guards against
 * an upstream that counts as nearly empty because its accelerators are free.
 */
static void stranded_accelerators_do_not_count(void **state)
{
	struct shape_mix m = {.len = 0};
	struct resources rest = upstream;

	(void)state;
	shape_mix_add(&m, &second, 100);
	shape_mix_add(&m, &urgent, 40);
	shape_mix_add(&m, &quiet, 60);
	shape_mix_finish(&m, &upstream);
	assert_true(m.uneven);
	assert_int_equal(shape_usable(&m, &rest), 8);
	resources_add(&rest, &second, -1);
	assert_int_equal(shape_usable(&m, &rest), 6); /* by cores */
	resources_add(&rest, &second, -1);
	assert_int_equal(rest.accelerators, 6);
	assert_int_equal(shape_usable(&m, &rest), 2);
	rest.memory_mb = 14000;
	assert_int_equal(shape_usable(&m, &rest), 0);
}

/* Work whose accelerators run out first is told apart by these alone. */
static void alike_work_is_even(void **state)
{
	struct shape_mix m = {.len = 0};

	(void)state;
	for (int64_t n = 1; n <= 8; n *= 2)
		shape_mix_add(&m, &(struct resources){n * 8000, n * 16000, n},
			      1);
	shape_mix_finish(&m, &upstream);
	assert_false(m.uneven);
	/* equal needs are one kind, and the mix is bounded */
	for (int64_t n = 1; n < 100; n++)
		shape_mix_add(&m, &(struct resources){n, n, 1}, n);
	assert_int_equal(m.len, SHAPES_MAX);
}

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
		u->resources = upstream;
		u->synced = true;
	}
}

static void site_destroy(struct site *s)
{
	for (guint i = 0; i < s->jobs->len; i++) {
		struct job *j = g_ptr_array_index(s->jobs, i);

		for (uint32_t t = 0; t < j->steps[0].count; t++)
			if (j->stages[0].tasks[t].at)
				fleet_release(&j->stages[0].tasks[t]);
		job_destroy(j);
	}
	g_ptr_array_free(s->jobs, TRUE);
	estimator_destroy(s->estimator);
	fleet_destroy(s->fleet);
}

static struct stage *site_submit(struct site *s, uint32_t priority,
				 uint32_t tasks, const struct resources *need)
{
	char id[JOB_ID_BYTES];
	struct step *step;
	struct job *j;

	snprintf(id, sizeof(id), "%016x", ++s->number);
	j = job_create(id);
	text_set(&j->account, "a");
	text_set_format(&j->queue, "q%u", priority);
	job_set_service(j, "s");
	j->queue_known = true;
	j->priority = priority;
	j->max_attempts = 3;
	j->slack_factor = 3;
	j->target_ms = 1000;
	j->since_ms = s->now_ms;
	step = job_add_step(j);
	step->count = tasks;
	step->need = *need;
	step->estimate_ms = 8000;
	step->gang = priority < 2;
	job_create_stages(j);
	g_ptr_array_add(s->jobs, j);
	estimator_record_job(s->estimator, j);
	return &j->stages[0];
}

static void site_pass(struct site *s)
{
	struct dispatch_input v = {.jobs = s->jobs,
				   .fleet = s->fleet,
				   .now_ms = s->now_ms += 20,
				   .estimator = s->estimator,
				   .checkpoint_ms = 1000,
				   .stop_ms = 200,
				   .reclaim_ms = 2700,
				   .lease_ms = 6000};
	GArray *actions = dispatch(&v);

	for (guint i = 0; i < actions->len; i++) {
		struct action *a = &g_array_index(actions, struct action, i);

		assert_int_not_equal(a->tag, ACTION_STOP);
		if (a->tag == ACTION_START)
			task_confirm(a->task, s->now_ms);
	}
	g_array_unref(actions);
}

/*
 * Two tasks of the second priority have taken most cores of one upstream, and an
 * urgent one half of the accelerators of the other, with few cores. Quiet tasks
 * use up what is left beside the two, so that another task of four accelerators
 * and many cores finds room. Guards against filling first the upstream with the
 * fewer free accelerators, though all of these are of use.
 */
static void quiet_work_fills_up_what_is_of_little_use(void **state)
{
	static const struct resources narrow = {13000, 16000, 4};
	static const struct resources wide = {30000, 60000, 4};
	struct stage *both, *half, *some, *big;
	struct site s;

	(void)state;
	site_create(&s, 2);
	both = site_submit(&s, 1, 2, &second);
	site_pass(&s);
	assert_ptr_equal(both->tasks[0].at, both->tasks[1].at);
	half = site_submit(&s, 0, 1, &narrow);
	site_pass(&s);
	assert_ptr_not_equal(half->tasks[0].at, both->tasks[0].at);
	some = site_submit(&s, 2, 2, &quiet);
	site_pass(&s);
	assert_ptr_equal(some->tasks[0].at, both->tasks[0].at);
	big = site_submit(&s, 0, 1, &wide);
	site_pass(&s);
	assert_int_equal(stage_waiting_count(big), 0);
	site_destroy(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(stranded_accelerators_do_not_count),
		cmocka_unit_test(alike_work_is_even),
		cmocka_unit_test(quiet_work_fills_up_what_is_of_little_use),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
