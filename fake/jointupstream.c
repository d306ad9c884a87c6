/*
 * The upstreams of the simulated joint platform. A run takes one accelerator of
 * its upstream's room. An upstream that crashes forgets its runs, their ends
 * and the fencing token, and comes back under its id with a new start time. The
 * entry of an upstream in the table of servers lapses if it is away for long or
 * its heartbeats do not reach the store.
 */
#include <glib.h>
#include <string.h>

#include "fake/jointrecord.h"
#include "fake/jointupstream.h"
#include "lib/log.h"
#include "lib/schema.h"

#define MAX_BODY_BYTES (4u << 20)
#define LEASE_MAX_MS_DEFAULT 3000
#define STOP_DELAY_MS 50
#define ACCELERATOR_COUNT 8
/* A change of the room is listed with the next heartbeat. */
#define HEARTBEAT_MS 1500
#define SILENT_HEARTBEATS_MAX 3
/* Time for which a room that has shrunk still counts, once listed. */
#define CONTACT_MS 3000
#define CRASHED_MS_DEFAULT 1500
/* A late list call waits at most so long for an end that is not listed. */
#define LATE_FURTHER_MAX_MS 2000
#define LATE_POLL_MS 5
/* The payload of a task whose upstream crashes, before the delay in ms. */
#define CRASH_PAYLOAD "crash"
/* That of a task that is only for upstreams of one kind, before both. */
#define KIND_PAYLOAD "kind "
/* Starts of such a task are counted after this many crashes under it. */
#define CRASHES_BEFORE_FURTHER_STARTS 3

struct run {
	char *task;
	uint32_t number;
	uint64_t epoch; /* of the leader that started it */
	uint64_t started_ms;
	uint64_t completes_at_ms;
	uint64_t stops_at_ms; /* 0: no stop was requested */
	bool crashes;	      /* its upstream crashes when it completes */
};

/* A room that was listed until a time. */
struct past_room {
	uint32_t room;
	uint64_t until_ms;
};

struct upstream {
	struct joint_upstreams *all;
	struct sockaddr_in address;
	struct http_server *server; /* NULL: the port is still in use */
	char listed_address[ADDRESS_TEXT_BYTES];
	uint32_t number;
	char id[32];
	char domain[16];
	char rack[8];
	char kind[16]; /* its first label */
	uint64_t born_ms;
	uint64_t crashed_ms;	     /* 0: it is up */
	uint64_t silent_ms;	     /* 0: the store gets its heartbeats */
	uint64_t max_epoch;	     /* highest fencing token seen */
	uint64_t lease_end_clock_ms; /* in ms since born_ms, plus 1 */
	uint64_t voided_end_count;   /* number of the last voided end */
	GPtrArray *runs;
	json_t *unacknowledged_ends;   /* ended runs, oldest first */
	uint64_t end_count;	       /* number of the last ended run */
	uint64_t listed_end_count;     /* the same in its newest answer */
	GHashTable *not_startable;     /* task to its highest run to refuse */
	struct http_exchange *renewal; /* unanswered; NULL: none */
	uint64_t renewal_deadline_ms;
	GPtrArray *unanswered_starts; /* of runs that crash the upstream */
	uint32_t room;		      /* accelerators */
	GArray *past_rooms;	      /* struct past_room, oldest first */
	bool is_listed;
	bool entry_lapsed;   /* and it has been away ever since */
	bool listed_current; /* its entry shows its room and start time */
	uint32_t listed_room;
	uint64_t next_beat_ms;
	uint64_t seq;
	uint32_t cold_ms; /* listed as the time for which it is cold */
	/* list calls and stops that get no answer and are carried out late */
	uint32_t calls_to_delay;
};

/* One life of an upstream: requests to an earlier one get no answer. */
struct incarnation {
	struct upstream *upstream;
	uint64_t born_ms;
};

/* What happened under a task that crashes its upstreams. */
struct crash_count {
	uint32_t crashes;
	uint32_t further_starts;
};

