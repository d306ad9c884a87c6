/*
 * The attempts of one job.  All parts of an attempt are reserved, then all are
 * started; a refusal or timeout in either phase releases all of them, and so
 * does a part that is lost later.  A release is complete when each lease was
 * reported as ended or has certainly expired.
 */
#include <string.h>

#include "daemon/coordinator-internal.h"

#define RELEASE_POLL_INTERVAL_MS 100

static const char *const state_names[] = {
	[GANG_WAITING] = "waiting",	[GANG_RECORDING] = "recording",
	[GANG_RESERVING] = "reserving", [GANG_STARTING] = "starting",
	[GANG_RUNNING] = "running",	[GANG_RELEASING] = "releasing",
	[GANG_ENDED] = "ended",
};

/* A call to one upstream for one attempt, and the state it was made in. */
struct gang_call {
	struct coordinator *coordinator;
	struct upstream_control *control;
	char *name;
	uint64_t attempt;
	enum gang_state state;
};

/* Return the name of s in answers to operators. */
const char *gang_state_name(enum gang_state s)
{
	return state_names[s];
}

/* Create the gang called name and add it to the coordinator's gangs. */
struct gang *gang_create(struct coordinator *d, const char *name)
{
	struct gang *g = g_new0(struct gang, 1);

	g->coordinator = d;
	g->name = g_strdup(name);
	g->payload = g_strdup("");
	g->job_handle = NO_JOB_HANDLE;
	g->idempotent = true;
	g->shape.parts = 1;
	g->shape.slots = 1;
	g->failed_on = json_array();
	g->submitted_ms = clock_mono_ms();
	g->state_since_ms = g->submitted_ms;
	g_hash_table_insert(d->gangs, g->name, g);
	return g;
}

/* Free g, which the coordinator no longer refers to. */
void gang_destroy(struct gang *g)
{
	json_decref(g->failed_on);
	json_decref(g->where);
	g_free(g->payload);
	g_free(g->parts);
	g_free(g->name);
	g_free(g);
}

/* Report whether g has, or may have, leases at upstreams. */
bool gang_is_active(const struct gang *g)
{
	return g->state == GANG_RESERVING || g->state == GANG_STARTING ||
	       g->state == GANG_RUNNING || g->state == GANG_RELEASING;
}

static void set_state(struct gang *g, enum gang_state s)
{
	g->state = s;
	g->state_since_ms = clock_mono_ms();
}

/* Return the lease id of one part of the current attempt. */
char *gang_lease_id(const struct gang *g, uint32_t part)
{
	return g_strdup_printf("%s#%" G_GUINT64_FORMAT ".%u", g->name,
			       g->attempt, part);
}

static uint64_t wall_to_mono_ms(uint64_t wall_ms)
{
	uint64_t wall = clock_wall_ms(), now = clock_mono_ms();
	uint64_t age = wall > wall_ms ? wall - wall_ms : 0;

	return now > age ? now - age : 0;
}

/* Update g from the job's row; an active gang keeps its shape and progress. */
void gang_update_from_row(struct gang *g, const json_t *row)
{
	json_t *failed_on = json_object_get(row, "failed_on");

	if (!g->has_row)
		g->row_known_ms = clock_mono_ms();
	g->has_row = true;
	g_strlcpy(g->account, json_str_or(row, "account", ""),
		  sizeof(g->account));
	g_strlcpy(g->row_state, json_str_or(row, "state", ""),
		  sizeof(g->row_state));
	json_decref(g->where);
	g->where = json_incref(json_object_get(row, "where"));
	job_class_parse(json_str_or(row, "class", "batch"), &g->job_class);
	if (!gang_is_active(g)) {
		g->shape.parts = json_int_or(row, "parts", 1);
		g->shape.accelerators = json_int_or(row, "accelerators", 0);
		g->shape.slots = g->shape.accelerators
					 ? 0
					 : json_int_or(row, "slots", 1);
		g->progress_ms = json_int_or(row, "progress_ms", 0);
	}
	g->run_ms = json_int_or(row, "run_ms", 0);
	g->idempotent = !json_is_false(json_object_get(row, "idempotent"));
	g->submitted_ms = wall_to_mono_ms(json_int_or(row, "accepted_ms", 0));
	g_free(g->payload);
	g->payload = g_strdup(json_str_or(row, "payload", ""));
	if (json_is_array(failed_on)) {
		json_decref(g->failed_on);
		g->failed_on = json_copy(failed_on);
	}
}

