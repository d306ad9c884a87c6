/*
 * A TCP proxy that injects connection faults for tests. It listens on a range
 * of addresses, called links, and forwards each to its target.
 *
 *	POST /control {"link": N|-1, "mode": MODE, "delay_ms": N}
 *
 * Link -1 means all links; delay_ms delays the data of both directions. Modes:
 *	pass	forward all data
 *	cut	close all connections, and new ones once accepted
 *	refuse	close all connections and refuse new ones
 *	freeze	forward nothing, but keep connections open and accept new ones
 *	forget	freeze the open connections for good, forward new ones
 *	half	close each connection in the middle of the next answer
 *	deaf	forward requests, drop answers
 */
#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "lib/http.h"
#include "lib/log.h"
#include "lib/schema.h"

enum mode {
	MODE_PASS,
	MODE_CUT,
	MODE_REFUSE,
	MODE_FREEZE,
	MODE_HALF,
	MODE_DEAF,
};

struct fault_proxy {
	struct loop *loop;
	GPtrArray *links;
};

struct link {
	struct fault_proxy *proxy;
	struct sockaddr_in address;
	struct sockaddr_in target;
	enum mode mode;
	uint32_t delay_ms;
	GPtrArray *connections;
	h2o_socket_t *listener; /* NULL while connections are refused */
};

/* Data that is sent after the link's delay. */
struct delayed_chunk {
	struct timer timer;
	struct endpoint *destination;
	struct connection *connection;
	char *data;
	size_t len;
};

/* One of the two sockets of a connection. */
struct endpoint {
	h2o_socket_t *sock;
	struct endpoint *peer;
	struct connection *connection;
	GByteArray *pending; /* sent after the current write */
	GByteArray *writing;
	bool is_target; /* its data are answers */
	bool connected;
};

struct connection {
	struct link *link;
	struct endpoint client;
	struct endpoint target;
	bool frozen;
	uint32_t delayed_chunk_count; /* chunks whose timer is running */
	bool closed;
};

/* Free a closed connection when no timer refers to it. */
static void free_connection_when_idle(struct connection *conn)
{
	if (!conn->closed || conn->delayed_chunk_count)
		return;
	g_byte_array_free(conn->client.pending, TRUE);
	g_byte_array_free(conn->target.pending, TRUE);
	g_byte_array_free(conn->client.writing, TRUE);
	g_byte_array_free(conn->target.writing, TRUE);
	g_free(conn);
}

static void close_endpoint(struct endpoint *e)
{
	if (e->sock)
		h2o_socket_close(e->sock);
	e->sock = NULL;
}

static void close_connection(struct connection *conn)
{
	if (conn->closed)
		return;
	conn->closed = true;
	g_ptr_array_remove_fast(conn->link->connections, conn);
	close_endpoint(&conn->client);
	close_endpoint(&conn->target);
	free_connection_when_idle(conn);
}

static void flush_endpoint(struct endpoint *e);

static void handle_written(h2o_socket_t *sock, const char *err)
{
	struct endpoint *e = sock->data;

	g_byte_array_set_size(e->writing, 0);
	if (err)
		close_connection(e->connection);
	else
		flush_endpoint(e);
}

static void flush_endpoint(struct endpoint *e)
{
	GByteArray *t = e->writing;
	h2o_iovec_t v;

	if (!e->sock || !e->connected || t->len || !e->pending->len)
		return;
	e->writing = e->pending;
	e->pending = t;
	v = h2o_iovec_init(e->writing->data, e->writing->len);
	h2o_socket_write(e->sock, &v, 1, handle_written);
}

static void send_to_endpoint(struct endpoint *destination, const char *data,
			     size_t len)
{
	g_byte_array_append(destination->pending, (const guint8 *)data, len);
	flush_endpoint(destination);
}

static void send_delayed_chunk(void *arg)
{
	struct delayed_chunk *c = arg;
	struct connection *conn = c->connection;

	conn->delayed_chunk_count--;
	if (conn->closed)
		free_connection_when_idle(conn);
	else if (!conn->frozen)
		send_to_endpoint(c->destination, c->data, c->len);
	g_free(c->data);
	g_free(c);
}

static void forward_after_delay(struct connection *conn,
				struct endpoint *destination, const char *data,
				size_t len)
{
	struct delayed_chunk *c = g_new0(struct delayed_chunk, 1);

	c->connection = conn;
	c->destination = destination;
	c->data = g_memdup2(data, len);
	c->len = len;
	conn->delayed_chunk_count++;
	timer_init(&c->timer, send_delayed_chunk, c);
	timer_start(conn->link->proxy->loop, &c->timer, conn->link->delay_ms);
}

