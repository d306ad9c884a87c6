/* The leader's model and how upstream lists change it. */
#include <string.h>

#include "lead/model.h"
#include "lib/log.h"
#include "sched/progress.h"

/* A list of ended runs with this many entries may be truncated. */
#define ENDED_PAGE_COUNT 500

static void job_free(void *p)
{
	struct job *j = p;

	for (uint32_t i = 0; i < j->stages_len; i++)
		for (uint32_t k = 0; k < j->stages[i].step->count; k++)
			if (j->stages[i].tasks[k].at)
				fleet_release(&j->stages[i].tasks[k]);
	job_destroy(j);
}

/* Create a model without jobs and upstreams. */
struct model *model_create(void)
{
	struct model *m = g_new0(struct model, 1);

	m->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	m->job_list = g_ptr_array_new();
	m->fleet = fleet_create();
	m->estimator = estimator_create();
	m->speeds = speed_create(SPEED_SPREAD_MIN_DEFAULT);
	return m;
}

/* Free m with its jobs and upstreams. */
void model_destroy(struct model *m)
{
	if (!m)
		return;
	g_ptr_array_free(m->job_list, TRUE);
	g_hash_table_destroy(m->jobs);
	fleet_destroy(m->fleet);
	estimator_destroy(m->estimator);
	speed_destroy(m->speeds);
	g_free(m);
}

/* Add j and take ownership of it; its stages must have been created. */
void model_add_job(struct model *m, struct job *j)
{
	g_hash_table_insert(m->jobs, j->id, j);
	estimator_record_job(m->estimator, j);
	g_ptr_array_add(m->job_list, j);
}

/* Remove a job from the model and free it, if it is known. */
void model_remove_job(struct model *m, const char *id)
{
	struct job *j = model_find_job(m, id);

	if (!j)
		return;
	g_ptr_array_remove(m->job_list, j);
	g_hash_table_remove(m->jobs, id);
}

/* Find a job by its id; NULL when there is none. */
struct job *model_find_job(const struct model *m, const char *id)
{
	return g_hash_table_lookup(m->jobs, id);
}

/* Find a task by its name; NULL when there is none. */
struct task *model_find_task(const struct model *m, const char *name)
{
	char id[JOB_ID_BYTES];
	uint32_t occurrence, step, index;
	struct job *j;

	if (!task_parse_name(name, id, &occurrence, &step, &index))
		return NULL;
	j = model_find_job(m, id);
	return j ? job_find_task(j, occurrence, step, index) : NULL;
}

/* Apply the settings of j's queue. */
void model_apply_queue_policy(struct job *j, const struct policy *p)
{
	const struct queue *q = policy_find_queue(p, j->queue);

	/* A job outlives its queue and keeps the queue's last settings. */
	if (q)
		queue_configure_job(q, j);
}

/* Apply the policy to every job. */
void model_apply_policy(struct model *m, const struct policy *p)
{
	for (guint i = 0; p && i < m->job_list->len; i++)
		model_apply_queue_policy(g_ptr_array_index(m->job_list, i), p);
}

/*
 * Return up to max of the jobs that differ from their rows, in turn over the
 * calls; free with g_ptr_array_free. Sets *all to whether these are all.
 */
GPtrArray *model_choose_dirty_jobs(struct model *m, uint32_t max, bool *all)
{
	GPtrArray *chosen = g_ptr_array_new();
	guint from = m->write_from, len = m->job_list->len;

	*all = true;
	for (guint i = 0; i < len; i++) {
		guint at = (from + i) % len;
		struct job *j = g_ptr_array_index(m->job_list, at);

		if (!j->dirty)
			continue;
		if (chosen->len == max) {
			m->write_from = at;
			*all = false;
			break;
		}
		g_ptr_array_add(chosen, j);
	}
	return chosen;
}

/*
 * Update the states of all jobs. A job that is over is marked for a
 * last write once none of its runs is active.
 */
void model_update_job_states(struct model *m, uint64_t store_now_ms)
{
	for (guint i = m->job_list->len; i-- > 0;) {
		struct job *j = g_ptr_array_index(m->job_list, i);

		job_update_completion(j, store_now_ms);
		if (job_is_final(j) && !job_has_active_tasks(j) &&
		    !j->rows_removed)
			j->dirty = true;
	}
}

