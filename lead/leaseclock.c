/*
 * A lease is requested up to a time on the upstream's clock, so a call that
 * is processed late grants no longer lease than a prompt one.
 */
#include "lead/leaseclock.h"

/* An upstream's clock may run slow by at most 1/50. */
#define CLOCK_DRIFT_DIVISOR 50
/*
 * Covers rounding to milliseconds on both sides and the latency of the
 * answer.
 */
#define ROUNDING_MARGIN_MS 30

/*
 * Forget the clock of an earlier incarnation. The current leases end by
 * leases_end_ms on the local clock.
 */
void lease_clock_reset(struct lease_clock *c, uint64_t leases_end_ms)
{
	*c = (struct lease_clock){.leases_end_ms = leases_end_ms};
}

/* Note that another leader may have granted leases up to end_ms. */
void lease_clock_extend(struct lease_clock *c, uint64_t end_ms)
{
	if (c->leases_end_ms < end_ms)
		c->leases_end_ms = end_ms;
}

/* Record the upstream's clock from an answer received at now_ms. */
void lease_clock_note_answer(struct lease_clock *c, uint64_t clock_ms,
			     uint64_t now_ms)
{
	c->clock_ms = clock_ms;
	c->clock_read_ms = now_ms;
	c->unanswered = false;
}

/*
 * Return the local time at which a lease of lease_ms granted now has ended
 * even if the upstream's clock runs slow.
 */
uint64_t lease_clock_latest_end(uint32_t lease_ms, uint64_t now_ms)
{
	return now_ms + lease_ms + lease_ms / (CLOCK_DRIFT_DIVISOR - 1) +
	       ROUNDING_MARGIN_MS;
}

/*
 * Note that the upstream obeys this leader's newest token: calls of earlier
 * leaders, and earlier ones of this leader, can no longer extend a lease. One
 * that was carried out so far may have granted up to lease_ms, whatever it asked
 * for, if it was meant for an earlier incarnation with another clock.
 */
void lease_clock_note_token_accepted(struct lease_clock *c, uint32_t lease_ms,
				     uint64_t now_ms)
{
	c->leases_end_ms = lease_clock_latest_end(lease_ms, now_ms);
}

/* Note that a call had no answer; its lease still counts as granted. */
void lease_clock_note_timeout(struct lease_clock *c)
{
	c->unanswered = true;
}

/*
 * Return the time on the upstream's clock up to which to request a lease of
 * lease_ms, and count it as granted. Returns 0, which requests none, while
 * the clock is unknown or the upstream does not answer: renewing without an
 * answer would move the known end of the leases forever.
 */
uint64_t lease_clock_request(struct lease_clock *c, uint32_t lease_ms,
			     uint64_t now_ms)
{
	uint64_t elapsed = now_ms - c->clock_read_ms;
	uint64_t end = lease_clock_latest_end(lease_ms, now_ms);

	if (!c->clock_read_ms || c->unanswered)
		return 0;
	if (end > c->leases_end_ms)
		c->leases_end_ms = end;
	/* The lease is counted from the lowest value that the upstream's
	 * clock can show now. */
	return c->clock_ms + elapsed - elapsed / CLOCK_DRIFT_DIVISOR + lease_ms;
}

/* Report whether all leases have certainly ended at local time now_ms. */
bool lease_clock_is_expired(const struct lease_clock *c, uint64_t now_ms)
{
	return now_ms > c->leases_end_ms;
}
