/*
 * What an upstream's entries and answers say of its incarnations, in whatever
 * order they come: which one is the present one, and whether its own entry
 * describes it. An entry describes the incarnation that it names and no other:
 * service, failure domain, labels, resources and state are its own. No function
 * does I/O.
 */
#ifndef LEAD_INCARNATION_H
#define LEAD_INCARNATION_H

#include "platform/decode.h"

struct incarnation {
	/* The newest start time that the upstream itself has named; 0: none. */
	uint64_t answered_started_wall_ms;
	/* One that an entry named and the upstream has denied; 0: none. */
	uint64_t denied_started_wall_ms;
	/* That of the entry which was applied last; 0: none is listed. */
	uint64_t described_started_wall_ms;
	/*
	 * The newest entry, which may be of a later incarnation than the known
	 * one and wait for its answer; its start time is 0 if there is none.
	 */
	struct upstream_entry newest;
};

/* What follows from an entry. */
enum entry_use {
	ENTRY_DESCRIBES,      /* it is to be applied */
	ENTRY_AWAITS_ANSWER,  /* it is kept, and the upstream is to be asked */
	ENTRY_OF_EARLIER_ONE, /* it is ignored */
	ENTRY_DENIED,	      /* it is ignored: another program wrote it */
};

enum entry_use incarnation_note_entry(struct incarnation *i,
				      const struct upstream_entry *e,
				      uint64_t known_started_wall_ms);
bool incarnation_note_answer(struct incarnation *i, uint64_t started_wall_ms);
void incarnation_note_unlisted(struct incarnation *i);
bool incarnation_is_described(const struct incarnation *i,
			      uint64_t known_started_wall_ms);
bool incarnation_is_listed(const struct incarnation *i);

#endif
