/* A small deployment on loopback addresses; see site.h. */
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lib/http.h"
#include "lib/log.h"
#include "lib/schema.h"
#include "review/standin/site.h"

#define PORT_CALLERS 8521
#define PORT_READY 8523
#define PORT_STORE 8524
#define PORT_PEERS 7000
#define PORT_METRICS 7015
#define PORT_WORKER 8600
#define BODY_MAX_BYTES (4u << 20)
#define PAGE_ROWS_MAX 500
#define PAGE_BYTES_MAX 1000000
#define UPDATE_MS 5
#define READY_WAIT_MS 20000
#define CPU_MILLI 64000
#define MEM_MB 262144
#define GPUS 8
#define SERVICE "desk"
#define KEY "key-1"
#define ENDS_PAGE 500
#define DEADLINE_MS 3000

/* A job as its client knows it. */
struct known_job {
	json_t *steps;
	uint64_t work_ms;
	GHashTable *ends; /* how -> count */
	uint32_t starts;
	uint64_t last_start_ms;
};

struct run {
	char *task;
	char *job;
	uint32_t number;
	uint64_t ends_ms;
	uint64_t stops_ms; /* 0: no stop was requested */
	int64_t cpu, mem, gpu;
};

struct worker {
	struct site *site;
	uint32_t number;
	char id[24];
	char addr[40];
	struct sockaddr_in at;
	struct http_server *server;
	uint64_t born_wall_ms;
	uint64_t born_ms;
	uint64_t down_until_ms; /* 0: it is up */
	uint64_t down_since_ms;
	uint64_t token;
	uint64_t due_clock_ms;
	uint64_t end_count;
	uint64_t seq;
	GPtrArray *runs;
	json_t *finished;
	GHashTable *refused_runs; /* task -> highest run not to start */
	struct http_exchange *hold;
	uint64_t hold_until_ms;
	bool listed;
};

struct life {
	struct worker *worker;
	uint64_t born_ms;
};

struct stored {
	char *table, *part, *key;
	char *value; /* base64; NULL: removed */
	uint64_t version;
};

struct poll {
	struct http_exchange *x;
	char *table;
	uint64_t after;
	uint64_t until_ms;
};

struct site {
	struct site_shape shape;
	struct loop *loop;
	struct http_client *http;
	struct http_server *store;
	struct timer update;
	uint32_t net;
	uint64_t started_ms;
	FILE *record;
	char dir[64];
	pid_t *pids;
	struct http_pool **callers;
	uint32_t next_caller;
	struct worker *workers;
	GHashTable *rows; /* "table part key" -> struct stored */
	GPtrArray *row_list;
	GPtrArray *polls;
	uint64_t version;
	uint32_t large_writes;
	uint32_t to_lose; /* writes of new jobs that get no answer */
	uint64_t late_ms;
	uint32_t lost_writes;
	uint32_t writes;  /* since writes are lost */
	GHashTable *jobs; /* id -> struct known_job */
	char state[32];
};

uint64_t site_now_ms(const struct site *s)
{
	return clock_mono_ms() - s->started_ms;
}

void site_record(struct site *s, const char *fmt, ...)
{
	va_list ap;

	fprintf(s->record, "%9.3f ", site_now_ms(s) / 1000.0);
	va_start(ap, fmt);
	vfprintf(s->record, fmt, ap);
	va_end(ap);
	fputc('\n', s->record);
	fflush(s->record);
}

bool site_trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0");
}

/* The store */

static json_t *row_json(const struct stored *r)
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

static char *row_name(const char *table, const char *part, const char *key)
{
	return g_strdup_printf("%s\t%s\t%s", table, part, key);
}

static struct stored *row_of(struct site *s, const json_t *v, bool create)
{
	const char *table = json_str_or(v, "table", "");
	const char *part = json_str_or(v, "part", "");
	const char *key = json_str_or(v, "key", "");
	char *name = row_name(table, part, key);
	struct stored *r = g_hash_table_lookup(s->rows, name);

	if (r || !create) {
		g_free(name);
		return r;
	}
	r = g_new0(struct stored, 1);
	r->table = g_strdup(table);
	r->part = g_strdup(part);
	r->key = g_strdup(key);
	g_hash_table_insert(s->rows, name, r);
	g_ptr_array_add(s->row_list, r);
	return r;
}

static void write_row(struct site *s, const json_t *v, const char *value)
{
	struct stored *r = row_of(s, v, true);

	g_free(r->value);
	r->value = g_strdup(value);
	r->version = s->version;
}

static gint by_version(gconstpointer a, gconstpointer b)
{
	const struct stored *x = *(struct stored *const *)a;
	const struct stored *y = *(struct stored *const *)b;

	return x->version < y->version ? -1 : x->version > y->version;
}

static gint by_key(gconstpointer a, gconstpointer b)
{
	return strcmp((*(struct stored *const *)a)->key,
		      (*(struct stored *const *)b)->key);
}

static json_t *store_answer(struct site *s, json_t *rows, bool more)
{
	return json_pack("{s:o,s:b,s:I,s:I}", "rows", rows, "hasMore", more,
			 "rowVersion", (json_int_t)s->version, "nowMs",
			 (json_int_t)clock_mono_ms());
}

