/*
 * Tests of the policy under load: seeded arrivals are played through the
 * scheduling pass in virtual time, and the tests check what callers get.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>

#include "sched/dispatch.h"
#include "sched/reach.h"
#include "sched/value.h"

#define STOP_MS 400
#define RECLAIM_MS 2900
#define LEASE_MS 10000
/* Interval of the passes, and of the lists of an upstream with work. */
#define STEP_MS 20
#define LIST_INTERVAL_MS 600
#define DOMAINS_COUNT 3
/* A call to an upstream that does not answer ends after this long. */
#define CALL_TIMEOUT_MS 1000

/* A job in play, with how long its tasks really run. */
struct played_job {
	struct job *job;
	uint32_t *run_ms; /* by task */
	uint64_t submitted_ms;
	uint64_t completed_ms; /* 0: not completed yet */
	uint64_t objective_ms; /* from its submission */
};

/* A site in virtual time. */
struct play {
	struct fleet *fleet;
	struct estimator *estimator;
	GPtrArray *jobs; /* struct job, not final */
	GArray *played;	 /* struct played_job */
	struct account_guarantee guarantee;
	GRand *rand;
	uint64_t now_ms;
	GQuark cut_domain;	 /* its upstreams do not answer; 0: none */
	uint64_t silent_from_ms; /* when their calls have timed out */
	uint32_t hung_starts;	 /* starts that were sent to that domain */
};

