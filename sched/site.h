/*
 * The accelerators of one failure domain as a decider sees them: racks,
 * upstreams, and for every accelerator whom it is bound to and how it is
 * used.  An accelerator is a bit in its upstream's masks.
 */
#ifndef SCHED_SITE_H
#define SCHED_SITE_H

#include <stdbool.h>
#include <stdint.h>

#define SITE_NAME_BYTES 48
#define SITE_MAX_ACCELERATORS 32
#define SITE_NO_ACCOUNT UINT32_MAX

enum use {
	USE_URGENT,	/* guaranteed work that nothing may evict */
	USE_GUARANTEED, /* yields to its own account's urgent work */
	USE_BORROWED,	/* yields to the account it borrows from */
	USE_QUIET,	/* borrowed, and yields to room held for others */
};

struct bound {
	uint32_t account;
	uint32_t mask;
};

struct upstream {
	char name[SITE_NAME_BYTES];
	uint32_t rack;
	uint32_t all;	     /* mask of existing accelerators */
	uint32_t used;	     /* taken in any way */
	uint32_t guaranteed; /* taken by USE_GUARANTEED */
	uint32_t borrowed;   /* taken by USE_BORROWED or USE_QUIET */
	uint32_t quiet;	     /* taken by USE_QUIET */
	uint32_t ganged;     /* taken by jobs of several parts */
	uint32_t held;	     /* kept free for a job that waits */
	uint32_t headroom;   /* kept free for its account's urgent work */
	uint32_t slots;
	uint32_t slots_used;
	uint32_t slots_quick; /* kept for quick checks */
	bool usable;
	uint32_t bound_len;
	struct bound *bound;
};

struct site;

struct site *site_create(void);
void site_destroy(struct site *s);
uint32_t site_add_upstream(struct site *s, const char *name, const char *rack,
			   uint32_t accelerators, uint32_t slots,
			   uint32_t slots_quick);
bool site_find(const struct site *s, const char *name, uint32_t *u);
uint32_t site_upstreams(const struct site *s);
uint32_t site_racks(const struct site *s);
const char *site_rack_name(const struct site *s, uint32_t rack);
const struct upstream *site_upstream(const struct site *s, uint32_t u);
void site_set_usable(struct site *s, uint32_t u, bool usable);
void site_bind(struct site *s, uint32_t u, uint32_t account, uint32_t mask);
void site_unbind_all(struct site *s);
void site_unbind(struct site *s, uint32_t u);
void site_take(struct site *s, uint32_t u, uint32_t mask, uint32_t slots,
	       enum use how, bool gang);
void site_release(struct site *s, uint32_t u, uint32_t mask, uint32_t slots,
		  enum use how);
void site_hold(struct site *s, uint32_t u, uint32_t mask, bool on);
void site_set_headroom(struct site *s, uint32_t u, uint32_t mask);

uint32_t upstream_bound_to(const struct upstream *u, uint32_t account);
uint32_t upstream_bound_to_others(const struct upstream *u, uint32_t account);
uint32_t upstream_slots_free(const struct upstream *u);
uint32_t cell_pick(uint32_t avail, uint32_t n);
uint32_t cell_pick_cheapest(const struct upstream *u, uint32_t avail,
			    uint32_t n);
uint32_t eviction_cost(const struct upstream *u, uint32_t mask);
uint32_t cell_capacity(uint32_t avail, uint32_t n);

struct fragmentation {
	uint32_t accelerators;
	uint32_t used;
	uint32_t free;
	uint32_t free_whole;  /* free on entirely free upstreams */
	uint32_t largest_run; /* most free in one rack, whole upstreams */
};

void site_fragmentation(const struct site *s, struct fragmentation *f);

#endif
