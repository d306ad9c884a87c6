/* The value of jobs and the loss by stopping their runs. */
#include <gsl/gsl_cdf.h>
#include <math.h>
#include <string.h>

#include "sched/value.h"

/* Value by priority: urgent jobs, second priority, all others. */
#define VALUE_URGENT 4.0
#define VALUE_SECOND 3.0
#define VALUE_OTHER 1.0
/*
 * Share of the value that is fixed; the rest grows with the job's work relative
 * to the mean of its queue, up to RELATIVE_SIZE_MAX.
 */
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
			      const struct job *j,
			      uint64_t remaining_ms[JOB_STEPS_MAX])
{
	memset(remaining_ms, 0, j->steps_len * sizeof(*remaining_ms));
	for (uint32_t i = j->steps_len; i-- > 0;) {
		const struct step *s = &j->steps[i];

		remaining_ms[i] += estimator_duration_ms(v->estimator, j, i);
		for (uint32_t k = 0; k < s->after_len; k++)
			remaining_ms[s->after[k]] =
				MAX(remaining_ms[s->after[k]], remaining_ms[i]);
	}
}

/* Return the time from which the objective of st counts, in milliseconds. */
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

/* Return the value of j if it meets its objective. */
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
	uint64_t remaining_ms[JOB_STEPS_MAX], longest_ms = 0;
	struct stage_value *sv = &st->value;

	if (sv->pass == v->pass)
		return sv;
	critical_paths_ms(v, j, remaining_ms);
	for (uint32_t i = 0; i < j->steps_len; i++)
		longest_ms = MAX(longest_ms, remaining_ms[i]);
	sv->pass = v->pass;
	sv->run = estimator_duration(v->estimator, j, st->step_index);
	sv->run_ms = sv->run.median_ms;
	sv->work_ms = longest_ms;
	sv->objective_ms = longest_ms * j->slack_factor + j->target_ms;
	sv->critical_path_ms = remaining_ms[st->step_index];
	sv->slack_ms = (int64_t)(objective_start_ms(st) + sv->objective_ms) -
		       (int64_t)(v->now_ms + sv->critical_path_ms);
	sv->value_in_time = job_value(v, j);
	sv->value_late = sv->value_in_time * LATE_VALUE_SHARE;
	sv->upstream_share = upstream_share(v, st);
	sv->gang_stop_loss = -1;
	sv->gang_release_ms = 0;
	return sv;
}

/*
 * Return how long st can wait with its job still meeting its objective, in
 * milliseconds; negative: it will be late.
 */
int64_t value_slack_ms(const struct value_context *v, struct stage *st)
{
	return stage_value_of(v, st)->slack_ms;
}

/*
 * Return the probability that the job of st meets its objective if st starts
 * after a stop. The objective grows with the duration of the job's work, so a
 * job whose work turns out short is the one that is late.
 */
static double in_time_probability(const struct value_context *v,
				  const struct stage *st)
{
	const struct stage_value *sv = &st->value;
	const struct job *j = st->job;
	double spare_factor = j->slack_factor - (double)sv->critical_path_ms /
							MAX(sv->work_ms, 1);
	/* what the work must earn by being long, and earns at its median */
	double need_ms = v->now_ms + v->stop_ms - objective_start_ms(st) -
			 (double)j->target_ms;
	double scale;

	if (need_ms <= 0)
		return spare_factor >= 0;
	if (spare_factor <= 0)
		return 0;
	/* all steps take longer, or shorter, by the same factor */
	scale = need_ms / (spare_factor * MAX(sv->work_ms, 1));
	return gsl_cdf_ugaussian_Q(log(scale) / sv->run.log_sd);
}

/*
 * Return the value gained by starting st now rather than too late; 0 if its job
 * is late in any case.
 */
double value_gain(const struct value_context *v, struct stage *st)
{
	const struct stage_value *sv = stage_value_of(v, st);
	double gain = sv->value_in_time - sv->value_late;

	if (sv->run.runs > 0)
		return gain * in_time_probability(v, st);
	if (sv->slack_ms >= (int64_t)v->stop_ms)
		return gain;
	/* durations are uncertain, so it may still end in time */
	if (sv->slack_ms + (int64_t)sv->run_ms / 4 >= (int64_t)v->stop_ms)
		return gain / 3;
	return 0;
}

