/*
 * The relay owns the connections to the store and the links to peers. Calls go
 * to the store directly until two direct calls in a row fail. They then go to
 * peers, those of the same domain first. A peer makes such a call only while
 * the store answers its own calls, and never forwards it to another peer.
 */
#include <glib.h>
#include <string.h>

#include "lib/log.h"
#include "peer/relayserver.h"
#include "peer/link.h"
#include "peer/relay.h"
#include "peer/storepath.h"

/*
 * Maximum calls in flight: one feed per table, one write, callers' reads, and
 * the same for some peers.
 */
#define STORE_CONNECTIONS_MAX 96
/* Maximum peers that are tried for one call. */
#define PEER_ATTEMPTS_MAX 3
/*
 * A peer that did not answer or could not be reached, or that declined a call,
 * is not used for this long.
 */
#define UNANSWERED_BACKOFF_MS 2000
#define DECLINED_BACKOFF_MS 300
/*
 * Interval and timeout of the probes of the store while calls go through peers.
 */
#define PROBE_INTERVAL_MS 400
#define PROBE_TIMEOUT_MS 300

/* HTTP statuses of calls that the store has refused and not executed. */
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_UNAVAILABLE 503

struct peer {
	char name[PEER_NAME_BYTES];
	struct peer_record record;
	uint64_t rank; /* the highest is used first */
	struct link *link;
	uint64_t backoff_until_ms;
};

/* A call of this instance. */
struct call {
	struct relay *relay;
	char *method;
	char *path;
	char *body; /* may be NULL */
	uint32_t timeout_ms;
	http_done_fn done;
	void *arg;
	uint32_t peer_attempts; /* number of peers tried */
	bool direct;		/* sent to the store directly */
	struct peer *peer;
};

/* A call made on behalf of a peer. */
struct peer_call {
	struct relay *relay;
	http_done_fn done;
	void *arg;
};

struct relay {
	struct relay_env env;
	struct http_pool *store;
	struct relay_server *server;
	struct store_path store_path;
	GHashTable *peers;	    /* name to struct peer, owned */
	GPtrArray *retired;	    /* removed peers that may still answer */
	GHashTable *calls;	    /* pending struct call */
	struct peer *last_answered; /* the peer that answered last, or NULL */
	struct timer probe;
};

static void peer_free(void *p)
{
	struct peer *q = p;

	link_destroy(q->link);
	g_free(q);
}

static void call_free(void *p)
{
	struct call *c = p;

	g_free(c->method);
	g_free(c->path);
	g_free(c->body);
	g_free(c);
}

/* Pass the result of c to its caller and free c. */
static void finish_call(struct call *c, const struct http_result *res)
{
	g_hash_table_steal(c->relay->calls, c);
	c->done(c->arg, res);
	call_free(c);
}

static bool is_refusal(const struct http_result *res)
{
	switch (res->verdict.tag) {
	case VERDICT_DID_NOT_RUN:
		return true;
	case VERDICT_MAY_HAVE_RUN:
		return false;
	case VERDICT_RAN:
		return res->status == STATUS_TOO_MANY_REQUESTS ||
		       res->status == STATUS_UNAVAILABLE;
	}
	return false;
}

/* Record the result of a direct call and log a change of the path. */
static void record_direct_result(struct relay *r, const struct http_result *res)
{
	bool answered = verdict_is_ran(res->verdict) && !is_refusal(res);

	if (!store_path_record(&r->store_path, answered, clock_mono_ms()))
		return;
	log_fields(answered ? LOG_INFO : LOG_WARN, "store_way",
		   "{s:s,s:i,s:s,s:i}", "way",
		   store_path_is_relayed(&r->store_path) ? "peers" : "direct",
		   "status", res->status, "verdict",
		   verdict_name(res->verdict.tag), "peers",
		   (int)g_hash_table_size(r->peers));
	if (store_path_is_relayed(&r->store_path) && !timer_running(&r->probe))
		timer_start(r->env.loop, &r->probe, PROBE_INTERVAL_MS);
}

static void on_probe_answer(void *arg, const struct http_result *res)
{
	struct relay *r = arg;

	record_direct_result(r, res);
	if (store_path_is_relayed(&r->store_path))
		timer_start(r->env.loop, &r->probe, PROBE_INTERVAL_MS);
}

static void on_probe(void *arg)
{
	struct relay *r = arg;

	if (!store_path_is_relayed(&r->store_path))
		return;
	if (!http_call_start(r->store, "GET", r->env.probe_path, NULL,
			     PROBE_TIMEOUT_MS, on_probe_answer, r))
		timer_start(r->env.loop, &r->probe, PROBE_INTERVAL_MS);
}

/* Return the rank of p, or 0 if it is not to be used now. */
static uint64_t current_rank(const struct relay *r, const struct peer *p)
{
	if (clock_mono_ms() < p->backoff_until_ms)
		return 0;
	if (p == r->last_answered)
		return UINT64_MAX;
	return p->rank;
}

