/* Counters and latency histograms, exported as metrics text. */
#ifndef LIB_COUNTER_H
#define LIB_COUNTER_H

#include <stddef.h>
#include <stdint.h>

#define HISTOGRAM_BUCKET_COUNT 512

struct histogram {
	uint64_t buckets[HISTOGRAM_BUCKET_COUNT];
	uint64_t count;
	uint64_t sum_us;
	uint64_t max_us;
};

void histogram_add(struct histogram *h, uint64_t us);
uint64_t histogram_quantile_us(const struct histogram *h, double q);

struct counters;

struct counters *counters_create(void);
void counters_destroy(struct counters *c);
void counter_add(struct counters *c, const char *name, const char *label,
		 uint64_t n);
void counter_set(struct counters *c, const char *name, uint64_t n);
void latency_add(struct counters *c, const char *name, uint64_t us);
char *counters_text(const struct counters *c);

#endif
