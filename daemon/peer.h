/* The peer task: links to other instances and their state. */
#ifndef DAEMON_PEER_H
#define DAEMON_PEER_H

#include "daemon/env.h"

struct peers;

struct peers *peers_create(struct env *env);
void peers_destroy(struct peers *p);

#endif
