/* The choice between our own way to the store and a peer's. */
#include "peer/storepath.h"

/* So many failures in a row end the direct way: a single one may be a
 * part of the table that is busy, or one lost answer. */
#define RELAY_FAILURES_MIN_COUNT 2

/* A peer's calls are taken over while our own last answer is not older:
 * the feeds are answered about twice a second. */
#define ANSWER_AGE_MAX_MS 1500

/*
 * Note how a direct call has ended.  Returns true when that changes the
 * way that the next call takes.
 */
bool store_path_record(struct store_path *w, bool answered, uint64_t now_ms)
{
	bool was_relayed = store_path_is_relayed(w);

	if (answered) {
		w->failures = 0;
		w->answered_ms = now_ms;
	} else {
		w->failures++;
	}
	return store_path_is_relayed(w) != was_relayed;
}

/* Report whether calls go through a peer. */
bool store_path_is_relayed(const struct store_path *w)
{
	return w->failures >= RELAY_FAILURES_MIN_COUNT;
}

/* Report whether calls of peers can be taken over. */
bool store_path_can_serve(const struct store_path *w, uint64_t now_ms)
{
	return !w->failures && w->answered_ms &&
	       now_ms < w->answered_ms + ANSWER_AGE_MAX_MS;
}
