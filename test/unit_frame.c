/* Tests of limits on what the connections of a frame listener hold. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <errno.h>
#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib/frame.h"

#define KB 1024
#define PORT 7451
#define STEPS 200
#define CONN_COUNT 12
#define CONNECTIONS_MAX 10
#define STRANGER_MAX_BYTES 1024

struct fixture {
	struct loop *loop;
	struct intake *in;
	struct frame_listener *listener;
	struct sockaddr_in at;
	uint32_t opened;
	uint32_t closed;
	uint32_t frame_max_bytes;
	bool trust_first;
};

static void on_opened(void *arg, struct frame_conn *c)
{
	struct fixture *f = arg;

	frame_set_max(c, f->frame_max_bytes);
	if (f->trust_first && !f->opened)
		frame_set_trusted(c);
	f->opened++;
}

static void on_received(void *arg, struct frame_conn *c,
			const Lacewing__Envelope *e)
{
	(void)arg;
	frame_send(c, e);
}

static void on_closed(void *arg, struct frame_conn *c, const char *why)
{
	(void)c;
	(void)why;
	((struct fixture *)arg)->closed++;
}

static const struct frame_events events = {
	.opened = on_opened, .received = on_received, .closed = on_closed};

static void step(struct fixture *f)
{
	for (int i = 0; i < STEPS; i++)
		loop_step(f->loop, i < STEPS / 2 ? 0 : 1);
}

static void fixture_create(struct fixture *f, const struct intake_limits *l)
{
	memset(f, 0, sizeof(*f));
	mallopt(M_PERTURB, 0x5a); /* overwrite freed memory */
	f->loop = loop_create();
	f->in = intake_create(l);
	f->frame_max_bytes = FRAME_MAX_BYTES;
	f->at.sin_family = AF_INET;
	f->at.sin_port = htons(PORT);
	/* one address for each run, as others may run at the same time */
	f->at.sin_addr.s_addr =
		htonl(0x7f4d0000 | ((uint32_t)getpid() & 0xffff));
	f->listener = frame_listen(f->loop, &f->at, &events, f);
	assert_non_null(f->listener);
	frame_listener_set_intake(f->listener, f->in);
}

static void fixture_destroy(struct fixture *f)
{
	step(f);
	assert_int_equal(intake_connections(f->in), 0);
	assert_int_equal(intake_bytes(f->in), 0);
	assert_int_equal(f->closed, f->opened);
	frame_listener_destroy(f->listener);
	intake_destroy(f->in);
	loop_destroy(f->loop);
	mallopt(M_PERTURB, 0);
}

static const struct intake_limits limits = {.bytes = 2048 * KB,
					    .reserve_bytes = 512 * KB,
					    .connections = CONNECTIONS_MAX,
					    .request_ms = 10000,
					    .reply_ms = 30000};

/* Sends the header of a frame and so many bytes of it. */
static int send_part(struct fixture *f, uint32_t frame_bytes, size_t len)
{
	uint32_t header = htonl(frame_bytes);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	char *bytes = calloc(1, sizeof(header) + len);
	size_t sent = 0, all = sizeof(header) + len;

	assert_true(fd >= 0);
	memcpy(bytes, &header, sizeof(header));
	if (connect(fd, (const struct sockaddr *)&f->at, sizeof(f->at)))
		assert_int_equal(errno, EINPROGRESS);
	for (int i = 0; sent < all && i < STEPS; i++) {
		ssize_t n = send(fd, bytes + sent, all - sent, MSG_NOSIGNAL);

		if (n > 0)
			sent += n;
		else if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
			break;
		loop_step(f->loop, 1);
	}
	free(bytes);
	return fd;
}

static void close_all(const int *fds, size_t n)
{
	for (size_t i = 0; i < n; i++)
		close(fds[i]);
}

/* The most bytes are closed, but those of a known peer are kept. */
static void unfinished_frames_beyond_the_budget_are_closed(void **state)
{
	struct fixture f;
	int fds[6];

	(void)state;
	fixture_create(&f, &limits);
	f.trust_first = true;
	for (size_t i = 0; i < 6; i++) {
		fds[i] = send_part(&f, FRAME_MAX_BYTES, 500 * KB);
		step(&f);
		assert_in_range(intake_bytes(f.in), 1, limits.bytes);
	}
	assert_int_equal(f.opened, 6);
	assert_int_equal(f.closed, intake_counted(f.in, INTAKE_BYTES));
	assert_in_range(f.closed, 1, 5);
	/* the first is a known peer */
	assert_int_equal(send(fds[0], "x", 1, MSG_NOSIGNAL), 1);
	step(&f);
	assert_int_equal(send(fds[0], "x", 1, MSG_NOSIGNAL), 1);
	close_all(fds, 6);
	fixture_destroy(&f);
}

/* A frame above the limit of its connection is refused by its header. */
static void a_long_frame_of_a_stranger_closes_its_connection(void **state)
{
	struct fixture f;
	int fds[2];

	(void)state;
	fixture_create(&f, &limits);
	f.frame_max_bytes = STRANGER_MAX_BYTES;
	fds[0] = send_part(&f, STRANGER_MAX_BYTES, 10);
	fds[1] = send_part(&f, STRANGER_MAX_BYTES + 1, 0);
	step(&f);
	assert_int_equal(f.opened, 2);
	assert_int_equal(f.closed, 1);
	close_all(fds, 2);
	fixture_destroy(&f);
}

/* Guards against strangers that take all descriptors. */
static void a_new_connection_replaces_the_longest_idle_one(void **state)
{
	struct fixture f;
	int fds[CONN_COUNT];

	(void)state;
	fixture_create(&f, &limits);
	f.trust_first = true;
	for (size_t i = 0; i < CONN_COUNT; i++)
		fds[i] = send_part(&f, FRAME_MAX_BYTES, 10);
	step(&f);
	assert_int_equal(f.opened, CONN_COUNT);
	assert_int_equal(intake_connections(f.in), CONNECTIONS_MAX);
	assert_int_equal(intake_counted(f.in, INTAKE_CONNECTIONS),
			 CONN_COUNT - CONNECTIONS_MAX);
	close_all(fds, CONN_COUNT);
	fixture_destroy(&f);
}

/* An unfinished frame does not hold its connection for good. */
static void a_slow_frame_closes_its_connection(void **state)
{
	struct intake_limits l = limits;
	struct fixture f;
	int fd;

	(void)state;
	l.request_ms = 50;
	fixture_create(&f, &l);
	fd = send_part(&f, 100, 10);
	for (int i = 0; i < 10 && !f.closed; i++)
		step(&f);
	assert_int_equal(f.closed, 1);
	assert_int_equal(intake_counted(f.in, INTAKE_SLOW_REQUEST), 1);
	close(fd);
	fixture_destroy(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			unfinished_frames_beyond_the_budget_are_closed),
		cmocka_unit_test(
			a_long_frame_of_a_stranger_closes_its_connection),
		cmocka_unit_test(
			a_new_connection_replaces_the_longest_idle_one),
		cmocka_unit_test(a_slow_frame_closes_its_connection),
	};

	signal(SIGPIPE, SIG_IGN);
	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