struct joint_upstreams {
	struct loop *loop;
	struct joint_store *store;
	GPtrArray *list;
	uint32_t domains; /* number of failure domains */
	uint32_t starts_to_delay;
	uint32_t late_ms;	/* delay of calls that are carried out late */
	uint64_t crash_ms;	/* time for which a crashed upstream is away */
	uint64_t first_beat_ms; /* from its start to its first heartbeat */
	bool guarded;		/* starts beyond the room are refused */
	uint32_t lease_max_ms;
	bool entries_lapse; /* also while the store is away */
	/* A lapsed entry is back this long after the store or link, at most. */
	uint32_t entry_delay_ms;
	uint64_t store_away_ms; /* since when; 0: it is not away */
	struct joint_record *record;
	GHashTable *crash_tasks; /* task to struct crash_count */
	uint32_t crashes;
	uint32_t stopped_runs;
	uint32_t starts_over_room;
	uint32_t starts_on_other_kinds;
	json_t *lapses; /* runs that ended with their lease, see joint.c */
};

/*
 * A request that is carried out after a delay: a start by the incarnation that
 * took it, any other by whichever incarnation is there then.
 */
struct delayed_call {
	struct upstream *upstream;
	uint64_t born_ms;
	char *path;
	json_t *request;
	uint64_t until_ms; /* it is carried out by then */
	struct timer timer;
};

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

static void free_run(struct run *r)
{
	g_free(r->task);
	g_free(r);
}

static struct joint_run describe_run(const struct upstream *u,
				     const struct run *r)
{
	return (struct joint_run){r->task, u->id, r->number, r->epoch,
				  r->started_ms};
}

