/* Preemption: which runs to stop to place a stage. */
#ifndef SCHED_EVICT_H
#define SCHED_EVICT_H

#include "sched/pack.h"
#include "sched/value.h"

/* The runs that may be preempted in one pass. */
struct evict;

/* The limits of a preemption. */
struct preempt_request {
	uint32_t rank;	 /* only runs of a greater rank number are stopped */
	bool due;	 /* made for a guarantee that is due */
	double max_loss; /* maximum value that may be lost */
};

/* A preemption plan; its upstreams are in pack->chosen. */
struct eviction {
	double loss;	  /* value lost by the stops */
	double late_loss; /* and expected by ending late on slow upstreams */
	GPtrArray *stop;  /* tasks to stop, without the rest of gangs */
	int rack;	  /* index of the rack planned on, or PACK_ANY_RACK */
};

struct evict *evict_create(struct pack *p, const struct value_context *v);
void evict_destroy(struct evict *e);
bool evict_plan(struct evict *e, const struct preempt_request *request,
		struct stage *st, uint32_t want, struct eviction *out);
void eviction_clear(struct eviction *e);

#endif
