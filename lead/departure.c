/*
 * An upstream removes its entry as it leaves, and all that ran there has
 * ended then.  The platform also removes an entry after a silence, while
 * the upstream may run on behind a cut.  The two are told apart by the
 * time since the upstream last answered us.
 */
#include "lead/departure.h"

/* Note an answer of the upstream. */
void departure_note_answer(struct departure *d, uint64_t now_ms)
{
	d->last_answer_ms = now_ms;
}

/* Note that the upstream is listed. */
void departure_note_listed(struct departure *d)
{
	d->unlisted_ms = 0;
}

/* Note that its entry, which said whether it drains, was removed. */
void departure_note_unlisted(struct departure *d, bool draining,
			     uint64_t now_ms)
{
	bool removed_by_upstream =
		draining && d->last_answer_ms &&
		now_ms < d->last_answer_ms + d->entry_timeout_ms;

	d->unlisted_ms = removed_by_upstream ? now_ms : 0;
}

/*
 * Report whether the upstream has left, given a call begun at
 * refused_call_ms whose connection its address refused.
 */
bool departure_is_certain(const struct departure *d, uint64_t refused_call_ms)
{
	return d->unlisted_ms && refused_call_ms > d->unlisted_ms &&
	       d->last_answer_ms <= d->unlisted_ms;
}
