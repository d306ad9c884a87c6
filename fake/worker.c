/*
 * Stand-in for workers: one process plays many, each on an address of
 * its own.  A worker has slots and accelerators, holds leases, and
 * obeys only the decider with the highest epoch that has claimed it.
 *
 *	POST /run      {"lease", "request", "payload", "run_ms", "keep"}
 *	POST /ask      {"lease", "tombstone"}
 *	POST /claim    {"epoch", "holder", "term_ms"}
 *	POST /renew    {"epoch", "holder", "term_ms", "known", "except",
 *			"ack"}
 *	POST /reserve  {"epoch", "holder", "term_ms", "leases": [...]}
 *	POST /start    {"epoch", "holder", "leases": ["id"...]}
 *	POST /release  {"epoch", "holder", "leases": [...], "grace_ms"}
 *
 * The control address serves /control, to set faults, and /records.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/http.h"
#include "lib/log.h"
#include "lib/schema.h"

#define MAX_BODY_BYTES (1u << 20)
#define TICK_MS 10

enum lease_state {
	LEASE_RESERVED,
	LEASE_RUNNING,
	LEASE_STOPPING,
	LEASE_DONE,
	LEASE_FAILED,
	LEASE_STOPPED,
};

static const char *const lease_state_names[] = {
	"reserved", "running", "stopping", "done", "failed", "stopped"};

struct site {
	struct loop *loop;
	GPtrArray *workers;
	json_t *records; /* every start: worker, lease, subject, times */
	struct timer tick;
	bool record;
};

struct worker {
	struct site *site;
	char *name;
	char *address;
	uint32_t slots;
	uint32_t slots_used;
	uint32_t accelerators; /* mask of all */
	uint64_t incarnation;
	uint64_t booted_ms;
	uint64_t epoch;
	char *holder;
	uint64_t version;
	uint32_t term_ms;
	GHashTable *leases;   /* id to struct lease */
	GHashTable *outcomes; /* kept runs: lease to json */
	/* faults */
	bool fail_all;
	bool ignore_stop;
	bool leaving;
	bool silent;	       /* takes requests, never answers */
	bool refuse_runs;      /* as if every slot were taken */
	uint32_t lose_answers; /* runs done, answers lost */
	uint32_t half_answers;
	uint32_t swap_answers; /* answers that name another request */
	uint32_t late_ms;
};

struct lease {
	char *id;
	json_t *spec; /* as reserved: job, attempt, part, parts, ... */
	uint32_t mask;
	uint32_t slots;
	enum lease_state state;
	uint64_t expires_ms;
	uint64_t stops_ms;
	uint64_t ends_ms;
	uint64_t started_ms;
	uint64_t progress_ms;
	bool renewable;
	json_t *record;
};

struct run {
	struct worker *worker;
	struct timer timer;
	struct http_exchange *x;
	char *lease;
	char *request;
	char *payload;
	bool keep;
	json_t *record;
};

static void reply(struct http_exchange *x, int status, json_t *v)
{
	exchange_reply_json(x, status, v, 0);
}

static void refuse(struct http_exchange *x, int status, const char *why)
{
	reply(x, status, json_pack("{s:s}", "refused", why));
}

static json_t *record_start(struct worker *w, const char *lease,
			    const char *subject, json_int_t part)
{
	json_t *r;

	if (!w->site->record)
		return NULL;
	r = json_pack("{s:s,s:s,s:s,s:I,s:I}", "worker", w->name, "lease",
		      lease, "subject", subject, "part", part, "started_ms",
		      (json_int_t)clock_mono_ms());
	json_array_append(w->site->records, r);
	return r;
}

static void record_end(json_t *r, const char *how)
{
	if (!r)
		return;
	json_object_set_new(r, "ended_ms", json_integer(clock_mono_ms()));
	json_object_set_new(r, "how", json_string(how));
}

/* Quick runs */

static void run_free(struct run *r)
{
	json_decref(r->record);
	g_free(r->lease);
	g_free(r->request);
	g_free(r->payload);
	g_free(r);
}

