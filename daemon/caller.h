/* The task that serves callers and operators over HTTP. */
#ifndef DAEMON_CALLER_H
#define DAEMON_CALLER_H

#include "daemon/env.h"

struct caller;

struct caller *caller_create(struct env *env);
void caller_destroy(struct caller *c);
void caller_note_iteration(struct caller *c);
uint32_t caller_count_open_requests(const struct caller *c);
void caller_stop_accepting(struct caller *c);

#endif
