/*
 * Simulates the platform for tests: a transactional table with versions, a list
 * of members that is published with a delay, and faults that are injected over
 * HTTP.
 *
 *	POST /table/txn   {"ops": [{"key", "value", "expect"}]}
 *	GET  /table/row?key=K
 *	GET  /table/scan?after=V&limit=N&prefix=P
 *	GET  /members
 *	POST /control     {"outage": "refuse"|"hang"|"", "slow_ms": N,
 *			   "lose_answers": N, "lag_ms": N, "members": [...],
 *			   "member": {...}}
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "lib/http.h"
#include "lib/log.h"
#include "lib/schema.h"

#define MAX_BODY_BYTES (4u << 20)
#define SCAN_ROWS_MAX 1000

struct row {
	uint64_t version;
	json_t *value; /* NULL when deleted */
};

struct change {
	uint64_t version;
	char *key;
};

struct platform {
	struct loop *loop;
	GHashTable *rows;
	GArray *changes; /* struct change, by version */
	uint64_t version;
	json_t *members;	/* current */
	json_t *listed_members; /* as published, members_lag_ms later */
	uint32_t members_lag_ms;
	char *outage_mode;
	uint32_t delay_ms;
	uint32_t answers_to_lose;
	uint64_t write_count;
	uint64_t read_count;
	GPtrArray *unanswered; /* exchanges that are never answered */
};

/* A request or a publication of members that a timer executes. */
struct delayed_action {
	struct platform *platform;
	struct timer timer;
	struct http_exchange *x;
	json_t *members;
};

static void reply_json(struct http_exchange *x, int status, json_t *v)
{
	exchange_reply_json(x, status, v, 0);
}

static void free_row(void *p)
{
	struct row *r = p;

	json_decref(r->value);
	g_free(r);
}

/* Return whether the row has the version that op expects, 0 if absent. */
static bool expected_version_matches(struct platform *p, const json_t *op)
{
	const json_t *e = json_object_get(op, "expect");
	const struct row *r =
		g_hash_table_lookup(p->rows, json_str_or(op, "key", ""));
	uint64_t current = r && r->value ? r->version : 0;

	return !json_is_integer(e) ||
	       (uint64_t)json_integer_value(e) == current;
}

static json_t *build_row_json(const char *key, const struct row *r)
{
	return json_pack("{s:s,s:I,s:O?}", "key", key, "version",
			 (json_int_t)(r ? r->version : 0), "value",
			 r ? r->value : NULL);
}

/* Write a row at the table's current version; JSON null deletes it. */
static void write_row(struct platform *p, const char *key, json_t *value)
{
	struct row *r = g_new0(struct row, 1);
	struct change c = {p->version, g_strdup(key)};

	r->version = p->version;
	r->value = json_is_null(value) ? NULL : json_incref(value);
	g_hash_table_replace(p->rows, g_strdup(key), r);
	g_array_append_val(p->changes, c);
}

/* Execute all operations or none; return the answer and its HTTP status. */
static json_t *execute_transaction(struct platform *p, const json_t *ops,
				   int *status)
{
	json_t *op;
	size_t i;

	json_array_foreach(ops, i, op)
	{
		const char *key = json_str_or(op, "key", "");

		if (expected_version_matches(p, op))
			continue;
		*status = 409;
		return json_pack(
			"{s:o}", "conflict",
			build_row_json(key, g_hash_table_lookup(p->rows, key)));
	}
	p->version++;
	p->write_count++;
	json_array_foreach(ops, i, op) write_row(p, json_str_or(op, "key", ""),
						 json_object_get(op, "value"));
	*status = 200;
	return json_pack("{s:I}", "version", (json_int_t)p->version);
}

static void handle_transaction(struct platform *p, struct http_exchange *x)
{
	json_t *v = json_loads(exchange_body(x, NULL), 0, NULL);
	const json_t *ops = json_object_get(v, "ops");
	json_t *answer;
	int status;

	if (!json_is_array(ops)) {
		reply_json(x, 400, json_pack("{s:s}", "error", "no ops"));
		goto out;
	}
	answer = execute_transaction(p, ops, &status);
	if (p->answers_to_lose) {
		p->answers_to_lose--;
		json_decref(answer);
		g_ptr_array_add(p->unanswered, x);
		goto out;
	}
	reply_json(x, status, answer);
out:
	json_decref(v);
}

