/*
 * Leader election and scheduling for one failure domain.  A candidate claims
 * every upstream with an epoch larger than any seen and receives its leases;
 * the epoch fences off commands of earlier leaders.  The leader starts
 * nothing before every existing upstream is claimed and the table was read
 * completely after that, so two instances never start the same job, whatever
 * each believes about the other.
 */
#include <string.h>

#include "daemon/coordinator-internal.h"
#include "daemon/jobs.h"

#define TICK_INTERVAL_MS 25
/* An instance is no candidate until it could hear its peers' heartbeats. */
#define ELECTION_STARTUP_DELAY_MS 1300
/* Minimum time without a leader before an instance becomes a candidate. */
#define ELECTION_DELAY_MS 200
/* Added to ELECTION_DELAY_MS for each preferred candidate. */
#define ELECTION_RANK_DELAY_MS 700
#define CLAIM_RETRY_INTERVAL_MS 250
/* The guarantees of an upstream gone for this long are bound elsewhere. */
#define REBIND_DELAY_MS 5000
#define SCHED_QUEUE_MAX 1000000

static void announce_role(struct coordinator *d)
{
	struct message m = {
		.tag = MSG_ROLE, .from = TASK_COORDINATOR, .to = TASK_PEER};
	struct message own = {
		.tag = MSG_ROLE, .from = TASK_COORDINATOR, .to = TASK_CALLER};

	m.role.epoch = MAX(d->epoch, d->max_epoch_seen);
	m.role.is_leader = d->role == ROLE_LEADER;
	m.role.is_candidate = d->role == ROLE_CANDIDATE;
	m.role.leaving = json_array();
	for (guint i = 0; i < d->controls->len; i++) {
		const struct upstream_control *c =
			g_ptr_array_index(d->controls, i);

		if (c->leaving || c->listed_leaving)
			json_array_append_new(m.role.leaving,
					      json_string(c->name));
	}
	bus_post(d->env->bus, &m);
	own.role = m.role;
	own.role.leaving = NULL;
	bus_post(d->env->bus, &own);
}

/* Find the control of an upstream of the domain by name, or NULL. */
struct upstream_control *coordinator_find_control(struct coordinator *d,
						  const char *name)
{
	for (guint i = 0; i < d->controls->len; i++) {
		struct upstream_control *c = g_ptr_array_index(d->controls, i);

		if (!strcmp(c->name, name))
			return c;
	}
	return NULL;
}

/* Scheduler state */

static void fill_sched_limits(const struct coordinator *d,
			      struct sched_limits *l)
{
	l->hold_after_ms = d->config->limits.hold_after_ms;
	l->account_queue_max = SCHED_QUEUE_MAX;
}

/*
 * Add a gang to the scheduler, as placed if it has parts, else as waiting.  A
 * job that does not fit is parked once the table was read after its row was
 * known: the configuration in force may be older than the row.
 */
static void add_to_scheduler(struct coordinator *d, struct gang *g)
{
	struct job_spec spec;
	struct part *parts;

	gang_job_spec(g, &spec);
	if (!g->parts) {
		if (sched_submit(d->sched, &spec, &g->job_handle) !=
		    SUBMIT_NEVER_FITS)
			return;
		if (d->table_caught_up_ms > g->row_known_ms)
			gang_end(g, "parked",
				 "no set of upstreams can hold this shape");
		else
			d->awaits_config = true;
		return;
	}
	parts = g_new0(struct part, g->shape.parts);
	for (uint32_t i = 0; i < g->shape.parts; i++) {
		if (!g->parts[i].control || !g->parts[i].control->configured)
			goto out; /* some parts have no upstream: it is being released */
		parts[i].upstream = g->parts[i].control->index;
		parts[i].mask = g->parts[i].mask;
	}
	g->job_handle = sched_adopt(d->sched, &spec, parts);
	if (g->state == GANG_RELEASING)
		sched_mark_evicting(d->sched, g->job_handle);
out:
	g_free(parts);
}

/* Report whether a non-idempotent job may already have been started. */
static bool must_not_rerun(const struct gang *g)
{
	return !g->idempotent && (!strcmp(g->row_state, "starting") ||
				  !strcmp(g->row_state, "running"));
}

