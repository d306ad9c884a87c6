/*
 * Placement.  A gang goes into one rack where one can hold it, the rack
 * with the least room to spare; else into as few racks as possible.
 * Within a rack the most used upstream that fits is filled first, so
 * that whole upstreams stay free.
 */
#include <stdlib.h>

#include "sched/place.h"

struct candidate {
	uint32_t upstream;
	uint32_t rack;
	uint32_t avail;
	uint32_t capacity; /* parts that fit */
	uint32_t free;	   /* free accelerators and slots, to compare */
	uint32_t cost;	   /* of stopping what a first part needs stopped */
};

struct rack_room {
	uint32_t rack;
	uint32_t capacity;
	uint32_t cost;	/* of its cheapest candidates, as many as needed */
	uint32_t first; /* its candidates in the sorted array */
	uint32_t len;
};

static uint32_t avail_of(const struct upstream *u, const struct shape *want,
			 enum where where)
{
	uint32_t own = upstream_bound_to(u, want->account);
	uint32_t free = u->all & ~u->used & ~u->held;

	switch (where) {
	case WHERE_OWN_FREE:
		return own & free & (want->urgent ? ~0u : ~u->headroom);
	case WHERE_OWN_EVICT:
		return own & (free | (u->borrowed & ~u->held));
	case WHERE_OWN_URGENT:
		return own &
		       (free | ((u->borrowed | u->guaranteed) & ~u->held));
	case WHERE_ANY_FREE:
		return free & ~u->headroom;
	case WHERE_ANY_USABLE:
		return u->all & ~(u->used & ~u->borrowed & ~u->guaranteed) &
		       ~u->held;
	case WHERE_EXISTS:
		return u->all;
	}
	return 0;
}

static uint32_t min32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* Return the slots of u that parts without accelerators could have. */
static uint32_t slots_of(const struct upstream *u, enum where where)
{
	if (where == WHERE_ANY_USABLE || where == WHERE_EXISTS)
		return u->slots > u->slots_quick ? u->slots - u->slots_quick
						 : 0;
	return upstream_slots_free(u);
}

/* Report whether places that are in use may be chosen. */
static bool evicts(enum where where)
{
	return where == WHERE_OWN_EVICT || where == WHERE_OWN_URGENT ||
	       where == WHERE_ANY_USABLE;
}

static uint32_t pick(const struct upstream *u, uint32_t avail, uint32_t n,
		     enum where where)
{
	return evicts(where) ? cell_pick_cheapest(u, avail, n)
			     : cell_pick(avail, n);
}

#define COST_BOUND 2	   /* its account may call on it at any time */
#define COST_GUARANTEED 16 /* and does, and is not made to stop */

/* Return what stands against putting a part on u. */
static uint32_t cost_of(const struct upstream *u, uint32_t avail,
			const struct shape *want, enum where where)
{
	uint32_t cell, cost;

	if (!evicts(where))
		return 0;
	cell = cell_pick_cheapest(u, avail, want->accelerators);
	cost = eviction_cost(u, cell);
	if (where == WHERE_ANY_USABLE)
		cost += (uint32_t)__builtin_popcount(
				cell &
				upstream_bound_to_others(u, want->account)) *
				COST_BOUND +
			(uint32_t)__builtin_popcount(cell & u->guaranteed) *
				COST_GUARANTEED;
	return cost;
}

static bool avoided(const struct shape *want, uint32_t upstream)
{
	for (uint32_t i = 0; i < want->avoid_len; i++)
		if (want->avoid[i] == upstream)
			return true;
	return false;
}

/* Collect the upstreams that can take a part, and return how many. */
static uint32_t collect(const struct site *s, const struct shape *want,
			enum where where, struct candidate *c)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < site_upstreams(s); i++) {
		const struct upstream *u = site_upstream(s, i);
		uint32_t by_slots, avail;

		if (where != WHERE_EXISTS && (!u->usable || avoided(want, i)))
			continue;
		avail = avail_of(u, want, where);
		by_slots = want->slots ? slots_of(u, where) / want->slots
				       : UINT32_MAX;
		c[n].capacity = min32(by_slots,
				      cell_capacity(avail, want->accelerators));
		if (!c[n].capacity)
			continue;
		c[n].upstream = i;
		c[n].cost = cost_of(u, avail, want, where);
		c[n].rack = u->rack;
		c[n].avail = avail;
		c[n].free =
			(uint32_t)__builtin_popcount(u->all & ~u->used) * 64 +
			upstream_slots_free(u);
		n++;
	}
	return n;
}

static int order32(uint32_t a, uint32_t b)
{
	return a < b ? -1 : a > b;
}

static int by_rack_then_fullest(const void *pa, const void *pb)
{
	const struct candidate *a = pa, *b = pb;

	if (a->rack != b->rack)
		return order32(a->rack, b->rack);
	if (a->cost != b->cost)
		return order32(a->cost, b->cost);
	if (a->free != b->free)
		return order32(a->free, b->free);
	return order32(a->upstream, b->upstream);
}

static int by_emptiest(const void *pa, const void *pb)
{
	const struct candidate *a = pa, *b = pb;

	if (a->free != b->free)
		return order32(b->free, a->free);
	return order32(a->upstream, b->upstream);
}

