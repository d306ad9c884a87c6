/*
 * Leading.  Decisions are recorded before orders to start go out; ends
 * are recorded before they are acknowledged; stops need no record.
 */
#include <stdlib.h>
#include <string.h>

#include "lead/expire.h"
#include "lead/keeper.h"
#include "lead/lead.h"
#include "lead/owner.h"
#include "lead/succession.h"
#include "lib/log.h"

/* Jobs in one write: the platform takes 100 entries, two are the owner
 * row's, a job takes two and a removal (EXPIRE_MOST of them) one. */
#define JOBS_PER_WRITE 40
/* When a write takes longer than this, the next one waits as long again:
 * other instances' writes need the store as well. */
#define SLOW_WRITE_MS 50
/* A decision that takes longer than this is logged. */
#define SLOW_PASS_MS 50
/* How often to look for rows that are not needed any more. */
#define REMOVE_EVERY_MS 2000
/* How long a call of a feed is held by the store. */
#define FEED_WAIT_MS 1000
/* Rows of ended jobs stay this much longer than they can be asked for. */
#define KEEP_SLACK_MS 10000
/* Pause between an answer of the feed of the list of upstreams, in which
 * something always changes, and the next call. */
#define LIST_GAP_MS 150

struct planned_start {
	char task[TASK_NAME_BYTES];
	uint32_t run;
};

struct lead {
	struct lead_env env;
	struct owner *owner;
	struct succession succession;
	struct keeper_env keepers;
	const struct policy *policy;
	bool leading; /* the model is complete */
	/* while it leads, or reads what its predecessor has left */
	struct follower *specs;
	struct follower *runs;
	struct follower *states; /* as they were after the claim */
	struct follower *upstreams;
	uint64_t removed_ms;	 /* when it last looked for old rows */
	uint64_t write_after_ms; /* the store is slow: not before */
	struct model *model;
	GArray *planned; /* starts that are not in a write yet */
	GArray *written; /* starts in the write in flight */
	struct account_guarantee *guarantees;
	uint32_t guarantees_len;
	struct timer work;
};

static void work(void *arg);

static void want_work(void *arg)
{
	struct lead *d = arg;

	if (d->leading && !timer_running(&d->work))
		timer_start(d->env.loop, &d->work, 0);
}

static void stop_leading(struct lead *d)
{
	d->leading = false;
	succession_lost(&d->succession);
	timer_stop(d->env.loop, &d->work);
	follower_destroy(d->specs);
	follower_destroy(d->runs);
	follower_destroy(d->states);
	follower_destroy(d->upstreams);
	d->specs = d->runs = d->states = d->upstreams = NULL;
	follower_set_gap(d->env.jobs, d->env.jobs_gap_ms);
	for (guint i = 0; d->model && i < d->model->fleet->list->len; i++) {
		struct upstream *u =
			g_ptr_array_index(d->model->fleet->list, i);

		keeper_destroy(u->keeper);
	}
	model_destroy(d->model);
	d->model = NULL;
	g_array_set_size(d->planned, 0);
	g_array_set_size(d->written, 0);
}

static void on_lost(void *arg, const char *why)
{
	(void)why;
	stop_leading(arg);
}

static void on_stale(void *arg)
{
	/* The owner row will show who it is; until then nothing is lost by
	 * going on: no order of ours is obeyed there. */
	struct lead *d = arg;

	counter_add(d->env.counters, "stale_epoch", NULL, 1);
}

static void inherit(void *arg, struct task *t, const char *upstream,
		    uint64_t born_wall_ms)
{
	struct lead *d = arg;

	model_inherit(d->model, t, upstream, born_wall_ms, clock_mono_ms());
}

static void cancel_job(struct lead *d, struct job *j)
{
	if (j->cancel_wanted)
		return;
	job_cancel(j, follower_store_ms(d->env.jobs));
	log_fields(LOG_INFO, "job_cancelled", "{s:s,s:s}", "job", j->id,
		   "state", job_state_name(j->state));
}

static bool cancel_recorded(const struct lead *d, const char *id)
{
	char *key = g_strconcat(KEY_CANCEL, id, NULL);
	bool found = follower_get(d->env.jobs, key, NULL) != NULL;

	g_free(key);
	return found;
}

/* Report whether a job is over and nothing of it runs any more. */
static bool ended(const struct lead *d, const char *id)
{
	const char *value =
		follower_get(d->states ? d->states : d->env.states, id, NULL);
	struct state_record r;

	return value && state_decode(value, &r) && job_state_is_final(r.state);
}