static void handle_readable(h2o_socket_t *sock, const char *err)
{
	struct endpoint *e = sock->data;
	struct connection *conn = e->connection;
	size_t n = sock->input->size;

	if (err) {
		if (conn->frozen)
			h2o_socket_read_stop(sock);
		else
			close_connection(conn);
		return;
	}
	if (conn->frozen || (e->is_target && conn->link->mode == MODE_DEAF)) {
		h2o_buffer_consume(&sock->input, n);
		return;
	}
	if (e->is_target && conn->link->mode == MODE_HALF) {
		send_to_endpoint(e->peer, sock->input->bytes, n / 2);
		h2o_buffer_consume(&sock->input, n);
		close_connection(conn);
		return;
	}
	if (conn->link->delay_ms)
		forward_after_delay(conn, e->peer, sock->input->bytes, n);
	else
		send_to_endpoint(e->peer, sock->input->bytes, n);
	h2o_buffer_consume(&sock->input, n);
}

static void handle_connected(h2o_socket_t *sock, const char *err)
{
	struct endpoint *e = sock->data;

	if (err) {
		close_connection(e->connection);
		return;
	}
	e->connected = true;
	h2o_socket_read_start(sock, handle_readable);
	flush_endpoint(e);
}

static void init_endpoint(struct connection *conn, struct endpoint *e,
			  struct endpoint *peer, bool is_target)
{
	e->connection = conn;
	e->peer = peer;
	e->is_target = is_target;
	e->pending = g_byte_array_new();
	e->writing = g_byte_array_new();
}

static void create_connection(struct link *l, h2o_socket_t *client)
{
	struct connection *conn = g_new0(struct connection, 1);

	conn->link = l;
	conn->frozen = l->mode == MODE_FREEZE;
	init_endpoint(conn, &conn->client, &conn->target, false);
	init_endpoint(conn, &conn->target, &conn->client, true);
	g_ptr_array_add(l->connections, conn);
	conn->client.sock = client;
	conn->client.connected = true;
	client->data = &conn->client;
	conn->target.sock = h2o_socket_connect(
		loop_h2o(l->proxy->loop), (struct sockaddr *)&l->target,
		sizeof(l->target), handle_connected);
	if (!conn->target.sock) {
		close_connection(conn);
		return;
	}
	conn->target.sock->data = &conn->target;
	h2o_socket_read_start(client, handle_readable);
}

static void handle_accept(h2o_socket_t *listener, const char *err)
{
	struct link *l = listener->data;
	h2o_socket_t *client;

	if (err)
		return;
	while ((client = h2o_evloop_socket_accept(listener))) {
		if (l->mode == MODE_CUT)
			h2o_socket_close(client);
		else
			create_connection(l, client);
	}
}

/* Listen for connections of l. Return false if its address is not available. */
static bool open_listener(struct link *l)
{
	int fd = address_listen(&l->address);

	if (fd < 0)
		return false;
	l->listener = h2o_evloop_socket_create(loop_h2o(l->proxy->loop), fd,
					       H2O_SOCKET_FLAG_DONT_READ);
	l->listener->data = l;
	h2o_socket_read_start(l->listener, handle_accept);
	return true;
}

static void close_listener(struct link *l)
{
	if (l->listener)
		h2o_socket_close(l->listener);
	l->listener = NULL;
}

static bool create_link(struct fault_proxy *proxy,
			const struct sockaddr_in *address,
			const struct sockaddr_in *target)
{
	struct link *l = g_new0(struct link, 1);

	l->proxy = proxy;
	l->address = *address;
	l->target = *target;
	l->connections = g_ptr_array_new();
	g_ptr_array_add(proxy->links, l);
	return open_listener(l);
}

static void freeze_connections(struct link *l)
{
	for (guint i = 0; i < l->connections->len; i++)
		((struct connection *)g_ptr_array_index(l->connections, i))
			->frozen = true;
}

static void close_connections(struct link *l)
{
	for (guint i = l->connections->len; i-- > 0;)
		close_connection(g_ptr_array_index(l->connections, i));
}

/*
 * Set the mode; an unknown one changes only the delay. "pass" after "freeze" or
 * "deaf" closes the open connections, because data was dropped from them.
 */
