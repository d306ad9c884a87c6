/*
 * Decides which instance should lead: a strong one, as the leader's load
 * grows with the site. Does no I/O; times are of the local monotonic clock.
 */
#ifndef LEAD_SUCCESSION_H
#define LEAD_SUCCESSION_H

#include <stdbool.h>
#include <stdint.h>

/* Strength of an instance that claims without delay. */
#define STRENGTH_FULL_PERCENT 100

struct succession {
	/* When this instance became leader; 0 while it does not lead. */
	uint64_t leading_since_ms;
	/* Number of yields since the process started. */
	uint32_t yield_count;
};

uint32_t succession_strength(double processor_share, double link_mbps);
uint32_t succession_claim_delay_ms(uint32_t strength);
void succession_note_gained(struct succession *s, uint64_t now_ms);
void succession_note_lost(struct succession *s);
bool succession_try_yield(struct succession *s, uint32_t stronger_peers,
			  uint64_t now_ms);

#endif
