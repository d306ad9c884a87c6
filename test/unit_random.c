/*
 * Runs the scheduler on thousands of random sites and loads and checks it
 * against simple reference rules: resources are not overcommitted, gangs start
 * whole, only work of a lower rank is preempted, a stage that waits alone
 * starts if it fits, and a due guarantee that can be met is met.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>

#include "sched/dispatch.h"

#define SITE_COUNT 1500
#define PASS_COUNT 4
#define RACK_UPSTREAMS_COUNT 4
#define STOP_MS 900
/* A stage that has waited for this long may run where it failed. */
#define HELD_UP_AFTER_MS 1500
#define RECLAIM_MS 3400
#define UPSTREAM_CPU_MILLI 32000
#define UPSTREAM_MEMORY_MB 65536
#define UPSTREAM_ACCELERATORS 8

/* A random site: its upstreams, jobs and one guaranteed account. */
struct site {
	GRand *rand;
	struct fleet *fleet;
	struct estimator *estimator;
	GPtrArray *jobs;
	struct account_guarantee guarantee;
	uint64_t now_ms;
	uint32_t number;
	/* stages that may use upstreams where they failed: before the pass no
	 * others could hold them, or they were held up */
	GHashTable *unrestricted;
};

static int random_in_range(struct site *s, int from, int to)
{
	return g_rand_int_range(s->rand, from, to + 1);
}

/* Add a random job of one step. */
static void add_job(struct site *s)
{
	char id[JOB_ID_BYTES];
	struct step *step;
	struct job *j;

	snprintf(id, sizeof(id), "%016x", ++s->number);
	j = job_create(id);
	text_set_format(&j->account, "account%d", random_in_range(s, 0, 1));
	job_set_service(j, random_in_range(s, 0, 9) ? "s" : "other");
	j->queue_known = true;
	j->priority = random_in_range(s, 0, 2);
	text_set_format(&j->queue, "q%u", j->priority);
	j->max_attempts = 2;
	j->slack_factor = 1.5;
	j->target_ms = 1000;
	j->since_ms = s->now_ms - random_in_range(s, 0, 3500);
	step = job_add_step(j);
	step->count = random_in_range(s, 1, 12);
	step->need.cpu_milli = random_in_range(s, 1, 16) * 1000;
	step->need.memory_mb = random_in_range(s, 1, 16) * 2000;
	step->need.accelerators = random_in_range(s, 0, 8);
	step->estimate_ms = random_in_range(s, 100, 9000);
	step->gang = random_in_range(s, 0, 1);
	step->rack_sensitive = random_in_range(s, 0, 1);
	step->checkpoints = random_in_range(s, 0, 1);
	step->long_running = j->priority && !random_in_range(s, 0, 5);
	step->max_unavailable =
		step->long_running ? random_in_range(s, 0, 3) : 0;
	step->max_tasks_per_upstream =
		random_in_range(s, 0, 4) ? 0 : random_in_range(s, 1, 3);
	if (!random_in_range(s, 0, 4))
		text_set(&step->label, random_in_range(s, 0, 1) ? "a" : "r1");
	job_create_stages(j);
	g_ptr_array_add(s->jobs, j);
	estimator_record_job(s->estimator, j);
}

