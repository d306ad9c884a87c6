/*
 * Tests of placement by speed: urgent gangs and other work are played through
 * the scheduling pass in virtual time, on upstreams of which a third takes 2.4
 * times as long as the others. Nothing but the runs tells which.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>

#include "sched/dispatch.h"
#include "sched/progress.h"
#include "sched/reach.h"

#define UPSTREAMS_COUNT 350
#define RACK_UPSTREAMS 8
#define STOP_MS 900
#define RECLAIM_MS 3400
#define LEASE_MS 6000
#define STEP_MS 50
/* From a start order until the run begins. */
#define START_MS 60
/* Interval of the lists of an upstream with work. */
#define LIST_INTERVAL_MS 250
/* Jobs of the first seconds do not count: nothing is learned yet. */
#define LEARN_MS 15000
#define PLAY_MS 100000
#define TASK_LOG_SD 0.25

/* What the jobs of a kind are like. */
struct kind {
	uint32_t priority;
	uint32_t tasks;
	struct resources need; /* its accelerators are the most of a job */
	uint32_t mean_ms;
	double slack_factor;
	uint32_t target_ms;
	double per_second; /* jobs */
	bool gang;
	bool one_rack;
};

static const struct kind kinds[] = {
	{.priority = 0,
	 .tasks = 5,
	 .need = {15000, 79000, 8},
	 .mean_ms = 2100,
	 .slack_factor = 1.5,
	 .target_ms = 250,
	 .per_second = 5.33,
	 .gang = true},
	{.priority = 1,
	 .tasks = 13,
	 .need = {52000, 150000, 8},
	 .mean_ms = 9400,
	 .slack_factor = 3,
	 .target_ms = 1000,
	 .per_second = 0.8,
	 .gang = true},
	{.priority = 2,
	 .tasks = 39,
	 .need = {11000, 46000, 1},
	 .mean_ms = 8100,
	 .slack_factor = 4,
	 .target_ms = 2000,
	 .per_second = 0.79},
};

struct played_job {
	struct job *job;
	uint32_t *run_ms; /* by task, on an upstream with slowdown 1 */
	uint64_t submitted_ms;
	uint64_t completed_ms; /* 0: not completed yet */
	uint64_t objective_ms;
};

struct play {
	struct fleet *fleet;
	struct estimator *estimator;
	struct speed_table *speeds;
	bool use_speeds;
	double load;
	GHashTable *truth; /* upstream to its slowdown, in thousandths */
	GPtrArray *jobs;
	GArray *played;
	GRand *rand;
	uint64_t now_ms;
	uint64_t started_ms;
	uint32_t stops;
};

/* How many jobs of a kind counted, and how many of them ended in time. */
struct outcome {
	uint32_t all[G_N_ELEMENTS(kinds)];
	uint32_t in_time[G_N_ELEMENTS(kinds)];
	uint32_t stops;
	bool used;
};