static void end_run(struct upstream *u, struct run *r, const char *reason)
{
	struct joint_run described = describe_run(u, r);

	json_array_append_new(u->unacknowledged_ends,
			      json_pack("[I,s,i,s,s]",
					(json_int_t)++u->end_count, r->task,
					(int)r->number, reason, ""));
	if (!strcmp(reason, "done"))
		joint_record_done(u->all->record, &described, u->end_count);
	u->all->stopped_runs += !strcmp(reason, "stopped");
	if (!strcmp(reason, "lapsed"))
		json_array_append_new(u->all->lapses,
				      json_pack("[s,s,I]", r->task, u->id,
						(json_int_t)clock_mono_ms()));
	forbid_start(u, r->task, r->number);
	g_ptr_array_remove(u->runs, r);
	free_run(r);
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

/* Extend the lease to "dueMs", at most the longest lease from now. */
static void extend_lease(struct upstream *u, const json_t *v)
{
	uint64_t max_lease_end_ms = upstream_clock_ms(u) + u->all->lease_max_ms;
	uint64_t lease_end_ms = json_int_or(v, "dueMs", 0);

	u->lease_end_clock_ms =
		MAX(u->lease_end_clock_ms, MIN(lease_end_ms, max_lease_end_ms));
}

/* Record a start on u of a task that may run already. */
static void record_start(struct upstream *u, const json_t *start)
{
	const struct joint_upstreams *us = u->all;
	struct joint_run started = {
		.task = json_str_or(start, "task", ""),
		.upstream = u->id,
		.number = json_int_or(start, "run", 0),
		.epoch = json_int_or(start, "fencingToken", 0)};
	struct joint_run other = {0};

	for (guint i = 0; i < us->list->len && !other.task; i++) {
		const struct upstream *at = g_ptr_array_index(us->list, i);
		const struct run *r = find_run(at, started.task);

		if (r)
			other = describe_run(at, r);
	}
	joint_record_start(us->record, &started, other.task ? &other : NULL);
}

/*
 * Return the room that a start is judged by: the largest one that is in force,
 * is listed, or was listed until less than CONTACT_MS ago.
 */
static uint32_t counted_room(const struct upstream *u)
{
	uint32_t room = MAX(u->room, u->listed_room);

	for (guint i = 0; i < u->past_rooms->len; i++) {
		const struct past_room *p =
			&g_array_index(u->past_rooms, struct past_room, i);

		if (clock_mono_ms() < p->until_ms + CONTACT_MS)
			room = MAX(room, p->room);
	}
	return room;
}

static struct crash_count *
find_or_create_crash_count(struct joint_upstreams *us, const char *task)
{
	struct crash_count *c = g_hash_table_lookup(us->crash_tasks, task);

	if (c)
		return c;
	c = g_new0(struct crash_count, 1);
	g_hash_table_insert(us->crash_tasks, g_strdup(task), c);
	return c;
}

/* Count a start on u, which is about to be carried out. */
static void count_start(struct upstream *u, const json_t *start, bool crashes)
{
	struct joint_upstreams *us = u->all;
	const char *task = json_str_or(start, "task", "");
	struct crash_count *c;

	record_start(u, start);
	if (u->runs->len >= counted_room(u)) {
		us->starts_over_room++;
		log_fields(LOG_WARN, "over_room", "{s:s,s:s,s:i,s:i}",
			   "upstream", u->id, "task", task, "runs",
			   (int)u->runs->len, "room", (int)u->room);
	}
	if (!crashes)
		return;
	c = find_or_create_crash_count(us, task);
	c->further_starts += c->crashes >= CRASHES_BEFORE_FURTHER_STARTS;
}

/*
 * Return the payload of a start without the kind that it is for, if any; count
 * it if that is not the kind of u.
 */
static const char *check_kind(struct upstream *u, const char *payload)
{
	const char *kind, *rest;

	if (!g_str_has_prefix(payload, KIND_PAYLOAD))
		return payload;
	kind = payload + strlen(KIND_PAYLOAD);
	rest = strchr(kind, ' ');
	if (!rest || strlen(u->kind) != (size_t)(rest - kind) ||
	    strncmp(u->kind, kind, rest - kind)) {
		u->all->starts_on_other_kinds++;
		log_fields(LOG_WARN, "other_kind", "{s:s,s:s,s:s}", "upstream",
			   u->id, "kind", u->kind, "payload", payload);
	}
	return rest ? rest + 1 : "";
}

/* Start a run. Return NULL, or the reason for a refusal. */
static const char *start_run(struct upstream *u, const json_t *v)
{
	const char *task = json_str_or(v, "task", "");
	uint32_t number = json_int_or(v, "run", 0);
	const char *payload = json_str_or(v, "spec", "100");
	bool crashes = g_str_has_prefix(payload, CRASH_PAYLOAD);
	struct run *r = find_run(u, task);

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
	if (u->all->guarded && u->runs->len >= u->room)
		return "room";
	count_start(u, v, crashes);
	payload = check_kind(u, payload);
	r = g_new0(struct run, 1);
	r->task = g_strdup(task);
	r->number = number;
	r->epoch = json_int_or(v, "fencingToken", 0);
	r->started_ms = clock_mono_ms();
	r->crashes = crashes;
	if (crashes)
		payload += strlen(CRASH_PAYLOAD);
	r->completes_at_ms =
		clock_mono_ms() + g_ascii_strtoull(payload, NULL, 10);
	g_ptr_array_add(u->runs, r);
	return NULL;
}

/* Stop a run, or forbid its start. Return NULL, or the reason for a refusal. */
static const char *stop_run(struct upstream *u, const json_t *v)
{
	const char *task = json_str_or(v, "task", "");
	uint32_t number = json_int_or(v, "run", 0);
	struct run *r = find_run(u, task);

	if ((uint64_t)json_int_or(v, "fencingToken", 0) < u->max_epoch)
		return "fence";
	if (r && r->number == number && !r->stops_at_ms)
		r->stops_at_ms = clock_mono_ms() + STOP_DELAY_MS;
	forbid_start(u, task, number);
	return NULL;
}

/* Drop the oldest end, which is acknowledged. */
static void acknowledge_end(struct upstream *u)
{
	const json_t *end = json_array_get(u->unacknowledged_ends, 0);

	joint_record_acknowledge(
		u->all->record, json_string_value(json_array_get(end, 1)),
		u->id, json_integer_value(json_array_get(end, 0)));
	json_array_remove(u->unacknowledged_ends, 0);
}

/*
 * Renew the lease and drop the ended runs up to "ackCursor". Return NULL, or the
 * reason for a refusal.
 */
static const char *renew(struct upstream *u, const json_t *v)
{
	uint64_t epoch = json_int_or(v, "fencingToken", 0);
	uint64_t ack_cursor = json_int_or(v, "ackCursor", 0);

	if (epoch < u->max_epoch)
		return "fence";
	u->max_epoch = epoch;
	extend_lease(u, v);
	while (json_array_size(u->unacknowledged_ends) &&
	       (uint64_t)json_integer_value(json_array_get(
		       json_array_get(u->unacknowledged_ends, 0), 0)) <=
		       ack_cursor)
		acknowledge_end(u);
	return NULL;
}

/*
 * Carry out a late call. A list call that acknowledges ends waits further for an
 * end that no answer has shown yet, which is when it does most harm.
 */
static void carry_out_late(void *arg)
{
	struct delayed_call *d = arg;
	struct upstream *u = d->upstream;
	const char *reason = "down";

	if (json_int_or(d->request, "ackCursor", 0) &&
	    (u->crashed_ms || u->end_count == u->listed_end_count) &&
	    clock_mono_ms() < d->until_ms) {
		timer_start(u->all->loop, &d->timer, LATE_POLL_MS);
		return;
	}
	if (!u->crashed_ms) {
		if (!strcmp(d->path, "/-/hold"))
			reason = renew(u, d->request);
		else if (!strcmp(d->path, "/-/run-stop"))
			reason = stop_run(u, d->request);
		else if (u->born_ms == d->born_ms)
			reason = start_run(u, d->request);
	}
	log_fields(LOG_INFO, "late_call", "{s:s,s:s,s:b,s:s,s:I}", "upstream",
		   u->id, "path", d->path, "later_incarnation",
		   u->born_ms != d->born_ms, "refused", reason ? reason : "",
		   "cursor",
		   (json_int_t)json_int_or(d->request, "ackCursor", 0));
	json_decref(d->request);
	g_free(d->path);
	g_free(d);
}

/* Leave a call unanswered and carry it out later. */
static void delay_call(struct upstream *u, const char *path, const json_t *v)
{
	struct delayed_call *d = g_new0(struct delayed_call, 1);

	d->upstream = u;
	d->born_ms = u->born_ms;
	d->path = g_strdup(path);
	d->request = json_deep_copy(v);
	d->until_ms = clock_mono_ms() + u->all->late_ms + LATE_FURTHER_MAX_MS;
	timer_init(&d->timer, carry_out_late, d);
	timer_start(u->all->loop, &d->timer, u->all->late_ms);
}

static void handle_run_start(struct upstream *u, struct http_exchange *x,
			     const json_t *v)
{
	const char *reason;
	struct run *r;

	if (u->all->starts_to_delay) {
		u->all->starts_to_delay--;
		delay_call(u, "/-/run-start", v);
		return; /* leave the exchange unanswered */
	}
	reason = start_run(u, v);
	r = find_run(u, json_str_or(v, "task", ""));
	if (reason)
		reply_refused(u, x, reason);
	else if (r && r->crashes && r->completes_at_ms <= clock_mono_ms())
		g_ptr_array_add(u->unanswered_starts, x);
	else
		exchange_reply_json(x, 200, build_answer(u), 0);
}

static void handle_run_stop(struct upstream *u, struct http_exchange *x,
			    const json_t *v)
{
	const char *reason = stop_run(u, v);

	if (reason)
		reply_refused(u, x, reason);
	else
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
	u->listed_end_count = u->end_count;
	exchange_reply_json(u->renewal, 200, v, 0);
	u->renewal = NULL;
}

/*
 * Renew the lease, and hold the answer back until a run ends or "waitMs" has
 * elapsed. An earlier renewal that is still open is answered.
 */
static void handle_renewal(struct upstream *u, struct http_exchange *x,
			   const json_t *v)
{
	const char *reason = renew(u, v);

	if (reason) {
		reply_refused(u, x, reason);
		return;
	}
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
	const struct incarnation *n = arg;
	struct upstream *u = n->upstream;
	size_t len;
	const char *body, *path = exchange_path(x);
	json_t *v;
	char *id;

	if (u->crashed_ms || u->born_ms != n->born_ms) {
		exchange_abort(x);
		return;
	}
	body = exchange_body(x, &len);
	v = json_loadb(body, len, 0, NULL);
	id = exchange_header(x, "lacewingspur-expect-instance");
	if (id && strcmp(id, u->id))
		exchange_reply_json(x, 421, json_object(), 0);
	else if (!strcmp(path, "/-/run-start"))
		handle_run_start(u, x, v);
	else if (u->calls_to_delay && u->calls_to_delay--)
		delay_call(u, path, v);
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
			joint_record_void(
				u->all->record,
				json_string_value(json_array_get(end, 1)),
				u->id, n);
	}
	u->voided_end_count = u->end_count;
}

