/*
 * The configuration task.  Rows come from the table and from peers; a row is
 * replaced only by one of a larger version, so the configuration in force
 * never reverts.  A change is one transaction over its rows, the bindings
 * derived from it, and a head row written by compare-and-set, so that of two
 * concurrent changes only one succeeds.
 */
#include <glib.h>
#include <string.h>

#include "daemon/config_store.h"

#define CONFIG_KEY_PREFIX "config/"
#define HEAD_KEY "config/head"
#define BINDING_KEY_PREFIX "config/binding/"
#define APPLY_ATTEMPTS_MAX 4
#define UPSTREAM_KEY_PREFIX "config/upstream/"
/* An older list of members does not tell what exists now. */
#define MEMBERS_AGE_MAX_MS 5000

struct config_store {
	struct env *env;
	json_t *rows; /* key to {"version", "value"}; null: deleted */
	uint64_t newest_version;   /* version of the newest row */
	uint64_t complete_version; /* no row up to this version is missing */
	struct config *snapshot;
	GHashTable *changes; /* ticket to struct config_change */
	uint64_t next_ticket;
	bool rebind_pending;
	json_t *members;	   /* the platform's list; NULL: not known */
	uint64_t members_asked_ms; /* when it was asked for */
};

/* A change that is not yet confirmed in the table. */
struct config_change {
	struct message request; /* gets no response if rebind is set */
	bool rebind;
	uint64_t ticket;
	uint64_t base_version; /* version of the head row it is based on */
	char *nonce;
	json_t *rows; /* key to value */
	json_t *ops;
	uint32_t attempts;
};

static uint64_t row_version(const struct config_store *s, const char *key)
{
	return json_int_or(json_object_get(s->rows, key), "version", 0);
}

/* Store a row; false if the same or a newer version is known. */
static bool store_row(struct config_store *s, const char *key, uint64_t version,
		      json_t *value)
{
	if (!g_str_has_prefix(key, CONFIG_KEY_PREFIX) ||
	    version <= row_version(s, key))
		return false;
	json_object_set_new(s->rows, key,
			    json_pack("{s:I,s:O}", "version",
				      (json_int_t)version, "value",
				      value ? value : json_null()));
	s->newest_version = MAX(s->newest_version, version);
	return true;
}

/* Return an object of key to value of the rows that are not deleted. */
static json_t *copy_existing_values(const struct config_store *s)
{
	json_t *out = json_object();
	const char *key;
	json_t *row;

	json_object_foreach(s->rows, key, row)
	{
		json_t *value = json_object_get(row, "value");

		if (!json_is_null(value))
			json_object_set(out, key, value);
	}
	return out;
}

static void publish_snapshot(struct config_store *s)
{
	static const enum task_id listeners[] = {
		TASK_CALLER, TASK_CHECK, TASK_JOB, TASK_COORDINATOR, TASK_PEER};
	json_t *values = copy_existing_values(s);

	config_unref(s->snapshot);
	s->snapshot = config_build(values, s->newest_version);
	s->snapshot->head = row_version(s, HEAD_KEY);
	s->snapshot->complete = s->complete_version;
	json_decref(values);
	for (size_t i = 0; i < G_N_ELEMENTS(listeners); i++) {
		struct message m = {.tag = MSG_CONFIG,
				    .from = TASK_CONFIG,
				    .to = listeners[i]};

		m.config = config_ref(s->snapshot);
		bus_post(s->env->bus, &m);
	}
	event_add(s->env->events, "config_in_force", "config", NULL,
		  "version %" G_GUINT64_FORMAT, s->newest_version);
}

static void handle_rows(struct config_store *s, const struct rows *r)
{
	struct message m = {
		.tag = MSG_CAUGHT_UP, .from = TASK_CONFIG, .to = TASK_CALLER};
	bool changed = false;
	json_t *row;
	size_t i;

	json_array_foreach(r->list, i,
			   row) if (store_row(s, json_str_or(row, "key", ""),
					      json_int_or(row, "version", 0),
					      json_object_get(row, "value")))
		changed = true;
	if (r->complete > s->complete_version)
		s->complete_version = r->complete;
	if (changed)
		publish_snapshot(s);
	if (!r->caught_up_ms)
		return;
	m.number = r->caught_up_ms;
	bus_post(s->env->bus, &m);
}

