/*
 * A peer says hello with its name and then sends calls.  Calls of one who
 * is not known are declined; whoever speaks otherwise is disconnected;
 * both are counted.  An answer to a connection that has closed meanwhile
 * is dropped.
 */
#include <glib.h>
#include <string.h>

#include "lib/log.h"
#include "peer/guest.h"
#include "peer/roster.h"

struct guest {
	bool greeted;
	char name[PEER_NAME_BYTES];
	GHashTable *calls; /* struct guest_call that are open */
};

struct guest_call {
	struct frame_conn *conn; /* NULL: it was closed */
	struct guest *guest;
	uint64_t ticket;
};

struct guests {
	struct guests_env env;
	struct frame_listener *listener;
	GHashTable *open; /* connection to struct guest, owned */
};

static void guest_free(void *p)
{
	struct guest *g = p;
	GHashTableIter it;
	gpointer k;

	g_hash_table_iter_init(&it, g->calls);
	while (g_hash_table_iter_next(&it, &k, NULL))
		((struct guest_call *)k)->conn = NULL;
	g_hash_table_destroy(g->calls);
	g_free(g);
}

/* Answer c; res NULL: the call was not made. */
static void answer(const struct guest_call *c, const struct http_result *res)
{
	Lacewing__Envelope e = LACEWING__ENVELOPE__INIT;
	Lacewing__StoreAnswer a = LACEWING__STORE_ANSWER__INIT;

	a.ticket = c->ticket;
	a.declined = !res;
	if (res) {
		a.verdict = res->verdict.tag;
		a.status = res->status;
		a.body = (char *)res->body;
	}
	e.body_case = LACEWING__ENVELOPE__BODY_STORE_ANSWER;
	e.store_answer = &a;
	frame_send(c->conn, &e);
}

static void on_result(void *arg, const struct http_result *res)
{
	struct guest_call *c = arg;

	if (c->conn) {
		answer(c, res);
		g_hash_table_remove(c->guest->calls, c);
	}
	g_free(c);
}

static void take_call(struct guests *s, struct frame_conn *conn,
		      struct guest *g, const Lacewing__StoreCall *m)
{
	struct guest_call *c = g_new0(struct guest_call, 1);
	struct link_call call = {.method = m->method,
				 .path = m->path,
				 .body = *m->body ? m->body : NULL,
				 .timeout_ms = m->budget_ms};

	c->conn = conn;
	c->guest = g;
	c->ticket = m->ticket;
	if (s->env.known(s->env.arg, g->name) &&
	    s->env.serve(s->env.arg, &call, on_result, c)) {
		g_hash_table_add(g->calls, c);
		return;
	}
	answer(c, NULL);
	g_free(c);
}

static void note_refusal(const struct guests *s, const char *why)
{
	log_fields(LOG_WARN, "peer_refused", "{s:s}", "why", why);
	counter_add(s->env.counters, "peers_refused", NULL, 1);
}

static void turn_away(struct guests *s, struct frame_conn *conn,
		      const char *why)
{
	note_refusal(s, why);
	g_hash_table_remove(s->open, conn);
	frame_close(conn);
}

/*
 * Take in a hello.  One who is not known may have been started a moment
 * ago: its calls are declined until our table names it, so that it knows
 * that they were not made.
 * An earlier process of a known instance does no harm: its writes carry
 * conditions of their own.
 */
static void take_hello(struct guests *s, struct frame_conn *conn,
		       struct guest *g, const Lacewing__Hello *h)
{
	if (h->protocol != LINK_PROTOCOL) {
		turn_away(s, conn, "another version of the protocol");
		return;
	}
	g->greeted = true;
	g_strlcpy(g->name, h->name, sizeof(g->name));
	if (!s->env.known(s->env.arg, g->name))
		note_refusal(s, "not an instance of this deployment");
}

static void on_opened(void *arg, struct frame_conn *conn)
{
	struct guests *s = arg;
	struct guest *g = g_new0(struct guest, 1);

	g->calls = g_hash_table_new(NULL, NULL);
	g_hash_table_insert(s->open, conn, g);
}

static void on_received(void *arg, struct frame_conn *conn,
			const Lacewing__Envelope *e)
{
	struct guests *s = arg;
	struct guest *g = g_hash_table_lookup(s->open, conn);

	switch (e->body_case) {
	case LACEWING__ENVELOPE__BODY_HELLO:
		take_hello(s, conn, g, e->hello);
		return;
	case LACEWING__ENVELOPE__BODY_STORE_CALL:
		if (g->greeted)
			take_call(s, conn, g, e->store_call);
		else
			turn_away(s, conn, "a call without a hello");
		return;
	case LACEWING__ENVELOPE__BODY_HEARTBEAT:
	case LACEWING__ENVELOPE__BODY_ROWS:
	case LACEWING__ENVELOPE__BODY_ROWS_WANTED:
	case LACEWING__ENVELOPE__BODY_CHECK:
	case LACEWING__ENVELOPE__BODY_CHECK_ANSWER:
	case LACEWING__ENVELOPE__BODY_STORE_ANSWER:
	case LACEWING__ENVELOPE__BODY__NOT_SET:
	case _LACEWING__ENVELOPE__BODY__CASE_IS_INT_SIZE:
		turn_away(s, conn, "not a message of this protocol");
		return;
	}
}

static void on_closed(void *arg, struct frame_conn *conn, const char *why)
{
	struct guests *s = arg;
	const struct guest *g = g_hash_table_lookup(s->open, conn);

	if (!g->greeted)
		note_refusal(s, why);
	g_hash_table_remove(s->open, conn);
}

static const struct frame_events events = {
	.opened = on_opened, .received = on_received, .closed = on_closed};

/* Listen for peers; NULL when the address cannot be had. */
struct guests *guests_create(const struct guests_env *e,
			     const struct sockaddr_in *at)
{
	struct guests *s = g_new0(struct guests, 1);

	s->env = *e;
	s->open = g_hash_table_new_full(NULL, NULL, NULL, guest_free);
	s->listener = frame_listen(e->loop, at, &events, s);
	if (!s->listener) {
		guests_destroy(s);
		return NULL;
	}
	return s;
}

/* Close all connections and free s; calls that are open are dropped. */
void guests_destroy(struct guests *s)
{
	GHashTableIter it;
	gpointer k;

	if (!s)
		return;
	frame_listener_destroy(s->listener);
	g_hash_table_iter_init(&it, s->open);
	while (g_hash_table_iter_next(&it, &k, NULL))
		frame_close(k);
	g_hash_table_destroy(s->open);
	g_free(s);
}