static json_t *run_answer(const struct run *r)
{
	char *text = g_strdup_printf("checked:%s", r->payload);
	json_t *v =
		json_pack("{s:s,s:s,s:I,s:s,s:b}", "lease", r->lease, "request",
			  r->request, "length", (json_int_t)strlen(text),
			  "answer", text, "leaving", (int)r->worker->leaving,
			  "incarnation", (json_int_t)r->worker->incarnation);

	g_free(text);
	return v;
}

static void run_reply(struct run *r, json_t *answer)
{
	struct worker *w = r->worker;

	if (w->lose_answers) {
		w->lose_answers--;
		json_decref(answer);
		return; /* the exchange is left open for good */
	}
	if (w->swap_answers) {
		w->swap_answers--;
		json_object_set_new(answer, "request",
				    json_string("somebody-elses"));
		json_object_set_new(answer, "answer",
				    json_string("checked:somebody-elses"));
		json_object_set_new(
			answer, "length",
			json_integer(strlen("checked:somebody-elses")));
	}
	if (w->half_answers) {
		char *s = json_dumps(answer, JSON_COMPACT);

		w->half_answers--;
		s[strlen(s) / 2] = '\0';
		exchange_reply(r->x, 200, "application/json", s, 0);
		free(s);
		json_decref(answer);
		return;
	}
	reply(r->x, 200, answer);
}

static void run_end(void *arg)
{
	struct run *r = arg;
	struct worker *w = r->worker;
	json_t *answer = run_answer(r);

	w->slots_used--;
	if (r->keep)
		g_hash_table_replace(
			w->outcomes, g_strdup(r->lease),
			w->fail_all ? json_pack("{s:s}", "state", "failed")
				    : json_deep_copy(answer));
	if (w->fail_all) {
		record_end(r->record, "failed");
		json_decref(answer);
		reply(r->x, 500, json_pack("{s:s}", "failed", "fault"));
	} else {
		record_end(r->record, "done");
		run_reply(r, answer);
	}
	run_free(r);
}

static void handle_run(struct worker *w, struct http_exchange *x, json_t *v)
{
	const char *lease = json_str_or(v, "lease", "");
	struct run *r;

	uint64_t expected = json_int_or(v, "incarnation", 0);

	if (expected && expected != w->incarnation) {
		reply(x, 409,
		      json_pack("{s:s,s:I}", "refused", "other_incarnation",
				"incarnation", (json_int_t)w->incarnation));
		return;
	}
	if (g_hash_table_contains(w->outcomes, lease)) {
		refuse(x, 409, "lease_known");
		return;
	}
	if (w->refuse_runs || w->slots_used >= w->slots) {
		refuse(x, 429, "no_slot");
		return;
	}
	r = g_new0(struct run, 1);
	r->worker = w;
	r->x = x;
	r->lease = g_strdup(lease);
	r->request = g_strdup(json_str_or(v, "request", ""));
	r->payload = g_strdup(json_str_or(v, "payload", ""));
	r->keep = json_is_true(json_object_get(v, "keep"));
	if (r->keep)
		g_hash_table_replace(w->outcomes, g_strdup(lease),
				     json_pack("{s:s}", "state", "running"));
	r->record = record_start(w, lease, r->request, -1);
	w->slots_used++;
	timer_init(&r->timer, run_end, r);
	if (json_int_or(v, "run_ms", 0) + w->late_ms)
		timer_start(w->site->loop, &r->timer,
			    json_int_or(v, "run_ms", 0) + w->late_ms);
	else
		run_end(r);
}

static void handle_ask(struct worker *w, struct http_exchange *x, json_t *v)
{
	const char *lease = json_str_or(v, "lease", "");
	bool tombstone = json_is_true(json_object_get(v, "tombstone"));
	json_t *o = g_hash_table_lookup(w->outcomes, lease);
	json_t *answer;

	if (o && json_object_get(o, "answer"))
		answer = json_pack("{s:s,s:O}", "state", "done", "outcome", o);
	else if (o)
		answer = json_copy(o);
	else
		answer = json_pack("{s:s}", "state",
				   tombstone ? "tombstoned" : "unknown");
	if (!o && tombstone)
		g_hash_table_replace(w->outcomes, g_strdup(lease),
				     json_copy(answer));
	json_object_set_new(answer, "incarnation",
			    json_integer(w->incarnation));
	reply(x, 200, answer);
}

/* Leases */

