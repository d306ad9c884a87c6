/*
 * The HTTP server: one handler for all paths; replies in any order.
 *
 * With an intake the server counts what each connection holds, and closes
 * connections that exceed the limits. h2o keeps headers and bodies in the input
 * buffer of the socket and offers no hook between a read and its use, so its
 * socket callbacks are replaced by ones that count and then call them.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "lib/http.h"
#include "lib/sockbuf.h"

/* Longer than clients keep idle connections, so that they close first. */
#define IDLE_TIMEOUT_MS 60000
/* Time limits and bytes that the kernel holds are checked so often. */
#define CHECK_INTERVAL_MS 250
/* Memory of an idle connection in h2o, here and in the kernel, about. */
#define CONN_BASE_BYTES 4096
/* Memory of a request without its body: h2o's pool, copies of the headers. */
#define REQUEST_BASE_BYTES 8192
/*
 * Copies of a body while its request is with the handler: the exchange's, the
 * encoded write, and that of the call which sends it.
 */
#define BODY_COPIES 4
/* More bytes are let into the kernel after so many of a request. */
#define WIDEN_MIN_BYTES 16384
#define RETRY_AFTER_S "1"
#define BUSY_BODY "{\"error\":\"too much is being received; nothing was done\"}"

struct http_server {
	struct loop *loop;
	h2o_globalconf_t config;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	h2o_socket_t *listener;
	http_handler_fn handler_fn;
	void *arg;
	bool close_after_reply; /* close each connection after its next reply */
	uint32_t open_request_count; /* exchanges without a reply */
	struct intake *intake;	     /* NULL: nothing is limited */
	struct timer check_timer;
	uint64_t closed_for_bytes; /* at the last check */
};

/* A connection of a server with an intake. */
struct http_conn {
	struct intake_conn intake; /* the first member */
	struct http_server *server;
	h2o_socket_t *sock;
	h2o_socket_cb read_fn; /* of h2o, called by on_readable */
	h2o_socket_cb write_fn;
	bool handed;	       /* a request is with the handler */
	bool widened;	       /* the kernel may hold more bytes */
	bool progressed;       /* bytes have arrived since it was counted */
	uint64_t unread_bytes; /* in the kernel, at the last check */
	bool *closed;	       /* set to true when it is closed, unless NULL */
};

struct handler {
	h2o_handler_t super;
	struct http_server *server;
};

struct http_exchange {
	struct http_server *server;
	h2o_req_t *req; /* NULL once the client has disconnected */
	struct http_exchange **req_ref; /* the request's pointer back to this */
	char *method;
	char *path;
	char *query;
	char *body;
	size_t body_len;
	uint64_t held_bytes; /* counted by the intake */
};

/* Return the connection of a socket, or NULL if its server has no intake. */
static struct http_conn *conn_of_socket(const h2o_socket_t *sock)
{
	return sock->on_close.data;
}

static struct http_conn *conn_of_request(const h2o_req_t *req)
{
	return conn_of_socket(req->conn->callbacks->get_socket(req->conn));
}

static enum intake_state conn_state(const struct http_conn *c)
{
	if (c->intake.state == INTAKE_CLOSING)
		return INTAKE_CLOSING;
	if (c->handed)
		return INTAKE_HANDED;
	if (h2o_socket_is_writing(c->sock))
		return INTAKE_REPLYING;
	return c->sock->input->size ? INTAKE_READING : INTAKE_IDLE;
}

static void on_readable(h2o_socket_t *sock, const char *err);
static void on_writable(h2o_socket_t *sock, const char *err);

/* Count what c holds now, and replace callbacks that h2o has set. */
static void conn_update(struct http_conn *c)
{
	h2o_socket_t *sock = c->sock;
	bool progress = c->progressed;

	if (sock->_cb.read && sock->_cb.read != on_readable) {
		c->read_fn = sock->_cb.read;
		sock->_cb.read = on_readable;
	}
	if (sock->_cb.write && sock->_cb.write != on_writable) {
		c->write_fn = sock->_cb.write;
		sock->_cb.write = on_writable;
	}
	c->progressed = false;
	intake_update(c->server->intake, &c->intake, conn_state(c),
		      CONN_BASE_BYTES + sockbuf_held_bytes(sock) +
			      c->unread_bytes,
		      progress, clock_mono_ms());
}

