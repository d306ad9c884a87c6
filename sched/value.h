/*
 * What finishing a job is worth, when, and what stopping a run costs.
 * Values are relative: a mean urgent job that ends in time is worth
 * VALUE_URGENT.
 */
#ifndef SCHED_VALUE_H
#define SCHED_VALUE_H

#include "sched/fleet.h"
#include "sched/learn.h"

struct value_view {
	const struct learn *learn;
	struct room machine; /* the mean upstream */
	uint64_t pass;	     /* tells what was worked out in it from older */
	uint64_t now_ms;
	uint32_t stop_ms;
	uint32_t checkpoint_ms;
};

int64_t value_spare_ms(const struct value_view *v, struct stage *st);
double value_gain(const struct value_view *v, struct stage *st);
double value_density(const struct value_view *v, struct stage *st);
uint64_t value_left_ms(const struct value_view *v, const struct task *t);
double value_whole_loss(const struct value_view *v, const struct task *t);

#endif
