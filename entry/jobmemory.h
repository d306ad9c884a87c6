/*
 * Bounds the memory that accepted jobs take in the leader. Does no I/O; times
 * are of the local monotonic clock.
 */
#ifndef ENTRY_JOBMEMORY_H
#define ENTRY_JOBMEMORY_H

#include <stdbool.h>
#include <stdint.h>

struct job_memory;

/* What is known of the instances of the site. */
struct job_memory_limits {
	/* Memory of the weakest instance, in megabytes; 0: not known. */
	uint32_t least_mb;
	/* Number of instances that accept jobs. */
	uint32_t instances;
};

struct job_memory *job_memory_create(void);
void job_memory_destroy(struct job_memory *m);
uint64_t job_memory_bound_bytes(uint32_t least_mb);
bool job_memory_allows(struct job_memory *m, const struct job_memory_limits *l,
		       uint64_t accepted_bytes, uint64_t bytes,
		       uint64_t now_ms);
bool job_memory_has(const struct job_memory *m, const char *id);
void job_memory_add(struct job_memory *m, const char *id, uint64_t bytes,
		    uint64_t now_ms);
void job_memory_remove(struct job_memory *m, const char *id);

#endif
