/* A limit of the rate of an event, which allows short bursts. */
#ifndef LIB_RATELIMIT_H
#define LIB_RATELIMIT_H

#include <stdbool.h>
#include <stdint.h>

struct rate_limit {
	uint32_t per_s_max; /* events a second in the long run; at least 1 */
	uint32_t burst_max; /* events at once; at least 1 */
	/* When the limit has recovered from all events that it allowed. */
	uint64_t recovered_us;
};

bool rate_limit_allow(struct rate_limit *l, uint64_t now_us);

#endif
