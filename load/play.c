/*
 * The simulation is a heap of events in virtual time: job arrivals, ends and
 * stops of runs, upstreams that slow down or leave.  Each batch of events is
 * followed by a scheduling pass, at most once per PASS_INTERVAL_MS because
 * the scheduler's records take that long to write.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/counter.h"
#include "lib/loop.h"
#include "load/play.h"
#include "sched/dispatch.h"
#include "sched/progress.h"

#define ACCOUNT_MAX 24
/* Share of the accelerators that is guaranteed to all accounts together. */
#define GUARANTEED_SHARE 0.6
#define CHECKPOINT_INTERVAL_MS 1000
#define CHECKPOINT_RESTORE_MS 250
#define CROSS_RACK_SLOWDOWN 3
/* From a decision to its effect: write the record and send the order. */
#define ACTION_DELAY_MS 20
/* Minimum time between passes: one write of the records. */
#define PASS_INTERVAL_MS 15
/* Passes in this time fill an empty site and are not measured. */
#define WARM_UP_MS 500
/* Interval at which upstreams report the progress of their runs. */
#define PROGRESS_INTERVAL_MS 600
#define CORES_PER_ACCELERATOR 8
/* A late job earns credit up to this multiple of its time objective. */
#define LATE_LIMIT_FACTOR 3
#define SIZE_COUNT 5

enum job_kind { KIND_SURVEY, KIND_CHECK, KIND_RECON, KIND_COUNT };

/*
 * Parameters of one kind of job.  The arrival rate is that of a site of 1,100
 * upstreams; task count and work are drawn from log-normal distributions with
 * a mean, a coefficient of variation and a maximum.
 */
struct job_kind_spec {
	const char *name;
	double arrivals_per_s;
	uint32_t priority, max_attempts;
	double mean_tasks, tasks_cv, max_tasks;
	double mean_work_ms, work_cv, max_work_ms;
	struct resources need; /* accelerators: from accelerator_counts */
	int64_t accelerator_counts[SIZE_COUNT];
	double max_estimate_log_error;
	bool gang;
	/* Share of jobs that run slower across racks, by accelerator count. */
	double rack_sensitive_share[SIZE_COUNT];
	double checkpointing_share, always_failing_share, cancelled_share;
	double run_failure_share;
	double slack_factor, target_ms, in_time_credit, late_credit;
};

static const struct job_kind_spec large_kinds[KIND_COUNT] = {
	{.name = "rooftop-survey",
	 .arrivals_per_s = 3.42,
	 .priority = 1,
	 .max_attempts = 4,
	 .mean_tasks = 26,
	 .tasks_cv = 0.8,
	 .max_tasks = 160,
	 .mean_work_ms = 8500,
	 .work_cv = 0.3,
	 .max_work_ms = 11000,
	 .need = {52000, 270000, 0},
	 .accelerator_counts = {1, 2, 4, 8, 8},
	 .max_estimate_log_error = 0.5,
	 .gang = true,
	 .run_failure_share = 0.02,
	 .checkpointing_share = 0.45,
	 .always_failing_share = 0.03,
	 .cancelled_share = 0.05,
	 .slack_factor = 3,
	 .target_ms = 1000,
	 .in_time_credit = 3,
	 .late_credit = 0.9},
	{.name = "eligibility-check",
	 .arrivals_per_s = 19.6,
	 .priority = 0,
	 .max_attempts = 2,
	 .mean_tasks = 7.6,
	 .tasks_cv = 0.8,
	 .max_tasks = 46,
	 .mean_work_ms = 2500,
	 .work_cv = 0.5,
	 .max_work_ms = 8000,
	 .need = {15000, 79000, 0},
	 .accelerator_counts = {1, 2, 4, 8, 8},
	 .max_estimate_log_error = 0.9,
	 .gang = true,
	 .rack_sensitive_share = {0.78, 0.7, 0.5, 0.24, 0.24},
	 .run_failure_share = 0.05,
	 .slack_factor = 1.5,
	 .target_ms = 250,
	 .in_time_credit = 4,
	 .late_credit = 0.8},
	{.name = "village-recon",
	 .arrivals_per_s = 2.69,
	 .priority = 2,
	 .max_attempts = 2,
	 .mean_tasks = 78,
	 .tasks_cv = 0.8,
	 .max_tasks = 470,
	 .mean_work_ms = 9500,
	 .work_cv = 0.3,
	 .max_work_ms = 11000,
	 .need = {11000, 59000, 0},
	 .accelerator_counts = {1, 1, 1, 1, 1},
	 .max_estimate_log_error = 0.2,
	 .run_failure_share = 0.005,
	 .checkpointing_share = 0.45,
	 .always_failing_share = 0.03,
	 .cancelled_share = 0.15,
	 .slack_factor = 3,
	 .target_ms = 3000,
	 .in_time_credit = 1,
	 .late_credit = 0.3},
};

