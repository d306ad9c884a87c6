/*
 * Who decides for the domain.  One instance claims every upstream with
 * an epoch larger than any seen, and so learns what runs there; from
 * then on the upstreams obey it alone.  It starts nothing before every
 * upstream that exists was claimed, and before it knows every job as
 * the table had it after that: so two instances never start one job,
 * whatever each believes of the other.
 */
#include <string.h>

#include "daemon/domain.h"
#include "daemon/jobs.h"

#define TICK_MS 25
#define SETTLE_MS 1300 /* after start: hear who decides */
#define VACANT_MS 200  /* nobody decides: wait this long first */
#define TURN_MS 700    /* and this for each better candidate */
#define CLAIM_AGAIN_MS 250
#define LOST_MS 5000 /* then its guarantees are bound elsewhere */
#define QUEUE_LIMIT 1000000

static void role_tell(struct decider *d)
{
	struct message m = {
		.tag = MSG_ROLE, .from = TASK_DECIDER, .to = TASK_PEER};
	struct message own = {
		.tag = MSG_ROLE, .from = TASK_DECIDER, .to = TASK_CALLER};

	m.role.epoch = MAX(d->epoch, d->epoch_seen);
	m.role.deciding = d->role == ROLE_DECIDING;
	m.role.claiming = d->role == ROLE_CLAIMING;
	m.role.leaving = json_array();
	for (guint i = 0; i < d->controls->len; i++) {
		const struct control *c = g_ptr_array_index(d->controls, i);

		if (c->leaving || c->listed_off)
			json_array_append_new(m.role.leaving,
					      json_string(c->name));
	}
	bus_post(d->env->bus, &m);
	own.role = m.role;
	own.role.leaving = NULL;
	bus_post(d->env->bus, &own);
}

/* Find the control of an upstream of the domain, or NULL. */
struct control *decider_control(struct decider *d, const char *name)
{
	for (guint i = 0; i < d->controls->len; i++) {
		struct control *c = g_ptr_array_index(d->controls, i);

		if (!strcmp(c->name, name))
			return c;
	}
	return NULL;
}

/* The scheduler follows the configuration */

static void limits_of(const struct decider *d, struct sched_limits *l)
{
	l->hold_after_ms = d->config->limits.hold_after_ms;
	l->account_queue_max = QUEUE_LIMIT;
}

/* Give the scheduler a gang that occupies, or waits for, places. */
static void enter(struct decider *d, struct gang *g)
{
	struct job_spec spec;
	struct part *parts;

	gang_job_spec(g, &spec);
	if (!g->parts) {
		if (sched_submit(d->sched, &spec, &g->handle) ==
		    SUBMIT_NEVER_FITS)
			gang_end(g, "parked",
				 "no set of upstreams can hold this shape");
		return;
	}
	parts = g_new0(struct part, g->shape.parts);
	for (uint32_t i = 0; i < g->shape.parts; i++) {
		if (!g->parts[i].at || !g->parts[i].at->configured)
			goto out; /* not all there: it is being released */
		parts[i].upstream = g->parts[i].at->index;
		parts[i].mask = g->parts[i].mask;
	}
	g->handle = sched_adopt(d->sched, &spec, parts);
	if (g->state == GANG_RELEASING)
		sched_mark_evicting(d->sched, g->handle);
out:
	g_free(parts);
}

/* Report whether a job that is not idempotent may have been started. */
static bool must_not_start(const struct gang *g)
{
	return !g->idempotent && (!strcmp(g->row_state, "starting") ||
				  !strcmp(g->row_state, "running"));
}

/* Let gangs that are known from their rows into the queue. */
static void enter_waiting(struct decider *d)
{
	GList *all = g_hash_table_get_values(d->gangs);

	for (GList *l = all; l; l = l->next) {
		struct gang *g = l->data;

		if (g->state != GANG_WAITING || g->handle != NO_HANDLE ||
		    !g->has_row)
			continue;
		if (!strcmp(g->row_state, "cancelling"))
			gang_end(g, "cancelled", "asked for");
		else if (must_not_start(g))
			gang_end(g, "parked",
				 "it may have run, and must not twice");
		else
			enter(d, g);
	}
	g_list_free(all);
}

