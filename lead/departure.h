/*
 * Detects that a draining upstream has certainly left, before its leases
 * end. Does no I/O; times are of the local monotonic clock.
 */
#ifndef LEAD_DEPARTURE_H
#define LEAD_DEPARTURE_H

#include <stdbool.h>
#include <stdint.h>

struct departure {
	/* Time of the last answer of the upstream; 0 if there was none. */
	uint64_t last_answer_ms;
	/* The entry was last written after this time; 0 if it is unknown. */
	uint64_t written_after_ms;
	/*
	 * When the upstream removed its own entry while draining; 0 while it
	 * is listed or when the platform may have removed the entry.
	 */
	uint64_t unlisted_ms;
	/* The platform removes no entry this soon after it was written. */
	uint64_t entry_timeout_ms;
};

void departure_note_answer(struct departure *d, uint64_t now_ms);
void departure_note_listed(struct departure *d);
void departure_note_written(struct departure *d, uint64_t after_ms);
void departure_note_unlisted(struct departure *d, bool draining,
			     uint64_t now_ms);
bool departure_is_certain(const struct departure *d, uint64_t refused_call_ms);

#endif