static const struct job_kind_spec crowded_kinds[KIND_COUNT] = {
	{.name = "rooftop-survey",
	 .arrivals_per_s = 1.39,
	 .priority = 1,
	 .max_attempts = 4,
	 .mean_tasks = 13,
	 .tasks_cv = 0.8,
	 .max_tasks = 80,
	 .mean_work_ms = 11000,
	 .work_cv = 0.3,
	 .max_work_ms = 16000,
	 .need = {26000, 38000, 0},
	 .accelerator_counts = {1, 2, 4, 8, 8},
	 .max_estimate_log_error = 0.5,
	 .gang = true,
	 .run_failure_share = 0.02,
	 .checkpointing_share = 0.45,
	 .always_failing_share = 0.03,
	 .cancelled_share = 0.05,
	 .slack_factor = 3,
	 .target_ms = 1000,
	 .in_time_credit = 3,
	 .late_credit = 0.9},
	{.name = "eligibility-check",
	 .arrivals_per_s = 5.88,
	 .priority = 0,
	 .max_attempts = 2,
	 .mean_tasks = 5,
	 .tasks_cv = 0.8,
	 .max_tasks = 30,
	 .mean_work_ms = 2500,
	 .work_cv = 0.5,
	 .max_work_ms = 8000,
	 .need = {7500, 15000, 0},
	 .accelerator_counts = {1, 2, 4, 8, 8},
	 .max_estimate_log_error = 0.9,
	 .gang = true,
	 .rack_sensitive_share = {0.78, 0.7, 0.5, 0.24, 0.24},
	 .run_failure_share = 0.05,
	 .slack_factor = 1.5,
	 .target_ms = 250,
	 .in_time_credit = 4,
	 .late_credit = 0.8},
	{.name = "village-recon",
	 .arrivals_per_s = 1.7,
	 .priority = 2,
	 .max_attempts = 2,
	 .mean_tasks = 39,
	 .tasks_cv = 0.8,
	 .max_tasks = 230,
	 .mean_work_ms = 7600,
	 .work_cv = 0.3,
	 .max_work_ms = 11000,
	 .need = {5600, 15000, 0},
	 .accelerator_counts = {1, 1, 1, 1, 1},
	 .max_estimate_log_error = 0.2,
	 .run_failure_share = 0.005,
	 .checkpointing_share = 0.45,
	 .always_failing_share = 0.03,
	 .cancelled_share = 0.15,
	 .slack_factor = 3,
	 .target_ms = 3000,
	 .in_time_credit = 1,
	 .late_credit = 0.3},
};

/*
 * A deployment: its upstreams, its bounds and its kinds of job, whose arrival
 * rates are those of `rated_upstreams`.
 */
struct site_spec {
	const char *name;
	const struct job_kind_spec *kinds;
	struct resources upstream;
	uint32_t rated_upstreams, rack_upstreams, domains, accounts;
	/* each account has this share of the remaining arrivals; 0: equal */
	double account_share;
	double slowest; /* upstreams take 1/slowest to slowest times as long */
	uint32_t stop_ms, reclaim_ms, lease_ms;
};

static const struct site_spec sites[] = {
	{.name = "large",
	 .kinds = large_kinds,
	 .upstream = {128000, 524288, 8},
	 .rated_upstreams = 1100,
	 .rack_upstreams = 8,
	 .domains = 5,
	 .accounts = 24,
	 .slowest = 1,
	 .stop_ms = 900,
	 .reclaim_ms = 3400,
	 .lease_ms = 10000},
	/* two tasks of the second priority fill an upstream */
	{.name = "crowded",
	 .kinds = crowded_kinds,
	 .upstream = {64000, 131072, 8},
	 .rated_upstreams = 350,
	 .rack_upstreams = 20,
	 .domains = 4,
	 .accounts = 10,
	 .account_share = 0.3,
	 .slowest = 1.25,
	 .stop_ms = 200,
	 .reclaim_ms = 2700,
	 .lease_ms = 6000},
};

enum event_tag {
	EVENT_JOB_ARRIVAL,     /* a job of `kind` arrives */
	EVENT_START_CONFIRMED, /* run `run` of `task` starts */
	EVENT_RUN_END, /* a run of `task` ends; `run` is its end_sequence */
	EVENT_RUN_STOPPED, /* the stop of run `run` takes effect; `value`: 1 if it was preempted */
	EVENT_JOB_CANCELLED,	/* the caller cancels `job` */
	EVENT_PROGRESS_REPORT,	/* upstreams report progress */
	EVENT_SPEED_CHANGE,	/* `upstream` slows by factor `value` */
	EVENT_UPSTREAM_LEAVING, /* `upstream` leaves in `value` ms */
	EVENT_UPSTREAM_GONE,	/* `upstream` and its runs are lost */
};

struct event {
	uint64_t at_ms;
	uint64_t sequence; /* orders events of the same time */
	enum event_tag tag;
	enum job_kind kind;
	struct task *task;
	uint32_t run;
	struct job *job;
	struct upstream *upstream;
	double value; /* slowdown factor or milliseconds, by tag */
};

/* Progress of one task; work is in milliseconds at full speed. */
struct task_progress {
	double checkpointed_ms; /* work saved in the checkpoint */
	double run_work_ms;	/* work of the current run up to updated_ms */
	double slowdown; /* elapsed time per work since; 0: not running */
	uint64_t updated_ms;
	uint32_t end_sequence; /* of the valid EVENT_RUN_END */
};

/* Properties of a job that are hidden from the scheduler. */
struct sim_job {
	enum job_kind kind;
	uint64_t arrived_ms;
	uint64_t objective_ms;
	double work_ms;
	double core_seconds; /* total work */
	bool always_fails;
	bool counted;
	struct task_progress *task_progress; /* by task */
};

