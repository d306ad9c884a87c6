/*
 * The leader builds its model from the rows of its predecessor, runs
 * scheduling passes and writes the changes.
 *
 * Decisions are recorded before start orders are sent, and ends are
 * recorded before they are acknowledged; stop orders need no record.
 */
#include <stdlib.h>
#include <string.h>

#include "lead/expire.h"
#include "lead/session.h"
#include "lead/leader.h"
#include "lead/domainorders.h"
#include "lead/election.h"
#include "lead/learnedspeeds.h"
#include "lead/admissionrow.h"
#include "lead/loss.h"
#include "lead/speedlog.h"
#include "lead/starts.h"
#include "lead/succession.h"
#include "lib/log.h"
#include "sched/reach.h"

/*
 * Maximum number of jobs in one write. The platform accepts 100 entries:
 * two are the owner row's, a job takes two, and each of up to
 * EXPIRE_ROWS_MAX removals takes one.
 */
#define JOBS_PER_WRITE_MAX 40
/*
 * After a write that took longer than this, the next one is delayed by the
 * same time, as the writes of other instances need the store too.
 */
#define SLOW_WRITE_MS 50
/* A scheduling pass that takes longer than this is logged. */
#define SLOW_PASS_MS 50
/* Delay of the next write after a row that could not be encoded. */
#define NOT_ENCODED_DELAY_MS 1000
/* Interval between removals of rows that are no longer needed. */
#define REMOVAL_INTERVAL_MS 2000
/* Interval between decisions on admission; queues change no faster. */
#define ADMISSION_INTERVAL_MS 500
/* Maximum time for which the store holds a feed call. */
#define FEED_WAIT_MAX_MS 1000
/*
 * Rows of ended jobs are kept this long beyond the time for which they can
 * be queried.
 */
#define KEEP_MARGIN_MS 10000
/*
 * Maximum age of the list of upstreams when a start is sent to one that does
 * not refuse excess work. Resources that have shrunk count for 3 s more.
 */
#define LIST_AGE_MAX_MS 2600
/*
 * Maximum time from the first attempt of the newest committed write until a
 * start is sent: no follower has claimed the leadership by then.
 */
#define START_AFTER_WRITE_MAX_MS TAKEOVER_TIMEOUT_MS
/*
 * Delay between an answer of the upstreams feed and the next call; this
 * table changes all the time.
 */
#define UPSTREAMS_POLL_DELAY_MS 150

struct leader {
	struct leader_env env;
	struct election *election;
	struct succession succession;
	struct session_env session_env;
	const struct policy *policy;
	/* This instance leads and its model is complete. */
	bool leading;
	/*
	 * Replicas that exist while this instance leads or reads the rows of
	 * its predecessor. The state rows are those read after the claim.
	 */
	struct replica *specs;
	struct replica *runs;
	struct replica *states;
	struct replica *upstreams;
	/* Time of the last removal of old rows. */
	uint64_t last_removal_ms;
	/* No write is sent before this time, as the store is slow. */
	uint64_t next_write_ms;
	struct model *model;
	struct learned *learned;
	/* Keys of the entries of upstreams that are malformed at present. */
	GHashTable *odd_entries;
	/* Starts that wait until they are recorded. */
	struct starts *starts;
	struct domain_orders *domain_orders;
	struct account_guarantee *guarantees;
	uint32_t guarantees_len;
	/* The last decision on admission; NULL: none, nothing is refused. */
	struct admission *admission;
	uint64_t admission_decided_ms;
	uint64_t admission_put_ms; /* last put in a write; 0: no row */
	struct timer pass_timer;
};

static void run_pass(void *arg);

/* Run a pass soon, so that several changes share one pass. */
static void schedule_pass(void *arg)
{
	struct leader *d = arg;

	if (d->leading && !timer_running(&d->pass_timer))
		timer_start(d->env.loop, &d->pass_timer, 0);
}

/* Free all that exists only while this instance leads. */
static void stop_leading(struct leader *d)
{
	d->leading = false;
	succession_note_lost(&d->succession);
	timer_stop(d->env.loop, &d->pass_timer);
	replica_destroy(d->specs);
	replica_destroy(d->runs);
	replica_destroy(d->states);
	replica_destroy(d->upstreams);
	d->specs = d->runs = d->states = d->upstreams = NULL;
	replica_set_poll_delay(d->env.jobs, d->env.jobs_poll_delay_ms);
	domain_orders_follow_closely(d->domain_orders, false);
	for (guint i = 0; d->model && i < d->model->fleet->list->len; i++) {
		struct upstream *u =
			g_ptr_array_index(d->model->fleet->list, i);

		session_destroy(u->session);
	}
	learned_destroy(d->learned);
	d->learned = NULL;
	model_destroy(d->model);
	d->model = NULL;
	admission_destroy(d->admission);
	d->admission = NULL;
	d->admission_put_ms = 0;
	g_hash_table_remove_all(d->odd_entries);
	starts_clear(d->starts);
}

static void on_leadership_lost(void *arg, const char *why)
{
	(void)why;
	stop_leading(arg);
}