static void set_link_mode(struct link *l, const char *mode, uint32_t delay_ms)
{
	l->delay_ms = delay_ms;
	if (!strcmp(mode, "refuse")) {
		l->mode = MODE_REFUSE;
		close_listener(l);
		close_connections(l);
		return;
	}
	if (!l->listener && !open_listener(l))
		log_line(LOG_ERROR, "listen_failed",
			 "the address of a link is not available");
	if (!strcmp(mode, "pass")) {
		if (l->mode == MODE_FREEZE || l->mode == MODE_DEAF)
			close_connections(l);
		l->mode = MODE_PASS;
	} else if (!strcmp(mode, "cut")) {
		l->mode = MODE_CUT;
		close_connections(l);
	} else if (!strcmp(mode, "freeze")) {
		l->mode = MODE_FREEZE;
		freeze_connections(l);
	} else if (!strcmp(mode, "forget")) {
		l->mode = MODE_PASS;
		freeze_connections(l);
	} else if (!strcmp(mode, "half")) {
		l->mode = MODE_HALF;
	} else if (!strcmp(mode, "deaf")) {
		l->mode = MODE_DEAF;
	}
}

static void handle_control_request(void *arg, struct http_exchange *x)
{
	struct fault_proxy *proxy = arg;
	json_t *v = json_loads(exchange_body(x, NULL), 0, NULL);
	json_int_t number = json_int_or(v, "link", -1);

	for (guint i = 0; i < proxy->links->len; i++)
		if (number < 0 || number == (json_int_t)i)
			set_link_mode(g_ptr_array_index(proxy->links, i),
				      json_str_or(v, "mode", ""),
				      json_int_or(v, "delay_ms", 0));
	json_decref(v);
	exchange_reply(x, 200, "application/json", "{}", 0);
}

static void increment_address(struct sockaddr_in *a)
{
	a->sin_addr.s_addr = htonl(ntohl(a->sin_addr.s_addr) + 1);
}

/* Allow as many open files as the system grants, for many links. */
static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	if (setrlimit(RLIMIT_NOFILE, &limit))
		log_line(LOG_WARN, "file_limit",
			 "the number of open files stays limited");
}

static void on_signal(void *arg, int signo)
{
	(void)signo;
	loop_stop(arg);
}

int main(int argc, char **argv)
{
	struct fault_proxy proxy = {0};
	struct sockaddr_in listen_address, target_address, control_address;
	GError *err = NULL;
	char *first = NULL, *target = NULL, *control = NULL;
	gint count = 1, target_count = 0;
	int rc = 1;
	GOptionEntry entries[] = {
		{"first", 'f', 0, G_OPTION_ARG_STRING, &first,
		 "first address to listen on; later ones increment the IP",
		 "IP:PORT"},
		{"target", 't', 0, G_OPTION_ARG_STRING, &target,
		 "first address to forward to", "IP:PORT"},
		{"count", 'n', 0, G_OPTION_ARG_INT, &count, "number of links",
		 "N"},
		{"targets", 'm', 0, G_OPTION_ARG_INT, &target_count,
		 "number of targets, after which the first follows again", "N"},
		{"control", 'c', 0, G_OPTION_ARG_STRING, &control,
		 "accept commands on this address", "IP:PORT"},
		{0}};
	GOptionContext *o =
		g_option_context_new("- TCP proxy that injects faults");

	g_option_context_add_main_entries(o, entries, NULL);
	if (!g_option_context_parse(o, &argc, &argv, &err)) {
		fprintf(stderr, "cutter: %s\n", err->message);
		goto out;
	}
	log_open("cutter", "cutter", LOG_INFO);
	raise_file_limit();
	proxy.loop = loop_create();
	proxy.links = g_ptr_array_new();
	loop_on_signal(proxy.loop, on_signal, proxy.loop);
	if (!address_parse(first, &listen_address) ||
	    !address_parse(target, &target_address) ||
	    !address_parse(control, &control_address) ||
	    !http_server_create(proxy.loop, &control_address, 1 << 16,
				handle_control_request, &proxy)) {
		fprintf(stderr, "cutter: bad or busy address\n");
		goto out;
	}
	for (gint i = 0; i < count; i++) {
		if (!create_link(&proxy, &listen_address, &target_address)) {
			fprintf(stderr,
				"cutter: cannot listen on the address of link "
				"%d\n",
				i);
			goto out;
		}
		increment_address(&listen_address);
		increment_address(&target_address);
		if (target_count && !((i + 1) % target_count))
			address_parse(target, &target_address);
	}
	loop_run(proxy.loop);
	rc = 0;
out:
	g_clear_error(&err);
	g_option_context_free(o);
	return rc;
}
