/*
 * Stand-in for the platform: a transactional table with versions, a
 * lagging list of members, and faults on command.
 *
 *	POST /table/txn   {"ops": [{"key", "value", "expect"}]}
 *	GET  /table/row?key=K
 *	GET  /table/scan?after=V&limit=N&prefix=P
 *	GET  /members
 *	POST /control     {"outage": "refuse"|"hang"|"", "slow_ms": N,
 *			   "lose_answers": N, "members": [...]}
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "lib/http.h"
#include "lib/log.h"
#include "lib/schema.h"

#define MAX_BODY_BYTES (4u << 20)
#define SCAN_MOST 1000

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
	json_t *members; /* true now */
	json_t *shown;	 /* what the list shows */
	uint32_t lag_ms;
	char *outage;
	uint32_t slow_ms;
	uint32_t lose_answers;
	uint64_t writes;
	uint64_t reads;
	GPtrArray *hung; /* exchanges that are never answered */
};

struct delayed {
	struct platform *platform;
	struct timer timer;
	struct http_exchange *x;
	json_t *members;
};

static void reply(struct http_exchange *x, int status, json_t *v)
{
	exchange_reply_json(x, status, v, 0);
}

static void row_free(void *p)
{
	struct row *r = p;

	json_decref(r->value);
	g_free(r);
}

static bool expectation_met(struct platform *p, const json_t *op)
{
	const json_t *e = json_object_get(op, "expect");
	const struct row *r =
		g_hash_table_lookup(p->rows, json_str_or(op, "key", ""));
	uint64_t now = r && r->value ? r->version : 0;

	return !json_is_integer(e) || (uint64_t)json_integer_value(e) == now;
}

static json_t *row_json(const char *key, const struct row *r)
{
	return json_pack("{s:s,s:I,s:O?}", "key", key, "version",
			 (json_int_t)(r ? r->version : 0), "value",
			 r ? r->value : NULL);
}

static void row_put(struct platform *p, const char *key, json_t *value)
{
	struct row *r = g_new0(struct row, 1);
	struct change c = {p->version, g_strdup(key)};

	r->version = p->version;
	r->value = json_is_null(value) ? NULL : json_incref(value);
	g_hash_table_replace(p->rows, g_strdup(key), r);
	g_array_append_val(p->changes, c);
}

/* Apply all operations or none; return the answer and its status. */
static json_t *transact(struct platform *p, const json_t *ops, int *status)
{
	json_t *op;
	size_t i;

	json_array_foreach(ops, i, op)
	{
		const char *key = json_str_or(op, "key", "");

		if (expectation_met(p, op))
			continue;
		*status = 409;
		return json_pack(
			"{s:o}", "conflict",
			row_json(key, g_hash_table_lookup(p->rows, key)));
	}
	p->version++;
	p->writes++;
	json_array_foreach(ops, i, op) row_put(p, json_str_or(op, "key", ""),
					       json_object_get(op, "value"));
	*status = 200;
	return json_pack("{s:I}", "version", (json_int_t)p->version);
}

static void handle_txn(struct platform *p, struct http_exchange *x)
{
	json_t *v = json_loads(exchange_body(x, NULL), 0, NULL);
	const json_t *ops = json_object_get(v, "ops");
	json_t *answer;
	int status;

	if (!json_is_array(ops)) {
		reply(x, 400, json_pack("{s:s}", "error", "no ops"));
		goto out;
	}
	answer = transact(p, ops, &status);
	if (p->lose_answers) {
		p->lose_answers--;
		json_decref(answer);
		g_ptr_array_add(p->hung, x);
		goto out;
	}
	reply(x, status, answer);
out:
	json_decref(v);
}

static void handle_row(struct platform *p, struct http_exchange *x)
{
	char *key = exchange_query(x, "key");
	const struct row *r = key ? g_hash_table_lookup(p->rows, key) : NULL;

	p->reads++;
	if (r && r->value)
		reply(x, 200, row_json(key, r));
	else
		reply(x, 404, json_pack("{s:s}", "error", "no such row"));
	g_free(key);
}

static uint64_t query_number(struct http_exchange *x, const char *name,
			     uint64_t otherwise)
{
	char *s = exchange_query(x, name);
	uint64_t n = s ? g_ascii_strtoull(s, NULL, 10) : otherwise;

	g_free(s);
	return n;
}

/* Return the index of the first change after version v. */
static guint first_after(const struct platform *p, uint64_t v)
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

static void handle_scan(struct platform *p, struct http_exchange *x)
{
	uint64_t after = query_number(x, "after", 0);
	uint64_t limit = query_number(x, "limit", SCAN_MOST);
	char *prefix = exchange_query(x, "prefix");
	json_t *rows = json_array();
	uint64_t complete = p->version;

	p->reads++;
	for (guint i = first_after(p, after); i < p->changes->len; i++) {
		const struct change *c =
			&g_array_index(p->changes, struct change, i);
		const struct row *r = g_hash_table_lookup(p->rows, c->key);

		if (json_array_size(rows) >= limit && c->version != complete) {
			break;
		}
		if (json_array_size(rows) + 1 >= limit)
			complete = c->version;
		if (r->version != c->version ||
		    (prefix && !g_str_has_prefix(c->key, prefix)))
			continue;
		json_array_append_new(rows, row_json(c->key, r));
	}
	reply(x, 200,
	      json_pack("{s:o,s:I}", "rows", rows, "complete",
			(json_int_t)complete));
	g_free(prefix);
}