static void on_epoch_refused(void *arg)
{
	/* The owner row will name the new leader. Until then it is safe to
	 * continue, as that upstream refuses all orders of this epoch. */
	struct leader *d = arg;

	counter_add(d->env.counters, "stale_epoch", NULL, 1);
}

/*
 * Take over a run that an earlier leader has recorded, and call its upstream at
 * the recorded address unless a newer one is listed.
 */
static void inherit_run(void *arg, struct task *t, const struct run_place *at)
{
	struct leader *d = arg;
	struct upstream *u;

	model_inherit_run(d->model, t, at->upstream, at->started_wall_ms,
			  clock_mono_ms());
	u = fleet_find_upstream(d->model->fleet, at->upstream);
	if (!at->address.sin_port || at->started_wall_ms != u->started_wall_ms)
		return;
	if (u->session)
		session_note_recorded(u->session, &at->address);
	else
		u->session = session_create_unlisted(&d->session_env, u,
						     &at->address);
}

static void cancel_job(struct leader *d, struct job *j)
{
	if (j->cancel_wanted)
		return;
	job_cancel(j, replica_store_clock_ms(d->env.jobs));
	log_fields(LOG_INFO, "job_cancelled", "{s:s,s:s}", "job", j->id,
		   "state", job_state_name(j->state));
}

/* Report whether a cancel request for this job is recorded. */
static bool cancel_is_recorded(const struct leader *d, const char *id)
{
	char *key = g_strconcat(KEY_CANCEL, id, NULL);
	bool found = replica_get(d->env.jobs, key, NULL) != NULL;

	g_free(key);
	return found;
}

/*
 * Report whether the recorded state of a job is final. Without a run row
 * none of its runs is active either.
 */
static bool job_has_ended(const struct leader *d, const char *id)
{
	const char *value =
		replica_get(d->states ? d->states : d->env.states, id, NULL);
	struct state_record r;

	return value && state_decode(value, &r) && job_state_is_final(r.state);
}

/* Log the requirements of a job, which can explain later why it waits. */
static void log_job(const struct job *j)
{
	const struct step *s = &j->steps[0];

	json_t *counts = json_array();

	for (uint32_t i = 0; i < j->steps_len; i++)
		json_array_append_new(counts, json_integer(j->steps[i].count));
	log_fields(LOG_INFO, "job_known",
		   "{s:s,s:s,s:s,s:i,s:i,s:o,s:i,s:I,s:I,s:b,s:b,s:b,s:I,s:f,"
		   "s:I,s:I,s:b,s:I}",
		   "job", j->id, "queue", j->queue, "account", j->account,
		   "priority", (int)j->priority, "steps", (int)j->steps_len,
		   "counts", counts, "tasks", (int)s->count, "accelerators",
		   (json_int_t)s->need.accelerators, "cpu_milli",
		   (json_int_t)s->need.cpu_milli, "gang", s->gang, "one_rack",
		   s->rack_sensitive, "checkpoints", s->checkpoints,
		   "estimate_ms", (json_int_t)s->estimate_ms, "slack_factor",
		   j->slack_factor, "target_ms", (json_int_t)j->target_ms,
		   "occurrences", (json_int_t)job_occurrences(j),
		   "long_running", s->long_running, "age_ms",
		   (json_int_t)(clock_mono_ms() - j->since_ms));
}

/*
 * Add a job to the model from its spec row and its run row, unless it is
 * known or has ended. A malformed row is logged; a run that it does not show
 * is a stray, or has ended with the leases of earlier leaders.
 */
static void add_job(struct leader *d, const char *id, const char *value)
{
	struct job *j;
	const char *run = d->runs ? replica_get(d->runs, id, NULL) : NULL;
	uint64_t age, store = replica_store_clock_ms(d->env.jobs);
	uint64_t now_ms = clock_mono_ms();

	if (model_find_job(d->model, id) || (!run && job_has_ended(d, id)))
		return;
	j = spec_decode(id, value);
	if (!j) {
		log_fields(LOG_ERROR, "bad_row", "{s:s,s:s}", "job", id,
			   "table", SPEC_TABLE);
		return;
	}
	age = store > j->received_ms ? store - j->received_ms : 0;
	j->since_ms = now_ms - MIN(age, now_ms - 1);
	model_add_job(d->model, j);
	if (run && !run_decode(j, run, inherit_run, d)) {
		log_fields(LOG_ERROR, "bad_row", "{s:s,s:s}", "job", id,
			   "table", RUN_TABLE);
		j->unknown_runs_end_ms = d->model->earlier_leases_end_ms;
	}
	/* The rows of a final job have to be removed. */
	j->dirty = job_is_final(j);
	j->recorded_state = j->state;
	model_apply_queue_policy(j, d->policy);
	if (!j->queue_known)
		log_fields(LOG_WARN, "queue_unknown", "{s:s,s:s,s:I}", "job",
			   id, "queue", j->queue, "policy",
			   (json_int_t)(d->policy ? d->policy->version : 0));
	log_job(j);
	if (cancel_is_recorded(d, id))
		cancel_job(d, j);
}

