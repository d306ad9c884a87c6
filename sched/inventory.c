/* The inventory of a domain; only this file changes its masks. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/inventory.h"

struct inventory {
	struct upstream *upstreams;
	uint32_t upstreams_len;
	uint32_t upstreams_cap;
	char (*racks)[INVENTORY_NAME_BYTES];
	uint32_t racks_len;
};

static void *xrealloc(void *p, size_t n)
{
	p = realloc(p, n);
	if (!p)
		abort();
	return p;
}

/* Create an inventory without upstreams. */
struct inventory *inventory_create(void)
{
	struct inventory *inv = xrealloc(NULL, sizeof(*inv));

	memset(inv, 0, sizeof(*inv));
	return inv;
}

/* Free inv with its upstreams and racks. */
void inventory_destroy(struct inventory *inv)
{
	if (!inv)
		return;
	for (uint32_t i = 0; i < inv->upstreams_len; i++)
		free(inv->upstreams[i].bindings);
	free(inv->upstreams);
	free(inv->racks);
	free(inv);
}

static uint32_t ensure_rack(struct inventory *inv, const char *name)
{
	for (uint32_t i = inv->racks_len; i-- > 0;)
		if (!strcmp(inv->racks[i], name))
			return i;
	inv->racks = xrealloc(inv->racks,
			      (inv->racks_len + 1) * sizeof(*inv->racks));
	snprintf(inv->racks[inv->racks_len], INVENTORY_NAME_BYTES, "%s", name);
	return inv->racks_len++;
}

static uint32_t low_mask(uint32_t n)
{
	return n >= UPSTREAM_ACCELERATORS_MAX ? UINT32_MAX : (1u << n) - 1;
}

/*
 * Add an upstream in the named rack, which is created if it is new, and
 * return the upstream's index.  slots includes slots_quick.
 */
uint32_t inventory_add_upstream(struct inventory *inv, const char *name,
				const char *rack, uint32_t accelerators,
				uint32_t slots, uint32_t slots_quick)
{
	struct upstream *u;

	if (inv->upstreams_len == inv->upstreams_cap) {
		inv->upstreams_cap =
			inv->upstreams_cap ? inv->upstreams_cap * 2 : 64;
		inv->upstreams = xrealloc(inv->upstreams,
					  inv->upstreams_cap * sizeof(*u));
	}
	u = &inv->upstreams[inv->upstreams_len];
	memset(u, 0, sizeof(*u));
	snprintf(u->name, sizeof(u->name), "%s", name);
	u->rack = ensure_rack(inv, rack);
	u->all = low_mask(accelerators);
	u->slots = slots;
	u->slots_quick = slots_quick;
	u->usable = true;
	return inv->upstreams_len++;
}

/* Write the index of the named upstream to *u; false if there is none. */
bool inventory_find_upstream(const struct inventory *inv, const char *name,
			     uint32_t *u)
{
	for (uint32_t i = 0; i < inv->upstreams_len; i++) {
		if (!strcmp(inv->upstreams[i].name, name)) {
			*u = i;
			return true;
		}
	}
	return false;
}

/* Return the number of upstreams, which are indexed from 0. */
uint32_t inventory_upstream_count(const struct inventory *inv)
{
	return inv->upstreams_len;
}

/* Return the number of racks, which are indexed from 0. */
uint32_t inventory_rack_count(const struct inventory *inv)
{
	return inv->racks_len;
}

const char *inventory_rack_name(const struct inventory *inv, uint32_t rack)
{
	return inv->racks[rack];
}

const struct upstream *inventory_upstream(const struct inventory *inv,
					  uint32_t u)
{
	return &inv->upstreams[u];
}

/* Set whether upstream u may be given new work. */
void inventory_set_usable(struct inventory *inv, uint32_t u, bool usable)
{
	inv->upstreams[u].usable = usable;
}

/* Bind the accelerators in mask of upstream u to account. */
void inventory_bind(struct inventory *inv, uint32_t u, uint32_t account,
		    uint32_t mask)
{
	struct upstream *up = &inv->upstreams[u];

	for (uint32_t i = 0; i < up->bindings_len; i++) {
		if (up->bindings[i].account == account) {
			up->bindings[i].mask |= mask;
			return;
		}
	}
	up->bindings = xrealloc(up->bindings,
				(up->bindings_len + 1) * sizeof(*up->bindings));
	up->bindings[up->bindings_len].account = account;
	up->bindings[up->bindings_len].mask = mask;
	up->bindings_len++;
}