/*
 * Return the value that st can still yield per second of a mean upstream; 0 if
 * its job is too late to have any.
 */
double value_per_second(const struct value_context *v, struct stage *st)
{
	const struct stage_value *sv = stage_value_of(v, st);
	uint64_t late_end_ms = objective_start_ms(st) +
			       LATE_OBJECTIVE_FACTOR * sv->objective_ms;
	double seconds = MAX(sv->critical_path_ms, 1) / 1000.0 *
			 sv->upstream_share * st->step->count;

	if (sv->slack_ms >= 0)
		return sv->value_in_time / seconds;
	if (v->now_ms + sv->critical_path_ms <= late_end_ms)
		return sv->value_late / seconds;
	return 0;
}

/*
 * Return the expected remaining run time of t in milliseconds: by its listed
 * progress, or by the learned durations of the runs that lasted as long while
 * there is little progress. A run that is overdue is expected to need as long
 * again as it is overdue if nothing was learned.
 */
uint64_t value_remaining_ms(const struct value_context *v, const struct task *t)
{
	uint64_t ran_ms = v->now_ms - MIN(t->placed_ms, v->now_ms);
	const struct stage_value *sv = stage_value_of(v, t->stage);
	double slowdown = t->at ? upstream_slowdown(t->at) : 1;
	uint64_t run_ms = sv->run_ms * slowdown;
	uint64_t since_listed_ms =
		v->now_ms - MIN(t->percent_listed_ms, v->now_ms);
	uint32_t progressed = t->percent - MIN(t->first_percent, t->percent);
	uint64_t left_ms;

	if (progressed < PROGRESS_MIN_PERCENT && sv->run.runs > 0)
		return duration_remaining_ms(&sv->run, ran_ms / slowdown) *
		       slowdown;
	if (progressed < PROGRESS_MIN_PERCENT)
		return run_ms > ran_ms ? run_ms - ran_ms
				       : MAX(run_ms / 4, ran_ms - run_ms);
	left_ms = (t->percent_listed_ms - t->first_percent_ms) *
		  (100 - t->percent) / progressed;
	return left_ms > since_listed_ms ? left_ms - since_listed_ms
					 : since_listed_ms - left_ms;
}

/*
 * Return the time after which t is expected to free its resources, in
 * milliseconds: the members of a gang end together, with the last one.
 */
uint64_t value_release_ms(const struct value_context *v, const struct task *t)
{
	struct stage *st = t->stage;
	uint64_t longest_ms = 0;

	if (!st->step->gang)
		return value_remaining_ms(v, t);
	if (stage_value_of(v, st)->gang_release_ms)
		return st->value.gang_release_ms;
	for (uint32_t i = 0; i < st->step->count; i++)
		if (task_is_active(&st->tasks[i]))
			longest_ms = MAX(longest_ms,
					 value_remaining_ms(v, &st->tasks[i]));
	st->value.gang_release_ms = MAX(longest_ms, 1);
	return st->value.gang_release_ms;
}

/*
 * Return the value lost by stopping t, without the rest of its gang: the work
 * so far or since the last checkpoint, the time to stop, and the value of a job
 * that then ends late.
 */
static double task_loss(const struct value_context *v, const struct task *t)
{
	const struct stage_value *sv = stage_value_of(v, t->stage);
	const struct resources *need = &t->stage->step->need;
	uint64_t ran_ms = v->now_ms - MIN(t->placed_ms, v->now_ms);
	uint64_t lost_ms = ran_ms;
	double loss;

	if (t->stage->step->checkpoints)
		lost_ms = MIN(lost_ms, v->checkpoint_ms);
	lost_ms += v->stop_ms;
	loss = lost_ms / 1000.0 *
	       (UPSTREAM_SECOND_VALUE * sv->upstream_share +
		CORE_SECOND_COST * (need->cpu_milli / 1000.0 +
				    need->accelerators * ACCELERATOR_CORES));
	/* a job that then ends late loses most of its value */
	if (!t->stage->step->long_running &&
	    sv->slack_ms < (int64_t)v->stop_ms &&
	    sv->slack_ms + (int64_t)ran_ms >= 0)
		loss += (sv->value_in_time - sv->value_late) /
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
