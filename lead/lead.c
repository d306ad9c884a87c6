/*
 * Leading.  Decisions are recorded before orders to start go out; ends
 * are recorded before they are acknowledged; stops need no record.
 */
#include <stdlib.h>
#include <string.h>

#include "lead/keeper.h"
#include "lead/lead.h"
#include "lead/owner.h"
#include "lib/log.h"

/* Jobs in one write: the platform takes 100 entries, two are the owner
 * row's, and a removal takes three. */
#define JOBS_PER_WRITE 90
#define REMOVALS_PER_WRITE 2
/* Rows of ended jobs stay this much longer than they can be asked for. */
#define KEEP_SLACK_MS 10000
/* Pauses between an answer of the feed and the next call: an instance
 * that does not lead reads our table, and the list of upstreams, at
 * these intervals; the leader reads the list at the last one. */
#define FOLLOW_GAP_MS 150
#define FOLLOW_LIST_GAP_MS 1000
#define LEAD_LIST_GAP_MS 150

struct planned_start {
	char task[TASK_NAME_BYTES];
	uint32_t run;
};

struct lead {
	struct lead_env env;
	struct owner *owner;
	struct keeper_env keepers;
	const struct policy *policy;
	bool leading;		/* the model is complete */
	uint64_t claim_version; /* the copy of our table must reach it */
	bool claimed;
	struct model *model;
	GArray *planned; /* starts that are not in a write yet */
	GArray *written; /* starts in the write in flight */
	struct guarantee_count *guarantees;
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
	d->claimed = false;
	d->leading = false;
	timer_stop(d->env.loop, &d->work);
	for (guint i = 0; d->model && i < d->model->fleet->list->len; i++) {
		struct upstream *u =
			g_ptr_array_index(d->model->fleet->list, i);

		keeper_destroy(u->keeper);
	}
	model_destroy(d->model);
	d->model = NULL;
	g_array_set_size(d->planned, 0);
	g_array_set_size(d->written, 0);
	follower_set_gap(d->env.ours, FOLLOW_GAP_MS);
	follower_set_gap(d->env.upstreams, FOLLOW_LIST_GAP_MS);
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

static void add_upstream(void *arg, const char *id, const char *value,
			 uint64_t version)
{
	(void)version;
	lead_upstream(arg, id, value);
}

static uint64_t born_of(void *arg, const struct upstream *u)
{
	(void)arg;
	return u->keeper ? keeper_born(u->keeper) : 0;
}

/* A task that an earlier leader has placed: on the upstream until it is
 * known to have ended. */
static void inherit(void *arg, struct task *t, const char *upstream,
		    uint64_t born)
{
	struct lead *d = arg;
	struct upstream *u = fleet_find(d->model->fleet, upstream);

	if (!u) {
		u = fleet_add(d->model->fleet, upstream);
		u->state = UPSTREAM_GONE;
	}
	if (u->keeper && keeper_born(u->keeper) != born)
		return; /* that life has ended, and the run with it */
	task_place(t, u, t->run, clock_mono_ms());
	t->inherited = true;
	t->sent = true;
}

static void add_job(struct lead *d, const char *id, const char *value)
{
	struct job *j;
	const char *run;
	char *key;
	uint64_t age, store = follower_store_ms(d->env.ours);

	if (model_job(d->model, id))
		return;
	j = job_decode(id, value);
	if (!j) {
		log_fields(LOG_ERROR, "bad_row", "{s:s}", "job", id);
		return;
	}
	age = store > j->received_ms ? store - j->received_ms : 0;
	j->since_ms = clock_mono_ms() - MIN(age, clock_mono_ms() - 1);
	model_add_job(d->model, j);
	key = g_strconcat(KEY_RUN, id, NULL);
	run = follower_get(d->env.ours, key, NULL);
	g_free(key);
	if (run && !run_decode(j, run, inherit, d))
		log_fields(LOG_ERROR, "bad_row", "{s:s,s:s}", "job", id, "run",
			   run);
	j->dirty = false;
}

static void cancel_job(struct lead *d, const char *id)
{
	struct job *j = model_job(d->model, id);

	if (!j || j->cancel_wanted)
		return;
	job_cancel(j, follower_store_ms(d->env.ours));
	log_fields(LOG_INFO, "job_cancelled", "{s:s,s:s}", "job", id, "state",
		   job_state_name(j->state));
}

static void build_row(void *arg, const char *key, const char *value,
		      uint64_t version)
{
	struct lead *d = arg;

	(void)version;
	if (g_str_has_prefix(key, KEY_JOB))
		add_job(d, key + strlen(KEY_JOB), value);
}

static void build_cancel(void *arg, const char *key, const char *value,
			 uint64_t version)
{
	(void)value;
	(void)version;
	cancel_job(arg, key + strlen(KEY_CANCEL));
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
	follower_each(e->upstreams, "", add_upstream, d);
	follower_each(e->ours, KEY_JOB, build_row, d);
	model_apply_policy(d->model, d->policy);
	follower_each(e->ours, KEY_CANCEL, build_cancel, d);
	log_fields(LOG_INFO, "leading", "{s:I,s:i,s:i,s:I,s:I}", "epoch",
		   (json_int_t)owner_epoch(d->owner), "jobs",
		   (int)d->model->live->len, "upstreams",
		   (int)d->model->fleet->list->len, "table_version",
		   (json_int_t)follower_version(e->ours), "policy",
		   (json_int_t)(d->policy ? d->policy->version : 0));
	want_work(d);
}

static void on_gained(void *arg, uint64_t version)
{
	struct lead *d = arg;

	d->claimed = true;
	d->claim_version = version;
	follower_set_gap(d->env.ours, 0);
	follower_set_gap(d->env.upstreams, LEAD_LIST_GAP_MS);
	lead_answered(d);
}

/* Note an answer of the store: claim, or build the model, if it is time. */
void lead_answered(struct lead *d)
{
	const struct lead_env *e = &d->env;

	owner_consider(d->owner, follower_answered_since_ms(e->ours),
		       follower_complete(e->ours) &&
			       follower_complete(e->upstreams) && d->policy);
	if (d->claimed && !d->leading &&
	    follower_version(e->ours) >= d->claim_version)
		build(d);
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

	task_name(a->task, s.task, sizeof(s.task));
	g_array_append_val(d->planned, s);
	log_fields(LOG_INFO, "start_decided",
		   "{s:s,s:s,s:I,s:s,s:s,s:I,s:I,s:i}", "job", j->id, "task",
		   s.task, "run", (json_int_t)s.run, "upstream", a->u.to->id,
		   "rack", a->u.to->rack, "waited_ms",
		   (json_int_t)(now - a->task->stage->since_ms), "age_ms",
		   (json_int_t)(now - j->since_ms), "priority",
		   (int)j->priority);
}

static void do_stop(struct lead *d, const struct action *a)
{
	struct task *t = a->task;
	char name[TASK_NAME_BYTES];

	task_name(t, name, sizeof(name));
	log_fields(LOG_INFO, "stop_decided", "{s:s,s:s,s:I,s:s,s:s}", "job",
		   t->stage->job->id, "task", name, "run", (json_int_t)t->run,
		   "upstream", t->at->id, "why", stop_cause_name(a->u.cause));
	if (!t->sent)
		task_end(t, RUN_NEVER, NULL, clock_mono_ms());
	else if (keeper_of(t))
		keeper_stop(keeper_of(t), t);
	(void)d;
}

static void decide(struct lead *d)
{
	struct dispatch_view v = {
		.jobs = d->model->live,
		.fleet = d->model->fleet,
		.guarantees = d->guarantees,
		.guarantees_len = d->guarantees_len,
		.now_ms = clock_mono_ms(),
		.wall_ms = clock_wall_ms(),
		.learn = d->model->learn,
		.checkpoint_ms = d->env.settings->checkpoint_ms,
		.stop_ms = d->env.settings->stop_ms,
		.reclaim_ms = d->env.settings->reclaim_ms,
	};
	GArray *actions = dispatch(&v);

	for (guint i = 0; i < actions->len; i++) {
		const struct action *a =
			&g_array_index(actions, struct action, i);

		switch (a->tag) {
		case ACTION_START:
			note_start(d, a);
			break;
		case ACTION_STOP:
			do_stop(d, a);
			break;
		}
	}
	g_array_unref(actions);
}

static void put_run(struct lead *d, struct rows_tx *t, struct job *j)
{
	char *key = g_strconcat(KEY_RUN, j->id, NULL);
	char *value = run_encode(j, born_of, d);

	rows_tx_put(t, OUR_TABLE, key, value);
	j->dirty = false;
	free(value);
	g_free(key);
}

static void remove_row(struct rows_tx *t, const char *prefix, const char *id)
{
	char *key = g_strconcat(prefix, id, NULL);

	rows_tx_remove(t, OUR_TABLE, key);
	g_free(key);
}

/* Remove the rows of jobs that nobody can ask for any more. */
static void put_removals(struct lead *d, struct rows_tx *t)
{
	uint64_t store = follower_store_ms(d->env.ours);
	uint64_t keep = d->env.settings->keep_ended_ms + KEEP_SLACK_MS;
	GHashTableIter it;
	gpointer v;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, d->model->jobs);
	while (n < REMOVALS_PER_WRITE && g_hash_table_iter_next(&it, NULL, &v)) {
		struct job *j = v;

		if (!job_over(j) || !j->ended_ms || j->ended_ms + keep > store)
			continue;
		remove_row(t, KEY_JOB, j->id);
		remove_row(t, KEY_RUN, j->id);
		remove_row(t, KEY_CANCEL, j->id);
		n++;
	}
}

