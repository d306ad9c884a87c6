/* Why a stage waits on a service that is mostly free. */
#ifndef SCHED_WAIT_H
#define SCHED_WAIT_H

#include "sched/pack.h"

uint64_t wait_since_ms(const struct stage *st);
enum wait_reason wait_explain(struct pack *p, const struct stage *st,
			      uint32_t want);

#endif
