/* Keys and values of this project's rows in the platform's tables. */
#ifndef LEAD_RECORD_H
#define LEAD_RECORD_H

#include <netinet/in.h>

#include "lib/log.h"
#include "sched/job.h"

/*
 * The leader's tables have one part, so that each write can be conditional
 * on the leadership. The tables that other instances write are partitioned,
 * so that a slow store accepts jobs in parallel with each other and with
 * the leader's writes.
 */
#define LEADER_PART ""
/* The row that names the leader; every instance follows it. */
#define OWNER_TABLE "lacewingspur-owner"
#define KEY_OWNER "owner"
/*
 * Rows with the addresses of the instances, by instance name. They are in
 * the same table because every instance follows it.
 */
#define KEY_INSTANCE "instance/"
/* State of each job, by its ID; every instance follows this table. */
#define STATE_TABLE "lacewingspur-states"
/* Runs of each job, by its ID; a new leader reads this table once. */
#define RUN_TABLE "lacewingspur-runs"
/*
 * Accepted jobs and cancel requests; every instance follows this table. A
 * cancel request for an ID without a job keeps the ID from being accepted.
 */
#define JOB_TABLE "lacewingspur-jobs"
#define KEY_JOB "job/"
#define KEY_CANCEL "cancel/"
#define JOB_KEY_BYTES (JOB_ID_BYTES + 8) /* of either */
/* Submitted specs, by job ID; the leader follows this table. */
#define SPEC_TABLE "lacewingspur-specs"

#define JOB_PARTS 8
extern const char *const job_parts[]; /* ends in NULL */
const char *job_part(const char *id);

/* Value of the owner row, which each write of the leader replaces. */
struct owner_record {
	/* Name of the leader; empty if there is none. */
	char instance[INSTANCE_NAME_BYTES];
	uint64_t incarnation;
	/* Increases with each claim. */
	uint64_t epoch;
	/* Counts the writes of this epoch. */
	uint64_t sequence;
	/*
	 * For how long after this write leaders before this one may act at
	 * most, in milliseconds.
	 */
	uint64_t earlier_ms;
};

/*
 * Each encoder returns NULL, which it logs, if a text of the value is not valid
 * UTF-8. What it returns is released with free().
 */
char *owner_encode(const struct owner_record *o);
bool owner_decode(const char *text, struct owner_record *o);

/*
 * Memory of a job whose row does not state it, as that of an earlier version: a
 * batch of 39 tasks.
 */
#define JOB_BYTES_DEFAULT 16384

/* Job metadata known to every instance. */
struct job_record {
	const char *queue; /* held texts */
	const char *account;
	/* Memory that it takes in the leader, as estimated at acceptance. */
	uint64_t bytes;
};

/* Value of a cancel request. */
struct cancel_record {
	/* When it was last made, on the store's clock; 0: unknown. */
	uint64_t at_ms;
};

/* Value of a state row. */
struct state_record {
	enum job_state state;
	/* When a final state was reached, on the store's clock; 0: unknown. */
	uint64_t ended_ms;
};

char *job_encode(const struct job *j);
bool job_decode(const char *text, struct job_record *r);
void job_record_clear(struct job_record *r);
char *cancel_encode(const struct cancel_record *r);
void cancel_decode(const char *text, struct cancel_record *r);
char *state_encode(const struct job *j);
bool state_decode(const char *text, struct state_record *r);
bool state_expired(const struct state_record *r, uint64_t before_ms);
char *spec_encode(const struct job *j);
struct job *spec_decode(const char *id, const char *text);
bool spec_matches(const char *text, const struct job *j);

/* Where an earlier leader has recorded a run. */
struct run_place {
	const char *upstream;
	/* Start time (wall clock) that identifies the incarnation. */
	uint64_t started_wall_ms;
	/* Address of that incarnation; its port is 0 if it is unknown. */
	struct sockaddr_in address;
};

/* Called for each task that may still run, with its place. */
typedef void (*active_task_fn)(void *arg, struct task *t,
			       const struct run_place *at);

char *run_encode(const struct job *j);
bool run_decode(struct job *j, const char *text, active_task_fn active,
		void *arg);

#endif
