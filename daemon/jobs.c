/*
 * The job task.  A job is accepted when its row is in the table.  The row's key
 * contains the caller's key, so that a repeated submission finds the first
 * one.  The coordinator's updates are merged into the newest row, written by
 * compare-and-set and retried until the table has committed them.
 */
#include <glib.h>
#include <string.h>

#include "daemon/jobs.h"
#include "sched/sched.h"

#define JOB_KEY_PREFIX "job/"
#define UPDATE_RETRY_DELAY_MS 300
#define REQUEST_ATTEMPTS_MAX 4
/* Maximum number of finished jobs that are kept for queries. */
#define FINAL_ROWS_MAX 5000
#define LIST_ROWS_MAX 500

static const char *const class_names[] = {"urgent", "batch", "quiet", NULL};

const struct field job_fields[] = {
	{"key", FIELD_NAME, false, 1, 80, "characters"},
	{"account", FIELD_NAME, true, 1, 60, "characters"},
	{"class", FIELD_CHOICE, .choices = class_names},
	{"parts", FIELD_INTEGER, false, 1, 256, "parts"},
	{"accelerators", FIELD_INTEGER, false, 0, UPSTREAM_ACCELERATORS_MAX,
	 "accelerators a part"},
	{"slots", FIELD_INTEGER, false, 1, 64,
	 "slots a part without accelerators"},
	{"run_ms", FIELD_INTEGER, true, 0, 7 * 86400000LL, "milliseconds"},
	{"domain", FIELD_NAME, false, 1, 60, "characters"},
	{"idempotent", FIELD_BOOL},
	{"payload", FIELD_STRING, false, 0, 65536, "characters"},
	{0}};

struct row {
	uint64_t version;
	json_t *value;
};

/* A submission or cancellation that is pending in the table. */
struct pending_request {
	struct message request;
	uint64_t ticket;
	char *key; /* row key */
	char *nonce;
	json_t *value;
	uint32_t attempts;
};

/* The merged updates of one job that are not yet in the table. */
struct job_update {
	struct jobs *jobs;
	char *key;
	json_t *patch;
	uint64_t ticket;  /* of the request in flight; 0 if there is none */
	bool changed;	  /* whether patch changed since the last write */
	bool row_missing; /* as far as the last read tells */
	struct timer timer;
};

struct jobs {
	struct env *env;
	struct config *config;
	GHashTable *rows;	       /* key to struct row */
	GHashTable *pending_requests;  /* ticket to struct pending_request */
	GHashTable *updates;	       /* key to struct job_update */
	GHashTable *updates_by_ticket; /* ticket to struct job_update */
	GQueue *final_keys;	       /* keys of finished jobs, oldest first */
	uint64_t next_ticket;
	uint64_t next_name;
};

/* Report whether a job in this state will never run again. */
bool gang_job_state_is_final(const char *state)
{
	static const char *const finals[] = {"done", "cancelled", "parked"};

	for (size_t i = 0; i < G_N_ELEMENTS(finals); i++)
		if (!strcmp(state, finals[i]))
			return true;
	return false;
}

/*
 * Merge an update by the coordinator into a row's value.  False if the update
 * is stale: the job has ended, or a later attempt was recorded.
 */
bool job_row_merge(json_t *value, const json_t *patch)
{
	const char *old_state = json_str_or(value, "state", "");
	const char *new_state = json_str_or(patch, "state", "");
	bool cancelling = !strcmp(old_state, "cancelling");

	if (gang_job_state_is_final(old_state))
		return false;
	if (json_int_or(patch, "attempt", 0) < json_int_or(value, "attempt", 0))
		return false;
	json_object_update(value, (json_t *)patch);
	json_object_del(value, "key");
	if (cancelling && !gang_job_state_is_final(new_state))
		json_object_set_new(value, "state", json_string("cancelling"));
	return true;
}

static void row_free(void *p)
{
	struct row *r = p;

	json_decref(r->value);
	g_free(r);
}