/* Make the scheduler anew from the configuration and the gangs. */
static void rebuild(struct decider *d, const struct config *before)
{
	struct sched *old = d->sched;
	struct sched_limits limits;
	struct inventory *inventory;
	GHashTableIter it;
	gpointer v;

	config_create_inventory(d->config, d->env->settings->domain,
				&inventory);
	config_bind_inventory(d->config, d->env->settings->domain, inventory);
	limits_of(d, &limits);
	d->sched = sched_create(inventory, PLACE_POLICY_BOUND, &limits);
	for (uint32_t i = 0; i < d->config->accounts_len; i++) {
		uint32_t was;

		sched_set_weight(d->sched, i, d->config->accounts[i].weight);
		sched_set_headroom(d->sched, i,
				   d->config->accounts[i].headroom);
		if (old && before &&
		    config_find_account(before, d->config->accounts[i].name,
					&was))
			sched_set_service(d->sched, i, sched_service(old, was));
	}
	g_hash_table_iter_init(&it, d->gangs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct gang *g = v;

		g->handle = NO_HANDLE;
		if (g->parts && g->state != GANG_ENDED)
			enter(d, g);
	}
	sched_destroy(old);
	d->rows_changed = true;
}

/* Make or match a control for each configured upstream, in site order. */
static void match_controls(struct decider *d)
{
	GPtrArray *old = d->controls;

	d->controls = g_ptr_array_new();
	for (uint32_t i = 0; i < d->config->upstreams_len; i++) {
		const struct config_upstream *u = &d->config->upstreams[i];
		struct control *c = NULL;

		if (strcmp(u->domain, d->env->settings->domain))
			continue;
		for (guint k = 0; k < old->len && !c; k++) {
			struct control *o = g_ptr_array_index(old, k);

			if (!strcmp(o->name, u->name)) {
				c = o;
				g_ptr_array_remove_index_fast(old, k);
			}
		}
		if (!c)
			c = control_create(d, u);
		c->configured = true;
		c->index = d->controls->len;
		g_ptr_array_add(d->controls, c);
	}
	for (guint k = 0; k < old->len; k++) {
		struct control *c = g_ptr_array_index(old, k);

		/* kept: gangs and calls may still name it */
		c->configured = false;
		c->index = d->controls->len;
		g_ptr_array_add(d->controls, c);
	}
	g_ptr_array_free(old, TRUE);
}

/* Roles */

static void follow(struct decider *d, const char *why)
{
	GList *all = g_hash_table_get_values(d->gangs);

	if (d->role == ROLE_FOLLOWING) {
		g_list_free(all);
		return;
	}
	event_add(d->env->events, "stepped_down", d->env->settings->name, NULL,
		  "epoch %" G_GUINT64_FORMAT ": %s", d->epoch, why);
	log_line(LOG_INFO, "stepped_down", "epoch %" G_GUINT64_FORMAT ": %s",
		 d->epoch, why);
	d->role = ROLE_FOLLOWING;
	d->vacant_ms = 0;
	d->releasing = 0;
	sched_destroy(d->sched);
	d->sched = NULL;
	for (guint i = 0; i < d->controls->len; i++)
		control_unclaim(g_ptr_array_index(d->controls, i));
	for (GList *l = all; l; l = l->next) {
		struct gang *g = l->data;

		g->handle = NO_HANDLE;
		g->state = GANG_WAITING;
		g_free(g->parts);
		g->parts = NULL;
		if (!g->has_row)
			g_hash_table_remove(d->gangs, g->name);
	}
	g_list_free(all);
	role_tell(d);
}

/* An upstream obeys, or a peer has, a later epoch than ours. */
void decider_stale(struct decider *d, uint64_t epoch)
{
	d->epoch_seen = MAX(d->epoch_seen, epoch);
	follow(d, "a later epoch has claimed an upstream");
}

static void claim_all(struct decider *d)
{
	uint64_t now = clock_mono_ms();

	for (guint i = 0; i < d->controls->len; i++) {
		struct control *c = g_ptr_array_index(d->controls, i);

		if (c->configured && !c->claimed &&
		    (!c->call_ms || now - c->call_ms >= CLAIM_AGAIN_MS))
			control_claim(c);
	}
}

