/*
 * Detects that a draining upstream has certainly left, before its leases
 * end. Does no I/O; times are of the local monotonic clock.
 */
#ifndef LEAD_DEPARTURE_H
#define LEAD_DEPARTURE_H

#include <stdbool.h>
#include <stdint.h>

struct departure {
	uint64_t last_answer_ms; /* last answer of the upstream */
	uint64_t
		unlisted_ms; /* when its draining entry was removed; 0: it was not */
	uint64_t
		entry_timeout_ms; /* minimum silence before an entry is removed */
};

void departure_note_answer(struct departure *d, uint64_t now_ms);
void departure_note_listed(struct departure *d);
void departure_note_unlisted(struct departure *d, bool draining,
			     uint64_t now_ms);
bool departure_is_certain(const struct departure *d, uint64_t refused_call_ms);

#endif