static struct peer *choose_peer(const struct relay *r)
{
	struct peer *best = NULL;
	uint64_t best_rank = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, r->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		uint64_t rank = current_rank(r, v);

		if (rank <= best_rank)
			continue;
		best = v;
		best_rank = rank;
	}
	return best;
}

static bool send_to_store(struct call *c);
static bool send_to_peer(struct call *c);

static void count_relayed_call(const struct relay *r, enum link_outcome o)
{
	char label[40];

	g_snprintf(label, sizeof(label), "outcome=\"%s\"",
		   link_outcome_name(o));
	counter_add(r->env.counters, "store_relayed", label, 1);
}

/* No peer can make the call: send it to the store, unless that was tried. */
static void fall_back_to_store(struct call *c)
{
	struct http_result res = {
		.verdict = verdict_did_not_run(REASON_PLATFORM_OUT),
		.body = ""};

	if (c->direct || !send_to_store(c))
		finish_call(c, &res);
}

static void on_peer_answer(void *arg, enum link_outcome o,
			   const struct http_result *r)
{
	struct call *c = arg;
	struct relay *l = c->relay;
	struct http_result unknown = {
		.verdict = verdict_may_have_run(REASON_DEADLINE), .body = ""};
	struct peer *p = c->peer;

	count_relayed_call(l, o);
	switch (o) {
	case LINK_ANSWERED:
		if (g_hash_table_lookup(l->peers, p->name) == p)
			l->last_answered = p;
		finish_call(c, r);
		return;
	case LINK_DECLINED:
	case LINK_NOT_SENT:
		p->backoff_until_ms =
			clock_mono_ms() + (o == LINK_DECLINED
						   ? DECLINED_BACKOFF_MS
						   : UNANSWERED_BACKOFF_MS);
		if (c->peer_attempts >= PEER_ATTEMPTS_MAX || !send_to_peer(c))
			fall_back_to_store(c);
		return;
	case LINK_UNANSWERED:
		p->backoff_until_ms = clock_mono_ms() + UNANSWERED_BACKOFF_MS;
		finish_call(c, &unknown);
		return;
	}
}

/* Send c to the peer of the highest rank. Returns false if there is none. */
static bool send_to_peer(struct call *c)
{
	struct relay *r = c->relay;
	struct link_hello h = {.instance = r->env.instance,
			       .domain = r->env.domain,
			       .incarnation = r->env.incarnation};
	struct link_call lc = {.method = c->method,
			       .path = c->path,
			       .body = c->body,
			       .timeout_ms = c->timeout_ms};
	struct peer *p = choose_peer(r);

	if (!p)
		return false;
	if (!p->link)
		p->link = link_create(r->env.loop, &p->record.address, &h);
	c->peer = p;
	c->peer_attempts++;
	link_send_call(p->link, &lc, on_peer_answer, c);
	return true;
}

static void on_store_answer(void *arg, const struct http_result *res)
{
	struct call *c = arg;
	struct relay *r = c->relay;

	record_direct_result(r, res);
	if (is_refusal(res) && store_path_is_relayed(&r->store_path) &&
	    !c->peer_attempts && send_to_peer(c))
		return;
	finish_call(c, res);
}

/* Send c to the store. Returns false if too many calls are in flight. */
static bool send_to_store(struct call *c)
{
	c->direct = true;
	return http_call_start(c->relay->store, c->method, c->path, c->body,
			       c->timeout_ms, on_store_answer, c) != NULL;
}

/*
 * Send a store call; arg is the relay. done is called exactly once, never from
 * within this function. Returns false, without a callback, if too many calls
 * are in flight; nothing was sent then.
 */
bool relay_send_call(void *arg, const char *method, const char *path,
		     const char *body, uint32_t timeout_ms, http_done_fn done,
		     void *done_arg)
{
	struct relay *r = arg;
	struct call *c = g_new0(struct call, 1);

	c->relay = r;
	c->method = g_strdup(method);
	c->path = g_strdup(path);
	c->body = g_strdup(body);
	c->timeout_ms = timeout_ms;
	c->done = done;
	c->arg = done_arg;
	g_hash_table_add(r->calls, c);
	if ((store_path_is_relayed(&r->store_path) && send_to_peer(c)) ||
	    send_to_store(c))
		return true;
	g_hash_table_remove(r->calls, c);
	return false;
}

/* Return the number of known peers. */
uint32_t relay_count_peers(const struct relay *r)
{
	return g_hash_table_size(r->peers);
}

/* Return how many peers have at least twice this strength. */
uint32_t relay_count_stronger_peers(const struct relay *r, uint32_t strength)
{
	GHashTableIter it;
	gpointer p;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, r->peers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		n += ((struct peer *)p)->record.strength >= 2 * strength;
	return n;
}

