/* A limit of the rate of an event, by the generic cell rate algorithm. */
#include <glib.h>

#include "lib/ratelimit.h"

#define US_PER_S 1000000

/*
 * Count an event at now_us (monotonic microseconds) if l allows it. Returns
 * false, and counts nothing, if it does not.
 */
bool rate_limit_allow(struct rate_limit *l, uint64_t now_us)
{
	uint64_t interval_us = US_PER_S / l->per_s_max;
	uint64_t recovered_us = MAX(l->recovered_us, now_us) + interval_us;

	if (recovered_us > now_us + l->burst_max * interval_us)
		return false;
	l->recovered_us = recovered_us;
	return true;
}
