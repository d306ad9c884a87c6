/* The task that runs quick checks on the upstreams of the domain. */
#ifndef DAEMON_CHECK_H
#define DAEMON_CHECK_H

#include "daemon/env.h"

struct checks;

struct checks *checks_create(struct env *env);
void checks_destroy(struct checks *c);

#endif
