/*
 * The failure domains in which the operators allow no start, and what keeps the
 * time that they allow until an order of theirs is obeyed.
 */
#ifndef SCHED_EVACUATION_H
#define SCHED_EVACUATION_H

#include "sched/fleet.h"

struct evacuation;

struct evacuation *evacuation_create(void);
void evacuation_destroy(struct evacuation *e);
bool evacuation_set(struct evacuation *e, const char *domain, bool evacuated);
bool evacuation_includes(const struct evacuation *e, const char *domain);
uint32_t evacuation_count(const struct evacuation *e);
void evacuation_mark(const struct evacuation *e, struct fleet *f, bool obeyed);

uint32_t evacuation_start_lease_ms(uint32_t bound_ms, uint32_t lease_ms);
uint32_t evacuation_age_max_ms(uint32_t bound_ms, uint32_t lease_ms);

#endif
