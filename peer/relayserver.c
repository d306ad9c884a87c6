/*
 * A peer sends a hello with its name and then store calls. Calls of an unknown
 * peer are declined, and a client that breaks the protocol is disconnected;
 * both are counted. The answer to a call whose connection has closed is
 * dropped.
 */
#include <glib.h>
#include <string.h>

#include "lib/log.h"
#include "peer/relayserver.h"
#include "peer/roster.h"

/* Longest hello, and most pending calls of a peer, whose pool has fewer. */
#define HELLO_MAX_BYTES 1024
#define CALLS_MAX 1024

struct relay_client {
	bool greeted; /* a valid hello was received */
	char name[PEER_NAME_BYTES];
	GHashTable *calls; /* pending struct client_call */
};

struct client_call {
	struct frame_conn *conn; /* NULL after the connection has closed */
	struct relay_client *client;
	uint64_t ticket; /* matches the answer to the call */
};

struct relay_server {
	struct relay_server_env env;
	struct frame_listener *listener;
	GHashTable *clients; /* connection to struct relay_client, owned */
};

static void client_free(void *p)
{
	struct relay_client *client = p;
	GHashTableIter it;
	gpointer k;

	g_hash_table_iter_init(&it, client->calls);
	while (g_hash_table_iter_next(&it, &k, NULL))
		((struct client_call *)k)->conn = NULL;
	g_hash_table_destroy(client->calls);
	g_free(client);
}

/* Answer c. It is declined if res is NULL: the call was not made. */
static void send_answer(const struct client_call *c,
			const struct http_result *res)
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
	struct client_call *c = arg;

	if (c->conn) {
		send_answer(c, res);
		g_hash_table_remove(c->client->calls, c);
	}
	g_free(c);
}

static void handle_call(struct relay_server *s, struct frame_conn *conn,
			struct relay_client *client,
			const Lacewing__StoreCall *m)
{
	struct client_call *c = g_new0(struct client_call, 1);
	struct link_call call = {.method = m->method,
				 .path = m->path,
				 .body = *m->body ? m->body : NULL,
				 .timeout_ms = m->budget_ms};

	c->conn = conn;
	c->client = client;
	c->ticket = m->ticket;
	if (g_hash_table_size(client->calls) < CALLS_MAX &&
	    s->env.is_known_peer(s->env.arg, client->name) &&
	    s->env.serve_call(s->env.arg, &call, on_result, c)) {
		g_hash_table_add(client->calls, c);
		return;
	}
	send_answer(c, NULL);
	g_free(c);
}

static void record_refusal(const struct relay_server *s, const char *why)
{
	log_fields(LOG_WARN, "peer_refused", "{s:s}", "why", why);
	counter_add(s->env.counters, "peers_refused", NULL, 1);
}

static void disconnect_client(struct relay_server *s, struct frame_conn *conn,
			      const char *why)
{
	record_refusal(s, why);
	g_hash_table_remove(s->clients, conn);
	frame_close(conn);
}

/*
 * Handle a hello. An unknown peer may have just started, so it stays connected
 * and its calls are declined until the table of instances names it: it then
 * knows that they were not made.
 *
 * An earlier process of a known instance is accepted. It does no harm, because
 * its writes are conditional on row versions.
 */
static void handle_hello(struct relay_server *s, struct frame_conn *conn,
			 struct relay_client *client, const Lacewing__Hello *h)
{
	if (h->protocol != LINK_PROTOCOL_VERSION) {
		disconnect_client(s, conn, "unsupported protocol version");
		return;
	}
	if (strlen(h->name) >= sizeof(client->name)) {
		disconnect_client(s, conn, "no instance has such a long name");
		return;
	}
	client->greeted = true;
	frame_set_max(conn, FRAME_MAX_BYTES);
	g_strlcpy(client->name, h->name, sizeof(client->name));
	if (s->env.is_known_peer(s->env.arg, client->name))
		frame_set_trusted(conn);
	else
		record_refusal(s, "not an instance of this deployment");
}

static void on_opened(void *arg, struct frame_conn *conn)
{
	struct relay_server *s = arg;
	struct relay_client *client = g_new0(struct relay_client, 1);

	client->calls = g_hash_table_new(NULL, NULL);
	frame_set_max(conn, HELLO_MAX_BYTES);
	g_hash_table_insert(s->clients, conn, client);
}

static void on_received(void *arg, struct frame_conn *conn,
			const Lacewing__Envelope *e)
{
	struct relay_server *s = arg;
	struct relay_client *client = g_hash_table_lookup(s->clients, conn);

	switch (e->body_case) {
	case LACEWING__ENVELOPE__BODY_HELLO:
		handle_hello(s, conn, client, e->hello);
		return;
	case LACEWING__ENVELOPE__BODY_STORE_CALL:
		if (client->greeted)
			handle_call(s, conn, client, e->store_call);
		else
			disconnect_client(s, conn,
					  "store call before the hello");
		return;
	case LACEWING__ENVELOPE__BODY_HEARTBEAT:
	case LACEWING__ENVELOPE__BODY_ROWS:
	case LACEWING__ENVELOPE__BODY_ROWS_WANTED:
	case LACEWING__ENVELOPE__BODY_CHECK:
	case LACEWING__ENVELOPE__BODY_CHECK_ANSWER:
	case LACEWING__ENVELOPE__BODY_STORE_ANSWER:
	case LACEWING__ENVELOPE__BODY__NOT_SET:
	case _LACEWING__ENVELOPE__BODY__CASE_IS_INT_SIZE:
		disconnect_client(s, conn, "unexpected message type");
		return;
	}
}

static void on_closed(void *arg, struct frame_conn *conn, const char *why)
{
	struct relay_server *s = arg;
	const struct relay_client *client =
		g_hash_table_lookup(s->clients, conn);

	if (!client->greeted)
		record_refusal(s, why);
	g_hash_table_remove(s->clients, conn);
}

static const struct frame_events events = {
	.opened = on_opened, .received = on_received, .closed = on_closed};

/* Listen for peers. Returns NULL if the address is not available. */
struct relay_server *relay_server_create(const struct relay_server_env *e,
					 const struct sockaddr_in *at)
{
	struct relay_server *s = g_new0(struct relay_server, 1);

	s->env = *e;
	s->clients = g_hash_table_new_full(NULL, NULL, NULL, client_free);
	s->listener = frame_listen(e->loop, at, &events, s);
	if (!s->listener) {
		relay_server_destroy(s);
		return NULL;
	}
	if (e->intake)
		frame_listener_set_intake(s->listener, e->intake);
	return s;
}

/* Close all connections and free s; pending calls are dropped. */
void relay_server_destroy(struct relay_server *s)
{
	GHashTableIter it;
	gpointer k;

	if (!s)
		return;
	frame_listener_destroy(s->listener);
	g_hash_table_iter_init(&it, s->clients);
	while (g_hash_table_iter_next(&it, &k, NULL))
		frame_close(k);
	g_hash_table_destroy(s->clients);
	g_free(s);
}
