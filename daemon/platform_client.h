/* The client of the platform's table and list of members. */
#ifndef DAEMON_PLATFORM_CLIENT_H
#define DAEMON_PLATFORM_CLIENT_H

#include "daemon/env.h"

struct platform_client;

struct platform_client *platform_client_create(struct env *env);
void platform_client_destroy(struct platform_client *t);

#endif
