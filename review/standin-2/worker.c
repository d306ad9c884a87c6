/*
 * Stand-in for one worker, as PROTOCOL.md describes it. A task's spec says how
 * long it runs, how it ends, how much cpu it takes and how long its checkpoints
 * are: "ms=4000 cpu=100 end=done saved=16"; "ms1=" is of step 1. What happens to runs is appended to the log, one line each:
 * TIME start|end WORKER TASK RUN TOKEN|HOW.
 *
 * Usage: worker ID ADDRESS STORE SERVICE KIND RACK CPU CLOCK_MS LOG [BEAT_MS]
 * CLOCK_MS is how far the machine's time of day is off, BEAT_MS when the first
 * heartbeat is sent.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/http.h"
#include "lib/schema.h"

#define BEAT_MS 1500
#define HOLD_MAX_MS 6000
#define STOP_MS 150
#define CHECKPOINT_MS 2000
#define TICK_MS 10
#define PAGE_ENDS_MAX 500

struct run {
	char *task;
	uint32_t number;
	uint32_t cpu;
	char how[16];
	uint64_t ends_ms;
	uint64_t stops_ms; /* 0: not asked to stop */
	uint64_t started_ms;
	uint64_t lasts_ms;
	uint32_t saved_bytes; /* length of its checkpoints; 0: it has none */
};

static const char *id, *address, *service, *kind, *rack;
static uint32_t cpu, cpu_used;
static FILE *events;
static struct loop *loop;
static struct http_pool *store;
static uint64_t came_up_ms, born_ms, max_token, lease_end, end_count, seq;
static GHashTable *runs;	  /* task to struct run */
static GHashTable *not_startable; /* task to the highest run to refuse */
static json_t *ends;
static struct http_exchange *hold;
static uint64_t hold_until_ms;
static struct timer ticker, beater;

static uint64_t own_clock(void)
{
	return clock_mono_ms() - came_up_ms + 1;
}

static void note(const char *what, const char *task, uint32_t run,
		 const char *text)
{
	fprintf(events, "%llu %s %s %s %u %s\n",
		(unsigned long long)clock_wall_ms(), what, id, task, run, text);
	fflush(events);
}

static json_t *base_answer(void)
{
	return json_pack("{s:I,s:I}", "clockMs", (json_int_t)own_clock(),
			 "born", (json_int_t)born_ms);
}

static void refuse(struct http_exchange *x, const char *reason)
{
	json_t *v = base_answer();

	json_object_set_new(v, "reason", json_string(reason));
	exchange_reply_json(x, 409, v, 0);
}

static void forbid(const char *task, uint32_t run)
{
	if (run > GPOINTER_TO_UINT(g_hash_table_lookup(not_startable, task)))
		g_hash_table_insert(not_startable, g_strdup(task),
				    GUINT_TO_POINTER(run));
}

static void extend_lease(const json_t *v)
{
	uint64_t due = json_int_or(v, "dueMs", 0);

	lease_end = MAX(lease_end, MIN(due, own_clock() + HOLD_MAX_MS));
}

/* Read NAME=NUMBER of a spec. */
static uint64_t spec_number(const char *spec, const char *name, uint64_t other)
{
	const char *s = strstr(spec, name);

	return s ? g_ascii_strtoull(s + strlen(name), NULL, 10) : other;
}

/* Return how long a task runs: "ms1=" of its spec for step 1, or "ms=". */
static uint64_t task_duration(const char *task, const char *spec)
{
	char **part = g_strsplit(task, ".", 4);
	char *name = g_strdup_printf("ms%s=",
				     g_strv_length(part) == 4 ? part[2] : "");
	uint64_t ms = spec_number(spec, name, spec_number(spec, "ms=", 1000));

	g_free(name);
	g_strfreev(part);
	return ms;
}