/* Return a job in the form sent to callers: its row, name and version. */
static json_t *job_json(const char *key, const struct row *r)
{
	json_t *v = json_copy(r->value);

	json_object_set_new(v, "job",
			    json_string(key + strlen(JOB_KEY_PREFIX)));
	json_object_set_new(v, "version", json_integer(r->version));
	return v;
}

static void post_job_row(struct jobs *j, const char *key, const struct row *r)
{
	post_json(j->env->bus, MSG_JOB_ROW, TASK_JOB, TASK_COORDINATOR,
		  job_json(key, r));
}

static void drop_oldest_final_rows(struct jobs *j)
{
	while (g_queue_get_length(j->final_keys) > FINAL_ROWS_MAX) {
		char *key = g_queue_pop_head(j->final_keys);

		g_hash_table_remove(j->rows, key);
		g_free(key);
	}
}

/* Store a row and post it to the coordinator, if it is newer than the known. */
static void store_row(struct jobs *j, const char *key, uint64_t version,
		      json_t *value)
{
	struct row *r = g_hash_table_lookup(j->rows, key);

	if (!g_str_has_prefix(key, JOB_KEY_PREFIX) || !json_is_object(value) ||
	    (r && version <= r->version))
		return;
	r = g_new0(struct row, 1);
	r->version = version;
	r->value = json_incref(value);
	g_hash_table_replace(j->rows, g_strdup(key), r);
	if (gang_job_state_is_final(json_str_or(value, "state", ""))) {
		g_queue_push_tail(j->final_keys, g_strdup(key));
		post_job_row(j, key, r);
		drop_oldest_final_rows(j);
		return;
	}
	post_job_row(j, key, r);
}

static void handle_rows(struct jobs *j, const struct rows *r)
{
	struct message m = {
		.tag = MSG_CAUGHT_UP, .from = TASK_JOB, .to = TASK_COORDINATOR};
	json_t *row;
	size_t i;

	json_array_foreach(r->list, i, row) store_row(
		j, json_str_or(row, "key", ""), json_int_or(row, "version", 0),
		json_object_get(row, "value"));
	if (!r->caught_up_ms)
		return;
	m.number = r->caught_up_ms;
	bus_post(j->env->bus, &m);
}

/* Forward a row to peers, so that they need not wait to read the table. */
static void push_row_to_peers(struct jobs *j, const char *key)
{
	const struct row *r = g_hash_table_lookup(j->rows, key);
	struct message m = {
		.tag = MSG_ROWS_FORWARD, .from = TASK_JOB, .to = TASK_PEER};

	if (!r)
		return;
	m.rows.list = json_pack("[{s:s,s:I,s:O}]", "key", key, "version",
				(json_int_t)r->version, "value", r->value);
	bus_post(j->env->bus, &m);
}

/* Submissions and cancellations */

static void pending_request_free(void *p)
{
	struct pending_request *w = p;

	g_free(w->key);
	g_free(w->nonce);
	json_decref(w->value);
	g_free(w);
}

static void finish_with_verdict(struct jobs *j, struct pending_request *w,
				struct verdict v, json_t *body)
{
	post_response(j->env->bus, &w->request, v, body);
	g_hash_table_remove(j->pending_requests, &w->ticket);
}

static void finish_with_accepted(struct jobs *j, struct pending_request *w,
				 json_t *body)
{
	post_accepted_response(j->env->bus, &w->request, body);
	g_hash_table_remove(j->pending_requests, &w->ticket);
}

static void send_request_txn(struct jobs *j, struct pending_request *w,
			     uint64_t expect)
{
	w->attempts++;
	post_txn(j->env->bus, TASK_JOB, w->ticket,
		 json_pack("[{s:s,s:O,s:I}]", "key", w->key, "value", w->value,
			   "expect", (json_int_t)expect));
}

