/*
 * Simulates the worker processes of upstreams for tests. One process serves
 * many workers, each on its own address. A worker has slots and accelerators,
 * holds leases, and accepts lease commands only from the coordinator that
 * claimed it with the highest epoch. Quick runs need no claim.
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
 * The control address serves /control, which injects faults into one worker or
 * all of them, and /records, which lists every start.
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
#define UPDATE_INTERVAL_MS 10

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

struct worker_group {
	struct loop *loop;
	GPtrArray *workers;
	json_t *records; /* of every start, as built by add_record */
	struct timer update_timer;
	bool records_enabled;
};

struct worker {
	struct worker_group *group;
	char *name;
	char *address;
	uint32_t slots;
	uint32_t slots_used;
	uint32_t accelerator_mask;
	uint64_t incarnation;
	uint64_t booted_at_ms;
	uint64_t epoch;
	char *holder;
	uint64_t report_version; /* increases with every change of a lease */
	uint32_t term_ms;	 /* lease term set by the last claim */
	GHashTable *leases;	 /* id to struct lease */
	GHashTable *outcomes;	 /* lease to JSON outcome of runs with "keep" */

	/*
	 * Faults, set by the keys of the same names in /control. The counts are
	 * of answers to quick runs that the fault still affects.
	 */
	bool fail_all;
	bool ignore_stop;
	bool leaving;	       /* draining: accepts no new leases */
	bool silent;	       /* accepts requests, never answers them */
	bool starts_are_lost;  /* never gets requests to start leases */
	bool refuse_runs;      /* rejects quick runs as if no slot were free */
	uint32_t lose_answers; /* the run completes, no answer is sent */
	uint32_t half_answers; /* the JSON text is truncated to half */
	uint32_t swap_answers; /* the answer names another request */
	uint32_t late_ms;      /* added to the duration of every quick run */
};

struct lease {
	char *id;
	json_t *spec;  /* the lease's object in the body of /reserve */
	uint32_t mask; /* accelerators */
	uint32_t slots;
	enum lease_state state;
	uint64_t expires_at_ms;
	uint64_t stop_deadline_ms;
	uint64_t completes_at_ms;
	uint64_t started_at_ms;
	uint64_t progress_ms; /* run time completed before started_at_ms */
	bool renewable;
	json_t *record;
};

struct quick_run {
	struct worker *worker;
	struct timer timer;
	struct http_exchange *x;
	char *lease;
	char *request;
	char *payload;
	bool keep;
	json_t *record;
};

static void reply_json(struct http_exchange *x, int status, json_t *v)
{
	exchange_reply_json(x, status, v, 0);
}

static void reply_refused(struct http_exchange *x, int status,
			  const char *reason)
{
	reply_json(x, status, json_pack("{s:s}", "refused", reason));
}

/*
 * Add a start to the records and return its record, to be finished with
 * finish_record, or NULL if records are off. The part of a quick run is -1.
 */
static json_t *add_record(struct worker *w, const char *lease,
			  const char *subject, json_int_t part)
{
	json_t *r;

	if (!w->group->records_enabled)
		return NULL;
	r = json_pack("{s:s,s:s,s:s,s:I,s:I}", "worker", w->name, "lease",
		      lease, "subject", subject, "part", part, "started_ms",
		      (json_int_t)clock_mono_ms());
	json_array_append(w->group->records, r);
	return r;
}

static void finish_record(json_t *r, const char *outcome)
{
	if (!r)
		return;
	json_object_set_new(r, "ended_ms", json_integer(clock_mono_ms()));
	json_object_set_new(r, "how", json_string(outcome));
}

/* Quick runs */

static void free_quick_run(struct quick_run *r)
{
	json_decref(r->record);
	g_free(r->lease);
	g_free(r->request);
	g_free(r->payload);
	g_free(r);
}

static json_t *build_run_answer(const struct quick_run *r)
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