static void lease_free(void *p)
{
	struct lease *l = p;

	json_decref(l->spec);
	json_decref(l->record);
	g_free(l->id);
	g_free(l);
}

static bool lease_occupies(const struct lease *l)
{
	return l->state <= LEASE_STOPPING;
}

static uint32_t mask_used(const struct worker *w)
{
	GHashTableIter it;
	gpointer v;
	uint32_t m = 0;

	g_hash_table_iter_init(&it, w->leases);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (lease_occupies(v))
			m |= ((struct lease *)v)->mask;
	return m;
}

static uint64_t progress_of(const struct lease *l)
{
	if (l->state == LEASE_RUNNING || l->state == LEASE_STOPPING)
		return l->progress_ms + clock_mono_ms() - l->started_ms;
	return l->progress_ms;
}

static void lease_end(struct worker *w, struct lease *l, enum lease_state st)
{
	l->progress_ms = progress_of(l);
	l->state = st;
	w->slots_used -= l->slots;
	w->version++;
	record_end(l->record, lease_state_names[st]);
}

static json_t *report(struct worker *w, uint64_t known)
{
	json_t *v = json_pack(
		"{s:I,s:I,s:I,s:b}", "epoch", (json_int_t)w->epoch, "version",
		(json_int_t)w->version, "incarnation",
		(json_int_t)w->incarnation, "leaving", (int)w->leaving);
	GHashTableIter it;
	gpointer p;
	json_t *all;

	if (known == w->version)
		return v;
	all = json_array();
	g_hash_table_iter_init(&it, w->leases);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct lease *l = p;
		json_t *o = json_deep_copy(l->spec);

		json_object_set_new(o, "state",
				    json_string(lease_state_names[l->state]));
		json_object_set_new(o, "progress_ms",
				    json_integer(progress_of(l)));
		json_array_append_new(all, o);
	}
	json_object_set_new(v, "leases", all);
	return v;
}

static void refuse_stale(struct worker *w, struct http_exchange *x)
{
	reply(x, 409,
	      json_pack("{s:s,s:I,s:s}", "refused", "stale_epoch", "epoch",
			(json_int_t)w->epoch, "holder", w->holder));
}

/* Report whether v comes from the decider that holds the claim. */
static bool from_holder(const struct worker *w, const json_t *v)
{
	return (uint64_t)json_int_or(v, "epoch", 0) == w->epoch &&
	       !strcmp(json_str_or(v, "holder", ""), w->holder);
}

static void renew_all(struct worker *w, const json_t *v)
{
	const json_t *except = json_object_get(v, "except");
	uint64_t until = clock_mono_ms() + json_int_or(v, "term_ms", 0);
	GHashTableIter it;
	gpointer p;
	json_t *e;
	size_t i;

	json_array_foreach(except, i, e)
	{
		struct lease *l =
			g_hash_table_lookup(w->leases, json_string_value(e));

		if (l)
			l->renewable = false;
	}
	g_hash_table_iter_init(&it, w->leases);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct lease *l = p;

		if (l->renewable)
			l->expires_ms = until;
	}
}

static void handle_claim(struct worker *w, struct http_exchange *x, json_t *v)
{
	uint64_t epoch = json_int_or(v, "epoch", 0);

	if (epoch < w->epoch || (epoch == w->epoch && !from_holder(w, v))) {
		refuse_stale(w, x);
		return;
	}
	w->epoch = epoch;
	g_free(w->holder);
	w->holder = g_strdup(json_str_or(v, "holder", ""));
	w->term_ms = json_int_or(v, "term_ms", 0);
	renew_all(w, v);
	reply(x, 200, report(w, UINT64_MAX));
}

static void handle_renew(struct worker *w, struct http_exchange *x, json_t *v)
{
	json_t *ack;
	size_t i;

	if (!from_holder(w, v)) {
		refuse_stale(w, x);
		return;
	}
	renew_all(w, v);
	json_array_foreach(json_object_get(v, "ack"), i, ack)
	{
		struct lease *l =
			g_hash_table_lookup(w->leases, json_string_value(ack));

		if (!l || lease_occupies(l))
			continue;
		g_hash_table_remove(w->leases, json_string_value(ack));
		w->version++;
	}
	reply(x, 200, report(w, json_int_or(v, "known", -1)));
}

