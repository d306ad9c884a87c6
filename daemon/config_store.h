/* The task that keeps the configuration's rows and commits changes. */
#ifndef DAEMON_CONFIG_STORE_H
#define DAEMON_CONFIG_STORE_H

#include "daemon/env.h"

struct config_store;

struct config_store *config_store_create(struct env *env);
void config_store_destroy(struct config_store *s);

#endif
