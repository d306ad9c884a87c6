/*
 * The inventory of one failure domain: its racks and upstreams, and for
 * each accelerator the account that it is bound to and its current use.
 * An accelerator is one bit in the masks of its upstream.
 */
#ifndef SCHED_INVENTORY_H
#define SCHED_INVENTORY_H

#include <stdbool.h>
#include <stdint.h>

#define INVENTORY_NAME_BYTES 64
#define UPSTREAM_ACCELERATORS_MAX 32
#define INVENTORY_NO_ACCOUNT UINT32_MAX

enum usage {
	USAGE_URGENT,	  /* never evicted */
	USAGE_GUARANTEED, /* evicted for urgent jobs of the same account */
	USAGE_BORROWED,	  /* evicted for jobs of the account it borrows from */
	USAGE_QUIET, /* borrowed, and evicted for any claim of other work */
};

struct binding {
	uint32_t account;
	uint32_t mask;
};

struct upstream {
	char name[INVENTORY_NAME_BYTES];
	uint32_t rack;

	/* masks of accelerators */
	uint32_t all;
	uint32_t used;	     /* in use by any job */
	uint32_t guaranteed; /* in use as USAGE_GUARANTEED */
	uint32_t borrowed;   /* in use as USAGE_BORROWED or USAGE_QUIET */
	uint32_t quiet;	     /* in use as USAGE_QUIET */
	uint32_t ganged;     /* in use by jobs with more than one part */
	uint32_t held;	     /* kept for a claiming job */
	uint32_t headroom;   /* kept free for urgent work of the account */

	uint32_t slots; /* for work without accelerators */
	uint32_t slots_used;
	uint32_t slots_quick; /* reserved for quick checks */
	bool usable;	      /* may be given new work */
	uint32_t bindings_len;
	struct binding *bindings;
};

struct inventory;

struct inventory *inventory_create(void);
void inventory_destroy(struct inventory *inv);
uint32_t inventory_add_upstream(struct inventory *inv, const char *name,
				const char *rack, uint32_t accelerators,
				uint32_t slots, uint32_t slots_quick);
bool inventory_find_upstream(const struct inventory *inv, const char *name,
			     uint32_t *u);
uint32_t inventory_upstream_count(const struct inventory *inv);
uint32_t inventory_rack_count(const struct inventory *inv);
const char *inventory_rack_name(const struct inventory *inv, uint32_t rack);
const struct upstream *inventory_upstream(const struct inventory *inv,
					  uint32_t u);
void inventory_set_usable(struct inventory *inv, uint32_t u, bool usable);
void inventory_bind(struct inventory *inv, uint32_t u, uint32_t account,
		    uint32_t mask);
void inventory_unbind_all(struct inventory *inv);
void inventory_unbind_upstream(struct inventory *inv, uint32_t u);
void inventory_allocate(struct inventory *inv, uint32_t u, uint32_t mask,
			uint32_t slots, enum usage usage, bool gang);
void inventory_release(struct inventory *inv, uint32_t u, uint32_t mask,
		       uint32_t slots, enum usage usage);
void inventory_set_held(struct inventory *inv, uint32_t u, uint32_t mask,
			bool on);
void inventory_set_headroom(struct inventory *inv, uint32_t u, uint32_t mask);

uint32_t upstream_bound_mask(const struct upstream *u, uint32_t account);
uint32_t upstream_other_bound_mask(const struct upstream *u, uint32_t account);
uint32_t upstream_free_slots(const struct upstream *u);
uint32_t cell_pick(uint32_t avail, uint32_t n);
uint32_t cell_pick_cheapest(const struct upstream *u, uint32_t avail,
			    uint32_t n);
uint32_t eviction_cost(const struct upstream *u, uint32_t mask);
uint32_t cell_capacity(uint32_t avail, uint32_t n);

struct fragmentation {
	uint32_t accelerators;
	uint32_t used;
	uint32_t free;
	uint32_t free_whole;	    /* on upstreams that are entirely free */
	uint32_t largest_whole_run; /* maximum of free_whole in one rack */
};

void inventory_measure_fragmentation(const struct inventory *inv,
				     struct fragmentation *f);

#endif