static void play_create(struct play *p, const double *slowdowns,
			uint32_t slowdowns_len, uint32_t seed)
{
	*p = (struct play){
		.fleet = fleet_create(),
		.estimator = estimator_create(),
		.speeds = speed_create(SPEED_SPREAD_MIN_DEFAULT),
		.truth = g_hash_table_new(NULL, NULL),
		.jobs = g_ptr_array_new(),
		.played = g_array_new(FALSE, FALSE, sizeof(struct played_job)),
		.rand = g_rand_new_with_seed(seed),
		.now_ms = 1000000,
		.started_ms = 1000000};
	for (uint32_t i = 0; i < UPSTREAMS_COUNT; i++) {
		struct upstream *u;
		char id[16], rack[16];
		double slowdown = slowdowns[g_rand_int_range(
			p->rand, 0, (int)slowdowns_len)];

		snprintf(id, sizeof(id), "u%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / RACK_UPSTREAMS);
		u = fleet_add_upstream(p->fleet, id);
		upstream_describe(u, "s", "d", "a", rack);
		u->resources = (struct resources){128000, 512000, 8};
		u->synced = true;
		g_hash_table_insert(p->truth, u,
				    GUINT_TO_POINTER(slowdown * 1000));
	}
}

static void play_destroy(struct play *p)
{
	for (guint i = 0; i < p->played->len; i++) {
		struct played_job *x =
			&g_array_index(p->played, struct played_job, i);
		struct stage *st = &x->job->stages[0];

		for (uint32_t k = 0; k < st->step->count; k++)
			if (st->tasks[k].at)
				fleet_release(&st->tasks[k]);
		job_destroy(x->job);
		g_free(x->run_ms);
	}
	g_array_unref(p->played);
	g_ptr_array_free(p->jobs, TRUE);
	g_hash_table_destroy(p->truth);
	speed_destroy(p->speeds);
	estimator_destroy(p->estimator);
	fleet_destroy(p->fleet);
	g_rand_free(p->rand);
}

/* Return a number of the standard normal distribution. */
static double draw_normal(GRand *r)
{
	double u = MAX(g_rand_double(r), 1e-12);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(r));
}

static void submit(struct play *p, const struct kind *k)
{
	struct played_job x = {.submitted_ms = p->now_ms};
	double job_ms = k->mean_ms * exp(0.3 * draw_normal(p->rand));
	char id[JOB_ID_BYTES];
	uint32_t longest_ms = 0;
	struct step *step;

	snprintf(id, sizeof(id), "%016x", p->played->len);
	x.job = job_create(id);
	text_set(&x.job->account, "account");
	job_set_service(x.job, "s");
	text_set_format(&x.job->queue, "q%u", k->priority);
	x.job->queue_known = true;
	x.job->priority = k->priority;
	x.job->max_attempts = 3;
	x.job->slack_factor = k->slack_factor;
	x.job->target_ms = k->target_ms;
	x.job->since_ms = p->now_ms;
	step = job_add_step(x.job);
	step->count = k->tasks;
	step->need = k->need;
	step->need.accelerators =
		g_rand_int_range(p->rand, 1, k->need.accelerators + 1);
	step->estimate_ms = job_ms * g_rand_double_range(p->rand, 0.5, 1.5);
	step->gang = k->gang;
	step->rack_sensitive = k->one_rack;
	job_create_stages(x.job);
	x.run_ms = g_new(uint32_t, k->tasks);
	for (uint32_t i = 0; i < k->tasks; i++) {
		x.run_ms[i] = job_ms * exp(TASK_LOG_SD * draw_normal(p->rand));
		longest_ms = MAX(longest_ms, x.run_ms[i]);
	}
	x.objective_ms = longest_ms * k->slack_factor + k->target_ms;
	g_ptr_array_add(p->jobs, x.job);
	estimator_record_job(p->estimator, x.job);
	g_array_append_val(p->played, x);
}

/* Return how long the run of t takes where it is. */
static uint64_t duration_ms(const struct play *p, const struct played_job *x,
			    const struct task *t)
{
	uint32_t slowdown =
		GPOINTER_TO_UINT(g_hash_table_lookup(p->truth, t->at));

	return START_MS + (uint64_t)x->run_ms[t->index] * slowdown / 1000;
}

/* Return when the run of t ends, in a gang that of its slowest member. */
static uint64_t end_ms(const struct play *p, const struct played_job *x,
		       const struct task *t)
{
	const struct stage *st = t->stage;
	uint64_t last_ms = 0;

	if (!st->step->gang)
		return t->placed_ms + duration_ms(p, x, t);
	for (uint32_t i = 0; i < st->step->count; i++)
		last_ms =
			MAX(last_ms, st->tasks[i].placed_ms +
					     duration_ms(p, x, &st->tasks[i]));
	return last_ms;
}