struct outcome {
	uint32_t jobs, in_time, late, lost;
	double credit_earned, credit_possible;
	double wasted_core_s;
	double preempted_core_s; /* of it, by runs stopped for other work */
	struct histogram turnaround;
};

struct simulation {
	const struct play_options *options;
	const struct site_spec *site;
	GRand *rand;
	GArray *events;
	uint64_t next_sequence;
	uint64_t start_ms;
	uint64_t now_ms;
	uint64_t next_pass_ms; /* earliest time of the next pass */
	struct fleet *fleet;
	struct estimator *estimator;
	GPtrArray *jobs;
	GPtrArray *ended_jobs; /* events may refer to their tasks */
	GHashTable *sim_jobs;
	GHashTable *speeds; /* by upstream; 1 is full speed */
	struct account_guarantee guarantees[ACCOUNT_MAX];
	uint32_t job_count;
	double task_count_scale;
	double mean_core_seconds[KIND_COUNT];
	uint32_t sampled_count[KIND_COUNT];
	uint64_t starts, stops, passes;
	/* Accelerators, summed over passes. */
	double used_accelerators, available_accelerators;
	struct histogram pass_time;
	struct outcome by_kind[KIND_COUNT];
	/* credit of each account */
	double account_earned[ACCOUNT_MAX], account_possible[ACCOUNT_MAX];
};

static bool event_precedes(const struct event *a, const struct event *b)
{
	return a->at_ms != b->at_ms ? a->at_ms < b->at_ms
				    : a->sequence < b->sequence;
}

