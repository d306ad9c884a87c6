/*
 * Decides what follows from the answer to a start order. Does no I/O, so
 * that every order of lost, late and repeated answers can be tested.
 */
#ifndef LEAD_DELIVERY_H
#define LEAD_DELIVERY_H

#include "platform/orders.h"
#include "sched/job.h"

enum delivery_action {
	DELIVERY_NONE,	      /* Nothing follows for this run. */
	DELIVERY_CONFIRMED,   /* The upstream has accepted the run. */
	DELIVERY_RETRY,	      /* The order has to be retried. */
	DELIVERY_STOP,	      /* The run may still start: order its stop. */
	DELIVERY_AWAIT_END,   /* The run may have ended, but cannot start. */
	DELIVERY_NOT_STARTED, /* The run has not started and never will. */
	DELIVERY_FAILED,      /* The upstream cannot run the task. */
};

void delivery_note_outcome(struct task *t, enum order_outcome outcome);
bool delivery_may_send_again(const struct task *t, uint64_t now_ms);
enum delivery_action delivery_decide(struct task *t, enum order_outcome outcome,
				     uint64_t now_ms);

#endif