/* Return when the leases that were renewed before the last claim have ended. */
static uint64_t earlier_leases_end_ms(const struct coordinator *d)
{
	return d->all_claimed_ms + CALL_TIMEOUT_MS +
	       d->config->limits.lease_term_ms + LEASE_EXPIRY_MARGIN_MS;
}

/*
 * Report whether g may run on an upstream that was not claimed, because it was
 * removed from the configuration.
 */
static bool may_run_on_removed_upstream(struct coordinator *d,
					const struct gang *g)
{
	json_t *v;
	size_t i;

	if (strcmp(g->row_state, "running"))
		return false;
	json_array_foreach(g->where, i, v)
	{
		const char *name = json_string_value(v);
		const struct upstream_control *c =
			name ? coordinator_find_control(d, name) : NULL;

		if (!c || !c->configured)
			return true;
	}
	return false;
}

/* Queue the waiting gangs that have a row; end those that must not start. */
static void enqueue_waiting_gangs(struct coordinator *d, uint64_t now)
{
	GList *all = g_hash_table_get_values(d->gangs);

	d->awaits_leases = false;
	for (GList *l = all; l; l = l->next) {
		struct gang *g = l->data;

		if (g->state != GANG_WAITING ||
		    g->job_handle != NO_JOB_HANDLE || !g->has_row)
			continue;
		if (!strcmp(g->row_state, "cancelling"))
			gang_end(g, "cancelled", "asked for");
		else if (now < earlier_leases_end_ms(d) &&
			 may_run_on_removed_upstream(d, g))
			d->awaits_leases = true;
		else if (must_not_rerun(g))
			gang_end(g, "parked",
				 "it may have run, and must not twice");
		else
			add_to_scheduler(d, g);
	}
	g_list_free(all);
}

/*
 * Recreate the scheduler from the configuration and the gangs.  The service
 * of accounts is carried over if old_config is given.
 */
static void rebuild_scheduler(struct coordinator *d,
			      const struct config *old_config)
{
	struct sched *old = d->sched;
	struct sched_limits limits;
	struct inventory *inventory;
	GHashTableIter it;
	gpointer v;

	config_create_inventory(d->config, d->env->settings->domain,
				&inventory);
	config_bind_inventory(d->config, d->env->settings->domain, inventory);
	fill_sched_limits(d, &limits);
	d->sched = sched_create(inventory, PLACE_POLICY_BOUND, &limits);
	for (uint32_t i = 0; i < d->config->accounts_len; i++) {
		uint32_t old_account;

		sched_set_weight(d->sched, i, d->config->accounts[i].weight);
		sched_set_headroom(d->sched, i,
				   d->config->accounts[i].headroom);
		if (old && old_config &&
		    config_find_account(old_config, d->config->accounts[i].name,
					&old_account))
			sched_set_service(d->sched, i,
					  sched_service(old, old_account));
	}
	g_hash_table_iter_init(&it, d->gangs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct gang *g = v;

		g->job_handle = NO_JOB_HANDLE;
		if (g->parts && g->state != GANG_ENDED)
			add_to_scheduler(d, g);
	}
	sched_destroy(old);
	d->rows_changed = true;
}

/* Create or reuse a control for each configured upstream, in site order. */
static void sync_controls(struct coordinator *d)
{
	GPtrArray *old = d->controls;

	d->controls = g_ptr_array_new();
	for (uint32_t i = 0; i < d->config->upstreams_len; i++) {
		const struct config_upstream *u = &d->config->upstreams[i];
		struct upstream_control *c = NULL;

		if (strcmp(u->domain, d->env->settings->domain))
			continue;
		for (guint k = 0; k < old->len && !c; k++) {
			struct upstream_control *o = g_ptr_array_index(old, k);

			if (!strcmp(o->name, u->name) &&
			    !memcmp(&o->address, &u->address,
				    sizeof(o->address))) {
				c = o;
				g_ptr_array_remove_index_fast(old, k);
			}
		}
		if (!c)
			c = upstream_control_create(d, u);
		c->configured = true;
		c->index = d->controls->len;
		g_ptr_array_add(d->controls, c);
	}
	for (guint k = 0; k < old->len; k++) {
		struct upstream_control *c = g_ptr_array_index(old, k);

		/* Keep it: gangs and open calls may still refer to it. */
		c->configured = false;
		c->index = d->controls->len;
		g_ptr_array_add(d->controls, c);
	}
	g_ptr_array_free(old, TRUE);
}

