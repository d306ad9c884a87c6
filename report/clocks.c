/*
 * Aligns the clocks. Within a process the steady clock orders records, so that
 * a wall clock that is set does no harm. Between instances, the first record
 * of each configuration version shows how far their wall clocks are apart,
 * because all instances read a version at nearly the same time.
 */
#include <stdlib.h>

#include "report/clocks.h"
#include "report/doubles.h"

/* Differences below this are delays of the store's feed. */
#define OFFSET_MIN_MS 250
/* Shared versions that an offset must be based on. */
#define SHARED_VERSIONS_MIN 2
/* A change between the two clocks of a process that shows a clock being set. */
#define STEP_MIN_MS 250

/* The records of one process, from its start to its end. */
struct process_clock {
	GArray *differences; /* wall minus steady clock, double */
	GArray *records;     /* indexes, guint */
	GQuark instance;
};

/* Sort a and return its median; a must not be empty. */
static double median(GArray *a)
{
	doubles_sort(a);
	return doubles_median(a);
}

static void process_clock_free(void *p)
{
	struct process_clock *c = p;

	g_array_unref(c->differences);
	g_array_unref(c->records);
	g_free(c);
}

static struct process_clock *process_clock_create(GQuark instance)
{
	struct process_clock *c = g_new0(struct process_clock, 1);

	c->instance = instance;
	c->differences = g_array_new(FALSE, FALSE, sizeof(double));
	c->records = g_array_new(FALSE, FALSE, sizeof(guint));
	return c;
}

/* Return the note on an instance, added if it is missing. */
static struct clock_note *note_for(GArray *notes, GQuark instance)
{
	struct clock_note n = {.instance = instance};

	for (guint i = 0; i < notes->len; i++)
		if (g_array_index(notes, struct clock_note, i).instance ==
		    instance)
			return &g_array_index(notes, struct clock_note, i);
	g_array_append_val(notes, n);
	return &g_array_index(notes, struct clock_note, notes->len - 1);
}

/* Date the records of a process by its steady clock. */
static void align_process(struct record_set *s, struct process_clock *c,
			  GArray *notes)
{
	struct clock_note *n = note_for(notes, c->instance);
	double base, before = 0;

	for (guint i = 0; i < c->differences->len; i++) {
		double d = g_array_index(c->differences, double, i);

		n->steps += i && llabs((int64_t)(d - before)) > STEP_MIN_MS;
		before = d;
	}
	base = median(c->differences);
	for (guint i = 0; i < c->records->len; i++) {
		struct record *r =
			&g_array_index(s->records, struct record,
				       g_array_index(c->records, guint, i));

		r->time_ms = r->mono_ms + (int64_t)base;
	}
}

/* Collect the records of each process, which s has in order of time. */
static void align_processes(struct record_set *s, GArray *notes)
{
	GHashTable *current = g_hash_table_new(NULL, NULL);
	GPtrArray *all = g_ptr_array_new_with_free_func(process_clock_free);

	for (guint i = 0; i < s->records->len; i++) {
		const struct record *r =
			&g_array_index(s->records, struct record, i);
		gpointer key = GUINT_TO_POINTER(r->instance);
		struct process_clock *c = g_hash_table_lookup(current, key);
		double d = r->time_ms - r->mono_ms;

		if (!r->mono_ms)
			continue;
		if (!c || r->kind == EVENT_STARTED) {
			c = process_clock_create(r->instance);
			g_hash_table_insert(current, key, c);
			g_ptr_array_add(all, c);
		}
		g_array_append_val(c->differences, d);
		g_array_append_val(c->records, i);
	}
	for (guint i = 0; i < all->len; i++)
		align_process(s, g_ptr_array_index(all, i), notes);
	g_hash_table_destroy(current);
	g_ptr_array_free(all, TRUE);
}

/* When an instance first had a configuration version. */
struct sighting {
	int64_t version;
	GQuark instance;
	double time_ms;
};

