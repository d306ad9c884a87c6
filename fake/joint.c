/*
 * Simulates the joint platform for tests, by its published protocol: the table
 * store with its feed of changes, and upstreams that run tasks under leases.
 * The payload of a task is its run time in milliseconds.
 *
 *	joint STORE FIRST-UPSTREAM UPSTREAMS [FIRST-LISTED]
 *
 * Addresses are IP:PORT; each further upstream increments the IP. The table of
 * servers lists the upstreams from FIRST-LISTED on, the default is
 * FIRST-UPSTREAM; a proxy such as cutter can listen there.
 *
 * The store's address also serves:
 *	POST /control  {"store": "ok"|"refuse"|"hang", "lose_answers": N,
 *			"late_starts": N, "late_ms": N, "forget": true}
 *	               (forget: compact the feed's history up to now)
 *	GET /record    {"starts": N, "twice": N, "after_done": N,
 *			"running": N}
 *	               (twice: starts of a task that was running; after_done:
 *	               starts of a completed task)
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/http.h"
#include "lib/log.h"
#include "lib/schema.h"

#define MAX_BODY_BYTES (4u << 20)
#define UPDATE_INTERVAL_MS 10
#define RANGE_ROWS_MAX 500
#define LEASE_MAX_MS 3000
#define STOP_DELAY_MS 50
#define ACCELERATOR_COUNT 8

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

struct run {
	char *task;
	uint32_t number;
	uint64_t completes_at_ms;
	uint64_t stops_at_ms; /* 0: no stop was requested */
};

struct upstream {
	struct joint *joint;
	struct http_server *server;
	char id[32];
	uint64_t born_ms;
	uint64_t max_epoch;	     /* highest fencing token seen */
	uint64_t lease_end_clock_ms; /* in ms since born_ms, plus 1 */
	uint64_t voided_end_count;   /* number of the last voided end */
	GPtrArray *runs;
	json_t *unacknowledged_ends;   /* ended runs, oldest first */
	uint64_t end_count;	       /* number of the last ended run */
	GHashTable *not_startable;     /* task to its highest run to refuse */
	struct http_exchange *renewal; /* unanswered; NULL: none */
	uint64_t renewal_deadline_ms;
};

struct joint {
	struct loop *loop;
	struct http_server *store;
	GHashTable *rows; /* "TABLE PART KEY" to struct row */
	uint64_t version;
	uint64_t compacted_version; /* the feed has no changes up to this one */
	GPtrArray *polls;
	GPtrArray *upstreams;
	struct timer update_timer;
	char store_mode[16];
	uint32_t answers_to_lose;
	uint32_t starts_to_delay;
	uint32_t start_delay_ms;
	GHashTable *completed_tasks;
	uint32_t starts;
	uint32_t duplicate_starts;
	uint32_t starts_after_done;
};

/* A request to start a run that is executed after a delay. */
struct delayed_start {
	struct upstream *upstream;
	json_t *request;
	struct timer timer;
};

static char *format_row_name(const char *table, const char *part,
			     const char *key)
{
	return g_strdup_printf("%s %s %s", table, part, key);
}

static struct row *find_row(struct joint *j, const json_t *v)
{
	char *name = format_row_name(json_str_or(v, "table", ""),
				     json_str_or(v, "part", ""),
				     json_str_or(v, "key", ""));
	struct row *r = g_hash_table_lookup(j->rows, name);

	g_free(name);
	return r;
}

static struct row *find_or_create_row(struct joint *j, const json_t *v)
{
	struct row *r = find_row(j, v);