/* Send the answer, or break it according to the faults in force. */
static void send_run_answer(struct quick_run *r, json_t *answer)
{
	struct worker *w = r->worker;

	if (w->lose_answers) {
		w->lose_answers--;
		json_decref(answer);
		return; /* the exchange stays open, without an answer */
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
	reply_json(r->x, 200, answer);
}

static void complete_quick_run(void *arg)
{
	struct quick_run *r = arg;
	struct worker *w = r->worker;
	json_t *answer = build_run_answer(r);

	w->slots_used--;
	if (r->keep)
		g_hash_table_replace(
			w->outcomes, g_strdup(r->lease),
			w->fail_all ? json_pack("{s:s}", "state", "failed")
				    : json_deep_copy(answer));
	if (w->fail_all) {
		finish_record(r->record, "failed");
		json_decref(answer);
		reply_json(r->x, 500, json_pack("{s:s}", "failed", "fault"));
	} else {
		finish_record(r->record, "done");
		send_run_answer(r, answer);
	}
	free_quick_run(r);
}

static void handle_run(struct worker *w, struct http_exchange *x, json_t *v)
{
	const char *lease = json_str_or(v, "lease", "");
	struct quick_run *r;

	uint64_t expected = json_int_or(v, "incarnation", 0);

	if (expected && expected != w->incarnation) {
		reply_json(x, 409,
			   json_pack("{s:s,s:I}", "refused",
				     "other_incarnation", "incarnation",
				     (json_int_t)w->incarnation));
		return;
	}
	if (g_hash_table_contains(w->outcomes, lease)) {
		reply_refused(x, 409, "lease_known");
		return;
	}
	if (w->refuse_runs || w->slots_used >= w->slots) {
		reply_refused(x, 429, "no_slot");
		return;
	}
	r = g_new0(struct quick_run, 1);
	r->worker = w;
	r->x = x;
	r->lease = g_strdup(lease);
	r->request = g_strdup(json_str_or(v, "request", ""));
	r->payload = g_strdup(json_str_or(v, "payload", ""));
	r->keep = json_is_true(json_object_get(v, "keep"));
	if (r->keep)
		g_hash_table_replace(w->outcomes, g_strdup(lease),
				     json_pack("{s:s}", "state", "running"));
	r->record = add_record(w, lease, r->request, -1);
	w->slots_used++;
	timer_init(&r->timer, complete_quick_run, r);
	if (json_int_or(v, "run_ms", 0) + w->late_ms)
		timer_start(w->group->loop, &r->timer,
			    json_int_or(v, "run_ms", 0) + w->late_ms);
	else
		complete_quick_run(r);
}

/*
 * Answer with the outcome of a kept run. With "tombstone", an unknown lease is
 * marked, so that a late request to run it is rejected.
 */
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
	reply_json(x, 200, answer);
}

/* Leases */

static void free_lease(void *p)
{
	struct lease *l = p;

	json_decref(l->spec);
	json_decref(l->record);
	g_free(l->id);
	g_free(l);
}

static bool lease_holds_resources(const struct lease *l)
{
	return l->state <= LEASE_STOPPING;
}

/* Return the mask of the accelerators that leases hold. */
static uint32_t accelerators_in_use(const struct worker *w)
{
	GHashTableIter it;
	gpointer v;
	uint32_t m = 0;

	g_hash_table_iter_init(&it, w->leases);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (lease_holds_resources(v))
			m |= ((struct lease *)v)->mask;
	return m;
}

static uint64_t lease_progress_ms(const struct lease *l)
{
	if (l->state == LEASE_RUNNING || l->state == LEASE_STOPPING)
		return l->progress_ms + clock_mono_ms() - l->started_at_ms;
	return l->progress_ms;
}

static void end_lease(struct worker *w, struct lease *l, enum lease_state st)
{
	l->progress_ms = lease_progress_ms(l);
	l->state = st;
	w->slots_used -= l->slots;
	w->report_version++;
	finish_record(l->record, lease_state_names[st]);
}

/* Describe w; the leases are left out if the caller knows this version. */
static json_t *build_report(struct worker *w, uint64_t known_version)
{
	json_t *v = json_pack(
		"{s:I,s:I,s:I,s:b}", "epoch", (json_int_t)w->epoch, "version",
		(json_int_t)w->report_version, "incarnation",
		(json_int_t)w->incarnation, "leaving", (int)w->leaving);
	GHashTableIter it;
	gpointer p;
	json_t *all;

	if (known_version == w->report_version)
		return v;
	all = json_array();
	g_hash_table_iter_init(&it, w->leases);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct lease *l = p;
		json_t *o = json_deep_copy(l->spec);

		json_object_set_new(o, "state",
				    json_string(lease_state_names[l->state]));
		json_object_set_new(o, "progress_ms",
				    json_integer(lease_progress_ms(l)));
		json_array_append_new(all, o);
	}
	json_object_set_new(v, "leases", all);
	return v;
}

static void reply_stale_epoch(struct worker *w, struct http_exchange *x)
{
	reply_json(x, 409,
		   json_pack("{s:s,s:I,s:s}", "refused", "stale_epoch", "epoch",
			     (json_int_t)w->epoch, "holder", w->holder));
}