/* Count a failed run of j on u, and log when that begins a backoff. */
static void record_failure(struct upstream *u, const struct job *j,
			   uint64_t now_ms)
{
	bool before = u->failing_until_ms > now_ms;

	upstream_record_failure(u, j, now_ms);
	if (!before && u->failing_until_ms > now_ms)
		log_fields(LOG_INFO, "upstream_failing", "{s:s,s:i,s:I}",
			   "upstream", u->id, "jobs",
			   (int)u->consecutive_failures, "backoff_ms",
			   (json_int_t)(u->failing_until_ms - now_ms));
}

/* Log that t is no suspect any more. */
static void log_cleared(const struct task *t, const struct upstream *u,
			const char *how)
{
	char name[TASK_NAME_BYTES];

	task_format_name(t, name, sizeof(name));
	log_fields(LOG_INFO, "suspect_cleared", "{s:s,s:s,s:s,s:s}", "job",
		   t->stage->job->id, "task", name, "upstream", u->id, "how",
		   how);
}

/*
 * Learn from the run of t, which ends. A run from a checkpoint is shorter than
 * the task, and when an inherited one began is not known exactly.
 */
static void learn_duration(struct model *m, const struct task *t,
			   enum run_end how, uint64_t now_ms)
{
	const struct stage *st = t->stage;
	uint64_t ran_ms = (now_ms - t->placed_ms) / run_slowdown(t);

	/* how long an earlier leader's run has lasted is not known */
	if (t->run_rate.from_checkpoint || t->placed_by_earlier ||
	    st->step->long_running)
		return;
	switch (how) {
	case RUN_DONE:
		estimator_record_run(m->estimator, st->job, st->step_index,
				     ran_ms);
		break;
	case RUN_FAILED:
	case RUN_STOPPED:
	case RUN_GANG_BROKEN:
		/* an unconfirmed run may not have begun */
		if (t->confirmed_ms && t->confirmed_ms >= t->placed_ms)
			estimator_record_stopped(m->estimator, st->job,
						 st->step_index, ran_ms);
		break;
	case RUN_LEASE_EXPIRED:
	case RUN_GANG_INCOMPLETE:
	case RUN_NEVER_STARTED:
	case RUN_UPSTREAM_GONE:
		break;
	}
}

/* End the active run of t on u, log it, and update the statistics. */
static void end_task(struct model *m, struct task *t, enum run_end end_reason,
		     const char *checkpoint, struct upstream *u,
		     uint64_t now_ms)
{
	char name[TASK_NAME_BYTES];

	task_format_name(t, name, sizeof(name));
	log_fields(LOG_INFO, "run_ended", "{s:s,s:s,s:I,s:s,s:s,s:I,s:I,s:b}",
		   "job", t->stage->job->id, "task", name, "run",
		   (json_int_t)t->run, "how", run_end_name(end_reason),
		   "upstream", u->id, "after_ms",
		   (json_int_t)(now_ms - t->placed_ms), "confirmed_after_ms",
		   t->confirmed_ms >= t->placed_ms
			   ? (json_int_t)(t->confirmed_ms - t->placed_ms)
			   : (json_int_t)-1,
		   "stopping", t->state == TASK_STOPPING);
	/* The upstream has outlived these runs. */
	if ((end_reason == RUN_DONE || end_reason == RUN_FAILED) &&
	    suspect_clear(t))
		log_cleared(t, u, run_end_name(end_reason));
	if (end_reason == RUN_FAILED)
		record_failure(u, t->stage->job, now_ms);
	if (end_reason == RUN_DONE)
		upstream_record_success(u);
	learn_duration(m, t, end_reason, now_ms);
	if (end_reason == RUN_DONE && !t->checkpoint && !t->inherited)
		speed_note_done(m->speeds, t, m->estimator,
				now_ms - t->placed_ms, now_ms);
	speed_note_end(m->speeds, t, end_reason == RUN_DONE);
	task_end_run(t, end_reason, checkpoint, now_ms);
}

/* Accept the completion of a run that was counted as lost. */
static void accept_late_completion(struct task *t,
				   const struct run_end_report *e,
				   const struct upstream *u, uint64_t now_ms)
{
	uint32_t run = t->run;

	if (task_record_earlier_done(t, now_ms))
		log_fields(LOG_WARN, "run_done_after_all",
			   "{s:s,s:s,s:I,s:I,s:s}", "job", t->stage->job->id,
			   "task", e->task, "run", (json_int_t)e->run, "newest",
			   (json_int_t)run, "upstream", u->id);
}

