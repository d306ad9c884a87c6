/*
 * An upstream removes its entry when it leaves, after all its runs have
 * ended. The platform also removes an entry that has not been written for
 * some time, while the upstream may still run behind a network partition. The
 * time since the last write distinguishes the two cases. That of the last
 * answer does not: an upstream that the store cannot hear may answer the leader.
 */
#include "lead/departure.h"

/* Note that the upstream answered a call at now_ms. */
void departure_note_answer(struct departure *d, uint64_t now_ms)
{
	d->last_answer_ms = now_ms;
}

/* Note that the upstream is listed, so that it has not left. */
void departure_note_listed(struct departure *d)
{
	d->unlisted_ms = 0;
}

/* Note that the entry was last written after this time; 0: unknown. */
void departure_note_written(struct departure *d, uint64_t after_ms)
{
	d->written_after_ms = after_ms;
}

/*
 * Note that the upstream's entry was removed before now_ms; draining tells
 * whether the entry last said that the upstream drains.
 */
void departure_note_unlisted(struct departure *d, bool draining,
			     uint64_t now_ms)
{
	bool removed_by_upstream =
		draining && d->written_after_ms &&
		now_ms < d->written_after_ms + d->entry_timeout_ms;

	d->unlisted_ms = removed_by_upstream ? now_ms : 0;
}

/*
 * Report whether the upstream has left, given that its address refused the
 * connection of a call sent at refused_call_ms. A call sent before the
 * removal proves nothing, and an answer after the removal shows that the
 * upstream still runs.
 */
bool departure_is_certain(const struct departure *d, uint64_t refused_call_ms)
{
	return d->unlisted_ms && refused_call_ms > d->unlisted_ms &&
	       d->last_answer_ms <= d->unlisted_ms;
}
