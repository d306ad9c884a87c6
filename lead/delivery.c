/* Rules for start orders that are refused or not answered. */
#include "lead/delivery.h"

/*
 * Maximum time for which a start order is retried; it is shorter than the
 * time for which the other members of a gang wait.
 */
#define START_RETRY_TIMEOUT_MS 1200

/*
 * A refusal covers only the order that it answers; an earlier one that was
 * not answered may still be carried out.
 */
static enum delivery_action action_after_refusal(const struct task *t)
{
	return t->uncertain ? DELIVERY_STOP : DELIVERY_NOT_STARTED;
}

/*
 * Report whether the start order of t, which was sent before, may be sent again
 * at now_ms. The process may have been paused since this was last asked.
 */
bool delivery_may_send_again(const struct task *t, uint64_t now_ms)
{
	return t->state == TASK_PLACED &&
	       now_ms < t->placed_ms + START_RETRY_TIMEOUT_MS;
}

/*
 * Retry the order while its run is wanted and START_RETRY_TIMEOUT_MS has
 * not passed; then treat it as refused.
 */
static enum delivery_action retry_until_timeout(const struct task *t,
						uint64_t now_ms)
{
	return delivery_may_send_again(t, now_ms) ? DELIVERY_RETRY
						  : action_after_refusal(t);
}

/*
 * Note in t whether a start order for its newest run was certainly not carried
 * out, or was not answered and may still be.
 */
void delivery_note_outcome(struct task *t, enum order_outcome outcome)
{
	switch (outcome) {
	case ORDER_DONE:
		break;
	case ORDER_UNKNOWN:
		t->uncertain = true;
		break;
	case ORDER_NOT_SENT:
	case ORDER_LEASE_EXPIRED:
	case ORDER_OLD_RUN:
	case ORDER_NO_CAPACITY:
	case ORDER_UNAVAILABLE:
	case ORDER_NO_TICKET:
	case ORDER_INVALID:
	case ORDER_STALE_EPOCH:
	case ORDER_REPLACED:
		t->refused = true;
		break;
	}
}

/*
 * Decide what follows from the outcome of a start order for the newest run
 * of t, and note the outcome in t.
 */
enum delivery_action delivery_decide(struct task *t, enum order_outcome outcome,
				     uint64_t now_ms)
{
	delivery_note_outcome(t, outcome);
	switch (outcome) {
	case ORDER_DONE:
		return DELIVERY_CONFIRMED;
	case ORDER_UNKNOWN:
	case ORDER_NOT_SENT:
	case ORDER_LEASE_EXPIRED:
		return retry_until_timeout(t, now_ms);
	case ORDER_OLD_RUN:
		/* The run can no longer start, but an unanswered order may
		 * have been carried out and the run may have ended since. */
		return t->uncertain ? DELIVERY_AWAIT_END : DELIVERY_NOT_STARTED;
	case ORDER_NO_CAPACITY:
	case ORDER_UNAVAILABLE:
	case ORDER_NO_TICKET:
		return action_after_refusal(t);
	case ORDER_INVALID:
		return t->uncertain ? DELIVERY_STOP : DELIVERY_FAILED;
	case ORDER_STALE_EPOCH:
	case ORDER_REPLACED:
		return DELIVERY_NONE;
	}
	return DELIVERY_NONE;
}