/*
 * Answer 503 on a connection whose request has not arrived in full. It may get
 * lost: the system resets a connection that is closed with unread bytes.
 */
static void send_busy(const struct http_conn *c)
{
	static const char text[] =
		"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
		"Retry-After: " RETRY_AFTER_S "\r\n"
		"Content-Type: application/json\r\nContent-Length: %zu"
		"\r\n\r\n" BUSY_BODY;
	char buf[sizeof(text) + 16];
	int n = snprintf(buf, sizeof(buf), text, strlen(BUSY_BODY));

	send(h2o_socket_get_fd(c->sock), buf, n, MSG_DONTWAIT | MSG_NOSIGNAL);
}

/*
 * Close c, which must have no unanswered request. h2o closes it as if its
 * client had, at once or, while an answer is being written, soon.
 */
static void conn_close(struct http_conn *c, enum intake_reason why)
{
	struct intake *in = c->server->intake;

	intake_count(in, why);
	if (!h2o_socket_is_writing(c->sock) &&
	    c->sock->_cb.read == on_readable) {
		if (c->sock->input->size)
			send_busy(c);
		c->read_fn(c->sock, h2o_socket_error_closed);
		return;
	}
	shutdown(h2o_socket_get_fd(c->sock), SHUT_RDWR);
	intake_update(in, &c->intake, INTAKE_CLOSING, c->intake.bytes, false,
		      clock_mono_ms());
}

/* Close connections until the budget of bytes is kept, if that is possible. */
static void close_for_bytes(struct http_server *s)
{
	struct intake_conn *c;

	while (intake_has_excess_bytes(s->intake) &&
	       (c = intake_pick_for_bytes(s->intake, clock_mono_ms())))
		conn_close((struct http_conn *)c, INTAKE_BYTES);
}

/* Call a callback of h2o. Return false if the connection has been closed. */
static bool call_h2o(struct http_conn *c, h2o_socket_cb fn, const char *err)
{
	bool closed = false;

	c->closed = &closed;
	fn(c->sock, err);
	if (closed)
		return false;
	c->closed = NULL;
	conn_update(c);
	return true;
}

/*
 * Bytes have been read: keep the budget, then let h2o use them. If what closes
 * has not been freed yet, the connection itself is closed, so that reads of one
 * iteration of the loop do not exceed the budget together.
 */
static void on_readable(h2o_socket_t *sock, const char *err)
{
	struct http_conn *c = conn_of_socket(sock);
	bool closed = false;

	if (!err) {
		c->closed = &closed;
		c->progressed = true;
		conn_update(c);
		if (intake_has_excess_bytes(c->server->intake) &&
		    !intake_can_make_room(c->server->intake))
			conn_close(c, INTAKE_BYTES);
		else
			close_for_bytes(c->server);
		if (!closed &&
		    !intake_allows(c->server->intake, c->intake.bytes))
			conn_close(c, INTAKE_BYTES);
		if (closed)
			return;
		c->closed = NULL;
		if (!c->widened && sock->input->size >= WIDEN_MIN_BYTES) {
			c->widened = true;
			sockbuf_widen_kernel_buffer(sock);
		}
	}
	call_h2o(c, c->read_fn, err);
}

static void on_writable(h2o_socket_t *sock, const char *err)
{
	struct http_conn *c = conn_of_socket(sock);

	call_h2o(c, c->write_fn, err);
}

static void on_socket_closed(void *data)
{
	struct http_conn *c = data;

	if (c->closed)
		*c->closed = true;
	intake_close(c->server->intake, &c->intake);
	g_free(c);
}

/* Close connections that are too slow, and count bytes in the kernel. */
static void on_check_timer(void *arg)
{
	struct http_server *s = arg;
	struct intake_conn *late;
	enum intake_reason why;

	for (uint32_t i = 0; i < intake_connections(s->intake); i++) {
		struct http_conn *c =
			(struct http_conn *)intake_connection_at(s->intake, i);

		if (c->server != s || c->intake.state == INTAKE_CLOSING)
			continue;
		c->unread_bytes = h2o_socket_is_reading(c->sock)
					  ? 0
					  : sockbuf_unread_bytes(c->sock);
		conn_update(c);
	}
	close_for_bytes(s);
	while ((late = intake_pick_overdue(s->intake, clock_mono_ms(), &why)))
		conn_close((struct http_conn *)late, why);
	if (s->closed_for_bytes != intake_counted(s->intake, INTAKE_BYTES)) {
		s->closed_for_bytes = intake_counted(s->intake, INTAKE_BYTES);
		sockbuf_return_memory();
	}
	timer_start(s->loop, &s->check_timer, CHECK_INTERVAL_MS);
}