/* Answer the polls of the feed that have changes or are due. */
static void answer_polls(struct site *s)
{
	for (guint i = s->polls->len; i-- > 0;) {
		struct poll *p = g_ptr_array_index(s->polls, i);
		GPtrArray *list = g_ptr_array_new();
		json_t *rows;

		for (guint k = 0; k < s->row_list->len; k++) {
			struct stored *r = g_ptr_array_index(s->row_list, k);

			if (r->version > p->after &&
			    !strcmp(r->table, p->table))
				g_ptr_array_add(list, r);
		}
		if (list->len || clock_mono_ms() >= p->until_ms) {
			g_ptr_array_sort(list, by_version);
			rows = json_array();
			for (guint k = 0; k < list->len; k++)
				json_array_append_new(
					rows,
					row_json(g_ptr_array_index(list, k)));
			exchange_reply_json(p->x, 200,
					    store_answer(s, rows, false), 0);
			g_free(p->table);
			g_free(p);
			g_ptr_array_remove_index_fast(s->polls, i);
		}
		g_ptr_array_free(list, TRUE);
	}
}

/* Report whether a transaction is within the limits that the pages give. */
static bool tx_is_small(struct site *s, const json_t *v, size_t len)
{
	const json_t *item;
	size_t i, n = json_array_size(json_object_get(v, "expected")) +
		      json_array_size(json_object_get(v, "puts")) +
		      json_array_size(json_object_get(v, "remove"));
	bool small = n <= TX_MAX_ENTRIES && len <= TX_MAX_BYTES;

	json_array_foreach(json_object_get(v, "puts"), i, item)
	{
		gsize bytes;

		g_free(g_base64_decode(json_str_or(item, "value", ""), &bytes));
		if (bytes <= ROW_MAX_BYTES)
			continue;
		small = false;
		if (s->large_writes % 20 == 0)
			site_record(s,
				    "store: a value of %zu bytes (limit %d) in "
				    "table %s, key %s: rejected, 400",
				    bytes, ROW_MAX_BYTES,
				    json_str_or(item, "table", ""),
				    json_str_or(item, "key", ""));
	}
	s->large_writes += !small;
	return small;
}

/* Report whether all rows have the versions that a transaction expects. */
static bool tx_matches(struct site *s, const json_t *v, json_t *rows)
{
	const json_t *item;
	bool match = true;
	size_t i;

	json_array_foreach(json_object_get(v, "expected"), i, item)
	{
		struct stored *r = row_of(s, item, false);
		uint64_t version = r && r->value ? r->version : 0;

		if (r && r->value)
			json_array_append_new(rows, row_json(r));
		match &=
			version == (uint64_t)json_int_or(item, "rowVersion", 0);
	}
	return match;
}

static void apply_tx(struct site *s, const json_t *v)
{
	const json_t *item;
	size_t i;

	s->version++;
	json_array_foreach(json_object_get(v, "puts"), i, item)
		write_row(s, item, json_str_or(item, "value", ""));
	json_array_foreach(json_object_get(v, "remove"), i, item)
	{
		struct stored *r = row_of(s, item, false);

		if (r && r->value)
			write_row(s, item, NULL);
	}
	answer_polls(s);
}

/* A transaction that is carried out late. */
struct late_tx {
	struct site *site;
	json_t *tx;
	struct timer timer;
};

static void on_late_tx(void *arg)
{
	struct late_tx *l = arg;
	json_t *rows = json_array();
	bool match = tx_matches(l->site, l->tx, rows);

	site_record(l->site, "store: a write that was not answered is %s",
		    match ? "carried out now"
			  : "not carried out: its condition does not hold");
	if (match)
		apply_tx(l->site, l->tx);
	json_decref(rows);
	json_decref(l->tx);
	g_free(l);
}

/* Report whether a transaction hands a job in: it creates a row in a part. */
static bool creates_job(const json_t *v)
{
	const json_t *e = json_array_get(json_object_get(v, "expected"), 0);

	return *json_str_or(e, "part", "") && !json_int_or(e, "rowVersion", 1);
}

void site_lose_submissions(struct site *s, uint32_t n, uint64_t late_ms)
{
	site_record(s,
		    "TROUBLE the store answers none of the next %u writes "
		    "of new jobs, and carries them out %u ms later",
		    n, (unsigned)late_ms);
	s->to_lose = n;
	s->late_ms = late_ms;
	s->lost_writes = s->writes = 0;
}

double site_lost_share(const struct site *s)
{
	return s->writes ? (double)s->lost_writes / s->writes : 0;
}

static void handle_tx(struct site *s, struct http_exchange *x)
{
	size_t len;
	const char *body = exchange_body(x, &len);
	json_t *v = json_loadb(body, len, 0, NULL), *rows = json_array();

	s->writes++;
	if (!v || !tx_is_small(s, v, len)) {
		exchange_reply_json(x, 400, json_object(), 0);
		goto out;
	}
	if (s->to_lose && creates_job(v)) {
		struct late_tx *l = g_new0(struct late_tx, 1);

		s->to_lose--;
		s->lost_writes++;
		l->site = s;
		l->tx = json_incref(v);
		timer_init(&l->timer, on_late_tx, l);
		timer_start(s->loop, &l->timer, s->late_ms);
		site_record(s, "store: a write of a new job is not answered");
		goto out; /* leave the exchange unanswered */
	}
	if (!tx_matches(s, v, rows)) {
		exchange_reply_json(
			x, 412, store_answer(s, json_incref(rows), false), 0);
		goto out;
	}
	apply_tx(s, v);
	exchange_reply_json(x, 200, store_answer(s, json_array(), false), 0);
out:
	json_decref(rows);
	json_decref(v);
}

