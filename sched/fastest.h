/* The order in which upstreams of different speed are chosen for a stage. */
#ifndef SCHED_FASTEST_H
#define SCHED_FASTEST_H

#include "sched/pack.h"

/* Classes of preference, class 0 first. */
#define FASTEST_BUCKETS 16
#define FASTEST_CLASSES (2 * FASTEST_BUCKETS)

uint32_t fastest_class(const struct pack *p, uint32_t index);
void fastest_sort(struct pack_slot *slots, struct pack_slot *scratch,
		  uint32_t n);
int fastest_find_rack(const struct pack *p, uint32_t want,
		      const struct resources *available);
double fastest_late_loss(const struct pack *p, uint32_t index,
			 uint32_t delay_ms);
double fastest_chosen_late_loss(const struct pack *p, uint32_t delay_ms);

#endif