/*
 * Remove a job whose spec row is gone. One whose end is not recorded keeps its
 * runs: it was not removed by a leader.
 */
static void forget_job(struct leader *d, const char *id)
{
	const struct job *j = model_find_job(d->model, id);

	if (!j)
		return;
	if (job_is_final(j) && !job_has_active_tasks(j) && !j->dirty) {
		model_remove_job(d->model, id);
		return;
	}
	log_fields(LOG_ERROR, "job_row_missing", "{s:s,s:s,s:b,s:I}", "job", id,
		   "state", job_state_name(j->state), "active",
		   job_has_active_tasks(j), "version",
		   (json_int_t)replica_version(d->specs));
}

static void apply_spec_row(void *arg, const char *id, const char *value,
			   uint64_t version)
{
	struct leader *d = arg;

	(void)version;
	if (!d->leading)
		return;
	if (value)
		add_job(d, id, value);
	else
		forget_job(d, id);
	schedule_pass(d);
}

static void add_spec_row(void *arg, const char *id, const char *value,
			 uint64_t version)
{
	(void)version;
	add_job(arg, id, value);
}

/*
 * Place no work on u, which is not listed any more, or whose entry cannot be
 * used. Its runs go on while it answers. An entry that a list lacks that was
 * read again was removed at an unknown time.
 */
static void retire_upstream(struct leader *d, struct upstream *u, bool odd)
{
	bool removed = !odd && replica_changes_after_ms(d->upstreams);

	if (u->state == UPSTREAM_GONE)
		return;
	log_fields(LOG_INFO, "upstream_unlisted", "{s:s,s:i,s:b}", "upstream",
		   u->id, "tasks", (int)u->tasks->len, "odd", odd);
	if (u->session)
		session_note_unlisted(u->session, removed);
	u->state = UPSTREAM_GONE;
}

/*
 * Decode an entry of the list of upstreams. The first of several malformed
 * entries in a row under one key is logged.
 */
static bool decode_entry(struct leader *d, const char *id, const char *value,
			 struct upstream_entry *e)
{
	if (decode_upstream(id, value, clock_wall_ms(), e)) {
		g_hash_table_remove(d->odd_entries, id);
		return true;
	}
	counter_add(d->env.counters, "upstream_entries_refused", NULL, 1);
	if (g_hash_table_add(d->odd_entries, g_strdup(id)))
		log_fields(LOG_WARN, "bad_upstream_entry", "{s:s}", "upstream",
			   id);
	return false;
}

/*
 * Apply a change of the list of upstreams; value is NULL for a removed
 * entry. A malformed entry counts as removed.
 */
static void apply_upstream_row(void *arg, const char *id, const char *value,
			       uint64_t version)
{
	struct leader *d = arg;
	struct upstream_entry e;
	struct upstream *u;

	(void)version;
	if (!d->leading)
		return;
	u = fleet_find_upstream(d->model->fleet, id);
	if (!value)
		g_hash_table_remove(d->odd_entries, id);
	if (!value || !decode_entry(d, id, value, &e)) {
		if (u)
			retire_upstream(d, u, value != NULL);
		return;
	}
	if (!u)
		u = fleet_add_upstream(d->model->fleet, id);
	if (u->session)
		session_apply_entry(u->session, &e);
	else
		u->session = session_create(&d->session_env, u, &e);
	session_note_entry_written(u->session,
				   replica_changes_after_ms(d->upstreams));
	schedule_pass(d);
}

/*
 * Report whether a start of t may be sent by what is known of its upstream: one
 * that does not refuse excess work must not get a start by an old list, and
 * none may get one by old rows of the operators.
 */
static bool upstream_is_known_well(void *arg, const struct task *t)
{
	const struct leader *d = arg;

	return domain_orders_are_current(d->domain_orders) &&
	       (policy_enforces_capacity(d->policy, t->at->service) ||
		replica_age_max_ms(d->upstreams) <= LIST_AGE_MAX_MS);
}

/* Report whether the operators allow no start of t on its upstream. */
static bool start_is_forbidden(void *arg, const struct task *t)
{
	const struct leader *d = arg;

	return domain_orders_forbid(d->domain_orders, t->at);
}