/* Roles */

static void step_down(struct coordinator *d, const char *reason)
{
	GList *all = g_hash_table_get_values(d->gangs);

	if (d->role == ROLE_FOLLOWER) {
		g_list_free(all);
		return;
	}
	event_add(d->env->events, "stepped_down", d->env->settings->name, NULL,
		  "epoch %" G_GUINT64_FORMAT ": %s", d->epoch, reason);
	log_line(LOG_INFO, "stepped_down", "epoch %" G_GUINT64_FORMAT ": %s",
		 d->epoch, reason);
	d->role = ROLE_FOLLOWER;
	d->settled = false;
	d->no_leader_since_ms = 0;
	d->releasing_count = 0;
	sched_destroy(d->sched);
	d->sched = NULL;
	for (guint i = 0; i < d->controls->len; i++)
		upstream_control_reset(g_ptr_array_index(d->controls, i));
	for (GList *l = all; l; l = l->next) {
		struct gang *g = l->data;

		g->job_handle = NO_JOB_HANDLE;
		g->state = GANG_WAITING;
		g_free(g->parts);
		g->parts = NULL;
		if (!g->has_row)
			g_hash_table_remove(d->gangs, g->name);
	}
	g_list_free(all);
	announce_role(d);
}

/* Step down because an upstream obeys a later epoch. */
void coordinator_yield_to_epoch(struct coordinator *d, uint64_t epoch)
{
	d->max_epoch_seen = MAX(d->max_epoch_seen, epoch);
	step_down(d, "a later epoch has claimed an upstream");
}

/* Claim all upstreams anew, because one was not claimed before. */
void coordinator_claim_again(struct coordinator *d)
{
	step_down(d, "an upstream was not claimed");
}

static void claim_upstreams(struct coordinator *d)
{
	uint64_t now = clock_mono_ms();

	for (guint i = 0; i < d->controls->len; i++) {
		struct upstream_control *c = g_ptr_array_index(d->controls, i);

		if (c->configured && !c->claimed &&
		    (!c->last_call_ms ||
		     now - c->last_call_ms >= CLAIM_RETRY_INTERVAL_MS))
			upstream_control_claim(c);
	}
}

static void start_election(struct coordinator *d)
{
	d->epoch = MAX(d->epoch, d->max_epoch_seen) + 1;
	d->max_epoch_seen = d->epoch;
	d->attempts = 0;
	d->role = ROLE_CANDIDATE;
	event_add(d->env->events, "claiming", d->env->settings->name, NULL,
		  "epoch %" G_GUINT64_FORMAT, d->epoch);
	for (guint i = 0; i < d->controls->len; i++) {
		struct upstream_control *c = g_ptr_array_index(d->controls, i);

		c->last_call_ms = 0;
	}
	announce_role(d);
	claim_upstreams(d);
}

/*
 * Report whether every configured upstream is claimed, or is off the list and
 * has not answered a claim.
 */
static bool all_upstreams_claimed(const struct coordinator *d)
{
	for (guint i = 0; i < d->controls->len; i++) {
		const struct upstream_control *c =
			g_ptr_array_index(d->controls, i);

		if (c->configured && !c->claimed &&
		    (!upstream_control_is_gone(c) ||
		     c->tried_epoch != d->epoch))
			return false;
	}
	return true;
}