static void begin_claiming(struct decider *d)
{
	d->epoch = MAX(d->epoch, d->epoch_seen) + 1;
	d->epoch_seen = d->epoch;
	d->attempts = 0;
	d->role = ROLE_CLAIMING;
	event_add(d->env->events, "claiming", d->env->settings->name, NULL,
		  "epoch %" G_GUINT64_FORMAT, d->epoch);
	for (guint i = 0; i < d->controls->len; i++) {
		struct control *c = g_ptr_array_index(d->controls, i);

		c->call_ms = 0;
	}
	role_tell(d);
	claim_all(d);
}

/* Report whether every upstream that still exists was claimed. */
static bool all_claimed(const struct decider *d)
{
	for (guint i = 0; i < d->controls->len; i++) {
		const struct control *c = g_ptr_array_index(d->controls, i);

		if (c->configured && !c->claimed && !control_gone(c))
			return false;
	}
	return true;
}

/* Group the leases that all upstreams report by job. */
static json_t *leases_by_job(struct decider *d)
{
	json_t *jobs = json_object();

	for (guint i = 0; i < d->controls->len; i++) {
		const struct control *c = g_ptr_array_index(d->controls, i);
		json_t *v;
		size_t k;

		json_array_foreach(c->leases, k, v)
		{
			const char *job = json_str_or(v, "job", "");
			json_t *list = json_object_get(jobs, job);
			json_t *copy = json_copy(v);

			json_object_set_new(copy, "upstream",
					    json_string(c->name));
			if (!list) {
				list = json_array();
				json_object_set_new(jobs, job, list);
			}
			json_array_append_new(list, copy);
		}
	}
	return jobs;
}

static void release_unfinished(struct decider *d)
{
	GList *all = g_hash_table_get_values(d->gangs);

	for (GList *l = all; l; l = l->next) {
		struct gang *g = l->data;
		uint32_t good = 0;

		for (uint32_t i = 0; g->parts && i < g->shape.parts; i++)
			good += g->parts[i].at &&
				(!g->parts[i].ended || g->parts[i].done);
		if (g->state == GANG_RUNNING && good < g->shape.parts)
			gang_release(g, AFTER_REQUEUE,
				     "found with some parts only", 0);
	}
	g_list_free(all);
}

static void begin_deciding(struct decider *d)
{
	json_t *jobs = leases_by_job(d);
	const char *name;
	json_t *leases;

	json_object_foreach(jobs, name, leases) gang_adopt(d, name, leases);
	json_decref(jobs);
	d->role = ROLE_DECIDING;
	d->claimed_ms = clock_mono_ms();
	event_add(d->env->events, "deciding", d->env->settings->name, NULL,
		  "epoch %" G_GUINT64_FORMAT, d->epoch);
	log_line(LOG_INFO, "deciding", "epoch %" G_GUINT64_FORMAT, d->epoch);
	rebuild(d, NULL);
	for (guint i = 0; i < d->controls->len; i++)
		decider_report(d, g_ptr_array_index(d->controls, i));
	release_unfinished(d);
	role_tell(d);
}

/* Report whether a peer of the domain decides or is about to. */
static bool somebody_decides(const struct decider *d)
{
	for (uint32_t i = 0; d->peers && i < d->peers->len; i++) {
		const struct peer_state *p = &d->peers->peers[i];

		if (!strcmp(p->domain, d->env->settings->domain) &&
		    p->reachable && (p->deciding || p->claiming))
			return true;
	}
	return false;
}

/* Return how many reachable peers of the domain go before this one. */
static uint32_t better_candidates(const struct decider *d)
{
	uint32_t n = 0;

	for (uint32_t i = 0; d->peers && i < d->peers->len; i++) {
		const struct peer_state *p = &d->peers->peers[i];

		if (!strcmp(p->domain, d->env->settings->domain) &&
		    p->reachable && p->ready && !p->leaving &&
		    strcmp(p->name, d->env->settings->name) < 0)
			n++;
	}
	return n;
}

static void consider_claiming(struct decider *d, uint64_t now)
{
	uint64_t wait = VACANT_MS + (uint64_t)better_candidates(d) * TURN_MS;

	if (d->leaving || !d->config || now - d->started_ms < SETTLE_MS ||
	    somebody_decides(d)) {
		d->vacant_ms = 0;
		return;
	}
	if (!d->vacant_ms)
		d->vacant_ms = now;
	if (now - d->vacant_ms >= wait)
		begin_claiming(d);
}