/* Apply the ended runs listed by u; returns the newest one applied. */
static uint64_t apply_ends(struct model *m, struct upstream *u,
			   const struct order_answer *a, uint64_t now_ms,
			   uint64_t seen)
{
	for (uint32_t i = 0; i < a->ended_len; i++) {
		const struct run_end_report *e = &a->ended[i];
		struct task *t;

		if (e->number <= seen)
			continue;
		seen = e->number;
		t = model_find_task(m, e->task);
		if (!t)
			continue;
		if (task_is_active(t) && t->at == u && t->run == e->run)
			end_task(m, t, e->end_reason, e->checkpoint, u, now_ms);
		else if (e->end_reason == RUN_DONE && e->run <= t->run)
			accept_late_completion(t, e, u, now_ms);
	}
	return seen;
}

static void add_stray(GArray *strays, const struct run_report *r)
{
	struct stray_run s = {.run = r->run};

	g_strlcpy(s.task, r->task, sizeof(s.task));
	g_array_append_val(strays, s);
}

/*
 * Apply the running runs listed by u. Adds their tasks to `listed`, and
 * runs that no task has as its current one on u to `strays`.
 */
static void apply_running(struct model *m, struct upstream *u,
			  const struct order_answer *a, uint64_t now_ms,
			  GHashTable *listed, GArray *strays)
{
	for (uint32_t i = 0; i < a->running_len; i++) {
		const struct run_report *r = &a->running[i];
		struct task *t = model_find_task(m, r->task);

		if (t && t->state == TASK_DONE && t->run == r->run)
			continue; /* The rest of its gang is about to end. */
		if (!t || !task_is_active(t) || t->at != u ||
		    t->run != r->run) {
			add_stray(strays, r);
			continue;
		}
		g_hash_table_add(listed, t);
		task_record_progress(t, r->percent, now_ms);
		progress_record(t, r->percent, a->clock_ms);
		speed_note_progress(m->speeds, t, m->estimator, now_ms);
		if (*r->checkpoint && g_strcmp0(t->checkpoint, r->checkpoint)) {
			g_free(t->checkpoint);
			t->checkpoint = g_strdup(r->checkpoint);
		}
		task_confirm(t, now_ms);
		if (suspect_note_running(t))
			log_cleared(t, u, "lasted");
	}
}

/*
 * Report whether t, which is in neither list of an answer to a call sent at
 * sent_ms, is certain not to run and never to start. The order of two
 * events in the same millisecond is unknown.
 */
static bool is_certainly_absent(const struct task *t, uint64_t sent_ms)
{
	if (t->inherited)
		/* The call carried this leader's epoch, so that the
		 * upstream refuses later orders of earlier leaders. */
		return true;
	if (t->state == TASK_STOPPING)
		return t->stop_answered_ms && t->stop_answered_ms < sent_ms;
	return t->confirmed_ms >= t->placed_ms && t->confirmed_ms &&
	       t->confirmed_ms < sent_ms;
}

/* Update whether u counts as slow by the pace of its runs. */
static void update_pace(const struct model *m, struct upstream *u,
			uint64_t now_ms)
{
	bool before = u->slow_until_ms > now_ms;

	progress_detect_slow(u, m->estimator, now_ms);
	if (before != (u->slow_until_ms > now_ms))
		log_fields(LOG_INFO, "upstream_pace", "{s:s,s:b,s:i}",
			   "upstream", u->id, "slow", !before, "tasks",
			   (int)u->tasks->len);
}

/* Log that the job of a task has failed, as it ends upstreams. */
static void log_confirmed(const struct task *t, const struct upstream *u)
{
	const struct suspicion *s = &t->suspicion;
	char name[TASK_NAME_BYTES];

	task_format_name(t, name, sizeof(name));
	log_fields(LOG_WARN, "suspect_confirmed", "{s:s,s:s,s:s,s:i,s:i}",
		   "job", t->stage->job->id, "task", name, "upstream", u->id,
		   "early_ends", (int)s->early_ends, "late_ends",
		   (int)s->late_ends);
}

/*
 * Take back what tasks were blamed for: u answers in the same incarnation,
 * whose end was only presumed.
 */
static void withdraw_blame(struct model *m, struct upstream *u)
{
	bool withdrawn = false;

	for (guint i = 0; u->blamed && i < u->blamed->len; i++) {
		const struct blamed_run *b =
			&g_array_index(u->blamed, struct blamed_run, i);
		struct task *t = model_find_task(m, b->task);

		withdrawn |= b->presumed;
		if (!b->presumed || !t)
			continue;
		suspect_withdraw(t, b);
		log_fields(LOG_INFO, "suspect_withdrawn", "{s:s,s:s,s:s}",
			   "job", t->stage->job->id, "task", b->task,
			   "upstream", u->id);
	}
	if (!withdrawn)
		return;
	g_array_set_size(u->blamed, 0);
	u->incarnation_ended_ms = 0;
}