/* Fill in the scheduler's description of g. */
void gang_job_spec(const struct gang *g, struct job_spec *spec)
{
	uint32_t account = INVENTORY_NO_ACCOUNT;
	const struct config *c = g->coordinator->config;

	memset(spec, 0, sizeof(*spec));
	if (!config_find_account(c, g->account, &account))
		account = c->accounts_len; /* no longer configured */
	spec->job_class = g->job_class;
	spec->shape = g->shape;
	spec->shape.account = account;
	spec->submitted_ms = g->submitted_ms;
	spec->owner = (void *)g;
}

static void add_attempt_event(struct gang *g, const char *kind,
			      const char *text)
{
	event_add(g->coordinator->env->events, kind, g->name, g->account,
		  "attempt %" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT "%s%s",
		  g->attempt >> ATTEMPT_SEQUENCE_BITS,
		  g->attempt & ((1 << ATTEMPT_SEQUENCE_BITS) - 1),
		  *text ? ": " : "", text);
}

static void post_update(struct gang *g, json_t *patch)
{
	json_object_set_new(patch, "key", json_string(g->name));
	json_object_set_new(patch, "attempt", json_integer(g->attempt));
	post_json(g->coordinator->env->bus, MSG_JOB_UPDATE, TASK_COORDINATOR,
		  TASK_JOB, patch);
}

/* End the job in a final state and record it in the table. */
void gang_end(struct gang *g, const char *state, const char *reason)
{
	struct coordinator *d = g->coordinator;
	char *label = g_strdup_printf("state=\"%s\"", state);

	if (g->job_handle != NO_JOB_HANDLE)
		sched_remove(d->sched, g->job_handle);
	g->job_handle = NO_JOB_HANDLE;
	/*
	 * Without parts, raise the attempt, so that this epoch's update
	 * supersedes what an earlier coordinator recorded or may still record.
	 */
	if (!g->parts)
		g->attempt = MAX(g->attempt, d->epoch << ATTEMPT_SEQUENCE_BITS);
	set_state(g, GANG_ENDED);
	add_attempt_event(g, state, reason);
	counter_add(d->env->counters, "jobs_ended", label, 1);
	post_update(g, json_pack("{s:s,s:s}", "state", state, "why", reason));
	g_free(label);
}

static void ack_leases(struct gang *g)
{
	for (uint32_t i = 0; g->parts && i < g->shape.parts; i++)
		if (g->parts[i].control)
			g_hash_table_insert(g->parts[i].control->acks,
					    gang_lease_id(g, i), NULL);
}

/* Remove g once its end is in the table, and acknowledge its leases. */
void gang_remove(struct gang *g)
{
	ack_leases(g);
	if (g->job_handle != NO_JOB_HANDLE)
		sched_remove(g->coordinator->sched, g->job_handle);
	g_hash_table_remove(g->coordinator->gangs, g->name);
}

/* Calls, one to each upstream */

static bool is_first_at_upstream(const struct gang *g, uint32_t part)
{
	for (uint32_t i = 0; i < part; i++)
		if (g->parts[i].control == g->parts[part].control)
			return false;
	return true;
}

