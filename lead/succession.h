/*
 * Which instance should lead: a strong one, as the leader's work grows
 * with the site.  It is pure; times are of our own monotonic clock.
 */
#ifndef LEAD_SUCCESSION_H
#define LEAD_SUCCESSION_H

#include <stdbool.h>
#include <stdint.h>

/* The strength of an instance that claims without delay, in percent. */
#define STRENGTH_FULL 100

struct succession {
	uint64_t leads_ms; /* since when it leads; 0: it does not */
	uint32_t yields;   /* so far */
};

uint32_t succession_strength(double processor_share, double link_mbps);
uint32_t succession_handicap_ms(uint32_t strength);
void succession_gained(struct succession *s, uint64_t now_ms);
void succession_lost(struct succession *s);
bool succession_yields(struct succession *s, uint32_t stronger,
		       uint64_t now_ms);

#endif
