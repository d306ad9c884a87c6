/*
 * The time in which a leader may act on upstreams, and a bound on that of all
 * earlier leaders. Does no I/O; times are of the local monotonic clock, which
 * also counts the time in which the process or its machine is paused.
 */
#ifndef LEAD_TENURE_H
#define LEAD_TENURE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A leader may act for this long after it sent its last committed write. A
 * value that is shorter than that of the running version breaks the bound of
 * its successors during an update.
 */
#define TENURE_MS 10000

struct tenure {
	/* The leader may act until then; 0 if there is no tenure. */
	uint64_t ends_ms;
	/* No earlier leader acts after this. */
	uint64_t earlier_end_ms;
};

void tenure_begin(struct tenure *t, uint64_t write_sent_ms,
		  uint64_t earlier_end_ms);
void tenure_extend(struct tenure *t, uint64_t write_sent_ms);
void tenure_end(struct tenure *t);
bool tenure_allows(const struct tenure *t, uint64_t now_ms);
uint64_t tenure_remaining_ms(const struct tenure *t, uint64_t now_ms);
uint64_t tenure_unwritten_ms(const struct tenure *t, uint64_t now_ms);
uint64_t tenure_earlier_remaining_ms(const struct tenure *t, uint64_t now_ms);
uint64_t tenure_leases_end_ms(const struct tenure *t, uint32_t lease_ms);
uint64_t tenure_inherited_end_ms(uint64_t row_seen_ms, uint64_t earlier_ms,
				 bool last_has_ended);

#endif
