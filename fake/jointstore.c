/*
 * The table store of the simulated joint platform. It loses nothing; its
 * answers can be refused, left out or lost on command.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "fake/jointstore.h"
#include "lib/schema.h"

#define RANGE_ROWS_MAX 500

struct row {
	char *table;
	char *part;
	char *key;
	char *value; /* as received; NULL if the row was removed */
	uint64_t version;
};

/* A long poll of the feed that has not been answered yet. */
struct feed_poll {
	struct http_exchange *x;
	char *table;
	uint64_t after;
	uint64_t deadline_ms;
};

struct joint_store {
	GHashTable *rows; /* "TABLE PART KEY" to struct row */
	uint64_t version;
	uint64_t compacted_version; /* the feed has no changes up to this one */
	GPtrArray *polls;
	char mode[16];
	uint32_t answers_to_lose;
};

/* Create an empty store that answers all calls. */
struct joint_store *joint_store_create(void)
{
	struct joint_store *s = g_new0(struct joint_store, 1);

	s->rows = g_hash_table_new(g_str_hash, g_str_equal);
	s->polls = g_ptr_array_new();
	g_strlcpy(s->mode, "ok", sizeof(s->mode));
	return s;
}

static char *format_row_name(const char *table, const char *part,
			     const char *key)
{
	return g_strdup_printf("%s %s %s", table, part, key);
}

static struct row *find_row(struct joint_store *s, const json_t *v)
{
	char *name = format_row_name(json_str_or(v, "table", ""),
				     json_str_or(v, "part", ""),
				     json_str_or(v, "key", ""));
	struct row *r = g_hash_table_lookup(s->rows, name);

	g_free(name);
	return r;
}

static struct row *find_or_create_row(struct joint_store *s, const json_t *v)
{
	struct row *r = find_row(s, v);

	if (r)
		return r;
	r = g_new0(struct row, 1);
	r->table = g_strdup(json_str_or(v, "table", ""));
	r->part = g_strdup(json_str_or(v, "part", ""));
	r->key = g_strdup(json_str_or(v, "key", ""));
	g_hash_table_insert(s->rows, format_row_name(r->table, r->part, r->key),
			    r);
	return r;
}

static json_t *build_row_json(const struct row *r)
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

static json_t *build_table_answer(const struct joint_store *s, json_t *rows)
{
	return json_pack("{s:o,s:b,s:I,s:I}", "rows", rows, "hasMore", 0,
			 "rowVersion", (json_int_t)s->version, "nowMs",
			 (json_int_t)clock_mono_ms());
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp((*(struct row *const *)a)->key,
		      (*(struct row *const *)b)->key);
}

static gint compare_versions(gconstpointer a, gconstpointer b)
{
	uint64_t x = (*(struct row *const *)a)->version;
	uint64_t y = (*(struct row *const *)b)->version;

	return x < y ? -1 : x > y;
}

/* Return the rows of a table that changed after a version, oldest first. */
static json_t *rows_after(struct joint_store *s, const char *table,
			  uint64_t after)
{
	GPtrArray *list = g_ptr_array_new();
	json_t *out = json_array();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct row *r = v;

		if (!strcmp(r->table, table) && r->version > after)
			g_ptr_array_add(list, r);
	}
	g_ptr_array_sort(list, compare_versions);
	for (guint i = 0; i < list->len; i++)
		json_array_append_new(
			out, build_row_json(g_ptr_array_index(list, i)));
	g_ptr_array_free(list, TRUE);
	return out;
}

/*
 * Answer the polls that have changes to report, that have reached their
 * deadline, or that ask for compacted changes.
 */
static void answer_feed_polls(struct joint_store *s)
{
	for (guint i = s->polls->len; i-- > 0;) {
		struct feed_poll *p = g_ptr_array_index(s->polls, i);
		json_t *rows = rows_after(s, p->table, p->after);

		if (p->after < s->compacted_version) {
			json_decref(rows);
			exchange_reply_json(p->x, 410, json_object(), 0);
			g_free(p->table);
			g_free(p);
			g_ptr_array_remove_index_fast(s->polls, i);
			continue;
		}
		if (!json_array_size(rows) &&
		    clock_mono_ms() < p->deadline_ms) {
			json_decref(rows);
			continue;
		}
		exchange_reply_json(p->x, 200, build_table_answer(s, rows), 0);
		g_free(p->table);
		g_free(p);
		g_ptr_array_remove_index_fast(s->polls, i);
	}
}

/*
 * Return whether all rows in list have their expected version, 0 if absent, and
 * append the rows that exist to rows.
 */
static bool check_expected_versions(struct joint_store *s, const json_t *list,
				    json_t *rows)
{
	const json_t *v;
	bool all_match = true;
	size_t i;

	json_array_foreach(list, i, v)
	{
		const struct row *r = find_row(s, v);
		uint64_t current = r && r->value ? r->version : 0;

		if (r && r->value)
			json_array_append_new(rows, build_row_json(r));
		all_match &=
			current == (uint64_t)json_int_or(v, "rowVersion", 0);
	}
	return all_match;
}

/* Write a row at the table's current version; a NULL value removes it. */
static void write_row(struct joint_store *s, const json_t *v, const char *value)
{
	struct row *r = find_or_create_row(s, v);

	g_free(r->value);
	r->value = g_strdup(value);
	r->version = s->version;
}

