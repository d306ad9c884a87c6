/*
 * How fast runs go, by what their upstreams list of them, and which
 * upstreams are slow.
 */
#ifndef SCHED_PROGRESS_H
#define SCHED_PROGRESS_H

#include "sched/fleet.h"
#include "sched/estimator.h"

void progress_reset(struct task *t);
void progress_record(struct task *t, uint32_t percent, uint64_t clock_ms);
void progress_detect_slow(struct upstream *u, const struct estimator *l,
			  uint64_t now_ms);

#endif
