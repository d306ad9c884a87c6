/*
 * Best-fit placement.  A job goes to one upstream if one fits all its
 * parts, else to the rack with the least spare capacity that fits them,
 * else to as few racks as possible.  The upstreams with the least free
 * capacity are filled first, so that whole upstreams stay free.  Where
 * the scope includes accelerators in use, the lowest cost comes first.
 */
#include <stdlib.h>

#include "sched/place.h"

struct candidate {
	uint32_t upstream;
	uint32_t rack;
	uint32_t avail;	   /* mask of accelerators in the scope */
	uint32_t capacity; /* parts that fit */
	uint32_t free;	   /* sort key: free accelerators, then free slots */
	uint32_t cost;	   /* of placing one part */
};

struct rack_candidates {
	uint32_t rack;
	uint32_t capacity;
	uint32_t cost;	/* sum over the cheapest candidates that are needed */
	uint32_t first; /* index of its first candidate */
	uint32_t len;	/* number of its candidates */
};

static uint32_t available_mask(const struct upstream *u,
			       const struct shape *shape,
			       enum place_scope scope)
{
	uint32_t own = upstream_bound_mask(u, shape->account);
	uint32_t free = u->all & ~u->used & ~u->held;

	switch (scope) {
	case PLACE_OWN_FREE:
		return own & free & (shape->urgent ? ~0u : ~u->headroom);
	case PLACE_OWN_RECLAIMABLE:
		return own & (free | (u->borrowed & ~u->held));
	case PLACE_OWN_NONURGENT:
		return own &
		       (free | ((u->borrowed | u->guaranteed) & ~u->held));
	case PLACE_ANY_FREE:
		return free & ~u->headroom;
	case PLACE_ANY_NONURGENT:
		return u->all & ~(u->used & ~u->borrowed & ~u->guaranteed) &
		       ~u->held;
	case PLACE_ALL:
		return u->all;
	}
	return 0;
}

static uint32_t min32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* Return the slots of u that a part without accelerators may use. */
static uint32_t available_slots(const struct upstream *u,
				enum place_scope scope)
{
	if (scope == PLACE_ANY_NONURGENT || scope == PLACE_ALL)
		return u->slots > u->slots_quick ? u->slots - u->slots_quick
						 : 0;
	return upstream_free_slots(u);
}

/* Report whether the scope includes accelerators that are in use. */
static bool may_use_occupied(enum place_scope scope)
{
	return scope == PLACE_OWN_RECLAIMABLE || scope == PLACE_OWN_NONURGENT ||
	       scope == PLACE_ANY_NONURGENT;
}

static uint32_t pick_cell(const struct upstream *u, uint32_t avail, uint32_t n,
			  enum place_scope scope)
{
	return may_use_occupied(scope) ? cell_pick_cheapest(u, avail, n)
				       : cell_pick(avail, n);
}

/* Costs per accelerator on top of the eviction cost. */
#define COST_BOUND 2	   /* its account may reclaim it at any time */
#define COST_GUARANTEED 16 /* in use by its account, which is not evicted */

/* Return the cost of placing a part on u; 0 if the scope is free only. */
static uint32_t placement_cost(const struct upstream *u, uint32_t avail,
			       const struct shape *shape,
			       enum place_scope scope)
{
	uint32_t cell, cost;

	if (!may_use_occupied(scope))
		return 0;
	cell = cell_pick_cheapest(u, avail, shape->accelerators);
	cost = eviction_cost(u, cell);
	if (scope == PLACE_ANY_NONURGENT)
		cost += (uint32_t)__builtin_popcount(
				cell &
				upstream_other_bound_mask(u, shape->account)) *
				COST_BOUND +
			(uint32_t)__builtin_popcount(cell & u->guaranteed) *
				COST_GUARANTEED;
	return cost;
}

static bool is_excluded(const struct shape *shape, uint32_t upstream)
{
	for (uint32_t i = 0; i < shape->excluded_len; i++)
		if (shape->excluded[i] == upstream)
			return true;
	return false;
}