static void handle_get(struct site *s, struct http_exchange *x)
{
	char *table = exchange_query(x, "table");
	char *part = exchange_query(x, "part");
	char *from = exchange_query(x, "from");
	char *limit = exchange_query(x, "limit");
	uint64_t max =
		limit ? g_ascii_strtoull(limit, NULL, 10) : PAGE_ROWS_MAX;
	GPtrArray *list = g_ptr_array_new();
	json_t *rows = json_array();
	size_t bytes = 0;
	guint n = 0;

	max = MIN(max, PAGE_ROWS_MAX);
	for (guint i = 0; i < s->row_list->len; i++) {
		struct stored *r = g_ptr_array_index(s->row_list, i);

		if (r->value && !strcmp(r->table, table ?: "") &&
		    !strcmp(r->part, part ?: "") &&
		    strcmp(r->key, from ?: "") >= 0)
			g_ptr_array_add(list, r);
	}
	g_ptr_array_sort(list, by_key);
	for (; n < list->len && n < max; n++) {
		struct stored *r = g_ptr_array_index(list, n);

		bytes += strlen(r->value);
		if (n && bytes > PAGE_BYTES_MAX)
			break;
		json_array_append_new(rows, row_json(r));
	}
	exchange_reply_json(x, 200, store_answer(s, rows, n < list->len), 0);
	g_ptr_array_free(list, TRUE);
	g_free(table);
	g_free(part);
	g_free(from);
	g_free(limit);
}

static void handle_feed(struct site *s, struct http_exchange *x)
{
	struct poll *p = g_new0(struct poll, 1);
	char *after = exchange_query(x, "after");
	char *wait = exchange_query(x, "waitMs");

	p->x = x;
	p->table = exchange_query(x, "table") ?: g_strdup("");
	p->after = after ? g_ascii_strtoull(after, NULL, 10) : 0;
	p->until_ms =
		clock_mono_ms() + (wait ? g_ascii_strtoull(wait, NULL, 10) : 0);
	g_ptr_array_add(s->polls, p);
	g_free(after);
	g_free(wait);
	answer_polls(s);
}

static void handle_store(void *arg, struct http_exchange *x)
{
	struct site *s = arg;
	const char *path = exchange_path(x);

	if (!strcmp(path, "/-/rows-tx"))
		handle_tx(s, x);
	else if (!strcmp(path, "/-/rows-get"))
		handle_get(s, x);
	else if (!strcmp(path, "/-/rows-feed"))
		handle_feed(s, x);
	else
		exchange_reply_json(x, 404, json_object(), 0);
}

/* Write a row of the operator or of a worker. */
static void put_row(struct site *s, const char *table, const char *key,
		    json_t *value)
{
	json_t *v = json_pack("{s:s,s:s,s:s}", "table", table, "part", "",
			      "key", key);
	char *text = value ? json_dumps(value, JSON_COMPACT) : NULL;
	char *b64 = text ? g_base64_encode((guchar *)text, strlen(text)) : NULL;

	s->version++;
	write_row(s, v, b64);
	g_free(b64);
	free(text);
	json_decref(v);
	json_decref(value);
	answer_polls(s);
}

/* The workers */

static uint64_t worker_clock(const struct worker *w)
{
	return clock_mono_ms() - w->born_ms + 1;
}

static struct known_job *job_of_task(struct site *s, const char *task,
				     uint32_t *step, char **id)
{
	char **f = g_strsplit(task, ".", 4);
	struct known_job *j = NULL;

	if (g_strv_length(f) == 4) {
		j = g_hash_table_lookup(s->jobs, f[0]);
		*step = atoi(f[2]);
		*id = g_strdup(f[0]);
		if (!j || *step >= json_array_size(j->steps)) {
			g_free(*id);
			j = NULL;
		}
	}
	g_strfreev(f);
	return j;
}

static struct run *find_run(const struct worker *w, const char *task)
{
	for (guint i = 0; i < w->runs->len; i++) {
		struct run *r = g_ptr_array_index(w->runs, i);

		if (!strcmp(r->task, task))
			return r;
	}
	return NULL;
}

static void run_free(struct run *r)
{
	g_free(r->task);
	g_free(r->job);
	g_free(r);
}

static void refuse_from_now(struct worker *w, const char *task, uint32_t run)
{
	uint32_t old =
		GPOINTER_TO_UINT(g_hash_table_lookup(w->refused_runs, task));

	if (run > old)
		g_hash_table_insert(w->refused_runs, g_strdup(task),
				    GUINT_TO_POINTER(run));
}

static void end_run(struct worker *w, struct run *r, const char *how)
{
	struct known_job *j = g_hash_table_lookup(w->site->jobs, r->job);

	json_array_append_new(w->finished,
			      json_pack("[I,s,i,s,s]",
					(json_int_t)++w->end_count, r->task,
					(int)r->number, how, ""));
	if (j)
		g_hash_table_insert(
			j->ends, g_strdup(how),
			GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(
						 j->ends, how)) +
					 1));
	if (json_array_size(j ? j->steps : NULL) &&
	    json_int_or(json_array_get(j->steps, 0), "count", 0) < 20)
		site_record(w->site, "%s: run %u of %s ended %s", w->id,
			    r->number, r->task, how);
	refuse_from_now(w, r->task, r->number);
	g_ptr_array_remove(w->runs, r);
	run_free(r);
}

static json_t *worker_answer(const struct worker *w)
{
	return json_pack("{s:I,s:I}", "clockMs", (json_int_t)worker_clock(w),
			 "born", (json_int_t)w->born_wall_ms);
}