/* List the progress of a run, or its end, as lead/model.c does. */
static void list_run(struct play *p, const struct played_job *x, struct task *t)
{
	uint64_t ran_ms = p->now_ms - t->placed_ms, all_ms;

	if (t->state != TASK_RUNNING)
		return;
	reach_record_answer(t->at, p->now_ms);
	if (end_ms(p, x, t) <= p->now_ms) {
		estimator_record_run(p->estimator, x->job, t->stage->step_index,
				     ran_ms / run_slowdown(t));
		speed_note_done(p->speeds, t, p->estimator, ran_ms, p->now_ms);
		speed_note_end(p->speeds, t, true);
		task_end_run(t, RUN_DONE, NULL, p->now_ms);
	} else if (p->now_ms % LIST_INTERVAL_MS < STEP_MS &&
		   ran_ms > START_MS) {
		all_ms = duration_ms(p, x, t) - START_MS;
		task_record_progress(
			t, MIN(100, 100 * (ran_ms - START_MS) / all_ms),
			p->now_ms);
		progress_record(t, t->percent, p->now_ms);
		speed_note_progress(p->speeds, t, p->estimator, p->now_ms);
	}
}

static void advance_runs(struct play *p)
{
	for (guint i = 0; i < p->played->len; i++) {
		struct played_job *x =
			&g_array_index(p->played, struct played_job, i);
		struct stage *st = &x->job->stages[0];

		if (x->completed_ms)
			continue;
		for (uint32_t k = 0; k < st->step->count; k++)
			list_run(p, x, &st->tasks[k]);
		job_update_completion(x->job, p->now_ms);
		if (job_is_final(x->job)) {
			x->completed_ms = p->now_ms;
			g_ptr_array_remove(p->jobs, x->job);
		}
	}
	for (guint i = 0; i < p->fleet->list->len; i++)
		progress_detect_slow(g_ptr_array_index(p->fleet->list, i),
				     p->estimator, p->now_ms);
}

/* End the runs whose stop was ordered STOP_MS ago. */
static void end_stopped_runs(struct play *p)
{
	for (guint i = 0; i < p->fleet->list->len; i++) {
		struct upstream *u = g_ptr_array_index(p->fleet->list, i);

		for (guint k = u->tasks->len; k-- > 0;) {
			struct task *t = g_ptr_array_index(u->tasks, k);

			if (t->state != TASK_STOPPING ||
			    t->stop_answered_ms + STOP_MS > p->now_ms)
				continue;
			speed_note_end(p->speeds, t, false);
			task_end_run(t, RUN_STOPPED, NULL, p->now_ms);
		}
	}
}

static void run_pass(struct play *p)
{
	struct account_guarantee guarantee = {"account", 1000000};
	struct dispatch_input v = {.jobs = p->jobs,
				   .fleet = p->fleet,
				   .guarantees = &guarantee,
				   .guarantees_len = 1,
				   .now_ms = p->now_ms,
				   .estimator = p->estimator,
				   .speeds = p->use_speeds ? p->speeds : NULL,
				   .checkpoint_ms = 500,
				   .stop_ms = STOP_MS,
				   .reclaim_ms = RECLAIM_MS,
				   .lease_ms = LEASE_MS};
	GArray *actions = dispatch(&v);

	for (guint i = 0; i < actions->len; i++) {
		struct action *a = &g_array_index(actions, struct action, i);

		switch (a->tag) {
		case ACTION_START:
			task_confirm(a->task, p->now_ms);
			break;
		case ACTION_STOP:
			a->task->stop_answered_ms = p->now_ms;
			p->stops++;
			break;
		case ACTION_WAIT:
			break;
		}
	}
	g_array_unref(actions);
}