/* Return the leases reported by all upstreams, as arrays by job name. */
static json_t *leases_by_job(struct coordinator *d)
{
	json_t *jobs = json_object();

	for (guint i = 0; i < d->controls->len; i++) {
		const struct upstream_control *c =
			g_ptr_array_index(d->controls, i);
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

static void release_incomplete_gangs(struct coordinator *d)
{
	GList *all = g_hash_table_get_values(d->gangs);

	for (GList *l = all; l; l = l->next) {
		struct gang *g = l->data;
		uint32_t intact = 0;

		for (uint32_t i = 0; g->parts && i < g->shape.parts; i++)
			intact += g->parts[i].control &&
				  (!g->parts[i].ended || g->parts[i].done);
		if (g->state == GANG_RUNNING && intact < g->shape.parts)
			gang_release(g, RELEASE_REQUEUE,
				     "found with some parts only", 0);
	}
	g_list_free(all);
}

/* Stop the adopted jobs whose cancellation the last coordinator left. */
static void release_cancelled_gangs(struct coordinator *d)
{
	GList *all = g_hash_table_get_values(d->gangs);

	for (GList *l = all; l; l = l->next) {
		struct gang *g = l->data;

		if (gang_is_active(g) && !strcmp(g->row_state, "cancelling"))
			gang_release(g, RELEASE_CANCEL, "cancelled", 0);
	}
	g_list_free(all);
}

/* Use the upstreams of the claims that made this instance the leader. */
static void use_claimed_upstreams(struct coordinator *d)
{
	for (guint i = 0; i < d->controls->len; i++) {
		struct upstream_control *c = g_ptr_array_index(d->controls, i);

		c->in_use = c->configured && c->claimed &&
			    !upstream_control_is_gone(c);
	}
}

static void become_leader(struct coordinator *d)
{
	json_t *jobs = leases_by_job(d);
	const char *name;
	json_t *leases;

	json_object_foreach(jobs, name, leases) gang_adopt(d, name, leases);
	json_decref(jobs);
	d->role = ROLE_LEADER;
	d->all_claimed_ms = clock_mono_ms();
	use_claimed_upstreams(d);
	event_add(d->env->events, "deciding", d->env->settings->name, NULL,
		  "epoch %" G_GUINT64_FORMAT, d->epoch);
	log_line(LOG_INFO, "deciding", "epoch %" G_GUINT64_FORMAT, d->epoch);
	rebuild_scheduler(d, NULL);
	for (guint i = 0; i < d->controls->len; i++)
		coordinator_handle_report(d, g_ptr_array_index(d->controls, i));
	release_incomplete_gangs(d);
	release_cancelled_gangs(d);
	announce_role(d);
}

/* Report whether a reachable peer of the domain is leader or candidate. */
static bool peer_leads_or_claims(const struct coordinator *d)
{
	for (uint32_t i = 0; d->peers && i < d->peers->len; i++) {
		const struct peer_state *p = &d->peers->peers[i];

		if (!strcmp(p->domain, d->env->settings->domain) &&
		    p->reachable && (p->is_leader || p->is_candidate))
			return true;
	}
	return false;
}

/* Count the ready peers of the domain whose names sort before this one's. */
static uint32_t count_preferred_candidates(const struct coordinator *d)
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

static void start_election_if_due(struct coordinator *d, uint64_t now)
{
	uint64_t wait =
		ELECTION_DELAY_MS + (uint64_t)count_preferred_candidates(d) *
					    ELECTION_RANK_DELAY_MS;

	if (d->leaving || !d->config ||
	    now - d->created_ms < ELECTION_STARTUP_DELAY_MS ||
	    peer_leads_or_claims(d)) {
		d->no_leader_since_ms = 0;
		return;
	}
	if (!d->no_leader_since_ms)
		d->no_leader_since_ms = now;
	if (now - d->no_leader_since_ms >= wait)
		start_election(d);
}

static void yield_to_newer_peers(struct coordinator *d)
{
	for (uint32_t i = 0; d->peers && i < d->peers->len; i++) {
		const struct peer_state *p = &d->peers->peers[i];

		if (strcmp(p->domain, d->env->settings->domain) ||
		    !p->reachable)
			continue;
		d->max_epoch_seen = MAX(d->max_epoch_seen, p->epoch);
		if ((p->is_leader || p->is_candidate) && p->epoch > d->epoch)
			step_down(d, "a peer has a later epoch");
	}
}

/* Scheduling */

/*
 * Report whether more than half of the upstreams in use have confirmed the
 * epoch in answer to a call that was sent after since_ms.
 */
bool coordinator_is_confirmed_since(const struct coordinator *d,
				    uint64_t since_ms)
{
	uint32_t all = 0, confirmed_count = 0;

	for (guint i = 0; i < d->controls->len; i++) {
		const struct upstream_control *c =
			g_ptr_array_index(d->controls, i);

		if (!c->in_use)
			continue;
		all++;
		confirmed_count +=
			c->claimed && c->confirmed_sent_ms > since_ms;
	}
	return all && confirmed_count * 2 > all;
}

/*
 * Report whether the epoch was confirmed within the lease term.  A leader that
 * was paused, or whose upstreams were claimed by another instance, must not
 * act.
 */
static bool has_quorum(const struct coordinator *d, uint64_t now)
{
	return coordinator_is_confirmed_since(
		d, now - d->config->limits.lease_term_ms);
}

/*
 * Use an upstream that was added or has come back once the epoch is confirmed
 * by a call sent after it appeared.  A later coordinator that has claimed the
 * others may not know it, and so cannot refuse what is started there.
 */
static void use_new_upstreams(struct coordinator *d, uint64_t now)
{
	uint32_t used_count = 0;
	bool claimed = false;

	for (guint i = 0; i < d->controls->len; i++) {
		struct upstream_control *c = g_ptr_array_index(d->controls, i);

		if (!c->configured || upstream_control_is_gone(c)) {
			c->in_use = false;
			c->known_ms = 0;
		}
		used_count += c->in_use;
	}
	for (guint i = 0; i < d->controls->len; i++) {
		struct upstream_control *c = g_ptr_array_index(d->controls, i);

		if (c->in_use || !c->configured || upstream_control_is_gone(c))
			continue;
		claimed = claimed || c->claimed;
		if (!c->known_ms)
			c->known_ms = now;
		if (c->claimed &&
		    coordinator_is_confirmed_since(d, c->known_ms)) {
			c->in_use = true;
			c->known_ms = 0;
		}
	}
	if (!used_count && claimed)
		coordinator_claim_again(d); /* nobody is left to confirm */
}

static void execute_action(struct coordinator *d, const struct action *a)
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

			if (cause->reclaims && !by->reclaim_since_ms)
				by->reclaim_since_ms = clock_mono_ms();
			event_add(d->env->events, "evicted", g->name,
				  g->account, "for %s of %s", by->name,
				  by->account);
		}
		counter_add(d->env->counters, "evictions", NULL, 1);
		gang_release(g, RELEASE_REQUEUE, "its account borrowed",
			     d->config->limits.grace_ms);
		break;
	}
}

