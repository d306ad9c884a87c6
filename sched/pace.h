/*
 * How fast runs go, by what their upstreams list of them: which runs lag
 * behind, and which upstreams are slow.
 */
#ifndef SCHED_PACE_H
#define SCHED_PACE_H

#include "sched/fleet.h"

void pace_begin(struct task *t);
void pace_note(struct task *t, uint32_t percent, uint64_t now_ms);
bool pace_lags(const struct task *t, uint64_t expected_ms);
void pace_judge(struct upstream *u, uint64_t now_ms);

#endif
