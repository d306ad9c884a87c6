/*
 * Counters by name and label, and histograms.  Each power of two is split
 * into 16 buckets, so that a quantile is at most 7 % too high.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "lib/counter.h"

#define SUB_BUCKET_BITS 4
#define SUB_BUCKET_COUNT (1u << SUB_BUCKET_BITS)

struct counters {
	GHashTable *values;	/* "name{label}" to uint64_t */
	GHashTable *histograms; /* name to struct histogram */
};

/* Return the bucket of a duration; the last bucket takes all longer ones. */
static uint32_t bucket_index(uint64_t us)
{
	uint32_t high_bit, i;

	if (us < SUB_BUCKET_COUNT)
		return us;
	high_bit = 63 - __builtin_clzll(us);
	i = (high_bit - SUB_BUCKET_BITS + 1) * SUB_BUCKET_COUNT +
	    ((us >> (high_bit - SUB_BUCKET_BITS)) & (SUB_BUCKET_COUNT - 1));
	return i < HISTOGRAM_BUCKET_COUNT ? i : HISTOGRAM_BUCKET_COUNT - 1;
}

/* Return the longest duration that falls into bucket i, in microseconds. */
static uint64_t bucket_max_us(uint32_t i)
{
	uint32_t shift;

	if (i < SUB_BUCKET_COUNT)
		return i;
	shift = i / SUB_BUCKET_COUNT - 1;
	return ((uint64_t)(SUB_BUCKET_COUNT + i % SUB_BUCKET_COUNT + 1)
		<< shift) -
	       1;
}

/* Add one duration of us microseconds to h. */
void histogram_add(struct histogram *h, uint64_t us)
{
	h->buckets[bucket_index(us)]++;
	h->count++;
	h->sum_us += us;
	if (us > h->max_us)
		h->max_us = us;
}

/* Return an upper bound of quantile q (0 to 1), in microseconds. */
uint64_t histogram_quantile_us(const struct histogram *h, double q)
{
	uint64_t rank = (uint64_t)((double)h->count * q);
	uint64_t seen = 0;

	for (uint32_t i = 0; i < HISTOGRAM_BUCKET_COUNT; i++) {
		seen += h->buckets[i];
		if (seen > rank)
			return MIN(bucket_max_us(i), h->max_us);
	}
	return h->max_us;
}

/* Create an empty set of counters. */
struct counters *counters_create(void)
{
	struct counters *c = g_new0(struct counters, 1);

	c->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->histograms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return c;
}

/* Free c with its counters and histograms. */
void counters_destroy(struct counters *c)
{
	if (!c)
		return;
	g_hash_table_destroy(c->values);
	g_hash_table_destroy(c->histograms);
	g_free(c);
}

/* Return the metric name with its label, if any; free with g_free. */
static char *format_key(const char *name, const char *label)
{
	if (!label)
		return g_strdup_printf("lacewing_%s", name);
	return g_strdup_printf("lacewing_%s{%s}", name, label);
}

/*
 * Add n to the counter of this name and label, created when missing.
 * label is `key="value"` pairs or NULL.
 */
void counter_add(struct counters *c, const char *name, const char *label,
		 uint64_t n)
{
	char *k = format_key(name, label);
	uint64_t *v = g_hash_table_lookup(c->values, k);

	if (!v) {
		v = g_new0(uint64_t, 1);
		g_hash_table_insert(c->values, g_strdup(k), v);
	}
	*v += n;
	g_free(k);
}

/* Set the value of this name, created when missing. */
void counter_set(struct counters *c, const char *name, uint64_t n)
{
	char *k = format_key(name, NULL);
	uint64_t *v = g_hash_table_lookup(c->values, k);

	if (!v) {
		v = g_new0(uint64_t, 1);
		g_hash_table_insert(c->values, g_strdup(k), v);
	}
	*v = n;
	g_free(k);
}

/* Add a duration of us microseconds to the histogram of this name. */
void latency_add(struct counters *c, const char *name, uint64_t us)
{
	struct histogram *h = g_hash_table_lookup(c->histograms, name);

	if (!h) {
		h = g_new0(struct histogram, 1);
		g_hash_table_insert(c->histograms, g_strdup(name), h);
	}
	histogram_add(h, us);
}

/* Append the quantiles, count and sum of h to s, one metric per line. */
static void append_histogram(GString *s, const char *name,
			     const struct histogram *h)
{
	static const double quantiles[] = {0.5, 0.99, 1.0};

	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		g_string_append_printf(
			s, "lacewing_%s_us{quantile=\"%g\"} %llu\n", name,
			quantiles[i],
			(unsigned long long)histogram_quantile_us(
				h, quantiles[i]));
	g_string_append_printf(s, "lacewing_%s_us_count %llu\n", name,
			       (unsigned long long)h->count);
	g_string_append_printf(s, "lacewing_%s_us_sum %llu\n", name,
			       (unsigned long long)h->sum_us);
}

/*
 * Return all counters and the summaries of all histograms as text, one
 * metric per line; free with g_free.
 */
char *counters_text(const struct counters *c)
{
	GString *s = g_string_new(NULL);
	GHashTableIter it;
	gpointer k, v;

	g_hash_table_iter_init(&it, c->values);
	while (g_hash_table_iter_next(&it, &k, &v))
		g_string_append_printf(s, "%s %llu\n", (char *)k,
				       (unsigned long long)*(uint64_t *)v);
	g_hash_table_iter_init(&it, c->histograms);
	while (g_hash_table_iter_next(&it, &k, &v))
		append_histogram(s, k, v);
	return g_string_free(s, FALSE);
}