static void show_members(void *arg)
{
	struct delayed *d = arg;

	json_decref(d->platform->shown);
	d->platform->shown = d->members;
	g_free(d);
}

static void set_members(struct platform *p, json_t *members)
{
	struct delayed *d = g_new0(struct delayed, 1);

	json_decref(p->members);
	p->members = json_deep_copy(members);
	d->platform = p;
	d->members = json_deep_copy(members);
	timer_init(&d->timer, show_members, d);
	timer_start(p->loop, &d->timer, p->lag_ms);
}

/* Change or add one member; a state of "gone" removes it. */
static void set_member(struct platform *p, json_t *m)
{
	const char *name = json_str_or(m, "name", "");
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
	json_object_update(merged, m);
	if (strcmp(json_str_or(merged, "state", "live"), "gone"))
		json_array_append(all, merged);
	json_decref(merged);
	set_members(p, all);
	json_decref(all);
}

static void handle_control(struct platform *p, struct http_exchange *x)
{
	json_t *v = json_loads(exchange_body(x, NULL), 0, NULL);
	json_t *m = json_object_get(v, "members");
	json_t *one = json_object_get(v, "member");

	if (json_object_get(v, "outage")) {
		g_free(p->outage);
		p->outage = g_strdup(json_str_or(v, "outage", ""));
	}
	p->slow_ms = json_int_or(v, "slow_ms", p->slow_ms);
	p->lose_answers = json_int_or(v, "lose_answers", p->lose_answers);
	p->lag_ms = json_int_or(v, "lag_ms", p->lag_ms);
	if (json_is_array(m))
		set_members(p, m);
	if (json_is_object(one))
		set_member(p, one);
	reply(x, 200,
	      json_pack("{s:I,s:I,s:I}", "version", (json_int_t)p->version,
			"writes", (json_int_t)p->writes, "reads",
			(json_int_t)p->reads));
	json_decref(v);
}

static void dispatch(struct platform *p, struct http_exchange *x)
{
	const char *path = exchange_path(x);

	if (!strcmp(path, "/table/txn"))
		handle_txn(p, x);
	else if (!strcmp(path, "/table/row"))
		handle_row(p, x);
	else if (!strcmp(path, "/table/scan"))
		handle_scan(p, x);
	else if (!strcmp(path, "/members"))
		reply(x, 200, json_pack("{s:O}", "members", p->shown));
	else
		reply(x, 404, json_pack("{s:s}", "error", "no such path"));
}

static void dispatch_later(void *arg)
{
	struct delayed *d = arg;

	dispatch(d->platform, d->x);
	g_free(d);
}

static void on_request(void *arg, struct http_exchange *x)
{
	struct platform *p = arg;
	struct delayed *d;

	if (!strcmp(exchange_path(x), "/control")) {
		handle_control(p, x);
		return;
	}
	if (!strcmp(p->outage, "refuse")) {
		reply(x, 503, json_pack("{s:s}", "error", "outage"));
		return;
	}
	if (!strcmp(p->outage, "hang")) {
		g_ptr_array_add(p->hung, x);
		return;
	}
	if (!p->slow_ms) {
		dispatch(p, x);
		return;
	}
	d = g_new0(struct delayed, 1);
	d->platform = p;
	d->x = x;
	timer_init(&d->timer, dispatch_later, d);
	timer_start(p->loop, &d->timer, p->slow_ms);
}

static void on_signal(void *arg, int signo)
{
	(void)signo;
	loop_stop(arg);
}

int main(int argc, char **argv)
{
	struct platform p = {.lag_ms = 500};
	struct sockaddr_in at;
	GError *err = NULL;
	char *listen = NULL;
	gint lag = 500;
	int rc = 1;
	GOptionEntry entries[] = {{"listen", 'l', 0, G_OPTION_ARG_STRING,
				   &listen, "serve on this address", "IP:PORT"},
				  {"lag-ms", 0, 0, G_OPTION_ARG_INT, &lag,
				   "the list of members lags by this much",
				   "MS"},
				  {0}};
	GOptionContext *o = g_option_context_new("- stand-in platform");

	g_option_context_add_main_entries(o, entries, NULL);
	if (!g_option_context_parse(o, &argc, &argv, &err)) {
		fprintf(stderr, "platform: %s\n", err->message);
		goto out;
	}
	log_open("platform", "platform", LOG_INFO);
	p.loop = loop_create();
	p.lag_ms = lag;
	p.outage = g_strdup("");
	p.rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				       row_free);
	p.changes = g_array_new(FALSE, FALSE, sizeof(struct change));
	p.members = json_array();
	p.shown = json_array();
	p.hung = g_ptr_array_new();
	loop_on_signal(p.loop, on_signal, p.loop);
	if (!address_parse(listen, &at) ||
	    !http_server_create(p.loop, &at, MAX_BODY_BYTES, on_request, &p)) {
		fprintf(stderr, "platform: listen: %s: cannot\n",
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