static void refuse(struct worker *w, struct http_exchange *x, const char *why)
{
	json_t *v = worker_answer(w);

	json_object_set_new(v, "reason", json_string(why));
	exchange_reply_json(x, 409, v, 0);
}

static void extend_due(struct worker *w, const json_t *v)
{
	uint64_t due = json_int_or(v, "dueMs", 0);

	w->due_clock_ms =
		MAX(w->due_clock_ms, MIN(due, worker_clock(w) + HOLD_MAX_MS));
}

static bool has_room(const struct worker *w, int64_t cpu, int64_t mem,
		     int64_t gpu)
{
	for (guint i = 0; i < w->runs->len; i++) {
		const struct run *r = g_ptr_array_index(w->runs, i);

		cpu += r->cpu;
		mem += r->mem;
		gpu += r->gpu;
	}
	return cpu <= CPU_MILLI && mem <= MEM_MB && gpu <= GPUS;
}

static void handle_start(struct worker *w, struct http_exchange *x,
			 const json_t *v)
{
	const char *task = json_str_or(v, "task", "");
	uint32_t number = json_int_or(v, "run", 0), step = 0;
	uint64_t token = json_int_or(v, "fencingToken", 0);
	struct run *r = find_run(w, task);
	struct known_job *j;
	const json_t *need;
	char *id = NULL;

	if (token < w->token) {
		refuse(w, x, "fence");
		return;
	}
	w->token = token;
	if (r && r->number == number) {
		extend_due(w, v);
		exchange_reply_json(x, 200, worker_answer(w), 0);
		return;
	}
	if ((uint64_t)json_int_or(v, "dueMs", 0) <= worker_clock(w)) {
		refuse(w, x, "late");
		return;
	}
	extend_due(w, v);
	j = job_of_task(w->site, task, &step, &id);
	if (!j) {
		site_record(w->site,
			    "%s: told to start %s, which no client sent", w->id,
			    task);
		exchange_reply_json(x, 400, worker_answer(w), 0);
		return;
	}
	if (number <=
	    GPOINTER_TO_UINT(g_hash_table_lookup(w->refused_runs, task))) {
		refuse(w, x, "old");
		g_free(id);
		return;
	}
	need = json_array_get(j->steps, step);
	if (r || !has_room(w, json_int_or(need, "cpu", 0),
			   json_int_or(need, "memMb", 0),
			   json_int_or(need, "gpu", 0))) {
		refuse(w, x, "room");
		g_free(id);
		return;
	}
	r = g_new0(struct run, 1);
	r->task = g_strdup(task);
	r->job = id;
	r->number = number;
	r->ends_ms = clock_mono_ms() + j->work_ms;
	r->cpu = json_int_or(need, "cpu", 0);
	r->mem = json_int_or(need, "memMb", 0);
	r->gpu = json_int_or(need, "gpu", 0);
	g_ptr_array_add(w->runs, r);
	j->starts++;
	j->last_start_ms = site_now_ms(w->site);
	if (json_int_or(need, "count", 0) < 20)
		site_record(w->site, "%s: starts run %u of %s", w->id, number,
			    task);
	exchange_reply_json(x, 200, worker_answer(w), 0);
}

static void handle_stop(struct worker *w, struct http_exchange *x,
			const json_t *v)
{
	const char *task = json_str_or(v, "task", "");
	uint32_t number = json_int_or(v, "run", 0);
	uint64_t token = json_int_or(v, "fencingToken", 0);
	struct run *r = find_run(w, task);

	if (token < w->token) {
		refuse(w, x, "fence");
		return;
	}
	w->token = token;
	if (r && r->number == number && !r->stops_ms)
		r->stops_ms = clock_mono_ms() + STOP_MS / 2;
	refuse_from_now(w, task, number);
	exchange_reply_json(x, 200, worker_answer(w), 0);
}

static void answer_hold(struct worker *w)
{
	json_t *v = worker_answer(w), *running = json_array();
	json_t *finished = json_array(), *item;
	size_t i;

	for (guint k = 0; k < w->runs->len; k++) {
		const struct run *r = g_ptr_array_index(w->runs, k);

		json_array_append_new(running,
				      json_pack("[s,i,s,i,i]", r->task,
						(int)r->number, "", 50, 0));
	}
	json_array_foreach(w->finished, i, item)
	{
		if (i == ENDS_PAGE)
			break;
		json_array_append(finished, item);
	}
	json_object_set_new(v, "running", running);
	json_object_set_new(v, "finished", finished);
	exchange_reply_json(w->hold, 200, v, 0);
	w->hold = NULL;
}

static void handle_hold(struct worker *w, struct http_exchange *x,
			const json_t *v)
{
	uint64_t token = json_int_or(v, "fencingToken", 0);
	uint64_t cursor = json_int_or(v, "ackCursor", 0);

	if (token < w->token) {
		refuse(w, x, "fence");
		return;
	}
	w->token = token;
	extend_due(w, v);
	while (json_array_size(w->finished) &&
	       (uint64_t)json_integer_value(json_array_get(
		       json_array_get(w->finished, 0), 0)) <= cursor)
		json_array_remove(w->finished, 0);
	if (w->hold)
		answer_hold(w);
	w->hold = x;
	w->hold_until_ms =
		clock_mono_ms() + MIN(json_int_or(v, "waitMs", 0), 2000);
	if (json_array_size(w->finished) || clock_mono_ms() >= w->hold_until_ms)
		answer_hold(w);
}

