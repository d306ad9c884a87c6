/*
 * What became of each job: its time from the first request to the recorded end,
 * split by cause.
 */
#ifndef REPORT_HISTORY_H
#define REPORT_HISTORY_H

#include "report/record.h"

/* Where a job's time went. */
enum cause {
	CAUSE_SUBMITTING, /* not accepted yet */
	CAUSE_UNKNOWN,	  /* accepted, not known to the leader */
	CAUSE_RESOURCES,  /* waits for resources */
	CAUSE_STOPS,	  /* waits for runs that are stopped for it */
	CAUSE_ORDER,	  /* a start order is on its way */
	CAUSE_RUNNING,
	CAUSE_RUNNING_SLOW, /* on an upstream known to be slow */
	CAUSE_FAILED,	    /* runs that failed, and the wait after them */
	CAUSE_BROKEN,	    /* the same for each other way to end */
	CAUSE_STOPPED,
	CAUSE_LAPSED,
	CAUSE_LOST,
	CAUSE_NOT_STARTED,
	CAUSE_NOT_RECORDED, /* all tasks are done, the end is not recorded */
	CAUSE_STORE_AWAY,   /* the leader had no answers of the store */
	CAUSE_NO_LEADER,
	CAUSES_COUNT,
};

/* How a job ended for its caller. */
enum outcome {
	OUTCOME_IN_TIME,
	OUTCOME_LATE,
	OUTCOME_FAILED,
	OUTCOME_OPEN, /* accepted and not ended when the records end */
	OUTCOME_CANCELLED,
	OUTCOME_REFUSED, /* never accepted */
	OUTCOME_ENDLESS, /* it has no end to wait for */
	OUTCOMES_COUNT,
};

struct span {
	int64_t from_ms;
	int64_t to_ms;
	enum cause cause;
};

struct job_history {
	GQuark id;
	const struct job_facts *facts; /* NULL: no job_known record */
	int64_t first_ms;	       /* first request, or first mention */
	int64_t ended_ms;	       /* recorded end, or last record */
	int64_t objective_ms;
	enum outcome outcome;
	bool accepted;
	bool submission_missing; /* no record of its submission */
	GArray *spans;		 /* struct span, without gaps */
	int64_t by_cause_ms[CAUSES_COUNT];
};

/* Work that ended without use, by how it ended and what took its place. */
struct waste {
	GQuark queue;
	GQuark cause;
	GQuark for_queue; /* 0: none */
	uint32_t runs;
	uint32_t with_checkpoints; /* of these */
	double core_seconds;
};

struct history {
	GPtrArray *jobs; /* struct job_history, by first_ms */
	GArray *outages; /* struct span: store away, no leader */
	GArray *wastes;	 /* struct waste, the largest first */
	int64_t first_ms;
	int64_t last_ms;
};

struct history *history_create(const struct record_set *s);
void history_destroy(struct history *h);
bool job_history_missed(const struct job_history *j);
const char *cause_name(enum cause c);
const char *outcome_name(enum outcome o);

#endif
