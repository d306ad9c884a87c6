/*
 * Framed connections.  A frame is a 32-bit big-endian length followed by
 * one Envelope.  A frame that is empty, too long or not an Envelope closes
 * its connection and has no other effect.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "lib/address.h"
#include "lib/frame.h"

#define QUEUE_MAX_BYTES (16u << 20)

struct frame_conn {
	h2o_socket_t *sock;
	const struct frame_events *ev;
	void *arg;
	GByteArray *queue;   /* frames to write next */
	GByteArray *writing; /* frames that h2o is writing */
	bool open;
	bool closing;
	bool in_callback; /* delays the free of a closing connection */
	uint64_t bytes_sent;
};

struct frame_listener {
	struct loop *loop;
	h2o_socket_t *sock;
	const struct frame_events *ev;
	void *arg;
};

int64_t frame_parse(const uint8_t *buf, size_t len, const uint8_t **payload,
		    uint32_t *payload_len)
{
	uint32_t n;

	if (len < FRAME_HEADER_BYTES)
		return 0;
	memcpy(&n, buf, sizeof(n));
	n = ntohl(n);
	if (!n || n > FRAME_MAX_BYTES)
		return -1;
	if (len - FRAME_HEADER_BYTES < n)
		return 0;
	*payload = buf + FRAME_HEADER_BYTES;
	*payload_len = n;
	return (int64_t)n + FRAME_HEADER_BYTES;
}

static void conn_free(struct frame_conn *c)
{
	if (c->sock)
		h2o_socket_close(c->sock);
	g_byte_array_free(c->queue, TRUE);
	g_byte_array_free(c->writing, TRUE);
	g_free(c);
}

/*
 * Close c and tell its owner why.  Inside a callback of c the free is left
 * to the caller of that callback.
 */
static void conn_fail(struct frame_conn *c, const char *why)
{
	if (c->closing)
		return;
	c->closing = true;
	c->ev->closed(c->arg, c, why);
	if (!c->in_callback)
		conn_free(c);
}

/* Close c without calling closed; c must not be used afterwards. */
void frame_close(struct frame_conn *c)
{
	if (c->closing)
		return;
	c->closing = true;
	if (!c->in_callback)
		conn_free(c);
}

/* Return the total bytes queued on c, with frame headers. */
uint64_t frame_bytes_sent(const struct frame_conn *c)
{
	return c->bytes_sent;
}

static void flush_queue(struct frame_conn *c);

/* Continue with the next batch of frames after a write. */
static void on_written(h2o_socket_t *sock, const char *err)
{
	struct frame_conn *c = sock->data;

	g_byte_array_set_size(c->writing, 0);
	if (err)
		conn_fail(c, "write failed");
	else
		flush_queue(c);
}

/* Write all queued frames unless a write is in progress. */
static void flush_queue(struct frame_conn *c)
{
	GByteArray *t = c->writing;
	h2o_iovec_t v;

	if (!c->open || t->len || !c->queue->len)
		return;
	c->writing = c->queue;
	c->queue = t;
	v = h2o_iovec_init(c->writing->data, c->writing->len);
	h2o_socket_write(c->sock, &v, 1, on_written);
}

/* Pass one frame to the owner; return false when it is not an Envelope. */
static bool deliver_envelope(struct frame_conn *c, const uint8_t *payload,
			     uint32_t n)
{
	Lacewing__Envelope *e = lacewing__envelope__unpack(NULL, n, payload);

	if (!e)
		return false;
	c->ev->received(c->arg, c, e);
	lacewing__envelope__free_unpacked(e, NULL);
	return true;
}

/* Deliver each complete frame of the input. */
static void on_readable(h2o_socket_t *sock, const char *err)
{
	struct frame_conn *c = sock->data;
	const char *why = NULL;

	if (err) {
		conn_fail(c, "closed by the peer");
		return;
	}
	c->in_callback = true;
	while (!c->closing && !why) {
		const uint8_t *payload;
		uint32_t len;
		int64_t n = frame_parse((uint8_t *)sock->input->bytes,
					sock->input->size, &payload, &len);

		if (!n)
			break;
		if (n < 0)
			why = "frame length out of bounds";
		else if (!deliver_envelope(c, payload, len))
			why = "frame is not a message";
		else
			h2o_buffer_consume(&sock->input, n);
	}
	c->in_callback = false;
	if (c->closing)
		conn_free(c);
	else if (why)
		conn_fail(c, why);
}