static struct pending_request *pending_request_create(struct jobs *j,
						      const struct message *m,
						      const char *name)
{
	struct pending_request *w = g_new0(struct pending_request, 1);

	w->request = *m;
	memset(&w->request.request.name, 0, sizeof(w->request.request.name));
	w->request.request.body = NULL;
	w->ticket = ++j->next_ticket;
	w->key = g_strconcat(JOB_KEY_PREFIX, name, NULL);
	w->nonce =
		g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
				j->env->settings->name,
				j->env->settings->incarnation, w->ticket);
	g_hash_table_insert(j->pending_requests, &w->ticket, w);
	return w;
}

/* Report whether an empty domain can hold the shape in the given cells. */
static bool domain_can_hold(const struct config *c, const char *domain,
			    const struct shape *want,
			    enum place_scope place_scope)
{
	struct part *parts = g_new0(struct part, want->parts);
	struct inventory *s;
	bool fits;

	config_create_inventory(c, domain, &s);
	config_bind_inventory(c, domain, s);
	fits = place_parts(s, want, place_scope, PLACE_POLICY_BOUND, parts);
	inventory_destroy(s);
	g_free(parts);
	return fits;
}

/*
 * Choose the domain of a job.  A requested domain is the only candidate.
 * Otherwise a domain that can hold the job in cells bound to its account is
 * preferred to one that can hold it in any cells, and this instance's own
 * domain is tried first in both steps.  NULL if no domain can hold the job.
 */
static const char *choose_domain(struct jobs *j, const json_t *job,
				 uint32_t account)
{
	const struct config *c = j->config;
	const char *wanted = json_str_or(job, "domain", NULL);
	const char *own = j->env->settings->domain;
	struct shape want = {.parts = json_int_or(job, "parts", 1),
			     .accelerators =
				     json_int_or(job, "accelerators", 0),
			     .slots = 0,
			     .account = account};

	if (!want.accelerators)
		want.slots = json_int_or(job, "slots", 1);
	if (wanted)
		return domain_can_hold(c, wanted, &want, PLACE_ALL) ? wanted
								    : NULL;
	if (domain_can_hold(c, own, &want, PLACE_OWN_FREE))
		return own;
	for (uint32_t i = 0; want.accelerators && i < c->bindings_len; i++)
		if (!strcmp(c->bindings[i].account,
			    c->accounts[account].name) &&
		    (!i || strcmp(c->bindings[i].domain,
				  c->bindings[i - 1].domain)) &&
		    domain_can_hold(c, c->bindings[i].domain, &want,
				    PLACE_OWN_FREE))
			return c->bindings[i].domain;
	if (domain_can_hold(c, own, &want, PLACE_ALL))
		return own;
	for (uint32_t i = 0; i < c->upstreams_len; i++)
		if ((!i || strcmp(c->upstreams[i].domain,
				  c->upstreams[i - 1].domain)) &&
		    domain_can_hold(c, c->upstreams[i].domain, &want,
				    PLACE_ALL))
			return c->upstreams[i].domain;
	return NULL;
}

static uint32_t count_waiting_jobs(const struct jobs *j, const char *account)
{
	GHashTableIter it;
	gpointer v;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, j->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const json_t *o = ((struct row *)v)->value;
		const char *state = json_str_or(o, "state", "");

		if ((!strcmp(state, "accepted") || !strcmp(state, "waiting")) &&
		    !strcmp(json_str_or(o, "account", ""), account))
			n++;
	}
	return n;
}

static json_t *create_row_value(const json_t *job, const char *domain,
				const char *nonce)
{
	json_t *v = json_copy((json_t *)job);

	json_object_del(v, "key");
	if (!json_object_get(v, "class"))
		json_object_set_new(v, "class", json_string("batch"));
	json_object_set_new(v, "state", json_string("accepted"));
	json_object_set_new(v, "domain", json_string(domain));
	json_object_set_new(v, "nonce", json_string(nonce));
	json_object_set_new(v, "accepted_ms", json_integer(clock_wall_ms()));
	return v;
}

