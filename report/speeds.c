/*
 * Clients measure a job by what it takes on mean upstreams, so that the runs on
 * slow ones must not make its objective longer. The last speed that was logged
 * of an upstream is used for all of its runs: the first ones were not known to
 * be slow when they ended.
 */
#include "report/speeds.h"

#define PERMILLE 1000.0

/* List the newest logged slowdown of each upstream, in thousandths, by quark. */
GHashTable *speeds_collect(const struct record_set *s)
{
	GHashTable *speeds = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < s->records->len; i++) {
		const struct record *r =
			&g_array_index(s->records, struct record, i);

		if (r->kind == EVENT_UPSTREAM_SPEED && r->value > 0)
			g_hash_table_insert(speeds,
					    GUINT_TO_POINTER(r->upstream),
					    GINT_TO_POINTER(r->value));
	}
	return speeds;
}

/*
 * Return the duration of a run on the upstream divided by that on a mean one; 1
 * if no speed of it was logged.
 */
double speeds_slowdown(GHashTable *speeds, GQuark upstream)
{
	int32_t n = GPOINTER_TO_INT(
		g_hash_table_lookup(speeds, GUINT_TO_POINTER(upstream)));

	return n ? n / PERMILLE : 1;
}
