/* Cache of the state of every job, built from the rows of the store. */
#ifndef ENTRY_JOBCACHE_H
#define ENTRY_JOBCACHE_H

#include "lead/record.h"

struct job_cache;

struct cached_job {
	struct job_record record; /* its queue is NULL if there is no job */
	enum job_state state;
	bool cancelled; /* a request to cancel it is recorded */
};

struct job_cache *job_cache_create(void);
void job_cache_destroy(struct job_cache *c);
void job_cache_apply_job_row(struct job_cache *c, const char *key,
			     const char *value);
void job_cache_apply_state_row(struct job_cache *c, const char *id,
			       const char *value);
const struct cached_job *job_cache_find_accepted(const struct job_cache *c,
						 const char *id);
const struct cached_job *job_cache_find(const struct job_cache *c,
					const char *id);
uint64_t job_cache_live_bytes(const struct job_cache *c);
uint32_t job_cache_count_refused_ids(const struct job_cache *c);
uint64_t job_cache_count_queued(const struct job_cache *c, const char *queue);

#endif
