/*
 * The HTTP client.  A call that is not cancelled ends in exactly one
 * callback.  Its verdict says whether the request may have reached the
 * server: nothing is sent before the connection is open, and from then on
 * all of it may have arrived.  When a call fails, the pool's connections
 * are retired, because a middlebox may have dropped their state.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/http.h"

#define POOL_IDLE_TIMEOUT_MS 4000
#define IO_TIMEOUT_MS 120000
#define ANSWER_BODY_MAX_BYTES (8u << 20)

struct http_client {
	struct loop *loop;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t ctx;
	uint64_t bytes; /* requests sent and answers received */
};

/* One generation of pooled connections; a retired one gets no new calls. */
struct conn_set {
	h2o_socketpool_t sockets;
	uint32_t in_flight;
	bool retired;
};

struct http_pool {
	struct http_client *client;
	struct sockaddr_in peer;
	uint32_t max_connections;
	struct conn_set *set;
	GPtrArray *retired;
	struct timer sweep_timer; /* frees retired sets without calls */
	GHashTable *calls;
};

struct http_call {
	struct http_pool *pool;
	struct conn_set *set;
	h2o_http1client_t *client;
	struct timer timer;
	char *request;
	h2o_iovec_t request_iov;
	GByteArray *body;
	bool sent;
	bool starting;	 /* inside http_call_start: connecting at once */
	bool opened;	 /* its connection was not open before */
	bool open_only;	 /* it must not open one */
	bool has_length; /* the answer's headers tell where it ends */
	int status;
	http_done_fn done;
	void *arg;
};

/* Create the state shared by all pools of one loop. */
struct http_client *http_client_create(struct loop *l)
{
	struct http_client *c = g_new0(struct http_client, 1);

	c->loop = l;
	h2o_timeout_init(loop_h2o(l), &c->io_timeout, IO_TIMEOUT_MS);
	c->ctx.loop = loop_h2o(l);
	c->ctx.io_timeout = &c->io_timeout;
	return c;
}

/* Free c; all its pools must have been destroyed. */
void http_client_destroy(struct http_client *c)
{
	if (!c)
		return;
	h2o_timeout_dispose(loop_h2o(c->loop), &c->io_timeout);
	g_free(c);
}

/* Return the total bytes of requests sent and answers received. */
uint64_t http_client_bytes_transferred(const struct http_client *c)
{
	return c->bytes;
}

static struct conn_set *conn_set_create(struct http_pool *p)
{
	struct conn_set *s = g_new0(struct conn_set, 1);

	h2o_socketpool_init_by_address(&s->sockets, (struct sockaddr *)&p->peer,
				       sizeof(p->peer), 0, p->max_connections);
	h2o_socketpool_set_timeout(&s->sockets, loop_h2o(p->client->loop),
				   POOL_IDLE_TIMEOUT_MS);
	return s;
}

static void conn_set_destroy(struct conn_set *s)
{
	h2o_timeout_unlink(&s->sockets._interval_cb.entry);
	h2o_socketpool_dispose(&s->sockets);
	g_free(s);
}

/*
 * Free the retired sets that have no calls.  This runs from a timer,
 * because h2o closes a call's socket, which belongs to the set, only after
 * the call's callback has returned.
 */
static void free_retired_sets(void *arg)
{
	struct http_pool *p = arg;

	for (guint i = p->retired->len; i-- > 0;) {
		struct conn_set *s = g_ptr_array_index(p->retired, i);

		if (s->in_flight)
			continue;
		g_ptr_array_remove_index_fast(p->retired, i);
		conn_set_destroy(s);
	}
}

/* Create a pool for at most max_connections concurrent calls to peer. */
struct http_pool *http_pool_create(struct http_client *c,
				   const struct sockaddr_in *peer,
				   uint32_t max_connections)
{
	struct http_pool *p = g_new0(struct http_pool, 1);

	p->client = c;
	p->peer = *peer;
	p->max_connections = max_connections;
	p->retired = g_ptr_array_new();
	p->calls = g_hash_table_new(NULL, NULL);
	p->set = conn_set_create(p);
	timer_init(&p->sweep_timer, free_retired_sets, p);
	return p;
}

static void call_free(struct http_call *call)
{
	timer_stop(call->pool->client->loop, &call->timer);
	g_hash_table_remove(call->pool->calls, call);
	g_free(call->request);
	g_byte_array_free(call->body, TRUE);
	g_free(call);
}