static int by_room(const void *pa, const void *pb)
{
	const struct rack_room *a = pa, *b = pb;

	if (a->capacity != b->capacity)
		return order32(b->capacity, a->capacity);
	return order32(a->rack, b->rack);
}

static int by_cost(const void *pa, const void *pb)
{
	const struct rack_room *a = pa, *b = pb;
	uint64_t x = (uint64_t)a->cost * b->capacity;
	uint64_t y = (uint64_t)b->cost * a->capacity;

	return x < y ? -1 : x > y;
}

/* Fill candidates in order with up to `parts` parts; return how many. */
static uint32_t fill(const struct site *s, const struct candidate *c,
		     uint32_t n, const struct shape *want, enum where where,
		     uint32_t parts, struct part *out)
{
	uint32_t done = 0;

	for (uint32_t i = 0; i < n && done < parts; i++) {
		uint32_t avail = c[i].avail;
		uint32_t left = c[i].capacity;

		while (left-- && done < parts) {
			uint32_t m = pick(site_upstream(s, c[i].upstream),
					  avail, want->accelerators, where);

			avail &= ~m;
			out[done].upstream = c[i].upstream;
			out[done].mask = m;
			done++;
		}
	}
	return done;
}

/* Group sorted candidates by rack; return the number of racks. */
static uint32_t group(const struct candidate *c, uint32_t n, uint32_t parts,
		      struct rack_room *r)
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

/* Return the cheapest, then smallest, rack that holds all parts. */
static const struct rack_room *one_rack(const struct rack_room *r, uint32_t n,
					uint32_t parts)
{
	const struct rack_room *best = NULL;

	for (uint32_t i = 0; i < n; i++)
		if (r[i].capacity >= parts &&
		    (!best || r[i].cost < best->cost ||
		     (r[i].cost == best->cost &&
		      r[i].capacity < best->capacity)))
			best = &r[i];
	return best;
}

/* Find the cheapest, then fullest, upstream that takes the whole job. */
static const struct candidate *one_upstream(const struct candidate *c,
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

static int by_cost_alone(const void *pa, const void *pb)
{
	return order32(*(const uint32_t *)pa, *(const uint32_t *)pb);
}

/* Return the cost of the cheapest upstreams for all parts, in any rack. */
static uint32_t cheapest_cost(const struct candidate *c, uint32_t n,
			      uint32_t parts)
{
	uint32_t *costs = calloc(n + 1, sizeof(*costs));
	uint32_t sum = 0;

	if (!costs)
		abort();
	for (uint32_t i = 0; i < n; i++)
		costs[i] = c[i].cost;
	qsort(costs, n, sizeof(*costs), by_cost_alone);
	for (uint32_t i = 0; i < n && i < parts; i++)
		sum += costs[i];
	free(costs);
	return sum;
}

static bool place_packed(const struct site *s, struct candidate *c, uint32_t n,
			 const struct shape *want, enum where where,
			 struct rack_room *racks, struct part *out)
{
	const struct candidate *single = one_upstream(c, n, want->parts);
	const struct rack_room *r;
	uint32_t len, done = 0;

	if (single)
		return fill(s, single, 1, want, where, want->parts, out) ==
		       want->parts;
	qsort(c, n, sizeof(*c), by_rack_then_fullest);
	len = group(c, n, want->parts, racks);
	r = one_rack(racks, len, want->parts);
	if (r && !(where == WHERE_ANY_USABLE &&
		   r->cost > 2 * cheapest_cost(c, n, want->parts)))
		return fill(s, c + r->first, r->len, want, where, want->parts,
			    out) == want->parts;
	qsort(racks, len, sizeof(*racks),
	      where == WHERE_ANY_USABLE ? by_cost : by_room);
	for (uint32_t i = 0; i < len && done < want->parts; i++)
		done += fill(s, c + racks[i].first, racks[i].len, want, where,
			     want->parts - done, out + done);
	return done == want->parts;
}

/*
 * Find room for every part of want among the accelerators that `where`
 * allows.  Write want->parts places to out and return true, or return
 * false when they do not all fit.
 */
bool place(const struct site *s, const struct shape *want, enum where where,
	   enum policy policy, struct part *out)
{
	uint32_t total = site_upstreams(s);
	struct candidate *c = calloc(total + 1, sizeof(*c));
	struct rack_room *racks = calloc(site_racks(s) + 1, sizeof(*racks));
	uint64_t room = 0;
	uint32_t n;
	bool ok = false;

	if (!c || !racks)
		abort();
	n = collect(s, want, where, c);
	for (uint32_t i = 0; i < n; i++)
		room += c[i].capacity;
	if (room < want->parts)
		goto out;
	switch (policy) {
	case POLICY_BOUND:
		ok = place_packed(s, c, n, want, where, racks, out);
		break;
	case POLICY_LEAST_LOADED:
		qsort(c, n, sizeof(*c), by_emptiest);
		ok = fill(s, c, n, want, where, want->parts, out) ==
		     want->parts;
		break;
	case POLICY_FIRST_FIT:
		ok = fill(s, c, n, want, where, want->parts, out) ==
		     want->parts;
		break;
	}
out:
	free(racks);
	free(c);
	return ok;
}
