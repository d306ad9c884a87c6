/* The task that keeps the configuration's rows and accepts changes. */
#ifndef DAEMON_STORE_H
#define DAEMON_STORE_H

#include "daemon/env.h"

struct store;

struct store *store_create(struct env *env);
void store_destroy(struct store *s);

#endif