/* Build the model from the replicas and begin to lead. */
static void build_model(struct leader *d)
{
	struct leader_env *e = &d->env;

	d->session_env = (struct session_env){
		.loop = e->loop,
		.http = e->http,
		.counters = e->counters,
		.settings = e->settings,
		.epoch = election_epoch(d->election),
		.tenure = election_tenure(d->election),
		.events = {.model_changed = schedule_pass,
			   .epoch_refused = on_epoch_refused,
			   .may_start = upstream_is_known_well,
			   .is_forbidden = start_is_forbidden},
		.arg = d,
	};
	d->model = model_create();
	d->model->earlier_leases_end_ms = tenure_leases_end_ms(
		election_tenure(d->election), e->settings->lease_max_ms);
	d->session_env.model = d->model;
	/* a row that an earlier leader left is renewed or removed */
	d->admission_put_ms =
		replica_get(e->owners, KEY_ADMISSION, NULL) ? 1 : 0;
	learned_add_list(d->learned, learned_speeds(d->model->speeds));
	learned_add_list(d->learned, learned_durations(d->model->estimator));
	learned_start(d->learned);
	d->leading = true;
	succession_note_gained(&d->succession, clock_mono_ms());
	replica_for_each(d->upstreams, "", apply_upstream_row, d);
	replica_for_each(d->specs, "", add_spec_row, d);
	replica_destroy(d->runs);
	replica_destroy(d->states);
	d->runs = d->states = NULL;
	log_fields(LOG_INFO, "leading", "{s:I,s:i,s:i,s:I,s:I}", "epoch",
		   (json_int_t)election_epoch(d->election), "jobs",
		   (int)d->model->job_list->len, "upstreams",
		   (int)d->model->fleet->list->len, "specs_version",
		   (json_int_t)replica_version(d->specs), "policy",
		   (json_int_t)(d->policy ? d->policy->version : 0));
	schedule_pass(d);
}

/* Build the model once all rows of the predecessor have been read. */
static void on_replica_answer(void *arg)
{
	struct leader *d = arg;

	if (!d->leading && d->specs && replica_is_complete(d->specs) &&
	    replica_is_complete(d->runs) && replica_is_complete(d->upstreams) &&
	    replica_is_complete(d->states) && d->policy &&
	    replica_is_complete(d->env.jobs))
		build_model(d);
}

static void ignore_row(void *arg, const char *key, const char *value,
		       uint64_t version)
{
	(void)arg;
	(void)key;
	(void)value;
	(void)version;
}

/*
 * Start the replicas. Reads from now on see all writes of earlier leaders,
 * as the claim has been committed.
 */
static void on_leadership_gained(void *arg, uint64_t version)
{
	struct leader *d = arg;
	const struct leader_env *e = &d->env;
	struct replica_events specs = {.changed = apply_spec_row,
				       .answered = on_replica_answer};
	struct replica_events runs = {.changed = ignore_row,
				      .answered = on_replica_answer};
	struct replica_events list = {.changed = apply_upstream_row,
				      .answered = on_replica_answer};

	(void)version;
	d->learned = learned_create(e->loop, e->rows, e->counters, e->settings);
	d->states =
		replica_create(e->loop, e->rows, STATE_TABLE,
			       replica_single_part, FEED_WAIT_MAX_MS, &runs, d);
	d->specs = replica_create(e->loop, e->rows, SPEC_TABLE, job_parts,
				  FEED_WAIT_MAX_MS, &specs, d);
	d->runs =
		replica_create(e->loop, e->rows, RUN_TABLE, replica_single_part,
			       FEED_WAIT_MAX_MS, &runs, d);
	d->upstreams =
		replica_create(e->loop, e->rows, UPSTREAM_TABLE,
			       replica_single_part, FEED_WAIT_MAX_MS, &list, d);
	replica_set_poll_delay(d->upstreams, UPSTREAMS_POLL_DELAY_MS);
	domain_orders_follow_closely(d->domain_orders, true);
	/* Cancel requests arrive in this table. */
	replica_set_poll_delay(e->jobs, 0);
}

/*
 * Return the session with the upstream of t; NULL if t is not placed or
 * its upstream is not listed.
 */
static struct session *task_session(const struct task *t)
{
	return t->at ? t->at->session : NULL;
}

/* Plan the start order of a placed run for the next write. */
static void plan_start(struct leader *d, const struct action *a)
{
	const struct job *j = a->task->stage->job;
	char name[TASK_NAME_BYTES];
	uint64_t now = clock_mono_ms();

	task_format_name(a->task, name, sizeof(name));
	starts_plan(d->starts, a->task);
	log_fields(LOG_INFO, "start_decided",
		   "{s:s,s:s,s:I,s:s,s:s,s:I,s:I,s:i,s:I}", "job", j->id,
		   "task", name, "run", (json_int_t)a->task->run, "upstream",
		   a->u.to->id, "rack", a->u.to->rack, "waited_ms",
		   (json_int_t)(now - a->task->stage->since_ms), "age_ms",
		   (json_int_t)(now - j->since_ms), "priority",
		   (int)j->priority, "expected_ms",
		   (json_int_t)estimator_duration_ms(
			   d->model->estimator, j, a->task->stage->step_index));
}

/*
 * Order the stop of a run, or end it at once if its start order was not
 * sent yet.
 */
static void carry_out_stop(const struct action *a)
{
	struct task *t = a->task;
	char name[TASK_NAME_BYTES];

	task_format_name(t, name, sizeof(name));
	log_fields(LOG_INFO, "stop_decided", "{s:s,s:s,s:I,s:s,s:s,s:s*}",
		   "job", t->stage->job->id, "task", name, "run",
		   (json_int_t)t->run, "upstream", t->at->id, "why",
		   stop_cause_name(a->u.stop.cause), "for",
		   a->u.stop.preemptor ? a->u.stop.preemptor->id : NULL);
	if (!t->sent)
		task_end_run(t, RUN_NEVER_STARTED, NULL, clock_mono_ms());
	else if (task_session(t))
		session_stop_run(task_session(t), t);
}