/* Mark the exchange of a request that h2o frees before the reply. */
static void on_request_freed(void *p)
{
	struct http_exchange **req_ref = p;

	if (!*req_ref)
		return;
	(*req_ref)->req = NULL;
	(*req_ref)->req_ref = NULL;
}

/*
 * Refuse a whole request without handing it on, so that it never runs.
 */
static void refuse_request(struct http_conn *c, h2o_req_t *req)
{
	intake_count(c->server->intake, INTAKE_REFUSED);
	req->res.status = 503;
	req->res.reason = "Service Unavailable";
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
		       NULL, H2O_STRLIT("application/json"));
	h2o_add_header_by_str(&req->pool, &req->res.headers,
			      H2O_STRLIT("retry-after"), 0, NULL,
			      H2O_STRLIT(RETRY_AFTER_S));
	req->http1_is_persistent = 0;
	req->res.content_length = strlen(BUSY_BODY);
	h2o_send_inline(req, H2O_STRLIT(BUSY_BODY));
	conn_update(c);
}

/*
 * Count the memory that a whole request will hold. Return false, with nothing
 * counted, if it exceeds the budget.
 */
static bool admit_request(struct http_conn *c, uint64_t bytes)
{
	struct intake *in = c->server->intake;

	if (c->intake.state == INTAKE_CLOSING)
		return false;
	c->handed = true;
	conn_update(c);
	intake_hold(in, bytes);
	if (intake_can_make_room(in)) {
		close_for_bytes(c->server);
		if (intake_allows(in, bytes))
			return true;
	}
	intake_release(in, bytes);
	c->handed = false;
	return false;
}

/*
 * Copy the request into an exchange, which may live longer, and call the
 * handler.
 */
static int on_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct http_server *s = ((struct handler *)self)->server;
	struct http_conn *c = s->intake ? conn_of_request(req) : NULL;
	uint64_t held = REQUEST_BASE_BYTES + BODY_COPIES * req->entity.len;
	struct http_exchange *x;
	struct http_exchange **req_ref;
	size_t n = req->path.len;

	if (c && !admit_request(c, held)) {
		refuse_request(c, req);
		return 0;
	}
	x = g_new0(struct http_exchange, 1);
	x->held_bytes = c ? held : 0;
	if (req->query_at != SIZE_MAX) {
		n = req->query_at;
		x->query = g_strndup(req->path.base + n + 1,
				     req->path.len - n - 1);
	}
	x->server = s;
	s->open_request_count++;
	x->req = req;
	x->method = g_strndup(req->method.base, req->method.len);
	x->path = g_strndup(req->path.base, n);
	x->body = g_strndup(req->entity.base ? req->entity.base : "",
			    req->entity.len);
	x->body_len = req->entity.len;
	req_ref = h2o_mem_alloc_shared(&req->pool, sizeof(*req_ref),
				       on_request_freed);
	*req_ref = x;
	x->req_ref = req_ref;
	s->handler_fn(s->arg, x);
	return 0;
}

/* Return the request's method. */
const char *exchange_method(const struct http_exchange *x)
{
	return x->method;
}

/* Return the request's path without the query string. */
const char *exchange_path(const struct http_exchange *x)
{
	return x->path;
}

/* Return the request's body, terminated by NUL; set *len unless NULL. */
const char *exchange_body(const struct http_exchange *x, size_t *len)
{
	if (len)
		*len = x->body_len;
	return x->body;
}

/* Return the query parameter called name, or NULL; free with g_free. */
char *exchange_query(const struct http_exchange *x, const char *name)
{
	char **parts, *value = NULL;
	size_t n = strlen(name);

	if (!x->query)
		return NULL;
	parts = g_strsplit(x->query, "&", -1);
	for (char **p = parts; *p && !value; p++)
		if (!strncmp(*p, name, n) && (*p)[n] == '=')
			value = g_uri_unescape_string(*p + n + 1, NULL);
	g_strfreev(parts);
	return value;
}