/* Remove the bindings of upstream u, which is lost. */
void inventory_unbind_upstream(struct inventory *inv, uint32_t u)
{
	inv->upstreams[u].bindings_len = 0;
}

/* Remove all bindings, before those of a new configuration are applied. */
void inventory_unbind_all(struct inventory *inv)
{
	for (uint32_t i = 0; i < inv->upstreams_len; i++)
		inv->upstreams[i].bindings_len = 0;
}

static void update_bits(uint32_t *to, uint32_t mask, bool on)
{
	if (on)
		*to |= mask;
	else
		*to &= ~mask;
}

static void update_usage_masks(struct upstream *u, uint32_t mask,
			       enum usage usage, bool on)
{
	update_bits(&u->used, mask, on);
	switch (usage) {
	case USAGE_URGENT:
		break;
	case USAGE_GUARANTEED:
		update_bits(&u->guaranteed, mask, on);
		break;
	case USAGE_QUIET:
		update_bits(&u->quiet, mask, on);
		update_bits(&u->borrowed, mask, on);
		break;
	case USAGE_BORROWED:
		update_bits(&u->borrowed, mask, on);
		break;
	}
}

/*
 * Mark the accelerators in mask and a number of slots of u as in use.
 * gang is set for a job with other parts, which stop when this one does.
 */
void inventory_allocate(struct inventory *inv, uint32_t u, uint32_t mask,
			uint32_t slots, enum usage usage, bool gang)
{
	update_usage_masks(&inv->upstreams[u], mask, usage, true);
	update_bits(&inv->upstreams[u].ganged, mask, gang);
	inv->upstreams[u].slots_used += slots;
}

/* Undo inventory_allocate, which had the same arguments. */
void inventory_release(struct inventory *inv, uint32_t u, uint32_t mask,
		       uint32_t slots, enum usage usage)
{
	update_usage_masks(&inv->upstreams[u], mask, usage, false);
	update_bits(&inv->upstreams[u].ganged, mask, false);
	inv->upstreams[u].slots_used -= slots;
}

/* Hold the accelerators in mask for a claiming job, or release the hold. */
void inventory_set_held(struct inventory *inv, uint32_t u, uint32_t mask,
			bool on)
{
	if (on)
		inv->upstreams[u].held |= mask;
	else
		inv->upstreams[u].held &= ~mask;
}

/* Set the mask of u's accelerators that are kept free for urgent work. */
void inventory_set_headroom(struct inventory *inv, uint32_t u, uint32_t mask)
{
	inv->upstreams[u].headroom = mask;
}

/* Return the mask of u's accelerators that are bound to account. */
uint32_t upstream_bound_mask(const struct upstream *u, uint32_t account)
{
	for (uint32_t i = 0; i < u->bindings_len; i++)
		if (u->bindings[i].account == account)
			return u->bindings[i].mask;
	return 0;
}

/* Return the mask of u's accelerators that are bound to other accounts. */
uint32_t upstream_other_bound_mask(const struct upstream *u, uint32_t account)
{
	uint32_t m = 0;

	for (uint32_t i = 0; i < u->bindings_len; i++)
		if (u->bindings[i].account != account)
			m |= u->bindings[i].mask;
	return m;
}

/* Return the free slots of u, without those reserved for quick checks. */
uint32_t upstream_free_slots(const struct upstream *u)
{
	uint32_t kept = u->slots_used + u->slots_quick;

	return u->slots > kept ? u->slots - kept : 0;
}

/* Return the size of the smallest aligned cell that holds n accelerators. */
static uint32_t cell_size(uint32_t n)
{
	uint32_t size = 1;

	while (size < n)
		size *= 2;
	return size;
}

static uint32_t lowest_bits(uint32_t mask, uint32_t n)
{
	uint32_t out = 0;

	while (n-- && mask) {
		out |= mask & -mask;
		mask &= mask - 1;
	}
	return out;
}

/*
 * Pick n accelerators from avail and return their mask.  Of the aligned
 * cells that have n available, choose one whose parent cell has the
 * fewest available, so that larger cells stay whole; without such a cell
 * take the lowest n.  Return 0 if fewer than n are available or n is 0.
 */
