/* The choice between the direct path to the store and a relayed one. */
#include "peer/storepath.h"

/*
 * Calls are relayed after this many failures in a row: a single failure may be
 * a busy part of the table or one lost answer.
 */
#define RELAY_FAILURES_MIN_COUNT 2

/*
 * Maximum age of the last direct answer while calls of peers are served; the
 * feeds are answered about twice a second.
 */
#define ANSWER_AGE_MAX_MS 1500

/*
 * Record whether a direct call was answered. Returns true if that changes the
 * path of the next call.
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

/* Report whether calls of peers can be served. */
bool store_path_can_serve(const struct store_path *w, uint64_t now_ms)
{
	return !w->failures && w->answered_ms &&
	       now_ms < w->answered_ms + ANSWER_AGE_MAX_MS;
}
