/*
 * Estimate of one upstream's clock, and a bound on the end of its leases.
 * Does no I/O; now_ms is the local monotonic clock.
 */
#ifndef LEAD_LEASECLOCK_H
#define LEAD_LEASECLOCK_H

#include <stdbool.h>
#include <stdint.h>

struct lease_clock {
	/* Upstream's clock as last reported, and the local time of that
	 * report, which is 0 if there was none. */
	uint64_t clock_ms;
	uint64_t clock_read_ms;
	/* Local time after which no lease is valid. */
	uint64_t leases_end_ms;
	/* A call has failed since the last answer. */
	bool unanswered;
};

void lease_clock_reset(struct lease_clock *c, uint64_t leases_end_ms);
void lease_clock_extend(struct lease_clock *c, uint64_t end_ms);
void lease_clock_note_answer(struct lease_clock *c, uint64_t clock_ms,
			     uint64_t now_ms);
void lease_clock_note_token_accepted(struct lease_clock *c, uint32_t lease_ms,
				     uint64_t now_ms);
void lease_clock_note_timeout(struct lease_clock *c);
uint64_t lease_clock_request(struct lease_clock *c, uint32_t lease_ms,
			     uint64_t now_ms);
uint64_t lease_clock_latest_end(uint32_t lease_ms, uint64_t now_ms);
bool lease_clock_is_expired(const struct lease_clock *c, uint64_t now_ms);

#endif
