/* The site aggregate: every change to the masks goes through here. */
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

/* Create a site without upstreams. */
struct inventory *inventory_create(void)
{
	struct inventory *s = xrealloc(NULL, sizeof(*s));

	memset(s, 0, sizeof(*s));
	return s;
}

/* Free s and all that it knows. */
void inventory_destroy(struct inventory *s)
{
	if (!s)
		return;
	for (uint32_t i = 0; i < s->upstreams_len; i++)
		free(s->upstreams[i].bindings);
	free(s->upstreams);
	free(s->racks);
	free(s);
}

static uint32_t ensure_rack(struct inventory *s, const char *name)
{
	for (uint32_t i = s->racks_len; i-- > 0;)
		if (!strcmp(s->racks[i], name))
			return i;
	s->racks = xrealloc(s->racks, (s->racks_len + 1) * sizeof(*s->racks));
	snprintf(s->racks[s->racks_len], INVENTORY_NAME_BYTES, "%s", name);
	return s->racks_len++;
}

static uint32_t low_mask(uint32_t n)
{
	return n >= UPSTREAM_ACCELERATORS_MAX ? UINT32_MAX : (1u << n) - 1;
}

/* Add an upstream in the named rack and return its index. */
uint32_t inventory_add_upstream(struct inventory *s, const char *name,
				const char *rack, uint32_t accelerators,
				uint32_t slots, uint32_t slots_quick)
{
	struct upstream *u;

	if (s->upstreams_len == s->upstreams_cap) {
		s->upstreams_cap = s->upstreams_cap ? s->upstreams_cap * 2 : 64;
		s->upstreams =
			xrealloc(s->upstreams, s->upstreams_cap * sizeof(*u));
	}
	u = &s->upstreams[s->upstreams_len];
	memset(u, 0, sizeof(*u));
	snprintf(u->name, sizeof(u->name), "%s", name);
	u->rack = ensure_rack(s, rack);
	u->all = low_mask(accelerators);
	u->slots = slots;
	u->slots_quick = slots_quick;
	u->usable = true;
	return s->upstreams_len++;
}

/* Find the upstream called name; false when there is none. */
bool inventory_find_upstream(const struct inventory *s, const char *name,
			     uint32_t *u)
{
	for (uint32_t i = 0; i < s->upstreams_len; i++) {
		if (!strcmp(s->upstreams[i].name, name)) {
			*u = i;
			return true;
		}
	}
	return false;
}

/* Return the number of upstreams; their indexes are below it. */
uint32_t inventory_upstream_count(const struct inventory *s)
{
	return s->upstreams_len;
}

/* Return the number of racks; their indexes are below it. */
uint32_t inventory_rack_count(const struct inventory *s)
{
	return s->racks_len;
}

/* Return a rack's name. */
const char *inventory_rack_name(const struct inventory *s, uint32_t rack)
{
	return s->racks[rack];
}

/* Return upstream u for reading. */
const struct upstream *inventory_upstream(const struct inventory *s, uint32_t u)
{
	return &s->upstreams[u];
}

/* Say whether upstream u may be given new work. */
void inventory_set_usable(struct inventory *s, uint32_t u, bool usable)
{
	s->upstreams[u].usable = usable;
}

/* Bind the accelerators in mask of upstream u to account. */
void inventory_bind(struct inventory *s, uint32_t u, uint32_t account,
		    uint32_t mask)
{
	struct upstream *up = &s->upstreams[u];

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

/* Forget the bindings of one upstream, which is lost. */
void inventory_unbind_upstream(struct inventory *s, uint32_t u)
{
	s->upstreams[u].bindings_len = 0;
}

/* Forget all bindings, before a new configuration brings its own. */
void inventory_unbind_all(struct inventory *s)
{
	for (uint32_t i = 0; i < s->upstreams_len; i++)
		s->upstreams[i].bindings_len = 0;
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
 * Mark the accelerators in mask and some slots of u as used; gang says
 * that the job has other parts, which would be stopped with this one.
 */
void inventory_allocate(struct inventory *s, uint32_t u, uint32_t mask,
			uint32_t slots, enum usage usage, bool gang)
{
	update_usage_masks(&s->upstreams[u], mask, usage, true);
	update_bits(&s->upstreams[u].ganged, mask, gang);
	s->upstreams[u].slots_used += slots;
}

/* Undo inventory_allocate with the same arguments. */
void inventory_release(struct inventory *s, uint32_t u, uint32_t mask,
		       uint32_t slots, enum usage usage)
{
	update_usage_masks(&s->upstreams[u], mask, usage, false);
	update_bits(&s->upstreams[u].ganged, mask, false);
	s->upstreams[u].slots_used -= slots;
}

/* Keep the accelerators in mask from other work, or stop doing so. */
void inventory_set_held(struct inventory *s, uint32_t u, uint32_t mask, bool on)
{
	if (on)
		s->upstreams[u].held |= mask;
	else
		s->upstreams[u].held &= ~mask;
}

/* Say which accelerators of u are kept for urgent work. */
void inventory_set_headroom(struct inventory *s, uint32_t u, uint32_t mask)
{
	s->upstreams[u].headroom = mask;
}

/* Return the mask of u's accelerators that are bound to account. */
uint32_t upstream_bound_mask(const struct upstream *u, uint32_t account)
{
	for (uint32_t i = 0; i < u->bindings_len; i++)
		if (u->bindings[i].account == account)
			return u->bindings[i].mask;
	return 0;
}

/* Return the mask of u's accelerators bound to any other account. */
uint32_t upstream_other_bound_mask(const struct upstream *u, uint32_t account)
{
	uint32_t m = 0;

	for (uint32_t i = 0; i < u->bindings_len; i++)
		if (u->bindings[i].account != account)
			m |= u->bindings[i].mask;
	return m;
}

/* Return the slots of u that work other than quick checks may take. */
uint32_t upstream_free_slots(const struct upstream *u)
{
	uint32_t kept = u->slots_used + u->slots_quick;

	return u->slots > kept ? u->slots - kept : 0;
}

/* Return the size of the aligned cell that n accelerators need. */
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
 * Pick n adjacent accelerators out of avail: the aligned cell of the
 * right size whose parent cell is most used, so that larger cells stay
 * whole.  Where no aligned cell is free, take any n.  0 when fewer than
 * n are available or n is 0.
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

#define COST_QUIET 1
#define COST_SINGLE 4
#define COST_HEADROOM 8
#define COST_GANG 64 /* the whole gang stops with its part */

/* Return what it costs to empty mask: quiet work least, gangs most. */
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
 * Pick n adjacent accelerators of u out of avail whose present work is
 * the cheapest to stop.  0 when fewer than n are available.
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

/* Return how many parts of n accelerators fit into avail. */
uint32_t cell_capacity(uint32_t avail, uint32_t n)
{
	return n ? (uint32_t)__builtin_popcount(avail) / n : UINT32_MAX;
}

/*
 * Measure how scattered the free accelerators of usable upstreams are.
 * What is kept for urgent work is not counted as free.
 */
void inventory_measure_fragmentation(const struct inventory *s,
				     struct fragmentation *f)
{
	uint32_t *per_rack =
		xrealloc(NULL, (s->racks_len + 1) * sizeof(uint32_t));

	memset(f, 0, sizeof(*f));
	memset(per_rack, 0, (s->racks_len + 1) * sizeof(uint32_t));
	for (uint32_t i = 0; i < s->upstreams_len; i++) {
		const struct upstream *u = &s->upstreams[i];
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
