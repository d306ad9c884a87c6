/*
 * An urgent gang that began on upstreams of unknown speed may show within its
 * first second that a member is on a slow one. It is stopped and started again
 * if it would end late where it is, in time elsewhere, and if that gains more
 * value than the lost work is worth.
 */
#include "sched/fastest.h"
#include "sched/move.h"

/* Progress from which the rate of a member is trusted, in percent. */
#define PROGRESS_MIN_PERCENT 6
/* From a decision to start until the run begins. */
#define START_MS 100
/* An end by moving must be before the objective by this share of it. */
#define IN_TIME_MARGIN 0.05

/* What is expected of a running gang, in milliseconds. */
struct forecast {
	uint64_t stay_ms; /* until its last member ends where it is */
	double run_ms;	  /* the longest member on a mean upstream */
};

/* Forecast st from the rates of its members; false if one is not known. */
static bool forecast_stage(const struct value_context *v,
			   const struct stage *st, struct forecast *f)
{
	*f = (struct forecast){0};
	for (uint32_t i = 0; i < st->step->count; i++) {
		const struct task *t = &st->tasks[i];
		const struct run_rate *r = &t->run_rate;
		uint32_t percent = r->last_percent - r->first_percent;
		double full_ms;

		if (t->state != TASK_RUNNING || t->inherited ||
		    t->placed_by_earlier || r->from_checkpoint ||
		    !r->first_ms || percent < PROGRESS_MIN_PERCENT)
			return false;
		full_ms = (double)(r->last_ms - r->first_ms) * 100 / percent;
		f->run_ms = MAX(f->run_ms, full_ms / upstream_slowdown(t->at));
		f->stay_ms = MAX(f->stay_ms, value_remaining_ms(v, t));
	}
	return true;
}

/* Return the slowdown of the slowest chosen upstream. */
static double chosen_slowdown(const struct pack *p)
{
	double slowest = 0;

	for (uint32_t k = 0; k < p->chosen_len; k++) {
		const struct upstream *u = p->upstreams[p->chosen[k].index];

		slowest = MAX(slowest, u->slowdown);
	}
	return slowest;
}

/*
 * Report whether the running gang st, which is urgent, is to be stopped to
 * start again on upstreams that are free now and known to be faster. These are
 * in p->chosen then. A gang is moved once at most.
 */
bool move_gains(struct pack *p, const struct value_context *v, struct stage *st)
{
	struct forecast f;
	double objective_ms, past_ms, after_ms, stay_ms, move_ms;

	if (!p->speeds_used || st->moved || !st->step->gang ||
	    st->step->long_running || st->job->rank > RANK_URGENT ||
	    !forecast_stage(v, st, &f))
		return false;
	/* the objective counts what its tasks really need */
	objective_ms = value_objective_ms(v, st) +
		       (f.run_ms - st->value.run_ms) * st->job->slack_factor;
	past_ms = (double)v->now_ms - value_objective_start_ms(st);
	after_ms = (double)st->value.critical_path_ms - st->value.run_ms;
	stay_ms = past_ms + f.stay_ms + after_ms;
	if (stay_ms < objective_ms ||
	    st->value.value_in_time - st->value.value_late <=
		    value_work_loss(v, st))
		return false;
	if (!pack_choose_all(p, st, st->step->count, PACK_FREE))
		return false;
	move_ms = past_ms + v->stop_ms + START_MS +
		  f.run_ms * chosen_slowdown(p) + after_ms;
	return move_ms < objective_ms * (1 - IN_TIME_MARGIN);
}
