/* Why incarnations of upstreams end, apart from the tasks that run there. */
#ifndef SCHED_ENDING_H
#define SCHED_ENDING_H

#include "sched/fleet.h"

bool ending_has_common_cause(const struct fleet *f, const struct upstream *u,
			     uint64_t at_ms, bool timed);
bool ending_speaks_against_host(const struct upstream *u, uint64_t now_ms);
bool ending_host_is_doubtful(const struct fleet *f, const struct upstream *u,
			     uint64_t now_ms);
bool ending_other_causes_are_likely(const struct fleet *f, const struct job *j,
				    uint64_t now_ms);
GHashTable *ending_doubtful_hosts(const struct fleet *f, const struct job *j,
				  uint64_t now_ms);

#endif
