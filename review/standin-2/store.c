/*
 * Stand-in for the platform's store, as PROTOCOL.md describes it: rows in
 * tables, conditional transactions, range reads and a feed. It holds to the
 * limits of the pages: 100 entries and 1 MB for a call, rowBytes for a value.
 * Workers send their heartbeats to /worker/beat, and an entry is removed after
 * three intervals of silence. The store is controlled by /control.
 *
 * Usage: store ADDRESS ROW_BYTES
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/http.h"
#include "lib/schema.h"

#define CALL_ENTRIES_MAX 100
#define CALL_BYTES_MAX 1000000
#define RANGE_ROWS_MAX 500
#define BEAT_TIMEOUT_MS 4500
#define TICK_MS 5

struct row {
	char *table;
	char *part;
	char *key;
	char *value; /* base64; NULL: removed */
	uint64_t version;
};

struct beat {
	char *text; /* the entry without its counters */
	uint64_t heard_ms;
};

struct poll {
	struct http_exchange *x;
	char *table;
	uint64_t after;
	uint64_t deadline_ms;
};

static struct loop *loop;
static GHashTable *rows;  /* "TABLE\nPART\nKEY" to struct row */
static GHashTable *beats; /* id to struct beat */
static GPtrArray *polls;
static uint64_t version;
static size_t row_bytes;
static char mode[16] = "ok"; /* ok, busy or silent */
static uint64_t refused;     /* transactions that break a limit */
static struct timer ticker;

static struct row *find_row(const char *table, const char *part,
			    const char *key, bool add)
{
	char *name = g_strdup_printf("%s\n%s\n%s", table, part, key);
	struct row *r = g_hash_table_lookup(rows, name);

	if (r || !add) {
		g_free(name);
		return r;
	}
	r = g_new0(struct row, 1);
	r->table = g_strdup(table);
	r->part = g_strdup(part);
	r->key = g_strdup(key);
	g_hash_table_insert(rows, name, r);
	return r;
}

static struct row *find_json_row(const json_t *v, bool add)
{
	return find_row(json_str_or(v, "table", ""), json_str_or(v, "part", ""),
			json_str_or(v, "key", ""), add);
}

static json_t *row_json(const struct row *r)
{
	json_t *v = json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part",
			      r->part, "key", r->key, "rowVersion",
			      (json_int_t)r->version);

	if (r->value)
		json_object_set_new(v, "value", json_string(r->value));
	else
		json_object_set_new(v, "deleted", json_true());
	return v;
}

static json_t *answer(json_t *list, bool more)
{
	return json_pack("{s:o,s:b,s:I,s:I}", "rows", list, "hasMore", more,
			 "rowVersion", (json_int_t)version, "nowMs",
			 (json_int_t)clock_mono_ms());
}

static void set_row(struct row *r, const char *value)
{
	g_free(r->value);
	r->value = g_strdup(value);
	r->version = version;
}

static gint by_version(gconstpointer a, gconstpointer b)
{
	const struct row *x = *(struct row *const *)a,
			 *y = *(struct row *const *)b;

	return x->version < y->version ? -1 : x->version > y->version;
}

static gint by_key(gconstpointer a, gconstpointer b)
{
	return strcmp((*(struct row *const *)a)->key,
		      (*(struct row *const *)b)->key);
}

static bool answer_poll(const struct poll *p)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	gpointer v;
	bool done;

	g_hash_table_iter_init(&it, rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct row *r = v;

		if (r->version > p->after && !strcmp(r->table, p->table))
			g_ptr_array_add(list, r);
	}
	done = list->len || clock_mono_ms() >= p->deadline_ms;
	if (done) {
		json_t *out = json_array();

		g_ptr_array_sort(list, by_version);
		for (guint i = 0; i < list->len; i++)
			json_array_append_new(
				out, row_json(g_ptr_array_index(list, i)));
		exchange_reply_json(p->x, 200, answer(out, false), 0);
	}
	g_ptr_array_free(list, TRUE);
	return done;
}

static void answer_polls(void)
{
	for (guint i = polls->len; i-- > 0;) {
		struct poll *p = g_ptr_array_index(polls, i);

		if (!answer_poll(p))
			continue;
		g_free(p->table);
		g_free(p);
		g_ptr_array_remove_index_fast(polls, i);
	}
}

