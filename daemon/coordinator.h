/* The task that elects the domain's leader and schedules its jobs. */
#ifndef DAEMON_COORDINATOR_H
#define DAEMON_COORDINATOR_H

#include "daemon/env.h"

struct coordinator;

struct coordinator *coordinator_create(struct env *env);
void coordinator_destroy(struct coordinator *d);

#endif
