/*
 * The leader's model: the jobs, the fleet, and the placement of runs. It
 * applies upstream lists and order answers, and does no I/O, so that
 * recovery can be tested without a network.
 */
#ifndef LEAD_MODEL_H
#define LEAD_MODEL_H

#include "config/policy.h"
#include "platform/orders.h"
#include "sched/dispatch.h"
#include "sched/estimator.h"
#include "sched/speed.h"
#include "sched/suspect.h"

struct model {
	/* Maps job IDs to struct job, which the table owns. */
	GHashTable *jobs;
	/* The same jobs as a list. A job stays until its rows are removed. */
	GPtrArray *job_list;
	/* index in job_list at which the next write begins */
	guint write_from;
	/* Local time at which the last lease of earlier leaders ends. */
	uint64_t earlier_leases_end_ms;
	/* When a silent upstream answered again last; 0: none has. */
	uint64_t regained_ms;
	struct fleet *fleet;
	struct estimator *estimator;
	struct speed_table *speeds;
	bool speeds_were_used; /* as last logged */
};

/* A run that its upstream must stop, as it is no task's current run there. */
struct stray_run {
	char task[TASK_NAME_BYTES];
	uint32_t run;
};

struct model *model_create(void);
void model_destroy(struct model *m);
void model_add_job(struct model *m, struct job *j);
void model_remove_job(struct model *m, const char *id);
struct job *model_find_job(const struct model *m, const char *id);
struct task *model_find_task(const struct model *m, const char *name);
void model_apply_queue_policy(struct job *j, const struct policy *p);
void model_apply_policy(struct model *m, const struct policy *p);
GPtrArray *model_choose_dirty_jobs(struct model *m, uint32_t max, bool *all);
void model_update_job_states(struct model *m, uint64_t store_now_ms);

uint64_t model_apply_lists(struct model *m, struct upstream *u,
			   const struct order_answer *a, uint64_t sent_ms,
			   uint64_t now_ms, uint64_t seen, GArray *strays);
bool model_note_incarnation(struct model *m, struct upstream *u,
			    uint64_t started_wall_ms, uint64_t now_ms,
			    const struct order_answer *lists);
void model_note_machine(struct model *m, struct upstream *u,
			const char *machine, uint64_t now_ms);
bool model_may_run_after_restart(const struct model *m,
				 const struct upstream *u, uint64_t now_ms);
bool model_earlier_leader_may_start(const struct model *m,
				    const struct upstream *u, uint64_t now_ms);
bool model_machine_has_restarted(const struct model *m,
				 const struct upstream *u);
void model_inherit_run(struct model *m, struct task *t, const char *upstream,
		       uint64_t started_wall_ms, uint64_t now_ms);
void model_lose_upstream(struct model *m, struct upstream *u, uint64_t now_ms,
			 enum incarnation_end end, const char *why);

#endif