/*
 * Crash u: break its connections, refuse new ones, and forget its runs, their
 * ends and what it knows of the leader. Ends that nobody has acknowledged are
 * not binding.
 */
static void crash_upstream(struct upstream *u)
{
	log_fields(LOG_WARN, "crash", "{s:s,s:i}", "upstream", u->id, "runs",
		   (int)u->runs->len);
	u->crashed_ms = clock_mono_ms();
	u->all->crashes++;
	http_server_destroy(u->server);
	u->server = NULL;
	if (u->renewal)
		exchange_abort(u->renewal);
	u->renewal = NULL;
	for (guint i = 0; i < u->unanswered_starts->len; i++)
		exchange_abort(g_ptr_array_index(u->unanswered_starts, i));
	g_ptr_array_set_size(u->unanswered_starts, 0);
	for (guint i = 0; i < u->runs->len; i++) {
		struct run *r = g_ptr_array_index(u->runs, i);

		if (r->crashes)
			find_or_create_crash_count(u->all, r->task)->crashes++;
		free_run(r);
	}
	g_ptr_array_set_size(u->runs, 0);
	void_unacknowledged_ends(u);
	json_array_clear(u->unacknowledged_ends);
	g_hash_table_remove_all(u->not_startable);
	u->max_epoch = 0;
	u->lease_end_clock_ms = 0;
	u->end_count = u->voided_end_count = u->listed_end_count = 0;
}

