/*
 * The accelerators of one failure domain as a decider sees them: racks,
 * upstreams, and for every accelerator whom it is bound to and how it is
 * used.  An accelerator is a bit in its upstream's masks.
 */
#ifndef SCHED_INVENTORY_H
#define SCHED_INVENTORY_H

#include <stdbool.h>
#include <stdint.h>

#define INVENTORY_NAME_BYTES 48
#define UPSTREAM_ACCELERATORS_MAX 32
#define INVENTORY_NO_ACCOUNT UINT32_MAX

enum usage {
	USAGE_URGENT,	  /* guaranteed work that nothing may evict */
	USAGE_GUARANTEED, /* yields to its own account's urgent work */
	USAGE_BORROWED,	  /* yields to the account it borrows from */
	USAGE_QUIET,	  /* borrowed, and yields to room held for others */
};

struct bindings {
	uint32_t account;
	uint32_t mask;
};

struct upstream {
	char name[INVENTORY_NAME_BYTES];
	uint32_t rack;
	uint32_t all;	     /* mask of existing accelerators */
	uint32_t used;	     /* taken in any way */
	uint32_t guaranteed; /* taken by USAGE_GUARANTEED */
	uint32_t borrowed;   /* taken by USAGE_BORROWED or USAGE_QUIET */
	uint32_t quiet;	     /* taken by USAGE_QUIET */
	uint32_t ganged;     /* taken by jobs of several parts */
	uint32_t held;	     /* kept free for a job that waits */
	uint32_t headroom;   /* kept free for its account's urgent work */
	uint32_t slots;
	uint32_t slots_used;
	uint32_t slots_quick; /* kept for quick checks */
	bool usable;
	uint32_t bindings_len;
	struct bindings *bindings;
};

struct inventory;

struct inventory *inventory_create(void);
void inventory_destroy(struct inventory *s);
uint32_t inventory_add_upstream(struct inventory *s, const char *name,
				const char *rack, uint32_t accelerators,
				uint32_t slots, uint32_t slots_quick);
bool inventory_find_upstream(const struct inventory *s, const char *name,
			     uint32_t *u);
uint32_t inventory_upstream_count(const struct inventory *s);
uint32_t inventory_rack_count(const struct inventory *s);
const char *inventory_rack_name(const struct inventory *s, uint32_t rack);
const struct upstream *inventory_upstream(const struct inventory *s,
					  uint32_t u);
void inventory_set_usable(struct inventory *s, uint32_t u, bool usable);
void inventory_bind(struct inventory *s, uint32_t u, uint32_t account,
		    uint32_t mask);
void inventory_unbind_all(struct inventory *s);
void inventory_unbind_upstream(struct inventory *s, uint32_t u);
void inventory_allocate(struct inventory *s, uint32_t u, uint32_t mask,
			uint32_t slots, enum usage usage, bool gang);
void inventory_release(struct inventory *s, uint32_t u, uint32_t mask,
		       uint32_t slots, enum usage usage);
void inventory_set_held(struct inventory *s, uint32_t u, uint32_t mask,
			bool on);
void inventory_set_headroom(struct inventory *s, uint32_t u, uint32_t mask);

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
	uint32_t free_whole;	    /* free on entirely free upstreams */
	uint32_t largest_whole_run; /* most free in one rack, whole upstreams */
};

void inventory_measure_fragmentation(const struct inventory *s,
				     struct fragmentation *f);

#endif