static json_t *lease_spec(const struct gang *g, uint32_t part)
{
	char *id = gang_lease_id(g, part);
	json_t *v = json_pack(
		"{s:s,s:s,s:s,s:s,s:I,s:i,s:i,s:I,s:i,s:I,s:I,s:s,s:b}",
		"lease", id, "job", g->name, "account", g->account, "class",
		job_class_name(g->job_class), "attempt", (json_int_t)g->attempt,
		"part", (int)part, "parts", (int)g->shape.parts, "mask",
		(json_int_t)g->parts[part].mask, "slots", (int)g->shape.slots,
		"run_ms", (json_int_t)g->run_ms, "progress_ms",
		(json_int_t)g->progress_ms, "payload", g->payload, "idempotent",
		(int)g->idempotent);

	g_free(id);
	return v;
}

/* Return a command that lists g's leases at c: in full, or only their ids. */
static json_t *lease_list_body(const struct gang *g, struct upstream_control *c,
			       bool full)
{
	json_t *body = upstream_control_body(c);
	json_t *list = json_array();

	for (uint32_t i = 0; i < g->shape.parts; i++) {
		char *id;

		if (g->parts[i].control != c || g->parts[i].ended)
			continue;
		id = gang_lease_id(g, i);
		json_array_append_new(list, full ? lease_spec(g, i)
						 : json_string(id));
		g_free(id);
	}
	json_object_set_new(body, "leases", list);
	return body;
}

/* Create the context of a call to c for g's attempt and state. */
static struct gang_call *gang_call_create(const struct gang *g,
					  struct upstream_control *c)
{
	struct gang_call *s = g_new0(struct gang_call, 1);

	s->coordinator = g->coordinator;
	s->control = c;
	s->name = g_strdup(g->name);
	s->attempt = g->attempt;
	s->state = g->state;
	return s;
}

static void gang_call_destroy(struct gang_call *s)
{
	g_free(s->name);
	g_free(s);
}

static void record_answer(struct gang *g, const struct gang_call *s,
			  const json_t *v)
{
	for (uint32_t i = 0; i < g->shape.parts; i++) {
		struct gang_part *p = &g->parts[i];

		if (p->control != s->control)
			continue;
		p->answered = true;
		p->version = json_int_or(v, "version", 0);
		p->incarnation = json_int_or(v, "incarnation", 0);
	}
}

static bool all_parts_answered(const struct gang *g)
{
	for (uint32_t i = 0; i < g->shape.parts; i++)
		if (!g->parts[i].answered)
			return false;
	return true;
}

static void send_calls(struct gang *g, enum gang_state s);

static void mark_running(struct gang *g)
{
	struct coordinator *d = g->coordinator;
	uint64_t now = clock_mono_ms();
	json_t *where = json_array();

	set_state(g, GANG_RUNNING);
	for (uint32_t i = 0; i < g->shape.parts; i++)
		if (is_first_at_upstream(g, i))
			json_array_append_new(
				where, json_string(g->parts[i].control->name));
	add_attempt_event(g, "running", "all parts started");
	latency_add(d->env->counters, "job_start",
		    (now - g->submitted_ms) * 1000);
	if (g->reclaim_since_ms) {
		latency_add(d->env->counters, "reclaim",
			    (now - g->reclaim_since_ms) * 1000);
		add_attempt_event(g, "reclaimed",
				  "the guaranteed shape is in use");
	}
	g->reclaim_since_ms = 0;
	post_update(g,
		    json_pack("{s:s,s:o}", "state", "running", "where", where));
}

static void advance_after_answers(struct gang *g)
{
	if (g->state == GANG_RESERVING) {
		add_attempt_event(g, "reserved", "all parts");
		g->may_have_run = true;
		set_state(g, GANG_STARTING);
		send_calls(g, GANG_STARTING);
	} else {
		mark_running(g);
	}
}