/* Log what a job asks for, so that its waiting can be explained. */
static void log_job(const struct job *j)
{
	const struct step *s = &j->steps[0];

	log_fields(LOG_INFO, "job_known",
		   "{s:s,s:s,s:s,s:i,s:i,s:i,s:I,s:I,s:b,s:b,s:b,s:I}", "job",
		   j->id, "queue", j->queue, "account", j->account, "priority",
		   (int)j->priority, "steps", (int)j->steps_len, "tasks",
		   (int)s->count, "accelerators",
		   (json_int_t)s->need.accelerators, "cpu_milli",
		   (json_int_t)s->need.cpu_milli, "gang", s->gang, "one_rack",
		   s->rack_sensitive, "checkpoints", s->checkpoints,
		   "estimate_ms", (json_int_t)s->estimate_ms);
}

static void add_job(struct lead *d, const char *id, const char *value)
{
	struct job *j;
	const char *run = d->runs ? follower_get(d->runs, id, NULL) : NULL;
	uint64_t age, store = follower_store_ms(d->env.jobs);

	if (model_job(d->model, id) || (!run && ended(d, id)))
		return;
	j = spec_decode(id, value);
	if (!j) {
		log_fields(LOG_ERROR, "bad_row", "{s:s}", "job", id);
		return;
	}
	age = store > j->received_ms ? store - j->received_ms : 0;
	j->since_ms = clock_mono_ms() - MIN(age, clock_mono_ms() - 1);
	model_add_job(d->model, j);
	if (run && !run_decode(j, run, inherit, d))
		log_fields(LOG_ERROR, "bad_row", "{s:s,s:s}", "job", id, "run",
			   run);
	j->dirty = job_is_final(j); /* its rows have to be removed */
	j->recorded_state = j->state;
	model_job_policy(j, d->policy);
	log_job(j);
	if (cancel_recorded(d, id))
		cancel_job(d, j);
}

static void spec_row(void *arg, const char *id, const char *value,
		     uint64_t version)
{
	struct lead *d = arg;

	(void)version;
	if (!d->leading)
		return;
	if (value)
		add_job(d, id, value);
	else
		model_remove_job(d->model, id);
	want_work(d);
}

static void build_spec(void *arg, const char *id, const char *value,
		       uint64_t version)
{
	(void)version;
	add_job(arg, id, value);
}

/* Take in a change of the list of upstreams; value NULL: removed. */
static void upstream_row(void *arg, const char *id, const char *value,
			 uint64_t version)
{
	struct lead *d = arg;
	struct upstream_entry e;
	struct upstream *u;

	(void)version;
	if (!d->leading)
		return;
	u = fleet_find_upstream(d->model->fleet, id);
	if (!value || !decode_upstream(value, &e)) {
		if (value)
			log_fields(LOG_WARN, "bad_upstream_entry", "{s:s}",
				   "upstream", id);
		if (u && u->state != UPSTREAM_GONE) {
			log_fields(LOG_INFO, "upstream_unlisted", "{s:s,s:i}",
				   "upstream", id, "tasks", (int)u->tasks->len);
			if (u->keeper)
				keeper_unlisted(u->keeper);
			u->state = UPSTREAM_GONE;
		}
		return;
	}
	if (!u)
		u = fleet_add_upstream(d->model->fleet, id);
	if (u->keeper)
		keeper_entry(u->keeper, &e);
	else
		u->keeper = keeper_create(&d->keepers, u, &e);
	want_work(d);
}

/* Build the model from the copies of the tables. */
static void build(struct lead *d)
{
	struct lead_env *e = &d->env;

	d->keepers = (struct keeper_env){
		.loop = e->loop,
		.http = e->http,
		.counters = e->counters,
		.settings = e->settings,
		.epoch = owner_epoch(d->owner),
		.earlier_leases_ms = owner_earlier_leases_ms(
			d->owner, e->settings->lease_ms),
		.events = {.changed = want_work, .stale = on_stale},
		.arg = d,
	};
	d->model = model_create();
	d->keepers.model = d->model;
	d->leading = true;
	succession_gained(&d->succession, clock_mono_ms());
	follower_each(d->upstreams, "", upstream_row, d);
	follower_each(d->specs, "", build_spec, d);
	follower_destroy(d->runs);
	follower_destroy(d->states);
	d->runs = d->states = NULL;
	log_fields(LOG_INFO, "leading", "{s:I,s:i,s:i,s:I,s:I}", "epoch",
		   (json_int_t)owner_epoch(d->owner), "jobs",
		   (int)d->model->live->len, "upstreams",
		   (int)d->model->fleet->list->len, "specs_version",
		   (json_int_t)follower_version(d->specs), "policy",
		   (json_int_t)(d->policy ? d->policy->version : 0));
	want_work(d);
}