static const char *reserve_problem(struct worker *w, const json_t *list)
{
	uint32_t used = mask_used(w), slots = 0;
	json_t *o;
	size_t i;

	if (w->leaving)
		return "leaving";
	if (clock_mono_ms() < w->booted_ms + w->term_ms)
		return "just_started";
	json_array_foreach(list, i, o)
	{
		uint32_t mask = json_int_or(o, "mask", 0);

		if (mask & used || mask & ~w->accelerators)
			return "accelerators_in_use";
		if (g_hash_table_contains(w->leases,
					  json_str_or(o, "lease", "")))
			return "lease_known";
		used |= mask;
		slots += json_int_or(o, "slots", 1);
	}
	return w->slots_used + slots > w->slots ? "no_slot" : NULL;
}

static void handle_reserve(struct worker *w, struct http_exchange *x, json_t *v)
{
	const json_t *list = json_object_get(v, "leases");
	const char *why;
	json_t *o;
	size_t i;

	if (!from_holder(w, v)) {
		refuse_stale(w, x);
		return;
	}
	why = reserve_problem(w, list);
	if (why) {
		refuse(x, 409, why);
		return;
	}
	json_array_foreach(list, i, o)
	{
		struct lease *l = g_new0(struct lease, 1);

		l->id = g_strdup(json_str_or(o, "lease", ""));
		l->spec = json_incref(o);
		l->mask = json_int_or(o, "mask", 0);
		l->slots = json_int_or(o, "slots", 1);
		l->progress_ms = json_int_or(o, "progress_ms", 0);
		l->expires_ms = clock_mono_ms() + json_int_or(v, "term_ms", 0);
		l->renewable = true;
		g_hash_table_replace(w->leases, l->id, l);
		w->slots_used += l->slots;
	}
	w->version++;
	reply(x, 200, report(w, w->version));
}

static void lease_start(struct worker *w, struct lease *l)
{
	uint64_t run = json_int_or(l->spec, "run_ms", 0);

	l->state = LEASE_RUNNING;
	l->started_ms = clock_mono_ms();
	l->ends_ms = l->started_ms +
		     (run > l->progress_ms ? run - l->progress_ms : 0);
	l->record = record_start(w, l->id, json_str_or(l->spec, "job", ""),
				 json_int_or(l->spec, "part", 0));
	if (l->record)
		json_object_set_new(
			l->record, "attempt",
			json_integer(json_int_or(l->spec, "attempt", 0)));
}

/* Find the leases named in v; false when one is not held. */
static bool leases_held(struct worker *w, const json_t *list)
{
	json_t *id;
	size_t i;

	json_array_foreach(list, i, id) if (!g_hash_table_lookup(
						    w->leases,
						    json_string_value(
							    id))) return false;
	return true;
}

static void handle_start(struct worker *w, struct http_exchange *x, json_t *v)
{
	const json_t *list = json_object_get(v, "leases");
	json_t *id;
	size_t i;

	if (!from_holder(w, v)) {
		refuse_stale(w, x);
		return;
	}
	if (!leases_held(w, list)) {
		refuse(x, 409, "lease_unknown");
		return;
	}
	json_array_foreach(list, i, id)
	{
		struct lease *l =
			g_hash_table_lookup(w->leases, json_string_value(id));

		if (l->state == LEASE_RESERVED)
			lease_start(w, l);
	}
	w->version++;
	reply(x, 200, report(w, w->version));
}

static void handle_release(struct worker *w, struct http_exchange *x, json_t *v)
{
	uint64_t grace = json_int_or(v, "grace_ms", 0);
	json_t *id;
	size_t i;

	if (!from_holder(w, v)) {
		refuse_stale(w, x);
		return;
	}
	json_array_foreach(json_object_get(v, "leases"), i, id)
	{
		struct lease *l =
			g_hash_table_lookup(w->leases, json_string_value(id));

		if (!l)
			continue;
		l->renewable = false;
		if (l->state == LEASE_RESERVED) {
			lease_end(w, l, LEASE_STOPPED);
		} else if (l->state == LEASE_RUNNING && !w->ignore_stop) {
			l->state = LEASE_STOPPING;
			l->stops_ms = clock_mono_ms() + grace;
		}
	}
	w->version++;
	reply(x, 200, report(w, UINT64_MAX));
}