/* Write all that has changed, and the beat of the leader with it. */
static void record(struct lead *d)
{
	struct rows_tx *t = rows_tx_create();
	GArray *starts = d->written;
	uint32_t n = 0;

	for (guint i = 0; i < d->model->live->len; i++) {
		struct job *j = g_ptr_array_index(d->model->live, i);

		if (j->dirty && n++ < JOBS_PER_WRITE)
			put_run(d, t, j);
	}
	if (n <= JOBS_PER_WRITE) {
		put_removals(d, t);
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
	send_starts(d);
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

	if (!d->leading)
		return;
	lose_unlisted(d);
	model_sweep(d->model, follower_store_ms(d->env.ours));
	if (!owner_writing(d->owner))
		decide(d);
	model_sweep(d->model, follower_store_ms(d->env.ours));
	if (!owner_writing(d->owner) && anything_dirty(d))
		record(d);
}

static void on_beat(void *arg)
{
	struct lead *d = arg;

	if (!d->leading) {
		owner_commit(d->owner, rows_tx_create());
		return;
	}
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
				e->settings->instance, e->incarnation, &ev, d);
	timer_init(&d->work, work, d);
	follower_set_gap(e->ours, FOLLOW_GAP_MS);
	follower_set_gap(e->upstreams, FOLLOW_LIST_GAP_MS);
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

/* Take in a change of our table; value NULL: the row was removed. */
void lead_row(struct lead *d, const char *key, const char *value,
	      uint64_t version)
{
	if (!strcmp(key, KEY_OWNER))
		owner_row(d->owner, value, version);
	if (!d->leading)
		return;
	if (g_str_has_prefix(key, KEY_JOB)) {
		const char *id = key + strlen(KEY_JOB);

		if (value) {
			add_job(d, id, value);
			model_apply_policy(d->model, d->policy);
		} else {
			model_remove_job(d->model, id);
		}
		want_work(d);
	} else if (g_str_has_prefix(key, KEY_CANCEL) && value) {
		cancel_job(d, key + strlen(KEY_CANCEL));
		want_work(d);
	}
}

/* Take in a change of the list of upstreams; value NULL: removed. */
void lead_upstream(struct lead *d, const char *id, const char *value)
{
	struct upstream_entry e;
	struct upstream *u;

	if (!d->leading)
		return;
	u = fleet_find(d->model->fleet, id);
	if (!value || !decode_upstream(value, &e)) {
		if (value)
			log_fields(LOG_WARN, "bad_upstream_entry", "{s:s}",
				   "upstream", id);
		if (u && u->state != UPSTREAM_GONE) {
			log_fields(LOG_INFO, "upstream_unlisted", "{s:s,s:i}",
				   "upstream", id, "tasks", (int)u->tasks->len);
			u->state = UPSTREAM_GONE;
		}
		return;
	}
	if (!u)
		u = fleet_add(d->model->fleet, id);
	if (u->keeper)
		keeper_entry(u->keeper, &e);
	else
		u->keeper = keeper_create(&d->keepers, u, &e);
	want_work(d);
}

/* Take in a newer policy, which the caller keeps until the next call. */
void lead_policy(struct lead *d, const struct policy *p)
{
	d->policy = p;
	g_free(d->guarantees);
	d->guarantees = g_new0(struct guarantee_count, p->accounts_len + 1);
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
