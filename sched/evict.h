/* Making room: which runs to stop, or to wait for, for a stage. */
#ifndef SCHED_EVICT_H
#define SCHED_EVICT_H

#include "sched/pack.h"
#include "sched/value.h"

/* The runs that could be given up in one pass. */
struct evict;

/* For whom room is to be made, and at what price. */
struct preempt_request {
	uint32_t rank; /* only work above it is stopped */
	bool due;      /* for a guarantee that leaves no more time */
	uint64_t
		await_within_ms; /* runs that end so soon are waited for; 0: none */
	double max_loss;	 /* nothing is done at a higher loss */
};

/* How room can be made; the places are in the pack's choice. */
struct eviction {
	double loss;	 /* value that is lost by it */
	GPtrArray *stop; /* tasks to stop, without the rest of gangs */
	int rack;	 /* or PACK_ANY_RACK */
};

struct evict *evict_create(struct pack *p, const struct value_context *v);
void evict_destroy(struct evict *e);
bool evict_plan(struct evict *e, const struct preempt_request *c,
		struct stage *st, uint32_t want, struct eviction *out);
void eviction_clear(struct eviction *e);

#endif