/* Return what is wrong with a transaction, or NULL. */
static const char *find_fault(const json_t *v, size_t len)
{
	const json_t *item, *puts = json_object_get(v, "puts");
	size_t i, n = json_array_size(json_object_get(v, "expected")) +
		      json_array_size(puts) +
		      json_array_size(json_object_get(v, "remove"));

	if (len > CALL_BYTES_MAX)
		return "over 1 MB";
	if (n > CALL_ENTRIES_MAX)
		return "over 100 entries";
	json_array_foreach(puts, i, item)
	{
		gsize bytes = 0;

		g_free(g_base64_decode(json_str_or(item, "value", ""), &bytes));
		if (bytes > row_bytes)
			return "value over rowBytes";
	}
	return NULL;
}

static void handle_tx(struct http_exchange *x, bool operator)
{
	size_t len, i;
	const char *body = exchange_body(x, &len), *fault;
	json_t *v = json_loadb(body, len, 0, NULL), *out = json_array();
	const json_t *item;
	bool match = true;

	fault = v ? find_fault(v, len) : "no JSON";
	if (fault) {
		if (!refused++ || refused % 100 == 0)
			printf("%llu refused %s, %zu bytes (%llu so far)\n",
			       (unsigned long long)clock_wall_ms(), fault, len,
			       (unsigned long long)refused);
		exchange_reply_json(x, 400, json_pack("{s:s}", "error", fault),
				    0);
		goto out;
	}
	json_array_foreach(json_object_get(v, "puts"), i, item)
	{
		const char *table = json_str_or(item, "table", "");

		if (!operator&&(!strcmp(table, "op") ||
				!strcmp(table, "servers"))) {
			exchange_reply_json(x, 403, json_object(), 0);
			goto out;
		}
	}
	json_array_foreach(json_object_get(v, "expected"), i, item)
	{
		const struct row *r = find_json_row(item, false);
		uint64_t now = r && r->value ? r->version : 0;

		if (now)
			json_array_append_new(out, row_json(r));
		match &= now == (uint64_t)json_int_or(item, "rowVersion", 0);
	}
	if (!match) {
		exchange_reply_json(x, 412, answer(json_incref(out), false), 0);
		goto out;
	}
	version++;
	json_array_foreach(json_object_get(v, "puts"), i, item) set_row(
		find_json_row(item, true), json_str_or(item, "value", ""));
	json_array_foreach(json_object_get(v, "remove"), i, item)
	{
		struct row *r = find_json_row(item, false);

		if (r)
			set_row(r, NULL);
	}
	exchange_reply_json(x, 200, answer(json_array(), false), 0);
	answer_polls();
out:
	json_decref(out);
	json_decref(v);
}

static void handle_get(struct http_exchange *x)
{
	char *table = exchange_query(x, "table"),
	     *part = exchange_query(x, "part"),
	     *from = exchange_query(x, "from"),
	     *limit = exchange_query(x, "limit");
	guint max = limit ? MIN(atoi(limit), RANGE_ROWS_MAX) : RANGE_ROWS_MAX;
	GPtrArray *list = g_ptr_array_new();
	json_t *out = json_array();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct row *r = v;

		if (r->value && !strcmp(r->table, table ? table : "") &&
		    !strcmp(r->part, part ? part : "") &&
		    strcmp(r->key, from ? from : "") >= 0)
			g_ptr_array_add(list, r);
	}
	g_ptr_array_sort(list, by_key);
	for (guint i = 0; i < list->len && i < max; i++)
		json_array_append_new(out,
				      row_json(g_ptr_array_index(list, i)));
	exchange_reply_json(x, 200, answer(out, list->len > max), 0);
	g_ptr_array_free(list, TRUE);
	g_free(table);
	g_free(part);
	g_free(from);
	g_free(limit);
}

static void handle_feed(struct http_exchange *x)
{
	char *after = exchange_query(x, "after"),
	     *wait = exchange_query(x, "waitMs");
	struct poll *p = g_new0(struct poll, 1);

	p->x = x;
	p->table = exchange_query(x, "table");
	p->after = after ? g_ascii_strtoull(after, NULL, 10) : 0;
	p->deadline_ms =
		clock_mono_ms() + (wait ? g_ascii_strtoull(wait, NULL, 10) : 0);
	g_ptr_array_add(polls, p);
	g_free(after);
	g_free(wait);
	answer_polls();
}

