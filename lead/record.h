/* Our rows in the table: their keys and their values. */
#ifndef LEAD_RECORD_H
#define LEAD_RECORD_H

#include "sched/work.h"

#define OUR_TABLE "lacewingspur"
#define KEY_OWNER "owner"
#define KEY_JOB "job/"
#define KEY_CANCEL "cancel/"
#define KEY_RUN "run/"

/* Who leads. */
struct owner_record {
	char instance[LABEL_BYTES]; /* empty: nobody any more */
	uint64_t incarnation;
	uint64_t epoch;
	uint64_t sequence;
};

char *owner_encode(const struct owner_record *o);
bool owner_decode(const char *text, struct owner_record *o);
char *job_encode(const struct job *j);
struct job *job_decode(const char *id, const char *text);

/* The life of an upstream that a run was given to, by its id. */
typedef uint64_t (*born_fn)(void *arg, const struct upstream *u);

/* Called for each task that may still run somewhere. */
typedef void (*active_fn)(void *arg, struct task *t, const char *upstream,
			  uint64_t born_wall_ms);

char *run_encode(const struct job *j, born_fn born, void *arg);
bool run_decode(struct job *j, const char *text, active_fn active, void *arg);
bool run_decode_state(const char *text, enum job_state *state);

#endif
