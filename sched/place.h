/* Placement: where the parts of a job could go. */
#ifndef SCHED_PLACE_H
#define SCHED_PLACE_H

#include "sched/inventory.h"

enum place_policy {
	PLACE_POLICY_BOUND,	   /* guarantees by bound cells, packed */
	PLACE_POLICY_FIRST_FIT,	   /* baseline: first upstreams that fit */
	PLACE_POLICY_LEAST_LOADED, /* baseline: emptiest upstreams first */
};

enum place_scope {
	PLACE_OWN_FREE,	       /* free accelerators bound to the account */
	PLACE_OWN_RECLAIMABLE, /* the same, and those that others borrow */
	PLACE_OWN_NONURGENT,   /* the same, and those of its own other work */
	PLACE_ANY_FREE,	       /* whatever is free and not held */
	PLACE_ANY_NONURGENT,   /* whatever could become free */
	PLACE_ALL,	       /* whatever there is */
};

#define SHAPE_EXCLUDED_MAX 4

struct shape {
	uint32_t parts;
	uint32_t accelerators; /* a part */
	uint32_t slots;	       /* a part that has no accelerators */
	uint32_t account;
	uint32_t urgent; /* may use its account's headroom at once */
	uint32_t excluded_len;
	uint32_t excluded[SHAPE_EXCLUDED_MAX]; /* upstreams that it failed on */
};

struct part {
	uint32_t upstream;
	uint32_t mask;
};

/* Find room for every part of a shape, or none. */
bool place_parts(const struct inventory *s, const struct shape *shape,
		 enum place_scope scope, enum place_policy policy,
		 struct part *out);

#endif