static void yield_to_peers(struct decider *d)
{
	for (uint32_t i = 0; d->peers && i < d->peers->len; i++) {
		const struct peer_state *p = &d->peers->peers[i];

		if (strcmp(p->domain, d->env->settings->domain) ||
		    !p->reachable)
			continue;
		d->epoch_seen = MAX(d->epoch_seen, p->epoch);
		if ((p->deciding || p->claiming) && p->epoch > d->epoch)
			follow(d, "a peer has a later epoch");
	}
}

/* Deciding */

/*
 * Report whether more than half of the upstreams have confirmed the
 * epoch within the lease term.  A decider that was paused, or whose
 * upstreams were claimed by another, finds out here before it acts.
 */
static bool confirmed(const struct decider *d, uint64_t now)
{
	uint32_t all = 0, fresh = 0;

	for (guint i = 0; i < d->controls->len; i++) {
		const struct control *c = g_ptr_array_index(d->controls, i);

		if (!c->configured || control_gone(c))
			continue;
		all++;
		fresh += c->claimed && now - c->confirmed_ms <
					       d->config->limits.lease_term_ms;
	}
	return all && fresh * 2 > all;
}

static void carry_out(struct decider *d, const struct action *a)
{
	const struct job *j = sched_job(d->sched, a->job);
	const struct job *cause = sched_job(d->sched, a->cause);
	struct gang *g;

	if (!j)
		return;
	g = j->spec.owner;
	switch (a->tag) {
	case ACTION_START:
		gang_start(g, j->parts);
		break;
	case ACTION_EVICT:
		if (cause) {
			struct gang *by = cause->spec.owner;

			if (cause->reclaims && !by->reclaim_ms)
				by->reclaim_ms = clock_mono_ms();
			event_add(d->env->events, "evicted", g->name,
				  g->account, "for %s of %s", by->name,
				  by->account);
		}
		counter_add(d->env->counters, "evictions", NULL, 1);
		gang_release(g, AFTER_REQUEUE, "its account borrowed",
			     d->config->limits.grace_ms);
		break;
	}
}

static void decide(struct decider *d, uint64_t now)
{
	struct actions actions = {0};
	uint64_t began_us = clock_mono_us();

	if (d->rows_changed)
		enter_waiting(d);
	d->rows_changed = false;
	sched_decide(d->sched, now, &actions);
	latency_add(d->env->counters, "decision", clock_mono_us() - began_us);
	for (uint32_t i = 0; i < actions.len && d->sched; i++)
		carry_out(d, &actions.list[i]);
	actions_clear(&actions);
}

static void judge_upstreams(struct decider *d, uint64_t now)
{
	uint64_t dead_ms = d->config->limits.lease_term_ms;
	struct inventory *s = sched_inventory(d->sched);

	for (guint i = 0; i < d->controls->len; i++) {
		struct control *c = g_ptr_array_index(d->controls, i);
		GList *all;

		if (c->configured)
			inventory_set_usable(s, c->index, control_usable(c));
		if (now - c->confirmed_ms < dead_ms)
			continue;
		all = g_hash_table_get_values(d->gangs);
		for (GList *l = all; l; l = l->next)
			gang_lost_upstream(l->data, c);
		g_list_free(all);
	}
}

/* Ask for other cells where upstreams with bound ones are gone. */
static void rebind_lost(struct decider *d, uint64_t now)
{
	uint32_t mark = 0;
	json_t *lost = json_array();
	struct message m = {
		.tag = MSG_ASK, .from = TASK_DECIDER, .to = TASK_CONFIG};

	for (guint i = 0; i < d->controls->len; i++) {
		const struct control *c = g_ptr_array_index(d->controls, i);

		if (!c->configured || !control_gone(c))
			continue;
		json_array_append_new(lost, json_string(c->name));
		mark = mark * 31 + g_str_hash(c->name);
	}
	if (mark == d->lost_told) {
		d->lost_since_ms = 0;
		goto out;
	}
	if (!d->lost_since_ms)
		d->lost_since_ms = now;
	if (now - d->lost_since_ms < LOST_MS || !d->table_answers)
		goto out;
	d->lost_told = mark;
	d->lost_since_ms = 0;
	m.question.what = ASK_REBIND;
	m.question.body = json_incref(lost);
	bus_post(d->env->bus, &m);
out:
	json_decref(lost);
}

static void tick_gangs(struct decider *d, uint64_t now)
{
	GList *all;

	if (!d->releasing)
		return;
	all = g_hash_table_get_values(d->gangs);
	for (GList *l = all; l && d->role == ROLE_DECIDING; l = l->next)
		gang_tick(l->data, now);
	g_list_free(all);
}

