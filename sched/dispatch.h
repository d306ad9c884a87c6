/*
 * The scheduling pass: given the jobs, the fleet and the guarantees, decide
 * which tasks start where and which runs are preempted.
 */
#ifndef SCHED_DISPATCH_H
#define SCHED_DISPATCH_H

#include "sched/fleet.h"
#include "sched/estimator.h"
#include "sched/speed.h"

enum stop_cause {
	STOP_CANCELLED,
	STOP_JOB_FAILED,
	STOP_PREEMPTED,	       /* for a stage of higher rank */
	STOP_GANG_BROKEN,      /* another member of the gang has ended */
	STOP_UPSTREAM_LEAVING, /* the upstream leaves before the task can end */
	STOP_UPSTREAM_SLOW,    /* the gang ends in time elsewhere only */
	STOP_ALREADY_DONE,     /* an earlier run has completed the task */
};

enum action_tag { ACTION_START, ACTION_STOP, ACTION_WAIT };

struct action {
	enum action_tag tag;
	struct task *task; /* ACTION_WAIT: the first of the stage */
	union {
		struct upstream *to; /* ACTION_START */
		struct {
			enum stop_cause cause;
			const struct job *preemptor; /* or NULL */
		} stop;
		enum wait_reason wait; /* ACTION_WAIT: it has changed */
	} u;
};

/* The accelerators that an account's urgent jobs are guaranteed. */
struct account_guarantee {
	const char *account;
	int64_t accelerators;
};

struct dispatch_input {
	GPtrArray *jobs; /* struct job, those that have not ended */
	struct fleet *fleet;
	const struct account_guarantee *guarantees;
	uint32_t guarantees_len;
	uint64_t now_ms;
	uint64_t wall_ms;
	bool stops_only; /* starts cannot be recorded at present */
	struct estimator *estimator;
	struct speed_table *speeds; /* NULL: not used */
	uint32_t checkpoint_ms;	    /* checkpoint interval */
	uint32_t stop_ms;	    /* time an upstream takes to stop a run */
	/* maximum time until a guaranteed job has started */
	uint32_t reclaim_ms;
	uint32_t lease_ms; /* a lost run is known to have ended after it */
};

GArray *dispatch(const struct dispatch_input *input);
const char *stop_cause_name(enum stop_cause c);

#endif
