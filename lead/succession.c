/*
 * A weak instance claims late, and gives the leadership away when it finds
 * that there are much stronger ones.  Whether these can lead it cannot
 * know: it leads on when none has claimed, and waits longer each time.
 */
#include <glib.h>

#include "lead/succession.h"

/* What an instance of full strength has: a quarter of a core, and a link
 * that carries the lists of a thousand upstreams. */
#define FULL_STRENGTH_CORES 0.25
#define FULL_STRENGTH_LINK_MBPS 100.0
/* An instance without any strength claims so much later: twice the longest
 * time in which a strong one learns that the row has not changed. */
#define CLAIM_DELAY_MAX_MS 4000
/* A leader has read what its predecessor left, and its peers' rows, before
 * it gives the leadership away; doubled each time that was in vain. */
#define YIELD_DELAY_MS 1500
#define YIELD_DOUBLINGS_MAX 6

/* Return the strength in percent of an instance with this share of a core
 * and this link. */
uint32_t succession_strength(double processor_share, double link_mbps)
{
	double s = MIN(processor_share / FULL_STRENGTH_CORES,
		       link_mbps / FULL_STRENGTH_LINK_MBPS);

	return CLAMP(s, 0, 1) * STRENGTH_FULL_PERCENT;
}

/* Return how much later than a strong instance one of this strength claims. */
uint32_t succession_claim_delay_ms(uint32_t strength)
{
	return (STRENGTH_FULL_PERCENT - strength) * CLAIM_DELAY_MAX_MS /
	       STRENGTH_FULL_PERCENT;
}

/* Note that this instance leads. */
void succession_note_gained(struct succession *s, uint64_t now_ms)
{
	s->leading_since_ms = now_ms;
}

/* Note that it does not lead any more. */
void succession_note_lost(struct succession *s)
{
	s->leading_since_ms = 0;
}

/*
 * Report whether to give the leadership away now, as `stronger` instances
 * are known that have twice the strength; it is noted as done.
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
