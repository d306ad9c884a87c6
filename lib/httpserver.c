/* The HTTP server: one handler for all paths; replies in any order. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "lib/http.h"

/* Longer than clients keep idle connections, so that they close first. */
#define IDLE_TIMEOUT_MS 60000

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
};

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
 * Copy the request into an exchange, which may live longer, and call the
 * handler.
 */
static int on_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct http_server *s = ((struct handler *)self)->server;
	struct http_exchange *x = g_new0(struct http_exchange, 1);
	struct http_exchange **req_ref;
	size_t n = req->path.len;

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
	h2o_iovec_t v;

	if (!req)
		goto out;
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
	h2o_send_inline(req, v.base, v.len);
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

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct http_server *s = listener->data;
	h2o_socket_t *sock;

	if (err)
		return;
	while ((sock = h2o_evloop_socket_accept(listener)))
		h2o_accept(&s->accept, sock);
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
	if (s)
		http_server_stop_accepting(s);
}