/* Send the rows above a version to the peer task, for one peer. */
static void send_rows(struct config_store *s, const struct message *request)
{
	struct message m = {.tag = MSG_ROWS,
			    .from = TASK_CONFIG,
			    .to = request->from,
			    .ticket = request->ticket};
	const char *key;
	json_t *row;

	m.rows.list = json_array();
	m.rows.complete = s->complete_version;
	json_object_foreach(s->rows, key, row)
	{
		if ((uint64_t)json_int_or(row, "version", 0) <= request->number)
			continue;
		json_array_append_new(
			m.rows.list,
			json_pack("{s:s,s:O,s:O}", "key", key, "version",
				  json_object_get(row, "version"), "value",
				  json_object_get(row, "value")));
	}
	bus_post(s->env->bus, &m);
}

/* Changes */

static void config_change_free(void *p)
{
	struct config_change *a = p;

	g_free(a->nonce);
	json_decref(a->rows);
	json_decref(a->ops);
	g_free(a);
}

static void finish_change(struct config_store *s, struct config_change *a,
			  struct verdict v, json_t *body)
{
	if (a->rebind) {
		s->rebind_pending = false;
		json_decref(body);
	} else {
		post_response(s->env->bus, &a->request, v, body);
	}
	g_hash_table_remove(s->changes, &a->ticket);
}

/* Store the rows of a, which the table has committed at version. */
static void handle_change_committed(struct config_store *s,
				    struct config_change *a, uint64_t version)
{
	const char *key;
	json_t *value;

	json_object_foreach(a->rows, key, value)
		store_row(s, key, version, value);
	/*
	 * The head row was unchanged, so no other change was committed after
	 * the version that this one is based on.
	 */
	s->complete_version = MAX(s->complete_version, version);
	event_add(s->env->events, a->rebind ? "rebound" : "config_accepted",
		  "config", NULL, "version %" G_GUINT64_FORMAT, version);
	publish_snapshot(s);
	finish_change(s, a, verdict_ran(),
		      json_pack("{s:I}", "version", (json_int_t)version));
}

static void send_change(struct config_store *s, struct config_change *a)
{
	a->attempts++;
	post_txn(s->env->bus, TASK_CONFIG, a->ticket, json_incref(a->ops));
}

/* Return the operations that write a's rows; only the head is conditional. */
static json_t *create_change_ops(const struct config_change *a)
{
	json_t *ops = json_array();
	const char *key;
	json_t *value;

	json_object_foreach(a->rows, key, value) json_array_append_new(
		ops,
		strcmp(key, HEAD_KEY)
			? json_pack("{s:s,s:O}", "key", key, "value", value)
			: json_pack("{s:s,s:O,s:I}", "key", key, "value", value,
				    "expect", (json_int_t)a->base_version));
	return ops;
}

/* Add to rows the bindings that differ from the current ones. */
static void add_changed_bindings(const struct config_store *s, json_t *rows,
				 json_t *bindings)
{
	const char *key;
	json_t *value;

	json_object_foreach(bindings, key, value)
	{
		const json_t *have =
			json_object_get(json_object_get(s->rows, key), "value");

		if (!have || !json_equal(have, value))
			json_object_set(rows, key, value);
	}
}

/* Start the transaction that writes rows, whose reference is taken. */
static void start_change(struct config_store *s, const struct message *request,
			 json_t *rows)
{
	struct config_change *a = g_new0(struct config_change, 1);

	a->rebind = request->request.kind == REQUEST_REBIND;
	a->request = *request;
	memset(&a->request.request, 0, sizeof(a->request.request));
	a->ticket = ++s->next_ticket;
	a->base_version = row_version(s, HEAD_KEY);
	a->nonce =
		g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
				s->env->settings->name,
				s->env->settings->incarnation, a->ticket);
	json_object_set_new(rows, HEAD_KEY,
			    json_pack("{s:s}", "nonce", a->nonce));
	a->rows = rows;
	a->ops = create_change_ops(a);
	g_hash_table_insert(s->changes, &a->ticket, a);
	send_change(s, a);
}

/* Return all values as they would be after the change. */
static json_t *merge_values(const struct config_store *s, const json_t *changes)
{
	json_t *all = copy_existing_values(s);
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)changes, key, value)
	{
		if (json_is_null(value))
			json_object_del(all, key);
		else
			json_object_set(all, key, value);
	}
	return all;
}