static void on_call_done(void *arg, const struct http_result *r)
{
	struct gang_call *s = arg;
	struct gang *g = g_hash_table_lookup(s->coordinator->gangs, s->name);
	json_t *v = NULL;

	if (!g || g->attempt != s->attempt || g->state != s->state)
		goto out;
	if (verdict_is_ran(r->verdict))
		v = json_loadb(r->body, r->len, 0, NULL);
	if (verdict_is_ran(r->verdict) && r->status == 200) {
		record_answer(g, s, v);
		if (all_parts_answered(g))
			advance_after_answers(g);
		goto out;
	}
	counter_add(s->coordinator->env->counters, "reservations_wasted", NULL,
		    1);
	s->control->last_refusal_ms = clock_mono_ms();
	if (!strcmp(json_str_or(v, "refused", ""), "stale_epoch") &&
	    (uint64_t)json_int_or(v, "epoch", 0) > s->coordinator->epoch)
		coordinator_yield_to_epoch(s->coordinator,
					   json_int_or(v, "epoch", 0));
	else
		gang_release(g, RELEASE_REQUEUE,
			     verdict_is_ran(r->verdict) ? "refused" : "silence",
			     0);
out:
	json_decref(v);
	gang_call_destroy(s);
}

/* Send the reserve or start calls of g, one to each upstream. */
static void send_calls(struct gang *g, enum gang_state state)
{
	const char *path = state == GANG_RESERVING ? "/reserve" : "/start";

	for (uint32_t i = 0; i < g->shape.parts; i++)
		g->parts[i].answered = false;
	for (uint32_t i = 0; i < g->shape.parts && g->state == state; i++) {
		struct upstream_control *c = g->parts[i].control;
		struct gang_call *s;

		if (!is_first_at_upstream(g, i))
			continue;
		s = gang_call_create(g, c);
		if (upstream_control_call(
			    c, path,
			    lease_list_body(g, c, state == GANG_RESERVING),
			    on_call_done, s))
			continue;
		gang_call_destroy(s);
		gang_release(g, RELEASE_REQUEUE, "connections in use", 0);
	}
}

static void send_reservations(struct gang *g)
{
	set_state(g, GANG_RESERVING);
	send_calls(g, GANG_RESERVING);
}

/*
 * Begin a new attempt of g at the given places, one for each part.  If the job
 * is not idempotent, the attempt is recorded in the table before any call.
 */
void gang_start(struct gang *g, const struct part *parts)
{
	struct coordinator *d = g->coordinator;

	g_free(g->parts);
	g->parts = g_new0(struct gang_part, g->shape.parts);
	for (uint32_t i = 0; i < g->shape.parts; i++) {
		g->parts[i].control =
			g_ptr_array_index(d->controls, parts[i].upstream);
		g->parts[i].mask = parts[i].mask;
	}
	g->attempt = (d->epoch << ATTEMPT_SEQUENCE_BITS) + ++d->attempts;
	g->may_have_run = false;
	add_attempt_event(g, "placed", g->parts[0].control->name);
	if (g->idempotent) {
		send_reservations(g);
		return;
	}
	set_state(g, GANG_RECORDING);
	post_update(g, json_pack("{s:s}", "state", "starting"));
}

/* Continue after an update of g was committed to the table. */
void gang_handle_saved(struct gang *g, const json_t *saved)
{
	if (g->state == GANG_RECORDING &&
	    (uint64_t)json_int_or(saved, "attempt", 0) == g->attempt)
		send_reservations(g);
	else if (g->state == GANG_ENDED)
		gang_remove(g);
}

/* Release */

static void on_released(void *arg, const struct http_result *r)
{
	struct gang_call *s = arg;
	struct gang *g = g_hash_table_lookup(s->coordinator->gangs, s->name);

	/* The reply to a renewal reports which leases have ended. */
	if (g && g->attempt == s->attempt && verdict_is_ran(r->verdict))
		upstream_control_renew(s->control);
	gang_call_destroy(s);
}

static void send_releases(struct gang *g, uint32_t grace_ms)
{
	g->releases_sent_ms = clock_mono_ms();
	for (uint32_t i = 0; i < g->shape.parts; i++) {
		struct upstream_control *c = g->parts[i].control;
		struct gang_call *s;
		json_t *body;

		if (!c || g->parts[i].ended || !is_first_at_upstream(g, i))
			continue;
		s = gang_call_create(g, c);
		body = lease_list_body(g, c, false);
		json_object_set_new(body, "grace_ms", json_integer(grace_ms));
		if (!upstream_control_call(c, "/release", body, on_released, s))
			gang_call_destroy(s);
	}
}