/* Build the model once all that a predecessor has left was read. */
static void on_read(void *arg)
{
	struct lead *d = arg;

	if (!d->leading && d->specs && follower_complete(d->specs) &&
	    follower_complete(d->runs) && follower_complete(d->upstreams) &&
	    follower_complete(d->states) && d->policy &&
	    follower_complete(d->env.jobs))
		build(d);
}

static void ignore_row(void *arg, const char *key, const char *value,
		       uint64_t version)
{
	(void)arg;
	(void)key;
	(void)value;
	(void)version;
}

/* The claim has taken effect: what is read from now on is complete. */
static void on_gained(void *arg, uint64_t version)
{
	struct lead *d = arg;
	const struct lead_env *e = &d->env;
	struct follower_events specs = {.changed = spec_row,
					.answered = on_read};
	struct follower_events runs = {.changed = ignore_row,
				       .answered = on_read};
	struct follower_events list = {.changed = upstream_row,
				       .answered = on_read};

	(void)version;
	d->states = follower_create(e->loop, e->rows, STATE_TABLE,
				    follower_one_part, FEED_WAIT_MS, &runs, d);
	d->specs = follower_create(e->loop, e->rows, SPEC_TABLE, job_parts,
				   FEED_WAIT_MS, &specs, d);
	d->runs = follower_create(e->loop, e->rows, RUN_TABLE,
				  follower_one_part, FEED_WAIT_MS, &runs, d);
	d->upstreams =
		follower_create(e->loop, e->rows, UPSTREAM_TABLE,
				follower_one_part, FEED_WAIT_MS, &list, d);
	follower_set_gap(d->upstreams, LIST_GAP_MS);
	follower_set_gap(e->jobs, 0); /* wishes to cancel come with them */
}

static struct keeper *keeper_of(const struct task *t)
{
	return t->at ? t->at->keeper : NULL;
}

static void note_start(struct lead *d, const struct action *a)
{
	struct planned_start s = {.run = a->task->run};
	const struct job *j = a->task->stage->job;
	uint64_t now = clock_mono_ms();

	task_format_name(a->task, s.task, sizeof(s.task));
	g_array_append_val(d->planned, s);
	log_fields(
		LOG_INFO, "start_decided", "{s:s,s:s,s:I,s:s,s:s,s:I,s:I,s:i}",
		"job", j->id, "task", s.task, "run", (json_int_t)s.run,
		"upstream", a->u.to->id, "rack", a->u.to->rack, "waited_ms",
		(json_int_t)(now - a->task->stage->since_ms), "age_ms",
		(json_int_t)(now - j->since_ms), "priority", (int)j->priority);
}

static void do_stop(const struct action *a)
{
	struct task *t = a->task;
	char name[TASK_NAME_BYTES];

	task_format_name(t, name, sizeof(name));
	log_fields(LOG_INFO, "stop_decided", "{s:s,s:s,s:I,s:s,s:s}", "job",
		   t->stage->job->id, "task", name, "run", (json_int_t)t->run,
		   "upstream", t->at->id, "why", stop_cause_name(a->u.cause));
	if (!t->sent)
		task_end_run(t, RUN_NEVER_STARTED, NULL, clock_mono_ms());
	else if (keeper_of(t))
		keeper_stop(keeper_of(t), t);
}

static void decide(struct lead *d)
{
	struct dispatch_input v = {
		.jobs = d->model->live,
		.fleet = d->model->fleet,
		.guarantees = d->guarantees,
		.guarantees_len = d->guarantees_len,
		.now_ms = clock_mono_ms(),
		.wall_ms = clock_wall_ms(),
		.stops_only = owner_writing(d->owner),
		.estimator = d->model->estimator,
		.checkpoint_ms = d->env.settings->checkpoint_ms,
		.stop_ms = d->env.settings->stop_ms,
		.reclaim_ms = d->env.settings->reclaim_ms,
		.lease_ms = d->env.settings->lease_ms,
	};
	uint64_t began_us = clock_mono_us(), took_us;
	GArray *actions = dispatch(&v);

	took_us = clock_mono_us() - began_us;
	latency_add(d->env.counters, "pass", took_us);
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
			note_start(d, a);
			break;
		case ACTION_STOP:
			do_stop(a);
			break;
		}
	}
	g_array_unref(actions);
}