static void respond_with_problems(struct config_store *s,
				  const struct message *request,
				  const struct problems *p)
{
	struct verdict v = verdict_did_not_run(REASON_BAD_REQUEST);

	counter_add(s->env->counters, "config_refused", NULL, 1);
	post_response(s->env->bus, request, v,
		      json_pack("{s:o}", "problems", problems_json(p)));
}

static bool is_listed(const struct config_store *s, const char *name)
{
	json_t *v;
	size_t i;

	json_array_foreach(s->members, i, v)
	{
		if (!strcmp(json_str_or(v, "name", ""), name))
			return true;
	}
	return false;
}

/* Report whether coordinators would find an upstream at another place. */
static bool is_moved(const json_t *old, const json_t *new)
{
	return strcmp(json_str_or(old, "domain", ""),
		      json_str_or(new, "domain", "")) ||
	       strcmp(json_str_or(old, "address", ""),
		      json_str_or(new, "address", ""));
}

/*
 * Add a problem for each upstream that rows remove or move while it may run
 * jobs: a new coordinator could not find them, and would start them again.
 */
static void check_upstreams_unused(const struct config_store *s,
				   const json_t *rows, struct problems *p)
{
	bool known = s->members &&
		     clock_mono_ms() - s->members_asked_ms < MEMBERS_AGE_MAX_MS;
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)rows, key, value)
	{
		const json_t *old =
			json_object_get(json_object_get(s->rows, key), "value");
		const char *name = key + strlen(UPSTREAM_KEY_PREFIX);

		if (!g_str_has_prefix(key, UPSTREAM_KEY_PREFIX) ||
		    !json_is_object(old) || !is_moved(old, value))
			continue;
		if (!known)
			problem_add(p, "upstreams",
				    "%s may run jobs: the platform's list is "
				    "not known now",
				    name);
		else if (is_listed(s, name))
			problem_add(p, "upstreams",
				    "%s may run jobs: take it off the "
				    "platform's list before it is removed or "
				    "moved",
				    name);
	}
}

static void handle_apply(struct config_store *s, const struct message *m)
{
	struct problems *p = problems_create("configuration");
	const json_t *file = m->request.body;
	json_int_t base_version = json_int_or(file, "base", -1);
	json_t *rows = NULL, *all = NULL, *bindings = NULL;
	struct config *c = NULL;

	schema_check(config_file_fields, file, "", p);
	if (problems_count(p)) {
		respond_with_problems(s, m, p);
		goto out;
	}
	if (base_version >= 0 &&
	    (uint64_t)base_version != row_version(s, HEAD_KEY)) {
		post_response(s->env->bus, m,
			      verdict_did_not_run(REASON_CONFLICT),
			      json_pack("{s:I}", "head",
					(json_int_t)row_version(s, HEAD_KEY)));
		goto out;
	}
	rows = config_file_to_rows(file);
	check_upstreams_unused(s, rows, p);
	all = merge_values(s, rows);
	c = config_build(all, s->newest_version);
	config_validate(c, p);
	bindings = config_bind_guarantees(c, NULL, p);
	if (problems_count(p)) {
		respond_with_problems(s, m, p);
		goto out;
	}
	add_changed_bindings(s, rows, bindings);
	start_change(s, m, json_incref(rows));
out:
	json_decref(bindings);
	json_decref(all);
	json_decref(rows);
	config_unref(c);
	problems_destroy(p);
}

static void handle_rebind(struct config_store *s, const struct message *m)
{
	struct problems *p = problems_create("rebind");
	json_t *rows = json_object();
	json_t *bindings = NULL;
	char *text;

	if (s->rebind_pending || !s->snapshot)
		goto out;
	bindings = config_bind_guarantees(s->snapshot, m->request.body, p);
	add_changed_bindings(s, rows, bindings);
	if (problems_count(p)) {
		text = problems_text(p);
		event_add(s->env->events, "guarantee_unmet", "config", NULL,
			  "%s", text);
		log_line(LOG_ERROR, "guarantee_unmet", "%s", text);
		g_free(text);
	}
	if (!json_object_size(rows))
		goto out;
	s->rebind_pending = true;
	start_change(s, m, json_incref(rows));
out:
	json_decref(bindings);
	json_decref(rows);
	problems_destroy(p);
}