/* Start a new life of u on its address, unless the port is still in use. */
static void bring_up(struct upstream *u)
{
	struct incarnation *n = g_new0(struct incarnation, 1);

	/* h2o's connections refer to it until the process exits */
	n->upstream = u;
	n->born_ms = clock_mono_ms();
	u->server =
		http_server_create(u->all->loop, &u->address, MAX_BODY_BYTES,
				   handle_upstream_request, n);
	if (!u->server) {
		g_free(n);
		return;
	}
	u->born_ms = n->born_ms;
	u->crashed_ms = 0;
	u->seq = 0;
	u->listed_current = false;
	u->next_beat_ms = n->born_ms + u->all->first_beat_ms;
}

/* Write the entry of u in the table of servers. */
static void list_upstream(struct upstream *u)
{
	json_t *v = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,"
		"s:I}",
		"service", "service", "addr", u->listed_address, "zone",
		u->domain, "version", "v1", "slots", 8, "state", "ready",
		"coldLeftMs", (int)u->cold_ms, "capacity", "cpu", 64000,
		"memMb", 65536, "gpu", (int)u->room, "labels", u->kind, u->rack,
		"clockMs", (json_int_t)upstream_clock_ms(u), "seq",
		(json_int_t)++u->seq, "born", (json_int_t)u->born_ms);
	struct past_room p = {u->listed_room, clock_mono_ms()};

	joint_store_put(u->all->store, "servers", u->id, v);
	json_decref(v);
	if (u->listed_room != u->room)
		g_array_append_val(u->past_rooms, p);
	u->listed_room = u->room;
	u->is_listed = u->listed_current = true;
}

/* Return since when the store gets no heartbeat of u, 0 if it gets them. */
static uint64_t away_since_ms(const struct upstream *u)
{
	if (u->crashed_ms)
		return u->crashed_ms;
	return u->silent_ms ? u->silent_ms : u->all->store_away_ms;
}

/* Remove the entry of u if it has been away for long enough. */
static void expire_entry(struct upstream *u, uint64_t away_ms)
{
	if (!u->is_listed ||
	    clock_mono_ms() < away_ms + SILENT_HEARTBEATS_MAX * HEARTBEAT_MS)
		return;
	joint_store_remove(u->all->store, "servers", u->id);
	u->is_listed = false;
	u->listed_current = false;
	u->entry_lapsed = true;
}