static void put_state(struct rows_tx *t, struct job *j)
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

/* Write what has changed of j; only the state remains of one that is over. */
static void put_job(struct rows_tx *t, struct job *j)
{
	char *value;

	j->dirty = false;
	if (job_is_final(j) && !job_has_active_tasks(j)) {
		put_state(t, j);
		rows_tx_remove(t, RUN_TABLE, j->id);
		j->rows_removed = true;
		return;
	}
	if (j->state != j->recorded_state)
		put_state(t, j);
	value = run_encode(j);
	rows_tx_put(t, RUN_TABLE, j->id, value);
	free(value);
}

/* Remove now and then the rows that are not needed any more. */
static void remove_rows(struct lead *d, struct rows_tx *t)
{
	struct expiry e = {.rows = d->env.rows,
			   .states = d->env.states,
			   .specs = d->specs,
			   .model = d->model};
	uint64_t store = follower_store_ms(d->env.states);
	uint64_t keep = d->env.settings->keep_ended_ms + KEEP_SLACK_MS;
	uint64_t now = clock_mono_ms();

	if (now < d->removed_ms + REMOVE_EVERY_MS)
		return;
	d->removed_ms = now;
	e.before_ms = store > keep ? store - keep : 0;
	expire_rows(&e, t);
	expire_instances(d->env.owners, t);
}

/* Write all that has changed, and the beat of the leader with it. */
static void record(struct lead *d)
{
	struct rows_tx *t = rows_tx_create(LEADER_PART);
	GArray *starts = d->written;
	uint32_t n = 0;

	/* a final state is recorded with the time at which it was reached */
	model_sweep(d->model, follower_store_ms(d->env.jobs));
	for (guint i = 0; i < d->model->live->len; i++) {
		struct job *j = g_ptr_array_index(d->model->live, i);

		if (j->dirty && n++ < JOBS_PER_WRITE)
			put_job(t, j);
	}
	if (n <= JOBS_PER_WRITE) {
		remove_rows(d, t);
		for (guint i = 0; i < d->model->fleet->list->len; i++) {
			struct upstream *u =
				g_ptr_array_index(d->model->fleet->list, i);

			if (u->keeper)
				keeper_mark(u->keeper);
		}
	}
	g_array_set_size(starts, 0);
	d->written = d->planned;
	d->planned = starts;
	owner_commit(d->owner, t);
}

/* Forget the jobs whose rows were removed. */
static void forget_removed(struct lead *d)
{
	for (guint i = d->model->live->len; i-- > 0;) {
		struct job *j = g_ptr_array_index(d->model->live, i);

		if (j->rows_removed && !j->dirty)
			model_remove_job(d->model, j->id);
	}
}

/* The recorded starts may go out now. */
static void send_starts(struct lead *d)
{
	for (guint i = 0; i < d->written->len; i++) {
		const struct planned_start *s =
			&g_array_index(d->written, struct planned_start, i);
		struct task *t = model_task(d->model, s->task);

		if (!t || t->run != s->run || t->state != TASK_PLACED ||
		    t->sent)
			continue;
		if (t->stage->job->dirty) {
			/* its row may not be in the write: go with the next */
			g_array_append_val(d->planned, *s);
			continue;
		}
		if (keeper_of(t))
			keeper_start(keeper_of(t), t);
	}
	g_array_set_size(d->written, 0);
}

static void on_committed(void *arg)
{
	struct lead *d = arg;

	if (!d->leading)
		return;
	for (guint i = 0; i < d->model->fleet->list->len; i++) {
		struct upstream *u =
			g_ptr_array_index(d->model->fleet->list, i);

		if (u->keeper) {
			keeper_recorded(u->keeper);
			keeper_poke(u->keeper);
		}
	}
	if (owner_write_ms(d->owner) > SLOW_WRITE_MS) {
		log_fields(LOG_INFO, "write_slow", "{s:i}", "took_ms",
			   (int)owner_write_ms(d->owner));
		d->write_after_ms = clock_mono_ms() + owner_write_ms(d->owner);
	}
	send_starts(d);
	forget_removed(d);
	want_work(d);
}