static void schedule(struct coordinator *d, uint64_t now)
{
	struct actions actions = {0};
	uint64_t began_us = clock_mono_us();

	if (d->rows_changed || d->awaits_leases)
		enqueue_waiting_gangs(d, now);
	d->rows_changed = false;
	sched_decide(d->sched, now, &actions);
	latency_add(d->env->counters, "decision", clock_mono_us() - began_us);
	for (uint32_t i = 0; i < actions.len && d->sched; i++)
		execute_action(d, &actions.list[i]);
	actions_clear(&actions);
}

static void update_usable_upstreams(struct coordinator *d, uint64_t now)
{
	uint64_t dead_ms = d->config->limits.lease_term_ms;
	struct inventory *s = sched_inventory(d->sched);

	for (guint i = 0; i < d->controls->len; i++) {
		struct upstream_control *c = g_ptr_array_index(d->controls, i);
		GList *all;

		if (c->configured)
			inventory_set_usable(s, c->index,
					     upstream_control_is_usable(c));
		if (now - c->confirmed_sent_ms < dead_ms)
			continue;
		all = g_hash_table_get_values(d->gangs);
		for (GList *l = all; l; l = l->next)
			gang_handle_lost_upstream(l->data, c);
		g_list_free(all);
	}
}

/*
 * Report whether c was off the list for REBIND_DELAY_MS, in lists that were
 * asked for so far apart.  An old list does not tell that it still is.
 */
static bool is_lost(const struct upstream_control *c)
{
	return c->configured && upstream_control_is_gone(c) &&
	       c->coordinator->members_asked_ms - c->gone_since_ms >=
		       REBIND_DELAY_MS;
}

/*
 * Request new bindings when the set of lost upstreams differs from the one of
 * the last request, at least REBIND_DELAY_MS after it.
 */
static void rebind_lost_cells(struct coordinator *d)
{
	uint32_t loss_hash = 0;
	json_t *lost = json_array();
	struct message m = {.tag = MSG_REQUEST,
			    .from = TASK_COORDINATOR,
			    .to = TASK_CONFIG};

	for (guint i = 0; i < d->controls->len; i++) {
		const struct upstream_control *c =
			g_ptr_array_index(d->controls, i);

		if (!is_lost(c))
			continue;
		json_array_append_new(lost, json_string(c->name));
		loss_hash = loss_hash * 31 + g_str_hash(c->name);
	}
	if (loss_hash == d->rebound_loss_hash || !d->table_reachable ||
	    d->members_asked_ms - d->rebound_ms < REBIND_DELAY_MS)
		goto out;
	d->rebound_loss_hash = loss_hash;
	d->rebound_ms = d->members_asked_ms;
	m.request.kind = REQUEST_REBIND;
	m.request.body = json_incref(lost);
	bus_post(d->env->bus, &m);
out:
	json_decref(lost);
}