/* Log why a stage waits; dispatch reports each change of the reason. */
static void log_wait(const struct action *a)
{
	const struct stage *st = a->task->stage;

	log_fields(LOG_INFO, "stage_waits", "{s:s,s:i,s:i,s:s,s:I,s:i}", "job",
		   st->job->id, "step", (int)st->step_index, "occurrence",
		   (int)st->occurrence, "why", wait_reason_name(a->u.wait),
		   "slack_ms", (json_int_t)st->value.slack_ms, "rank",
		   (int)st->job->rank);
}

/*
 * Decide on starts and stops. No run is placed while a write is in flight,
 * as its start could not be recorded yet.
 */
static void dispatch_jobs(struct leader *d)
{
	struct dispatch_input v = {
		.jobs = d->model->job_list,
		.fleet = d->model->fleet,
		.guarantees = d->guarantees,
		.guarantees_len = d->guarantees_len,
		.now_ms = clock_mono_ms(),
		.wall_ms = clock_wall_ms(),
		.stops_only = election_write_in_flight(d->election),
		.estimator = d->model->estimator,
		.speeds = d->model->speeds,
		.checkpoint_ms = d->env.settings->checkpoint_ms,
		.stop_ms = d->env.settings->stop_ms,
		.reclaim_ms = d->env.settings->reclaim_ms,
		.lease_ms = d->env.settings->lease_ms,
	};
	uint64_t began_us = clock_mono_us(), took_us;
	GArray *actions;

	speed_set_spread_min(v.speeds, d->env.settings->speed_spread_min);
	actions = dispatch(&v);
	took_us = clock_mono_us() - began_us;
	latency_add(d->env.counters, "pass", took_us);
	speedlog_update(d->model, d->env.counters);
	if (took_us > SLOW_PASS_MS * 1000)
		log_fields(LOG_WARN, "pass_slow", "{s:I,s:i,s:i,s:i}",
			   "took_ms", (json_int_t)(took_us / 1000), "jobs",
			   (int)v.jobs->len, "upstreams",
			   (int)v.fleet->list->len, "actions",
			   (int)actions->len);
	for (guint i = 0; i < actions->len; i++) {
		const struct action *a =
			&g_array_index(actions, struct action, i);

		switch (a->tag) {
		case ACTION_START:
			plan_start(d, a);
			break;
		case ACTION_STOP:
			carry_out_stop(a);
			break;
		case ACTION_WAIT:
			log_wait(a);
			break;
		}
	}
	g_array_unref(actions);
}

static void put_state_row(struct rows_tx *t, struct job *j)
{
	char *value = state_encode(j);

	log_fields(LOG_INFO, "job_state", "{s:s,s:s,s:s,s:s,s:I}", "job", j->id,
		   "state", job_state_name(j->state), "queue", j->queue,
		   "account", j->account, "age_ms",
		   (json_int_t)(clock_mono_ms() - j->since_ms));
	rows_tx_put(t, STATE_TABLE, j->id, value);
	j->recorded_state = j->state;
	free(value);
}

/*
 * Add the changes of j to a write. The run row of a job that is over is
 * removed, and its state row remains. Returns false if its runs cannot be
 * encoded: it stays changed, so that no start of it counts as recorded.
 */
static bool put_job_rows(struct rows_tx *t, struct job *j)
{
	char *value;

	j->dirty = false;
	if (job_is_final(j) && !job_has_active_tasks(j)) {
		put_state_row(t, j);
		rows_tx_remove(t, RUN_TABLE, j->id);
		j->rows_removed = true;
		return true;
	}
	value = run_encode(j);
	if (!value) {
		j->dirty = true;
		return false;
	}
	if (j->state != j->recorded_state)
		put_state_row(t, j);
	rows_tx_put(t, RUN_TABLE, j->id, value);
	free(value);
	return true;
}

/*
 * Add to a write the removal of rows that are no longer needed, at most
 * once per REMOVAL_INTERVAL_MS.
 */
static void remove_expired_rows(struct leader *d, struct rows_tx *t)
{
	struct expiry e = {.rows = d->env.rows,
			   .states = d->env.states,
			   .jobs = d->env.jobs,
			   .specs = d->specs,
			   .model = d->model};
	uint64_t store = replica_store_clock_ms(d->env.states);
	uint64_t keep = d->env.settings->keep_ended_ms + KEEP_MARGIN_MS;
	uint64_t now = clock_mono_ms();

	if (now < d->last_removal_ms + REMOVAL_INTERVAL_MS)
		return;
	d->last_removal_ms = now;
	e.before_ms = store > keep ? store - keep : 0;
	expire_rows(&e, t);
	expire_instances(d->env.owners, t);
}

