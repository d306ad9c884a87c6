/* Moves of gangs that were found on slow upstreams soon after their start. */
#ifndef SCHED_MOVE_H
#define SCHED_MOVE_H

#include "sched/pack.h"
#include "sched/value.h"

bool move_gains(struct pack *p, const struct value_context *v,
		struct stage *st);

#endif