/* Write a worker's entry if more than its counters has changed. */
static void handle_beat(struct http_exchange *x)
{
	size_t len;
	const char *body = exchange_body(x, &len);
	json_t *v = json_loadb(body, len, 0, NULL),
	       *entry = json_object_get(v, "entry"), *plain = json_copy(entry);
	const char *id = json_str_or(v, "id", "");
	struct beat *b = g_hash_table_lookup(beats, id);
	char *text;

	json_object_del(plain, "seq");
	json_object_del(plain, "clockMs");
	text = json_dumps(plain, JSON_COMPACT);
	if (!b) {
		b = g_new0(struct beat, 1);
		g_hash_table_insert(beats, g_strdup(id), b);
	}
	b->heard_ms = clock_mono_ms();
	if (g_strcmp0(b->text, text)) {
		char *full = json_dumps(entry, JSON_COMPACT);
		char *b64 = g_base64_encode((guchar *)full, strlen(full));

		version++;
		set_row(find_row("servers", "", id, true), b64);
		g_free(b64);
		free(full);
		g_free(b->text);
		b->text = g_strdup(text);
		answer_polls();
	}
	free(text);
	json_decref(plain);
	json_decref(v);
	exchange_reply(x, 200, "application/json", "{}", 0);
}

static void on_tick(void *arg)
{
	GHashTableIter it;
	gpointer id, v;

	(void)arg;
	g_hash_table_iter_init(&it, beats);
	while (g_hash_table_iter_next(&it, &id, &v)) {
		struct beat *b = v;

		if (!b->text || clock_mono_ms() < b->heard_ms + BEAT_TIMEOUT_MS)
			continue;
		g_free(b->text);
		b->text = NULL;
		version++;
		set_row(find_row("servers", "", id, true), NULL);
	}
	answer_polls();
	timer_start(loop, &ticker, TICK_MS);
}

/* Set the mode, or show the largest row and how many calls broke a limit. */
static void handle_control(struct http_exchange *x)
{
	char *to = exchange_query(x, "mode");
	GHashTableIter it;
	gpointer v;
	size_t largest = 0;

	if (to)
		g_strlcpy(mode, to, sizeof(mode));
	g_free(to);
	g_hash_table_iter_init(&it, rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct row *r = v;

		if (r->value && !strcmp(r->table, "lacewingspur-runs"))
			largest = MAX(largest, strlen(r->value) / 4 * 3);
	}
	exchange_reply_json(x, 200,
			    json_pack("{s:I,s:I}", "refused",
				      (json_int_t)refused, "largest_run_row",
				      (json_int_t)largest),
			    0);
}

static void on_request(void *arg, struct http_exchange *x)
{
	const char *path = exchange_path(x);

	(void)arg;
	if (!strcmp(path, "/control"))
		handle_control(x);
	else if (!strcmp(path, "/worker/beat"))
		handle_beat(x);
	else if (!strcmp(path, "/operator/rows-tx"))
		handle_tx(x, true);
	else if (!strcmp(mode, "busy"))
		exchange_reply_json(x, 503, json_object(), 0);
	else if (!strcmp(mode, "silent"))
		return; /* no answer */
	else if (!strcmp(path, "/-/rows-tx"))
		handle_tx(x, false);
	else if (!strcmp(path, "/-/rows-get"))
		handle_get(x);
	else if (!strcmp(path, "/-/rows-feed"))
		handle_feed(x);
	else
		exchange_reply_json(x, 404, json_object(), 0);
}

int main(int argc, char **argv)
{
	struct sockaddr_in at;

	if (argc != 3 || !address_parse(argv[1], &at)) {
		fprintf(stderr, "usage: store ADDRESS ROW_BYTES\n");
		return 2;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	row_bytes = strtoull(argv[2], NULL, 10);
	rows = g_hash_table_new(g_str_hash, g_str_equal);
	beats = g_hash_table_new(g_str_hash, g_str_equal);
	polls = g_ptr_array_new();
	loop = loop_create();
	if (!http_server_create(loop, &at, 8u << 20, on_request, NULL)) {
		fprintf(stderr, "store: cannot listen on %s\n", argv[1]);
		return 2;
	}
	timer_init(&ticker, on_tick, NULL);
	timer_start(loop, &ticker, TICK_MS);
	loop_run(loop);
	return 0;
}