static void handle_get_config(struct config_store *s, const struct message *m)
{
	json_t *values = copy_existing_values(s);
	json_t *accounts = json_array(), *upstreams = json_array();
	json_t *bindings = json_object();
	json_t *limits = json_object_get(values, "config/limits");
	const char *key;
	json_t *value;

	json_object_foreach(values, key, value)
	{
		if (g_str_has_prefix(key, "config/account/"))
			json_array_append(accounts, value);
		else if (g_str_has_prefix(key, "config/upstream/"))
			json_array_append(upstreams, value);
		else if (g_str_has_prefix(key, BINDING_KEY_PREFIX))
			json_object_set(bindings,
					key + strlen(BINDING_KEY_PREFIX),
					value);
	}
	post_response(s->env->bus, m, verdict_ran(),
		      json_pack("{s:I,s:I,s:o,s:o,s:o,s:O?}", "version",
				(json_int_t)s->newest_version, "head",
				(json_int_t)row_version(s, HEAD_KEY),
				"accounts", accounts, "upstreams", upstreams,
				"bindings", bindings, "limits", limits));
	json_decref(values);
}

static void handle_txn_result(struct config_store *s, const struct message *m)
{
	struct config_change *a = g_hash_table_lookup(s->changes, &m->ticket);

	if (!a)
		return;
	switch (m->txn.verdict.tag) {
	case VERDICT_RAN:
		handle_change_committed(s, a, m->txn.version);
		break;
	case VERDICT_DID_NOT_RUN:
		/* After a retry the conflict may be with this change itself. */
		if (a->attempts > 1)
			post_read(s->env->bus, TASK_CONFIG, a->ticket,
				  HEAD_KEY);
		else
			finish_change(s, a, m->txn.verdict, NULL);
		break;
	case VERDICT_MAY_HAVE_RUN:
		post_read(s->env->bus, TASK_CONFIG, a->ticket, HEAD_KEY);
		break;
	}
}

/* Continue after the head row was read back to see if a write succeeded. */
static void handle_read_result(struct config_store *s, const struct message *m)
{
	struct config_change *a = g_hash_table_lookup(s->changes, &m->ticket);
	uint64_t version = m->txn.version;
	const char *nonce = json_str_or(
		json_object_get(m->txn.conflict, "value"), "nonce", "");

	if (!a)
		return;
	if (verdict_is_ran(m->txn.verdict) && !strcmp(nonce, a->nonce))
		handle_change_committed(s, a, version);
	else if (verdict_is_ran(m->txn.verdict) && version != a->base_version)
		finish_change(s, a, verdict_may_have_run(REASON_CONFLICT),
			      NULL);
	else if (a->attempts < APPLY_ATTEMPTS_MAX)
		send_change(s, a);
	else
		finish_change(s, a, verdict_may_have_run(REASON_PLATFORM_OUT),
			      NULL);
}

static void receive(void *task, struct message *m)
{
	struct config_store *s = task;

	switch ((int)m->tag) {
	case MSG_ROWS:
		handle_rows(s, &m->rows);
		break;
	case MSG_ROWS_REQUEST:
		send_rows(s, m);
		break;
	case MSG_MEMBERS:
		json_decref(s->members);
		s->members = json_incref(m->members.list);
		s->members_asked_ms = m->members.asked_ms;
		break;
	case MSG_TXN_DONE:
		handle_txn_result(s, m);
		break;
	case MSG_READ_DONE:
		handle_read_result(s, m);
		break;
	case MSG_REQUEST:
		if (m->request.kind == REQUEST_APPLY_CONFIG)
			handle_apply(s, m);
		else if (m->request.kind == REQUEST_REBIND)
			handle_rebind(s, m);
		else if (m->request.kind == REQUEST_GET_CONFIG)
			handle_get_config(s, m);
		break;
	}
}

/* Create the task without any configuration. */
struct config_store *config_store_create(struct env *env)
{
	struct config_store *s = g_new0(struct config_store, 1);

	s->env = env;
	s->rows = json_object();
	s->changes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   config_change_free);
	bus_attach(env->bus, TASK_CONFIG, receive, s);
	return s;
}

/* Free s; pending changes get no response. */
void config_store_destroy(struct config_store *s)
{
	if (!s)
		return;
	json_decref(s->rows);
	json_decref(s->members);
	config_unref(s->snapshot);
	g_hash_table_destroy(s->changes);
	g_free(s);
}