static void finish_release(struct gang *g);

/* Finish the release if every part has ended. */
static void finish_release_if_ended(struct gang *g)
{
	for (uint32_t i = 0; i < g->shape.parts; i++)
		if (!g->parts[i].ended)
			return;
	finish_release(g);
}

/* Return when the leases of all parts have ended, if no call renews them. */
static uint64_t latest_lease_end_ms(const struct gang *g)
{
	uint64_t end_ms = 0;

	for (uint32_t i = 0; i < g->shape.parts; i++)
		if (g->parts[i].control && !g->parts[i].ended)
			end_ms =
				MAX(end_ms, g->parts[i].control->leases_end_ms);
	return end_ms;
}

/*
 * Stop every part of g with grace_ms for a checkpoint.  The leases are no
 * longer renewed, so that they expire where the command is lost.
 */
void gang_release(struct gang *g, enum release_outcome outcome,
		  const char *reason, uint32_t grace_ms)
{
	struct coordinator *d = g->coordinator;

	if (g->state == GANG_RELEASING) {
		if (outcome != RELEASE_REQUEUE)
			g->outcome = outcome;
		return;
	}
	g->outcome = outcome;
	g->reason = reason;
	d->releasing_count++;
	set_state(g, GANG_RELEASING);
	if (g->job_handle != NO_JOB_HANDLE)
		sched_mark_evicting(d->sched, g->job_handle);
	g->leases_expired_by_ms = latest_lease_end_ms(g);
	add_attempt_event(g, "releasing", reason);
	for (uint32_t i = 0; i < g->shape.parts; i++) {
		if (!g->parts[i].control)
			g->parts[i].ended = true;
		else if (!g->parts[i].ended)
			g_hash_table_insert(g->parts[i].control->not_renewed,
					    gang_lease_id(g, i), NULL);
	}
	send_releases(g, grace_ms);
	finish_release_if_ended(g);
}

static bool all_parts_done(const struct gang *g)
{
	for (uint32_t i = 0; i < g->shape.parts; i++)
		if (!g->parts[i].done)
			return false;
	return true;
}

/* Requeue or end g after all its leases have ended. */
static void finish_release(struct gang *g)
{
	struct coordinator *d = g->coordinator;

	d->releasing_count--;
	d->rows_changed = true;
	if (all_parts_done(g)) {
		gang_end(g, "done", "");
		return;
	}
	ack_leases(g);
	g_free(g->parts);
	g->parts = NULL;
	switch (g->outcome) {
	case RELEASE_CANCEL:
		gang_end(g, "cancelled", "asked for");
		return;
	case RELEASE_PARK:
		gang_end(g, "parked", g->reason);
		return;
	case RELEASE_REQUEUE:
		break;
	}
	if (!g->idempotent && g->may_have_run) {
		gang_end(g, "parked", "it may have run, and must not twice");
		return;
	}
	if (g->job_handle != NO_JOB_HANDLE)
		sched_requeue(d->sched, g->job_handle);
	set_state(g, GANG_WAITING);
	add_attempt_event(g, "requeued", g->reason);
	counter_add(d->env->counters, "jobs_requeued", NULL, 1);
	post_update(g, json_pack("{s:s,s:I,s:s,s:O}", "state", "waiting",
				 "progress_ms", (json_int_t)g->progress_ms,
				 "why", g->reason, "failed_on", g->failed_on));
}

/* Reports */

static bool list_contains(const json_t *list, const char *name)
{
	json_t *v;
	size_t i;

	json_array_foreach(
		(json_t *)list, i,
		v) if (!strcmp(json_string_value(v), name)) return true;
	return false;
}

