/*
 * A weak instance delays its claims, and yields the leadership when much
 * stronger peers are known. It cannot know whether these are able to lead:
 * if none has claimed, it leads again and waits longer before the next
 * yield.
 */
#include <glib.h>

#include "lead/succession.h"

/*
 * Resources of an instance of full strength: a quarter of a core, and a
 * link that carries the lists of a thousand upstreams.
 */
#define FULL_STRENGTH_CORES 0.25
#define FULL_STRENGTH_LINK_MBPS 100.0
/*
 * Claim delay at strength 0: twice the maximum time in which a strong
 * instance learns that the row has not changed.
 */
#define CLAIM_DELAY_MAX_MS 4000
/*
 * Minimum time as leader before it yields: it must have read its
 * predecessor's rows and those of its peers. Doubled after each yield.
 */
#define YIELD_DELAY_MS 1500
#define YIELD_DOUBLINGS_MAX 6

/*
 * Return the strength in percent, 0 to 100, for a processor share in cores
 * and a link rate in megabits per second; the scarcer of the two counts.
 */
uint32_t succession_strength(double processor_share, double link_mbps)
{
	double s = MIN(processor_share / FULL_STRENGTH_CORES,
		       link_mbps / FULL_STRENGTH_LINK_MBPS);

	return CLAMP(s, 0, 1) * STRENGTH_FULL_PERCENT;
}

/* Return the claim delay in milliseconds for this strength. */
uint32_t succession_claim_delay_ms(uint32_t strength)
{
	return (STRENGTH_FULL_PERCENT - strength) * CLAIM_DELAY_MAX_MS /
	       STRENGTH_FULL_PERCENT;
}

/* Note that this instance has become leader at now_ms. */
void succession_note_gained(struct succession *s, uint64_t now_ms)
{
	s->leading_since_ms = now_ms;
}

/* Note that this instance no longer leads. */
void succession_note_lost(struct succession *s)
{
	s->leading_since_ms = 0;
}

/*
 * Report whether to yield now, given the number of peers with at least
 * twice the strength; counts the yield if so.
 */
bool succession_try_yield(struct succession *s, uint32_t stronger_peers,
			  uint64_t now_ms)
{
	uint64_t wait = (uint64_t)YIELD_DELAY_MS
			<< MIN(s->yield_count, YIELD_DOUBLINGS_MAX);

	if (!s->leading_since_ms || !stronger_peers ||
	    now_ms < s->leading_since_ms + wait)
		return false;
	s->yield_count++;
	return true;
}