static void handle_worker(void *arg, struct http_exchange *x)
{
	const struct life *n = arg;
	struct worker *w = n->worker;
	const char *body, *path = exchange_path(x);
	char *expected;
	size_t len;
	json_t *v;

	if (w->down_until_ms || w->born_ms != n->born_ms) {
		exchange_abort(x);
		return;
	}
	body = exchange_body(x, &len);
	v = json_loadb(body, len, 0, NULL);
	expected = exchange_header(x, "lacewingspur-expect-instance");
	if (expected && strcmp(expected, w->id))
		exchange_reply_json(x, 421, json_object(), 0);
	else if (!strcmp(path, "/-/run-start"))
		handle_start(w, x, v);
	else if (!strcmp(path, "/-/run-stop"))
		handle_stop(w, x, v);
	else if (!strcmp(path, "/-/hold"))
		handle_hold(w, x, v);
	else if (!strcmp(path, "/-/pace"))
		exchange_reply_json(x, 200, worker_answer(w), 0);
	else
		exchange_reply_json(x, 404, json_object(), 0);
	g_free(expected);
	json_decref(v);
}

static bool in_last_rack(const struct worker *w)
{
	const struct site_shape *p = &w->site->shape;

	return w->number + p->workers_in_last_rack >= p->workers;
}

static void list_worker(struct worker *w)
{
	struct site *s = w->site;
	char rack[16], machine[32];

	g_snprintf(rack, sizeof(rack), in_last_rack(w) ? "r-last" : "r-%u",
		   w->number / 8);
	g_snprintf(machine, sizeof(machine), "m-%u", w->number);
	w->listed = true;
	put_row(s, "servers", w->id,
		json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},"
			  "s:[s,s],s:I,s:I,s:I,s:s}",
			  "service", SERVICE, "addr", w->addr, "zone", "east",
			  "version", "v1", "slots", 8, "state", "ready",
			  "coldLeftMs", 0, "capacity", "cpu", CPU_MILLI,
			  "memMb", MEM_MB, "gpu", GPUS, "labels", "a", rack,
			  "clockMs", (json_int_t)worker_clock(w), "seq",
			  (json_int_t)++w->seq, "born",
			  (json_int_t)w->born_wall_ms, "machine", machine));
}

/* Begin a life of w; it is up unless its port is in use. */
static void bring_up(struct worker *w)
{
	struct life *n = g_new0(struct life, 1);

	n->worker = w;
	n->born_ms = clock_mono_ms();
	w->server = http_server_create(w->site->loop, &w->at, BODY_MAX_BYTES,
				       handle_worker, n);
	if (!w->server) {
		g_free(n);
		return;
	}
	w->born_ms = n->born_ms;
	w->born_wall_ms = clock_wall_ms();
	w->down_until_ms = 0;
	w->seq = 0;
	list_worker(w);
}

bool site_is_up(const struct site *s, uint32_t w)
{
	return !s->workers[w].down_until_ms;
}

void site_crash(struct site *s, uint32_t n, uint64_t down_ms)
{
	struct worker *w = &s->workers[n];

	site_record(s, "TROUBLE %s crashes with %u runs, down for %u ms", w->id,
		    w->runs->len, (unsigned)down_ms);
	w->down_since_ms = clock_mono_ms();
	w->down_until_ms = w->down_since_ms + down_ms;
	http_server_destroy(w->server);
	w->server = NULL;
	if (w->hold)
		exchange_abort(w->hold);
	w->hold = NULL;
	for (guint i = 0; i < w->runs->len; i++)
		run_free(g_ptr_array_index(w->runs, i));
	g_ptr_array_set_size(w->runs, 0);
	json_array_clear(w->finished);
	g_hash_table_remove_all(w->refused_runs);
	w->token = w->due_clock_ms = w->end_count = 0;
}

static void update_worker(struct worker *w)
{
	uint64_t now = clock_mono_ms();

	if (w->down_until_ms && now >= w->down_until_ms)
		bring_up(w);
	if (w->down_until_ms) {
		if (w->listed && now >= w->down_since_ms + 3 * HEARTBEAT_MS) {
			w->listed = false;
			put_row(w->site, "servers", w->id, NULL);
		}
		return;
	}
	for (guint i = w->runs->len; i-- > 0;) {
		struct run *r = g_ptr_array_index(w->runs, i);

		if (worker_clock(w) > w->due_clock_ms)
			end_run(w, r, "lapsed");
		else if (now >= r->ends_ms)
			end_run(w, r, "done");
		else if (r->stops_ms && now >= r->stops_ms)
			end_run(w, r, "stopped");
	}
	if (w->hold &&
	    (json_array_size(w->finished) || now >= w->hold_until_ms))
		answer_hold(w);
}

static void on_update(void *arg)
{
	struct site *s = arg;

	for (uint32_t i = 0; i < s->shape.workers; i++)
		update_worker(&s->workers[i]);
	answer_polls(s);
	timer_start(s->loop, &s->update, UPDATE_MS);
}

static struct run *run_of_job(const struct worker *w, const char *id)
{
	for (guint k = 0; k < w->runs->len; k++) {
		struct run *r = g_ptr_array_index(w->runs, k);

		if (!strcmp(r->job, id))
			return r;
	}
	return NULL;
}

void site_fail_run(struct site *s, const char *id)
{
	for (uint32_t i = 0; i < s->shape.workers; i++) {
		struct worker *w = &s->workers[i];
		struct run *r = run_of_job(w, id);

		if (!r)
			continue;
		site_record(s, "TROUBLE %s: run %u of %s fails", w->id,
			    r->number, r->task);
		end_run(w, r, "failed");
		return;
	}
}

