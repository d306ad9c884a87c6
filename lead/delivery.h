/*
 * Decides what follows from the answer to a start order. Does no I/O, so
 * that every order of lost, late and repeated answers can be tested.
 */
#ifndef LEAD_DELIVERY_H
#define LEAD_DELIVERY_H

#include "platform/orders.h"
#include "sched/job.h"

enum delivery_action {
	DELIVERY_NONE,	      /* no action */
	DELIVERY_CONFIRMED,   /* the run is confirmed */
	DELIVERY_RETRY,	      /* retry the order */
	DELIVERY_STOP,	      /* it may still start: have it stopped */
	DELIVERY_AWAIT_END,   /* it cannot start any more, but may have run */
	DELIVERY_NOT_STARTED, /* it has certainly not started and never will */
	DELIVERY_FAILED,      /* the upstream cannot run it */
};

enum delivery_action delivery_decide(struct task *t, enum order_outcome outcome,
				     uint64_t now_ms);

#endif