static void dispatch(struct worker *w, struct http_exchange *x, json_t *v)
{
	static const struct {
		const char *path;
		void (*fn)(struct worker *w, struct http_exchange *x,
			   json_t *v);
	} routes[] = {
		{"/run", handle_run},	      {"/ask", handle_ask},
		{"/claim", handle_claim},     {"/renew", handle_renew},
		{"/reserve", handle_reserve}, {"/start", handle_start},
		{"/release", handle_release},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (!strcmp(exchange_path(x), routes[i].path)) {
			routes[i].fn(w, x, v);
			return;
		}
	}
	refuse(x, 404, "no_such_path");
}

static void on_request(void *arg, struct http_exchange *x)
{
	struct worker *w = arg;
	json_t *v;

	if (w->silent)
		return; /* never answered, as by a dead connection */
	v = json_loads(exchange_body(x, NULL), 0, NULL);
	if (json_is_object(v))
		dispatch(w, x, v);
	else
		refuse(x, 400, "bad_json");
	json_decref(v);
}

/* Time passes: tasks end, stop or fail, leases lapse. */

static bool lease_tick(struct worker *w, struct lease *l, uint64_t now)
{
	if (lease_occupies(l) && now >= l->expires_ms) {
		lease_end(w, l, LEASE_STOPPED);
		record_end(l->record, "lapsed");
		return true;
	}
	if (l->state == LEASE_STOPPING && now >= l->stops_ms)
		lease_end(w, l, LEASE_STOPPED);
	else if (l->state == LEASE_RUNNING && w->fail_all)
		lease_end(w, l, LEASE_FAILED);
	else if (l->state == LEASE_RUNNING && now >= l->ends_ms)
		lease_end(w, l,
			  strcmp(json_str_or(l->spec, "payload", ""), "fail")
				  ? LEASE_DONE
				  : LEASE_FAILED);
	return false;
}

static void tick(void *arg)
{
	struct site *s = arg;
	uint64_t now = clock_mono_ms();

	for (guint i = 0; i < s->workers->len; i++) {
		struct worker *w = g_ptr_array_index(s->workers, i);
		GHashTableIter it;
		gpointer l;

		g_hash_table_iter_init(&it, w->leases);
		while (g_hash_table_iter_next(&it, NULL, &l))
			if (lease_tick(w, l, now))
				g_hash_table_iter_remove(&it);
	}
	timer_start(s->loop, &s->tick, TICK_MS);
}

/* Control */

static void worker_reboot(struct worker *w)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, w->leases);
	while (g_hash_table_iter_next(&it, NULL, &p))
		if (lease_occupies(p)) {
			w->slots_used -= ((struct lease *)p)->slots;
			record_end(((struct lease *)p)->record, "rebooted");
		}
	g_hash_table_remove_all(w->leases);
	g_hash_table_remove_all(w->outcomes);
	w->incarnation++;
	w->epoch = 0;
	w->version = 0;
	w->booted_ms = clock_mono_ms();
	g_free(w->holder);
	w->holder = g_strdup("");
}

static void set_flag(const json_t *v, const char *name, bool *flag)
{
	const json_t *b = json_object_get(v, name);

	if (json_is_boolean(b))
		*flag = json_is_true(b);
}

static void worker_control(struct worker *w, const json_t *v)
{
	set_flag(v, "fail_all", &w->fail_all);
	set_flag(v, "ignore_stop", &w->ignore_stop);
	set_flag(v, "leaving", &w->leaving);
	set_flag(v, "silent", &w->silent);
	set_flag(v, "refuse_runs", &w->refuse_runs);
	w->lose_answers = json_int_or(v, "lose_answers", w->lose_answers);
	w->half_answers = json_int_or(v, "half_answers", w->half_answers);
	w->swap_answers = json_int_or(v, "swap_answers", w->swap_answers);
	w->late_ms = json_int_or(v, "late_ms", w->late_ms);
	if (json_is_true(json_object_get(v, "reboot")))
		worker_reboot(w);
}

