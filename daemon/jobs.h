/* The task that keeps accepted jobs as rows of the platform's table. */
#ifndef DAEMON_JOBS_H
#define DAEMON_JOBS_H

#include "daemon/env.h"

struct jobs;

extern const struct field job_fields[];

struct jobs *jobs_create(struct env *env);
void jobs_destroy(struct jobs *j);

bool gang_job_state_is_final(const char *state);
bool job_row_merge(json_t *value, const json_t *patch);

#endif
