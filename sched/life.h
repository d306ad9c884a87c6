/* Why lives of upstreams end, apart from the tasks that run there. */
#ifndef SCHED_LIFE_H
#define SCHED_LIFE_H

#include "sched/fleet.h"

bool life_has_common_cause(const struct fleet *f, const struct upstream *u,
			   uint64_t at_ms, bool timed);
bool life_speaks_against_host(const struct upstream *u, uint64_t now_ms);
bool life_host_is_doubtful(const struct fleet *f, const struct upstream *u,
			   uint64_t now_ms);
bool life_other_causes_are_likely(const struct fleet *f, const struct job *j,
				  uint64_t now_ms);
GHashTable *life_doubtful_hosts(const struct fleet *f, const struct job *j,
				uint64_t now_ms);

#endif
