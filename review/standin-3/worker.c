/*
 * One worker of the platform as PROTOCOL.md describes it ("Running tasks",
 * "Service discovery"): a process that registers in the store and runs tasks
 * under a lease. A task's spec is its run time in milliseconds.
 *
 *	worker ADDRESS STORE ID RACK [LATE-MS]
 *
 * LATE-MS: the first call of /-/hold gets no answer and is carried out that much
 * later. Prints what it does: MS ID start|done|stopped|lapsed|note|late ...
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/http.h"
#include "lib/log.h"
#include "lib/schema.h"

#define HEARTBEAT_MS 1500
#define TICK_MS 2
#define LEASE_MAX_MS 6000
#define STOP_MS 100
#define PAGE_ENDS_MAX 500

struct run {
	char *task;
	int64_t number;
	uint64_t ends_ms;
	uint64_t stops_ms;
};

struct end {
	int64_t n;
	char *task;
	int64_t number;
	const char *how;
};

static struct loop *loop;
static struct http_pool *store;
static const char *id, *rack, *address;
static uint64_t born_wall_ms, born_ms, lease_end_clock_ms, max_token;
static int64_t end_count, seq;
static GPtrArray *runs, *ends;
static GHashTable *not_startable; /* task to its highest run to refuse */
static struct http_exchange *held;
static uint64_t held_until_ms;
static uint32_t late_ms;
static struct timer tick_timer, beat_timer, late_timer;
static json_t *late_call;

static uint64_t clock_now(void)
{
	return clock_mono_ms() - born_ms + 1;
}

static void say(const char *what, const char *task, int64_t run, int64_t n)
{
	printf("%llu %s %s %s %lld %lld\n", (unsigned long long)clock_mono_ms(),
	       id, what, task, (long long)run, (long long)n);
	fflush(stdout);
}

static json_t *answer(void)
{
	return json_pack("{s:I,s:I}", "clockMs", (json_int_t)clock_now(),
			 "born", (json_int_t)born_wall_ms);
}

static void refuse(struct http_exchange *x, const char *reason)
{
	json_t *v = answer();

	json_object_set_new(v, "reason", json_string(reason));
	exchange_reply_json(x, 409, v, 0);
}

static struct run *find_run(const char *task)
{
	for (guint i = 0; i < runs->len; i++) {
		struct run *r = g_ptr_array_index(runs, i);

		if (!strcmp(r->task, task))
			return r;
	}
	return NULL;
}

static void forbid(const char *task, int64_t run)
{
	int64_t now = GPOINTER_TO_INT(g_hash_table_lookup(not_startable, task));

	if (run > now)
		g_hash_table_insert(not_startable, g_strdup(task),
				    GINT_TO_POINTER(run));
}

static void end_run(guint i, const char *how)
{
	struct run *r = g_ptr_array_index(runs, i);
	struct end *e = g_new0(struct end, 1);

	*e = (struct end){++end_count, r->task, r->number, how};
	g_ptr_array_add(ends, e);
	forbid(r->task, r->number);
	say(how, r->task, r->number, e->n);
	g_ptr_array_remove_index(runs, i);
	g_free(r);
}

static void reply_lists(struct http_exchange *x)
{
	json_t *v = answer(), *running = json_array(), *finished = json_array();

	for (guint i = 0; i < runs->len; i++) {
		const struct run *r = g_ptr_array_index(runs, i);

		json_array_append_new(running,
				      json_pack("[s,I,s,i]", r->task,
						(json_int_t)r->number, "", 50));
	}
	for (guint i = 0; i < ends->len && i < PAGE_ENDS_MAX; i++) {
		const struct end *e = g_ptr_array_index(ends, i);

		json_array_append_new(finished,
				      json_pack("[I,s,I,s,s]", (json_int_t)e->n,
						e->task, (json_int_t)e->number,
						e->how, ""));
	}
	json_object_set_new(v, "running", running);
	json_object_set_new(v, "finished", finished);
	exchange_reply_json(x, 200, v, 0);
}

/* Carry out a hold; returns false if its token is too low. */
static bool hold(const json_t *v)
{
	uint64_t token = json_int_or(v, "fencingToken", 0);
	int64_t cursor = json_int_or(v, "ackCursor", 0);
	uint64_t due = MIN((uint64_t)json_int_or(v, "dueMs", 0),
			   clock_now() + LEASE_MAX_MS);

	if (token < max_token)
		return false;
	max_token = token;
	lease_end_clock_ms = MAX(lease_end_clock_ms, due);
	while (ends->len) {
		struct end *e = g_ptr_array_index(ends, 0);

		if (e->n > cursor)
			break;
		say("note", e->task, e->number, e->n);
		g_ptr_array_remove_index(ends, 0);
		g_free(e->task);
		g_free(e);
	}
	return true;
}

static void on_late(void *arg)
{
	(void)arg;
	say("late", "hold", json_int_or(late_call, "ackCursor", 0), ends->len);
	hold(late_call);
}

static void on_hold(struct http_exchange *x, const json_t *v)
{
	if (late_ms) {
		late_call = json_deep_copy(v);
		timer_start(loop, &late_timer, late_ms);
		late_ms = 0;
		return;
	}
	if (!hold(v)) {
		refuse(x, "fence");
		return;
	}
	if (held)
		reply_lists(held);
	held = x;
	held_until_ms = clock_mono_ms() + json_int_or(v, "waitMs", 0);
	if (ends->len || clock_mono_ms() >= held_until_ms) {
		reply_lists(held);
		held = NULL;
	}
}