/*
 * Return the value of a request header, or NULL when it is missing or the
 * client has disconnected; free with g_free.
 */
char *exchange_header(const struct http_exchange *x, const char *name)
{
	ssize_t i = -1;

	if (!x->req)
		return NULL;
	i = h2o_find_header_by_str(&x->req->headers, name, strlen(name), -1);
	if (i < 0)
		return NULL;
	return g_strndup(x->req->headers.entries[i].value.base,
			 x->req->headers.entries[i].value.len);
}

/*
 * Return the authority (host and port) of the request, or "" when the
 * client has disconnected; free with g_free.
 */
char *exchange_host(const struct http_exchange *x)
{
	if (!x->req)
		return g_strdup("");
	return g_strndup(x->req->input.authority.base,
			 x->req->input.authority.len);
}

static const char *status_text(int status)
{
	static const struct {
		int status;
		const char *text;
	} texts[] = {{200, "OK"},
		     {201, "Created"},
		     {202, "Accepted"},
		     {400, "Bad Request"},
		     {401, "Unauthorized"},
		     {403, "Forbidden"},
		     {404, "Not Found"},
		     {405, "Method Not Allowed"},
		     {409, "Conflict"},
		     {410, "Gone"},
		     {413, "Payload Too Large"},
		     {422, "Unprocessable Entity"},
		     {429, "Too Many Requests"},
		     {500, "Internal Server Error"},
		     {502, "Bad Gateway"},
		     {503, "Service Unavailable"},
		     {504, "Gateway Timeout"}};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		if (texts[i].status == status)
			return texts[i].text;
	return status < 300 ? "OK" : "Error";
}

/*
 * Reply to x and free it.  Nothing is sent when the client has
 * disconnected.  retry_after_ms, unless 0, is sent as a Retry-After header
 * in seconds, rounded up.
 */
void exchange_reply(struct http_exchange *x, int status, const char *type,
		    const char *body, uint32_t retry_after_ms)
{
	h2o_req_t *req = x->req;
	struct http_conn *c = NULL;
	h2o_iovec_t v;

	if (x->held_bytes)
		intake_release(x->server->intake, x->held_bytes);
	if (!req)
		goto out;
	if (x->held_bytes)
		c = conn_of_request(req);
	req->res.status = status;
	req->res.reason = status_text(status);
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
		       NULL, type, strlen(type));
	if (retry_after_ms) {
		char s[16];

		snprintf(s, sizeof(s), "%u", (retry_after_ms + 999) / 1000);
		v = h2o_strdup(&req->pool, s, SIZE_MAX);
		h2o_add_header_by_str(&req->pool, &req->res.headers,
				      H2O_STRLIT("retry-after"), 0, NULL,
				      v.base, v.len);
	}
	if (x->server->close_after_reply)
		req->http1_is_persistent = 0;
	v = h2o_strdup(&req->pool, body, SIZE_MAX);
	req->res.content_length = v.len;
	*x->req_ref = NULL;
	if (c)
		c->handed = false;
	h2o_send_inline(req, v.base, v.len);
	if (c)
		conn_update(c);
out:
	x->server->open_request_count--;
	g_free(x->method);
	g_free(x->path);
	g_free(x->query);
	g_free(x->body);
	g_free(x);
}

/* Reply to x with the JSON value v, free x and release v. */
void exchange_reply_json(struct http_exchange *x, int status, json_t *v,
			 uint32_t retry_after_ms)
{
	char *s = json_dumps(v, JSON_COMPACT | JSON_PRESERVE_ORDER);

	/* json_dumps fails on strings that are not valid UTF-8 */
	exchange_reply(x, status, "application/json", s ? s : "{}",
		       retry_after_ms);
	free(s);
	json_decref(v);
}

/*
 * Close the connection of x without a reply, and free x. The connection is
 * shut down first, so that h2o closes it when it fails to write.
 */
void exchange_abort(struct http_exchange *x)
{
	h2o_socket_t *sock;

	if (x->req) {
		sock = x->req->conn->callbacks->get_socket(x->req->conn);
		shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
	}
	exchange_reply(x, 503, "text/plain", "", 0);
}

