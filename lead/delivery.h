/*
 * What an answer to an order to start a run means for the run.  Pure, so
 * that every order of lost, late and repeated answers can be tested.
 */
#ifndef LEAD_DELIVERY_H
#define LEAD_DELIVERY_H

#include "platform/orders.h"
#include "sched/job.h"

enum delivery {
	DELIVERY_NONE,	    /* nothing follows for the run */
	DELIVERY_CONFIRMED, /* it runs */
	DELIVERY_AGAIN,	    /* send the order again */
	DELIVERY_FORBID,    /* it may start yet: have it stopped */
	DELIVERY_SETTLED,   /* it cannot start any more, but may have run */
	DELIVERY_NEVER,	    /* it certainly never starts */
	DELIVERY_FAILED,    /* the upstream cannot run it */
};

enum delivery delivery_next(struct task *t, enum order_outcome outcome,
			    uint64_t now_ms);

#endif
