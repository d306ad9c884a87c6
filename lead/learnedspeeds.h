/* The learned speeds of machines, as a list of struct learned. */
#ifndef LEAD_LEARNEDSPEEDS_H
#define LEAD_LEARNEDSPEEDS_H

#include "lead/learned.h"
#include "sched/speed.h"

struct learned_list learned_speeds(struct speed_table *s);

#endif