/* What the workers have seen */

uint32_t site_worker_of(const struct site *s, const char *id)
{
	uint32_t i = 0;

	while (i < s->shape.workers && !run_of_job(&s->workers[i], id))
		i++;
	return i;
}

uint32_t site_running_on(const struct site *s, uint32_t w)
{
	return s->workers[w].runs->len;
}

uint32_t site_running_of(const struct site *s, const char *id)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->shape.workers; i++)
		for (guint k = 0; k < s->workers[i].runs->len; k++)
			n += !strcmp(((struct run *)g_ptr_array_index(
					      s->workers[i].runs, k))
					     ->job,
				     id);
	return n;
}

uint32_t site_ends_of(const struct site *s, const char *id, const char *how)
{
	const struct known_job *j = g_hash_table_lookup(s->jobs, id);

	return j ? GPOINTER_TO_UINT(g_hash_table_lookup(j->ends, how)) : 0;
}

uint32_t site_starts_of(const struct site *s, const char *id)
{
	const struct known_job *j = g_hash_table_lookup(s->jobs, id);

	return j ? j->starts : 0;
}

bool site_fits_twice(const struct site *s, const char *id)
{
	const struct known_job *j = g_hash_table_lookup(s->jobs, id);
	const json_t *step = j ? json_array_get(j->steps, 0) : NULL;
	int64_t cpu = json_int_or(step, "cpu", 0);
	int64_t mem = json_int_or(step, "memMb", 0), fits = 0;
	bool last_only = *json_str_or(step, "requires", "");

	for (uint32_t i = 0; i < s->shape.workers; i++) {
		const struct worker *w = &s->workers[i];
		int64_t free_cpu = CPU_MILLI, free_mem = MEM_MB;

		if (w->down_until_ms || (last_only && !in_last_rack(w)))
			continue;
		for (guint k = 0; k < w->runs->len; k++) {
			const struct run *r = g_ptr_array_index(w->runs, k);

			free_cpu -= r->cpu;
			free_mem -= r->mem;
		}
		fits += MIN(free_cpu / MAX(cpu, 1), free_mem / MAX(mem, 1));
	}
	return fits >= 2 * json_int_or(step, "count", 1);
}

uint64_t site_last_start_ms(const struct site *s, const char *id)
{
	const struct known_job *j = g_hash_table_lookup(s->jobs, id);

	return j ? j->last_start_ms : 0;
}

double site_used_share(const struct site *s)
{
	double cpu = 0, mem = 0, gpu = 0, n = s->shape.workers;

	for (uint32_t i = 0; i < s->shape.workers; i++) {
		for (guint k = 0; k < s->workers[i].runs->len; k++) {
			const struct run *r =
				g_ptr_array_index(s->workers[i].runs, k);

			cpu += r->cpu;
			mem += r->mem;
			gpu += r->gpu;
		}
	}
	return MAX(cpu / n / CPU_MILLI, MAX(mem / n / MEM_MB, gpu / n / GPUS));
}

uint32_t site_large_writes(const struct site *s)
{
	return s->large_writes;
}

/* Clients */

struct reply {
	bool done, ran;
	int status;
	json_t *body;
};

static void on_reply(void *arg, const struct http_result *r)
{
	struct reply *y = arg;

	y->done = true;
	y->ran = verdict_is_ran(r->verdict);
	y->status = r->status;
	y->body = json_loadb(r->body, r->len, 0, NULL);
}

/* Send a request to one instance; returns its status, 0 for no answer. */
static int call(struct site *s, uint32_t i, const char *method,
		const char *path, const char *body, uint32_t deadline_ms,
		json_t **out)
{
	char *headers = g_strdup_printf("Authorization: Bearer " KEY "\r\n"
					"Lacewingspur-Deadline-Ms: %u\r\n",
					deadline_ms);
	struct reply y = {0};
	bool sent = http_call_start_with_headers(s->callers[i], method, path,
						 headers, body, deadline_ms,
						 on_reply, &y);

	g_free(headers);
	if (!sent)
		return 0;
	while (!y.done)
		loop_step(s->loop, 5);
	if (out)
		*out = y.body;
	else
		json_decref(y.body);
	return y.ran ? y.status : 0;
}

static uint32_t next_instance(struct site *s)
{
	return s->next_caller++ % s->shape.instances;
}

/* Note a job as its client knows it. */
static void know_job(struct site *s, const char *id, json_t *steps,
		     uint64_t work_ms)
{
	struct known_job *j = g_new0(struct known_job, 1);

	j->steps = steps;
	j->work_ms = work_ms;
	j->ends = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(s->jobs, g_strdup(id), j);
}

static int post_job(struct site *s, const char *id, uint32_t deadline_ms)
{
	struct known_job *j = g_hash_table_lookup(s->jobs, id);
	json_t *v = json_pack("{s:s,s:O}", "spec", id, "steps", j->steps);
	char *body = json_dumps(v, JSON_COMPACT);
	char *path = g_strdup_printf("/jobs/%s", id);
	uint32_t i = next_instance(s);
	int status = call(s, i, "POST", path, body, deadline_ms, NULL);

	site_record(s, "client: POST %s at instance %u: %d", path, i, status);
	json_decref(v);
	free(body);
	g_free(path);
	return status;
}

