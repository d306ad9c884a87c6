/*
 * Admission of new jobs while capacity is short: which jobs could not end in
 * time, nor late with any value, and are therefore refused. Decided from what
 * is waiting; without a shortage there is no decision and nothing is refused.
 */
#ifndef SCHED_ADMISSION_H
#define SCHED_ADMISSION_H

#include "sched/estimator.h"
#include "sched/fleet.h"

/* Accounts above their share that a decision names, the largest first. */
#define ADMISSION_ACCOUNTS_MAX 32

/* What is known of a queue whose new jobs may be refused. */
struct admission_queue {
	const char *name; /* a held text */
	/* Expected wait of a new job: of an account above its share, others. */
	uint64_t wait_ms;
	uint64_t fair_wait_ms;
};

/* A decision. */
struct admission {
	GArray *queues;	     /* struct admission_queue; empty: no shortage */
	GPtrArray *accounts; /* names of the accounts above their share */
};

struct admission_input {
	const GPtrArray *jobs; /* struct job */
	const struct fleet *fleet;
	const struct estimator *estimator;
	uint64_t now_ms;
	uint64_t wall_ms;
};

/* What a submission tells about a new job. */
struct admission_request {
	const char *queue;
	const char *account;
	uint64_t path_ms;      /* its longest chain of work */
	uint64_t objective_ms; /* from submission */
	bool covered; /* urgent, and within the guarantee of its account */
};

struct admission *admission_create(void);
void admission_destroy(struct admission *a);
struct admission *admission_decide(const struct admission_input *in);
bool admission_is_equal(const struct admission *a, const struct admission *b);
uint64_t admission_retry_after_ms(const struct admission *a,
				  const struct admission_request *r);
uint64_t admission_path_ms(const struct job *j);

#endif
