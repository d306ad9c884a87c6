/*
 * What an answer to an order to start a run means for the run.  Pure, so
 * that every order of lost, late and repeated answers can be tested.
 */
#ifndef LEAD_DELIVERY_H
#define LEAD_DELIVERY_H

#include "platform/orders.h"
#include "sched/work.h"

enum delivery_action {
	DELIVERY_NONE,	      /* nothing follows for the run */
	DELIVERY_CONFIRMED,   /* it runs */
	DELIVERY_RETRY,	      /* send the order again */
	DELIVERY_STOP,	      /* it may start yet: have it stopped */
	DELIVERY_AWAIT_END,   /* it cannot start any more, but may have run */
	DELIVERY_NOT_STARTED, /* it certainly never starts */
	DELIVERY_FAILED,      /* the upstream cannot run it */
};

enum delivery_action delivery_decide(struct task *t, enum order_outcome outcome,
				     uint64_t now_ms);

#endif