/* Log a decision on admission that differs from the one before. */
static void log_admission(const struct admission *a)
{
	const struct admission_queue *q =
		a->queues->len
			? &g_array_index(a->queues, struct admission_queue, 0)
			: NULL;

	log_fields(LOG_INFO, "admission_changed", "{s:i,s:i,s:s,s:I,s:I}",
		   "queues", (int)a->queues->len, "above_share",
		   (int)a->accounts->len, "queue", q ? q->name : "", "wait_ms",
		   (json_int_t)(q ? q->wait_ms : 0), "fair_wait_ms",
		   (json_int_t)(q ? q->fair_wait_ms : 0));
}

/*
 * Decide again which new jobs are refused, at most once per
 * ADMISSION_INTERVAL_MS. Returns whether that has changed.
 */
static bool decide_admission(struct leader *d)
{
	struct admission_input in = {.jobs = d->model->job_list,
				     .fleet = d->model->fleet,
				     .estimator = d->model->estimator,
				     .now_ms = clock_mono_ms(),
				     .wall_ms = clock_wall_ms()};
	struct admission *a, *before = d->admission;
	bool changed;

	if (!d->env.settings->refuses_overload) {
		admission_destroy(d->admission);
		d->admission = NULL;
		return false;
	}
	if (in.now_ms < d->admission_decided_ms + ADMISSION_INTERVAL_MS)
		return false;
	d->admission_decided_ms = in.now_ms;
	a = admission_decide(&in);
	changed = before ? !admission_is_equal(a, before) : a->queues->len > 0;
	if (changed)
		log_admission(a);
	admission_destroy(before);
	d->admission = a;
	return changed;
}

/*
 * Put the decision on admission into a write if it has changed or must be
 * renewed, and remove the row when nothing is refused any more.
 */
static void put_admission(struct leader *d, struct rows_tx *t)
{
	bool changed = decide_admission(d);
	uint64_t now = clock_mono_ms();
	char *value;

	if (!d->admission || !d->admission->queues->len) {
		if (d->admission_put_ms)
			rows_tx_remove(t, OWNER_TABLE, KEY_ADMISSION);
		d->admission_put_ms = 0;
		return;
	}
	if (!changed && d->admission_put_ms &&
	    now < d->admission_put_ms + ADMISSION_RENEW_MS)
		return;
	value = admission_row_encode(d->admission,
				     replica_store_clock_ms(d->env.owners));
	if (value && strlen(value) <= d->env.settings->value_max_bytes) {
		rows_tx_put(t, OWNER_TABLE, KEY_ADMISSION, value);
		d->admission_put_ms = now;
	} else {
		/* the store would refuse the whole write */
		log_fields(LOG_WARN, "admission_row_left_out", "{s:i,s:i}",
			   "bytes", value ? (int)strlen(value) : 0,
			   "bound_bytes",
			   (int)d->env.settings->value_max_bytes);
		counter_add(d->env.counters, "admission_rows_left_out", NULL,
			    1);
	}
	free(value);
}

/*
 * Write the changes, of at most JOBS_PER_WRITE_MAX jobs. The write also
 * renews the leadership.
 */
static void write_changes(struct leader *d)
{
	struct rows_tx *t = rows_tx_create(LEADER_PART);
	GPtrArray *jobs;
	bool all;

	/* A final state is recorded with the time at which it was reached. */
	model_update_job_states(d->model, replica_store_clock_ms(d->env.jobs));
	jobs = model_choose_dirty_jobs(d->model, JOBS_PER_WRITE_MAX, &all);
	for (guint i = 0; i < jobs->len; i++) {
		if (put_job_rows(t, g_ptr_array_index(jobs, i)))
			continue;
		all = false;
		d->next_write_ms = clock_mono_ms() + NOT_ENCODED_DELAY_MS;
	}
	/* A full write has no room for another row. */
	if (jobs->len < JOBS_PER_WRITE_MAX)
		put_admission(d, t);
	g_ptr_array_free(jobs, TRUE);
	/* A write that lacks a changed job has no room for removals and does
	 * not cover all ends that were seen. */
	if (all) {
		remove_expired_rows(d, t);
		learned_add_rows(d->learned, t, clock_mono_ms(),
				 replica_store_clock_ms(d->env.states));
		for (guint i = 0; i < d->model->fleet->list->len; i++) {
			struct upstream *u =
				g_ptr_array_index(d->model->fleet->list, i);

			if (u->session)
				session_note_write_sent(u->session);
		}
	}
	starts_note_write_sent(d->starts, d->model);
	election_commit(d->election, t);
}

/* Forget the jobs whose run rows were removed. */
static void forget_removed_jobs(struct leader *d)
{
	for (guint i = d->model->job_list->len; i-- > 0;) {
		struct job *j = g_ptr_array_index(d->model->job_list, i);

		if (j->rows_removed && !j->dirty)
			model_remove_job(d->model, j->id);
	}
}

/*
 * Report whether a follower may have claimed the leadership by now. The process
 * was paused then, or the store was slow.
 */