/* Create the random site of a seed; some upstreams may not be used. */
static void site_create_random(struct site *s, uint32_t seed)
{
	uint32_t n;

	*s = (struct site){.rand = g_rand_new_with_seed(seed),
			   .fleet = fleet_create(),
			   .estimator = estimator_create(),
			   .jobs = g_ptr_array_new(),
			   .now_ms = 1000000,
			   .unrestricted = g_hash_table_new(NULL, NULL)};
	s->guarantee = (struct account_guarantee){"account0",
						  random_in_range(s, 0, 200)};
	n = random_in_range(s, 1, 24);
	for (uint32_t i = 0; i < n; i++) {
		const char *service, *kind;
		char id[16], rack[16];
		struct upstream *u;

		snprintf(id, sizeof(id), "u%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / RACK_UPSTREAMS_COUNT);
		u = fleet_add_upstream(s->fleet, id);
		kind = random_in_range(s, 0, 1) ? "a" : "b";
		service = random_in_range(s, 0, 9) ? "s" : "other";
		upstream_describe(u, service, "d", kind, rack);
		u->resources = (struct resources){UPSTREAM_CPU_MILLI,
						  UPSTREAM_MEMORY_MB,
						  UPSTREAM_ACCELERATORS};
		u->synced = random_in_range(s, 0, 9) != 0;
		u->state = random_in_range(s, 0, 9) ? UPSTREAM_READY
						    : UPSTREAM_DRAINING;
		if (!random_in_range(s, 0, 19))
			u->state = UPSTREAM_GONE;
	}
}

static void site_destroy(struct site *s)
{
	for (guint i = 0; i < s->jobs->len; i++) {
		struct job *j = g_ptr_array_index(s->jobs, i);

		for (uint32_t t = 0; t < j->stages[0].step->count; t++)
			if (j->stages[0].tasks[t].at)
				fleet_release(&j->stages[0].tasks[t]);
		job_destroy(j);
	}
	g_ptr_array_free(s->jobs, TRUE);
	estimator_destroy(s->estimator);
	fleet_destroy(s->fleet);
	g_rand_free(s->rand);
	g_hash_table_destroy(s->unrestricted);
}

/* Reference rules */

/* Report whether tasks of st may run on u by service and label. */
static bool is_allowed(const struct stage *st, const struct upstream *u)
{
	const struct step *s = st->step;

	return !g_strcmp0(u->service, st->job->service) &&
	       (!*s->label || !g_strcmp0(s->label, u->kind) ||
		!g_strcmp0(s->label, u->rack));
}

/* Report whether tasks of st may run on u by service, label and failures. */
static bool is_eligible(const struct stage *st, const struct upstream *u)
{
	for (uint32_t i = 0; i < st->step->count; i++)
		if (st->tasks[i].last_failed_on == u)
			return false;
	return is_allowed(st, u);
}

/* Return how many tasks of st are active on u. */
static uint32_t stage_tasks_on(const struct upstream *u, const struct stage *st)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < st->step->count; i++)
		n += st->tasks[i].at == u;
	return n;
}

/* Return how many more tasks of st these resources of u would hold. */
static uint32_t hold_count(const struct stage *st, const struct upstream *u,
			   struct resources have)
{
	uint32_t n = stage_tasks_on(u, st), from = n;

	while (resources_contain(&have, &st->step->need) &&
	       (!st->step->max_tasks_per_upstream ||
		n < st->step->max_tasks_per_upstream) &&
	       n < st->step->count) {
		resources_add(&have, &st->step->need, -1);
		n++;
	}
	return n - from;
}

/* Return how many tasks of st would fit on u with these free resources. */
static uint32_t fit_count(const struct site *s, const struct stage *st,
			  const struct upstream *u, struct resources have)
{
	if (u->state != UPSTREAM_READY || !u->synced || !is_eligible(st, u) ||
	    u->avoid_until_ms > s->now_ms)
		return 0;
	return hold_count(st, u, have);
}

/* Report whether at most half of a service is in use. */
static bool is_mostly_free(const struct site *s, const char *service)
{
	struct resources used = {0}, all = {0};

	for (guint i = 0; i < s->fleet->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(s->fleet->list, i);

		if (u->state != UPSTREAM_READY ||
		    g_strcmp0(u->service, service))
			continue;
		resources_add(&used, &u->used, 1);
		resources_add(&all, &u->resources, 1);
	}
	return 2 * used.cpu_milli <= all.cpu_milli &&
	       2 * used.accelerators <= all.accelerators;
}

/*
 * Report whether st, a gang or a task of other work, has waited for
 * HELD_UP_AFTER_MS, and most of its service is free.
 */
