/* The value of jobs and the loss by stopping their runs. */
#include <string.h>

#include "sched/value.h"

/* Value by priority: urgent jobs, second priority, all others. */
#define VALUE_URGENT 4.0
#define VALUE_SECOND 3.0
#define VALUE_OTHER 1.0
/* Share of the value that is fixed; the rest grows with the job's work. */
#define VALUE_FIXED_SHARE 0.3
#define RELATIVE_SIZE_MAX 4.0
/*
 * Share of the value that remains between the objective and three times the
 * objective.
 */
#define LATE_VALUE_SHARE 0.25
#define LATE_OBJECTIVE_FACTOR 3
/* Value of one second of a whole upstream to other work. */
#define UPSTREAM_SECOND_VALUE 0.1
/*
 * Cost of a core-second of lost work, an accelerator counting as
 * ACCELERATOR_CORES: each costs the users a thousandth of a quiet job.
 */
#define CORE_SECOND_COST 0.001
#define ACCELERATOR_CORES 8
/* Maximum tasks assumed to fit on one upstream. */
#define TASKS_PER_UPSTREAM_MAX 1000
/* Progress below this many percent is not extrapolated. */
#define PROGRESS_MIN_PERCENT 4

/*
 * Compute for each step of j the expected time from its start to the end of the
 * job. Steps depend on earlier ones only, so one backward scan is enough.
 */
static void critical_paths_ms(const struct value_context *v,
			      const struct job *j, uint64_t rest[JOB_STEPS_MAX])
{
	memset(rest, 0, j->steps_len * sizeof(*rest));
	for (uint32_t i = j->steps_len; i-- > 0;) {
		const struct step *s = &j->steps[i];

		rest[i] += estimator_duration_ms(v->estimator, j, i);
		for (uint32_t k = 0; k < s->after_len; k++)
			rest[s->after[k]] = MAX(rest[s->after[k]], rest[i]);
	}
}

static uint64_t objective_start_ms(const struct stage *st)
{
	/* the objective of an occurrence starts when the stage is ready */
	return st->job->repeat ? st->since_ms : st->job->since_ms;
}

/*
 * Return the share of a mean upstream that a task of st takes. It counts the
 * remainder in which no more such tasks fit, since that is of little use to
 * others.
 */
static double upstream_share(const struct value_context *v,
			     const struct stage *st)
{
	uint32_t fit = resources_fit_count(&v->mean_upstream, &st->step->need);

	return 1.0 / CLAMP(fit, 1, TASKS_PER_UPSTREAM_MAX);
}

static double job_value(const struct value_context *v, const struct job *j)
{
	double base = j->priority == 0	 ? VALUE_URGENT
		      : j->priority == 1 ? VALUE_SECOND
					 : VALUE_OTHER;
	double size = VALUE_FIXED_SHARE +
		      (1 - VALUE_FIXED_SHARE) *
			      estimator_relative_size(v->estimator, j);

	return base * MIN(size, RELATIVE_SIZE_MAX);
}

/* Return the values of st, computed once per pass. */
static const struct stage_value *stage_value_of(const struct value_context *v,
						struct stage *st)
{
	const struct job *j = st->job;
	uint64_t rest[JOB_STEPS_MAX], longest = 0;
	struct stage_value *k = &st->value;

	if (k->pass == v->pass)
		return k;
	critical_paths_ms(v, j, rest);
	for (uint32_t i = 0; i < j->steps_len; i++)
		longest = MAX(longest, rest[i]);
	k->pass = v->pass;
	k->run_ms = estimator_duration_ms(v->estimator, j, st->step_index);
	k->objective_ms = longest * j->slack_factor + j->target_ms;
	k->critical_path_ms = rest[st->step_index];
	k->slack_ms = (int64_t)(objective_start_ms(st) + k->objective_ms) -
		      (int64_t)(v->now_ms + k->critical_path_ms);
	k->value_in_time = job_value(v, j);
	k->value_late = k->value_in_time * LATE_VALUE_SHARE;
	k->upstream_share = upstream_share(v, st);
	k->gang_stop_loss = -1;
	return k;
}

