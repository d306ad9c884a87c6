/*
 * The clock of one upstream, and until when leases on it can last.  It
 * is pure: `now_ms` is our own monotonic clock.
 */
#ifndef LEAD_LEASECLOCK_H
#define LEAD_LEASECLOCK_H

#include <stdbool.h>
#include <stdint.h>

struct lease_clock {
	uint64_t clock_ms;	/* the upstream's clock ... */
	uint64_t clock_read_ms; /* ... in an answer received then; 0: none */
	uint64_t leases_end_ms; /* no lease lasts beyond it, on our clock */
	bool unanswered;	/* the last call that asked was not answered */
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