/* Cancel the calls of p without running their callbacks, and free p. */
void http_pool_destroy(struct http_pool *p)
{
	GHashTableIter it;
	gpointer k;

	if (!p)
		return;
	for (;;) {
		g_hash_table_iter_init(&it, p->calls);
		if (!g_hash_table_iter_next(&it, &k, NULL))
			break;
		http_call_cancel(k);
	}
	timer_stop(p->client->loop, &p->sweep_timer);
	free_retired_sets(p);
	conn_set_destroy(p->set);
	g_ptr_array_free(p->retired, TRUE);
	g_hash_table_destroy(p->calls);
	g_free(p);
}

/* Return the number of unfinished calls on p. */
uint32_t http_pool_in_flight(const struct http_pool *p)
{
	return g_hash_table_size(p->calls);
}

/* Stop reusing the connections of p; later calls open new ones. */
void http_pool_retire_connections(struct http_pool *p)
{
	p->set->retired = true;
	g_ptr_array_add(p->retired, p->set);
	p->set = conn_set_create(p);
	timer_start(p->client->loop, &p->sweep_timer, 0);
}

/*
 * End call with verdict v: retire the connections if it failed, run the
 * callback and free the call.  It leaves the pool first, so that the
 * callback may start another call.
 */
static void call_finish(struct http_call *call, struct verdict v)
{
	struct http_result r = {
		.verdict = v, .status = call->status, .opened = call->opened};
	http_done_fn done = call->done;
	void *arg = call->arg;
	guint8 nul = 0;

	call->set->in_flight--;
	if (v.tag != VERDICT_RAN && v.reason != REASON_BUSY &&
	    call->set == call->pool->set)
		http_pool_retire_connections(call->pool);
	else if (call->set->retired)
		timer_start(call->pool->client->loop, &call->pool->sweep_timer,
			    0);
	r.len = call->body->len;
	g_byte_array_append(call->body, &nul, 1);
	r.body = (const char *)call->body->data;
	timer_stop(call->pool->client->loop, &call->timer);
	g_hash_table_remove(call->pool->calls, call);
	done(arg, &r);
	g_free(call->request);
	g_byte_array_free(call->body, TRUE);
	g_free(call);
}

/* Return the verdict of a call that failed for reason r. */
static struct verdict failure_verdict(const struct http_call *call,
				      enum reason r)
{
	if (call->sent)
		return verdict_may_have_run(r);
	return verdict_did_not_run(r);
}

static void call_timeout(void *arg)
{
	struct http_call *call = arg;

	h2o_http1client_cancel(call->client);
	call_finish(call, failure_verdict(call, REASON_DEADLINE));
}

/*
 * Collect the answer's body.  An answer without a length that ends with the
 * connection may be truncated, so it does not count as complete.
 */
static int on_body(h2o_http1client_t *c, const char *err)
{
	struct http_call *call = c->data;

	if (c->sock) {
		h2o_buffer_t *in = c->sock->input;

		g_byte_array_append(call->body, (guint8 *)in->bytes, in->size);
		call->pool->client->bytes += in->size;
		h2o_buffer_consume(&c->sock->input, in->size);
	}
	if (call->body->len > ANSWER_BODY_MAX_BYTES) {
		call_finish(call, verdict_may_have_run(REASON_BAD_ANSWER));
		return -1;
	}
	if (!err)
		return 0;
	if (err == h2o_http1client_error_is_eos && call->has_length)
		call_finish(call, verdict_ran());
	else
		call_finish(call, verdict_may_have_run(REASON_CUT));
	return 0;
}

static bool header_is(const h2o_header_t *h, const char *name)
{
	return h->name->len == strlen(name) &&
	       !strncasecmp(h->name->base, name, h->name->len);
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *c, const char *err,
				       int minor, int status, h2o_iovec_t msg,
				       h2o_header_t *headers, size_t n,
				       int rlen)
{
	struct http_call *call = c->data;

	(void)minor;
	(void)msg;
	if (err && err != h2o_http1client_error_is_eos) {
		call_finish(call, verdict_may_have_run(REASON_CUT));
		return NULL;
	}
	call->status = status;
	call->pool->client->bytes += (uint64_t)rlen;
	for (size_t i = 0; i < n; i++)
		if (header_is(&headers[i], "content-length") ||
		    header_is(&headers[i], "transfer-encoding"))
			call->has_length = true;
	if (err) {
		call_finish(call, call->has_length
					  ? verdict_ran()
					  : verdict_may_have_run(REASON_CUT));
		return NULL;
	}
	return on_body;
}