static void on_start(struct http_exchange *x, const json_t *v)
{
	const char *task = json_str_or(v, "task", "");
	int64_t run = json_int_or(v, "run", 0);
	uint64_t token = json_int_or(v, "fencingToken", 0);
	uint64_t due = json_int_or(v, "dueMs", 0);
	struct run *r = find_run(task);

	if (token < max_token) {
		refuse(x, "fence");
		return;
	}
	max_token = token;
	if (r && r->number == run) {
		exchange_reply_json(x, 200, answer(), 0);
		return;
	}
	if (r || run <= GPOINTER_TO_INT(
				g_hash_table_lookup(not_startable, task))) {
		refuse(x, "old");
		return;
	}
	if (due <= clock_now()) {
		refuse(x, "late");
		return;
	}
	lease_end_clock_ms =
		MAX(lease_end_clock_ms, MIN(due, clock_now() + LEASE_MAX_MS));
	r = g_new0(struct run, 1);
	r->task = g_strdup(task);
	r->number = run;
	r->ends_ms = clock_mono_ms() +
		     strtoul(json_str_or(v, "spec", "100"), NULL, 10);
	g_ptr_array_add(runs, r);
	say("start", task, run, 0);
	exchange_reply_json(x, 200, answer(), 0);
}

static void on_stop(struct http_exchange *x, const json_t *v)
{
	const char *task = json_str_or(v, "task", "");
	int64_t run = json_int_or(v, "run", 0);
	struct run *r = find_run(task);

	if ((uint64_t)json_int_or(v, "fencingToken", 0) < max_token) {
		refuse(x, "fence");
		return;
	}
	if (r && r->number == run && !r->stops_ms)
		r->stops_ms = clock_mono_ms() + STOP_MS;
	forbid(task, run);
	exchange_reply_json(x, 200, answer(), 0);
}

static void on_request(void *arg, struct http_exchange *x)
{
	char *expected = exchange_header(x, "lacewingspur-expect-instance");
	const char *path = exchange_path(x), *body;
	json_t *v;
	size_t len;

	(void)arg;
	body = exchange_body(x, &len);
	v = json_loadb(body, len, 0, NULL);
	if (expected && strcmp(expected, id))
		exchange_reply_json(x, 421, json_object(), 0);
	else if (!strcmp(path, "/-/run-start"))
		on_start(x, v);
	else if (!strcmp(path, "/-/run-stop"))
		on_stop(x, v);
	else if (!strcmp(path, "/-/hold"))
		on_hold(x, v);
	else
		exchange_reply_json(x, 404, json_object(), 0);
	g_free(expected);
	json_decref(v);
}

static void tick(void *arg)
{
	uint64_t now = clock_mono_ms();

	(void)arg;
	for (guint i = runs->len; i-- > 0;) {
		const struct run *r = g_ptr_array_index(runs, i);

		if (clock_now() > lease_end_clock_ms)
			end_run(i, "lapsed");
		else if (r->stops_ms && now >= r->stops_ms)
			end_run(i, "stopped");
		else if (now >= r->ends_ms)
			end_run(i, "done");
	}
	if (held && (ends->len || now >= held_until_ms)) {
		reply_lists(held);
		held = NULL;
	}
	timer_start(loop, &tick_timer, TICK_MS);
}

static void on_beat_answer(void *arg, const struct http_result *r)
{
	(void)arg;
	(void)r;
}

static void beat(void *arg)
{
	json_t *v = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,"
		"s:I}",
		"service", "service", "addr", address, "zone", "kolkata",
		"version", "v1", "slots", 8, "state", "ready", "coldLeftMs", 0,
		"capacity", "cpu", 64000, "memMb", 65536, "gpu", 8, "labels",
		"a", rack, "clockMs", (json_int_t)clock_now(), "seq",
		(json_int_t)++seq, "born", (json_int_t)born_wall_ms);
	char *text = json_dumps(v, JSON_COMPACT);
	char *b64 = g_base64_encode((const guchar *)text, strlen(text));
	char *body = g_strdup_printf(
		"{\"expected\": [], \"remove\": [], \"puts\": [{\"table\": "
		"\"servers\", \"part\": \"\", \"key\": \"%s\", \"value\": "
		"\"%s\"}]}",
		id, b64);

	(void)arg;
	http_call_start(store, "POST", "/-/rows-tx", body, 1000, on_beat_answer,
			NULL);
	g_free(body);
	g_free(b64);
	free(text);
	json_decref(v);
	timer_start(loop, &beat_timer, HEARTBEAT_MS);
}

int main(int argc, char **argv)
{
	struct sockaddr_in listen_at, store_at;

	if (argc < 5 || !address_parse(argv[1], &listen_at) ||
	    !address_parse(argv[2], &store_at)) {
		fprintf(stderr, "usage: worker ADDRESS STORE ID RACK [LATE]\n");
		return 2;
	}
	address = argv[1];
	id = argv[3];
	rack = argv[4];
	late_ms = argc > 5 ? strtoul(argv[5], NULL, 10) : 0;
	signal(SIGPIPE, SIG_IGN);
	log_open("worker", id, LOG_INFO);
	born_ms = clock_mono_ms();
	born_wall_ms = clock_wall_ms();
	runs = g_ptr_array_new();
	ends = g_ptr_array_new();
	not_startable =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	loop = loop_create();
	store = http_pool_create(http_client_create(loop), &store_at, 4);
	if (!http_server_create(loop, &listen_at, 4u << 20, on_request, NULL)) {
		fprintf(stderr, "worker: the address is in use\n");
		return 1;
	}
	timer_init(&tick_timer, tick, NULL);
	timer_init(&beat_timer, beat, NULL);
	timer_init(&late_timer, on_late, NULL);
	timer_start(loop, &tick_timer, TICK_MS);
	beat(NULL);
	say("up", "-", 0, 0);
	loop_run(loop);
	return 0;
}
