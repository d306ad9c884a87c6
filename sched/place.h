/* Placement: where the parts of a job could go. */
#ifndef SCHED_PLACE_H
#define SCHED_PLACE_H

#include "sched/site.h"

enum policy {
	POLICY_BOUND,	     /* guarantees by bound cells, packed */
	POLICY_FIRST_FIT,    /* baseline: first upstreams that fit */
	POLICY_LEAST_LOADED, /* baseline: emptiest upstreams first */
};

enum where {
	WHERE_OWN_FREE,	  /* free accelerators bound to the account */
	WHERE_OWN_EVICT,  /* the same, and those that others borrow */
	WHERE_OWN_URGENT, /* the same, and those of its own other work */
	WHERE_ANY_FREE,	  /* whatever is free and not held */
	WHERE_ANY_USABLE, /* whatever could become free */
	WHERE_EXISTS,	  /* whatever there is */
};

#define SHAPE_AVOID 4

struct shape {
	uint32_t parts;
	uint32_t accelerators; /* a part */
	uint32_t slots;	       /* a part that has no accelerators */
	uint32_t account;
	uint32_t urgent; /* may use its account's headroom at once */
	uint32_t avoid_len;
	uint32_t avoid[SHAPE_AVOID]; /* upstreams that it failed on */
};

struct part {
	uint32_t upstream;
	uint32_t mask;
};

/* Find room for every part of a shape, or none. */
bool place(const struct site *s, const struct shape *want, enum where where,
	   enum policy policy, struct part *out);

#endif
