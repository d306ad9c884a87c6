/*
 * Estimates per queue: how long its tasks run, and how reliable the estimates
 * submitted with its jobs are.
 */
#ifndef SCHED_ESTIMATOR_H
#define SCHED_ESTIMATOR_H

#include "sched/job.h"

struct estimator;

struct estimator *estimator_create(void);
void estimator_destroy(struct estimator *e);
void estimator_record_run(struct estimator *e, const struct job *j,
			  uint32_t step, uint64_t took_ms);
uint64_t estimator_duration_ms(const struct estimator *e, const struct job *j,
			       uint32_t step);
void estimator_record_urgent(struct estimator *e, const struct stage *st,
			     uint64_t now_ms);
uint32_t estimator_expected_urgent(const struct estimator *e, uint64_t now_ms,
				   uint32_t horizon_ms);
struct stage *estimator_urgent_sample(struct estimator *e, uint32_t k);
void estimator_record_job(struct estimator *e, const struct job *j);
double estimator_relative_size(const struct estimator *e, const struct job *j);

#endif