/* Create a site with racks of 8 idle upstreams, in turn in three domains. */
static void play_create(struct play *p, uint32_t upstreams, uint32_t seed)
{
	*p = (struct play){
		.fleet = fleet_create(),
		.estimator = estimator_create(),
		.jobs = g_ptr_array_new(),
		.played = g_array_new(FALSE, FALSE, sizeof(struct played_job)),
		.guarantee = {"account", 1000000},
		.rand = g_rand_new_with_seed(seed),
		.now_ms = 1000000};
	for (uint32_t i = 0; i < upstreams; i++) {
		char id[16], rack[16], domain[16];
		struct upstream *u;

		snprintf(id, sizeof(id), "u%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / 8);
		snprintf(domain, sizeof(domain), "d%u", i / 8 % DOMAINS_COUNT);
		u = fleet_add_upstream(p->fleet, id);
		upstream_describe(u, "s", domain, "a", rack);
		u->resources = (struct resources){64000, 262144, 8};
		u->synced = true;
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
	estimator_destroy(p->estimator);
	fleet_destroy(p->fleet);
	g_rand_free(p->rand);
}

/* What a submission asks for. */
struct submission {
	uint32_t priority;
	uint32_t tasks;
	int64_t accelerators; /* of a task */
	uint32_t mean_ms;
	double spread; /* a task runs mean_ms, more or less by this share */
	bool gang;
	bool one_rack;
};

/* Submit a job; returns its index in p->played. */
static guint play_submit(struct play *p, const struct submission *s)
{
	struct played_job x = {.submitted_ms = p->now_ms};
	char id[JOB_ID_BYTES];
	uint32_t longest_ms = 0;
	struct step *step;

	snprintf(id, sizeof(id), "%016x", p->played->len);
	x.job = job_create(id);
	text_set(&x.job->account, "account");
	job_set_service(x.job, "s");
	text_set_format(&x.job->queue, "q%u", s->priority);
	x.job->queue_known = true;
	x.job->priority = s->priority;
	x.job->max_attempts = 3;
	x.job->slack_factor = s->priority ? 3 : 1.5;
	x.job->target_ms = s->priority ? 1000 : 250;
	x.job->since_ms = p->now_ms;
	step = job_add_step(x.job);
	step->count = s->tasks;
	step->need =
		(struct resources){s->accelerators * 1000,
				   s->accelerators * 4000, s->accelerators};
	step->estimate_ms = s->mean_ms;
	step->gang = s->gang;
	step->rack_sensitive = s->one_rack;
	job_create_stages(x.job);
	x.run_ms = g_new(uint32_t, s->tasks);
	for (uint32_t i = 0; i < s->tasks; i++) {
		x.run_ms[i] =
			s->mean_ms * g_rand_double_range(p->rand, 1 - s->spread,
							 1 + s->spread);
		longest_ms = MAX(longest_ms, x.run_ms[i]);
	}
	x.objective_ms = longest_ms * x.job->slack_factor + x.job->target_ms;
	g_ptr_array_add(p->jobs, x.job);
	estimator_record_job(p->estimator, x.job);
	g_array_append_val(p->played, x);
	return p->played->len - 1;
}

static bool is_cut(const struct play *p, const struct upstream *u)
{
	return p->cut_domain && u && u->domain_quark == p->cut_domain;
}

/* Return when the slowest member of the gang, or the task alone, ends. */
static uint64_t end_ms(const struct played_job *x, const struct task *t)
{
	const struct stage *st = t->stage;
	uint64_t last_ms = 0;

	if (!st->step->gang)
		return t->placed_ms + x->run_ms[t->index];
	for (uint32_t i = 0; i < st->step->count; i++)
		last_ms = MAX(last_ms, st->tasks[i].placed_ms + x->run_ms[i]);
	return last_ms;
}

/* List the progress of a run, or its end. */
static void list_run(struct play *p, const struct played_job *x, struct task *t)
{
	uint64_t ran_ms = p->now_ms - t->placed_ms;

	if (t->state != TASK_RUNNING || is_cut(p, t->at))
		return;
	reach_record_answer(t->at, p->now_ms);
	if (end_ms(x, t) <= p->now_ms) {
		estimator_record_run(p->estimator, x->job, t->stage->step_index,
				     ran_ms);
		task_end_run(t, RUN_DONE, NULL, p->now_ms);
	} else if (p->now_ms % LIST_INTERVAL_MS < STEP_MS) {
		task_record_progress(
			t, MIN(99, 100 * ran_ms / x->run_ms[t->index]),
			p->now_ms);
	}
}

/* Advance all runs to the present. */
static void advance_runs(struct play *p)
{
	for (guint i = 0; i < p->played->len; i++) {
		struct played_job *x =
			&g_array_index(p->played, struct played_job, i);
		struct stage *st = &x->job->stages[0];

		for (uint32_t k = 0; k < st->step->count; k++)
			list_run(p, x, &st->tasks[k]);
		job_update_completion(x->job, p->now_ms);
		if (job_is_final(x->job) && !x->completed_ms) {
			x->completed_ms = p->now_ms;
			g_ptr_array_remove(p->jobs, x->job);
		}
	}
}

/* End the runs whose stop was ordered STOP_MS ago. */
static void end_stopped_runs(struct play *p)
{
	for (guint i = 0; i < p->fleet->list->len; i++) {
		struct upstream *u = g_ptr_array_index(p->fleet->list, i);

		for (guint k = u->tasks->len; k-- > 0;) {
			struct task *t = g_ptr_array_index(u->tasks, k);

			if (t->state == TASK_STOPPING &&
			    t->stop_answered_ms + STOP_MS <= p->now_ms)
				task_end_run(t, RUN_STOPPED, NULL, p->now_ms);
		}
	}
}

/* Run a pass and carry out its actions. */
static void run_pass(struct play *p)
{
	struct dispatch_input v = {.jobs = p->jobs,
				   .fleet = p->fleet,
				   .guarantees = &p->guarantee,
				   .guarantees_len = 1,
				   .now_ms = p->now_ms,
				   .estimator = p->estimator,
				   .checkpoint_ms = 1000,
				   .stop_ms = STOP_MS,
				   .reclaim_ms = RECLAIM_MS,
				   .lease_ms = LEASE_MS};
	GArray *actions = dispatch(&v);

	for (guint i = 0; i < actions->len; i++) {
		struct action *a = &g_array_index(actions, struct action, i);

		switch (a->tag) {
		case ACTION_START:
			if (is_cut(p, a->u.to))
				p->hung_starts++;
			else
				task_confirm(a->task, p->now_ms);
			break;
		case ACTION_STOP:
			a->task->stop_answered_ms = p->now_ms;
			break;
		case ACTION_WAIT:
			break;
		}
	}
	g_array_unref(actions);
}

/* Cut a domain off: calls to its upstreams time out from now on. */
static void cut_off(struct play *p, const char *domain)
{
	p->cut_domain = g_quark_from_string(domain);
	p->silent_from_ms = p->now_ms + CALL_TIMEOUT_MS;
}

/* Note the calls that time out: only upstreams with work are called. */
static void time_out_calls(struct play *p)
{
	for (guint i = 0; i < p->fleet->list->len; i++) {
		struct upstream *u = g_ptr_array_index(p->fleet->list, i);

		if (!is_cut(p, u) || !u->tasks->len ||
		    p->now_ms < p->silent_from_ms)
			continue;
		reach_record_silence(u);
		u->avoid_until_ms = p->now_ms + CALL_TIMEOUT_MS;
	}
	reach_update(p->fleet, p->now_ms);
}

/* Let ms milliseconds pass. */
static void play_run(struct play *p, uint32_t ms)
{
	for (uint32_t t = 0; t < ms; t += STEP_MS) {
		p->now_ms += STEP_MS;
		time_out_calls(p);
		advance_runs(p);
		end_stopped_runs(p);
		run_pass(p);
	}
}

/* Count the urgent jobs, and those that ended within their objective. */
static void count_urgent(const struct play *p, uint32_t *all, uint32_t *in_time)
{
	for (guint i = 0; i < p->played->len; i++) {
		const struct played_job *x =
			&g_array_index(p->played, struct played_job, i);

		if (x->job->priority)
			continue;
		++*all;
		*in_time +=
			x->completed_ms &&
			x->completed_ms - x->submitted_ms <= x->objective_ms;
	}
}

static const struct submission quiet = {.priority = 2,
					.tasks = 24,
					.accelerators = 1,
					.mean_ms = 6000,
					.spread = 0.5};
static const struct submission wide_gang = {.priority = 1,
					    .tasks = 4,
					    .accelerators = 8,
					    .mean_ms = 6000,
					    .spread = 0.3,
					    .gang = true};
static const struct submission urgent_gang = {.priority = 0,
					      .tasks = 3,
					      .accelerators = 8,
					      .mean_ms = 2500,
					      .spread = 0.15,
					      .gang = true,
					      .one_rack = true};

/*
 * Quiet work and gangs of lower priority fill the site, and every few seconds
 * an urgent gang arrives that could take their place. All of them end in time:
 * their objective leaves room for one stop. Guards against waiting for runs
 * that are expected to end and do not.
 */
static void urgent_gangs_on_a_full_site_end_in_time(void **state)
{
	uint32_t all = 0, in_time = 0;

	(void)state;
	for (uint32_t seed = 1; seed <= 10; seed++) {
		struct play p;

		play_create(&p, 24, seed);
		for (int i = 0; i < 8; i++)
			play_submit(&p, &quiet);
		play_run(&p, 2000);
		for (int i = 0; i < 12; i++) {
			play_submit(&p, &quiet);
			play_submit(&p, &quiet);
			play_submit(&p, &wide_gang);
			play_run(&p, g_rand_int_range(p.rand, 200, 1500));
			play_submit(&p, &urgent_gang);
			play_run(&p, 3500);
		}
		play_run(&p, 4000);
		count_urgent(&p, &all, &in_time);
		play_destroy(&p);
	}
	assert_int_equal(all, 120);
	assert_int_equal(in_time, all);
}

/*
 * A domain is cut off while some of its upstreams have work and others are
 * idle. Once the calls to the busy ones have timed out, urgent gangs go to the
 * other domains, and all end in time. Guards against gangs that hang on idle
 * upstreams of a domain that cannot be reached.
 */
static void gangs_avoid_a_domain_that_is_cut_off(void **state)
{
	uint32_t all = 0, in_time = 0;

	(void)state;
	for (uint32_t seed = 1; seed <= 10; seed++) {
		struct play p;

		play_create(&p, 24, seed);
		play_submit(&p, &quiet);
		play_submit(&p, &quiet);
		play_submit(&p, &wide_gang);
		play_run(&p, 1000);
		/* the rack of d1 has two busy upstreams and room for a gang */
		cut_off(&p, "d1");
		play_run(&p, CALL_TIMEOUT_MS + STEP_MS);
		for (int i = 0; i < 4; i++) {
			play_submit(&p, &urgent_gang);
			play_run(&p, 600);
		}
		play_run(&p, 4000);
		assert_int_equal(p.hung_starts, 0);
		count_urgent(&p, &all, &in_time);
		play_destroy(&p);
	}
	assert_int_equal(in_time, all);
}

/* One silent upstream, or one that answers, leaves its domain in use. */
static void a_domain_in_which_an_upstream_answers_stays_in_use(void **state)
{
	struct play p;
	struct upstream *u;

	(void)state;
	play_create(&p, 24, 1);
	u = fleet_find_upstream(p.fleet, "u0");
	reach_record_silence(u);
	assert_false(reach_update(p.fleet, p.now_ms));
	reach_record_silence(fleet_find_upstream(p.fleet, "u1"));
	reach_record_answer(fleet_find_upstream(p.fleet, "u2"), p.now_ms);
	assert_false(reach_update(p.fleet, p.now_ms));
	p.now_ms += CALL_TIMEOUT_MS;
	assert_true(reach_update(p.fleet, p.now_ms));
	assert_true(fleet_find_upstream(p.fleet, "u7")->doubted);
	assert_false(fleet_find_upstream(p.fleet, "u8")->doubted);
	reach_record_answer(u, p.now_ms);
	assert_false(reach_update(p.fleet, p.now_ms));
	assert_false(fleet_find_upstream(p.fleet, "u7")->doubted);
	play_destroy(&p);
}

/*
 * Two members of a gang are at 97 percent and one at 10. The gang frees its
 * upstreams when that one ends, and a run that is overdue is not expected to
 * end at once.
 */
static void a_gang_is_expected_to_end_with_its_last_member(void **state)
{
	struct value_context v = {.pass = 1, .stop_ms = STOP_MS};
	struct play p;
	struct task *tasks;
	uint64_t early_ms, late_ms;

	(void)state;
	play_create(&p, 8, 1);
	play_submit(&p, &urgent_gang);
	play_run(&p, 600);
	tasks = g_array_index(p.played, struct played_job, 0)
			.job->stages[0]
			.tasks;
	p.now_ms += 400;
	task_record_progress(&tasks[0], 97, p.now_ms);
	task_record_progress(&tasks[1], 97, p.now_ms);
	task_record_progress(&tasks[2], 10, p.now_ms);
	v.estimator = p.estimator;
	v.now_ms = p.now_ms;
	assert_in_range(value_release_ms(&v, &tasks[0]), 8000, 10000);
	/* alone it would be about done, and later it is overdue */
	early_ms = value_remaining_ms(&v, &tasks[0]);
	assert_in_range(early_ms, 1, 100);
	v.now_ms += 1000;
	late_ms = value_remaining_ms(&v, &tasks[0]);
	assert_in_range(late_ms, 900, 1000);
	play_destroy(&p);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(urgent_gangs_on_a_full_site_end_in_time),
		cmocka_unit_test(
			a_gang_is_expected_to_end_with_its_last_member),
		cmocka_unit_test(gangs_avoid_a_domain_that_is_cut_off),
		cmocka_unit_test(
			a_domain_in_which_an_upstream_answers_stays_in_use),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