static void handle_submit(struct jobs *j, struct message *m)
{
	json_t *job = m->request.body;
	const char *account = json_str_or(job, "account", "");
	char *name = g_strdup(json_str_or(job, "key", NULL));
	enum reason why = REASON_NONE;
	const char *domain = NULL;
	struct pending_request *w;
	uint32_t a = 0;

	if (!j->config)
		why = REASON_NOT_READY;
	else if (!config_find_account(j->config, account, &a))
		why = REASON_UNKNOWN_ACCOUNT;
	else if (count_waiting_jobs(j, account) >=
		 j->config->accounts[a].queue_limit)
		why = REASON_QUEUE_FULL;
	else if (!(domain = choose_domain(j, job, a)))
		why = REASON_NEVER_FITS;
	if (why != REASON_NONE) {
		post_response(j->env->bus, m, verdict_did_not_run(why), NULL);
		goto out;
	}
	if (!name)
		name = g_strdup_printf(
			"%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
			j->env->settings->name, j->env->settings->incarnation,
			++j->next_name);
	w = pending_request_create(j, m, name);
	w->value = create_row_value(job, domain, w->nonce);
	send_request_txn(j, w, 0);
out:
	g_free(name);
}

static void handle_request_committed(struct jobs *j, struct pending_request *w,
				     uint64_t version)
{
	const char *name = w->key + strlen(JOB_KEY_PREFIX);

	store_row(j, w->key, version, w->value);
	push_row_to_peers(j, w->key);
	if (w->request.request.kind == REQUEST_SUBMIT_JOB) {
		counter_add(j->env->counters, "jobs_accepted", NULL, 1);
		event_add(j->env->events, "accepted", name,
			  json_str_or(w->value, "account", ""),
			  "domain %s, %d parts of %d accelerators",
			  json_str_or(w->value, "domain", ""),
			  (int)json_int_or(w->value, "parts", 1),
			  (int)json_int_or(w->value, "accelerators", 0));
	} else {
		event_add(j->env->events, "cancelling", name,
			  json_str_or(w->value, "account", ""), "asked for");
	}
	finish_with_accepted(j, w,
			     json_pack("{s:s,s:s,s:I}", "job", name, "state",
				       json_str_or(w->value, "state", ""),
				       "version", (json_int_t)version));
}

/*
 * Finish a submission whose key exists: the row is from this request, from
 * an equal submission, or from a different job, which is a conflict.
 */
static void handle_existing_row(struct jobs *j, struct pending_request *w,
				json_t *row)
{
	json_t *value = json_object_get(row, "value");
	uint64_t version = json_int_or(row, "version", 0);
	static const char *const compared_fields[] = {"account", "parts",
						      "accelerators", "run_ms"};

	store_row(j, w->key, version, value);
	if (!strcmp(json_str_or(value, "nonce", ""), w->nonce)) {
		handle_request_committed(j, w, version);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(compared_fields); i++) {
		json_t *a = json_object_get(value, compared_fields[i]);
		json_t *b = json_object_get(w->value, compared_fields[i]);

		if ((a || b) && !json_equal(a, b)) {
			finish_with_verdict(
				j, w, verdict_did_not_run(REASON_CONFLICT),
				NULL);
			return;
		}
	}
	finish_with_accepted(j, w,
			     json_pack("{s:s,s:s,s:I,s:b}", "job",
				       w->key + strlen(JOB_KEY_PREFIX), "state",
				       json_str_or(value, "state", ""),
				       "version", (json_int_t)version,
				       "existing", 1));
}

static void send_cancellation(struct jobs *j, struct pending_request *w);

static void handle_request_txn(struct jobs *j, struct pending_request *w,
			       struct txn_result *t)
{
	bool cancel = w->request.request.kind == REQUEST_CANCEL_JOB;
	json_t *row = t->conflict;

	switch (t->verdict.tag) {
	case VERDICT_RAN:
		handle_request_committed(j, w, t->version);
		break;
	case VERDICT_DID_NOT_RUN:
		if (cancel && row) {
			store_row(j, w->key, json_int_or(row, "version", 0),
				  json_object_get(row, "value"));
			send_cancellation(j, w);
		} else if (row) {
			handle_existing_row(j, w, row);
		} else {
			finish_with_verdict(j, w, t->verdict, NULL);
		}
		break;
	case VERDICT_MAY_HAVE_RUN:
		post_read(j->env->bus, TASK_JOB, w->ticket, w->key);
		break;
	}
}

