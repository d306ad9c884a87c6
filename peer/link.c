/*
 * A link connects on its first call. A call that times out closes the
 * connection, which may be dead, and the next call opens a new one.
 */
#include <glib.h>
#include <string.h>

#include "peer/link.h"

/*
 * Maximum network round trip between two instances plus the peer's own
 * processing time.
 */
#define PEER_ROUND_TRIP_MAX_MS 80

struct pending_call {
	struct link *link;
	uint64_t ticket; /* matches the answer to the call */
	link_done_fn done;
	void *arg;
	struct timer timer;
};

struct link {
	struct loop *loop;
	struct sockaddr_in address;
	struct link_hello hello;
	struct frame_conn *conn; /* NULL while not connected */
	bool open;
	GHashTable *pending;  /* ticket to struct pending_call */
	uint64_t last_ticket; /* ticket of the last call */
};

static void on_opened(void *arg, struct frame_conn *c)
{
	struct link *k = arg;

	(void)c;
	k->open = true;
}

static void pending_call_free(struct pending_call *call)
{
	timer_stop(call->link->loop, &call->timer);
	g_free(call);
}

static void complete_call(struct pending_call *call, enum link_outcome o,
			  const struct http_result *r)
{
	link_done_fn done = call->done;
	void *arg = call->arg;

	g_hash_table_remove(call->link->pending, &call->ticket);
	pending_call_free(call);
	done(arg, o, r);
}

/* Complete all pending calls; their callbacks may call other links. */
static void complete_all_calls(struct link *k, enum link_outcome o)
{
	GList *list = g_hash_table_get_values(k->pending);

	for (GList *p = list; p; p = p->next)
		complete_call(p->data, o, NULL);
	g_list_free(list);
}

static void on_received(void *arg, struct frame_conn *c,
			const Lacewing__Envelope *e)
{
	struct link *k = arg;
	const Lacewing__StoreAnswer *a;
	struct http_result r = {0};
	struct pending_call *call;

	(void)c;
	if (e->body_case != LACEWING__ENVELOPE__BODY_STORE_ANSWER)
		return;
	a = e->store_answer;
	call = g_hash_table_lookup(k->pending, &a->ticket);
	if (!call)
		return;
	if (a->declined) {
		complete_call(call, LINK_DECLINED, NULL);
		return;
	}
	r.verdict = a->verdict == VERDICT_RAN ? verdict_ran()
		    : a->verdict == VERDICT_DID_NOT_RUN
			    ? verdict_did_not_run(REASON_REFUSED)
			    : verdict_may_have_run(REASON_DEADLINE);
	r.status = (int)a->status;
	r.body = a->body;
	r.len = strlen(a->body);
	complete_call(call, LINK_ANSWERED, &r);
}

static void on_closed(void *arg, struct frame_conn *c, const char *why)
{
	struct link *k = arg;
	bool open = k->open;

	(void)c;
	(void)why;
	k->conn = NULL;
	k->open = false;
	complete_all_calls(k, open ? LINK_UNANSWERED : LINK_NOT_SENT);
}

static const struct frame_events events = {
	.opened = on_opened, .received = on_received, .closed = on_closed};

/* Create a link to a peer; the strings in h must outlive it. */
struct link *link_create(struct loop *l, const struct sockaddr_in *to,
			 const struct link_hello *h)
{
	struct link *k = g_new0(struct link, 1);

	k->loop = l;
	k->address = *to;
	k->hello = *h;
	k->pending = g_hash_table_new(g_int64_hash, g_int64_equal);
	return k;
}

/* Drop the pending calls without calling their callbacks and free k. */
void link_destroy(struct link *k)
{
	GList *list;

	if (!k)
		return;
	list = g_hash_table_get_values(k->pending);
	for (GList *p = list; p; p = p->next)
		pending_call_free(p->data);
	g_list_free(list);
	if (k->conn)
		frame_close(k->conn);
	g_hash_table_destroy(k->pending);
	g_free(k);
}

/* Report whether no call is pending. */
bool link_is_idle(const struct link *k)
{
	return !g_hash_table_size(k->pending);
}

/*
 * Close the connection after a call has timed out, and complete every pending
 * call.
 */
static void on_timeout(void *arg)
{
	struct pending_call *call = arg;
	struct link *k = call->link;
	bool open = k->open;

	if (k->conn)
		frame_close(k->conn);
	k->conn = NULL;
	k->open = false;
	complete_all_calls(k, open ? LINK_UNANSWERED : LINK_NOT_SENT);
}

static void send_hello(struct link *k)
{
	Lacewing__Envelope e = LACEWING__ENVELOPE__INIT;
	Lacewing__Hello h = LACEWING__HELLO__INIT;

	h.protocol = LINK_PROTOCOL_VERSION;
	h.name = (char *)k->hello.instance;
	h.domain = (char *)k->hello.domain;
	h.incarnation = k->hello.incarnation;
	e.body_case = LACEWING__ENVELOPE__BODY_HELLO;
	e.hello = &h;
	frame_send(k->conn, &e);
}

static void send_call(struct link *k, const struct link_call *c,
		      uint64_t ticket)
{
	Lacewing__Envelope e = LACEWING__ENVELOPE__INIT;
	Lacewing__StoreCall s = LACEWING__STORE_CALL__INIT;

	s.ticket = ticket;
	s.method = (char *)c->method;
	s.path = (char *)c->path;
	s.body = (char *)(c->body ? c->body : "");
	s.budget_ms = c->timeout_ms;
	e.body_case = LACEWING__ENVELOPE__BODY_STORE_CALL;
	e.store_call = &s;
	frame_send(k->conn, &e);
}

/*
 * Send a store call through the peer. done is called exactly once, never from
 * within this function.
 */
void link_send_call(struct link *k, const struct link_call *c,
		    link_done_fn done, void *arg)
{
	struct pending_call *call = g_new0(struct pending_call, 1);

	call->link = k;
	call->ticket = ++k->last_ticket;
	call->done = done;
	call->arg = arg;
	g_hash_table_insert(k->pending, &call->ticket, call);
	timer_init(&call->timer, on_timeout, call);
	timer_start_timeout(k->loop, &call->timer,
			    c->timeout_ms + PEER_ROUND_TRIP_MAX_MS);
	if (!k->conn) {
		k->conn = frame_connect(k->loop, &k->address, &events, k);
		if (!k->conn) {
			timer_start(k->loop, &call->timer, 0);
			return;
		}
		send_hello(k);
	}
	send_call(k, c, call->ticket);
}

/* Return the name of o for logs. */
const char *link_outcome_name(enum link_outcome o)
{
	switch (o) {
	case LINK_ANSWERED:
		return "answered";
	case LINK_DECLINED:
		return "declined";
	case LINK_NOT_SENT:
		return "not_sent";
	case LINK_UNANSWERED:
		return "silent";
	}
	return "";
}