/*
 * Judge the tasks that were blamed for the end of u's incarnation: it is known
 * now.
 */
static void confirm_blame(struct model *m, struct upstream *u, uint64_t now_ms)
{
	for (guint i = 0; u->blamed && i < u->blamed->len; i++) {
		struct blamed_run *b =
			&g_array_index(u->blamed, struct blamed_run, i);
		struct task *t = model_find_task(m, b->task);

		if (!b->presumed)
			continue;
		b->presumed = false;
		if (t && suspect_confirm_presumed(m->fleet, u, t, b, now_ms))
			log_confirmed(t, u);
	}
}

/*
 * Apply the lists of u from an answer to a call sent at sent_ms. Ends up to
 * number `seen` were applied before; returns the number of the newest one.
 * Runs that u must stop are added to strays.
 */
uint64_t model_apply_lists(struct model *m, struct upstream *u,
			   const struct order_answer *a, uint64_t sent_ms,
			   uint64_t now_ms, uint64_t seen, GArray *strays)
{
	GHashTable *listed = g_hash_table_new(NULL, NULL);
	GPtrArray *absent = g_ptr_array_new();

	withdraw_blame(m, u);
	seen = apply_ends(m, u, a, now_ms, seen);
	apply_running(m, u, a, now_ms, listed, strays);
	for (guint i = 0; i < u->tasks->len; i++) {
		struct task *t = g_ptr_array_index(u->tasks, i);

		if (a->ended_len < ENDED_PAGE_COUNT && !a->running_incomplete &&
		    !g_hash_table_contains(listed, t) &&
		    is_certainly_absent(t, sent_ms))
			g_ptr_array_add(absent, t);
	}
	for (guint i = 0; i < absent->len; i++)
		end_task(m, g_ptr_array_index(absent, i), RUN_NEVER_STARTED,
			 NULL, u, now_ms);
	g_ptr_array_free(absent, TRUE);
	g_hash_table_destroy(listed);
	update_pace(m, u, now_ms);
	return seen;
}

/* Report whether the lists of an answer show the newest run of t as running. */
static bool is_listed(const struct task *t, const struct order_answer *lists)
{
	char name[TASK_NAME_BYTES];

	task_format_name(t, name, sizeof(name));
	for (uint32_t i = 0; lists && i < lists->running_len; i++)
		if (lists->running[i].run == t->run &&
		    !strcmp(lists->running[i].task, name))
			return true;
	return false;
}

/*
 * Report whether an earlier leader may start the run of t in an incarnation of
 * its upstream that begins now: it has forgotten all epochs, so it carries out
 * an order that this leader's epoch fenced off in the one before.
 */
static bool earlier_leader_may_start(const struct model *m,
				     const struct task *t, uint64_t now_ms)
{
	return t->placed_by_earlier && now_ms <= m->earlier_leases_end_ms;
}

/*
 * Report whether an earlier leader may start a run on u in an incarnation that
 * begins now.
 */
bool model_earlier_leader_may_start(const struct model *m,
				    const struct upstream *u, uint64_t now_ms)
{
	for (guint i = 0; i < u->tasks->len; i++)
		if (earlier_leader_may_start(m, g_ptr_array_index(u->tasks, i),
					     now_ms))
			return true;
	return false;
}

/*
 * Report whether the run of t may be active in a newer incarnation of its
 * upstream than the one it was placed in: the newer one lists it, an earlier
 * leader may start it there, or this leader has sent its start order, and the
 * earlier one has never listed it. The answer to an order does not say which of
 * the two has carried it out.
 */
static bool may_run_after_restart(const struct model *m, const struct task *t,
				  const struct order_answer *lists,
				  uint64_t now_ms)
{
	bool was_listed = t->percent_listed_ms > t->placed_ms;

	return (t->sent && !t->inherited && !was_listed) ||
	       is_listed(t, lists) || earlier_leader_may_start(m, t, now_ms);
}

/*
 * Report whether any run placed on u may be active in an incarnation that begins
 * now.
 */