static void tick_releasing_gangs(struct coordinator *d, uint64_t now)
{
	GList *all;

	if (!d->releasing_count)
		return;
	all = g_hash_table_get_values(d->gangs);
	for (GList *l = all; l && d->role == ROLE_LEADER; l = l->next)
		gang_tick(l->data, now);
	g_list_free(all);
}

/*
 * Report whether more than half of the listed upstreams obey the epoch, and
 * have confirmed that within the lease term.
 */
static bool has_claimed_majority(const struct coordinator *d, uint64_t now)
{
	uint32_t all = 0, claimed_count = 0;

	for (guint i = 0; i < d->controls->len; i++) {
		const struct upstream_control *c =
			g_ptr_array_index(d->controls, i);

		if (!c->configured || upstream_control_is_gone(c))
			continue;
		all++;
		claimed_count +=
			c->claimed && now - c->confirmed_sent_ms <
					      d->config->limits.lease_term_ms;
	}
	return claimed_count * 2 > all;
}

/*
 * Renew the leases at the claimed upstreams.  A candidate does so only with a
 * majority, and otherwise repeats its claims, which extend no lease: a leader
 * that cannot reach these upstreams counts on the end of the leases there, and
 * starts their jobs elsewhere.
 */
static void renew_due_leases(struct coordinator *d, uint64_t now)
{
	bool may_renew = d->role == ROLE_LEADER || has_claimed_majority(d, now);

	for (guint i = 0; i < d->controls->len; i++) {
		struct upstream_control *c = g_ptr_array_index(d->controls, i);
		bool due = now - c->last_call_ms >= d->config->limits.renew_ms;

		if (!c->claimed)
			continue;
		if (may_renew && (due || c->renewed_epoch != d->epoch))
			upstream_control_renew(c);
		else if (due)
			upstream_control_claim(c);
	}
}

/*
 * Allow the leader to start jobs, or claim again.  The table and the list, both
 * read after the last claim, tell which jobs ended under its predecessors and
 * which upstreams these may have used: a list or a configuration that is older
 * than the claims may lack one.  An upstream that is off the list and does not
 * answer may go on with its runs until their leases end.
 */
static void settle_if_due(struct coordinator *d, uint64_t now)
{
	bool gone_upstreams = false;

	if (d->settled)
		return;
	for (guint i = 0; i < d->controls->len; i++) {
		const struct upstream_control *c =
			g_ptr_array_index(d->controls, i);

		if (!c->configured || c->claimed_epoch == d->epoch)
			continue;
		if (!upstream_control_is_gone(c)) {
			coordinator_claim_again(d);
			return;
		}
		gone_upstreams = true;
	}
	d->settled =
		d->table_caught_up_ms > d->all_claimed_ms &&
		(!gone_upstreams || (d->members_asked_ms > d->all_claimed_ms &&
				     now >= earlier_leases_end_ms(d)));
}

static void on_tick(void *arg)
{
	struct coordinator *d = arg;
	uint64_t now = clock_mono_ms();

	timer_start(d->env->loop, &d->tick, TICK_INTERVAL_MS);
	yield_to_newer_peers(d);
	if (d->role == ROLE_LEADER)
		use_new_upstreams(d, now);
	if (d->role == ROLE_LEADER)
		settle_if_due(d, now);
	if (d->role == ROLE_FOLLOWER) {
		start_election_if_due(d, now);
		return;
	}
	renew_due_leases(d, now);
	claim_upstreams(d);
	if (d->role == ROLE_CANDIDATE) {
		if (d->leaving)
			step_down(d, "this instance is stopping");
		else if (all_upstreams_claimed(d))
			become_leader(d);
		return;
	}
	update_usable_upstreams(d, now);
	tick_releasing_gangs(d, now);
	rebind_lost_cells(d);
	if (d->role == ROLE_LEADER && d->settled && has_quorum(d, now) &&
	    !d->leaving)
		schedule(d, now);
}

/* Messages */