/* Return whether v comes from the coordinator that holds the claim. */
static bool is_from_claim_holder(const struct worker *w, const json_t *v)
{
	return (uint64_t)json_int_or(v, "epoch", 0) == w->epoch &&
	       !strcmp(json_str_or(v, "holder", ""), w->holder);
}

/* Renew all leases but those in "except", which are never renewed again. */
static void renew_leases(struct worker *w, const json_t *v)
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
			l->expires_at_ms = until;
	}
}

/*
 * Accept a claim unless its epoch is lower, or held by another holder. The
 * leases keep their ends.
 */
static void handle_claim(struct worker *w, struct http_exchange *x, json_t *v)
{
	uint64_t epoch = json_int_or(v, "epoch", 0);

	if (epoch < w->epoch ||
	    (epoch == w->epoch && !is_from_claim_holder(w, v))) {
		reply_stale_epoch(w, x);
		return;
	}
	w->epoch = epoch;
	g_free(w->holder);
	w->holder = g_strdup(json_str_or(v, "holder", ""));
	w->term_ms = json_int_or(v, "term_ms", 0);
	reply_json(x, 200, build_report(w, UINT64_MAX));
}

/* Renew the leases and forget the ended ones that "ack" lists. */
static void handle_renew(struct worker *w, struct http_exchange *x, json_t *v)
{
	json_t *ack;
	size_t i;

	if (!is_from_claim_holder(w, v)) {
		reply_stale_epoch(w, x);
		return;
	}
	renew_leases(w, v);
	json_array_foreach(json_object_get(v, "ack"), i, ack)
	{
		struct lease *l =
			g_hash_table_lookup(w->leases, json_string_value(ack));

		if (!l || lease_holds_resources(l))
			continue;
		g_hash_table_remove(w->leases, json_string_value(ack));
		w->report_version++;
	}
	reply_json(x, 200, build_report(w, json_int_or(v, "known", -1)));
}

/*
 * Return why the leases cannot be reserved, or NULL if they can. A worker that
 * has restarted waits for one lease term.
 */
static const char *check_reservation(struct worker *w, const json_t *list)
{
	uint32_t used = accelerators_in_use(w), slots = 0;
	json_t *o;
	size_t i;

	if (w->leaving)
		return "leaving";
	if (clock_mono_ms() < w->booted_at_ms + w->term_ms)
		return "just_started";
	json_array_foreach(list, i, o)
	{
		uint32_t mask = json_int_or(o, "mask", 0);

		if (mask & used || mask & ~w->accelerator_mask)
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
	const char *reason;
	json_t *o;
	size_t i;

	if (!is_from_claim_holder(w, v)) {
		reply_stale_epoch(w, x);
		return;
	}
	reason = check_reservation(w, list);
	if (reason) {
		reply_refused(x, 409, reason);
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
		l->expires_at_ms =
			clock_mono_ms() + json_int_or(v, "term_ms", 0);
		l->renewable = true;
		g_hash_table_replace(w->leases, l->id, l);
		w->slots_used += l->slots;
	}
	w->report_version++;
	reply_json(x, 200, build_report(w, w->report_version));
}

static void start_lease(struct worker *w, struct lease *l)
{
	uint64_t run_ms = json_int_or(l->spec, "run_ms", 0);

	l->state = LEASE_RUNNING;
	l->started_at_ms = clock_mono_ms();
	l->completes_at_ms =
		l->started_at_ms +
		(run_ms > l->progress_ms ? run_ms - l->progress_ms : 0);
	l->record = add_record(w, l->id, json_str_or(l->spec, "job", ""),
			       json_int_or(l->spec, "part", 0));
	if (l->record)
		json_object_set_new(
			l->record, "attempt",
			json_integer(json_int_or(l->spec, "attempt", 0)));
}

/* Return whether w knows every lease in the list of names. */
static bool all_leases_known(struct worker *w, const json_t *list)
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

	if (!is_from_claim_holder(w, v)) {
		reply_stale_epoch(w, x);
		return;
	}
	if (!all_leases_known(w, list)) {
		reply_refused(x, 409, "lease_unknown");
		return;
	}
	json_array_foreach(list, i, id)
	{
		struct lease *l =
			g_hash_table_lookup(w->leases, json_string_value(id));

		if (l->state == LEASE_RESERVED)
			start_lease(w, l);
	}
	w->report_version++;
	reply_json(x, 200, build_report(w, w->report_version));
}

