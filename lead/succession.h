/*
 * Which instance should lead: a strong one, as the leader's work grows
 * with the site.  It is pure; times are of our own monotonic clock.
 */
#ifndef LEAD_SUCCESSION_H
#define LEAD_SUCCESSION_H

#include <stdbool.h>
#include <stdint.h>

/* The strength of an instance that claims without delay, in percent. */
#define STRENGTH_FULL_PERCENT 100

struct succession {
	uint64_t leading_since_ms; /* since when it leads; 0: it does not */
	uint32_t yield_count;	   /* so far */
};

uint32_t succession_strength(double processor_share, double link_mbps);
uint32_t succession_claim_delay_ms(uint32_t strength);
void succession_note_gained(struct succession *s, uint64_t now_ms);
void succession_note_lost(struct succession *s);
bool succession_try_yield(struct succession *s, uint32_t stronger_peers,
			  uint64_t now_ms);

#endif
