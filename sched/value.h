/*
 * The value of completing a job by a time, and the loss by stopping a run.
 * Values are relative: a mean urgent job that ends in time has VALUE_URGENT.
 */
#ifndef SCHED_VALUE_H
#define SCHED_VALUE_H

#include "sched/fleet.h"
#include "sched/estimator.h"

/* Number of ranks whose expected waits are told apart. */
#define VALUE_RANKS 8

struct value_context {
	const struct estimator *estimator;
	struct resources mean_upstream; /* mean resources of an upstream */
	uint64_t pass; /* number of the pass, dates the cached values */
	uint64_t now_ms;
	uint32_t stop_ms;	/* time an upstream takes to stop a run */
	uint32_t checkpoint_ms; /* checkpoint interval */
	/* expected wait of work of each rank, the last for all lower ones */
	uint64_t wait_ms[VALUE_RANKS];
};

uint64_t value_objective_start_ms(const struct stage *st);
uint64_t value_objective_ms(const struct value_context *v, struct stage *st);
int64_t value_slack_ms(const struct value_context *v, struct stage *st);
double value_gain(const struct value_context *v, struct stage *st);
double value_per_second(const struct value_context *v, struct stage *st);
uint64_t value_remaining_ms(const struct value_context *v,
			    const struct task *t);
uint64_t value_release_ms(const struct value_context *v, const struct task *t);
double value_waiting_ms(const struct value_context *v, struct stage *st);
double value_work_loss(const struct value_context *v, const struct stage *st);
double value_stop_loss(const struct value_context *v, const struct task *t);

#endif