static void renew_due(struct decider *d, uint64_t now)
{
	for (guint i = 0; i < d->controls->len; i++) {
		struct control *c = g_ptr_array_index(d->controls, i);

		if (c->claimed &&
		    now - c->call_ms >= d->config->limits.renew_ms)
			control_renew(c);
	}
}

static void on_tick(void *arg)
{
	struct decider *d = arg;
	uint64_t now = clock_mono_ms();

	timer_start(d->env->loop, &d->tick, TICK_MS);
	yield_to_peers(d);
	if (d->role == ROLE_FOLLOWING) {
		consider_claiming(d, now);
		return;
	}
	renew_due(d, now);
	claim_all(d);
	if (d->role == ROLE_CLAIMING) {
		if (d->leaving)
			follow(d, "this instance is stopping");
		else if (all_claimed(d))
			begin_deciding(d);
		return;
	}
	judge_upstreams(d, now);
	tick_gangs(d, now);
	rebind_lost(d, now);
	if (d->role == ROLE_DECIDING && d->caught_up_ms > d->claimed_ms &&
	    confirmed(d, now) && !d->leaving)
		decide(d, now);
}

/* Messages */

static bool occupies(const json_t *lease)
{
	const char *state = json_str_or(lease, "state", "");

	return !strcmp(state, "reserved") || !strcmp(state, "running") ||
	       !strcmp(state, "stopping");
}

/* Nothing depends on the answer: the leases are not renewed either. */
static void on_orphans_released(void *arg, const struct http_result *r)
{
	(void)arg;
	(void)r;
}

/* Give up leases that belong to no attempt that is known. */
static void drop_orphans(struct decider *d, struct control *c)
{
	json_t *list = json_array();
	json_t *v, *body;
	size_t i;

	json_array_foreach(c->leases, i, v)
	{
		const char *id = json_str_or(v, "lease", "");
		const struct gang *g = g_hash_table_lookup(
			d->gangs, json_str_or(v, "job", ""));

		if (g && g->parts &&
		    (uint64_t)json_int_or(v, "attempt", 0) == g->attempt)
			continue;
		if (!occupies(v)) {
			g_hash_table_insert(c->acks, g_strdup(id), NULL);
		} else if (!g_hash_table_contains(c->except, id)) {
			g_hash_table_insert(c->except, g_strdup(id), NULL);
			json_array_append_new(list, json_string(id));
			counter_add(d->env->counters, "orphan_leases", NULL, 1);
		}
	}
	if (json_array_size(list)) {
		body = control_body(c);
		json_object_set(body, "leases", list);
		control_call(c, "/release", body, on_orphans_released, NULL);
	}
	json_decref(list);
}

static void prune_except(struct control *c, GHashTable *by_id)
{
	GHashTableIter it;
	gpointer k;

	g_hash_table_iter_init(&it, c->except);
	while (g_hash_table_iter_next(&it, &k, NULL))
		if (!g_hash_table_contains(by_id, k))
			g_hash_table_iter_remove(&it);
}

/* An upstream has reported its leases. */
void decider_report(struct decider *d, struct control *c)
{
	GHashTable *by_id;
	GList *all;
	json_t *v;
	size_t i;

	if (d->role != ROLE_DECIDING || !c->leases)
		return;
	by_id = g_hash_table_new(g_str_hash, g_str_equal);
	json_array_foreach(c->leases, i, v) g_hash_table_insert(
		by_id, (gpointer)json_str_or(v, "lease", ""), v);
	prune_except(c, by_id);
	all = g_hash_table_get_values(d->gangs);
	for (GList *l = all; l && d->role == ROLE_DECIDING; l = l->next)
		gang_report(l->data, c, by_id);
	g_list_free(all);
	g_hash_table_destroy(by_id);
	if (d->role == ROLE_DECIDING)
		drop_orphans(d, c);
}

