/*
 * Fairness between accounts: which accounts want far more than their share of
 * the upstreams, so that in the order of a queue they come after the others.
 */
#ifndef SCHED_FAIRNESS_H
#define SCHED_FAIRNESS_H

#include "sched/fleet.h"

/* What each account wants, by rank. */
struct fairness;

struct fairness *fairness_measure(const GPtrArray *jobs,
				  const struct resources *mean_upstream,
				  double upstreams);
void fairness_destroy(struct fairness *f);
bool fairness_is_above(const struct fairness *f, const struct job *j);

#endif