/* Tasks on upstreams that nobody lists end with the last leases. */
static void lose_unlisted(struct lead *d)
{
	uint64_t now = clock_mono_ms();

	if (now <= d->keepers.earlier_leases_ms)
		return;
	for (guint i = 0; i < d->model->fleet->list->len; i++) {
		struct upstream *u =
			g_ptr_array_index(d->model->fleet->list, i);

		if (!u->keeper && u->tasks->len)
			model_lose_upstream(d->model, u, now,
					    "not listed, leases ended");
	}
}

static bool anything_dirty(const struct lead *d)
{
	for (guint i = 0; i < d->model->live->len; i++)
		if (((struct job *)g_ptr_array_index(d->model->live, i))->dirty)
			return true;
	return false;
}

static void work(void *arg)
{
	struct lead *d = arg;

	uint64_t now = clock_mono_ms();

	if (!d->leading)
		return;
	if (now < d->write_after_ms) {
		timer_start(d->env.loop, &d->work, d->write_after_ms - now);
		return;
	}
	lose_unlisted(d);
	model_sweep(d->model, follower_store_ms(d->env.jobs));
	decide(d);
	model_sweep(d->model, follower_store_ms(d->env.jobs));
	if (!owner_writing(d->owner) && anything_dirty(d))
		record(d);
}

/* Give the leadership away with the next write if others suit it better. */
static void yield_to_stronger(struct lead *d)
{
	uint32_t n = d->env.stronger(d->env.arg);

	if (!succession_yields(&d->succession, n, clock_mono_ms()))
		return;
	log_fields(LOG_INFO, "leadership_yielded", "{s:I,s:i,s:i}", "epoch",
		   (json_int_t)owner_epoch(d->owner), "strength",
		   (int)d->env.strength, "stronger_peers", (int)n);
	owner_yield(d->owner);
}

static void on_beat(void *arg)
{
	struct lead *d = arg;

	if (!d->leading) {
		owner_commit(d->owner, rows_tx_create(LEADER_PART));
		return;
	}
	yield_to_stronger(d);
	if (clock_mono_ms() >= d->write_after_ms)
		work(d);
	if (!owner_writing(d->owner))
		record(d);
}

/* Create the task; it leads when the owner row says so. */
struct lead *lead_create(const struct lead_env *e)
{
	struct lead *d = g_new0(struct lead, 1);
	struct owner_events ev = {.gained = on_gained,
				  .lost = on_lost,
				  .committed = on_committed,
				  .beat = on_beat};

	d->env = *e;
	d->planned = g_array_new(FALSE, FALSE, sizeof(struct planned_start));
	d->written = g_array_new(FALSE, FALSE, sizeof(struct planned_start));
	d->owner = owner_create(e->loop, e->rows, e->counters,
				e->settings->instance, e->incarnation,
				succession_handicap_ms(e->strength), &ev, d);
	timer_init(&d->work, work, d);
	return d;
}

/* Free d. */
void lead_destroy(struct lead *d)
{
	if (!d)
		return;
	stop_leading(d);
	owner_destroy(d->owner);
	g_array_unref(d->planned);
	g_array_unref(d->written);
	g_free(d->guarantees);
	g_free(d);
}

/* Take in the owner row; value NULL: it was removed. */
void lead_owner_row(struct lead *d, const char *value, uint64_t version)
{
	owner_row(d->owner, value, version);
}

/* Note an answer about the owner row: see whether to claim. */
void lead_owner_answered(struct lead *d)
{
	owner_consider(d->owner, follower_answered_since_ms(d->env.owners),
		       follower_complete(d->env.owners) && d->policy &&
			       follower_complete(d->env.jobs));
}

/* Take in a row of the table of jobs; value NULL: it was removed. */
void lead_job_row(struct lead *d, const char *key, const char *value)
{
	struct job *j;

	if (!d->leading || !value || !g_str_has_prefix(key, KEY_CANCEL))
		return;
	j = model_job(d->model, key + strlen(KEY_CANCEL));
	if (!j)
		return;
	cancel_job(d, j);
	want_work(d);
}

/* Take in a newer policy, which the caller keeps until the next call. */
void lead_policy(struct lead *d, const struct policy *p)
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
	want_work(d);
}

/* Give the leadership away, or never take it. */
void lead_retire(struct lead *d)
{
	owner_retire(d->owner);
	if (owner_leads(d->owner) && !owner_writing(d->owner))
		on_beat(d);
}

/* Report whether this instance leads and has its model. */
bool lead_leads(const struct lead *d)
{
	return d->leading;
}
