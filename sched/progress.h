/*
 * Progress rates of runs, and detection of slow upstreams.
 */
#ifndef SCHED_PROGRESS_H
#define SCHED_PROGRESS_H

#include "sched/fleet.h"
#include "sched/estimator.h"

void progress_reset(struct task *t);
void progress_record(struct task *t, uint32_t percent, uint64_t clock_ms);
void progress_detect_slow(struct upstream *u, const struct estimator *e,
			  uint64_t now_ms);

#endif