/* The result is ignored: a lease that is not released expires. */
static void on_orphans_released(void *arg, const struct http_result *r)
{
	(void)arg;
	(void)r;
}

/* Release leases that belong to no known attempt; acknowledge ended ones. */
static void release_orphan_leases(struct coordinator *d,
				  struct upstream_control *c)
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
		if (gang_lease_has_ended(v)) {
			g_hash_table_insert(c->acks, g_strdup(id), NULL);
		} else if (!g_hash_table_contains(c->not_renewed, id)) {
			g_hash_table_insert(c->not_renewed, g_strdup(id), NULL);
			json_array_append_new(list, json_string(id));
			counter_add(d->env->counters, "orphan_leases", NULL, 1);
		}
	}
	if (json_array_size(list)) {
		body = upstream_control_body(c);
		json_object_set(body, "leases", list);
		upstream_control_call(c, "/release", body, on_orphans_released,
				      NULL);
	}
	json_decref(list);
}

static void prune_not_renewed(struct upstream_control *c, GHashTable *by_id)
{
	GHashTableIter it;
	gpointer k;

	g_hash_table_iter_init(&it, c->not_renewed);
	while (g_hash_table_iter_next(&it, &k, NULL))
		if (!g_hash_table_contains(by_id, k))
			g_hash_table_iter_remove(&it);
}

/* Update the gangs from the leases that an upstream has reported. */
void coordinator_handle_report(struct coordinator *d,
			       struct upstream_control *c)
{
	GHashTable *by_id;
	GList *all;
	json_t *v;
	size_t i;

	if (d->role != ROLE_LEADER || !c->leases)
		return;
	by_id = g_hash_table_new(g_str_hash, g_str_equal);
	json_array_foreach(c->leases, i, v) g_hash_table_insert(
		by_id, (gpointer)json_str_or(v, "lease", ""), v);
	prune_not_renewed(c, by_id);
	all = g_hash_table_get_values(d->gangs);
	for (GList *l = all; l && d->role == ROLE_LEADER; l = l->next)
		gang_handle_report(l->data, c, by_id);
	g_list_free(all);
	g_hash_table_destroy(by_id);
	if (d->role == ROLE_LEADER)
		release_orphan_leases(d, c);
}

/*
 * Keep the epoch above those of the attempts in the table, as a row ignores
 * updates of earlier attempts.  Before it has settled, a leader starts
 * nothing, so that a row of its own epoch is of an earlier coordinator: all
 * upstreams have restarted since and granted the epoch again.
 */
static void observe_row_epoch(struct coordinator *d, uint64_t epoch)
{
	d->max_epoch_seen = MAX(d->max_epoch_seen, epoch);
	if (epoch > d->epoch || (epoch == d->epoch && !d->settled))
		step_down(d, "the table has attempts of a later epoch");
}

static void handle_job_row(struct coordinator *d, const json_t *row)
{
	const char *name = json_str_or(row, "job", "");
	const char *state = json_str_or(row, "state", "");
	struct gang *g = g_hash_table_lookup(d->gangs, name);

	if (strcmp(json_str_or(row, "domain", ""), d->env->settings->domain))
		return;
	if (gang_job_state_is_final(state)) {
		if (g && gang_is_active(g))
			gang_release(g, RELEASE_CANCEL, "its row has ended", 0);
		else if (g)
			gang_remove(g);
		return;
	}
	observe_row_epoch(d, (uint64_t)json_int_or(row, "attempt", 0) >>
				     ATTEMPT_SEQUENCE_BITS);
	g = g_hash_table_lookup(d->gangs, name);
	if (!g)
		g = gang_create(d, name);
	gang_update_from_row(g, row);
	d->rows_changed = true;
	if (strcmp(state, "cancelling") || d->role != ROLE_LEADER)
		return;
	if (gang_is_active(g))
		gang_release(g, RELEASE_CANCEL, "cancelled", 0);
	else if (g->state == GANG_WAITING && g->job_handle != NO_JOB_HANDLE)
		gang_end(g, "cancelled", "asked for");
}

static void handle_job_saved(struct coordinator *d, const json_t *update)
{
	struct gang *g =
		g_hash_table_lookup(d->gangs, json_str_or(update, "key", ""));

	if (g && d->role == ROLE_LEADER)
		gang_handle_saved(g, update);
}