/* Return how many peers have more than this memory, in megabytes. */
uint32_t relay_count_larger_peers(const struct relay *r, uint32_t memory_mb)
{
	GHashTableIter it;
	gpointer p;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, r->peers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		n += ((struct peer *)p)->record.memory_mb > memory_mb;
	return n;
}

/*
 * Return the least memory of the peers that publish it, in megabytes; 0 if none
 * does.
 */
uint32_t relay_least_memory_mb(const struct relay *r)
{
	uint32_t least_mb = 0;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, r->peers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		uint32_t mb = ((struct peer *)p)->record.memory_mb;

		if (mb && (!least_mb || mb < least_mb))
			least_mb = mb;
	}
	return least_mb;
}

/* Report whether calls currently go through peers. */
bool relay_uses_peers(const struct relay *r)
{
	return store_path_is_relayed(&r->store_path);
}

/* Free the removed peers that have no call pending. */
static void free_idle_retired_peers(struct relay *r)
{
	for (guint i = r->retired->len; i-- > 0;) {
		struct peer *p = g_ptr_array_index(r->retired, i);

		if (!p->link || link_is_idle(p->link))
			g_ptr_array_remove_index_fast(r->retired, i);
	}
}

/* Update the record of a peer; p is NULL if the peer is gone. */
void relay_update_peer(struct relay *r, const char *name,
		       const struct peer_record *p)
{
	struct peer *q = g_hash_table_lookup(r->peers, name);

	if (!strcmp(name, r->env.instance))
		return;
	if (q && p && q->record.incarnation == p->incarnation &&
	    !memcmp(&q->record.address, &p->address, sizeof(p->address)))
		return;
	if (q && r->last_answered == q)
		r->last_answered = NULL;
	if (q) {
		g_hash_table_steal(r->peers, name);
		g_ptr_array_add(r->retired, q);
	}
	free_idle_retired_peers(r);
	if (!p)
		return;
	q = g_new0(struct peer, 1);
	g_strlcpy(q->name, name, sizeof(q->name));
	q->record = *p;
	q->record.domain = NULL; /* the rank says what it is for */
	q->rank = peer_record_rank(p, name, r->env.domain, r->env.instance);
	g_hash_table_insert(r->peers, q->name, q);
}

static void on_peer_call_done(void *arg, const struct http_result *res)
{
	struct peer_call *s = arg;

	record_direct_result(s->relay, res);
	s->done(s->arg, res);
	g_free(s);
}

/*
 * Make a call on behalf of a peer. Returns false if the store does not answer
 * this instance, too many calls are in flight, or the call may have waited here
 * for longer than the peer waits for its answer: the process was paused.
 */
static bool serve_call(void *arg, const struct link_call *c, http_done_fn done,
		       void *done_arg)
{
	struct relay *r = arg;
	uint64_t waited_ms = loop_wakeup_delay_ms(r->env.loop);
	struct peer_call *s;

	counter_add(r->env.counters, "store_calls_of_peers", NULL, 1);
	if (!store_path_can_serve(&r->store_path, clock_mono_ms()) ||
	    waited_ms >= c->timeout_ms)
		return false;
	s = g_new0(struct peer_call, 1);
	s->relay = r;
	s->done = done;
	s->arg = done_arg;
	if (http_call_start(r->store, c->method, c->path, c->body,
			    c->timeout_ms - waited_ms, on_peer_call_done, s))
		return true;
	g_free(s);
	return false;
}

/* Report whether the table of instances names a peer. */
static bool is_known_peer(void *arg, const char *name)
{
	const struct relay *r = arg;

	return g_hash_table_contains(r->peers, name);
}

/*
 * Create the relay and listen for peers. Returns NULL if the address is not
 * available.
 */
struct relay *relay_create(const struct relay_env *e)
{
	struct relay *r = g_new0(struct relay, 1);
	struct relay_server_env g;

	r->env = *e;
	r->store = http_pool_create(e->http, &e->store, STORE_CONNECTIONS_MAX);
	r->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	r->retired = g_ptr_array_new_with_free_func(peer_free);
	r->calls = g_hash_table_new_full(NULL, NULL, call_free, NULL);
	timer_init(&r->probe, on_probe, r);
	g = (struct relay_server_env){.loop = e->loop,
				      .counters = e->counters,
				      .intake = e->intake,
				      .is_known_peer = is_known_peer,
				      .serve_call = serve_call,
				      .arg = r};
	r->server = relay_server_create(&g, &e->listen);
	if (!r->server) {
		relay_destroy(r);
		return NULL;
	}
	return r;
}

/* Drop all calls without calling their callbacks and free r. */
void relay_destroy(struct relay *r)
{
	if (!r)
		return;
	timer_stop(r->env.loop, &r->probe);
	relay_server_destroy(r->server);
	g_hash_table_destroy(r->peers);
	g_ptr_array_free(r->retired, TRUE);
	http_pool_destroy(r->store);
	g_hash_table_destroy(r->calls);
	g_free(r);
}