static void start(struct http_exchange *x, const json_t *v)
{
	const char *task = json_str_or(v, "task", ""),
		   *spec = json_str_or(v, "spec", "");
	uint32_t number = json_int_or(v, "run", 0);
	uint64_t token = json_int_or(v, "fencingToken", 0);
	uint32_t need = spec_number(spec, "cpu=", 0);
	struct run *r = g_hash_table_lookup(runs, task);
	char text[32];

	if (token < max_token) {
		refuse(x, "fence");
		return;
	}
	max_token = token;
	if (r && r->number == number) {
		exchange_reply_json(x, 200, base_answer(), 0);
		return;
	}
	extend_lease(v);
	if (r || number <= GPOINTER_TO_UINT(
				   g_hash_table_lookup(not_startable, task))) {
		refuse(x, "old");
		return;
	}
	if ((uint64_t)json_int_or(v, "dueMs", 0) <= own_clock()) {
		refuse(x, "late");
		return;
	}
	if (cpu_used + need > cpu) {
		refuse(x, "room");
		return;
	}
	r = g_new0(struct run, 1);
	r->task = g_strdup(task);
	r->number = number;
	r->cpu = need;
	g_strlcpy(r->how, strstr(spec, "end=failed") ? "failed" : "done",
		  sizeof(r->how));
	r->started_ms = clock_mono_ms();
	r->lasts_ms = task_duration(task, spec);
	r->saved_bytes = spec_number(spec, "saved=", 0);
	r->ends_ms = r->started_ms + r->lasts_ms;
	cpu_used += need;
	g_hash_table_insert(runs, r->task, r);
	g_snprintf(text, sizeof(text), "token=%llu", (unsigned long long)token);
	note("start", task, number, text);
	exchange_reply_json(x, 200, base_answer(), 0);
}

static void stop(struct http_exchange *x, const json_t *v)
{
	const char *task = json_str_or(v, "task", "");
	uint32_t number = json_int_or(v, "run", 0);
	uint64_t token = json_int_or(v, "fencingToken", 0);
	struct run *r = g_hash_table_lookup(runs, task);

	if (token < max_token) {
		refuse(x, "fence");
		return;
	}
	max_token = token;
	if (r && r->number == number && !r->stops_ms)
		r->stops_ms = clock_mono_ms() + STOP_MS;
	forbid(task, number);
	exchange_reply_json(x, 200, base_answer(), 0);
}

/* Return the newest checkpoint of a run; free with g_free. */
static char *checkpoint(const struct run *r)
{
	uint64_t n = (clock_mono_ms() - r->started_ms) / CHECKPOINT_MS;

	if (!r->saved_bytes || !n)
		return g_strdup("");
	return g_strdup_printf(
		"%s@%0*llu", r->task,
		MAX((int)r->saved_bytes - (int)strlen(r->task) - 1, 1),
		(unsigned long long)n);
}

static void answer_hold(void)
{
	json_t *v = base_answer(), *running = json_array(), *page;
	uint64_t now = clock_mono_ms();
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, runs);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct run *r = p;
		char *saved = checkpoint(r);

		json_array_append_new(
			running,
			json_pack("[s,i,s,i,i]", r->task, (int)r->number, saved,
				  (int)MIN(99, (now - r->started_ms) * 100 /
						       MAX(r->lasts_ms, 1)),
				  (int)r->cpu));
		g_free(saved);
	}
	page = json_array();
	for (size_t i = 0; i < json_array_size(ends) && i < PAGE_ENDS_MAX; i++)
		json_array_append(page, json_array_get(ends, i));
	json_object_set_new(v, "running", running);
	json_object_set_new(v, "finished", page);
	exchange_reply_json(hold, 200, v, 0);
	hold = NULL;
}

static void renew(struct http_exchange *x, const json_t *v)
{
	uint64_t token = json_int_or(v, "fencingToken", 0);
	uint64_t cursor = json_int_or(v, "ackCursor", 0);

	if (token < max_token) {
		refuse(x, "fence");
		return;
	}
	max_token = token;
	extend_lease(v);
	while (json_array_size(ends) &&
	       (uint64_t)json_integer_value(
		       json_array_get(json_array_get(ends, 0), 0)) <= cursor)
		json_array_remove(ends, 0);
	if (hold)
		answer_hold();
	hold = x;
	hold_until_ms = clock_mono_ms() + json_int_or(v, "waitMs", 0);
	if (json_array_size(ends) || clock_mono_ms() >= hold_until_ms)
		answer_hold();
}