/* Play a load on upstreams with these slowdowns. */
static struct outcome play(const double *slowdowns, uint32_t slowdowns_len,
			   uint32_t seed, bool use_speeds, double load,
			   bool one_rack)
{
	struct outcome o = {0};
	struct play p;

	play_create(&p, slowdowns, slowdowns_len, seed);
	p.use_speeds = use_speeds;
	while (p.now_ms < p.started_ms + PLAY_MS) {
		p.now_ms += STEP_MS;
		for (uint32_t k = 0; k < G_N_ELEMENTS(kinds); k++) {
			struct kind kind = kinds[k];

			kind.one_rack = one_rack && kind.gang;
			if (g_rand_double(p.rand) <
			    kind.per_second * load * STEP_MS / 1000)
				submit(&p, &kind);
		}
		advance_runs(&p);
		end_stopped_runs(&p);
		run_pass(&p);
	}
	for (guint i = 0; i < p.played->len; i++) {
		const struct played_job *x =
			&g_array_index(p.played, struct played_job, i);
		uint32_t k = x->job->priority;

		if (x->submitted_ms < p.started_ms + LEARN_MS ||
		    x->submitted_ms + x->objective_ms > p.now_ms)
			continue;
		o.all[k]++;
		o.in_time[k] +=
			x->completed_ms &&
			x->completed_ms - x->submitted_ms <= x->objective_ms;
	}
	o.stops = p.stops;
	o.used = speed_is_used(p.speeds);
	play_destroy(&p);
	return o;
}

static const double uneven[] = {0.7, 0.7, 1.7};
static const double same[] = {1.0};

/*
 * Guards against urgent gangs that end late because a member is on one of the
 * slow upstreams, which nothing but runs shows, and against batch work that
 * pays for it.
 */
static void urgent_gangs_end_in_time_on_uneven_upstreams(void **state)
{
	struct outcome with[2], without[2];

	(void)state;
	for (int one_rack = 0; one_rack < 2; one_rack++) {
		with[one_rack] = play(uneven, G_N_ELEMENTS(uneven), 1, true, 1,
				      one_rack);
		without[one_rack] = play(uneven, G_N_ELEMENTS(uneven), 1, false,
					 1, one_rack);
	}
	for (int i = 0; i < 2; i++) {
		const struct outcome *w = &with[i], *o = &without[i];

		print_message("urgent in time %u of %u, without speeds %u\n",
			      w->in_time[0], w->all[0], o->in_time[0]);
		assert_true(w->used);
		assert_true(o->in_time[0] * 100 < o->all[0] * 75);
		assert_true(w->in_time[0] * 100 >= w->all[0] * 97);
		assert_true(w->in_time[1] >= o->in_time[1]);
		assert_true(w->in_time[2] >= o->in_time[2]);
		assert_true(w->all[1] > 5 && w->all[2] > 5);
	}
}

/*
 * Guards against gains for urgent work that vanish, or cost other work much,
 * when slow upstreams must be used as well.
 */
static void urgent_gangs_gain_under_load(void **state)
{
	struct outcome w = play(uneven, G_N_ELEMENTS(uneven), 2, true, 1.7,
				false),
		       o = play(uneven, G_N_ELEMENTS(uneven), 2, false, 1.7,
				false);

	(void)state;
	print_message("urgent in time %u of %u, without speeds %u\n",
		      w.in_time[0], w.all[0], o.in_time[0]);
	assert_true(w.in_time[0] * 100 >= w.all[0] * 95);
	assert_true(o.in_time[0] * 100 < o.all[0] * 75);
	assert_true(w.in_time[1] >= o.in_time[1]);
	assert_true(w.in_time[2] >= o.in_time[2]);
}

/* Guards against other choices than before where upstreams are equal. */
static void even_upstreams_are_used_as_before(void **state)
{
	struct outcome w = play(same, 1, 3, true, 1.7, true),
		       o = play(same, 1, 3, false, 1.7, true);

	(void)state;
	assert_false(w.used);
	assert_memory_equal(w.in_time, o.in_time, sizeof(w.in_time));
	assert_memory_equal(w.all, o.all, sizeof(w.all));
	assert_int_equal(w.stops, o.stops);
}