bool model_may_run_after_restart(const struct model *m,
				 const struct upstream *u, uint64_t now_ms)
{
	for (guint i = 0; i < u->tasks->len; i++)
		if (may_run_after_restart(m, g_ptr_array_index(u->tasks, i),
					  NULL, now_ms))
			return true;
	return false;
}

/* Log the tasks that are blamed for the end of u's incarnation. */
static void log_findings(const GArray *findings, const struct upstream *u)
{
	for (guint i = 0; i < findings->len; i++) {
		const struct suspect_finding *x =
			&g_array_index(findings, struct suspect_finding, i);
		const struct suspicion *s = &x->task->suspicion;
		char name[TASK_NAME_BYTES];

		if (!x->is_suspect)
			continue;
		task_format_name(x->task, name, sizeof(name));
		log_fields(LOG_WARN, "suspect_raised",
			   "{s:s,s:s,s:I,s:s,s:i,s:i,s:b,s:i,s:i}", "job",
			   x->task->stage->job->id, "task", name, "run",
			   (json_int_t)x->task->run, "upstream", u->id,
			   "ran_ms", (int)x->ran_ms, "beside", (int)x->beside,
			   "only", x->only, "early_ends", (int)s->early_ends,
			   "late_ends", (int)s->late_ends);
		if (x->confirmed)
			log_confirmed(x->task, u);
	}
}

/*
 * End these runs on u as lost, and free the list: they ended with the upstream
 * or its leases. The tasks that may have ended it are suspected.
 */
static void lose_runs(struct model *m, struct upstream *u, uint64_t now_ms,
		      enum incarnation_end end, const char *why,
		      GPtrArray *lost)
{
	GArray *findings =
		g_array_new(FALSE, FALSE, sizeof(struct suspect_finding));
	enum end_cause cause = CAUSE_NOT_STARTED;

	if (u->tasks->len) {
		cause = suspect_judge_end(m->fleet, u, end, now_ms, findings);
	} else if (end == INCARNATION_ENDED) {
		confirm_blame(m, u, now_ms);
		suspect_note_idle_end(u, now_ms);
	}
	log_fields(LOG_WARN, "upstream_lost", "{s:s,s:s,s:i,s:s,s:b,s:I}",
		   "upstream", u->id, "why", why, "tasks", (int)lost->len,
		   "cause", end_cause_name(cause), "listed",
		   u->state != UPSTREAM_GONE, "unheard_ms",
		   u->heard_ms ? (json_int_t)(now_ms - u->heard_ms)
			       : (json_int_t)-1);
	log_findings(findings, u);
	for (guint i = 0; i < lost->len; i++) {
		struct task *t = g_ptr_array_index(lost, i);

		/* the end of one run may have completed its gang */
		if (t->at == u)
			end_task(m, t, RUN_UPSTREAM_GONE, NULL, u, now_ms);
	}
	g_array_unref(findings);
	g_ptr_array_free(lost, TRUE);
}

/*
 * End all runs on u as lost: they ended with the upstream or its leases. One
 * whose end is only presumed may list them as done once it is back: it is asked
 * for its lists as soon as it can be reached, and gets no work before.
 */
void model_lose_upstream(struct model *m, struct upstream *u, uint64_t now_ms,
			 enum incarnation_end end, const char *why)
{
	GPtrArray *lost = g_ptr_array_new();

	if (end == INCARNATION_PRESUMED_ENDED)
		u->synced = false;
	for (guint i = 0; i < u->tasks->len; i++)
		g_ptr_array_add(lost, g_ptr_array_index(u->tasks, i));
	lose_runs(m, u, now_ms, end, why, lost);
}

/*
 * Apply the start time of u, which identifies its incarnation; lists is the
 * answer that shows it, or NULL. Returns true for a newer incarnation than the
 * known one. The runs of the earlier one are lost, but for those that the newer
 * one may have started; these must be recorded again, with the incarnation.
 */
