/* The scheduler's view of the upstreams: resources, racks and health. */
#ifndef SCHED_FLEET_H
#define SCHED_FLEET_H

#include "sched/job.h"

enum upstream_state {
	UPSTREAM_READY,
	UPSTREAM_DRAINING,
	UPSTREAM_GONE, /* no longer listed */
};

/*
 * Length of an upstream's ID, with the end: the platform's store has keys of at
 * most 200 bytes.
 */
#define UPSTREAM_ID_BYTES 201

/* Length of the text of an upstream's address, with the end. */
#define UPSTREAM_ADDRESS_BYTES 32

/* A run that was blamed for the end of an upstream's incarnation. */
struct blamed_run {
	char task[TASK_NAME_BYTES];
	bool early;
	bool quick;
	bool only;     /* no other run there was unproven */
	bool presumed; /* the end of the incarnation is presumed, not known */
};

struct upstream {
	char id[UPSTREAM_ID_BYTES];
	const char *service; /* the texts of the quarks below */
	const char *domain;
	const char *kind;
	const char *rack;
	/* start time, identifies the incarnation; 0: unknown */
	uint64_t started_wall_ms;
	/* the newest that earlier leaders recorded runs for; 0: none */
	uint64_t recorded_started_wall_ms;
	/* address of the present incarnation, to be recorded; "": unknown */
	char address[UPSTREAM_ADDRESS_BYTES];
	/* service, kind, rack and domain as quarks; 0: not described yet */
	GQuark service_quark;
	GQuark kind_quark;
	GQuark rack_quark;
	GQuark domain_quark;
	GQuark host_quark; /* the machine, which outlives it; 0: unknown */
	/* when a later incarnation of its machine was listed; 0: none is */
	uint64_t superseded_ms;
	/* why its runs were kept last, a literal; NULL: it answers */
	const char *loss_why;
	bool incarnations_compared; /* of its machine with this one */
	enum upstream_state state;
	/*
	 * It has accepted our epoch, and its run lists were read since its end
	 * was last presumed; else it is asked for them.
	 */
	bool synced;
	uint64_t leaves_ms; /* earliest departure when draining; 0: unknown */
	struct resources resources;
	struct resources used;
	GPtrArray *tasks;	   /* active tasks */
	uint64_t avoid_until_ms;   /* end of the backoff after failed orders */
	uint64_t failing_until_ms; /* end of the backoff after failed runs */
	uint64_t heard_ms;	   /* newest answer; 0: none yet */
	bool silent;		   /* the last call was not answered */
	uint64_t silent_since_ms;  /* the first such call; 0: it answers */
	bool leaving;		   /* was draining when last listed */
	uint64_t incarnation_ended_ms; /* the last one; 0: none yet */
	bool end_timed;		       /* it was seen to become silent */
	bool ended_without_candidate;  /* no run there had just begun */
	uint32_t earlier_ends;	       /* unexplained ones in a row before it */
	/* that end does not speak against the machine */
	bool end_explained;
	GArray *blamed; /* struct blamed_run, for that end; NULL: none */
	bool doubted;	/* its failure domain seems cut off */
	bool evacuated; /* the operators allow no starts in its failure domain */
	uint64_t cold_until_ms; /* slow after a start until then; 0: not cold */
	/*
	 * Duration of a run here divided by that on a mean upstream, and the
	 * standard deviation of its logarithm; 0: speeds are not in use.
	 */
	double slowdown;
	double slowdown_log_sd;
	double slowdown_logged; /* as last logged; 0: never */
	/* start of the current slow period; 0: not slow */
	uint64_t slow_since_ms;
	uint64_t slow_until_ms;	       /* treated as slow until this time */
	uint32_t consecutive_failures; /* counts distinct jobs in a row */
	uint32_t consecutive_refusals; /* for lack of room */
	/* only compared, never dereferenced */
	const struct job *last_failed_job;
	void *session;	     /* owned by the code that calls the upstream */
	uint32_t pass_index; /* index in the current scheduling pass */
};

struct fleet {
	GPtrArray *list;     /* struct upstream, owned */
	GHashTable *by_id;   /* id to struct upstream */
	uint64_t pass_count; /* number of scheduling passes */
	uint64_t plan_count; /* number of preemption plans */
};

struct fleet *fleet_create(void);
void fleet_destroy(struct fleet *f);
struct upstream *fleet_find_upstream(struct fleet *f, const char *id);
struct upstream *fleet_add_upstream(struct fleet *f, const char *id);
void upstream_describe(struct upstream *u, const char *service,
		       const char *domain, const char *kind, const char *rack);
void fleet_occupy(struct upstream *u, struct task *t);
void fleet_release(struct task *t);
GPtrArray *upstream_take_retry_tasks(struct upstream *u);

uint32_t resources_fit_count(const struct resources *have,
			     const struct resources *need);
struct resources task_resources(const struct task *t);

/* Add n to r (sign 1) or subtract it (sign -1). */
static inline void resources_add(struct resources *r, const struct resources *n,
				 int sign)
{
	r->cpu_milli += sign * n->cpu_milli;
	r->memory_mb += sign * n->memory_mb;
	r->accelerators += sign * n->accelerators;
}

/* Report whether `need` fits into `have`. */
static inline bool resources_contain(const struct resources *have,
				     const struct resources *need)
{
	return have->cpu_milli >= need->cpu_milli &&
	       have->memory_mb >= need->memory_mb &&
	       have->accelerators >= need->accelerators;
}

double upstream_slowdown(const struct upstream *u);
bool upstream_has_label(const struct upstream *u, GQuark label);
bool upstream_is_overcommitted(const struct upstream *u);
bool upstream_is_cold(const struct upstream *u, uint64_t now_ms);
bool upstream_is_usable(const struct upstream *u, uint64_t now_ms);

void upstream_record_failure(struct upstream *u, const struct job *j,
			     uint64_t now_ms);
void upstream_record_success(struct upstream *u);
void upstream_avoid_for(struct upstream *u, uint32_t ms, uint64_t now_ms);
void upstream_record_full(struct upstream *u, uint64_t now_ms);
void upstream_clear_refusals(struct upstream *u);

#endif
