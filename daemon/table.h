/* The task that talks to the platform: table and list of members. */
#ifndef DAEMON_TABLE_H
#define DAEMON_TABLE_H

#include "daemon/env.h"

struct table;

struct table *table_create(struct env *env);
void table_destroy(struct table *t);

#endif
