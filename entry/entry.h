/*
 * The entry task serves the callers of the joint platform: it accepts jobs,
 * reports their states and cancels them.
 */
#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include "config/policy.h"
#include "entry/jobmemory.h"
#include "lead/replica.h"
#include "lib/counter.h"
#include "platform/settings.h"

struct entry;

struct entry_env {
	struct loop *loop;
	struct rows *rows;
	struct counters *counters;
	struct intake *intake; /* counts callers' connections, or NULL */
	const struct joint_settings *settings;
	struct replica *policies; /* the operators' configuration */
	struct replica *jobs;	  /* accepted jobs and cancel requests */
	struct replica *states;	  /* the state of every job */
	/*
	 * Returns what is known of the memory of the instances; NULL: the
	 * memory of jobs is not bounded.
	 */
	struct job_memory_limits (*memory_limits)(void *arg);
	void *arg;
};

struct entry *entry_create(const struct entry_env *e);
void entry_destroy(struct entry *n);
void entry_apply_job_row(struct entry *n, const char *key, const char *value);
void entry_apply_state_row(struct entry *n, const char *id, const char *value);
void entry_apply_admission_row(struct entry *n, const char *value);
void entry_set_policy(struct entry *n, const struct policy *p);
void entry_note_stall(struct entry *n, uint64_t ms);
void entry_note_policy_read(struct entry *n);
uint64_t entry_job_memory_bytes(const struct entry *n);
uint64_t entry_job_memory_bound_bytes(const struct entry *n);
uint64_t entry_store_age_ms(const struct entry *n);
void entry_drain(struct entry *n);
void entry_stop_accepting(struct entry *n);
uint32_t entry_count_open_requests(const struct entry *n);

#endif