uint32_t cell_pick(uint32_t avail, uint32_t n)
{
	uint32_t size = cell_size(n);
	uint32_t best = 0, best_free = UINT32_MAX;

	if (!n || (uint32_t)__builtin_popcount(avail) < n)
		return 0;
	for (uint32_t at = 0; at + size <= UPSTREAM_ACCELERATORS_MAX;
	     at += size) {
		uint32_t cell = low_mask(size) << at;
		uint32_t parent = low_mask(size * 2)
				  << (at / (size * 2) * size * 2);
		uint32_t near = __builtin_popcount(avail & parent);

		if ((uint32_t)__builtin_popcount(avail & cell) < n ||
		    near >= best_free)
			continue;
		best = lowest_bits(avail & cell, n);
		best_free = near;
	}
	return best ? best : lowest_bits(avail, n);
}

/* Cost of an accelerator, by what it is used for or kept for. */
#define COST_QUIET 1
#define COST_SINGLE 4
#define COST_HEADROOM 8
#define COST_GANG 64 /* evicting one part stops the whole gang */

/* Return the cost of taking the accelerators in mask, used or kept free. */
uint32_t eviction_cost(const struct upstream *u, uint32_t mask)
{
	uint32_t busy = mask & u->used;
	uint32_t gang = busy & u->ganged;
	uint32_t quiet = busy & u->quiet & ~gang;
	uint32_t single = busy & ~gang & ~quiet;
	uint32_t kept = mask & ~u->used & u->headroom;

	return (uint32_t)__builtin_popcount(quiet) * COST_QUIET +
	       (uint32_t)__builtin_popcount(single) * COST_SINGLE +
	       (uint32_t)__builtin_popcount(kept) * COST_HEADROOM +
	       (uint32_t)__builtin_popcount(gang) * COST_GANG;
}

/*
 * Pick n accelerators of u from avail, from the aligned cell with the
 * lowest eviction cost, or the lowest n if no aligned cell has n.  Return
 * their mask, or 0 if fewer than n are available or n is 0.
 */
uint32_t cell_pick_cheapest(const struct upstream *u, uint32_t avail,
			    uint32_t n)
{
	uint32_t size = cell_size(n);
	uint32_t best = 0, best_cost = UINT32_MAX;

	if (!n || (uint32_t)__builtin_popcount(avail) < n)
		return 0;
	for (uint32_t at = 0; at + size <= UPSTREAM_ACCELERATORS_MAX;
	     at += size) {
		uint32_t cell = lowest_bits(avail & (low_mask(size) << at), n);
		uint32_t cost = eviction_cost(u, cell);

		if ((uint32_t)__builtin_popcount(cell) < n || cost >= best_cost)
			continue;
		best = cell;
		best_cost = cost;
	}
	return best ? best : lowest_bits(avail, n);
}

/* Return how many parts of n accelerators fit; UINT32_MAX if n is 0. */
uint32_t cell_capacity(uint32_t avail, uint32_t n)
{
	return n ? (uint32_t)__builtin_popcount(avail) / n : UINT32_MAX;
}

/*
 * Measure the fragmentation of the free accelerators on usable upstreams.
 * Headroom for urgent work does not count as free.
 */
void inventory_measure_fragmentation(const struct inventory *inv,
				     struct fragmentation *f)
{
	uint32_t *per_rack =
		xrealloc(NULL, (inv->racks_len + 1) * sizeof(uint32_t));

	memset(f, 0, sizeof(*f));
	memset(per_rack, 0, (inv->racks_len + 1) * sizeof(uint32_t));
	for (uint32_t i = 0; i < inv->upstreams_len; i++) {
		const struct upstream *u = &inv->upstreams[i];
		uint32_t n =
			__builtin_popcount(u->all & ~u->used & ~u->headroom);

		if (!u->usable)
			continue;
		f->accelerators += __builtin_popcount(u->all);
		f->used += __builtin_popcount(u->used);
		f->free += n;
		if (u->used | u->headroom)
			continue;
		f->free_whole += n;
		per_rack[u->rack] += n;
		if (per_rack[u->rack] > f->largest_whole_run)
			f->largest_whole_run = per_rack[u->rack];
	}
	free(per_rack);
}
