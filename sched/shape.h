/*
 * The shape of free resources: how many of the free accelerators usual work can
 * still use, with the cores and memory that are left beside them.
 */
#ifndef SCHED_SHAPE_H
#define SCHED_SHAPE_H

#include "sched/fleet.h"

/* Number of kinds of tasks that are told apart, the most usual ones. */
#define SHAPES_MAX 8

/* A usual kind of task. */
struct shape {
	struct resources need;
	double weight; /* time of upstreams that it takes */
};

/* The usual work of a site. */
struct shape_mix {
	struct shape shapes[SHAPES_MAX];
	uint32_t len;
	bool uneven; /* other resources than accelerators may run out first */
};

void shape_mix_add(struct shape_mix *m, const struct resources *need,
		   double weight);
void shape_mix_finish(struct shape_mix *m, const struct resources *upstream);
int64_t shape_usable(const struct shape_mix *m, const struct resources *have);

#endif