/* Cancel reserved leases; stop running ones after "grace_ms". */
static void handle_release(struct worker *w, struct http_exchange *x, json_t *v)
{
	uint64_t grace = json_int_or(v, "grace_ms", 0);
	json_t *id;
	size_t i;

	if (!is_from_claim_holder(w, v)) {
		reply_stale_epoch(w, x);
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
			end_lease(w, l, LEASE_STOPPED);
		} else if (l->state == LEASE_RUNNING && !w->ignore_stop) {
			l->state = LEASE_STOPPING;
			l->stop_deadline_ms = clock_mono_ms() + grace;
		}
	}
	w->report_version++;
	reply_json(x, 200, build_report(w, UINT64_MAX));
}

static void dispatch_request(struct worker *w, struct http_exchange *x,
			     json_t *v)
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
	reply_refused(x, 404, "no_such_path");
}

static void handle_worker_request(void *arg, struct http_exchange *x)
{
	struct worker *w = arg;
	json_t *v;

	if (w->silent ||
	    (w->starts_are_lost && !strcmp(exchange_path(x), "/start")))
		return; /* never answered, as if the connection were dead */
	v = json_loads(exchange_body(x, NULL), 0, NULL);
	if (json_is_object(v))
		dispatch_request(w, x, v);
	else
		reply_refused(x, 400, "bad_json");
	json_decref(v);
}

/* Periodic update: tasks complete, stop or fail, and leases expire. */

/* Return whether the lease has expired and must be removed. */
static bool update_lease(struct worker *w, struct lease *l, uint64_t now)
{
	if (lease_holds_resources(l) && now >= l->expires_at_ms) {
		end_lease(w, l, LEASE_STOPPED);
		finish_record(l->record, "lapsed");
		return true;
	}
	if (l->state == LEASE_STOPPING && now >= l->stop_deadline_ms)
		end_lease(w, l, LEASE_STOPPED);
	else if (l->state == LEASE_RUNNING && w->fail_all)
		end_lease(w, l, LEASE_FAILED);
	else if (l->state == LEASE_RUNNING && now >= l->completes_at_ms)
		end_lease(w, l,
			  strcmp(json_str_or(l->spec, "payload", ""), "fail")
				  ? LEASE_DONE
				  : LEASE_FAILED);
	return false;
}

static void update_workers(void *arg)
{
	struct worker_group *g = arg;
	uint64_t now = clock_mono_ms();

	for (guint i = 0; i < g->workers->len; i++) {
		struct worker *w = g_ptr_array_index(g->workers, i);
		GHashTableIter it;
		gpointer l;

		g_hash_table_iter_init(&it, w->leases);
		while (g_hash_table_iter_next(&it, NULL, &l))
			if (update_lease(w, l, now))
				g_hash_table_iter_remove(&it);
	}
	timer_start(g->loop, &g->update_timer, UPDATE_INTERVAL_MS);
}

/* Control */

/* Drop the claim, all leases and kept runs; start a new incarnation. */
static void reboot_worker(struct worker *w)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, w->leases);
	while (g_hash_table_iter_next(&it, NULL, &p))
		if (lease_holds_resources(p)) {
			w->slots_used -= ((struct lease *)p)->slots;
			finish_record(((struct lease *)p)->record, "rebooted");
		}
	g_hash_table_remove_all(w->leases);
	g_hash_table_remove_all(w->outcomes);
	w->incarnation++;
	w->epoch = 0;
	w->report_version = 0;
	w->booted_at_ms = clock_mono_ms();
	g_free(w->holder);
	w->holder = g_strdup("");
}

static void update_flag(const json_t *v, const char *name, bool *flag)
{
	const json_t *b = json_object_get(v, name);

	if (json_is_boolean(b))
		*flag = json_is_true(b);
}

static void apply_faults(struct worker *w, const json_t *v)
{
	update_flag(v, "fail_all", &w->fail_all);
	update_flag(v, "ignore_stop", &w->ignore_stop);
	update_flag(v, "leaving", &w->leaving);
	update_flag(v, "silent", &w->silent);
	update_flag(v, "starts_are_lost", &w->starts_are_lost);
	update_flag(v, "refuse_runs", &w->refuse_runs);
	w->lose_answers = json_int_or(v, "lose_answers", w->lose_answers);
	w->half_answers = json_int_or(v, "half_answers", w->half_answers);
	w->swap_answers = json_int_or(v, "swap_answers", w->swap_answers);
	w->late_ms = json_int_or(v, "late_ms", w->late_ms);
	if (json_is_true(json_object_get(v, "reboot")))
		reboot_worker(w);
}