/*
 * Return when the entry of u, which is not away any more, is listed again. The
 * entries of several upstreams return one after the other.
 */
static uint64_t entry_returns_ms(const struct upstream *u)
{
	return clock_mono_ms() +
	       (uint64_t)u->all->entry_delay_ms * (4 + u->number % 5) / 8;
}

/*
 * Send the heartbeat of u if it is due and the store takes it. The entry of an
 * upstream that is away lapses.
 */
static void beat(struct upstream *u)
{
	uint64_t now = clock_mono_ms(), away_ms = away_since_ms(u);

	if (!joint_store_is_available(u->all->store) && !u->all->entries_lapse)
		return;
	if (away_ms) {
		expire_entry(u, away_ms);
		return;
	}
	if (u->entry_lapsed && u->all->entry_delay_ms)
		u->next_beat_ms = entry_returns_ms(u);
	u->entry_lapsed = false;
	if (now < u->next_beat_ms)
		return;
	u->next_beat_ms = now + HEARTBEAT_MS;
	if (!u->listed_current)
		list_upstream(u);
}

/* End the runs whose time is over. Return true if one crashes the upstream. */
static bool end_due_runs(struct upstream *u)
{
	uint64_t now = clock_mono_ms();

	for (guint i = u->runs->len; i-- > 0;) {
		struct run *r = g_ptr_array_index(u->runs, i);

		if (upstream_clock_ms(u) > u->lease_end_clock_ms)
			end_run(u, r, "lapsed");
		else if (now >= r->completes_at_ms && r->crashes)
			return true;
		else if (now >= r->completes_at_ms)
			end_run(u, r, "done");
		else if (r->stops_at_ms && now >= r->stops_at_ms)
			end_run(u, r, "stopped");
	}
	return false;
}

static void update_upstream(struct upstream *u)
{
	uint64_t now = clock_mono_ms();

	if (u->crashed_ms && now >= u->crashed_ms + u->all->crash_ms)
		bring_up(u);
	beat(u);
	if (u->crashed_ms)
		return;
	if (upstream_clock_ms(u) > u->lease_end_clock_ms)
		void_unacknowledged_ends(u);
	if (end_due_runs(u)) {
		crash_upstream(u);
		return;
	}
	if (u->renewal && (json_array_size(u->unacknowledged_ends) ||
			   now >= u->renewal_deadline_ms))
		answer_renewal(u);
}

/*
 * Create an empty set of upstreams that register in s and are spread over so
 * many failure domains.
 */
struct joint_upstreams *
joint_upstreams_create(struct loop *l, struct joint_store *s, uint32_t domains)
{
	struct joint_upstreams *us = g_new0(struct joint_upstreams, 1);

	us->loop = l;
	us->store = s;
	us->list = g_ptr_array_new();
	us->domains = domains;
	us->lapses = json_array();
	us->guarded = true;
	us->crash_ms = CRASHED_MS_DEFAULT;
	us->lease_max_ms = LEASE_MAX_MS_DEFAULT;
	us->record = joint_record_create();
	us->crash_tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return us;
}

/*
 * Add an upstream and its entry in the table of servers. Its IP and the listed
 * one are the given ones plus its number. Return false if the port is in use.
 */
bool joint_upstreams_add(struct joint_upstreams *us, struct sockaddr_in address,
			 struct sockaddr_in listed)
{
	struct upstream *u = g_new0(struct upstream, 1);
	uint32_t number = us->list->len;

	u->all = us;
	u->number = number;
	u->address = address;
	u->address.sin_addr.s_addr =
		htonl(ntohl(address.sin_addr.s_addr) + number);
	listed.sin_addr.s_addr = htonl(ntohl(listed.sin_addr.s_addr) + number);
	address_format(&listed, u->listed_address, sizeof(u->listed_address));
	g_snprintf(u->id, sizeof(u->id), "w%u", number);
	g_strlcpy(u->domain, "kolkata", sizeof(u->domain));
	if (us->domains > 1)
		g_snprintf(u->domain, sizeof(u->domain), "domain%u",
			   number % us->domains);
	g_strlcpy(u->rack, number < 8 ? "r0" : "r1", sizeof(u->rack));
	g_strlcpy(u->kind, "a", sizeof(u->kind));
	u->room = ACCELERATOR_COUNT;
	u->runs = g_ptr_array_new();
	u->unacknowledged_ends = json_array();
	u->unanswered_starts = g_ptr_array_new();
	u->past_rooms = g_array_new(FALSE, FALSE, sizeof(struct past_room));
	u->not_startable =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_ptr_array_add(us->list, u);
	bring_up(u);
	if (u->server)
		beat(u);
	return u->server != NULL;
}