static bool successor_may_lead(const struct leader *d)
{
	return tenure_remaining_ms(election_tenure(d->election),
				   clock_mono_ms()) +
		       START_AFTER_WRITE_MAX_MS <
	       TENURE_MS;
}

/* Let a start wait for the next write, which is made at once. */
static void postpone_start(struct leader *d, struct task *t)
{
	starts_plan(d->starts, t);
	t->stage->job->dirty = true;
}

/*
 * Send the start orders that have been recorded and still fit. A start whose
 * row may not be in this write, or whose upstream is not known well, waits for
 * the next write. So do all if a successor may lead: it fences orders off at
 * each upstream, but not at one that restarts later.
 */
static void send_recorded_starts(struct leader *d)
{
	GPtrArray *tasks = starts_take_recorded(d->starts, d->model);

	domain_orders_withhold(d->domain_orders, tasks, clock_mono_ms());
	starts_drop_excess(tasks, clock_mono_ms());
	for (guint i = 0; i < tasks->len; i++) {
		struct task *t = g_ptr_array_index(tasks, i);

		/* an order that fails at once may end others of its gang */
		if (t->state != TASK_PLACED || t->sent)
			continue;
		if (successor_may_lead(d))
			postpone_start(d, t);
		else if (!upstream_is_known_well(d, t))
			starts_plan(d->starts, t);
		else if (task_session(t))
			session_start_run(task_session(t), t);
	}
	g_ptr_array_free(tasks, TRUE);
}

static void on_write_committed(void *arg)
{
	struct leader *d = arg;

	if (!d->leading)
		return;
	for (guint i = 0; i < d->model->fleet->list->len; i++) {
		struct upstream *u =
			g_ptr_array_index(d->model->fleet->list, i);

		if (u->session) {
			session_note_write_committed(u->session);
			session_schedule_call(u->session);
		}
	}
	if (election_last_write_ms(d->election) > SLOW_WRITE_MS) {
		log_fields(LOG_INFO, "write_slow", "{s:i}", "took_ms",
			   (int)election_last_write_ms(d->election));
		d->next_write_ms =
			clock_mono_ms() + election_last_write_ms(d->election);
	}
	send_recorded_starts(d);
	forget_removed_jobs(d);
	schedule_pass(d);
}

/*
 * Judge whether the runs have ended on upstreams that were never listed to this
 * leader and whose addresses are unknown, so that they cannot be called.
 */
static void judge_unlisted_upstreams(struct leader *d)
{
	struct loss_facts f = {.now_ms = clock_mono_ms(),
			       .leases_end_ms =
				       d->model->earlier_leases_end_ms};
	uint64_t since_ms = replica_answered_since_ms(d->upstreams);
	struct loss_evidence e = {
		.tag = LOSS_UNLISTED,
		.at_ms = replica_current_at_ms(d->upstreams),
		.u.unlisted = {since_ms ? MAX(since_ms, d->model->regained_ms)
					: 0}};

	for (guint i = 0; i < d->model->fleet->list->len; i++) {
		struct upstream *u =
			g_ptr_array_index(d->model->fleet->list, i);

		if (!u->session && u->tasks->len)
			loss_settle(d->model, u, &e, &f);
	}
}

/*
 * Note which failure domains seem cut off, and call their upstreams: one that
 * answers shows that its domain is not.
 */
static void update_reach(struct leader *d)
{
	struct fleet *f = d->model->fleet;

	if (!reach_update(f, clock_mono_ms()))
		return;
	for (guint i = 0; i < f->list->len; i++) {
		struct upstream *u = g_ptr_array_index(f->list, i);

		if (!u->doubted || !u->session)
			continue;
		log_fields(LOG_INFO, "upstream_doubted", "{s:s,s:s,s:I}",
			   "upstream", u->id, "domain", u->domain, "unheard_ms",
			   (json_int_t)(clock_mono_ms() - u->heard_ms));
		session_schedule_call(u->session);
	}
}

static bool any_job_is_dirty(const struct leader *d)
{
	for (guint i = 0; i < d->model->job_list->len; i++)
		if (((struct job *)g_ptr_array_index(d->model->job_list, i))
			    ->dirty)
			return true;
	return false;
}

/* Run a scheduling pass. */
static void decide(struct leader *d)
{
	judge_unlisted_upstreams(d);
	update_reach(d);
	/* the setting may have changed since the leadership was gained */
	domain_orders_follow_closely(d->domain_orders, true);
	domain_orders_mark(d->domain_orders, d->model->fleet);
	model_update_job_states(d->model, replica_store_clock_ms(d->env.jobs));
	dispatch_jobs(d);
	model_update_job_states(d->model, replica_store_clock_ms(d->env.jobs));
}

/*
 * Run a scheduling pass and write its decisions; both wait while the store
 * is slow, at most until the next write is due in any case.
 */
static void run_pass(void *arg)
{
	struct leader *d = arg;

	uint64_t now = clock_mono_ms();

	if (!d->leading)
		return;
	if (now < d->next_write_ms) {
		timer_start(d->env.loop, &d->pass_timer,
			    d->next_write_ms - now);
		return;
	}
	decide(d);
	if (!election_write_in_flight(d->election) && any_job_is_dirty(d))
		write_changes(d);
}