/* Send the request on an open connection. */
static h2o_http1client_head_cb on_connect(h2o_http1client_t *c, const char *err,
					  h2o_iovec_t **bufs, size_t *n,
					  int *is_head)
{
	struct http_call *call = c->data;

	if (err) {
		call_finish(call, verdict_did_not_run(REASON_CONNECT));
		return NULL;
	}
	/* the pool hands out an open connection before it returns */
	call->opened = !call->starting;
	if (call->opened && call->open_only) {
		call_finish(call, verdict_did_not_run(REASON_BUSY));
		return NULL;
	}
	call->sent = true;
	call->pool->client->bytes += call->request_iov.len;
	*bufs = &call->request_iov;
	*n = 1;
	*is_head = 0;
	return on_head;
}

static char *format_request(const struct http_pool *p, const char *method,
			    const char *path, const char *headers,
			    const char *body)
{
	char host[ADDRESS_TEXT_BYTES];

	address_format(&p->peer, host, sizeof(host));
	return g_strdup_printf("%s %s HTTP/1.1\r\nhost: %s\r\n"
			       "content-type: application/json\r\n"
			       "%scontent-length: %zu\r\n\r\n%s",
			       method, path, host, headers, strlen(body), body);
}

static struct http_call *call_start(struct http_pool *p, const char *method,
				    const char *path, const char *headers,
				    const char *body, bool open_only,
				    uint32_t timeout_ms, http_done_fn done,
				    void *arg)
{
	struct http_call *call;

	if (http_pool_in_flight(p) >= p->max_connections)
		return NULL;
	call = g_new0(struct http_call, 1);
	call->pool = p;
	call->set = p->set;
	call->set->in_flight++;
	call->open_only = open_only;
	call->done = done;
	call->arg = arg;
	call->body = g_byte_array_new();
	call->request =
		format_request(p, method, path, headers, body ? body : "");
	call->request_iov =
		h2o_iovec_init(call->request, strlen(call->request));
	g_hash_table_add(p->calls, call);
	timer_init(&call->timer, call_timeout, call);
	timer_start_timeout(p->client->loop, &call->timer, timeout_ms);
	call->starting = true;
	h2o_http1client_connect_with_pool(&call->client, call, &p->client->ctx,
					  &p->set->sockets, on_connect);
	call->starting = false;
	return call;
}

/*
 * Send one request; done(arg, result) is called exactly once, unless the
 * call is cancelled, and never from inside this function.  body may be
 * NULL.  Return NULL, without a callback, when all connections are in use;
 * the request did not run.
 */
struct http_call *http_call_start(struct http_pool *p, const char *method,
				  const char *path, const char *body,
				  uint32_t timeout_ms, http_done_fn done,
				  void *arg)
{
	return http_call_start_with_headers(p, method, path, "", body,
					    timeout_ms, done, arg);
}

/*
 * Send one request as http_call_start does, with additional header lines,
 * each ending in CR LF.
 */
struct http_call *
http_call_start_with_headers(struct http_pool *p, const char *method,
			     const char *path, const char *headers,
			     const char *body, uint32_t timeout_ms,
			     http_done_fn done, void *arg)
{
	return call_start(p, method, path, headers, body, false, timeout_ms,
			  done, arg);
}

/* Report whether a call could begin on a connection that is open by now. */
bool http_pool_has_open_connection(const struct http_pool *p)
{
	return !h2o_linklist_is_empty(&p->set->sockets._shared.sockets);
}

/*
 * Send one request as http_call_start_with_headers does, but only over a
 * connection on which a call of this pool was answered: it leads to the process
 * that gave that answer. The call ends with REASON_BUSY, and did not run, if the
 * last such connection turns out to be closed; returns NULL if there is none.
 */
struct http_call *
http_call_start_on_open_connection(struct http_pool *p, const char *method,
				   const char *path, const char *headers,
				   const char *body, uint32_t timeout_ms,
				   http_done_fn done, void *arg)
{
	if (!http_pool_has_open_connection(p))
		return NULL;
	return call_start(p, method, path, headers, body, true, timeout_ms,
			  done, arg);
}

/* Cancel and free call; its callback is not run. */
void http_call_cancel(struct http_call *call)
{
	h2o_http1client_cancel(call->client);
	call->set->in_flight--;
	call_free(call);
}
