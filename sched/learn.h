/*
 * What has been seen of each queue: how long its tasks really run, and
 * how much to trust the estimates that come with its jobs.
 */
#ifndef SCHED_LEARN_H
#define SCHED_LEARN_H

#include "sched/work.h"

struct learn;

struct learn *learn_create(void);
void learn_destroy(struct learn *l);
void learn_run(struct learn *l, const char *queue, uint32_t estimate_ms,
	       uint64_t took_ms);
uint64_t learn_duration_ms(const struct learn *l, const struct job *j,
			   uint32_t step);
void learn_urgent(struct learn *l, const struct stage *st, uint64_t now_ms);
uint32_t learn_urgent_expected(const struct learn *l, uint64_t now_ms,
			       uint32_t horizon_ms);
struct stage *learn_urgent_like(struct learn *l, uint32_t k);
void learn_job(struct learn *l, const struct job *j);
double learn_size(const struct learn *l, const struct job *j);

#endif