static void handle_control_request(void *arg, struct http_exchange *x)
{
	struct worker_group *g = arg;
	json_t *v;

	if (!strcmp(exchange_path(x), "/records")) {
		reply_json(x, 200,
			   json_pack("{s:I,s:O}", "now_ms",
				     (json_int_t)clock_mono_ms(), "records",
				     g->records));
		return;
	}
	v = json_loads(exchange_body(x, NULL), 0, NULL);
	for (guint i = 0; i < g->workers->len; i++) {
		struct worker *w = g_ptr_array_index(g->workers, i);
		const char *target = json_str_or(v, "worker", w->name);

		if (!strcmp(target, w->name))
			apply_faults(w, v);
	}
	json_decref(v);
	reply_json(x, 200, json_object());
}

static struct worker *create_worker(struct worker_group *g, const char *prefix,
				    uint32_t n, const struct sockaddr_in *at,
				    uint32_t accelerators, uint32_t slots)
{
	struct worker *w = g_new0(struct worker, 1);

	w->group = g;
	w->name = g_strdup_printf("%s%u", prefix, n);
	w->slots = slots;
	w->accelerator_mask =
		accelerators >= 32 ? UINT32_MAX : (1u << accelerators) - 1;
	w->incarnation = clock_wall_ms();
	w->holder = g_strdup("");
	w->leases = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  free_lease);
	w->outcomes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)json_decref);
	g_ptr_array_add(g->workers, w);
	if (http_server_create(g->loop, at, MAX_BODY_BYTES,
			       handle_worker_request, w))
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

static bool start_servers(struct worker_group *g, const struct options *o)
{
	struct sockaddr_in at;

	if (!address_parse(o->first, &at))
		return false;
	for (gint i = 0; i < o->count; i++) {
		if (!create_worker(g, o->prefix ? o->prefix : "w", i + 1, &at,
				   o->accelerators, o->slots))
			return false;
		at.sin_addr.s_addr = htonl(ntohl(at.sin_addr.s_addr) + 1);
	}
	return address_parse(o->control, &at) &&
	       http_server_create(g->loop, &at, MAX_BODY_BYTES,
				  handle_control_request, g);
}

int main(int argc, char **argv)
{
	struct worker_group group = {0};
	struct options options = {.count = 1, .accelerators = 8, .slots = 8};
	GError *err = NULL;
	int rc = 1;
	GOptionEntry entries[] = {
		{"first", 'f', 0, G_OPTION_ARG_STRING, &options.first,
		 "address of the first worker; later ones increment the IP",
		 "IP:PORT"},
		{"count", 'n', 0, G_OPTION_ARG_INT, &options.count,
		 "number of workers", "N"},
		{"prefix", 0, 0, G_OPTION_ARG_STRING, &options.prefix,
		 "prefix of the worker names, before a number", "NAME"},
		{"accelerators", 'a', 0, G_OPTION_ARG_INT,
		 &options.accelerators, "accelerators per worker", "N"},
		{"slots", 's', 0, G_OPTION_ARG_INT, &options.slots,
		 "slots per worker", "N"},
		{"control", 'c', 0, G_OPTION_ARG_STRING, &options.control,
		 "serve fault injection and records on this address",
		 "IP:PORT"},
		{"record", 'r', 0, G_OPTION_ARG_NONE, &options.record,
		 "keep a record of every start", NULL},
		{0}};
	GOptionContext *o = g_option_context_new("- simulated workers");

	g_option_context_add_main_entries(o, entries, NULL);
	if (!g_option_context_parse(o, &argc, &argv, &err)) {
		fprintf(stderr, "worker: %s\n", err->message);
		goto out;
	}
	log_open("worker", options.prefix ? options.prefix : "w", LOG_INFO);
	group.loop = loop_create();
	group.workers = g_ptr_array_new();
	group.records = json_array();
	group.records_enabled = options.record;
	timer_init(&group.update_timer, update_workers, &group);
	timer_start(group.loop, &group.update_timer, UPDATE_INTERVAL_MS);
	loop_on_signal(group.loop, on_signal, group.loop);
	if (!start_servers(&group, &options)) {
		fprintf(stderr, "worker: cannot listen, first address %s\n",
			options.first ? options.first : "(none)");
		goto out;
	}
	loop_run(group.loop);
	rc = 0;
out:
	g_clear_error(&err);
	g_option_context_free(o);
	return rc;
}
