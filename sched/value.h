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
	uint64_t now_ms;
	uint32_t stop_ms;
	uint32_t checkpoint_ms;
};

uint64_t value_objective_ms(const struct value_view *v, const struct job *j);
uint64_t value_stage_ms(const struct value_view *v, const struct stage *st);
uint64_t value_rest_ms(const struct value_view *v, const struct stage *st);
int64_t value_spare_ms(const struct value_view *v, const struct stage *st);
double value_of(const struct value_view *v, const struct job *j, bool late);
double value_gain(const struct value_view *v, const struct stage *st);
double value_density(const struct value_view *v, const struct stage *st);
uint64_t value_left_ms(const struct value_view *v, const struct task *t);
double value_loss(const struct value_view *v, const struct task *t);

#endif
