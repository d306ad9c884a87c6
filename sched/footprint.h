/* Estimates the memory that a job takes in the leader. */
#ifndef SCHED_FOOTPRINT_H
#define SCHED_FOOTPRINT_H

#include "sched/job.h"

uint32_t footprint_open_occurrences(const struct job *j);
uint64_t footprint_bytes(const struct job *j);

#endif