/*
 * Accept a connection, and close another one if there are too many. One that
 * is writing an answer closes later, so that there is still no room.
 */
static void accept_counted(struct http_server *s, h2o_socket_t *sock)
{
	struct intake_conn *other;
	struct http_conn *c;

	if (intake_is_full(s->intake) &&
	    (other = intake_pick_for_room(s->intake, clock_mono_ms())))
		conn_close((struct http_conn *)other, INTAKE_CONNECTIONS);
	if (intake_is_full(s->intake)) {
		intake_count(s->intake, INTAKE_CONNECTIONS);
		h2o_socket_close(sock);
		return;
	}
	c = g_new0(struct http_conn, 1);
	c->server = s;
	c->sock = sock;
	sock->on_close.cb = on_socket_closed;
	sock->on_close.data = c;
	intake_open(s->intake, &c->intake, clock_mono_ms());
	sockbuf_limit_kernel_buffers(sock);
	h2o_accept(&s->accept, sock);
	conn_update(c);
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct http_server *s = listener->data;
	h2o_socket_t *sock;

	if (err)
		return;
	while ((sock = h2o_evloop_socket_accept(listener))) {
		if (s->intake)
			accept_counted(s, sock);
		else
			h2o_accept(&s->accept, sock);
	}
}

/*
 * Serve requests on address at by handler_fn(arg, exchange), which must
 * reply to each exchange, at once or later.  Bodies of more than max_body
 * bytes are rejected with 413.  Return NULL with errno set when the address
 * cannot be bound.
 */
struct http_server *http_server_create(struct loop *l,
				       const struct sockaddr_in *at,
				       size_t max_body,
				       http_handler_fn handler_fn, void *arg)
{
	struct http_server *s;
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct handler *h;
	int fd = address_listen(at);

	if (fd < 0)
		return NULL;
	s = g_new0(struct http_server, 1);
	s->loop = l;
	s->handler_fn = handler_fn;
	s->arg = arg;
	h2o_config_init(&s->config);
	s->config.max_request_entity_size = max_body;
	s->config.http1.req_timeout = IDLE_TIMEOUT_MS;
	s->config.server_name = h2o_iovec_init(H2O_STRLIT("lacewingspur"));
	host = h2o_config_register_host(
		&s->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	h = (struct handler *)h2o_create_handler(path, sizeof(*h));
	h->super.on_req = on_request;
	h->server = s;
	h2o_context_init(&s->ctx, loop_h2o(l), &s->config);
	s->accept.ctx = &s->ctx;
	s->accept.hosts = s->config.hosts;
	s->listener = h2o_evloop_socket_create(loop_h2o(l), fd,
					       H2O_SOCKET_FLAG_DONT_READ);
	s->listener->data = s;
	h2o_socket_read_start(s->listener, on_accept);
	return s;
}

/*
 * Count connections in the intake, which must outlive s, and keep its limits.
 * To be called before the loop runs. HTTP/2 is not offered then: its streams
 * hold bodies where they are not counted.
 */
void http_server_set_intake(struct http_server *s, struct intake *in)
{
	s->intake = in;
	s->config.http1.upgrade_to_http2 = 0;
	timer_init(&s->check_timer, on_check_timer, s);
	timer_start(s->loop, &s->check_timer, CHECK_INTERVAL_MS);
}

/* Close each connection after its next reply; keep accepting new ones. */
void http_server_close_after_reply(struct http_server *s)
{
	s->close_after_reply = true;
}

/* Return the number of requests that were read and have no reply. */
uint32_t http_server_count_open_requests(const struct http_server *s)
{
	return s->open_request_count;
}

/* Close the listening socket and shut open connections down gracefully. */
void http_server_stop_accepting(struct http_server *s)
{
	if (!s->listener)
		return;
	h2o_socket_read_stop(s->listener);
	h2o_socket_close(s->listener);
	s->listener = NULL;
	h2o_context_request_shutdown(&s->ctx);
}

/*
 * Stop accepting.  The server's memory is not freed before the process
 * exits, because h2o's open connections refer to it.
 */
void http_server_destroy(struct http_server *s)
{
	if (!s)
		return;
	http_server_stop_accepting(s);
	if (s->intake)
		timer_stop(s->loop, &s->check_timer);
}