int site_submit_once(struct site *s, const char *id, json_t *steps,
		     uint64_t work_ms, uint32_t deadline_ms)
{
	know_job(s, id, steps, work_ms);
	return post_job(s, id, deadline_ms);
}

int site_submit(struct site *s, const char *id, json_t *steps, uint64_t work_ms)
{
	int status = 0;

	know_job(s, id, steps, work_ms);
	for (int k = 0; k < 5; k++) {
		status = post_job(s, id, DEADLINE_MS);
		if (status && status != 502 && status != 503 && status != 504 &&
		    status != 429)
			break;
		site_run_for(s, 300);
	}
	return status;
}

int site_cancel(struct site *s, const char *id)
{
	char *path = g_strdup_printf("/jobs/%s", id);
	int status = call(s, next_instance(s), "DELETE", path, NULL,
			  DEADLINE_MS, NULL);

	site_record(s, "client: DELETE %s: %d", path, status);
	g_free(path);
	return status;
}

const char *site_state(struct site *s, const char *id)
{
	char *path = g_strdup_printf("/jobs/%s", id);
	uint32_t i = next_instance(s);
	json_t *v = NULL;
	int status = call(s, i, "GET", path, NULL, DEADLINE_MS, &v);

	if (status == 200)
		g_strlcpy(s->state, json_str_or(v, "state", "?"),
			  sizeof(s->state));
	else if (status)
		g_snprintf(s->state, sizeof(s->state), "%d", status);
	else
		g_strlcpy(s->state, "none", sizeof(s->state));
	site_record(s, "client: GET %s at instance %u: %s", path, i, s->state);
	json_decref(v);
	g_free(path);
	return s->state;
}

/* The deployment */

void site_run_for(struct site *s, uint64_t ms)
{
	uint64_t until = clock_mono_ms() + ms;

	while (clock_mono_ms() < until)
		loop_step(s->loop, 5);
}

static struct sockaddr_in address(const struct site *s, uint32_t c, uint32_t d,
				  uint32_t port)
{
	struct sockaddr_in a;
	char text[40];

	g_snprintf(text, sizeof(text), "127.%u.%u.%u:%u", s->net, c, d, port);
	if (!address_parse(text, &a))
		exit(CASE_NOT_RUN);
	return a;
}

static void put_config(struct site *s)
{
	json_t *routes = json_array();

	for (uint32_t i = 0; i < s->shape.instances; i++) {
		char name[16], host[32];

		g_snprintf(name, sizeof(name), "jobs%u", i);
		g_snprintf(host, sizeof(host), "127.%u.0.%u", s->net, 10 + i);
		json_array_append_new(
			routes,
			json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:f,s:i,s:i}",
				  "name", name, "host", host, "pathPrefix",
				  "/jobs/", "service", SERVICE, "priority", 1,
				  "maxAttempts", 3, "slackFactor", 3.0,
				  "targetRuntimeMs", 1000, "timeoutMs", 3000));
	}
	put_row(s, "op", "config",
		json_pack("{s:i,s:o,s:[{s:s,s:b}],s:{s:i},s:[{s:s,s:[s],"
			  "s:{s:i}}]}",
			  "version", 11, "routes", routes, "services", "name",
			  SERVICE, "enforcesCapacity", 1, "limits",
			  "maxBodyBytes", 262144, "tenants", "name", "tenant-1",
			  "apiKeys", KEY, "guaranteed", "gpu", 16));
}

/* Start an instance with settings as the template of the deploy file gives. */
static void start_instance(struct site *s, uint32_t i)
{
	char *file = g_strdup_printf("%s/i%u.json", s->dir, i);
	char *log = g_strdup_printf("%s/i%u.log", s->dir, i);
	char *argv[] = {"target/lacewingd", "--settings", file, NULL};
	char *text = g_strdup_printf(
		"{\"instance\":\"front-east-%u\",\"domain\":\"east\",\"joint\":"
		"{"
		"\"callers\":\"127.%u.0.%u:%u\",\"readiness\":\"127.%u.0.%u:%"
		"u\","
		"\"metrics\":\"127.%u.0.%u:%u\",\"peers\":\"127.%u.0.%u:%u\","
		"\"store\":\"127.%u.0.1:%u\",\"processor_share\":0.25,"
		"\"link_mbps\":1000.0,\"lease_ms\":%d,\"heartbeat_ms\":%d,"
		"\"stop_ms\":%d,\"reclaim_ms\":2900,\"gang_wait_ms\":3000,"
		"\"checkpoint_s\":1,\"remote_factor\":3,\"keep_ended_s\":120,"
		"\"drain_ms\":2000,\"grace_s\":6,\"history_s\":20}}",
		i + 1, s->net, 10 + i, PORT_CALLERS, s->net, 10 + i, PORT_READY,
		s->net, 10 + i, PORT_METRICS, s->net, 10 + i, PORT_PEERS,
		s->net, PORT_STORE, HOLD_MAX_MS, HEARTBEAT_MS, STOP_MS);

	g_file_set_contents(file, text, -1, NULL);
	s->pids[i] = fork();
	if (!s->pids[i]) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		execv(argv[0], argv);
		_exit(127);
	}
	g_free(text);
	g_free(log);
	g_free(file);
}