static void handle_failed_part(struct gang *g, struct gang_part *p)
{
	struct coordinator *d = g->coordinator;
	bool park;

	p->ended = true;
	if (health_record_failure(&p->control->health, g_str_hash(g->name) | 1,
				  clock_mono_ms())) {
		event_add(d->env->events, "quarantined", p->control->name, NULL,
			  "three different jobs failed in a row");
		log_line(LOG_WARN, "quarantined",
			 "%s: three different jobs failed in a row",
			 p->control->name);
	}
	if (!list_contains(g->failed_on, p->control->name))
		json_array_append_new(g->failed_on,
				      json_string(p->control->name));
	if (g->job_handle != NO_JOB_HANDLE)
		sched_exclude_upstream(d->sched, g->job_handle,
				       p->control->index);
	park = json_array_size(g->failed_on) >= d->config->limits.job_tries;
	gang_release(g, park ? RELEASE_PARK : RELEASE_REQUEUE,
		     park ? "it failed on several upstreams" : "a part failed",
		     0);
}

/*
 * Report whether a lease has ended.  One that is missing from the upstream's
 * list, NULL, has; one in a state that is not known may go on.
 */
bool gang_lease_has_ended(const json_t *lease)
{
	static const char *const ended[] = {"done", "failed", "stopped"};
	const char *state = json_str_or(lease, "state", "");

	for (size_t i = 0; i < G_N_ELEMENTS(ended); i++)
		if (!strcmp(state, ended[i]))
			return true;
	return !lease;
}

static void update_running_part(struct gang *g, struct gang_part *p,
				const json_t *lease)
{
	const char *state = json_str_or(lease, "state", "");

	if (!strcmp(state, "running"))
		return;
	if (!strcmp(state, "done")) {
		p->ended = true;
		p->done = true;
		health_record_success(&p->control->health);
	} else if (!strcmp(state, "failed")) {
		handle_failed_part(g, p);
	} else {
		p->ended = gang_lease_has_ended(lease);
		gang_release(g, RELEASE_REQUEUE, "a part was lost", 0);
	}
}

static void update_releasing_part(struct gang *g, struct gang_part *p,
				  const json_t *lease)
{
	const char *state = json_str_or(lease, "state", "");
	uint64_t progress = json_int_or(lease, "progress_ms", 0);

	if (!gang_lease_has_ended(lease))
		return;
	p->ended = true;
	p->done = !strcmp(state, "done");
	if (!strcmp(state, "stopped") && g->shape.parts == 1)
		g->progress_ms = MAX(progress, g->progress_ms);
}

/* Update g's parts at c from c's reported leases by id. */
void gang_handle_report(struct gang *g, struct upstream_control *c,
			GHashTable *by_id)
{
	enum gang_state state = g->state;

	if (state != GANG_RUNNING && state != GANG_RELEASING)
		return;
	for (uint32_t i = 0; i < g->shape.parts && g->state == state; i++) {
		struct gang_part *p = &g->parts[i];
		const json_t *lease;
		char *id;

		if (p->control != c || p->ended ||
		    (p->incarnation == c->incarnation &&
		     c->reported_version < p->version))
			continue;
		id = gang_lease_id(g, i);
		lease = g_hash_table_lookup(by_id, id);
		g_free(id);
		if (state == GANG_RUNNING)
			update_running_part(g, p, lease);
		else
			update_releasing_part(g, p, lease);
	}
	if (g->state == GANG_RUNNING && all_parts_done(g))
		gang_end(g, "done", "");
	else if (g->state == GANG_RELEASING)
		finish_release_if_ended(g);
}

/* Release a running gang that has an unfinished part at c, which is silent. */
void gang_handle_lost_upstream(struct gang *g, struct upstream_control *c)
{
	if (g->state != GANG_RUNNING)
		return;
	for (uint32_t i = 0; i < g->shape.parts; i++) {
		if (g->parts[i].control == c && !g->parts[i].ended) {
			gang_release(g, RELEASE_REQUEUE,
				     "an upstream was silent", 0);
			return;
		}
	}
}

/*
 * Take the leases of g, whose time is over, for ended, but for those at
 * upstreams that have reported since: their lists tell.
 */