/* Yield the leadership with the next write if stronger peers are known. */
static void yield_to_stronger_peer(struct leader *d)
{
	uint32_t n = d->env.count_stronger_peers(d->env.arg);

	if (!succession_try_yield(&d->succession, n, clock_mono_ms()))
		return;
	log_fields(LOG_INFO, "leadership_yielded", "{s:I,s:i,s:i}", "epoch",
		   (json_int_t)election_epoch(d->election), "strength",
		   (int)d->env.strength, "stronger_peers", (int)n);
	election_yield(d->election);
}

/*
 * Write now; an instance that still reads writes the owner row alone. The write
 * is sent even if the store is slow, so it takes new decisions along: a pass
 * that waits for the store would find this write in flight.
 */
static void on_write_due(void *arg)
{
	struct leader *d = arg;

	if (!d->leading) {
		election_commit(d->election, rows_tx_create(LEADER_PART));
		return;
	}
	yield_to_stronger_peer(d);
	decide(d);
	write_changes(d);
}

/* Create the leader task; it leads once the owner row names this instance. */
struct leader *leader_create(const struct leader_env *e)
{
	struct leader *d = g_new0(struct leader, 1);
	struct election_events ev = {.gained = on_leadership_gained,
				     .lost = on_leadership_lost,
				     .committed = on_write_committed,
				     .write_due = on_write_due};

	d->env = *e;
	d->starts = starts_create();
	d->domain_orders = domain_orders_create(e->settings, e->policies);
	d->odd_entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	d->election = election_create(
		e->loop, e->rows, e->counters, e->settings->instance,
		e->incarnation, succession_claim_delay_ms(e->strength), &ev, d);
	timer_init(&d->pass_timer, run_pass, d);
	return d;
}

/* Free d. */
void leader_destroy(struct leader *d)
{
	if (!d)
		return;
	stop_leading(d);
	election_destroy(d->election);
	starts_destroy(d->starts);
	domain_orders_destroy(d->domain_orders);
	g_hash_table_destroy(d->odd_entries);
	g_free(d->guarantees);
	g_free(d);
}

/* Apply the owner row; value is NULL when it was removed. */
void leader_apply_owner_row(struct leader *d, const char *value,
			    uint64_t version)
{
	election_apply_row(d->election, value, version);
}

/* Note an answer about the owner row and decide whether to claim. */
void leader_note_owner_answer(struct leader *d)
{
	const struct leader_env *e = &d->env;

	election_note_larger_peers(d->election,
				   e->count_larger_peers &&
					   e->count_larger_peers(e->arg));
	election_consider_claim(
		d->election, replica_answered_since_ms(d->env.owners),
		replica_is_complete(d->env.owners) && d->policy &&
			replica_is_complete(d->env.jobs));
}

/* Apply a row of the jobs table; value is NULL when it was removed. */
void leader_apply_job_row(struct leader *d, const char *key, const char *value)
{
	struct job *j;

	if (!d->leading || !value || !g_str_has_prefix(key, KEY_CANCEL))
		return;
	j = model_find_job(d->model, key + strlen(KEY_CANCEL));
	if (!j)
		return;
	cancel_job(d, j);
	schedule_pass(d);
}

/* Apply a newer policy, which the caller keeps until the next call. */
void leader_apply_policy(struct leader *d, const struct policy *p)
{
	d->policy = p;
	g_free(d->guarantees);
	d->guarantees = g_new0(struct account_guarantee, p->accounts_len + 1);
	d->guarantees_len = p->accounts_len;
	for (uint32_t i = 0; i < p->accounts_len; i++) {
		d->guarantees[i].account = p->accounts[i].name;
		d->guarantees[i].accelerators = p->accounts[i].guaranteed;
	}
	if (!d->leading)
		return;
	model_apply_policy(d->model, p);
	schedule_pass(d);
}

/* Apply the row that evacuates a failure domain, or its removal. */
void leader_apply_evacuation_row(struct leader *d, const char *domain,
				 bool present)
{
	if (domain_orders_apply_row(d->domain_orders, domain, present))
		schedule_pass(d);
}

/* Return the number of evacuated failure domains. */
uint32_t leader_count_evacuated(const struct leader *d)
{
	return domain_orders_count(d->domain_orders);
}

/* Resign the leadership and never claim it again. */
void leader_resign(struct leader *d)
{
	election_resign(d->election);
	if (election_is_leader(d->election) &&
	    !election_write_in_flight(d->election))
		on_write_due(d);
}

/* Report whether this instance leads and has its model. */
bool leader_is_active(const struct leader *d)
{
	return d->leading;
}

/* Return the number of groups of runs whose durations are learned. */
uint32_t leader_count_learned_groups(const struct leader *d)
{
	return d->leading ? duration_groups_count(
				    estimator_durations(d->model->estimator))
			  : 0;
}