bool model_note_incarnation(struct model *m, struct upstream *u,
			    uint64_t started_wall_ms, uint64_t now_ms,
			    const struct order_answer *lists)
{
	uint64_t before = u->started_wall_ms;
	GPtrArray *lost;

	if (started_wall_ms <= before)
		return false;
	u->started_wall_ms = started_wall_ms;
	u->incarnations_compared = false;
	if (!before)
		return true;
	speed_note_restart(m->speeds, u);
	lost = g_ptr_array_new();
	for (guint i = 0; i < u->tasks->len; i++) {
		struct task *t = g_ptr_array_index(u->tasks, i);

		t->in_newer_incarnation = is_listed(t, lists);
		if (t->in_newer_incarnation)
			t->placed_started_wall_ms = started_wall_ms;
		if (may_run_after_restart(m, t, lists, now_ms))
			t->stage->job->dirty = true;
		else
			g_ptr_array_add(lost, t);
	}
	log_fields(LOG_INFO, "upstream_reborn", "{s:s,s:I,s:I,s:i}", "upstream",
		   u->id, "born", (json_int_t)started_wall_ms, "before",
		   (json_int_t)before, "kept",
		   (int)(u->tasks->len - lost->len));
	lose_runs(m, u, now_ms, INCARNATION_ENDED, "restarted", lost);
	for (guint i = 0; i < u->tasks->len; i++) {
		struct task *t = g_ptr_array_index(u->tasks, i);

		t->in_newer_incarnation = false;
		/* its lists decide, once it has accepted this epoch */
		t->inherited = t->placed_by_earlier;
	}
	return true;
}

/* Place no work on u, as a later incarnation of its machine is listed. */
static void supersede(struct upstream *u, const struct upstream *later,
		      uint64_t now_ms)
{
	u->state = UPSTREAM_GONE;
	if (u->superseded_ms)
		return;
	u->superseded_ms = now_ms;
	log_fields(LOG_INFO, "upstream_superseded", "{s:s,s:s,s:i}", "upstream",
		   u->id, "later", later->id, "tasks", (int)u->tasks->len);
}

/*
 * Report whether a later incarnation of u's machine, which is listed, has
 * answered this leader. Its entry alone may be odd.
 */
bool model_machine_has_restarted(const struct model *m,
				 const struct upstream *u)
{
	for (guint i = 0; u->host_quark && i < m->fleet->list->len; i++) {
		const struct upstream *v = g_ptr_array_index(m->fleet->list, i);

		if (v->host_quark == u->host_quark &&
		    v->started_wall_ms > u->started_wall_ms && v->synced &&
		    v->state != UPSTREAM_GONE)
			return true;
	}
	return false;
}

/*
 * Note that u is listed as an incarnation of this machine; an empty name is
 * ignored. A machine has one incarnation at a time, so its earlier ones get no
 * work. A later incarnation counts only while it is listed, as its start time
 * may be wrong.
 */
void model_note_machine(struct model *m, struct upstream *u,
			const char *machine, uint64_t now_ms)
{
	GQuark quark = *machine ? g_quark_from_string(machine) : 0;

	bool is_superseded = false;

	if (quark == u->host_quark && u->incarnations_compared &&
	    !u->superseded_ms)
		return;
	u->host_quark = quark;
	u->incarnations_compared = true;
	for (guint i = 0; quark && i < m->fleet->list->len; i++) {
		struct upstream *v = g_ptr_array_index(m->fleet->list, i);

		if (v->host_quark != quark)
			continue;
		if (v->started_wall_ms < u->started_wall_ms)
			supersede(v, u, now_ms);
		else if (v->started_wall_ms > u->started_wall_ms &&
			 v->state != UPSTREAM_GONE) {
			supersede(u, v, now_ms);
			is_superseded = true;
		}
	}
	if (!is_superseded)
		u->superseded_ms = 0;
}

/*
 * Take over a run of t that an earlier leader recorded for an incarnation
 * of an upstream: it counts as active until it is known to have ended. An
 * upstream that is not listed is added with that incarnation, as it may be
 * listed again. Neither an entry nor a row ends a run of another incarnation
 * than it names: the upstream is asked, unless the leases have ended.
 */
void model_inherit_run(struct model *m, struct task *t, const char *upstream,
		       uint64_t started_wall_ms, uint64_t now_ms)
{
	struct upstream *u = fleet_find_upstream(m->fleet, upstream);

	if (!u) {
		u = fleet_add_upstream(m->fleet, upstream);
		u->state = UPSTREAM_GONE;
	}
	u->recorded_started_wall_ms =
		MAX(u->recorded_started_wall_ms, started_wall_ms);
	if (u->started_wall_ms < started_wall_ms) {
		u->started_wall_ms = started_wall_ms;
		u->incarnations_compared = false;
	}
	if (u->started_wall_ms != started_wall_ms || u->superseded_ms) {
		suspect_note_inherited_end(t);
		if (now_ms > m->earlier_leases_end_ms)
			return;
	}
	task_place(t, u, t->run, now_ms);
	t->placed_by_earlier = true;
	t->inherited = true;
	t->sent = true;
}
