/*
 * Estimate of one upstream's clock, and a bound on the end of its leases.
 * Does no I/O; now_ms is the local monotonic clock.
 */
#ifndef LEAD_LEASECLOCK_H
#define LEAD_LEASECLOCK_H

#include <stdbool.h>
#include <stdint.h>

struct lease_clock {
	uint64_t clock_ms;	/* upstream's clock as last reported */
	uint64_t clock_read_ms; /* local time of that report; 0: none */
	uint64_t leases_end_ms; /* local time after which no lease is valid */
	bool unanswered; /* the last call with a lease request timed out */
};

void lease_clock_reset(struct lease_clock *c, uint64_t leases_end_ms);
void lease_clock_note_answer(struct lease_clock *c, uint64_t clock_ms,
			     uint64_t now_ms);
void lease_clock_note_command(struct lease_clock *c, uint32_t lease_ms,
			      uint64_t now_ms);
void lease_clock_note_timeout(struct lease_clock *c);
uint64_t lease_clock_request(struct lease_clock *c, uint32_t lease_ms,
			     uint64_t now_ms);
bool lease_clock_is_expired(const struct lease_clock *c, uint64_t now_ms);

#endif