static void handle_row_read(struct platform *p, struct http_exchange *x)
{
	char *key = exchange_query(x, "key");
	const struct row *r = key ? g_hash_table_lookup(p->rows, key) : NULL;

	p->read_count++;
	if (r && r->value)
		reply_json(x, 200, build_row_json(key, r));
	else
		reply_json(x, 404, json_pack("{s:s}", "error", "no such row"));
	g_free(key);
}

static uint64_t query_integer(struct http_exchange *x, const char *name,
			      uint64_t default_value)
{
	char *s = exchange_query(x, name);
	uint64_t n = s ? g_ascii_strtoull(s, NULL, 10) : default_value;

	g_free(s);
	return n;
}

/* Return the index of the first change after version v. */
static guint find_first_change(const struct platform *p, uint64_t v)
{
	guint lo = 0, hi = p->changes->len;

	while (lo < hi) {
		guint mid = (lo + hi) / 2;

		if (g_array_index(p->changes, struct change, mid).version > v)
			hi = mid;
		else
			lo = mid + 1;
	}
	return lo;
}

/*
 * Answer with the rows changed after a version. "complete" is the version up to
 * which the answer has all changes; the rows of one transaction are not split.
 */
static void handle_scan(struct platform *p, struct http_exchange *x)
{
	uint64_t after = query_integer(x, "after", 0);
	uint64_t limit = query_integer(x, "limit", SCAN_ROWS_MAX);
	char *prefix = exchange_query(x, "prefix");
	json_t *rows = json_array();
	uint64_t complete_version = p->version;

	p->read_count++;
	for (guint i = find_first_change(p, after); i < p->changes->len; i++) {
		const struct change *c =
			&g_array_index(p->changes, struct change, i);
		const struct row *r = g_hash_table_lookup(p->rows, c->key);

		if (json_array_size(rows) >= limit &&
		    c->version != complete_version) {
			break;
		}
		if (json_array_size(rows) + 1 >= limit)
			complete_version = c->version;
		if (r->version != c->version ||
		    (prefix && !g_str_has_prefix(c->key, prefix)))
			continue;
		json_array_append_new(rows, build_row_json(c->key, r));
	}
	reply_json(x, 200,
		   json_pack("{s:o,s:I}", "rows", rows, "complete",
			     (json_int_t)complete_version));
	g_free(prefix);
}

static void publish_members(void *arg)
{
	struct delayed_action *d = arg;

	json_decref(d->platform->listed_members);
	d->platform->listed_members = d->members;
	g_free(d);
}

/* Set the current members, and publish them after members_lag_ms. */
static void set_members(struct platform *p, json_t *members)
{
	struct delayed_action *d = g_new0(struct delayed_action, 1);

	json_decref(p->members);
	p->members = json_deep_copy(members);
	d->platform = p;
	d->members = json_deep_copy(members);
	timer_init(&d->timer, publish_members, d);
	timer_start(p->loop, &d->timer, p->members_lag_ms);
}

/* Change or add one member; the state "gone" removes it. */
static void merge_member(struct platform *p, json_t *change)
{
	const char *name = json_str_or(change, "name", "");
	json_t *all = json_array();
	json_t *merged = NULL;
	json_t *old;
	size_t i;

	json_array_foreach(p->members, i, old)
	{
		if (strcmp(json_str_or(old, "name", ""), name))
			json_array_append(all, old);
		else
			merged = json_deep_copy(old);
	}
	if (!merged)
		merged = json_object();
	json_object_update(merged, change);
	if (strcmp(json_str_or(merged, "state", "live"), "gone"))
		json_array_append(all, merged);
	json_decref(merged);
	set_members(p, all);
	json_decref(all);
}

