/*
 * Binding.  A guarantee is a number of cells, and each cell is bound to
 * one account only, so guarantees never overlap.  To limit fragmentation,
 * a cell within an upstream comes from the upstream with the most bound
 * accelerators that still has one, and a whole upstream from the rack
 * with the most.
 */
#include <string.h>

#include "sched/bind.h"

static const char *const kind_names[] = {
	[CELL_ACCELERATOR] = "accelerator",
	[CELL_HALF] = "half",
	[CELL_UPSTREAM] = "upstream",
	[CELL_RACK] = "rack",
};

/* Return the name of k in the configuration. */
const char *cell_kind_name(enum cell_kind k)
{
	return kind_names[k];
}

/* Parse the name s into *k; false if there is no such kind. */
bool cell_kind_parse(const char *s, enum cell_kind *k)
{
	for (int i = CELL_ACCELERATOR; i <= CELL_RACK; i++) {
		if (!strcmp(s, kind_names[i])) {
			*k = i;
			return true;
		}
	}
	return false;
}

static uint32_t bound_mask(const struct upstream *u)
{
	uint32_t m = 0;

	for (uint32_t i = 0; i < u->bindings_len; i++)
		m |= u->bindings[i].mask;
	return m;
}

/* Return the mask of an unbound cell of kind k on u, 0 if there is none. */
static uint32_t find_free_cell(const struct upstream *u, enum cell_kind k)
{
	uint32_t total = __builtin_popcount(u->all);
	uint32_t avail = u->usable ? u->all & ~bound_mask(u) : 0;

	switch (k) {
	case CELL_ACCELERATOR:
		return cell_pick(avail, 1);
	case CELL_HALF:
		return total > 1 ? cell_pick(avail, total / 2) : 0;
	case CELL_UPSTREAM:
	case CELL_RACK:
		return avail == u->all ? avail : 0;
	}
	return 0;
}

static uint32_t rack_bound_count(const struct inventory *inv, uint32_t rack)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < inventory_upstream_count(inv); i++) {
		const struct upstream *u = inventory_upstream(inv, i);

		if (u->rack == rack)
			n += __builtin_popcount(bound_mask(u));
	}
	return n;
}

/*
 * Report whether the rack has accelerators, and all its upstreams that
 * have some are usable and unbound.
 */
static bool rack_is_unbound(const struct inventory *inv, uint32_t rack)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < inventory_upstream_count(inv); i++) {
		const struct upstream *u = inventory_upstream(inv, i);

		if (u->rack != rack || !u->all)
			continue;
		if (!find_free_cell(u, CELL_RACK))
			return false;
		n++;
	}
	return n > 0;
}

static bool find_free_rack(const struct inventory *inv, struct cell *out)
{
	for (uint32_t r = 0; r < inventory_rack_count(inv); r++) {
		if (!rack_is_unbound(inv, r))
			continue;
		out->index = r;
		out->mask = 0;
		return true;
	}
	return false;
}

/*
 * Find an unbound cell of the given kind on usable upstreams and write
 * it to out with the account.  Return false if the domain has none left.
 */
bool bind_find_cell(const struct inventory *inv, enum cell_kind kind,
		    uint32_t account, struct cell *out)
{
	uint32_t best = 0;
	bool found = false;

	out->kind = kind;
	out->account = account;
	if (kind == CELL_RACK)
		return find_free_rack(inv, out);
	for (uint32_t i = 0; i < inventory_upstream_count(inv); i++) {
		const struct upstream *u = inventory_upstream(inv, i);
		uint32_t m = find_free_cell(u, kind);
		uint32_t score;

		if (!m)
			continue;
		score = __builtin_popcount(bound_mask(u)) * 4096 +
			rack_bound_count(inv, u->rack);
		if (found && score <= best)
			continue;
		found = true;
		best = score;
		out->index = i;
		out->mask = m;
	}
	return found;
}

/* Report whether c's upstreams are usable and its accelerators unbound. */
bool bind_cell_is_free(const struct inventory *inv, const struct cell *c)
{
	const struct upstream *u;

	if (c->kind == CELL_RACK)
		return c->index < inventory_rack_count(inv) &&
		       rack_is_unbound(inv, c->index);
	if (c->index >= inventory_upstream_count(inv) || !c->mask)
		return false;
	u = inventory_upstream(inv, c->index);
	return u->usable && !(c->mask & ~(u->all & ~bound_mask(u)));
}

/* Bind the accelerators of c to its account. */
void bind_apply_cell(struct inventory *inv, const struct cell *c)
{
	if (c->kind != CELL_RACK) {
		inventory_bind(inv, c->index, c->account, c->mask);
		return;
	}
	for (uint32_t i = 0; i < inventory_upstream_count(inv); i++) {
		const struct upstream *u = inventory_upstream(inv, i);

		if (u->rack == c->index && u->all)
			inventory_bind(inv, i, c->account, u->all);
	}
}