/* Collect the upstreams that fit at least one part; return their number. */
static uint32_t collect_candidates(const struct inventory *inv,
				   const struct shape *shape,
				   enum place_scope scope, struct candidate *c)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < inventory_upstream_count(inv); i++) {
		const struct upstream *u = inventory_upstream(inv, i);
		uint32_t by_slots, avail;

		if (scope != PLACE_ALL && (!u->usable || is_excluded(shape, i)))
			continue;
		avail = available_mask(u, shape, scope);
		by_slots = shape->slots
				   ? available_slots(u, scope) / shape->slots
				   : UINT32_MAX;
		c[n].capacity = min32(
			by_slots, cell_capacity(avail, shape->accelerators));
		if (!c[n].capacity)
			continue;
		c[n].upstream = i;
		c[n].cost = placement_cost(u, avail, shape, scope);
		c[n].rack = u->rack;
		c[n].avail = avail;
		c[n].free =
			(uint32_t)__builtin_popcount(u->all & ~u->used) * 64 +
			upstream_free_slots(u);
		n++;
	}
	return n;
}

static int compare32(uint32_t a, uint32_t b)
{
	return a < b ? -1 : a > b;
}

static int compare_rack_cost_free(const void *pa, const void *pb)
{
	const struct candidate *a = pa, *b = pb;

	if (a->rack != b->rack)
		return compare32(a->rack, b->rack);
	if (a->cost != b->cost)
		return compare32(a->cost, b->cost);
	if (a->free != b->free)
		return compare32(a->free, b->free);
	return compare32(a->upstream, b->upstream);
}

static int compare_emptiest_first(const void *pa, const void *pb)
{
	const struct candidate *a = pa, *b = pb;

	if (a->free != b->free)
		return compare32(b->free, a->free);
	return compare32(a->upstream, b->upstream);
}

static int compare_capacity(const void *pa, const void *pb)
{
	const struct rack_candidates *a = pa, *b = pb;

	if (a->capacity != b->capacity)
		return compare32(b->capacity, a->capacity);
	return compare32(a->rack, b->rack);
}

static int compare_cost_per_part(const void *pa, const void *pb)
{
	const struct rack_candidates *a = pa, *b = pb;
	uint64_t x = (uint64_t)a->cost * b->capacity;
	uint64_t y = (uint64_t)b->cost * a->capacity;

	return x < y ? -1 : x > y;
}

/* Place up to `parts` parts on candidates in order; return the number. */
static uint32_t fill_candidates(const struct inventory *inv,
				const struct candidate *c, uint32_t n,
				const struct shape *shape,
				enum place_scope scope, uint32_t parts,
				struct part *out)
{
	uint32_t done = 0;

	for (uint32_t i = 0; i < n && done < parts; i++) {
		uint32_t avail = c[i].avail;
		uint32_t left = c[i].capacity;

		while (left-- && done < parts) {
			uint32_t m = pick_cell(
				inventory_upstream(inv, c[i].upstream), avail,
				shape->accelerators, scope);

			avail &= ~m;
			out[done].upstream = c[i].upstream;
			out[done].mask = m;
			done++;
		}
	}
	return done;
}

/* Group candidates, sorted by rack, into r; return the number of racks. */
static uint32_t group_by_rack(const struct candidate *c, uint32_t n,
			      uint32_t parts, struct rack_candidates *r)
{
	uint32_t len = 0;

	for (uint32_t i = 0; i < n; i++) {
		if (!len || r[len - 1].rack != c[i].rack) {
			r[len].rack = c[i].rack;
			r[len].capacity = 0;
			r[len].cost = 0;
			r[len].first = i;
			r[len].len = 0;
			len++;
		}
		if (r[len - 1].capacity < parts)
			r[len - 1].cost += c[i].cost;
		r[len - 1].capacity += c[i].capacity;
		r[len - 1].len++;
	}
	return len;
}

/* Return the cheapest, then smallest, rack that fits all parts, or NULL. */
static const struct rack_candidates *
pick_single_rack(const struct rack_candidates *r, uint32_t n, uint32_t parts)
{
	const struct rack_candidates *best = NULL;

	for (uint32_t i = 0; i < n; i++)
		if (r[i].capacity >= parts &&
		    (!best || r[i].cost < best->cost ||
		     (r[i].cost == best->cost &&
		      r[i].capacity < best->capacity)))
			best = &r[i];
	return best;
}