static bool is_held_up(const struct site *s, const struct stage *st)
{
	bool held_up = false, all_held_up = true;

	if (!st->since_ms || s->now_ms < st->since_ms + HELD_UP_AFTER_MS)
		return false;
	for (uint32_t i = 0; i < st->step->count; i++) {
		const struct task *t = &st->tasks[i];
		bool waits = t->state == TASK_WAITING &&
			     s->now_ms >= t->ended_ms + HELD_UP_AFTER_MS;

		held_up |= waits;
		all_held_up &= waits;
	}
	return (st->step->gang ? all_held_up : held_up) &&
	       is_mostly_free(s, st->job->service);
}

/*
 * Note the stages that listed upstreams without failures of theirs could not
 * hold if these were empty: a whole gang, or one task of other work. Note also
 * those that are held up.
 */
static void note_unrestricted(struct site *s)
{
	g_hash_table_remove_all(s->unrestricted);
	for (guint i = 0; i < s->jobs->len; i++) {
		struct job *j = g_ptr_array_index(s->jobs, i);
		struct stage *st = &j->stages[0];
		uint32_t n = 0;

		for (guint k = 0; k < s->fleet->list->len; k++) {
			const struct upstream *u =
				g_ptr_array_index(s->fleet->list, k);

			if (u->state == UPSTREAM_READY && is_eligible(st, u))
				n += hold_count(st, u, u->resources);
		}
		if (n < (st->step->gang ? st->step->count : 1) ||
		    is_held_up(s, st))
			g_hash_table_add(s->unrestricted, st);
	}
}

/* Return the free resources of u. */
static struct resources free_resources(const struct upstream *u)
{
	struct resources r = u->resources;

	resources_add(&r, &u->used, -1);
	return r;
}

/*
 * Report whether all waiting tasks of st fit into the free resources, on one
 * rack or anywhere.
 */
static bool fits_now(const struct site *s, const struct stage *st,
		     bool one_rack)
{
	uint32_t all = 0, waiting = stage_waiting_count(st);
	uint32_t racks[8] = {0};

	for (guint i = 0; i < s->fleet->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(s->fleet->list, i);
		uint32_t n = fit_count(s, st, u, free_resources(u));

		all += n;
		racks[atoi(u->rack + 1)] += n;
	}
	for (uint32_t r = 0; one_rack && r < G_N_ELEMENTS(racks); r++)
		if (racks[r] >= waiting)
			return true;
	return !one_rack && all >= waiting;
}

/* Check that no upstream is overcommitted. */
static void check_not_overcommitted(const struct site *s)
{
	for (guint i = 0; i < s->fleet->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(s->fleet->list, i);

		assert_true(resources_contain(&u->resources, &u->used));
	}
}

/* Check a start: the upstream is eligible, and a gang starts whole. */
static void check_start(const struct site *s, const struct action *a)
{
	const struct stage *st = a->task->stage;

	assert_int_equal(a->u.to->state, UPSTREAM_READY);
	assert_true(a->u.to->synced);
	assert_true(g_hash_table_contains(s->unrestricted, st)
			    ? is_allowed(st, a->u.to)
			    : is_eligible(st, a->u.to));
	if (st->step->max_tasks_per_upstream)
		assert_in_range(stage_tasks_on(a->u.to, st), 1,
				st->step->max_tasks_per_upstream);
	if (st->step->gang)
		assert_int_equal(stage_waiting_count(st), 0);
}

/*
 * Check a preemption: never of the highest rank, of a gang as a whole, and of
 * long-running work within max_unavailable.
 */
static void check_stop(const struct site *s, const struct action *a)
{
	const struct stage *st = a->task->stage;
	uint32_t stopping = 0;

	if (a->u.stop.cause != STOP_PREEMPTED)
		return;
	assert_true(st->job->rank > 0);
	for (uint32_t i = 0; i < st->step->count; i++)
		stopping += st->tasks[i].state == TASK_STOPPING;
	if (st->step->gang)
		assert_int_equal(stopping,
				 st->step->count - stage_waiting_count(st));
	if (st->step->long_running && st->step->max_unavailable)
		assert_true(stopping <= st->step->max_unavailable);
	(void)s;
}