static void wait_ready(struct site *s, uint32_t i)
{
	struct sockaddr_in at = address(s, 0, 10 + i, PORT_READY);
	struct http_pool *p = http_pool_create(s->http, &at, 4);
	uint64_t until = clock_mono_ms() + READY_WAIT_MS;

	for (;;) {
		struct reply y = {0};
		int end;

		if (waitpid(s->pids[i], &end, WNOHANG) > 0 ||
		    clock_mono_ms() > until) {
			fprintf(stderr, "instance %u is not ready\n", i);
			site_destroy(s);
			exit(CASE_NOT_RUN);
		}
		http_call_start(p, "GET", "/-/ready", NULL, 1000, on_reply, &y);
		while (!y.done)
			loop_step(s->loop, 5);
		json_decref(y.body);
		if (y.ran && y.status == 200)
			break;
		site_run_for(s, 50);
	}
	http_pool_destroy(p);
}

/* Find a part of 127.0.0.0/8 where the ports are free. */
static bool bind_store(struct site *s)
{
	for (int k = 0; k < 50 && !s->store; k++) {
		struct sockaddr_in at;

		s->net = g_random_int_range(20, 250);
		at = address(s, 0, 1, PORT_STORE);
		s->store = http_server_create(s->loop, &at, BODY_MAX_BYTES,
					      handle_store, s);
	}
	return s->store;
}

static bool create_workers(struct site *s)
{
	s->workers = g_new0(struct worker, s->shape.workers);
	for (uint32_t i = 0; i < s->shape.workers; i++) {
		struct worker *w = &s->workers[i];

		w->site = s;
		w->number = i;
		g_snprintf(w->id, sizeof(w->id), "i-%04u", i);
		w->at = address(s, 1, 1 + i, PORT_WORKER);
		address_format(&w->at, w->addr, sizeof(w->addr));
		w->runs = g_ptr_array_new();
		w->finished = json_array();
		w->refused_runs = g_hash_table_new_full(g_str_hash, g_str_equal,
							g_free, NULL);
		bring_up(w);
		if (!w->server)
			return false;
	}
	return true;
}

struct site *site_create(const struct site_shape *shape)
{
	struct site *s = g_new0(struct site, 1);
	char *record = g_strdup_printf("%s/record.txt", shape->dir);

	signal(SIGPIPE, SIG_IGN);
	s->shape = *shape;
	s->record = fopen(record, "w");
	g_free(record);
	g_strlcpy(s->dir, "/tmp/review-XXXXXX", sizeof(s->dir));
	if (!s->record || !g_mkdtemp(s->dir) ||
	    access("target/lacewingd", X_OK)) {
		fprintf(stderr, "no record, folder or target/lacewingd\n");
		exit(CASE_NOT_RUN);
	}
	s->started_ms = clock_mono_ms();
	log_open("site", "site", LOG_ERROR);
	s->loop = loop_create();
	s->http = http_client_create(s->loop);
	s->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->row_list = g_ptr_array_new();
	s->polls = g_ptr_array_new();
	s->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->pids = g_new0(pid_t, shape->instances);
	s->callers = g_new0(struct http_pool *, shape->instances);
	timer_init(&s->update, on_update, s);
	if (!bind_store(s) || !create_workers(s)) {
		fprintf(stderr, "ports are in use\n");
		exit(CASE_NOT_RUN);
	}
	put_config(s);
	timer_start(s->loop, &s->update, UPDATE_MS);
	for (uint32_t i = 0; i < shape->instances; i++) {
		struct sockaddr_in at = address(s, 0, 10 + i, PORT_CALLERS);

		s->callers[i] = http_pool_create(s->http, &at, 50);
		start_instance(s, i);
	}
	for (uint32_t i = 0; i < shape->instances; i++)
		wait_ready(s, i);
	site_run_for(s, 4000);
	site_record(s, "%u instances are ready, %u workers, TROUBLE=%d",
		    shape->instances, shape->workers, site_trouble());
	return s;
}

/* Copy what the logs of the instances say of one event into the record. */
static void copy_events(struct site *s, uint32_t i)
{
	static const char *const events[] = {"leadership_gained",
					     "leadership_lost",
					     "write_failed",
					     "suspect_confirmed",
					     "bad_row",
					     "start_failed",
					     NULL};
	char *log = g_strdup_printf("%s/i%u.log", s->dir, i);
	char *text = NULL, **lines;

	g_file_get_contents(log, &text, NULL, NULL);
	lines = g_strsplit(text ? text : "", "\n", -1);
	for (const char *const *e = events; *e; e++) {
		char *word = g_strdup_printf("\"event\":\"%s\"", *e);
		uint32_t n = 0;

		for (char **l = lines; *l; l++) {
			if (!strstr(*l, word))
				continue;
			if (n++ < 3)
				fprintf(s->record, "log of instance %u: %s\n",
					i, *l);
		}
		if (n)
			fprintf(s->record, "log of instance %u: %u times %s\n",
				i, n, *e);
		g_free(word);
	}
	g_strfreev(lines);
	g_free(text);
	if (!getenv("KEEP_LOGS"))
		g_unlink(log);
	g_free(log);
}

void site_destroy(struct site *s)
{
	for (uint32_t i = 0; i < s->shape.instances; i++) {
		char *file = g_strdup_printf("%s/i%u.json", s->dir, i);

		if (s->pids[i] > 0) {
			kill(s->pids[i], SIGKILL);
			waitpid(s->pids[i], NULL, 0);
		}
		copy_events(s, i);
		if (!getenv("KEEP_LOGS"))
			g_unlink(file);
		g_free(file);
	}
	g_rmdir(s->dir);
	if (getenv("KEEP_LOGS"))
		fprintf(stderr, "logs: %s\n", s->dir);
	fclose(s->record);
}