static void handle_control(struct platform *p, struct http_exchange *x)
{
	json_t *v = json_loads(exchange_body(x, NULL), 0, NULL);
	json_t *members = json_object_get(v, "members");
	json_t *change = json_object_get(v, "member");

	if (json_object_get(v, "outage")) {
		g_free(p->outage_mode);
		p->outage_mode = g_strdup(json_str_or(v, "outage", ""));
	}
	p->delay_ms = json_int_or(v, "slow_ms", p->delay_ms);
	p->answers_to_lose = json_int_or(v, "lose_answers", p->answers_to_lose);
	p->members_lag_ms = json_int_or(v, "lag_ms", p->members_lag_ms);
	if (json_is_array(members))
		set_members(p, members);
	if (json_is_object(change))
		merge_member(p, change);
	reply_json(x, 200,
		   json_pack("{s:I,s:I,s:I}", "version", (json_int_t)p->version,
			     "writes", (json_int_t)p->write_count, "reads",
			     (json_int_t)p->read_count));
	json_decref(v);
}

static void dispatch_request(struct platform *p, struct http_exchange *x)
{
	const char *path = exchange_path(x);

	if (!strcmp(path, "/table/txn"))
		handle_transaction(p, x);
	else if (!strcmp(path, "/table/row"))
		handle_row_read(p, x);
	else if (!strcmp(path, "/table/scan"))
		handle_scan(p, x);
	else if (!strcmp(path, "/members"))
		reply_json(x, 200,
			   json_pack("{s:O}", "members", p->listed_members));
	else
		reply_json(x, 404, json_pack("{s:s}", "error", "no such path"));
}

static void dispatch_delayed(void *arg)
{
	struct delayed_action *d = arg;

	dispatch_request(d->platform, d->x);
	g_free(d);
}

static void handle_request(void *arg, struct http_exchange *x)
{
	struct platform *p = arg;
	struct delayed_action *d;

	if (!strcmp(exchange_path(x), "/control")) {
		handle_control(p, x);
		return;
	}
	if (!strcmp(p->outage_mode, "refuse")) {
		reply_json(x, 503, json_pack("{s:s}", "error", "outage"));
		return;
	}
	if (!strcmp(p->outage_mode, "hang")) {
		g_ptr_array_add(p->unanswered, x);
		return;
	}
	if (!p->delay_ms) {
		dispatch_request(p, x);
		return;
	}
	d = g_new0(struct delayed_action, 1);
	d->platform = p;
	d->x = x;
	timer_init(&d->timer, dispatch_delayed, d);
	timer_start(p->loop, &d->timer, p->delay_ms);
}

static void on_signal(void *arg, int signo)
{
	(void)signo;
	loop_stop(arg);
}

int main(int argc, char **argv)
{
	struct platform p = {.members_lag_ms = 500};
	struct sockaddr_in address;
	GError *err = NULL;
	char *listen = NULL;
	gint members_lag_ms = 500;
	int rc = 1;
	GOptionEntry entries[] = {
		{"listen", 'l', 0, G_OPTION_ARG_STRING, &listen,
		 "serve on this address", "IP:PORT"},
		{"lag-ms", 0, 0, G_OPTION_ARG_INT, &members_lag_ms,
		 "delay until a change of members is published", "MS"},
		{0}};
	GOptionContext *o = g_option_context_new("- simulated platform");

	g_option_context_add_main_entries(o, entries, NULL);
	if (!g_option_context_parse(o, &argc, &argv, &err)) {
		fprintf(stderr, "platform: %s\n", err->message);
		goto out;
	}
	log_open("platform", "platform", LOG_INFO);
	p.loop = loop_create();
	p.members_lag_ms = members_lag_ms;
	p.outage_mode = g_strdup("");
	p.rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				       free_row);
	p.changes = g_array_new(FALSE, FALSE, sizeof(struct change));
	p.members = json_array();
	p.listed_members = json_array();
	p.unanswered = g_ptr_array_new();
	loop_on_signal(p.loop, on_signal, p.loop);
	if (!address_parse(listen, &address) ||
	    !http_server_create(p.loop, &address, MAX_BODY_BYTES,
				handle_request, &p)) {
		fprintf(stderr, "platform: cannot listen on %s\n",
			listen ? listen : "(none)");
		goto out;
	}
	loop_run(p.loop);
	rc = 0;
out:
	g_clear_error(&err);
	g_option_context_free(o);
	g_free(listen);
	return rc;
}