/* Run one scheduling pass; the actions are freed with g_array_unref. */
static GArray *run_pass(struct site *s)
{
	struct dispatch_input v = {.jobs = s->jobs,
				   .fleet = s->fleet,
				   .guarantees = &s->guarantee,
				   .guarantees_len = 1,
				   .now_ms = s->now_ms,
				   .estimator = s->estimator,
				   .checkpoint_ms = 1000,
				   .stop_ms = STOP_MS,
				   .reclaim_ms = RECLAIM_MS,
				   .lease_ms = 10000};

	return dispatch(&v);
}

/* End some runs, fail some, and end all stopping runs. */
static void end_runs(struct site *s)
{
	for (guint i = 0; i < s->jobs->len; i++) {
		struct job *j = g_ptr_array_index(s->jobs, i);

		for (uint32_t k = 0; k < j->stages[0].step->count; k++) {
			struct task *t = &j->stages[0].tasks[k];

			if (t->state == TASK_STOPPING)
				task_end_run(t, RUN_STOPPED, NULL, s->now_ms);
			else if (t->state == TASK_RUNNING &&
				 !random_in_range(s, 0, 9))
				task_end_run(t,
					     random_in_range(s, 0, 5)
						     ? RUN_DONE
						     : RUN_FAILED,
					     NULL, s->now_ms);
		}
		job_update_completion(j, s->now_ms);
		if (!random_in_range(s, 0, 30))
			job_cancel(j, s->now_ms);
	}
}

/* Confirm all starts. */
static void confirm_all(struct site *s, GArray *actions)
{
	for (guint i = 0; i < actions->len; i++) {
		struct action *a = &g_array_index(actions, struct action, i);

		if (a->tag == ACTION_START)
			task_confirm(a->task, s->now_ms);
	}
}

static void random_sites_obey_the_scheduling_rules(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= SITE_COUNT; seed++) {
		struct site s;

		site_create_random(&s, seed);
		for (uint32_t n = 0; n < PASS_COUNT; n++) {
			GArray *actions;

			for (int k = random_in_range(&s, 0, 12); k > 0; k--)
				add_job(&s);
			note_unrestricted(&s);
			actions = run_pass(&s);
			check_not_overcommitted(&s);
			for (guint i = 0; i < actions->len; i++) {
				struct action *a = &g_array_index(
					actions, struct action, i);

				if (a->tag == ACTION_START)
					check_start(&s, a);
				else if (a->tag == ACTION_STOP)
					check_stop(&s, a);
			}
			confirm_all(&s, actions);
			g_array_unref(actions);
			s.now_ms += random_in_range(&s, 50, 1500);
			end_runs(&s);
		}
		site_destroy(&s);
	}
}

/* The only waiting stage starts if it fits. */
static void only_waiting_stage_starts_if_it_fits(void **state)
{
	uint32_t fitted = 0;

	(void)state;
	for (uint32_t seed = 1; seed <= SITE_COUNT; seed++) {
		struct stage *st;
		struct site s;
		bool one_rack, any;

		site_create_random(&s, seed);
		for (int k = random_in_range(&s, 0, 8); k > 0; k--)
			add_job(&s);
		g_array_unref(run_pass(&s));
		for (guint i = 0; i < s.jobs->len; i++) {
			struct job *j = g_ptr_array_index(s.jobs, i);

			if (stage_waiting_count(&j->stages[0]))
				job_cancel(j, s.now_ms);
		}
		s.now_ms += 11000; /* no urgent work is expected */
		add_job(&s);
		st = &((struct job *)g_ptr_array_index(s.jobs, s.jobs->len - 1))
			      ->stages[0];
		one_rack = fits_now(&s, st, true);
		any = fits_now(&s, st, false);
		g_array_unref(run_pass(&s));
		if (one_rack ||
		    (any && !(st->step->gang && st->step->rack_sensitive))) {
			assert_int_equal(stage_waiting_count(st), 0);
			fitted++;
		}
		if (!any && st->step->gang)
			assert_true(stage_waiting_count(st));
		site_destroy(&s);
	}
	assert_true(fitted > SITE_COUNT / 4);
}

