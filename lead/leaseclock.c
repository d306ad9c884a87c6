/*
 * A lease is asked for as a time on the upstream's clock, so a call that
 * is carried out late grants no more than one carried out at once.
 */
#include "lead/leaseclock.h"

/* A clock of an upstream may be slow by one part in this many. */
#define CLOCK_DRIFT_DIVISOR 50
/* Rounding to milliseconds on both sides, and the way of the answer. */
#define ROUNDING_MARGIN_MS 30

/* Begin with a life of the upstream whose leases end by leases_end_ms. */
void lease_clock_reset(struct lease_clock *c, uint64_t leases_end_ms)
{
	*c = (struct lease_clock){.leases_end_ms = leases_end_ms};
}

/* An answer received at now_ms has shown the upstream's clock. */
void lease_clock_note_answer(struct lease_clock *c, uint64_t clock_ms,
			     uint64_t now_ms)
{
	c->clock_ms = clock_ms;
	c->clock_read_ms = now_ms;
	c->unanswered = false;
}

static uint64_t latest_lease_end(uint32_t lease_ms, uint64_t now_ms)
{
	return now_ms + lease_ms + lease_ms / (CLOCK_DRIFT_DIVISOR - 1) +
	       ROUNDING_MARGIN_MS;
}

/*
 * The upstream obeys our epoch from now on: earlier leaders cannot extend
 * a lease any more, and none that it has granted lasts over lease_ms.
 */
void lease_clock_note_command(struct lease_clock *c, uint32_t lease_ms,
			      uint64_t now_ms)
{
	uint64_t end = latest_lease_end(lease_ms, now_ms);

	if (c->leases_end_ms > end)
		c->leases_end_ms = end;
}

/* A call was not answered: whatever it has granted counts as granted. */
void lease_clock_note_timeout(struct lease_clock *c)
{
	c->unanswered = true;
}

/*
 * Return the time on the upstream's clock up to which to ask for a lease
 * of lease_ms, and count it as granted.  Returns 0, which asks for none,
 * while the clock is unknown and while the upstream does not answer: a
 * lease that is asked for again and again would never be known to end.
 */
uint64_t lease_clock_request(struct lease_clock *c, uint32_t lease_ms,
			     uint64_t now_ms)
{
	uint64_t elapsed = now_ms - c->clock_read_ms;
	uint64_t end = now_ms + lease_ms +
		       lease_ms / (CLOCK_DRIFT_DIVISOR - 1) +
		       ROUNDING_MARGIN_MS;

	if (!c->clock_read_ms || c->unanswered)
		return 0;
	if (end > c->leases_end_ms)
		c->leases_end_ms = end;
	/* the least that the clock can show now */
	return c->clock_ms + elapsed - elapsed / CLOCK_DRIFT_DIVISOR + lease_ms;
}

/* Report whether all leases have certainly ended. */
bool lease_clock_is_expired(const struct lease_clock *c, uint64_t now_ms)
{
	return now_ms > c->leases_end_ms;
}
