/* The incarnations of an upstream, by what it says of itself. */
#include "lead/incarnation.h"

/*
 * Note an entry of the list of upstreams; known_started_wall_ms is the start
 * time of the incarnation that is known, 0 for none.
 */
enum entry_use incarnation_note_entry(struct incarnation *i,
				      const struct upstream_entry *e,
				      uint64_t known_started_wall_ms)
{
	uint64_t started = e->started_wall_ms;

	if (started < i->answered_started_wall_ms)
		return ENTRY_OF_EARLIER_ONE;
	i->newest = *e;
	if (started == i->denied_started_wall_ms)
		return ENTRY_DENIED;
	if (known_started_wall_ms && started > known_started_wall_ms)
		return ENTRY_AWAITS_ANSWER;
	i->described_started_wall_ms = started;
	return ENTRY_DESCRIBES;
}

/*
 * Note that the upstream names this start time, which is not before one that it
 * has named. Returns true if the newest entry is to be applied, which then is of
 * the present incarnation. An answer that was late may have denied it before.
 */
bool incarnation_note_answer(struct incarnation *i, uint64_t started_wall_ms)
{
	i->answered_started_wall_ms = started_wall_ms;
	if (i->denied_started_wall_ms == started_wall_ms)
		i->denied_started_wall_ms = 0;
	if (i->newest.started_wall_ms > started_wall_ms)
		i->denied_started_wall_ms = i->newest.started_wall_ms;
	if (i->described_started_wall_ms > started_wall_ms)
		i->described_started_wall_ms = 0;
	if (i->newest.started_wall_ms != started_wall_ms ||
	    i->described_started_wall_ms == started_wall_ms)
		return false;
	i->described_started_wall_ms = started_wall_ms;
	return true;
}

/* Note that the list of upstreams has no usable entry. */
void incarnation_note_unlisted(struct incarnation *i)
{
	i->described_started_wall_ms = 0;
	i->newest = (struct upstream_entry){.started_wall_ms = 0};
}

/* Report whether the known incarnation is described by an entry of its own. */
bool incarnation_is_described(const struct incarnation *i,
			      uint64_t known_started_wall_ms)
{
	return i->described_started_wall_ms &&
	       i->described_started_wall_ms == known_started_wall_ms;
}

/* Report whether the list has an entry that the upstream has not denied. */
bool incarnation_is_listed(const struct incarnation *i)
{
	uint64_t newest = i->newest.started_wall_ms;

	return i->described_started_wall_ms ||
	       (newest && newest != i->denied_started_wall_ms);
}
