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
#include "lib/sockbuf.h"

#define QUEUE_MAX_BYTES (16u << 20)
/* Limits of the intake are checked at least so often. */
#define CHECK_INTERVAL_MS 250
/* Memory of an idle connection here, in h2o and in the kernel, about. */
#define CONN_BASE_BYTES 4096

struct frame_conn {
	struct intake_conn intake; /* the first member */
	struct intake *in;	   /* NULL: nothing is limited */
	uint32_t max_bytes;	   /* longest frame that is accepted */
	bool progressed;	   /* bytes have arrived since it was counted */
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
	struct intake *in;
	struct timer check_timer;
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

/* Count what c holds now. */
static void conn_update(struct frame_conn *c)
{
	enum intake_state state = INTAKE_IDLE;
	size_t unsent = c->queue->len + c->writing->len;
	bool progress;

	if (!c->in || c->closing)
		return;
	progress = c->progressed;
	c->progressed = false;
	if (c->sock->input->size)
		state = INTAKE_READING;
	else if (unsent)
		state = INTAKE_REPLYING;
	intake_update(c->in, &c->intake, state,
		      CONN_BASE_BYTES + sockbuf_held_bytes(c->sock) + unsent,
		      progress, clock_mono_ms());
}

/* Stop counting c, which is closing. */
static void conn_leave_intake(struct frame_conn *c)
{
	if (c->in)
		intake_close(c->in, &c->intake);
	c->in = NULL;
}

static void conn_free(struct frame_conn *c)
{
	conn_leave_intake(c);
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
	conn_leave_intake(c);
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
	conn_leave_intake(c);
	if (!c->in_callback)
		conn_free(c);
}

/* Accept frames of at most max_bytes from now on. */
void frame_set_max(struct frame_conn *c, uint32_t max_bytes)
{
	c->max_bytes = max_bytes;
}

/* Have c closed for limits of the intake only if there is no other choice. */
void frame_set_trusted(struct frame_conn *c)
{
	c->intake.trusted = true;
	if (c->in)
		sockbuf_widen_kernel_buffer(c->sock);
}

/* Close connections until the budget of bytes is kept. */
static void close_for_bytes(struct intake *in)
{
	struct intake_conn *c;

	while (intake_has_excess_bytes(in) &&
	       (c = intake_pick_for_bytes(in, clock_mono_ms()))) {
		intake_count(in, INTAKE_BYTES);
		conn_fail((struct frame_conn *)c, "holds too many bytes");
	}
}

/* Count what connections hold, and close those that exceed a limit. */
static void on_check_timer(void *arg)
{
	struct frame_listener *f = arg;
	struct intake_conn *late;
	enum intake_reason why;

	for (uint32_t i = 0; i < intake_connections(f->in); i++)
		conn_update(
			(struct frame_conn *)intake_connection_at(f->in, i));
	close_for_bytes(f->in);
	while ((late = intake_pick_overdue(f->in, clock_mono_ms(), &why))) {
		intake_count(f->in, why);
		conn_fail((struct frame_conn *)late, "too slow");
	}
	timer_start(f->loop, &f->check_timer, CHECK_INTERVAL_MS);
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

/* Report whether the next frame, which may be incomplete, is too long for c. */
static bool is_too_long(const struct frame_conn *c)
{
	uint32_t n;

	if (c->sock->input->size < FRAME_HEADER_BYTES)
		return false;
	memcpy(&n, c->sock->input->bytes, sizeof(n));
	return ntohl(n) > c->max_bytes;
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

		if (n < 0 || is_too_long(c))
			why = "frame length out of bounds";
		else if (!n)
			break;
		else if (!deliver_envelope(c, payload, len))
			why = "frame is not a message";
		else
			h2o_buffer_consume(&sock->input, n);
	}
	c->in_callback = false;
	if (c->closing) {
		conn_free(c);
	} else if (why) {
		conn_fail(c, why);
	} else if (c->in) {
		c->progressed = true;
		conn_update(c);
		close_for_bytes(c->in);
	}
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
	c->max_bytes = FRAME_MAX_BYTES;
	c->ev = ev;
	c->arg = arg;
	c->queue = g_byte_array_new();
	c->writing = g_byte_array_new();
	sock->data = c;
	return c;
}

/*
 * Accept a connection, and close another one if there are too many. Return
 * NULL if there is still no room.
 */
static struct frame_conn *accept_counted(struct frame_listener *f,
					 h2o_socket_t *sock)
{
	struct intake_conn *other;
	struct frame_conn *c;

	if (intake_is_full(f->in) &&
	    (other = intake_pick_for_room(f->in, clock_mono_ms()))) {
		intake_count(f->in, INTAKE_CONNECTIONS);
		conn_fail((struct frame_conn *)other, "too many connections");
	}
	if (intake_is_full(f->in)) {
		intake_count(f->in, INTAKE_CONNECTIONS);
		h2o_socket_close(sock);
		return NULL;
	}
	c = conn_create(sock, f->ev, f->arg);
	c->in = f->in;
	intake_open(c->in, &c->intake, clock_mono_ms());
	sockbuf_limit_kernel_buffers(sock);
	return c;
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct frame_listener *f = listener->data;
	struct frame_conn *c;
	h2o_socket_t *s;

	if (err)
		return;
	while ((s = h2o_evloop_socket_accept(listener))) {
		c = f->in ? accept_counted(f, s)
			  : conn_create(s, f->ev, f->arg);
		if (c)
			conn_opened(c);
	}
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

/*
 * Count accepted connections in the intake, which must outlive f and them, and
 * keep its limits. To be called before the loop runs.
 */
void frame_listener_set_intake(struct frame_listener *f, struct intake *in)
{
	f->in = in;
	timer_init(&f->check_timer, on_check_timer, f);
	timer_start(f->loop, &f->check_timer, CHECK_INTERVAL_MS);
}

/* Stop accepting and free f. */
void frame_listener_destroy(struct frame_listener *f)
{
	if (!f)
		return;
	if (f->in)
		timer_stop(f->loop, &f->check_timer);
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