	if (r)
		return r;
	r = g_new0(struct row, 1);
	r->table = g_strdup(json_str_or(v, "table", ""));
	r->part = g_strdup(json_str_or(v, "part", ""));
	r->key = g_strdup(json_str_or(v, "key", ""));
	g_hash_table_insert(j->rows, format_row_name(r->table, r->part, r->key),
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

static json_t *build_table_answer(const struct joint *j, json_t *rows)
{
	return json_pack("{s:o,s:b,s:I,s:I}", "rows", rows, "hasMore", 0,
			 "rowVersion", (json_int_t)j->version, "nowMs",
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
static json_t *rows_after(struct joint *j, const char *table, uint64_t after)
{
	GPtrArray *list = g_ptr_array_new();
	json_t *out = json_array();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, j->rows);
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
static void answer_feed_polls(struct joint *j)
{
	for (guint i = j->polls->len; i-- > 0;) {
		struct feed_poll *p = g_ptr_array_index(j->polls, i);
		json_t *rows = rows_after(j, p->table, p->after);

		if (p->after < j->compacted_version) {
			json_decref(rows);
			exchange_reply_json(p->x, 410, json_object(), 0);
			g_free(p->table);
			g_free(p);
			g_ptr_array_remove_index_fast(j->polls, i);
			continue;
		}
		if (!json_array_size(rows) &&
		    clock_mono_ms() < p->deadline_ms) {
			json_decref(rows);
			continue;
		}
		exchange_reply_json(p->x, 200, build_table_answer(j, rows), 0);
		g_free(p->table);
		g_free(p);
		g_ptr_array_remove_index_fast(j->polls, i);
	}
}

/*
 * Return whether all rows in list have their expected version, 0 if absent, and
 * append the rows that exist to rows.
 */
static bool check_expected_versions(struct joint *j, const json_t *list,
				    json_t *rows)
{
	const json_t *v;
	bool all_match = true;
	size_t i;

	json_array_foreach(list, i, v)
	{
		const struct row *r = find_row(j, v);
		uint64_t current = r && r->value ? r->version : 0;

		if (r && r->value)
			json_array_append_new(rows, build_row_json(r));
		all_match &=
			current == (uint64_t)json_int_or(v, "rowVersion", 0);
	}
	return all_match;
}

/* Write a row at the table's current version; a NULL value removes it. */
static void write_row(struct joint *j, const json_t *v, const char *value)
{
	struct row *r = find_or_create_row(j, v);

	g_free(r->value);
	r->value = g_strdup(value);
	r->version = j->version;
}

static void handle_transaction(struct joint *j, struct http_exchange *x)
{
	size_t len, i;
	const char *body = exchange_body(x, &len);
	json_t *v = json_loadb(body, len, 0, NULL), *rows = json_array();
	const json_t *item;

	if (!check_expected_versions(j, json_object_get(v, "expected"), rows)) {
		exchange_reply_json(x, 412, build_table_answer(j, rows), 0);
		goto out;
	}
	json_decref(rows);
	j->version++;
	json_array_foreach(json_object_get(v, "puts"), i, item)
		write_row(j, item, json_str_or(item, "value", ""));
	json_array_foreach(json_object_get(v, "remove"), i,
			   item) if (find_row(j, item))
		write_row(j, item, NULL);
	if (j->answers_to_lose) {
		j->answers_to_lose--; /* leave the exchange unanswered */
		goto out;
	}
	exchange_reply_json(x, 200, build_table_answer(j, json_array()), 0);
out:
	json_decref(v);
	answer_feed_polls(j);
}

static void handle_range_read(struct joint *j, struct http_exchange *x)
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

	g_hash_table_iter_init(&it, j->rows);
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
	v = build_table_answer(j, out);
	if (list->len > max_rows)
		json_object_set_new(v, "hasMore", json_true());
	exchange_reply_json(x, 200, v, 0);
	g_ptr_array_free(list, TRUE);
	g_free(table);
	g_free(part);
	g_free(from);
	g_free(limit);
}

static void handle_feed(struct joint *j, struct http_exchange *x)
{
	struct feed_poll *p = g_new0(struct feed_poll, 1);
	char *after = exchange_query(x, "after");
	char *wait = exchange_query(x, "waitMs");

	p->x = x;
	p->table = exchange_query(x, "table");
	p->after = after ? g_ascii_strtoull(after, NULL, 10) : 0;
	p->deadline_ms =
		clock_mono_ms() + (wait ? g_ascii_strtoull(wait, NULL, 10) : 0);
	g_ptr_array_add(j->polls, p);
	g_free(after);
	g_free(wait);
	answer_feed_polls(j);
}

static void handle_control(struct joint *j, struct http_exchange *x)
{
	size_t len;
	const char *body = exchange_body(x, &len);
	json_t *v = json_loadb(body, len, 0, NULL);

	g_strlcpy(j->store_mode, json_str_or(v, "store", j->store_mode),
		  sizeof(j->store_mode));
	j->answers_to_lose = json_int_or(v, "lose_answers", j->answers_to_lose);
	j->starts_to_delay = json_int_or(v, "late_starts", j->starts_to_delay);
	j->start_delay_ms = json_int_or(v, "late_ms", j->start_delay_ms);
	if (json_is_true(json_object_get(v, "forget")))
		j->compacted_version = j->version;
	json_decref(v);
	exchange_reply_json(x, 200, json_object(), 0);
}

static void handle_record(struct joint *j, struct http_exchange *x)
{
	json_int_t running = 0;

	for (guint i = 0; i < j->upstreams->len; i++)
		running +=
			((struct upstream *)g_ptr_array_index(j->upstreams, i))
				->runs->len;
	exchange_reply_json(
		x, 200,
		json_pack("{s:i,s:i,s:i,s:I}", "starts", (int)j->starts,
			  "twice", (int)j->duplicate_starts, "after_done",
			  (int)j->starts_after_done, "running", running),
		0);
}

static void handle_store_request(void *arg, struct http_exchange *x)
{
	struct joint *j = arg;
	const char *path = exchange_path(x);

	if (!strcmp(path, "/control"))
		handle_control(j, x);
	else if (!strcmp(path, "/record"))
		handle_record(j, x);
	else if (!strcmp(j->store_mode, "refuse"))
		exchange_reply_json(x, 503, json_object(), 0);
	else if (!strcmp(j->store_mode, "hang"))
		return; /* leave the exchange unanswered */
	else if (!strcmp(path, "/-/rows-tx"))
		handle_transaction(j, x);
	else if (!strcmp(path, "/-/rows-get"))
		handle_range_read(j, x);
	else if (!strcmp(path, "/-/rows-feed"))
		handle_feed(j, x);
	else
		exchange_reply_json(x, 404, json_object(), 0);
}

/* Upstreams */

/* Return the upstream's clock: milliseconds since it came up, plus 1. */
static uint64_t upstream_clock_ms(const struct upstream *u)
{
	return clock_mono_ms() - u->born_ms + 1;
}

static struct run *find_run(const struct upstream *u, const char *task)
{
	for (guint i = 0; i < u->runs->len; i++) {
		struct run *r = g_ptr_array_index(u->runs, i);

		if (!strcmp(r->task, task))
			return r;
	}
	return NULL;
}

/* Forbid the start of this run of the task and of all earlier ones. */
static void forbid_start(struct upstream *u, const char *task, uint32_t run)
{
	uint32_t current =
		GPOINTER_TO_UINT(g_hash_table_lookup(u->not_startable, task));

	if (run > current)
		g_hash_table_insert(u->not_startable, g_strdup(task),
				    GUINT_TO_POINTER(run));
}

static void end_run(struct upstream *u, struct run *r, const char *reason)
{
	json_array_append_new(u->unacknowledged_ends,
			      json_pack("[I,s,i,s,s]",
					(json_int_t)++u->end_count, r->task,
					(int)r->number, reason, ""));
	if (!strcmp(reason, "done"))
		g_hash_table_add(u->joint->completed_tasks, g_strdup(r->task));
	forbid_start(u, r->task, r->number);
	g_ptr_array_remove(u->runs, r);
	g_free(r->task);
	g_free(r);
}

static json_t *build_answer(const struct upstream *u)
{
	return json_pack("{s:I,s:I}", "clockMs",
			 (json_int_t)upstream_clock_ms(u), "born",
			 (json_int_t)u->born_ms);
}

static void reply_refused(struct upstream *u, struct http_exchange *x,
			  const char *reason)
{
	json_t *v = build_answer(u);

	json_object_set_new(v, "reason", json_string(reason));
	exchange_reply_json(x, 409, v, 0);
}

/* Extend the lease to "dueMs", at most LEASE_MAX_MS from now. */
static void extend_lease(struct upstream *u, const json_t *v)
{
	uint64_t max_lease_end_ms = upstream_clock_ms(u) + LEASE_MAX_MS;
	uint64_t lease_end_ms = json_int_or(v, "dueMs", 0);

	u->lease_end_clock_ms =
		MAX(u->lease_end_clock_ms, MIN(lease_end_ms, max_lease_end_ms));
}

static bool task_is_running(const struct joint *j, const char *task)
{
	for (guint i = 0; i < j->upstreams->len; i++)
		if (find_run(g_ptr_array_index(j->upstreams, i), task))
			return true;
	return false;
}

/* Start a run. Return NULL, or the reason for a refusal. */
static const char *start_run(struct upstream *u, const json_t *v)
{
	const char *task = json_str_or(v, "task", "");
	uint32_t number = json_int_or(v, "run", 0);
	struct run *r = find_run(u, task);
	struct joint *j = u->joint;

	if ((uint64_t)json_int_or(v, "fencingToken", 0) < u->max_epoch)
		return "fence";
	if (r && r->number == number)
		return NULL;
	if (number <=
	    GPOINTER_TO_UINT(g_hash_table_lookup(u->not_startable, task)))
		return "old";
	if ((uint64_t)json_int_or(v, "dueMs", 0) <= upstream_clock_ms(u))
		return "late";
	extend_lease(u, v);
	if (u->runs->len >= ACCELERATOR_COUNT)
		return "room";
	j->starts++;
	j->duplicate_starts += task_is_running(j, task);
	j->starts_after_done += g_hash_table_contains(j->completed_tasks, task);
	r = g_new0(struct run, 1);
	r->task = g_strdup(task);
	r->number = number;
	r->completes_at_ms =
		clock_mono_ms() +
		g_ascii_strtoull(json_str_or(v, "spec", "100"), NULL, 10);
	g_ptr_array_add(u->runs, r);
	return NULL;
}

static void execute_delayed_start(void *arg)
{
	struct delayed_start *d = arg;

	start_run(d->upstream, d->request);
	json_decref(d->request);
	g_free(d);
}

static void handle_run_start(struct upstream *u, struct http_exchange *x,
			     const json_t *v)
{
	const char *reason;

	if (u->joint->starts_to_delay) {
		struct delayed_start *d = g_new0(struct delayed_start, 1);

		u->joint->starts_to_delay--;
		d->upstream = u;
		d->request = json_deep_copy(v);
		timer_init(&d->timer, execute_delayed_start, d);
		timer_start(u->joint->loop, &d->timer,
			    u->joint->start_delay_ms);
		return; /* leave the exchange unanswered */
	}
	reason = start_run(u, v);
	if (reason)
		reply_refused(u, x, reason);
	else
		exchange_reply_json(x, 200, build_answer(u), 0);
}

static void handle_run_stop(struct upstream *u, struct http_exchange *x,
			    const json_t *v)
{
	const char *task = json_str_or(v, "task", "");
	uint32_t number = json_int_or(v, "run", 0);
	struct run *r = find_run(u, task);

	if ((uint64_t)json_int_or(v, "fencingToken", 0) < u->max_epoch) {
		reply_refused(u, x, "fence");
		return;
	}
	if (r && r->number == number && !r->stops_at_ms)
		r->stops_at_ms = clock_mono_ms() + STOP_DELAY_MS;
	forbid_start(u, task, number);
	exchange_reply_json(x, 200, build_answer(u), 0);
}

/* Answer the open renewal with the running and the ended runs. */
static void answer_renewal(struct upstream *u)
{
	json_t *v = build_answer(u), *running = json_array();

	for (guint i = 0; i < u->runs->len; i++) {
		const struct run *r = g_ptr_array_index(u->runs, i);

		json_array_append_new(running,
				      json_pack("[s,i,s,i]", r->task,
						(int)r->number, "", 50));
	}
	json_object_set_new(v, "running", running);
	json_object_set(v, "finished", u->unacknowledged_ends);
	exchange_reply_json(u->renewal, 200, v, 0);
	u->renewal = NULL;
}

/*
 * Renew the lease, drop the ended runs up to "ackCursor", and hold the answer
 * back until a run ends or "waitMs" has elapsed. An earlier renewal that is
 * still open is answered.
 */
static void handle_renewal(struct upstream *u, struct http_exchange *x,
			   const json_t *v)
{
	uint64_t epoch = json_int_or(v, "fencingToken", 0);
	uint64_t ack_cursor = json_int_or(v, "ackCursor", 0);

	if (epoch < u->max_epoch) {
		reply_refused(u, x, "fence");
		return;
	}
	u->max_epoch = epoch;
	extend_lease(u, v);
	while (json_array_size(u->unacknowledged_ends) &&
	       (uint64_t)json_integer_value(json_array_get(
		       json_array_get(u->unacknowledged_ends, 0), 0)) <=
		       ack_cursor)
		json_array_remove(u->unacknowledged_ends, 0);
	if (u->renewal)
		answer_renewal(u);
	u->renewal = x;
	u->renewal_deadline_ms = clock_mono_ms() + json_int_or(v, "waitMs", 0);
	if (json_array_size(u->unacknowledged_ends) ||
	    clock_mono_ms() >= u->renewal_deadline_ms)
		answer_renewal(u);
}

static void handle_upstream_request(void *arg, struct http_exchange *x)
{
	struct upstream *u = arg;
	size_t len;
	const char *body = exchange_body(x, &len);
	const char *path = exchange_path(x);
	json_t *v = json_loadb(body, len, 0, NULL);
	char *id = exchange_header(x, "lacewingspur-expect-instance");

	if (id && strcmp(id, u->id))
		exchange_reply_json(x, 421, json_object(), 0);
	else if (!strcmp(path, "/-/run-start"))
		handle_run_start(u, x, v);
	else if (!strcmp(path, "/-/run-stop"))
		handle_run_stop(u, x, v);
	else if (!strcmp(path, "/-/hold"))
		handle_renewal(u, x, v);
	else
		exchange_reply_json(x, 404, json_object(), 0);
	g_free(id);
	json_decref(v);
}

/*
 * After the lease has expired, the ends of runs that nobody has acknowledged
 * are not binding: their tasks may start on another upstream, and such a start
 * does not count as one of a completed task.
 */
static void void_unacknowledged_ends(struct upstream *u)
{
	const json_t *end;
	size_t i;

	json_array_foreach(u->unacknowledged_ends, i, end)
	{
		uint64_t n = json_integer_value(json_array_get(end, 0));

		if (n > u->voided_end_count &&
		    !strcmp(json_string_value(json_array_get(end, 3)), "done"))
			g_hash_table_remove(
				u->joint->completed_tasks,
				json_string_value(json_array_get(end, 1)));
	}
	u->voided_end_count = u->end_count;
}

static void update_upstream(struct upstream *u)
{
	uint64_t now = clock_mono_ms();

	if (upstream_clock_ms(u) > u->lease_end_clock_ms)
		void_unacknowledged_ends(u);

	for (guint i = u->runs->len; i-- > 0;) {
		struct run *r = g_ptr_array_index(u->runs, i);

		if (upstream_clock_ms(u) > u->lease_end_clock_ms)
			end_run(u, r, "lapsed");
		else if (now >= r->completes_at_ms)
			end_run(u, r, "done");
		else if (r->stops_at_ms && now >= r->stops_at_ms)
			end_run(u, r, "stopped");
	}
	if (u->renewal && (json_array_size(u->unacknowledged_ends) ||
			   now >= u->renewal_deadline_ms))
		answer_renewal(u);
}

static void update_upstreams(void *arg)
{
	struct joint *j = arg;

	for (guint i = 0; i < j->upstreams->len; i++)
		update_upstream(g_ptr_array_index(j->upstreams, i));
	answer_feed_polls(j);
	timer_start(j->loop, &j->update_timer, UPDATE_INTERVAL_MS);
}

/*
 * Create an upstream and its row in the table of servers. Its IP and the listed
 * one are the given ones plus number. Return false if the port is in use.
 */
static bool create_upstream(struct joint *j, struct sockaddr_in address,
			    struct sockaddr_in listed, uint32_t number)
{
	struct upstream *u = g_new0(struct upstream, 1);
	char *key = g_strdup_printf("w%u", number), *text, *b64;
	char address_text[ADDRESS_TEXT_BYTES];
	json_t *v;

	address.sin_addr.s_addr =
		htonl(ntohl(address.sin_addr.s_addr) + number);
	listed.sin_addr.s_addr = htonl(ntohl(listed.sin_addr.s_addr) + number);
	address_format(&listed, address_text, sizeof(address_text));

	u->joint = j;
	g_strlcpy(u->id, key, sizeof(u->id));
	u->born_ms = clock_mono_ms();
	u->runs = g_ptr_array_new();
	u->unacknowledged_ends = json_array();
	u->not_startable =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	u->server = http_server_create(j->loop, &address, MAX_BODY_BYTES,
				       handle_upstream_request, u);
	v = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],"
		      "s:I,s:i,s:I}",
		      "service", "service", "addr", address_text, "zone",
		      "kolkata", "version", "v1", "slots", 8, "state", "ready",
		      "coldLeftMs", 0, "capacity", "cpu", 64000, "memMb", 65536,
		      "gpu", ACCELERATOR_COUNT, "labels", "a",
		      number < 8 ? "r0" : "r1", "clockMs", (json_int_t)1, "seq",
		      1, "born", (json_int_t)u->born_ms);
	text = json_dumps(v, JSON_COMPACT);
	b64 = g_base64_encode((const guchar *)text, strlen(text));
	json_decref(v);
	v = json_pack("{s:s,s:s,s:s}", "table", "servers", "part", "", "key",
		      key);
	j->version++;
	write_row(j, v, b64);
	json_decref(v);
	free(text);
	g_free(b64);
	g_free(key);
	g_ptr_array_add(j->upstreams, u);
	return u->server != NULL;
}

int main(int argc, char **argv)
{
	struct joint j = {.store_mode = "ok"};
	struct sockaddr_in store_address, first, listed;

	if (argc < 4 || !address_parse(argv[1], &store_address) ||
	    !address_parse(argv[2], &first) ||
	    !address_parse(argv[argc > 4 ? 4 : 2], &listed)) {
		fprintf(stderr, "usage: joint STORE FIRST-UPSTREAM UPSTREAMS "
				"[FIRST-LISTED]\n");
		return 2;
	}
	log_open("joint", "joint", LOG_INFO);
	j.loop = loop_create();
	j.rows = g_hash_table_new(g_str_hash, g_str_equal);
	j.completed_tasks = g_hash_table_new(g_str_hash, g_str_equal);
	j.polls = g_ptr_array_new();
	j.upstreams = g_ptr_array_new();
	j.store = http_server_create(j.loop, &store_address, MAX_BODY_BYTES,
				     handle_store_request, &j);
	for (int i = 0; i < atoi(argv[3]); i++) {
		if (!create_upstream(&j, first, listed, i)) {
			fprintf(stderr, "joint: a port is in use\n");
			return 1;
		}
	}
	if (!j.store) {
		fprintf(stderr, "joint: %s is in use\n", argv[1]);
		return 1;
	}
	timer_init(&j.update_timer, update_upstreams, &j);
	timer_start(j.loop, &j.update_timer, UPDATE_INTERVAL_MS);
	loop_run(j.loop);
	return 0;
}