static void control_upstream(struct upstream *u, const json_t *command)
{
	const json_t *silent = json_object_get(command, "silent");

	u->room = json_int_or(command, "room", u->room);
	u->cold_ms = json_int_or(command, "cold_ms", u->cold_ms);
	u->calls_to_delay =
		json_int_or(command, "late_calls", u->calls_to_delay);
	g_strlcpy(u->kind, json_str_or(command, "kind", u->kind),
		  sizeof(u->kind));
	if (json_is_true(json_object_get(command, "crash")) && !u->crashed_ms)
		crash_upstream(u);
	if (silent)
		u->silent_ms = json_is_true(silent) ? clock_mono_ms() : 0;
	u->listed_current = false;
}

/* Apply the part of a control command that concerns the upstreams. */
void joint_upstreams_control(struct joint_upstreams *us, const json_t *command)
{
	json_int_t number = json_int_or(command, "upstream", -1);
	json_int_t domain = json_int_or(command, "domain", -1);
	const json_t *guarded = json_object_get(command, "guarded");
	const json_t *lapse = json_object_get(command, "entries_lapse");

	us->starts_to_delay =
		json_int_or(command, "late_starts", us->starts_to_delay);
	us->late_ms = json_int_or(command, "late_ms", us->late_ms);
	us->crash_ms = json_int_or(command, "crash_ms", us->crash_ms);
	us->first_beat_ms =
		json_int_or(command, "first_beat_ms", us->first_beat_ms);
	us->lease_max_ms =
		json_int_or(command, "lease_max_ms", us->lease_max_ms);
	us->entry_delay_ms =
		json_int_or(command, "entry_delay_ms", us->entry_delay_ms);
	if (guarded)
		us->guarded = json_is_true(guarded);
	if (lapse)
		us->entries_lapse = json_is_true(lapse);
	for (guint i = 0; i < us->list->len; i++)
		if (number == i || domain == i % us->domains)
			control_upstream(g_ptr_array_index(us->list, i),
					 command);
}

/* Advance all upstreams to the present. */
void joint_upstreams_update(struct joint_upstreams *us)
{
	if (joint_store_is_available(us->store) || !us->entries_lapse)
		us->store_away_ms = 0;
	else if (!us->store_away_ms)
		us->store_away_ms = clock_mono_ms();
	for (guint i = 0; i < us->list->len; i++)
		update_upstream(g_ptr_array_index(us->list, i));
}

/* Return the counts of starts, runs and crashes as a JSON object. */
json_t *joint_upstreams_record(const struct joint_upstreams *us)
{
	json_t *tasks = json_array(), *v;
	json_int_t running = 0, unlisted = 0;
	GHashTableIter it;
	gpointer name, value;

	for (guint i = 0; i < us->list->len; i++) {
		const struct upstream *u = g_ptr_array_index(us->list, i);

		running += u->runs->len;
		unlisted += !u->listed_current;
	}
	g_hash_table_iter_init(&it, us->crash_tasks);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		const struct crash_count *c = value;

		json_array_append_new(tasks, json_pack("[s,i,i]", name,
						       (int)c->crashes,
						       (int)c->further_starts));
	}
	v = json_pack("{s:I,s:I,s:i,s:i,s:i,s:i,s:o,s:O}", "running", running,
		      "unlisted", unlisted, "crashes", (int)us->crashes,
		      "stopped", (int)us->stopped_runs, "over_room",
		      (int)us->starts_over_room, "on_other_kind",
		      (int)us->starts_on_other_kinds, "crash_tasks", tasks,
		      "lapses", us->lapses);
	joint_record_add_to(us->record, v);
	return v;
}