static void handle_transaction(struct joint_store *s, struct http_exchange *x)
{
	size_t len, i;
	const char *body = exchange_body(x, &len);
	json_t *v = json_loadb(body, len, 0, NULL), *rows = json_array();
	const json_t *item;

	if (!check_expected_versions(s, json_object_get(v, "expected"), rows)) {
		exchange_reply_json(x, 412, build_table_answer(s, rows), 0);
		goto out;
	}
	json_decref(rows);
	s->version++;
	json_array_foreach(json_object_get(v, "puts"), i, item)
		write_row(s, item, json_str_or(item, "value", ""));
	json_array_foreach(json_object_get(v, "remove"), i,
			   item) if (find_row(s, item))
		write_row(s, item, NULL);
	if (s->answers_to_lose) {
		s->answers_to_lose--; /* leave the exchange unanswered */
		goto out;
	}
	exchange_reply_json(x, 200, build_table_answer(s, json_array()), 0);
out:
	json_decref(v);
	answer_feed_polls(s);
}

static void handle_range_read(struct joint_store *s, struct http_exchange *x)
{
	char *table = exchange_query(x, "table");
	char *part = exchange_query(x, "part");
	char *from = exchange_query(x, "from");
	char *limit = exchange_query(x, "limit");
	GPtrArray *list = g_ptr_array_new();
	uint64_t max_rows =
		limit ? g_ascii_strtoull(limit, NULL, 10) : RANGE_ROWS_MAX;
	json_t *out = json_array();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct row *r = v;

		if (r->value && !strcmp(r->table, table ? table : "") &&
		    !strcmp(r->part, part ? part : "") &&
		    strcmp(r->key, from ? from : "") >= 0)
			g_ptr_array_add(list, r);
	}
	g_ptr_array_sort(list, compare_keys);
	for (guint i = 0; i < list->len && i < max_rows; i++)
		json_array_append_new(
			out, build_row_json(g_ptr_array_index(list, i)));
	v = build_table_answer(s, out);
	if (list->len > max_rows)
		json_object_set_new(v, "hasMore", json_true());
	exchange_reply_json(x, 200, v, 0);
	g_ptr_array_free(list, TRUE);
	g_free(table);
	g_free(part);
	g_free(from);
	g_free(limit);
}

static void handle_feed(struct joint_store *s, struct http_exchange *x)
{
	struct feed_poll *p = g_new0(struct feed_poll, 1);
	char *after = exchange_query(x, "after");
	char *wait = exchange_query(x, "waitMs");

	p->x = x;
	p->table = exchange_query(x, "table");
	p->after = after ? g_ascii_strtoull(after, NULL, 10) : 0;
	p->deadline_ms =
		clock_mono_ms() + (wait ? g_ascii_strtoull(wait, NULL, 10) : 0);
	g_ptr_array_add(s->polls, p);
	g_free(after);
	g_free(wait);
	answer_feed_polls(s);
}
/* Answer the polls of the feed that are due. */
void joint_store_update(struct joint_store *s)
{
	answer_feed_polls(s);
}

/* Report whether the store answers calls. */
bool joint_store_is_available(const struct joint_store *s)
{
	return !strcmp(s->mode, "ok");
}

static void write_named_row(struct joint_store *s, const char *table,
			    const char *key, const char *value)
{
	json_t *v = json_pack("{s:s,s:s,s:s}", "table", table, "part", "",
			      "key", key);

	s->version++;
	write_row(s, v, value);
	json_decref(v);
	answer_feed_polls(s);
}

/* Write the row of a table's empty part with this key. */
void joint_store_put(struct joint_store *s, const char *table, const char *key,
		     const json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	char *b64 = g_base64_encode((const guchar *)text, strlen(text));

	write_named_row(s, table, key, b64);
	g_free(b64);
	free(text);
}

/* Remove the row of a table's empty part with this key. */
void joint_store_remove(struct joint_store *s, const char *table,
			const char *key)
{
	write_named_row(s, table, key, NULL);
}

/* Apply the part of a control command that concerns the store. */
void joint_store_control(struct joint_store *s, const json_t *command)
{
	g_strlcpy(s->mode, json_str_or(command, "store", s->mode),
		  sizeof(s->mode));
	s->answers_to_lose =
		json_int_or(command, "lose_answers", s->answers_to_lose);
	if (json_is_true(json_object_get(command, "forget")))
		s->compacted_version = s->version;
}

/* Serve a call, or treat it as the current mode demands. */
void joint_store_handle(struct joint_store *s, struct http_exchange *x)
{
	const char *path = exchange_path(x);

	if (!strcmp(s->mode, "refuse"))
		exchange_reply_json(x, 503, json_object(), 0);
	else if (!strcmp(s->mode, "hang"))
		return; /* leave the exchange unanswered */
	else if (!strcmp(path, "/-/rows-tx"))
		handle_transaction(s, x);
	else if (!strcmp(path, "/-/rows-get"))
		handle_range_read(s, x);
	else if (!strcmp(path, "/-/rows-feed"))
		handle_feed(s, x);
	else
		exchange_reply_json(x, 404, json_object(), 0);
}
