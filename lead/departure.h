/*
 * Whether an upstream that was to leave has certainly left, before its
 * leases end.  It is pure; times are of our own monotonic clock.
 */
#ifndef LEAD_DEPARTURE_H
#define LEAD_DEPARTURE_H

#include <stdbool.h>
#include <stdint.h>

struct departure {
	uint64_t last_answer_ms; /* when the upstream answered last */
	uint64_t
		unlisted_ms; /* its draining entry was removed; 0: it is there */
	uint64_t entry_timeout_ms; /* the least silence that removes an entry */
};

void departure_note_answer(struct departure *d, uint64_t now_ms);
void departure_note_listed(struct departure *d);
void departure_note_unlisted(struct departure *d, bool draining,
			     uint64_t now_ms);
bool departure_is_certain(const struct departure *d, uint64_t refused_call_ms);

#endif
