/*
 * The decision of what runs where: given the work, the fleet and the
 * guarantees, start what has its turn and stop what has to make room.
 */
#ifndef SCHED_DISPATCH_H
#define SCHED_DISPATCH_H

#include "sched/fleet.h"
#include "sched/estimator.h"

enum stop_cause {
	STOP_CANCELLED,
	STOP_JOB_FAILED,
	STOP_PREEMPTED,	       /* for work of a higher rank */
	STOP_GANG_BROKEN,      /* another member has ended */
	STOP_UPSTREAM_LEAVING, /* the upstream leaves before the task can end */
	STOP_ALREADY_DONE,     /* an earlier run is done after all */
};

enum action_tag { ACTION_START, ACTION_STOP };

struct action {
	enum action_tag tag;
	struct task *task;
	union {
		struct upstream *to;   /* ACTION_START */
		enum stop_cause cause; /* ACTION_STOP */
	} u;
};

struct account_guarantee {
	const char *account;
	int64_t accelerators;
};

struct dispatch_input {
	GPtrArray *jobs; /* struct job, those that are not over */
	struct fleet *fleet;
	const struct account_guarantee *guarantees;
	uint32_t guarantees_len;
	uint64_t now_ms;
	uint64_t wall_ms;
	bool stops_only; /* nothing can be recorded now, so start nothing */
	struct estimator *estimator;
	uint32_t checkpoint_ms; /* work between checkpoints */
	uint32_t stop_ms;	/* an upstream needs to stop a run */
	uint32_t reclaim_ms;	/* a covered job has begun after that */
	uint32_t lease_ms;	/* what was lost is known to be after that */
};

GArray *dispatch(const struct dispatch_input *v);
const char *stop_cause_name(enum stop_cause c);

#endif
