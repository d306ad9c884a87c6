/*
 * A run's rate is its progress in the last window. Runs of one step take from a
 * third to twice their mean, so an upstream is judged by the mean rate of all
 * its runs relative to their expected durations.
 */
#include "sched/progress.h"

/*
 * Percentages are whole numbers and come with the run lists, so in a shorter
 * window a slow run looks like one without progress.
 */
#define WINDOW_MS 500
/*
 * An upstream is slow if the mean rate of its runs is below this share of the
 * expected rate. The bound for a single run is lower.
 */
#define SLOW_RATE 0.33
#define SLOW_RATE_SINGLE_RUN 0.2
/* Maximum rate, relative to the expected one, that a run contributes. */
#define RATE_MAX 3.0
/* Runs at this progress or above are ignored: they may end at any time. */
#define NEARLY_DONE_PERCENT 95
/*
 * The runs must be slow for SLOW_AFTER_MS before the upstream is treated as
 * slow, and it remains so for SLOW_HOLD_MS afterwards.
 */
#define SLOW_AFTER_MS 1000
#define SLOW_HOLD_MS 2000

/* Reset the rate for a new run of t. */
void progress_reset(struct task *t)
{
	t->run_rate =
		(struct run_rate){.from_checkpoint = t->checkpoint != NULL};
}

/*
 * Record the progress that the upstream lists for t at clock_ms on its own
 * clock. The local time is not used because this process may have read the list
 * late.
 */
void progress_record(struct task *t, uint32_t percent, uint64_t clock_ms)
{
	struct run_rate *r = &t->run_rate;

	if (!r->first_ms || percent < r->first_percent ||
	    clock_ms < r->first_ms) {
		r->first_percent = percent;
		r->first_ms = clock_ms;
	}
	r->last_percent = percent;
	r->last_ms = clock_ms;
	if (!r->window_start_ms || percent < r->window_start_percent ||
	    clock_ms < r->window_start_ms) {
		r->window_start_percent = percent;
		r->window_start_ms = clock_ms;
		return;
	}
	if (clock_ms < r->window_start_ms + WINDOW_MS)
		return;
	r->full_run_ms = (clock_ms - r->window_start_ms) * 100 /
			 MAX(percent - r->window_start_percent, 1);
	r->window_start_percent = percent;
	r->window_start_ms = clock_ms;
}

/*
 * Report whether the rate of t indicates the speed of its upstream. One slow
 * member holds up a whole gang, work far from its data is slower anyway, and a
 * run from a checkpoint jumps to its progress.
 */
static bool is_representative(const struct task *t)
{
	return t->state == TASK_RUNNING && t->run_rate.full_run_ms &&
	       !t->run_rate.from_checkpoint && !t->stage->step->gang &&
	       !*t->stage->step->data_rack && t->percent < NEARLY_DONE_PERCENT;
}

/*
 * Report whether the runs on u are slow. Sets *judged to the number of runs
 * that were judged; with none the result says nothing.
 */
static bool is_slow(const struct upstream *u, const struct estimator *e,
		    uint32_t *judged)
{
	double rate_sum = 0;

	*judged = 0;
	for (guint k = 0; k < u->tasks->len; k++) {
		const struct task *t = g_ptr_array_index(u->tasks, k);
		const struct stage *st = t->stage;
		double expected_ms;

		if (!is_representative(t))
			continue;
		expected_ms =
			estimator_duration_ms(e, st->job, st->step_index) *
			upstream_slowdown(u);
		rate_sum +=
			MIN(expected_ms / t->run_rate.full_run_ms, RATE_MAX);
		++*judged;
	}
	return rate_sum <
	       *judged * (*judged > 1 ? SLOW_RATE : SLOW_RATE_SINGLE_RUN);
}

/*
 * Update from its runs whether u is slow, after its lists were read at now_ms.
 * Nothing changes if no run can be judged.
 */
void progress_detect_slow(struct upstream *u, const struct estimator *e,
			  uint64_t now_ms)
{
	uint32_t judged;
	bool slow = is_slow(u, e, &judged);

	if (!judged)
		return;
	if (!slow) {
		u->slow_since_ms = 0;
		u->slow_until_ms = 0;
		return;
	}
	if (!u->slow_since_ms)
		u->slow_since_ms = now_ms;
	if (now_ms >= u->slow_since_ms + SLOW_AFTER_MS)
		u->slow_until_ms = now_ms + SLOW_HOLD_MS;
}