/* A site on which each speed is set, and one urgent gang of five runs. */
struct scene {
	struct play play;
	struct played_job *job;
	struct stage *stage;
};

/*
 * The gang runs on the first five upstreams, of which the last is slow. The
 * others have these slowdowns in turn.
 */
static void scene_create(struct scene *s, const double *slowdowns)
{
	struct kind k = kinds[0];

	k.need.accelerators = 2;
	play_create(&s->play, same, 1, 1);
	s->play.use_speeds = true;
	speed_set_used(s->play.speeds, true);
	for (uint32_t i = 0; i < UPSTREAMS_COUNT; i++) {
		struct upstream *u = g_ptr_array_index(s->play.fleet->list, i);
		struct speed_entry e = {u->id, log(slowdowns[i % 2]), 0.02};

		double truth = i == 4 ? 2.4 : i < 4 ? 1 : slowdowns[i % 2];

		/* the speeds of the gang's upstreams are not known */
		if (i >= 5)
			speed_set_entry(s->play.speeds, &e, s->play.now_ms);
		g_hash_table_insert(s->play.truth, u,
				    GUINT_TO_POINTER(truth * 1000));
	}
	submit(&s->play, &k);
	s->job = &g_array_index(s->play.played, struct played_job, 0);
	s->stage = &s->job->job->stages[0];
	s->job->job->steps[0].estimate_ms = 2000;
	speed_refresh(s->play.speeds, s->play.fleet, s->play.now_ms);
	for (uint32_t i = 0; i < 5; i++) {
		s->job->run_ms[i] = 2000;
		task_place(&s->stage->tasks[i],
			   g_ptr_array_index(s->play.fleet->list, i), 1,
			   s->play.now_ms);
		task_confirm(&s->stage->tasks[i], s->play.now_ms);
	}
}

/* Let ms milliseconds pass; returns how many stops were ordered. */
static uint32_t scene_run(struct scene *s, uint32_t ms)
{
	uint32_t before = s->play.stops;

	for (uint32_t t = 0; t < ms; t += STEP_MS) {
		s->play.now_ms += STEP_MS;
		advance_runs(&s->play);
		end_stopped_runs(&s->play);
		run_pass(&s->play);
	}
	return s->play.stops - before;
}

/*
 * Guards against a gang that is left on a slow upstream although it would end
 * in time on free faster ones, and against one that is moved again and again.
 */
static void gang_on_a_slow_upstream_is_moved_once(void **state)
{
	static const double fast[] = {0.7, 1.7};
	struct scene s;

	(void)state;
	scene_create(&s, fast);
	assert_int_equal(scene_run(&s, 800), 5);
	assert_int_equal(scene_run(&s, 4000), 0);
	assert_int_equal(s.job->job->state, JOB_COMPLETED);
	assert_true(s.job->completed_ms - s.job->submitted_ms <=
		    2000 * 1.5 + 250);
	play_destroy(&s.play);
}

/* Guards against stops that gain nothing: no fast upstream is free. */
static void gang_stays_while_no_fast_upstream_is_free(void **state)
{
	static const double fast[] = {0.7, 1.7};
	struct scene s;

	(void)state;
	scene_create(&s, fast);
	for (uint32_t i = 6; i < UPSTREAMS_COUNT; i += 2) {
		struct upstream *u = g_ptr_array_index(s.play.fleet->list, i);

		u->state = UPSTREAM_DRAINING;
	}
	assert_int_equal(scene_run(&s, 6000), 0);
	assert_int_equal(s.job->job->state, JOB_COMPLETED);
	play_destroy(&s.play);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(urgent_gangs_end_in_time_on_uneven_upstreams),
		cmocka_unit_test(urgent_gangs_gain_under_load),
		cmocka_unit_test(even_upstreams_are_used_as_before),
		cmocka_unit_test(gang_on_a_slow_upstream_is_moved_once),
		cmocka_unit_test(gang_stays_while_no_fast_upstream_is_free),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