/* Continue a request about a job whose row was not known, after a read. */
static void handle_unknown_row_read(struct jobs *j, struct pending_request *w,
				    struct txn_result *t)
{
	const struct row *r;

	if (t->conflict)
		store_row(j, w->key, json_int_or(t->conflict, "version", 0),
			  json_object_get(t->conflict, "value"));
	r = g_hash_table_lookup(j->rows, w->key);
	if (r && w->request.request.kind == REQUEST_CANCEL_JOB)
		send_cancellation(j, w);
	else if (r)
		finish_with_verdict(j, w, verdict_ran(), job_json(w->key, r));
	else if (verdict_is_ran(t->verdict))
		finish_with_verdict(j, w, verdict_did_not_run(REASON_NOT_FOUND),
				    NULL);
	else
		finish_with_verdict(
			j, w, verdict_did_not_run(REASON_PLATFORM_OUT), NULL);
}

/* Continue after a read, most often to see if a write succeeded. */
static void handle_request_read(struct jobs *j, struct pending_request *w,
				struct txn_result *t)
{
	bool cancel = w->request.request.kind == REQUEST_CANCEL_JOB;

	if (!w->attempts) {
		handle_unknown_row_read(j, w, t);
		return;
	}
	if (verdict_is_ran(t->verdict) && t->conflict && cancel) {
		store_row(j, w->key, json_int_or(t->conflict, "version", 0),
			  json_object_get(t->conflict, "value"));
		send_cancellation(j, w);
	} else if (verdict_is_ran(t->verdict) && t->conflict) {
		handle_existing_row(j, w, t->conflict);
	} else if (verdict_is_ran(t->verdict) &&
		   w->attempts < REQUEST_ATTEMPTS_MAX) {
		send_request_txn(j, w, 0);
	} else {
		finish_with_verdict(
			j, w, verdict_may_have_run(REASON_PLATFORM_OUT), NULL);
	}
}

/*
 * Send a cancellation that replaces the newest known row, or finish the
 * request if the job is unknown, has ended or is already being cancelled.
 */
static void send_cancellation(struct jobs *j, struct pending_request *w)
{
	const struct row *r = g_hash_table_lookup(j->rows, w->key);
	const char *state = r ? json_str_or(r->value, "state", "") : "";

	if (!r) {
		finish_with_verdict(j, w, verdict_did_not_run(REASON_NOT_FOUND),
				    NULL);
	} else if (!strcmp(state, "cancelling") ||
		   !strcmp(state, "cancelled")) {
		finish_with_verdict(j, w, verdict_ran(),
				    json_pack("{s:s,s:s}", "job",
					      w->key + strlen(JOB_KEY_PREFIX),
					      "state", state));
	} else if (gang_job_state_is_final(state)) {
		finish_with_verdict(j, w, verdict_did_not_run(REASON_CONFLICT),
				    json_pack("{s:s}", "state", state));
	} else if (w->attempts >= REQUEST_ATTEMPTS_MAX) {
		finish_with_verdict(
			j, w, verdict_may_have_run(REASON_PLATFORM_OUT), NULL);
	} else {
		json_decref(w->value);
		w->value = json_copy(r->value);
		json_object_set_new(w->value, "state",
				    json_string("cancelling"));
		send_request_txn(j, w, r->version);
	}
}

/*
 * Read the row of a job that is not known here before a request about it is
 * answered: another instance may have accepted the job just now.
 */
static void read_unknown_row(struct jobs *j, struct pending_request *w)
{
	post_read(j->env->bus, TASK_JOB, w->ticket, w->key);
}

static void handle_cancel(struct jobs *j, const struct message *m)
{
	struct pending_request *w =
		pending_request_create(j, m, m->request.name);

	if (g_hash_table_contains(j->rows, w->key))
		send_cancellation(j, w);
	else
		read_unknown_row(j, w);
}

