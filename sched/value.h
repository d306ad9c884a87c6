/*
 * What finishing a job is worth, when, and what stopping a run costs.
 * Values are relative: a mean urgent job that ends in time is worth
 * VALUE_URGENT.
 */
#ifndef SCHED_VALUE_H
#define SCHED_VALUE_H

#include "sched/fleet.h"
#include "sched/estimator.h"

struct value_context {
	const struct estimator *estimator;
	struct resources mean_upstream; /* the mean upstream */
	uint64_t pass; /* tells what was worked out in it from older */
	uint64_t now_ms;
	uint32_t stop_ms;
	uint32_t checkpoint_ms;
};

int64_t value_slack_ms(const struct value_context *v, struct stage *st);
double value_gain(const struct value_context *v, struct stage *st);
double value_per_second(const struct value_context *v, struct stage *st);
uint64_t value_remaining_ms(const struct value_context *v,
			    const struct task *t);
double value_stop_loss(const struct value_context *v, const struct task *t);

#endif
