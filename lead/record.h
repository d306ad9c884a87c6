/* Our rows in the table: their keys and their values. */
#ifndef LEAD_RECORD_H
#define LEAD_RECORD_H

#include "sched/work.h"

/*
 * The leader's tables have one part, so that each of its writes can ask
 * that it still leads.  What other instances write has several: a slow
 * store then takes in jobs beside each other and beside the leader.
 */
#define LEADER_PART ""
/* Who leads; every instance follows it. */
#define OWNER_TABLE "lacewingspur-owner"
#define KEY_OWNER "owner"
/* Where each instance is found by its peers, by its name; the same table,
 * which every instance follows anyway. */
#define KEY_INSTANCE "instance/"
/* The state of each job, by its id; every instance follows it. */
#define STATE_TABLE "lacewingspur-states"
/* The runs of each job, by its id; a new leader reads it once. */
#define RUN_TABLE "lacewingspur-runs"
/* The jobs that were accepted, and wishes to cancel one; every instance
 * follows it. */
#define JOB_TABLE "lacewingspur-jobs"
#define KEY_JOB "job/"
#define KEY_CANCEL "cancel/"
/* What was submitted, by the job's id; the leader follows it. */
#define SPEC_TABLE "lacewingspur-specs"

#define JOB_PARTS 8
extern const char *const job_parts[]; /* ends in NULL */
const char *job_part(const char *id);

/* Who leads. */
struct owner_record {
	char instance[LABEL_BYTES]; /* empty: nobody any more */
	uint64_t incarnation;
	uint64_t epoch;
	uint64_t sequence;
};

char *owner_encode(const struct owner_record *o);
bool owner_decode(const char *text, struct owner_record *o);

/* What every instance knows of a job. */
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
			       uint64_t born_wall_ms);

char *run_encode(const struct job *j);
bool run_decode(struct job *j, const char *text, active_task_fn active,
		void *arg);

#endif
