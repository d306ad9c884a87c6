/*
 * What to expect of jobs by those that came before: how long tasks run, how
 * large jobs are, and how much urgent work arrives.
 */
#ifndef SCHED_ESTIMATOR_H
#define SCHED_ESTIMATOR_H

#include "sched/job.h"

struct estimator;

struct estimator *estimator_create(void);
void estimator_destroy(struct estimator *e);
void estimator_record_run(struct estimator *e, const struct job *j,
			  uint32_t step, uint64_t took_ms);
void estimator_record_stopped(struct estimator *e, const struct job *j,
			      uint32_t step, uint64_t ran_ms);
struct duration_estimate estimator_duration(const struct estimator *e,
					    const struct job *j, uint32_t step);
uint64_t estimator_duration_ms(const struct estimator *e, const struct job *j,
			       uint32_t step);
struct duration_groups *estimator_durations(struct estimator *e);
void estimator_note_restored(struct estimator *e);
void estimator_record_urgent(struct estimator *e, const struct stage *st,
			     uint64_t now_ms);
uint32_t estimator_expected_urgent(const struct estimator *e, uint64_t now_ms,
				   uint32_t horizon_ms);
struct stage *estimator_urgent_sample(struct estimator *e, uint32_t k);
void estimator_record_job(struct estimator *e, const struct job *j);
double estimator_relative_size(const struct estimator *e, const struct job *j);

#endif