static void schedule_event(struct simulation *p, uint64_t at_ms, struct event e)
{
	guint i = p->events->len;
	struct event *h;

	e.at_ms = at_ms;
	e.sequence = p->next_sequence++;
	g_array_append_val(p->events, e);
	h = (struct event *)p->events->data;
	while (i && event_precedes(&e, &h[(i - 1) / 2])) {
		h[i] = h[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	h[i] = e;
}

static struct event pop_event(struct simulation *p)
{
	struct event *h = (struct event *)p->events->data;
	struct event top = h[0], last = h[p->events->len - 1];
	guint n = p->events->len - 1, i = 0;

	for (;;) {
		guint c = 2 * i + 1;

		if (c >= n)
			break;
		if (c + 1 < n && event_precedes(&h[c + 1], &h[c]))
			c++;
		if (!event_precedes(&h[c], &last))
			break;
		h[i] = h[c];
		i = c;
	}
	h[i] = last;
	g_array_set_size(p->events, n);
	return top;
}

static double random_normal(struct simulation *p)
{
	double u = g_rand_double_range(p->rand, 1e-9, 1);

	return sqrt(-2 * log(u)) * cos(2 * M_PI * g_rand_double(p->rand));
}

/*
 * Draw from a log-normal distribution with this mean and coefficient of
 * variation, truncated at most.
 */
static double random_lognormal(struct simulation *p, double mean, double spread,
			       double most)
{
	double s2 = log(1 + spread * spread);

	return MIN(mean * exp(sqrt(s2) * random_normal(p) - s2 / 2), most);
}

static struct sim_job *sim_job_of(const struct simulation *p,
				  const struct job *j)
{
	return g_hash_table_lookup(p->sim_jobs, j);
}

static void sim_job_free(void *v)
{
	struct sim_job *t = v;

	g_free(t->task_progress);
	g_free(t);
}

static double core_equivalents(const struct resources *r)
{
	return r->cpu_milli / 1000.0 + r->accelerators * CORES_PER_ACCELERATOR;
}

static bool random_chance(struct simulation *p, double share)
{
	return g_rand_double(p->rand) < share;
}

/* Draw the account of a job; the first ones are the largest. */
static uint32_t random_account(struct simulation *p)
{
	const struct site_spec *s = p->site;
	uint32_t k = 0;

	if (!s->account_share)
		return g_rand_int_range(p->rand, 0, s->accounts);
	while (k + 1 < s->accounts && !random_chance(p, s->account_share))
		k++;
	return k;
}

/* Add a job of kind k, with randomly drawn properties, that arrives now. */
static void add_random_job(struct simulation *p, enum job_kind k)
{
	const struct job_kind_spec *s = &p->site->kinds[k];
	struct sim_job *t = g_new0(struct sim_job, 1);
	char id[JOB_ID_BYTES];
	struct step *step;
	struct job *j;
	double width;
	int size;

	snprintf(id, sizeof(id), "%016x", ++p->job_count);
	j = job_create(id);
	text_set_format(&j->account, "a%u", random_account(p));
	text_set(&j->queue, s->name);
	job_set_service(j, "s");
	j->queue_known = true;
	j->priority = s->priority;
	j->max_attempts = s->max_attempts;
	j->slack_factor = s->slack_factor;
	j->target_ms = s->target_ms;
	j->since_ms = p->now_ms;
	t->kind = k;
	t->arrived_ms = p->now_ms;
	t->work_ms = random_lognormal(p, s->mean_work_ms, s->work_cv,
				      s->max_work_ms);
	t->always_fails = random_chance(p, s->always_failing_share);
	step = job_add_step(j);
	width = random_lognormal(p, s->mean_tasks, s->tasks_cv, s->max_tasks);
	step->count = MAX(1, width * p->task_count_scale);
	step->need = s->need;
	size = g_rand_int_range(p->rand, 0, SIZE_COUNT);
	step->need.accelerators = s->accelerator_counts[size];
	step->gang = s->gang;
	step->rack_sensitive = random_chance(p, s->rack_sensitive_share[size]);
	step->checkpoints = random_chance(p, s->checkpointing_share);
	step->estimate_ms =
		t->work_ms * exp(g_rand_double_range(p->rand, -1, 1) *
				 s->max_estimate_log_error);
	job_create_stages(j);
	t->objective_ms = t->work_ms * s->slack_factor + s->target_ms;
	t->task_progress = g_new0(struct task_progress, step->count);
	t->core_seconds =
		step->count * t->work_ms / 1000 * core_equivalents(&step->need);
	p->mean_core_seconds[k] += (t->core_seconds - p->mean_core_seconds[k]) /
				   ++p->sampled_count[k];
	g_hash_table_insert(p->sim_jobs, j, t);
	g_ptr_array_add(p->jobs, j);
	estimator_record_job(p->estimator, j);
	if (random_chance(p, s->cancelled_share))
		schedule_event(
			p, p->now_ms + g_rand_int_range(p->rand, 200, 12000),
			(struct event){.tag = EVENT_JOB_CANCELLED, .job = j});
}

static double upstream_speed(const struct simulation *p,
			     const struct upstream *u)
{
	return *(double *)g_hash_table_lookup(p->speeds, u);
}

/* Report whether placed tasks of st are on another rack than the first. */
static bool spans_racks(const struct stage *st)
{
	for (uint32_t i = 1; i < st->step->count; i++)
		if (st->tasks[i].at && st->tasks[0].at &&
		    st->tasks[i].at->rack_quark != st->tasks[0].at->rack_quark)
			return true;
	return false;
}

/*
 * Return how many times longer t takes where it is placed than on an upstream
 * of full speed.  A gang runs at the speed of its slowest member.
 */
static double task_slowdown(const struct simulation *p, const struct task *t)
{
	const struct stage *st = t->stage;
	double slowest = 1 / upstream_speed(p, t->at);

	for (uint32_t i = 0; st->step->gang && i < st->step->count; i++)
		if (st->tasks[i].at)
			slowest = MAX(slowest,
				      1 / upstream_speed(p, st->tasks[i].at));
	return slowest * (st->step->rack_sensitive && spans_racks(st)
				  ? CROSS_RACK_SLOWDOWN
				  : 1);
}

static struct task_progress *task_progress_of(const struct simulation *p,
					      const struct task *t)
{
	return &sim_job_of(p, t->stage->job)->task_progress[t->index];
}

/* Return the work of t done by now, including its checkpoint. */
static double work_done_ms(const struct simulation *p, const struct task *t)
{
	const struct task_progress *g = task_progress_of(p, t);

	return g->checkpointed_ms + g->run_work_ms +
	       (p->now_ms - g->updated_ms) / g->slowdown;
}

/* Schedule the end of the run of t at the current speed of its upstreams. */
static void schedule_run_end(struct simulation *p, struct task *t)
{
	struct task_progress *g = task_progress_of(p, t);
	double left = sim_job_of(p, t->stage->job)->work_ms -
		      g->checkpointed_ms - g->run_work_ms;

	g->slowdown = task_slowdown(p, t);
	g->updated_ms = p->now_ms;
	g->end_sequence++;
	schedule_event(p, p->now_ms + (uint64_t)(MAX(left, 0) * g->slowdown),
		       (struct event){.tag = EVENT_RUN_END,
				      .task = t,
				      .run = g->end_sequence});
}

/* Reschedule the end of the run of t after a change of speed. */
static void reschedule_run_end(struct simulation *p, struct task *t)
{
	struct task_progress *g = task_progress_of(p, t);

	if (t->state != TASK_RUNNING && t->state != TASK_STOPPING)
		return;
	if (!g->slowdown)
		return; /* not started yet */
	g->run_work_ms += (p->now_ms - g->updated_ms) / g->slowdown;
	schedule_run_end(p, t);
}

/* Start the run of e; a run from a checkpoint first spends the restore time. */
static void confirm_start(struct simulation *p, const struct event *e)
{
	struct task *t = e->task;
	struct task_progress *g;

	if (t->run != e->run || t->state != TASK_PLACED)
		return;
	g = task_progress_of(p, t);
	task_confirm(t, p->now_ms);
	g->run_work_ms = g->checkpointed_ms > 0 ? -CHECKPOINT_RESTORE_MS : 0;
	schedule_run_end(p, t);
}

/* Slow upstream u down by a factor; below 1 speeds it up. */
static void change_upstream_speed(struct simulation *p, struct upstream *u,
				  double slowdown)
{
	*(double *)g_hash_table_lookup(p->speeds, u) /= slowdown;
	for (guint i = 0; i < u->tasks->len; i++) {
		struct task *t = g_ptr_array_index(u->tasks, i);
		struct stage *st = t->stage;

		if (!st->step->gang)
			reschedule_run_end(p, t);
		for (uint32_t k = 0; st->step->gang && k < st->step->count; k++)
			reschedule_run_end(p, &st->tasks[k]);
	}
}

/*
 * End a run early: keep the work up to its last checkpoint and count the rest
 * as wasted.
 */
static void abort_run(struct simulation *p, struct task *t, bool preempted)
{
	struct task_progress *g = task_progress_of(p, t);
	struct outcome *o = &p->by_kind[sim_job_of(p, t->stage->job)->kind];
	double ran = p->now_ms - t->placed_ms, kept = 0, wasted;

	if (!g->slowdown)
		return; /* not started yet */
	if (t->stage->step->checkpoints) {
		kept = work_done_ms(p, t) - g->checkpointed_ms;
		kept = MAX(floor(kept / CHECKPOINT_INTERVAL_MS) *
				   CHECKPOINT_INTERVAL_MS,
			   0);
		g->checkpointed_ms += kept;
		g_free(t->checkpoint);
		t->checkpoint = g_strdup("c");
	}
	wasted = MAX(ran - kept, 0) / 1000 *
		 core_equivalents(&t->stage->step->need);
	o->wasted_core_s += wasted;
	if (preempted)
		o->preempted_core_s += wasted;
	g->end_sequence++;
	g->slowdown = 0;
}

/*
 * Update the completion of j; when it has ended, count it once as in time,
 * late or lost, with the credit that it earned.  Cancelled jobs and jobs that
 * always fail are not counted.
 */
static void record_outcome(struct simulation *p, struct job *j)
{
	struct sim_job *t = sim_job_of(p, j);
	struct outcome *o = &p->by_kind[t->kind];
	const struct job_kind_spec *s = &p->site->kinds[t->kind];
	uint64_t took = p->now_ms - t->arrived_ms;
	double size_weight, earned = 0;
	uint32_t account = atoi(j->account + 1);

	job_update_completion(j, p->now_ms);
	if (!job_is_final(j) || t->counted)
		return;
	t->counted = true;
	if (j->state == JOB_CANCELLED || t->always_fails)
		return;
	size_weight =
		0.3 +
		0.7 * MIN(t->core_seconds / p->mean_core_seconds[t->kind], 4);
	o->jobs++;
	o->credit_possible += s->in_time_credit * size_weight;
	histogram_add(&o->turnaround, took * 1000);
	if (j->state == JOB_COMPLETED && took <= t->objective_ms) {
		o->in_time++;
		earned = s->in_time_credit * size_weight;
	} else if (j->state == JOB_COMPLETED &&
		   took <= LATE_LIMIT_FACTOR * t->objective_ms) {
		o->late++;
		earned = s->late_credit * size_weight;
	} else {
		o->lost++;
	}
	o->credit_earned += earned;
	p->account_earned[account] += earned;
	p->account_possible[account] += s->in_time_credit * size_weight;
}

/* Tell the estimator how long a run lasted at least. */
static void record_unfinished_run(struct simulation *p, const struct task *t)
{
	if (!t->checkpoint)
		estimator_record_stopped(p->estimator, t->stage->job,
					 t->stage->step_index,
					 p->now_ms - t->placed_ms);
}

/*
 * End the run of e, unless it was rescheduled or is being stopped.  Runs fail
 * at random, and always for jobs that always fail.
 */
static void end_run(struct simulation *p, const struct event *e)
{
	struct task *t = e->task;
	struct sim_job *u = sim_job_of(p, t->stage->job);

	if (task_progress_of(p, t)->end_sequence != e->run ||
	    t->state != TASK_RUNNING)
		return;
	task_progress_of(p, t)->slowdown = 0;
	if (u->always_fails ||
	    random_chance(p, p->site->kinds[u->kind].run_failure_share)) {
		upstream_record_failure(t->at, t->stage->job, p->now_ms);
		record_unfinished_run(p, t);
		task_end_run(t, RUN_FAILED, NULL, p->now_ms);
	} else {
		upstream_record_success(t->at);
		if (!t->checkpoint)
			estimator_record_run(p->estimator, t->stage->job,
					     t->stage->step_index,
					     p->now_ms - t->placed_ms);
		task_end_run(t, RUN_DONE, NULL, p->now_ms);
	}
	record_outcome(p, t->stage->job);
}

/* Remove upstream u and end all its runs. */
static void remove_upstream(struct simulation *p, struct upstream *u)
{
	u->state = UPSTREAM_GONE;
	while (u->tasks->len) {
		struct task *t = g_ptr_array_index(u->tasks, 0);

		abort_run(p, t, false);
		task_end_run(t, RUN_UPSTREAM_GONE, NULL, p->now_ms);
	}
}

/* Report the progress of the runs on u to the scheduler. */
static void report_progress(struct simulation *p, struct upstream *u)
{
	for (guint k = 0; k < u->tasks->len; k++) {
		struct task *t = g_ptr_array_index(u->tasks, k);
		uint32_t percent;
		double done;

		if (t->state != TASK_RUNNING ||
		    !task_progress_of(p, t)->slowdown)
			continue;
		done = MAX(work_done_ms(p, t), 0) /
		       sim_job_of(p, t->stage->job)->work_ms;
		percent = MIN(100 * done, 100);
		task_record_progress(t, percent, p->now_ms);
		progress_record(t, percent, p->now_ms);
	}
	progress_detect_slow(u, p->estimator, p->now_ms);
}

static void apply_event(struct simulation *p, const struct event *e)
{
	switch (e->tag) {
	case EVENT_JOB_ARRIVAL:
		add_random_job(p, e->kind);
		break;
	case EVENT_START_CONFIRMED:
		confirm_start(p, e);
		break;
	case EVENT_RUN_END:
		end_run(p, e);
		break;
	case EVENT_RUN_STOPPED:
		if (e->task->run == e->run && e->task->state == TASK_STOPPING) {
			record_unfinished_run(p, e->task);
			abort_run(p, e->task, e->value > 0);
			task_end_run(e->task, RUN_STOPPED, NULL, p->now_ms);
		}
		break;
	case EVENT_JOB_CANCELLED:
		job_cancel(e->job, p->now_ms);
		record_outcome(p, e->job);
		break;
	case EVENT_PROGRESS_REPORT:
		for (guint i = 0; i < p->fleet->list->len; i++)
			report_progress(p,
					g_ptr_array_index(p->fleet->list, i));
		schedule_event(p, p->now_ms + PROGRESS_INTERVAL_MS, *e);
		break;
	case EVENT_SPEED_CHANGE:
		change_upstream_speed(p, e->upstream, e->value);
		break;
	case EVENT_UPSTREAM_LEAVING:
		e->upstream->state = UPSTREAM_DRAINING;
		e->upstream->leaves_ms = p->now_ms + (uint64_t)e->value;
		break;
	case EVENT_UPSTREAM_GONE:
		remove_upstream(p, e->upstream);
		break;
	}
}

/* Schedule the effect of an action of the scheduler after its delay. */
static void apply_action(struct simulation *p, const struct action *a)
{
	struct event e = {.task = a->task, .run = a->task->run};

	switch (a->tag) {
	case ACTION_START:
		p->starts++;
		e.tag = EVENT_START_CONFIRMED;
		schedule_event(p, p->now_ms + ACTION_DELAY_MS, e);
		break;
	case ACTION_STOP:
		p->stops++;
		e.value = a->u.stop.cause == STOP_PREEMPTED;
		e.tag = EVENT_RUN_STOPPED;
		schedule_event(p,
			       p->now_ms + ACTION_DELAY_MS +
				       g_rand_int_range(p->rand,
							p->site->stop_ms / 4,
							p->site->stop_ms),
			       e);
		break;
	case ACTION_WAIT:
		break;
	}
}

/* Remove ended jobs without active tasks from the scheduler's input. */
static void retire_jobs(struct simulation *p)
{
	for (guint i = p->jobs->len; i-- > 0;) {
		struct job *j = g_ptr_array_index(p->jobs, i);

		if (!job_is_final(j) || job_has_active_tasks(j))
			continue;
		g_ptr_array_remove_index_fast(p->jobs, i);
		g_ptr_array_add(p->ended_jobs, j);
	}
}

/* Add the used and the available accelerators of this pass to the sums. */
static void record_utilization(struct simulation *p)
{
	for (guint i = 0; i < p->fleet->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(p->fleet->list, i);

		if (u->state == UPSTREAM_GONE)
			continue;
		p->used_accelerators += u->used.accelerators;
		p->available_accelerators += u->resources.accelerators;
	}
}

/* Run and time one scheduling pass and apply its actions. */
static void run_pass(struct simulation *p)
{
	struct dispatch_input v = {.jobs = p->jobs,
				   .fleet = p->fleet,
				   .guarantees = p->guarantees,
				   .guarantees_len = p->site->accounts,
				   .now_ms = p->now_ms,
				   .estimator = p->estimator,
				   .checkpoint_ms = CHECKPOINT_INTERVAL_MS,
				   .stop_ms = p->site->stop_ms,
				   .reclaim_ms = p->site->reclaim_ms,
				   .lease_ms = p->site->lease_ms};
	uint64_t began = clock_mono_us(), took;
	GArray *actions = dispatch(&v);

	took = clock_mono_us() - began;
	if (p->now_ms >= p->start_ms + WARM_UP_MS)
		histogram_add(&p->pass_time, took);
	p->passes++;
	record_utilization(p);
	for (guint i = 0; i < actions->len; i++)
		apply_action(p, &g_array_index(actions, struct action, i));
	g_array_unref(actions);
	p->next_pass_ms = p->now_ms + PASS_INTERVAL_MS;
}

/* Return the site with this name, or the first; NULL if there is none. */
static const struct site_spec *find_site(const char *name)
{
	for (guint i = 0; i < G_N_ELEMENTS(sites); i++)
		if (!name || !strcmp(name, sites[i].name))
			return &sites[i];
	return NULL;
}

/* Report whether there is a site with this name. */
bool play_site_is_known(const char *name)
{
	return find_site(name);
}

static void simulation_init(struct simulation *p, const struct play_options *o)
{
	memset(p, 0, sizeof(*p));
	p->options = o;
	p->site = find_site(o->site);
	p->rand = g_rand_new_with_seed(o->seed);
	p->events = g_array_new(FALSE, FALSE, sizeof(struct event));
	p->start_ms = p->now_ms = 1000000;
	p->fleet = fleet_create();
	p->estimator = estimator_create();
	p->jobs = g_ptr_array_new();
	p->ended_jobs = g_ptr_array_new();
	p->sim_jobs = g_hash_table_new_full(NULL, NULL, NULL, sim_job_free);
	p->speeds = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	p->task_count_scale = 1;
	for (uint32_t i = 0; i < o->upstreams; i++) {
		char id[16], rack[16], domain[16];
		double *speed = g_new(double, 1);
		struct upstream *u;

		snprintf(id, sizeof(id), "u%u", i);
		snprintf(rack, sizeof(rack), "r%u",
			 i / p->site->rack_upstreams);
		snprintf(domain, sizeof(domain), "d%u",
			 i / p->site->rack_upstreams * p->site->domains *
				 p->site->rack_upstreams / o->upstreams);
		u = fleet_add_upstream(p->fleet, id);
		upstream_describe(u, "s", domain, "a", rack);
		u->resources = p->site->upstream;
		u->synced = true;
		*speed = i % 3 == 0   ? 1 / p->site->slowest
			 : i % 3 == 1 ? p->site->slowest
				      : 1;
		g_hash_table_insert(p->speeds, u, speed);
	}
	for (uint32_t i = 0; i < p->site->accounts; i++)
		p->guarantees[i] = (struct account_guarantee){
			g_strdup_printf("a%u", i),
			GUARANTEED_SHARE * o->upstreams *
				p->site->upstream.accelerators /
				p->site->accounts};
	schedule_event(p, p->now_ms,
		       (struct event){.tag = EVENT_PROGRESS_REPORT});
}

static void free_job(struct job *j)
{
	for (uint32_t s = 0; s < j->stages_len; s++)
		for (uint32_t t = 0; t < j->stages[s].step->count; t++)
			if (j->stages[s].tasks[t].at)
				fleet_release(&j->stages[s].tasks[t]);
	job_destroy(j);
}

static void simulation_clear(struct simulation *p)
{
	for (guint i = 0; i < p->jobs->len; i++)
		free_job(g_ptr_array_index(p->jobs, i));
	for (guint i = 0; i < p->ended_jobs->len; i++)
		free_job(g_ptr_array_index(p->ended_jobs, i));
	g_ptr_array_free(p->jobs, TRUE);
	g_ptr_array_free(p->ended_jobs, TRUE);
	g_hash_table_destroy(p->sim_jobs);
	g_hash_table_destroy(p->speeds);
	for (uint32_t i = 0; i < p->site->accounts; i++)
		g_free((char *)p->guarantees[i].account);
	estimator_destroy(p->estimator);
	fleet_destroy(p->fleet);
	g_array_unref(p->events);
	g_rand_free(p->rand);
}

/* Simulate until end_ms; add_jobs, unless NULL, runs before each pass. */
static void simulate_until(struct simulation *p, uint64_t end_ms,
			   void (*add_jobs)(struct simulation *p))
{
	while (p->events->len) {
		struct event e = pop_event(p);

		if (e.at_ms > p->next_pass_ms && p->next_pass_ms > p->now_ms)
			p->now_ms = p->next_pass_ms;
		if (p->now_ms >= p->next_pass_ms) {
			retire_jobs(p);
			if (add_jobs)
				add_jobs(p);
			run_pass(p);
		}
		if (e.at_ms >= end_ms)
			break;
		p->now_ms = MAX(p->now_ms, e.at_ms);
		apply_event(p, &e);
	}
}

/* Add jobs up to the number in the options, in the site's proportions. */
static void refill_jobs(struct simulation *p)
{
	double sum = 0, at;
	int k;

	for (k = 0; k < KIND_COUNT; k++)
		sum += p->site->kinds[k].arrivals_per_s;
	while (p->jobs->len < p->options->jobs) {
		at = g_rand_double(p->rand) * sum;
		for (k = 0; k + 1 < KIND_COUNT &&
			    at >= p->site->kinds[k].arrivals_per_s;
		     k++)
			at -= p->site->kinds[k].arrivals_per_s;
		add_random_job(p, k);
	}
}

static double mean_task_count(const struct simulation *p)
{
	double sum = 0, tasks = 0;

	for (int k = 0; k < KIND_COUNT; k++) {
		sum += p->site->kinds[k].arrivals_per_s;
		tasks += p->site->kinds[k].arrivals_per_s *
			 p->site->kinds[k].mean_tasks;
	}
	return tasks / sum;
}

/*
 * Simulate passes over a constant number of jobs and print the time that a
 * pass takes.  Return 0.
 */
int play_measure_pass_cost(const struct play_options *o)
{
	struct simulation p;

	simulation_init(&p, o);
	p.task_count_scale = o->tasks / (o->jobs * mean_task_count(&p));
	simulate_until(&p, p.now_ms + o->seconds * 1000, refill_jobs);
	printf("upstreams=%u jobs=%u tasks=%u passes=%llu p50_us=%llu "
	       "p99_us=%llu max_us=%llu starts=%llu stops=%llu\n",
	       o->upstreams, o->jobs, o->tasks, (unsigned long long)p.passes,
	       (unsigned long long)histogram_quantile_us(&p.pass_time, 0.5),
	       (unsigned long long)histogram_quantile_us(&p.pass_time, 0.99),
	       (unsigned long long)p.pass_time.max_us,
	       (unsigned long long)p.starts, (unsigned long long)p.stops);
	simulation_clear(&p);
	return 0;
}

/* Schedule the job arrivals of a day, with bursts of checks and surveys. */
static void schedule_arrivals(struct simulation *p, uint64_t end_ms)
{
	double scale = p->options->load * p->options->upstreams /
		       p->site->rated_upstreams;

	for (int k = 0; k < KIND_COUNT; k++) {
		double at = p->now_ms;

		while (at < end_ms) {
			double since = (at - p->now_ms) / 1000;
			double rate = p->site->kinds[k].arrivals_per_s * scale;

			if (k == KIND_CHECK && since >= 7 && since < 10.4)
				rate *= 2.1;
			if (k == KIND_SURVEY && since >= 2.5 && since < 6.5)
				rate *= 2.3;
			at += -log(g_rand_double_range(p->rand, 1e-9, 1)) /
			      rate * 1000;
			schedule_event(p, (uint64_t)at,
				       (struct event){.tag = EVENT_JOB_ARRIVAL,
						      .kind = k});
		}
	}
}

/* Schedule slow periods of some upstreams and the departure of others. */
static void schedule_faults(struct simulation *p)
{
	for (guint i = 0; i < p->fleet->list->len; i++) {
		struct event e = {.upstream =
					  g_ptr_array_index(p->fleet->list, i)};

		if (random_chance(p, 0.1)) {
			e.tag = EVENT_SPEED_CHANGE;
			e.value = 6;
			schedule_event(p, p->now_ms + 12300, e);
			e.value = 1.0 / 6;
			schedule_event(p, p->now_ms + 19400, e);
		}
		if (random_chance(p, 0.11)) {
			e.tag = EVENT_UPSTREAM_LEAVING;
			e.value = 1800;
			schedule_event(p, p->now_ms + 9000, e);
			e.tag = EVENT_UPSTREAM_GONE;
			schedule_event(
				p,
				p->now_ms + 9000 + 1800 +
					g_rand_int_range(p->rand, 0, 3000),
				e);
		}
	}
}

static void print_outcome(const struct job_kind_spec *s,
			  const struct outcome *o)
{
	printf("%s: jobs=%u in_time=%u late=%u lost=%u credit=%.3f "
	       "p50_ms=%llu p95_ms=%llu thrown_core_s=%.0f "
	       "preempted_core_s=%.0f\n",
	       s->name, o->jobs, o->in_time, o->late, o->lost,
	       o->credit_possible > 0 ? o->credit_earned / o->credit_possible
				      : 0,
	       (unsigned long long)histogram_quantile_us(&o->turnaround, 0.5) /
		       1000,
	       (unsigned long long)histogram_quantile_us(&o->turnaround, 0.95) /
		       1000,
	       o->wasted_core_s, o->preempted_core_s);
}

/* Return the share of its credit that the account served worst has earned. */
static double worst_account(const struct simulation *p)
{
	double worst = 1;

	for (uint32_t i = 0; i < p->site->accounts; i++)
		if (p->account_possible[i] > 0)
			worst = MIN(worst, p->account_earned[i] /
						   p->account_possible[i]);
	return worst;
}

/*
 * Simulate a day of the large deployment, scaled to the number of upstreams in
 * the options, and print the outcomes by kind of job.  Return 0.
 */
int play_simulate_day(const struct play_options *o)
{
	double credit_earned = 0, credit_possible = 0, wasted_core_s = 0;
	uint32_t jobs = 0, lost = 0;
	struct simulation p;
	uint64_t end;

	simulation_init(&p, o);
	end = p.now_ms + o->seconds * 1000;
	schedule_arrivals(&p, end);
	schedule_faults(&p);
	simulate_until(&p, end + 14000, NULL);
	for (guint i = 0; i < p.jobs->len; i++) {
		struct job *j = g_ptr_array_index(p.jobs, i);

		job_cancel(j, p.now_ms);
		j->state = JOB_FAILED; /* counts as lost */
		record_outcome(&p, j);
	}
	for (int k = 0; k < KIND_COUNT; k++) {
		print_outcome(&p.site->kinds[k], &p.by_kind[k]);
		credit_earned += p.by_kind[k].credit_earned;
		credit_possible += p.by_kind[k].credit_possible;
		wasted_core_s += p.by_kind[k].wasted_core_s;
		jobs += p.by_kind[k].jobs;
		lost += p.by_kind[k].lost;
	}
	printf("all: credit=%.3f possible=%.0f worst_account=%.3f "
	       "unserved=%.3f busy=%.3f thrown_core_s=%.0f "
	       "passes=%llu p50_us=%llu p99_us=%llu starts=%llu stops=%llu\n",
	       credit_possible > 0 ? credit_earned / credit_possible : 0,
	       credit_possible, worst_account(&p), (double)lost / MAX(jobs, 1),
	       p.used_accelerators / MAX(p.available_accelerators, 1),
	       wasted_core_s, (unsigned long long)p.passes,
	       (unsigned long long)histogram_quantile_us(&p.pass_time, 0.5),
	       (unsigned long long)histogram_quantile_us(&p.pass_time, 0.99),
	       (unsigned long long)p.starts, (unsigned long long)p.stops);
	simulation_clear(&p);
	return 0;
}