/* Return the cheapest, then fullest, upstream for all parts, or NULL. */
static const struct candidate *pick_single_upstream(const struct candidate *c,
						    uint32_t n, uint32_t parts)
{
	const struct candidate *best = NULL;

	for (uint32_t i = 0; i < n; i++)
		if (c[i].capacity >= parts &&
		    (!best || c[i].cost < best->cost ||
		     (c[i].cost == best->cost && c[i].free < best->free)))
			best = &c[i];
	return best;
}

static int compare_cost(const void *pa, const void *pb)
{
	return compare32(*(const uint32_t *)pa, *(const uint32_t *)pb);
}

/* Return the total cost of the `parts` cheapest upstreams in any racks. */
static uint32_t min_spread_cost(const struct candidate *c, uint32_t n,
				uint32_t parts)
{
	uint32_t *costs = calloc(n + 1, sizeof(*costs));
	uint32_t sum = 0;

	if (!costs)
		abort();
	for (uint32_t i = 0; i < n; i++)
		costs[i] = c[i].cost;
	qsort(costs, n, sizeof(*costs), compare_cost);
	for (uint32_t i = 0; i < n && i < parts; i++)
		sum += costs[i];
	free(costs);
	return sum;
}

/*
 * Place by best fit.  If non-urgent work may be in the way, one rack is
 * chosen only if it costs at most twice as much as the cheapest upstreams
 * of all racks.
 */
static bool place_packed(const struct inventory *inv, struct candidate *c,
			 uint32_t n, const struct shape *shape,
			 enum place_scope scope, struct rack_candidates *racks,
			 struct part *out)
{
	const struct candidate *single =
		pick_single_upstream(c, n, shape->parts);
	const struct rack_candidates *r;
	uint32_t len, done = 0;

	if (single)
		return fill_candidates(inv, single, 1, shape, scope,
				       shape->parts, out) == shape->parts;
	qsort(c, n, sizeof(*c), compare_rack_cost_free);
	len = group_by_rack(c, n, shape->parts, racks);
	r = pick_single_rack(racks, len, shape->parts);
	if (r && !(scope == PLACE_ANY_NONURGENT &&
		   r->cost > 2 * min_spread_cost(c, n, shape->parts)))
		return fill_candidates(inv, c + r->first, r->len, shape, scope,
				       shape->parts, out) == shape->parts;
	qsort(racks, len, sizeof(*racks),
	      scope == PLACE_ANY_NONURGENT ? compare_cost_per_part
					   : compare_capacity);
	for (uint32_t i = 0; i < len && done < shape->parts; i++)
		done += fill_candidates(inv, c + racks[i].first, racks[i].len,
					shape, scope, shape->parts - done,
					out + done);
	return done == shape->parts;
}

/*
 * Place every part of shape on accelerators within scope.  Write
 * shape->parts entries to out and return true, or return false if not all
 * parts fit; out then has no meaning.
 */
bool place_parts(const struct inventory *inv, const struct shape *shape,
		 enum place_scope scope, enum place_policy policy,
		 struct part *out)
{
	uint32_t total = inventory_upstream_count(inv);
	struct candidate *c = calloc(total + 1, sizeof(*c));
	struct rack_candidates *racks =
		calloc(inventory_rack_count(inv) + 1, sizeof(*racks));
	uint64_t room = 0;
	uint32_t n;
	bool ok = false;

	if (!c || !racks)
		abort();
	n = collect_candidates(inv, shape, scope, c);
	for (uint32_t i = 0; i < n; i++)
		room += c[i].capacity;
	if (room < shape->parts)
		goto out;
	switch (policy) {
	case PLACE_POLICY_BOUND:
		ok = place_packed(inv, c, n, shape, scope, racks, out);
		break;
	case PLACE_POLICY_LEAST_LOADED:
		qsort(c, n, sizeof(*c), compare_emptiest_first);
		ok = fill_candidates(inv, c, n, shape, scope, shape->parts,
				     out) == shape->parts;
		break;
	case PLACE_POLICY_FIRST_FIT:
		ok = fill_candidates(inv, c, n, shape, scope, shape->parts,
				     out) == shape->parts;
		break;
	}
out:
	free(racks);
	free(c);
	return ok;
}