/* Updates from the coordinator */

static void job_update_free(void *p)
{
	struct job_update *u = p;

	timer_stop(u->jobs->env->loop, &u->timer);
	json_decref(u->patch);
	g_free(u->key);
	g_free(u);
}

static void finish_update(struct jobs *j, struct job_update *u)
{
	json_t *saved = json_incref(u->patch);

	post_json(j->env->bus, MSG_JOB_SAVED, TASK_JOB, TASK_COORDINATOR,
		  saved);
	g_hash_table_remove(j->updates, u->key);
}

static void schedule_update_retry(struct job_update *u)
{
	timer_start(u->jobs->env->loop, &u->timer, UPDATE_RETRY_DELAY_MS);
}

static void send_update(void *arg)
{
	struct job_update *u = arg;
	struct jobs *j = u->jobs;
	const struct row *r = g_hash_table_lookup(j->rows, u->key);
	json_t *value;

	/* A row that is not known yet is read first. */
	if (!r) {
		u->ticket = ++j->next_ticket;
		g_hash_table_insert(j->updates_by_ticket, &u->ticket, u);
		post_read(j->env->bus, TASK_JOB, u->ticket, u->key);
		return;
	}
	value = json_copy(r->value);
	if (!job_row_merge(value, u->patch)) {
		json_decref(value);
		finish_update(j, u);
		return;
	}
	u->changed = false;
	u->ticket = ++j->next_ticket;
	g_hash_table_insert(j->updates_by_ticket, &u->ticket, u);
	post_txn(j->env->bus, TASK_JOB, u->ticket,
		 json_pack("[{s:s,s:o,s:I}]", "key", u->key, "value", value,
			   "expect", (json_int_t)r->version));
}

static void handle_update(struct jobs *j, const struct message *m)
{
	char *key = g_strconcat(JOB_KEY_PREFIX, json_str_or(m->json, "key", ""),
				NULL);
	struct job_update *u = g_hash_table_lookup(j->updates, key);

	if (u) {
		json_t *merged = json_copy(u->patch);

		json_object_update(merged, m->json);
		json_decref(u->patch);
		u->patch = merged;
		u->changed = true;
		g_free(key);
		return;
	}
	u = g_new0(struct job_update, 1);
	u->jobs = j;
	u->key = key;
	u->patch = json_copy(m->json);
	timer_init(&u->timer, send_update, u);
	g_hash_table_insert(j->updates, u->key, u);
	send_update(u);
}

static void handle_update_txn(struct jobs *j, struct job_update *u,
			      struct txn_result *t)
{
	const struct row *r = g_hash_table_lookup(j->rows, u->key);
	json_t *value;

	switch (t->verdict.tag) {
	case VERDICT_RAN:
		value = json_copy(r->value);
		job_row_merge(value, u->patch);
		store_row(j, u->key, t->version, value);
		json_decref(value);
		push_row_to_peers(j, u->key);
		if (u->changed)
			send_update(u);
		else
			finish_update(j, u);
		break;
	case VERDICT_DID_NOT_RUN:
		if (t->conflict) {
			store_row(j, u->key,
				  json_int_or(t->conflict, "version", 0),
				  json_object_get(t->conflict, "value"));
			send_update(u);
		} else {
			schedule_update_retry(u);
		}
		break;
	case VERDICT_MAY_HAVE_RUN:
		/* If it was written, the retry ends in a conflict. */
		schedule_update_retry(u);
		break;
	}
}

/*
 * Continue after the row of an update was read.  Rows of jobs are never
 * removed, so that an answer without the row is older than the row.
 */
static void handle_update_read(struct jobs *j, struct job_update *u,
			       struct txn_result *t)
{
	if (!verdict_is_ran(t->verdict)) {
		schedule_update_retry(u);
	} else if (!t->conflict) {
		if (!u->row_missing)
			log_line(LOG_WARN, "job_row_missing",
				 "%s: the table lacks the row to update; it "
				 "is read again",
				 u->key);
		u->row_missing = true;
		schedule_update_retry(u);
	} else {
		u->row_missing = false;
		store_row(j, u->key, json_int_or(t->conflict, "version", 0),
			  json_object_get(t->conflict, "value"));
		send_update(u);
	}
}

