/* The value of jobs and the loss by stopping their runs. */
#include <gsl/gsl_cdf.h>
#include <math.h>
#include <string.h>

#include "sched/stoploss.h"
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
/*
 * Share of the time that its objective leaves a stage that it may take on a
 * slow upstream, and the slowdown of a fast one.
 */
#define ROOM_USED 0.85
#define FAST_SLOWDOWN 0.7
/*
 * A job that ends in time with a smaller probability counts as late: plans for
 * it would take the place of plans for jobs that can be saved.
 */
#define IN_TIME_PROBABILITY_MIN 0.05
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
uint64_t value_objective_start_ms(const struct stage *st)
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

/*
 * Return the slowdown up to which an upstream serves st well enough. Urgent
 * work needs the fastest. Other work may take as long as its objective leaves
 * it; if it is late in any case, as long as it has some value.
 */
static double slowdown_allowed(const struct stage *st,
			       const struct stage_value *sv)
{
	double run_ms = MAX(sv->run_ms, 1), room_ms;

	if (st->step->long_running)
		return INFINITY;
	if (st->job->rank <= RANK_URGENT)
		return 0;
	room_ms = run_ms + sv->slack_ms;
	if (room_ms < run_ms * FAST_SLOWDOWN)
		room_ms += (LATE_OBJECTIVE_FACTOR - 1.0) * sv->objective_ms;
	return MAX(room_ms, 0) * ROOM_USED / run_ms;
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
	sv->slack_ms =
		(int64_t)(value_objective_start_ms(st) + sv->objective_ms) -
		(int64_t)(v->now_ms + sv->critical_path_ms);
	sv->value_in_time = job_value(v, j);
	sv->value_late = sv->value_in_time * LATE_VALUE_SHARE;
	sv->upstream_share = upstream_share(v, st);
	sv->slowdown_allowed = slowdown_allowed(st, sv);
	sv->waiting = stage_waiting_count(st);
	sv->gang_stop_loss = -1;
	sv->gang_release_ms = 0;
	return sv;
}

/* Return the objective of the job of st, from value_objective_start_ms. */
uint64_t value_objective_ms(const struct value_context *v, struct stage *st)
{
	return stage_value_of(v, st)->objective_ms;
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
	double need_ms = v->now_ms + v->stop_ms - value_objective_start_ms(st) -
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

	if (sv->run.runs > 0) {
		double p = in_time_probability(v, st);

		return p < IN_TIME_PROBABILITY_MIN ? 0 : gain * p;
	}
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
	uint64_t late_end_ms = value_objective_start_ms(st) +
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
 * Return the time that whole upstreams need for the waiting tasks of st, in
 * milliseconds of one upstream.
 */
double value_waiting_ms(const struct value_context *v, struct stage *st)
{
	const struct stage_value *sv = stage_value_of(v, st);

	return (double)sv->run_ms * sv->upstream_share * sv->waiting;
}

/* Return what is known of the run of t and of its job, but not its end. */
static struct stoploss_run stoploss_facts(const struct value_context *v,
					  const struct task *t)
{
	struct stage *st = t->stage;
	const struct stage_value *sv = stage_value_of(v, st);
	const struct step *step = st->step;

	return (struct stoploss_run){
		.ran_ms = v->now_ms - MIN(t->placed_ms, v->now_ms),
		.expected_ms = sv->run_ms,
		.critical_path_ms = sv->critical_path_ms,
		.objective_ms = sv->objective_ms,
		.slack_ms = sv->slack_ms,
		.wait_ms = v->wait_ms[MIN(st->job->rank, VALUE_RANKS - 1)],
		.stop_ms = v->stop_ms,
		.checkpoint_ms = step->checkpoints ? v->checkpoint_ms : 0,
		.others_wait = !step->gang && sv->waiting,
		.value_in_time = sv->value_in_time,
		.value_late = sv->value_late,
	};
}

/*
 * Return the value of the work that is lost by a stop of t, whose facts are r:
 * its work so far or since the last checkpoint, and the time to stop.
 */
static double work_loss(const struct task *t, const struct stoploss_run *r)
{
	const struct resources *need = &t->stage->step->need;

	return stoploss_work_ms(r) / 1000.0 *
	       (UPSTREAM_SECOND_VALUE * t->stage->value.upstream_share +
		CORE_SECOND_COST * (need->cpu_milli / 1000.0 +
				    need->accelerators * ACCELERATOR_CORES));
}

/*
 * Return the value lost by stopping t, without the rest of its gang: its work,
 * and the value of a job that then ends late. Long-running work has no end.
 */
static double task_loss(const struct value_context *v, const struct task *t)
{
	const struct stage *st = t->stage;
	struct stoploss_run r = stoploss_facts(v, t);
	double loss = work_loss(t, &r);

	if (st->step->long_running)
		return loss;
	r.remaining_ms = value_release_ms(v, t);
	return loss * stoploss_repeat_factor(st->preempted, st->step->count) +
	       stoploss_value(&r) / st->step->count;
}

/* Return the value of the work that is lost by stopping all runs of st. */
double value_work_loss(const struct value_context *v, const struct stage *st)
{
	double sum = 0;

	for (uint32_t i = 0; i < st->step->count; i++)
		if (task_is_active(&st->tasks[i])) {
			struct stoploss_run r =
				stoploss_facts(v, &st->tasks[i]);

			sum += work_loss(&st->tasks[i], &r);
		}
	return sum;
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
