/* The task that decides for the domain: leases, gangs, reclaim. */
#ifndef DAEMON_DECIDER_H
#define DAEMON_DECIDER_H

#include "daemon/env.h"

struct decider;

struct decider *decider_create(struct env *env);
void decider_destroy(struct decider *d);

#endif
