/*
 * How fast runs go, by what their upstreams list of them, and which
 * upstreams are slow.
 */
#ifndef SCHED_PACE_H
#define SCHED_PACE_H

#include "sched/fleet.h"
#include "sched/learn.h"

void pace_begin(struct task *t);
void pace_note(struct task *t, uint32_t percent, uint64_t clock_ms);
void pace_judge(struct upstream *u, const struct learn *l, uint64_t now_ms);

#endif