static void on_control(void *arg, struct http_exchange *x)
{
	struct site *s = arg;
	json_t *v;

	if (!strcmp(exchange_path(x), "/records")) {
		reply(x, 200,
		      json_pack("{s:I,s:O}", "now_ms",
				(json_int_t)clock_mono_ms(), "records",
				s->records));
		return;
	}
	v = json_loads(exchange_body(x, NULL), 0, NULL);
	for (guint i = 0; i < s->workers->len; i++) {
		struct worker *w = g_ptr_array_index(s->workers, i);
		const char *want = json_str_or(v, "worker", w->name);

		if (!strcmp(want, w->name))
			worker_control(w, v);
	}
	json_decref(v);
	reply(x, 200, json_object());
}

static struct worker *worker_create(struct site *s, const char *prefix,
				    uint32_t n, const struct sockaddr_in *at,
				    uint32_t accelerators, uint32_t slots)
{
	struct worker *w = g_new0(struct worker, 1);

	w->site = s;
	w->name = g_strdup_printf("%s%u", prefix, n);
	w->slots = slots;
	w->accelerators =
		accelerators >= 32 ? UINT32_MAX : (1u << accelerators) - 1;
	w->incarnation = clock_wall_ms();
	w->holder = g_strdup("");
	w->leases = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  lease_free);
	w->outcomes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)json_decref);
	g_ptr_array_add(s->workers, w);
	if (http_server_create(s->loop, at, MAX_BODY_BYTES, on_request, w))
		return w;
	return NULL;
}

static void on_signal(void *arg, int signo)
{
	(void)signo;
	loop_stop(arg);
}

struct options {
	char *first;
	char *control;
	char *prefix;
	gint count;
	gint accelerators;
	gint slots;
	gboolean record;
};

static bool start_all(struct site *s, const struct options *o)
{
	struct sockaddr_in at;

	if (!address_parse(o->first, &at))
		return false;
	for (gint i = 0; i < o->count; i++) {
		if (!worker_create(s, o->prefix ? o->prefix : "w", i + 1, &at,
				   o->accelerators, o->slots))
			return false;
		at.sin_addr.s_addr = htonl(ntohl(at.sin_addr.s_addr) + 1);
	}
	return address_parse(o->control, &at) &&
	       http_server_create(s->loop, &at, MAX_BODY_BYTES, on_control, s);
}

int main(int argc, char **argv)
{
	struct site s = {0};
	struct options op = {.count = 1, .accelerators = 8, .slots = 8};
	GError *err = NULL;
	int rc = 1;
	GOptionEntry entries[] = {
		{"first", 'f', 0, G_OPTION_ARG_STRING, &op.first,
		 "address of the first worker; the next ones count up",
		 "IP:PORT"},
		{"count", 'n', 0, G_OPTION_ARG_INT, &op.count,
		 "number of workers", "N"},
		{"prefix", 0, 0, G_OPTION_ARG_STRING, &op.prefix,
		 "names are this and a number", "NAME"},
		{"accelerators", 'a', 0, G_OPTION_ARG_INT, &op.accelerators,
		 "accelerators of each", "N"},
		{"slots", 's', 0, G_OPTION_ARG_INT, &op.slots, "slots of each",
		 "N"},
		{"control", 'c', 0, G_OPTION_ARG_STRING, &op.control,
		 "serve faults and records here", "IP:PORT"},
		{"record", 'r', 0, G_OPTION_ARG_NONE, &op.record,
		 "keep a record of every start", NULL},
		{0}};
	GOptionContext *o = g_option_context_new("- stand-in workers");

	g_option_context_add_main_entries(o, entries, NULL);
	if (!g_option_context_parse(o, &argc, &argv, &err)) {
		fprintf(stderr, "worker: %s\n", err->message);
		goto out;
	}
	log_open("worker", op.prefix ? op.prefix : "w", LOG_INFO);
	s.loop = loop_create();
	s.workers = g_ptr_array_new();
	s.records = json_array();
	s.record = op.record;
	timer_init(&s.tick, tick, &s);
	timer_start(s.loop, &s.tick, TICK_MS);
	loop_on_signal(s.loop, on_signal, s.loop);
	if (!start_all(&s, &op)) {
		fprintf(stderr, "worker: listen: %s: cannot\n",
			op.first ? op.first : "(none)");
		goto out;
	}
	loop_run(s.loop);
	rc = 0;
out:
	g_clear_error(&err);
	g_option_context_free(o);
	return rc;
}