/* Report c as open, then start to read and write. */
static void conn_opened(struct frame_conn *c)
{
	int on = 1;

	setsockopt(h2o_socket_get_fd(c->sock), IPPROTO_TCP, TCP_NODELAY, &on,
		   sizeof(on));
	c->open = true;
	c->in_callback = true;
	c->ev->opened(c->arg, c);
	c->in_callback = false;
	if (c->closing) {
		conn_free(c);
		return;
	}
	h2o_socket_read_start(c->sock, on_readable);
	flush_queue(c);
}

static struct frame_conn *conn_create(h2o_socket_t *sock,
				      const struct frame_events *ev, void *arg)
{
	struct frame_conn *c = g_new0(struct frame_conn, 1);

	c->sock = sock;
	c->ev = ev;
	c->arg = arg;
	c->queue = g_byte_array_new();
	c->writing = g_byte_array_new();
	sock->data = c;
	return c;
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct frame_listener *f = listener->data;
	h2o_socket_t *s;

	if (err)
		return;
	while ((s = h2o_evloop_socket_accept(listener)))
		conn_opened(conn_create(s, f->ev, f->arg));
}

/* Accept connections on address at; return NULL when it cannot be bound. */
struct frame_listener *frame_listen(struct loop *l,
				    const struct sockaddr_in *at,
				    const struct frame_events *ev, void *arg)
{
	struct frame_listener *f;
	int fd = address_listen(at);

	if (fd < 0)
		return NULL;
	f = g_new0(struct frame_listener, 1);
	f->loop = l;
	f->ev = ev;
	f->arg = arg;
	f->sock = h2o_evloop_socket_create(loop_h2o(l), fd,
					   H2O_SOCKET_FLAG_DONT_READ);
	f->sock->data = f;
	h2o_socket_read_start(f->sock, on_accept);
	return f;
}

/* Stop accepting and free f. */
void frame_listener_destroy(struct frame_listener *f)
{
	if (!f)
		return;
	h2o_socket_close(f->sock);
	g_free(f);
}

static void on_connect(h2o_socket_t *sock, const char *err)
{
	struct frame_conn *c = sock->data;

	if (err)
		conn_fail(c, "cannot connect");
	else
		conn_opened(c);
}

/*
 * Open a connection; the opened or closed callback follows.  Return NULL,
 * without a callback, when the socket cannot be created.
 */
struct frame_conn *frame_connect(struct loop *l, const struct sockaddr_in *to,
				 const struct frame_events *ev, void *arg)
{
	struct sockaddr_in a = *to;
	h2o_socket_t *s = h2o_socket_connect(loop_h2o(l), (struct sockaddr *)&a,
					     sizeof(a), on_connect);

	return s ? conn_create(s, ev, arg) : NULL;
}

/*
 * Queue a message.  It is dropped when the peer has left QUEUE_MAX_BYTES
 * unread, or when it exceeds FRAME_MAX_BYTES.  Heartbeats are dropped too,
 * so a connection that stalls shows as missing heartbeats.
 */
void frame_send(struct frame_conn *c, const Lacewing__Envelope *e)
{
	size_t n = lacewing__envelope__get_packed_size(e);
	uint32_t header = htonl((uint32_t)n);
	guint at = c->queue->len;

	if (c->closing || n > FRAME_MAX_BYTES || at + n > QUEUE_MAX_BYTES)
		return;
	g_byte_array_set_size(c->queue, at + FRAME_HEADER_BYTES + n);
	memcpy(c->queue->data + at, &header, FRAME_HEADER_BYTES);
	lacewing__envelope__pack(e, c->queue->data + at + FRAME_HEADER_BYTES);
	c->bytes_sent += n + FRAME_HEADER_BYTES;
	flush_queue(c);
}
