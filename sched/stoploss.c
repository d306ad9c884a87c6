/* What stopping a run costs its client. */
#include <glib.h>

#include "sched/stoploss.h"

/*
 * Time to restore a checkpoint. Platforms state 250 to 600 ms and do not give
 * it to the scheduler, so the higher one is assumed.
 */
#define RESTORE_MS 600
/*
 * A job whose slack is this share of its remaining path or more is in time for
 * certain, and late for certain if the slack is as far below 0: submitted
 * durations are off by 20 to 90 percent.
 */
#define UNCERTAIN_SHARE 0.5
/* A late job has value up to this multiple of its objective. */
#define LATE_OBJECTIVE_FACTOR 3
/*
 * Each earlier stop of a task makes the work lost by the next one dearer by
 * this share, up to REPEAT_FACTOR_MAX: a client whose job is stopped again and
 * again gets nothing, while one that is stopped once only waits longer.
 */
#define REPEAT_SHARE 0.5
#define REPEAT_FACTOR_MAX 3.0

/*
 * Return the work that a stop discards, in milliseconds. Checkpoints are taken
 * at multiples of their interval from the start of the run, which goes on until
 * the stop takes effect, up to stop_ms later.
 */
uint64_t stoploss_work_ms(const struct stoploss_run *r)
{
	uint64_t cp = r->checkpoint_ms, early, late;

	if (!cp || r->ran_ms + r->stop_ms < cp)
		return r->ran_ms + r->stop_ms;
	if (r->stop_ms >= cp)
		return cp / 2 + RESTORE_MS;
	early = (r->ran_ms + r->stop_ms / 2) % cp;
	late = (r->ran_ms + r->stop_ms) % cp;
	return (early + late) / 2 + RESTORE_MS;
}

/* Return the probability that a path with this slack exceeds it. */
static double late_probability(int64_t slack_ms, uint64_t path_ms)
{
	double range_ms = MAX(UNCERTAIN_SHARE * path_ms, 1);

	return CLAMP(0.5 - slack_ms / (2 * range_ms), 0, 1);
}

/* Return the value to expect of the job with this slack over path_ms. */
static double expected_value(const struct stoploss_run *r, int64_t slack_ms,
			     uint64_t path_ms)
{
	int64_t late_slack_ms =
		slack_ms + (LATE_OBJECTIVE_FACTOR - 1) * r->objective_ms;

	return r->value_in_time -
	       (r->value_in_time - r->value_late) *
		       late_probability(slack_ms, path_ms) -
	       r->value_late * late_probability(late_slack_ms, path_ms);
}

/*
 * Return the value that the job of r loses because it ends later. A job whose
 * other tasks wait as well ends no sooner than they do.
 */
double stoploss_value(const struct stoploss_run *r)
{
	uint64_t done_ms =
		r->expected_ms - MIN(r->remaining_ms, r->expected_ms);
	uint64_t lost_ms = stoploss_work_ms(r);
	uint64_t kept_ms =
		r->checkpoint_ms ? done_ms - MIN(lost_ms, done_ms) : 0;
	int64_t again_ms = r->slack_ms - (int64_t)(r->wait_ms + r->stop_ms) +
			   (int64_t)kept_ms;
	int64_t unstopped_ms = r->slack_ms + (int64_t)r->expected_ms -
			       (int64_t)r->remaining_ms;
	uint64_t after_ms =
		r->critical_path_ms - MIN(r->expected_ms, r->critical_path_ms);
	uint64_t path_ms = r->remaining_ms + after_ms;
	double loss;

	if (r->others_wait) {
		unstopped_ms =
			MIN(unstopped_ms, r->slack_ms - (int64_t)r->wait_ms);
		path_ms = MAX(path_ms, r->critical_path_ms);
	}
	loss = expected_value(r, unstopped_ms, path_ms) -
	       expected_value(r, again_ms,
			      r->critical_path_ms -
				      MIN(kept_ms, r->critical_path_ms));
	return MAX(loss, 0);
}

/*
 * Return how many times dearer the work lost by a stop is after this many stops
 * of runs of a stage with this many tasks.
 */
double stoploss_repeat_factor(uint32_t stops, uint32_t tasks)
{
	return MIN(1 + REPEAT_SHARE * stops / MAX(tasks, 1), REPEAT_FACTOR_MAX);
}