/*
 * Apply the platform's newest list to the upstreams that are known.  An
 * upstream that a configuration adds is looked up in it as well.
 */
static void apply_members(struct coordinator *d)
{
	json_t *v;
	size_t i;
	bool changed = false;

	if (!d->members)
		return;
	for (guint k = 0; k < d->controls->len; k++) {
		struct upstream_control *c = g_ptr_array_index(d->controls, k);

		if (!c->gone_since_ms)
			c->gone_since_ms = d->members_asked_ms;
	}
	json_array_foreach(d->members, i, v)
	{
		struct upstream_control *c =
			coordinator_find_control(d, json_str_or(v, "name", ""));
		bool leaves = strcmp(json_str_or(v, "state", ""), "live");

		if (!c)
			continue;
		c->gone_since_ms = 0;
		if (leaves && !c->listed_leaving)
			event_add(d->env->events, "upstream_leaving", c->name,
				  NULL, "by the platform's list");
		changed = changed || leaves != c->listed_leaving;
		c->listed_leaving = leaves;
	}
	if (changed)
		announce_role(d);
}

static void handle_config(struct coordinator *d, struct message *m)
{
	struct config *old_config = d->config;

	d->config = m->config;
	m->config = NULL;
	sync_controls(d);
	apply_members(d);
	if (d->role == ROLE_LEADER)
		rebuild_scheduler(d, old_config);
	config_unref(old_config);
}

static void handle_members(struct coordinator *d, const struct members *m)
{
	json_decref(d->members);
	d->members = json_incref(m->list);
	d->members_asked_ms = m->asked_ms;
	apply_members(d);
}

static void handle_request(struct coordinator *d, const struct message *m)
{
	json_t *body = NULL;

	switch ((int)m->request.kind) {
	case REQUEST_LIST_UPSTREAMS:
		body = explain_upstreams(d);
		break;
	case REQUEST_EXPLAIN_JOB:
		body = explain_job(d, m->request.name);
		break;
	case REQUEST_LIST_STUCK:
		body = explain_stuck(d);
		break;
	}
	post_response(d->env->bus, m,
		      body ? verdict_ran()
			   : verdict_did_not_run(REASON_NOT_FOUND),
		      body);
}

static void receive(void *task, struct message *m)
{
	struct coordinator *d = task;

	switch ((int)m->tag) {
	case MSG_CONFIG:
		handle_config(d, m);
		break;
	case MSG_MEMBERS:
		handle_members(d, &m->members);
		break;
	case MSG_PEERS:
		g_free(d->peers);
		d->peers = m->peers;
		m->peers = NULL;
		break;
	case MSG_JOB_ROW:
		handle_job_row(d, m->json);
		break;
	case MSG_JOB_SAVED:
		handle_job_saved(d, m->json);
		break;
	case MSG_CAUGHT_UP:
		d->table_caught_up_ms = m->number;
		d->rows_changed = d->rows_changed || d->awaits_config;
		d->awaits_config = false;
		break;
	case MSG_TABLE_STATE:
		d->table_reachable = m->flag;
		break;
	case MSG_DRAIN:
		d->leaving = true;
		step_down(d, "this instance is stopping");
		break;
	case MSG_REQUEST:
		handle_request(d, m);
		break;
	}
}

/* Create the task as a follower. */
struct coordinator *coordinator_create(struct env *env)
{
	struct coordinator *d = g_new0(struct coordinator, 1);

	d->env = env;
	d->controls = g_ptr_array_new();
	d->gangs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 (GDestroyNotify)gang_destroy);
	d->created_ms = clock_mono_ms();
	timer_init(&d->tick, on_tick, d);
	timer_start(env->loop, &d->tick, TICK_INTERVAL_MS);
	bus_attach(env->bus, TASK_COORDINATOR, receive, d);
	return d;
}

/* Free d.  Leases last until they expire or a peer claims them. */
void coordinator_destroy(struct coordinator *d)
{
	if (!d)
		return;
	timer_stop(d->env->loop, &d->tick);
	for (guint i = 0; i < d->controls->len; i++)
		upstream_control_destroy(g_ptr_array_index(d->controls, i));
	g_ptr_array_free(d->controls, TRUE);
	g_hash_table_destroy(d->gangs);
	sched_destroy(d->sched);
	config_unref(d->config);
	json_decref(d->members);
	g_free(d->peers);
	g_free(d);
}