static void handle_table_answer(struct jobs *j, struct message *m)
{
	struct pending_request *w =
		g_hash_table_lookup(j->pending_requests, &m->ticket);
	struct job_update *u =
		g_hash_table_lookup(j->updates_by_ticket, &m->ticket);

	if (u) {
		g_hash_table_remove(j->updates_by_ticket, &m->ticket);
		u->ticket = 0;
		if (m->tag == MSG_TXN_DONE)
			handle_update_txn(j, u, &m->txn);
		else
			handle_update_read(j, u, &m->txn);
	} else if (w && m->tag == MSG_TXN_DONE) {
		handle_request_txn(j, w, &m->txn);
	} else if (w) {
		handle_request_read(j, w, &m->txn);
	}
}

/* Queries */

static void handle_get_job(struct jobs *j, const struct message *m)
{
	char *key = g_strconcat(JOB_KEY_PREFIX, m->request.name, NULL);
	const struct row *r = g_hash_table_lookup(j->rows, key);

	if (r)
		post_response(j->env->bus, m, verdict_ran(), job_json(key, r));
	else
		read_unknown_row(j,
				 pending_request_create(j, m, m->request.name));
	g_free(key);
}

static void handle_list_jobs(struct jobs *j, const struct message *m)
{
	json_t *list = json_array();
	GHashTableIter it;
	gpointer k, v;

	g_hash_table_iter_init(&it, j->rows);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		const struct row *r = v;
		const char *state = json_str_or(r->value, "state", "");

		if (json_array_size(list) >= LIST_ROWS_MAX)
			break;
		if (m->request.name && strcmp(m->request.name, state))
			continue;
		json_array_append_new(list, job_json(k, r));
	}
	post_response(j->env->bus, m, verdict_ran(),
		      json_pack("{s:o,s:i}", "jobs", list, "known",
				(int)g_hash_table_size(j->rows)));
}

static void receive(void *task, struct message *m)
{
	struct jobs *j = task;

	switch ((int)m->tag) {
	case MSG_ROWS:
		handle_rows(j, &m->rows);
		break;
	case MSG_CONFIG:
		config_unref(j->config);
		j->config = m->config;
		m->config = NULL;
		break;
	case MSG_TXN_DONE:
	case MSG_READ_DONE:
		handle_table_answer(j, m);
		break;
	case MSG_JOB_UPDATE:
		handle_update(j, m);
		break;
	case MSG_REQUEST:
		if (m->request.kind == REQUEST_SUBMIT_JOB)
			handle_submit(j, m);
		else if (m->request.kind == REQUEST_CANCEL_JOB)
			handle_cancel(j, m);
		else if (m->request.kind == REQUEST_GET_JOB)
			handle_get_job(j, m);
		else
			handle_list_jobs(j, m);
		break;
	}
}

/* Create the task without rows. */
struct jobs *jobs_create(struct env *env)
{
	struct jobs *j = g_new0(struct jobs, 1);

	j->env = env;
	j->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					row_free);
	j->pending_requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, pending_request_free);
	j->updates = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   job_update_free);
	j->updates_by_ticket = g_hash_table_new(g_int64_hash, g_int64_equal);
	j->final_keys = g_queue_new();
	bus_attach(env->bus, TASK_JOB, receive, j);
	return j;
}

/* Free j; pending requests get no response. */
void jobs_destroy(struct jobs *j)
{
	if (!j)
		return;
	g_hash_table_destroy(j->updates_by_ticket);
	g_hash_table_destroy(j->updates);
	g_hash_table_destroy(j->pending_requests);
	g_hash_table_destroy(j->rows);
	g_queue_free_full(j->final_keys, g_free);
	config_unref(j->config);
	g_free(j);
}
