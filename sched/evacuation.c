/*
 * The operators evacuate a failure domain by a row of the store. The time
 * from the acknowledgement of the row until no start happens there is split in
 * two: the age that the leader's copy of the rows may have when it sends an
 * order, and the time for which an order on its way can still be carried out.
 */
#include "sched/evacuation.h"

/*
 * Part of the bound that is left unused, for rounding and for the time between
 * the look at the rows and the order.
 */
#define SLACK_MS 200
/*
 * Least lease of a start order, and least age of the copy at which starts are
 * withheld: lower ones would withhold starts from a service without faults, as
 * the copy is up to two polls of 500 ms old. A bound below 2,700 ms is
 * therefore kept only while the store answers without delay.
 */
#define START_LEASE_MIN_MS 1000
#define AGE_MIN_MS 1500

struct evacuation {
	GHashTable *domains; /* set of names */
};

/* Create an empty set. */
struct evacuation *evacuation_create(void)
{
	struct evacuation *e = g_new0(struct evacuation, 1);

	e->domains =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return e;
}

/* Free e; NULL is allowed. */
void evacuation_destroy(struct evacuation *e)
{
	if (!e)
		return;
	g_hash_table_destroy(e->domains);
	g_free(e);
}

/*
 * Note whether a domain is evacuated. Returns whether that has changed: a row
 * that is written again changes nothing.
 */
bool evacuation_set(struct evacuation *e, const char *domain, bool evacuated)
{
	if (evacuated)
		return g_hash_table_add(e->domains, g_strdup(domain));
	return g_hash_table_remove(e->domains, domain);
}

/* Report whether a domain is evacuated. */
bool evacuation_includes(const struct evacuation *e, const char *domain)
{
	return g_hash_table_contains(e->domains, domain);
}

/* Return the number of evacuated domains, whether they have upstreams or not. */
uint32_t evacuation_count(const struct evacuation *e)
{
	return g_hash_table_size(e->domains);
}

/*
 * Mark the upstreams in evacuated domains; none is marked if the rows are not
 * to be obeyed.
 */
void evacuation_mark(const struct evacuation *e, struct fleet *f, bool obeyed)
{
	for (guint i = 0; i < f->list->len; i++) {
		struct upstream *u = g_ptr_array_index(f->list, i);

		u->evacuated = obeyed && evacuation_includes(e, u->domain);
	}
}

/*
 * Return the lease to ask for with a start order, of at most lease_ms. An order
 * that is delayed on its way is refused after it, so it takes at most half of
 * the bound; a bound of 0 sets no limit.
 */
uint32_t evacuation_start_lease_ms(uint32_t bound_ms, uint32_t lease_ms)
{
	uint32_t left_ms = bound_ms > AGE_MIN_MS + SLACK_MS
				   ? bound_ms - AGE_MIN_MS - SLACK_MS
				   : 0;

	if (!bound_ms)
		return lease_ms;
	return MIN(lease_ms,
		   MAX(MIN(bound_ms / 2, left_ms), START_LEASE_MIN_MS));
}

/*
 * Return the maximum age of the copy of the operators' rows with which a start
 * may be ordered under a lease of lease_ms: a row that the copy lacks was
 * acknowledged less than this long ago, and the order is void before the bound.
 */
uint32_t evacuation_age_max_ms(uint32_t bound_ms, uint32_t lease_ms)
{
	uint32_t taken_ms =
		evacuation_start_lease_ms(bound_ms, lease_ms) + SLACK_MS;

	return MAX(bound_ms > taken_ms ? bound_ms - taken_ms : 0, AGE_MIN_MS);
}