/*
 * Return how long st can wait with its job still meeting its objective, in
 * milliseconds; negative: it will be late.
 */
int64_t value_slack_ms(const struct value_context *v, struct stage *st)
{
	return stage_value_of(v, st)->slack_ms;
}

/* Return the value gained by starting st now rather than too late. */
double value_gain(const struct value_context *v, struct stage *st)
{
	const struct stage_value *k = stage_value_of(v, st);
	double gain = k->value_in_time - k->value_late;

	if (k->slack_ms >= (int64_t)v->stop_ms)
		return gain;
	/* durations are uncertain, so it may still end in time */
	if (k->slack_ms + (int64_t)k->run_ms / 4 >= (int64_t)v->stop_ms)
		return gain / 3;
	return 0;
}

/* Return the value that st can still yield per upstream-second. */
double value_per_second(const struct value_context *v, struct stage *st)
{
	const struct stage_value *k = stage_value_of(v, st);
	uint64_t late = objective_start_ms(st) +
			LATE_OBJECTIVE_FACTOR * k->objective_ms;
	double seconds = MAX(k->critical_path_ms, 1) / 1000.0 *
			 k->upstream_share * st->step->count;

	if (k->slack_ms >= 0)
		return k->value_in_time / seconds;
	if (v->now_ms + k->critical_path_ms <= late)
		return k->value_late / seconds;
	return 0;
}

/* Return the expected remaining run time of t in milliseconds. */
uint64_t value_remaining_ms(const struct value_context *v, const struct task *t)
{
	uint64_t ran = v->now_ms - MIN(t->placed_ms, v->now_ms);
	uint64_t whole = stage_value_of(v, t->stage)->run_ms;
	uint64_t since = v->now_ms - MIN(t->percent_listed_ms, v->now_ms);
	uint32_t made = t->percent - MIN(t->first_percent, t->percent);
	uint64_t left;

	if (made < PROGRESS_MIN_PERCENT)
		return whole > ran ? whole - ran : whole / 4;
	left = (t->percent_listed_ms - t->first_percent_ms) *
	       (100 - t->percent) / made;
	return left > since ? left - since : 0;
}

/* Return the value lost by stopping t, without the rest of its gang. */
static double task_loss(const struct value_context *v, const struct task *t)
{
	const struct stage_value *k = stage_value_of(v, t->stage);
	const struct resources *need = &t->stage->step->need;
	uint64_t ran = v->now_ms - MIN(t->placed_ms, v->now_ms);
	uint64_t ms = ran;
	double loss;

	if (t->stage->step->checkpoints)
		ms = MIN(ms, v->checkpoint_ms);
	ms += v->stop_ms;
	loss = ms / 1000.0 *
	       (UPSTREAM_SECOND_VALUE * k->upstream_share +
		CORE_SECOND_COST * (need->cpu_milli / 1000.0 +
				    need->accelerators * ACCELERATOR_CORES));
	/* a job that then ends late loses most of its value */
	if (!t->stage->step->long_running &&
	    k->slack_ms < (int64_t)v->stop_ms &&
	    k->slack_ms + (int64_t)ran >= 0)
		loss += (k->value_in_time - k->value_late) /
			t->stage->step->count;
	return loss;
}

/* Return the value lost by stopping t and the rest of its gang. */
double value_stop_loss(const struct value_context *v, const struct task *t)
{
	struct stage *st = t->stage;
	double sum = 0;

	if (!st->step->gang)
		return task_loss(v, t);
	if (stage_value_of(v, st)->gang_stop_loss >= 0)
		return st->value.gang_stop_loss;
	for (uint32_t i = 0; i < st->step->count; i++)
		if (task_is_active(&st->tasks[i]))
			sum += task_loss(v, &st->tasks[i]);
	st->value.gang_stop_loss = sum;
	return sum;
}
