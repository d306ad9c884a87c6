/*
 * Tests of fairness between accounts in the order of a queue: a load of unequal
 * accounts is played through the scheduling pass, in virtual time.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>

#include "sched/dispatch.h"

#define STOP_MS 200
#define STEP_MS 50
#define UPSTREAMS 8
#define RUN_MS 4000
#define SMALL_ACCOUNTS 3

struct site {
	struct fleet *fleet;
	struct estimator *estimator;
	GPtrArray *jobs;
	uint64_t now_ms;
	uint32_t number;
};

static void site_create(struct site *s)
{
	*s = (struct site){.fleet = fleet_create(),
			   .estimator = estimator_create(),
			   .jobs = g_ptr_array_new(),
			   .now_ms = 1000000};
	for (uint32_t i = 0; i < UPSTREAMS; i++) {
		char id[16];
		struct upstream *u;

		snprintf(id, sizeof(id), "u%u", i);
		u = fleet_add_upstream(s->fleet, id);
		upstream_describe(u, "s", "d", "a", "r");
		u->resources = (struct resources){64000, 131072, 8};
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

/* Submit a job of `tasks` tasks of 4 s, each a quarter of an upstream. */
static struct job *site_submit(struct site *s, const char *account,
			       uint32_t tasks)
{
	char id[JOB_ID_BYTES];
	struct step *step;
	struct job *j;

	snprintf(id, sizeof(id), "%016x", ++s->number);
	j = job_create(id);
	g_strlcpy(j->account, account, sizeof(j->account));
	g_strlcpy(j->queue, "q", sizeof(j->queue));
	job_set_service(j, "s");
	j->queue_known = true;
	j->priority = 2;
	j->max_attempts = 3;
	j->slack_factor = 3;
	j->target_ms = 3000;
	j->since_ms = s->now_ms;
	step = job_add_step(j);
	step->count = tasks;
	step->need = (struct resources){5600, 15000, 2};
	step->estimate_ms = RUN_MS;
	job_create_stages(j);
	g_ptr_array_add(s->jobs, j);
	estimator_record_job(s->estimator, j);
	return j;
}

/* End the runs of j that have taken RUN_MS. */
static void end_runs(struct site *s, struct job *j)
{
	for (uint32_t i = 0; i < j->steps[0].count; i++) {
		struct task *t = &j->stages[0].tasks[i];

		if (t->state == TASK_RUNNING &&
		    t->placed_ms + RUN_MS <= s->now_ms)
			task_end_run(t, RUN_DONE, NULL, s->now_ms);
	}
	if (!job_is_final(j))
		job_update_completion(j, s->now_ms);
}

static void site_run(struct site *s, uint32_t ms)
{
	for (uint32_t t = 0; t < ms; t += STEP_MS) {
		struct dispatch_input v = {.jobs = s->jobs,
					   .fleet = s->fleet,
					   .now_ms = s->now_ms += STEP_MS,
					   .estimator = s->estimator,
					   .checkpoint_ms = 1000,
					   .stop_ms = STOP_MS,
					   .reclaim_ms = 2700,
					   .lease_ms = 6000};
		GArray *actions;

		for (guint i = 0; i < s->jobs->len; i++)
			end_runs(s, g_ptr_array_index(s->jobs, i));
		actions = dispatch(&v);
		for (guint i = 0; i < actions->len; i++) {
			struct action *a =
				&g_array_index(actions, struct action, i);

			if (a->tag == ACTION_START)
				task_confirm(a->task, s->now_ms);
		}
		g_array_unref(actions);
	}
}

/*
 * An account fills the site and the queue with jobs of a task each, which have
 * the most value per second. Then small accounts submit a job of several tasks,
 * and their jobs end within their objective of 15 s. Guards against small
 * accounts that wait behind all that a large one has queued.
 */
static void small_accounts_do_not_wait_behind_a_large_one(void **state)
{
	struct job *small[SMALL_ACCOUNTS];
	struct site s;

	(void)state;
	site_create(&s);
	for (int i = 0; i < 32 * 6; i++)
		site_submit(&s, "large", 1);
	site_run(&s, 500);
	for (int i = 0; i < SMALL_ACCOUNTS; i++) {
		char name[8];

		snprintf(name, sizeof(name), "s%d", i);
		small[i] = site_submit(&s, name, 4);
	}
	site_run(&s, 3 * RUN_MS + 2500);
	for (int i = 0; i < SMALL_ACCOUNTS; i++)
		assert_int_equal(small[i]->state, JOB_COMPLETED);
	site_destroy(&s);
}

/*
 * Two accounts hold alike, and the jobs with the most value per second come
 * first whoever submitted them. Guards against an order that is changed where no
 * account is far above its share.
 */
static void equal_accounts_keep_the_order_by_value(void **state)
{
	struct job *wide, *narrow;
	struct site s;

	(void)state;
	site_create(&s);
	site_submit(&s, "a", 16);
	site_submit(&s, "b", 16);
	site_run(&s, 500);
	wide = site_submit(&s, "a", 24);
	narrow = site_submit(&s, "b", 16);
	site_run(&s, RUN_MS);
	assert_int_equal(stage_waiting_count(&narrow->stages[0]), 0);
	assert_true(stage_waiting_count(&wide->stages[0]) > 0);
	site_destroy(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(small_accounts_do_not_wait_behind_a_large_one),
		cmocka_unit_test(equal_accounts_keep_the_order_by_value),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