static void take_job(struct decider *d, const json_t *row)
{
	const char *name = json_str_or(row, "job", "");
	const char *state = json_str_or(row, "state", "");
	struct gang *g = g_hash_table_lookup(d->gangs, name);

	if (strcmp(json_str_or(row, "domain", ""), d->env->settings->domain))
		return;
	if (job_state_final(state)) {
		if (g && gang_active(g))
			gang_release(g, AFTER_CANCEL, "its row has ended", 0);
		else if (g)
			gang_forget(g);
		return;
	}
	if (!g)
		g = gang_create(d, name);
	gang_take_row(g, row);
	d->rows_changed = true;
	if (strcmp(state, "cancelling") || d->role != ROLE_DECIDING)
		return;
	if (gang_active(g))
		gang_release(g, AFTER_CANCEL, "cancelled", 0);
	else if (g->state == GANG_WAITING && g->handle != NO_HANDLE)
		gang_end(g, "cancelled", "asked for");
}

static void take_saved(struct decider *d, const json_t *update)
{
	struct gang *g =
		g_hash_table_lookup(d->gangs, json_str_or(update, "key", ""));

	if (g && d->role == ROLE_DECIDING)
		gang_saved(g, update);
}

static void take_config(struct decider *d, struct message *m)
{
	struct config *before = d->config;

	d->config = m->config;
	m->config = NULL;
	match_controls(d);
	if (d->role == ROLE_DECIDING)
		rebuild(d, before);
	config_unref(before);
}

static void take_members(struct decider *d, const json_t *list)
{
	json_t *v;
	size_t i;
	bool news = false;

	d->members_known = true;
	for (guint k = 0; k < d->controls->len; k++)
		((struct control *)g_ptr_array_index(d->controls, k))->listed =
			false;
	json_array_foreach(list, i, v)
	{
		struct control *c =
			decider_control(d, json_str_or(v, "name", ""));
		bool off = strcmp(json_str_or(v, "state", ""), "live");

		if (!c)
			continue;
		c->listed = true;
		if (off && !c->listed_off)
			event_add(d->env->events, "upstream_leaving", c->name,
				  NULL, "by the platform's list");
		news = news || off != c->listed_off;
		c->listed_off = off;
	}
	if (news)
		role_tell(d);
}

static void answer(struct decider *d, const struct message *m)
{
	json_t *body = NULL;

	switch ((int)m->question.what) {
	case ASK_UPSTREAMS:
		body = explain_upstreams(d);
		break;
	case ASK_WHY:
		body = explain_why(d, m->question.name);
		break;
	case ASK_STUCK:
		body = explain_stuck(d);
		break;
	}
	post_report(d->env->bus, m,
		    body ? verdict_ran()
			 : verdict_did_not_run(REASON_NOT_FOUND),
		    body);
}

static void receive(void *task, struct message *m)
{
	struct decider *d = task;

	switch ((int)m->tag) {
	case MSG_CONFIG:
		take_config(d, m);
		break;
	case MSG_MEMBERS:
		take_members(d, m->json);
		break;
	case MSG_PEERS:
		g_free(d->peers);
		d->peers = m->peers;
		m->peers = NULL;
		break;
	case MSG_JOB:
		take_job(d, m->json);
		break;
	case MSG_JOB_SAVED:
		take_saved(d, m->json);
		break;
	case MSG_CAUGHT_UP:
		d->caught_up_ms = m->number;
		break;
	case MSG_TABLE_STATE:
		d->table_answers = m->flag;
		break;
	case MSG_LEAVE:
		d->leaving = true;
		follow(d, "this instance is stopping");
		break;
	case MSG_ASK:
		answer(d, m);
		break;
	}
}

/* Create the task; it follows until it has found that nobody decides. */
struct decider *decider_create(struct env *env)
{
	struct decider *d = g_new0(struct decider, 1);

	d->env = env;
	d->controls = g_ptr_array_new();
	d->gangs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 (GDestroyNotify)gang_destroy);
	d->started_ms = clock_mono_ms();
	timer_init(&d->tick, on_tick, d);
	timer_start(env->loop, &d->tick, TICK_MS);
	bus_attach(env->bus, TASK_DECIDER, receive, d);
	return d;
}

/* Free d.  Leases go on until they lapse or a peer claims them. */
void decider_destroy(struct decider *d)
{
	if (!d)
		return;
	timer_stop(d->env->loop, &d->tick);
	for (guint i = 0; i < d->controls->len; i++)
		control_destroy(g_ptr_array_index(d->controls, i));
	g_ptr_array_free(d->controls, TRUE);
	g_hash_table_destroy(d->gangs);
	sched_destroy(d->sched);
	config_unref(d->config);
	g_free(d->peers);
	g_free(d);
}