static void end_expired_parts(struct gang *g)
{
	for (uint32_t i = 0; i < g->shape.parts; i++) {
		const struct upstream_control *c = g->parts[i].control;

		if (!c || c->confirmed_sent_ms <= g->leases_expired_by_ms)
			g->parts[i].ended = true;
	}
}

/*
 * Repeat a pending release, and finish it once all leases have expired.  Until
 * a majority has confirmed the epoch after that time, another coordinator may
 * have renewed them.
 */
void gang_tick(struct gang *g, uint64_t now_ms)
{
	if (g->state != GANG_RELEASING)
		return;
	if (now_ms >= g->leases_expired_by_ms &&
	    coordinator_is_confirmed_since(g->coordinator,
					   g->leases_expired_by_ms)) {
		end_expired_parts(g);
		finish_release_if_ended(g);
		if (g->state != GANG_RELEASING)
			return;
	}
	if (now_ms - g->releases_sent_ms < RELEASE_POLL_INTERVAL_MS)
		return;
	g->releases_sent_ms = now_ms;
	for (uint32_t i = 0; i < g->shape.parts; i++)
		if (g->parts[i].control && !g->parts[i].ended &&
		    is_first_at_upstream(g, i))
			upstream_control_renew(g->parts[i].control);
	if (now_ms - g->state_since_ms > CALL_TIMEOUT_MS)
		send_releases(g, 0);
}

/* Adoption */

static json_int_t newest_attempt(json_t *leases)
{
	json_int_t newest = 0;
	json_t *v;
	size_t i;

	json_array_foreach(leases, i, v) newest =
		MAX(newest, json_int_or(v, "attempt", 0));
	return newest;
}

static void adopt_lease(struct gang *g, const json_t *v, uint32_t *intact)
{
	uint32_t i = json_int_or(v, "part", 0);
	const char *state = json_str_or(v, "state", "");
	struct gang_part *p;

	if (i >= g->shape.parts)
		return;
	p = &g->parts[i];
	p->control = coordinator_find_control(g->coordinator,
					      json_str_or(v, "upstream", ""));
	p->mask = json_int_or(v, "mask", 0);
	p->incarnation = p->control ? p->control->incarnation : 0;
	p->done = !strcmp(state, "done");
	p->ended = gang_lease_has_ended(v);
	if (p->done || !strcmp(state, "running"))
		(*intact)++;
}

/*
 * Take over the leases that upstreams report for a job.  leases is an array of
 * their reports with the upstream's name added; only the newest attempt
 * counts.  The caller releases the gang unless all its parts run or are done.
 */
struct gang *gang_adopt(struct coordinator *d, const char *name, json_t *leases)
{
	struct gang *g = g_hash_table_lookup(d->gangs, name);
	json_int_t attempt = newest_attempt(leases);
	uint32_t intact = 0;
	json_t *v;
	size_t i;

	if (!g)
		g = gang_create(d, name);
	json_array_foreach(leases, i, v)
	{
		if (json_int_or(v, "attempt", 0) != attempt)
			continue;
		if (!g->parts) {
			g->shape.parts = json_int_or(v, "parts", 1);
			g->shape.slots = json_int_or(v, "slots", 1);
			g->shape.accelerators = __builtin_popcount(
				(uint32_t)json_int_or(v, "mask", 0));
			g->run_ms = json_int_or(v, "run_ms", 0);
			g->progress_ms = json_int_or(v, "progress_ms", 0);
			g->idempotent =
				json_is_true(json_object_get(v, "idempotent"));
			g_strlcpy(g->account, json_str_or(v, "account", ""),
				  sizeof(g->account));
			job_class_parse(json_str_or(v, "class", "batch"),
					&g->job_class);
			g->parts = g_new0(struct gang_part, g->shape.parts);
		}
		adopt_lease(g, v, &intact);
	}
	g->attempt = attempt;
	g->may_have_run = true;
	set_state(g, GANG_RUNNING);
	add_attempt_event(g, "adopted",
			  intact == g->shape.parts ? "all parts"
						   : "not all parts run");
	return g;
}
