/* Placement of a stage that waits although its service is mostly free. */
#ifndef SCHED_FALLBACK_H
#define SCHED_FALLBACK_H

#include "sched/pack.h"

bool fallback_choose(struct pack *p, struct stage *st, uint32_t want);

#endif