static void on_request(void *arg, struct http_exchange *x)
{
	char *expected = exchange_header(x, "lacewingspur-expect-instance");
	const char *path = exchange_path(x);
	size_t len;
	const char *body = exchange_body(x, &len);
	json_t *v = json_loadb(body, len, 0, NULL);

	(void)arg;
	if (expected && strcmp(expected, id))
		exchange_reply_json(x, 421, json_object(), 0);
	else if (!v)
		exchange_reply_json(x, 400, base_answer(), 0);
	else if (!strcmp(path, "/-/run-start"))
		start(x, v);
	else if (!strcmp(path, "/-/run-stop"))
		stop(x, v);
	else if (!strcmp(path, "/-/hold"))
		renew(x, v);
	else
		exchange_reply_json(x, 404, base_answer(), 0);
	g_free(expected);
	json_decref(v);
}

static void end_run(struct run *r, const char *how)
{
	char *saved = checkpoint(r);

	json_array_append_new(ends,
			      json_pack("[I,s,i,s,s]", (json_int_t)++end_count,
					r->task, (int)r->number, how, saved));
	g_free(saved);
	forbid(r->task, r->number);
	note("end", r->task, r->number, how);
	cpu_used -= r->cpu;
}

static gboolean end_if_due(gpointer key, gpointer value, gpointer arg)
{
	struct run *r = value;
	uint64_t now = clock_mono_ms();

	(void)key;
	(void)arg;
	if (own_clock() > lease_end)
		end_run(r, "lapsed");
	else if (now >= r->ends_ms)
		end_run(r, r->how);
	else if (r->stops_ms && now >= r->stops_ms)
		end_run(r, "stopped");
	else
		return FALSE;
	g_free(r->task);
	g_free(r);
	return TRUE;
}

static void on_tick(void *arg)
{
	(void)arg;
	g_hash_table_foreach_remove(runs, end_if_due, NULL);
	if (hold && (json_array_size(ends) || clock_mono_ms() >= hold_until_ms))
		answer_hold();
	timer_start(loop, &ticker, TICK_MS);
}

static void on_beat_answer(void *arg, const struct http_result *r)
{
	(void)arg;
	(void)r;
}

static void on_beat(void *arg)
{
	json_t *v = json_pack(
		"{s:s,s:{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],"
		"s:I,s:I,s:I,s:s}}",
		"id", id, "entry", "service", service, "addr", address, "zone",
		"kolkata", "version", "v1", "slots", 8, "state", "ready",
		"coldLeftMs", 0, "capacity", "cpu", (int)cpu, "memMb", 524288,
		"gpu", 8, "labels", kind, rack, "clockMs",
		(json_int_t)own_clock(), "seq", (json_int_t)++seq, "born",
		(json_int_t)born_ms, "machine", address);
	char *text = json_dumps(v, JSON_COMPACT);

	(void)arg;
	http_call_start(store, "POST", "/worker/beat", text, 1000,
			on_beat_answer, NULL);
	free(text);
	json_decref(v);
	timer_start(loop, &beater, BEAT_MS);
}

int main(int argc, char **argv)
{
	struct sockaddr_in at, store_at;

	if (argc < 10 || argc > 11 || !address_parse(argv[2], &at) ||
	    !address_parse(argv[3], &store_at)) {
		fprintf(stderr, "usage: worker ID ADDRESS STORE SERVICE KIND "
				"RACK CPU CLOCK_MS LOG\n");
		return 2;
	}
	id = argv[1];
	address = argv[2];
	service = argv[4];
	kind = argv[5];
	rack = argv[6];
	cpu = strtoul(argv[7], NULL, 10);
	events = fopen(argv[9], "a");
	came_up_ms = clock_mono_ms();
	born_ms = clock_wall_ms() + strtoll(argv[8], NULL, 10);
	runs = g_hash_table_new(g_str_hash, g_str_equal);
	not_startable = g_hash_table_new(g_str_hash, g_str_equal);
	ends = json_array();
	loop = loop_create();
	store = http_pool_create(http_client_create(loop), &store_at, 4);
	if (!events ||
	    !http_server_create(loop, &at, 4u << 20, on_request, NULL)) {
		fprintf(stderr, "worker: cannot listen on %s\n", argv[2]);
		return 2;
	}
	note("up", "-", 0, argv[8]);
	timer_init(&ticker, on_tick, NULL);
	timer_init(&beater, on_beat, NULL);
	timer_start(loop, &ticker, TICK_MS);
	timer_start(loop, &beater, argc > 10 ? strtoul(argv[10], NULL, 10) : 0);
	loop_run(loop);
	return 0;
}
