/* Keys and values of this project's rows in the platform's tables. */
#ifndef LEAD_RECORD_H
#define LEAD_RECORD_H

#include "sched/job.h"

/*
 * The leader's tables have one part, so that each write can be conditional
 * on the leadership. The tables that other instances write are partitioned,
 * so that a slow store accepts jobs in parallel with each other and with
 * the leader's writes.
 */
#define LEADER_PART ""
/* The leader; every instance follows this row. */
#define OWNER_TABLE "lacewingspur-owner"
#define KEY_OWNER "owner"
/*
 * Addresses of instances by name, in the same table because every instance
 * follows it.
 */
#define KEY_INSTANCE "instance/"
/* The state of each job, by its id; every instance follows it. */
#define STATE_TABLE "lacewingspur-states"
/* The runs of each job, by its id; a new leader reads it once. */
#define RUN_TABLE "lacewingspur-runs"
/* Accepted jobs and cancel requests; every instance follows them. */
#define JOB_TABLE "lacewingspur-jobs"
#define KEY_JOB "job/"
#define KEY_CANCEL "cancel/"
/* Submitted specs by job ID; the leader follows them. */
#define SPEC_TABLE "lacewingspur-specs"

#define JOB_PARTS 8
extern const char *const job_parts[]; /* ends in NULL */
const char *job_part(const char *id);

/* Value of the owner row. */
struct owner_record {
	char instance[LABEL_BYTES]; /* empty: no leader */
	uint64_t incarnation;
	uint64_t epoch;
	uint64_t sequence;
};

char *owner_encode(const struct owner_record *o);
bool owner_decode(const char *text, struct owner_record *o);

/* Job metadata known to every instance. */
struct job_record {
	char queue[LABEL_BYTES];
	char account[LABEL_BYTES];
};

struct state_record {
	enum job_state state;
	uint64_t ended_ms; /* on the store's clock */
};

char *job_encode(const struct job *j);
bool job_decode(const char *text, struct job_record *r);
char *state_encode(const struct job *j);
bool state_decode(const char *text, struct state_record *r);
bool state_expired(const struct state_record *r, uint64_t before_ms);
char *spec_encode(const struct job *j);
struct job *spec_decode(const char *id, const char *text);

/* Called for each task that may still run somewhere. */
typedef void (*active_task_fn)(void *arg, struct task *t, const char *upstream,
			       uint64_t started_wall_ms);

char *run_encode(const struct job *j);
bool run_decode(struct job *j, const char *text, active_task_fn active,
		void *arg);

#endif
