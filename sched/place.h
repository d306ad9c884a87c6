/* Placement: choosing upstreams and accelerators for a job's parts. */
#ifndef SCHED_PLACE_H
#define SCHED_PLACE_H

#include "sched/inventory.h"

enum place_policy {
	PLACE_POLICY_BOUND, /* guarantees by bound cells, best fit */

	/* baselines for comparison, without guarantees */
	PLACE_POLICY_FIRST_FIT,
	PLACE_POLICY_LEAST_LOADED,
};

/*
 * The accelerators that a placement may choose.  All scopes but PLACE_ALL
 * leave out held accelerators, unusable upstreams and those that the
 * shape excludes.  "Own" accelerators are bound to the job's account.
 */
enum place_scope {
	PLACE_OWN_FREE,	       /* own and free, headroom only if urgent */
	PLACE_OWN_RECLAIMABLE, /* own, free or borrowed */
	PLACE_OWN_NONURGENT,   /* own, free or in use by non-urgent work */
	PLACE_ANY_FREE,	       /* free and not headroom */
	PLACE_ANY_NONURGENT,   /* free or in use by non-urgent work */
	PLACE_ALL,	       /* every accelerator of the domain */
};

#define SHAPE_EXCLUDED_MAX 4 /* upstreams */

struct shape {
	uint32_t parts;
	uint32_t accelerators; /* per part */
	uint32_t slots;	       /* per part; 0 if it has accelerators */
	uint32_t account;
	uint32_t urgent; /* may start on its account's headroom */
	uint32_t excluded_len;
	uint32_t excluded[SHAPE_EXCLUDED_MAX]; /* upstreams that it failed on */
};

struct part {
	uint32_t upstream;
	uint32_t mask; /* of the upstream's accelerators */
};

bool place_parts(const struct inventory *inv, const struct shape *shape,
		 enum place_scope scope, enum place_policy policy,
		 struct part *out);

#endif
