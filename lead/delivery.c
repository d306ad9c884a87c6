/* The rules for starts that are refused, or not answered. */
#include "lead/delivery.h"

/* An order to start is sent again for this long, within the time that
 * the other members of a gang wait. */
#define START_PATIENCE_MS 1200

/* A refusal speaks of this order only; an earlier one that was not
 * answered may still be carried out. */
static enum delivery refused(const struct task *t)
{
	return t->uncertain ? DELIVERY_FORBID : DELIVERY_NEVER;
}

static enum delivery again(const struct task *t, uint64_t now_ms)
{
	if (t->state == TASK_PLACED &&
	    now_ms < t->placed_ms + START_PATIENCE_MS)
		return DELIVERY_AGAIN;
	return refused(t);
}

/*
 * Decide what follows for the newest run of t after the outcome of an
 * order to start it; notes in t whether an order may be carried out yet.
 */
enum delivery delivery_next(struct task *t, enum order_outcome outcome,
			    uint64_t now_ms)
{
	switch (outcome) {
	case ORDER_DONE:
		return DELIVERY_CONFIRMED;
	case ORDER_UNKNOWN:
		t->uncertain = true;
		return again(t, now_ms);
	case ORDER_NOT_SENT:
	case ORDER_LEASE_EXPIRED:
		return again(t, now_ms);
	case ORDER_OLD_RUN:
		/* refused for good; an earlier order may have been carried
		 * out, and the run have ended since */
		return t->uncertain ? DELIVERY_SETTLED : DELIVERY_NEVER;
	case ORDER_NO_CAPACITY:
	case ORDER_UNAVAILABLE:
	case ORDER_NO_TICKET:
		return refused(t);
	case ORDER_INVALID:
		return t->uncertain ? DELIVERY_FORBID : DELIVERY_FAILED;
	case ORDER_STALE_EPOCH:
	case ORDER_REPLACED:
		return DELIVERY_NONE;
	}
	return DELIVERY_NONE;
}
