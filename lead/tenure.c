/*
 * A successor cannot know when a leader that is cut off stops acting. It bounds
 * that by what the leader may do at most: the tenure is counted from the last
 * committed write, and every reader of the owner row sees that write later than
 * it was sent.
 */
#include <glib.h>

#include "lead/leaseclock.h"
#include "lead/tenure.h"

/* Begin a tenure with the claim that was first sent at write_sent_ms. */
void tenure_begin(struct tenure *t, uint64_t write_sent_ms,
		  uint64_t earlier_end_ms)
{
	t->ends_ms = write_sent_ms + TENURE_MS;
	t->earlier_end_ms = earlier_end_ms;
}

/* Extend the tenure by a committed write first sent at write_sent_ms. */
void tenure_extend(struct tenure *t, uint64_t write_sent_ms)
{
	t->ends_ms = write_sent_ms + TENURE_MS;
}

/* End the tenure now. */
void tenure_end(struct tenure *t)
{
	t->ends_ms = 0;
}

/* Report whether the leader may act at now_ms. */
bool tenure_allows(const struct tenure *t, uint64_t now_ms)
{
	return now_ms <= t->ends_ms && t->ends_ms;
}

/* Return for how long after now_ms the leader may act. */
uint64_t tenure_remaining_ms(const struct tenure *t, uint64_t now_ms)
{
	return t->ends_ms > now_ms ? t->ends_ms - now_ms : 0;
}

/*
 * Return how long before now_ms the write was sent from which the tenure is
 * counted; 0 if there is no tenure.
 */
uint64_t tenure_unwritten_ms(const struct tenure *t, uint64_t now_ms)
{
	return t->ends_ms ? now_ms + TENURE_MS - t->ends_ms : 0;
}

/*
 * Return for how long after now_ms an earlier leader may act, which a write
 * sent at now_ms passes on.
 */
uint64_t tenure_earlier_remaining_ms(const struct tenure *t, uint64_t now_ms)
{
	return t->earlier_end_ms > now_ms ? t->earlier_end_ms - now_ms : 0;
}

/*
 * Return when the last lease of lease_ms that an earlier leader requested has
 * ended, even if the upstream's clock runs slow.
 */
uint64_t tenure_leases_end_ms(const struct tenure *t, uint32_t lease_ms)
{
	return lease_clock_latest_end(lease_ms, t->earlier_end_ms);
}

/*
 * Return when all tenures that precede a claim have ended, given when the
 * claimant saw the owner row change last and the remaining time of earlier
 * leaders in that row. last_has_ended tells that the row names nobody or a
 * process that has ended.
 */
uint64_t tenure_inherited_end_ms(uint64_t row_seen_ms, uint64_t earlier_ms,
				 bool last_has_ended)
{
	uint64_t remaining = MIN(earlier_ms, TENURE_MS);

	return row_seen_ms + (last_has_ended ? remaining : TENURE_MS);
}