/*
 * Report whether st would fit without the work that may always be preempted for
 * a due guarantee.
 */
static bool guarantee_can_be_met(struct site *s, const struct stage *st)
{
	uint32_t all = 0;

	for (guint i = 0; i < s->fleet->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(s->fleet->list, i);
		struct resources have = free_resources(u);

		for (guint k = 0; k < u->tasks->len; k++) {
			const struct task *t = g_ptr_array_index(u->tasks, k);

			if (t->stage->job->priority &&
			    !t->stage->step->long_running)
				resources_add(&have, &t->stage->step->need, 1);
		}
		all += fit_count(s, st, u, have);
	}
	return all >= st->step->count;
}

/*
 * A guaranteed job that is due starts as soon as the runs it preempts have
 * ended.
 */
static void due_guarantee_is_met_if_possible(void **state)
{
	uint32_t met = 0;

	(void)state;
	for (uint32_t seed = 1; seed <= SITE_COUNT; seed++) {
		struct stage *st;
		struct site s;
		struct job *j;
		bool can_be_met;

		site_create_random(&s, seed);
		s.guarantee.accelerators = 1000;
		for (int k = random_in_range(&s, 1, 10); k > 0; k--)
			add_job(&s);
		g_array_unref(run_pass(&s));
		for (guint i = 0; i < s.jobs->len; i++) {
			j = g_ptr_array_index(s.jobs, i);
			for (uint32_t k = 0; k < j->stages[0].step->count; k++)
				task_confirm(&j->stages[0].tasks[k], s.now_ms);
			if (!j->priority && stage_waiting_count(&j->stages[0]))
				job_cancel(j, s.now_ms);
		}
		s.now_ms += 100;
		add_job(&s);
		j = g_ptr_array_index(s.jobs, s.jobs->len - 1);
		text_set(&j->account, "account0");
		j->priority = 0;
		j->steps[0].long_running = false;
		j->since_ms = s.now_ms - RECLAIM_MS + STOP_MS + 300;
		st = &j->stages[0];
		can_be_met = guarantee_can_be_met(&s, st);
		for (uint32_t n = 0; n < 3; n++) {
			GArray *actions = run_pass(&s);

			confirm_all(&s, actions);
			for (guint i = 0; i < actions->len; i++) {
				struct action *a = &g_array_index(
					actions, struct action, i);

				if (a->tag == ACTION_STOP)
					task_end_run(a->task, RUN_STOPPED, NULL,
						     s.now_ms);
			}
			g_array_unref(actions);
			s.now_ms += 20;
		}
		if (can_be_met) {
			assert_int_equal(stage_waiting_count(st), 0);
			met++;
		}
		site_destroy(&s);
	}
	assert_true(met > SITE_COUNT / 4);
}

/* Guards against seeds that play differently on another processor. */
static void a_seed_creates_the_same_site_everywhere(void **state)
{
	GString *text = g_string_new(NULL);
	const struct resources *need;
	struct site s;

	(void)state;
	site_create_random(&s, 3);
	add_job(&s);
	for (guint i = 0; i < s.fleet->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(s.fleet->list, i);

		g_string_append_printf(text, "%s-%s ", u->service, u->kind);
	}
	need = &((struct job *)g_ptr_array_index(s.jobs, 0))->steps[0].need;
	g_string_append_printf(text, "%d %d %d", (int)need->cpu_milli,
			       (int)need->memory_mb, (int)need->accelerators);
	assert_string_equal(
		text->str,
		"s-a s-a s-a other-b s-a s-b s-b s-b s-b 6000 10000 2");
	g_string_free(text, TRUE);
	site_destroy(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_seed_creates_the_same_site_everywhere),
		cmocka_unit_test(random_sites_obey_the_scheduling_rules),
		cmocka_unit_test(only_waiting_stage_starts_if_it_fits),
		cmocka_unit_test(due_guarantee_is_met_if_possible),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