static gint compare_sightings(gconstpointer a, gconstpointer b)
{
	const struct sighting *x = a, *y = b;

	if (x->version != y->version)
		return x->version < y->version ? -1 : 1;
	if (x->instance != y->instance)
		return x->instance < y->instance ? -1 : 1;
	return x->time_ms < y->time_ms ? -1 : x->time_ms > y->time_ms;
}

/* List when each instance first had each version, sorted by version. */
static GArray *list_sightings(const struct record_set *s)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct sighting));
	guint kept = 0;

	for (guint i = 0; i < s->records->len; i++) {
		const struct record *r =
			&g_array_index(s->records, struct record, i);
		struct sighting g = {r->value, r->instance, r->time_ms};

		if (r->kind == EVENT_POLICY)
			g_array_append_val(all, g);
	}
	g_array_sort(all, compare_sightings);
	for (guint i = 0; i < all->len; i++) {
		struct sighting g = g_array_index(all, struct sighting, i);
		const struct sighting *last =
			kept ? &g_array_index(all, struct sighting, kept - 1)
			     : NULL;

		if (last && last->version == g.version &&
		    last->instance == g.instance)
			continue;
		g_array_index(all, struct sighting, kept++) = g;
	}
	g_array_set_size(all, kept);
	return all;
}

/* Set the time of each sighting relative to the median of its version. */
static void subtract_medians(GArray *sightings)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));

	for (guint from = 0, to; from < sightings->len; from = to) {
		double mid;

		g_array_set_size(times, 0);
		for (to = from; to < sightings->len; to++) {
			const struct sighting *g =
				&g_array_index(sightings, struct sighting, to);

			if (g->version !=
			    g_array_index(sightings, struct sighting, from)
				    .version)
				break;
			g_array_append_val(times, g->time_ms);
		}
		mid = median(times);
		for (guint i = from; i < to; i++)
			g_array_index(sightings, struct sighting, i).time_ms -=
				mid;
	}
	g_array_unref(times);
}

/* Estimate how far the clock of each instance is ahead of the others. */
static void estimate_offsets(const struct record_set *s, GArray *notes)
{
	GArray *sightings = list_sightings(s);
	GArray *differences = g_array_new(FALSE, FALSE, sizeof(double));

	subtract_medians(sightings);
	for (guint i = 0; i < notes->len; i++) {
		struct clock_note *n =
			&g_array_index(notes, struct clock_note, i);

		g_array_set_size(differences, 0);
		for (guint k = 0; k < sightings->len; k++) {
			const struct sighting *g =
				&g_array_index(sightings, struct sighting, k);

			if (g->instance == n->instance)
				g_array_append_val(differences, g->time_ms);
		}
		if (differences->len < SHARED_VERSIONS_MIN)
			continue;
		n->offset_ms = (int64_t)median(differences);
		if (llabs(n->offset_ms) < OFFSET_MIN_MS)
			n->offset_ms = 0;
	}
	g_array_unref(differences);
	g_array_unref(sightings);
}

/* Correct the records of an instance whose clock is ahead. */
static void subtract_offset(struct record_set *s, const struct clock_note *n)
{
	for (guint i = 0; n->offset_ms && i < s->records->len; i++) {
		struct record *r = &g_array_index(s->records, struct record, i);

		if (r->instance == n->instance)
			r->time_ms -= n->offset_ms;
	}
}

/*
 * Put all records on one time line and sort them. Returns an array of struct
 * clock_note, one an instance, to be freed with g_array_unref.
 */
GArray *clocks_align(struct record_set *s)
{
	GArray *notes = g_array_new(FALSE, FALSE, sizeof(struct clock_note));

	record_set_end_input(s);
	record_set_sort(s);
	align_processes(s, notes);
	estimate_offsets(s, notes);
	for (guint i = 0; i < notes->len; i++)
		subtract_offset(s, &g_array_index(notes, struct clock_note, i));
	record_set_sort(s);
	return notes;
}
