/* Tests of the HTTP server with limits on what its connections hold. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib/http.h"

#define KB 1024
#define BODY_MAX (256 * KB)
#define PORT 7450
#define STEPS_MAX 4000
#define ANSWER_BYTES 4096

struct fixture {
	struct loop *loop;
	struct intake *in;
	struct http_server *server;
	struct sockaddr_in at;
	GPtrArray *waiting; /* exchanges without an answer */
	uint32_t handed;
	bool answer_at_once;
};

static void on_request(void *arg, struct http_exchange *x)
{
	struct fixture *f = arg;

	f->handed++;
	if (f->answer_at_once)
		exchange_reply(x, 200, "text/plain", "ok", 0);
	else
		g_ptr_array_add(f->waiting, x);
}

static void fixture_create(struct fixture *f, const struct intake_limits *l)
{
	memset(f, 0, sizeof(*f));
	mallopt(M_PERTURB, 0x5a); /* overwrite freed memory */
	f->loop = loop_create();
	f->in = intake_create(l);
	f->at.sin_family = AF_INET;
	f->at.sin_port = htons(PORT);
	/* one address for each run, as others may run at the same time */
	f->at.sin_addr.s_addr =
		htonl(0x7f4d0000 | ((uint32_t)getpid() & 0xffff));
	f->waiting = g_ptr_array_new();
	f->answer_at_once = true;
	f->server =
		http_server_create(f->loop, &f->at, BODY_MAX, on_request, f);
	assert_non_null(f->server);
	http_server_set_intake(f->server, f->in);
}

static void fixture_destroy(struct fixture *f)
{
	http_server_destroy(f->server);
	for (int i = 0; i < 20; i++)
		loop_step(f->loop, 1);
	loop_destroy(f->loop);
	g_ptr_array_free(f->waiting, TRUE);
	mallopt(M_PERTURB, 0);
}

static const struct intake_limits wide = {.bytes = 64 << 20,
					  .reserve_bytes = 16 << 20,
					  .connections = 100,
					  .request_ms = 10000,
					  .reply_ms = 30000};

static int connect_to(const struct fixture *f)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	assert_true(fd >= 0);
	if (connect(fd, (const struct sockaddr *)&f->at, sizeof(f->at)))
		assert_int_equal(errno, EINPROGRESS);
	return fd;
}

/* Sends all of text, while the server runs. */
static void send_text(struct fixture *f, int fd, const char *text, size_t len)
{
	for (int i = 0; len && i < STEPS_MAX; i++) {
		ssize_t n = send(fd, text, len, MSG_NOSIGNAL);

		if (n > 0) {
			text += n;
			len -= n;
		}
		loop_step(f->loop, n > 0 ? 0 : 1);
	}
	assert_int_equal(len, 0);
}

/*
 * Reads until `answers` status lines have arrived, or the end of the
 * connection. Returns what was read, for the caller to free, and whether the
 * connection has ended.
 */
static char *read_answers(struct fixture *f, int fd, uint32_t answers,
			  bool *ended)
{
	GString *s = g_string_new(NULL);
	uint32_t count = 0;

	*ended = false;
	for (int i = 0; i < STEPS_MAX && count < answers && !*ended; i++) {
		char buf[ANSWER_BYTES];
		ssize_t n;

		loop_step(f->loop, 1);
		n = recv(fd, buf, sizeof(buf), 0);
		*ended = !n || (n < 0 && errno != EAGAIN);
		if (n > 0)
			g_string_append_len(s, buf, n);
		count = 0;
		for (const char *p = s->str; (p = strstr(p, "HTTP/1.1 ")); p++)
			count++;
	}
	return g_string_free(s, FALSE);
}

static void assert_answer(struct fixture *f, int fd, const char *status)
{
	bool ended;
	char *text = read_answers(f, fd, 1, &ended);

	if (!strstr(text, status))
		fail_msg("no %s in \"%s\"", status, text);
	g_free(text);
}

static void send_body(struct fixture *f, int fd, size_t len, size_t missing)
{
	char *body = g_strnfill(len - missing, 'x');
	char *text = g_strdup_printf("POST /a HTTP/1.1\r\nHost: h\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
				     len, body);

	send_text(f, fd, text, strlen(text));
	g_free(text);
	g_free(body);
}

/* All ways of sending a request work as without limits, and hold nothing. */
static void requests_of_every_form_are_answered(void **state)
{
	static const char get[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
	static const char pipelined[] =
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
	static const char chunked[] =
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
		"\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
	static const char expecting[] =
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		"Expect: 100-continue\r\n\r\n";
	struct fixture f;
	uint64_t idle_bytes;
	char *text;
	bool ended;
	int fd;

	(void)state;
	fixture_create(&f, &wide);
	fd = connect_to(&f);
	send_text(&f, fd, get, strlen(get));
	assert_answer(&f, fd, "200");
	idle_bytes = intake_bytes(f.in);
	send_text(&f, fd, pipelined, strlen(pipelined));
	text = read_answers(&f, fd, 3, &ended);
	assert_false(ended);
	g_free(text);
	for (size_t i = 0; i < strlen(chunked); i++)
		send_text(&f, fd, chunked + i, 1);
	assert_answer(&f, fd, "200");
	send_text(&f, fd, expecting, strlen(expecting));
	assert_answer(&f, fd, "100");
	send_text(&f, fd, "abc", 3);
	assert_answer(&f, fd, "200");
	for (int i = 0; i < 3; i++) {
		send_body(&f, fd, BODY_MAX, 0);
		assert_answer(&f, fd, "200");
	}
	assert_int_equal(f.handed, 9);
	for (int i = 0; i < 5; i++)
		loop_step(f.loop, 1);
	assert_int_equal(intake_bytes(f.in), idle_bytes);
	send_body(&f, fd, BODY_MAX + 1, 0);
	assert_answer(&f, fd, "413");
	close(fd);
	for (int i = 0; i < 20; i++)
		loop_step(f.loop, 1);
	assert_int_equal(intake_connections(f.in), 0);
	assert_int_equal(intake_bytes(f.in), 0);
	fixture_destroy(&f);
}

/*
 * The connections of 20 handed requests fill the budget. Guards against a
 * refused request that runs, and against closing one that may have run.
 */
static void a_refused_request_does_not_reach_the_handler(void **state)
{
	struct intake_limits l = wide;
	struct fixture f;
	int fds[20];
	uint32_t refused = 0;

	(void)state;
	l.bytes = 4 << 20;
	l.reserve_bytes = 1 << 20;
	fixture_create(&f, &l);
	f.answer_at_once = false;
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		uint32_t before = f.handed;

		fds[i] = connect_to(&f);
		send_body(&f, fds[i], 100 * KB, 0);
		for (int k = 0; k < 10; k++)
			loop_step(f.loop, 1);
		if (f.handed > before)
			continue;
		assert_answer(&f, fds[i], "503");
		refused++;
	}
	assert_true(f.handed > 0);
	assert_true(refused > 0);
	assert_true(intake_counted(f.in, INTAKE_REFUSED) > 0);
	assert_int_equal(f.handed + refused, G_N_ELEMENTS(fds));
	assert_int_equal(f.handed, f.waiting->len);
	assert_in_range(intake_bytes(f.in), 1, l.bytes);
	/* a small request is still handed on */
	{
		int fd = connect_to(&f);

		send_body(&f, fd, 1000, 0);
		for (int k = 0; k < 10; k++)
			loop_step(f.loop, 1);
		assert_int_equal(f.handed + refused, G_N_ELEMENTS(fds) + 1);
		exchange_reply(g_ptr_array_index(f.waiting, f.handed - 1), 200,
			       "text/plain", "ok", 0);
		assert_answer(&f, fd, "200");
		close(fd);
	}
	for (uint32_t i = 0; i + 1 < f.handed; i++)
		exchange_reply(g_ptr_array_index(f.waiting, i), 200,
			       "text/plain", "ok", 0);
	for (uint32_t i = 0; i + 1 < f.handed; i++)
		assert_answer(&f, fds[i], "200");
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	fixture_destroy(&f);
}

/* Unfinished bodies beyond the budget get 503; the newest request is served. */
static void unfinished_bodies_are_closed_with_503(void **state)
{
	struct intake_limits l = wide;
	struct fixture f;
	int fds[30], fd;
	bool ended;
	char *text;

	(void)state;
	l.bytes = 2 << 20;
	l.reserve_bytes = 512 * KB;
	fixture_create(&f, &l);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = connect_to(&f);
		send_body(&f, fds[i], 200 * KB, 1);
	}
	assert_in_range(intake_bytes(f.in), 1, l.bytes);
	assert_true(intake_counted(f.in, INTAKE_BYTES) > 0);
	text = read_answers(&f, fds[0], 2, &ended);
	assert_true(ended);
	assert_non_null(strstr(text, "503"));
	g_free(text);
	assert_int_equal(f.handed, 0);
	fd = connect_to(&f);
	send_body(&f, fd, 200 * KB, 0);
	assert_answer(&f, fd, "200");
	close(fd);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	fixture_destroy(&f);
}

/* Guards against clients that hold their connections for good. */
static void slow_requests_are_closed_and_idle_connections_kept(void **state)
{
	struct intake_limits l = wide;
	struct fixture f;
	int idle, slow;
	bool ended;
	char *text;

	(void)state;
	l.request_ms = 100;
	fixture_create(&f, &l);
	idle = connect_to(&f);
	slow = connect_to(&f);
	send_text(&f, slow, "GET /a HTT", 10);
	text = read_answers(&f, slow, 2, &ended);
	assert_true(ended);
	assert_non_null(strstr(text, "503"));
	g_free(text);
	assert_int_equal(intake_counted(f.in, INTAKE_SLOW_REQUEST), 1);
	send_body(&f, idle, 10, 0);
	assert_answer(&f, idle, "200");
	close(idle);
	close(slow);
	fixture_destroy(&f);
}

/* A client that does not read its answers is closed after a time. */
static void a_client_that_reads_nothing_is_closed(void **state)
{
	struct intake_limits l = wide;
	struct fixture f;
	int fd, size = 4 * KB;
	GString *text = g_string_new(NULL);

	(void)state;
	l.reply_ms = 100;
	fixture_create(&f, &l);
	fd = connect_to(&f);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	while (text->len < 4 << 20)
		g_string_append(text, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	for (int i = 0;
	     i < STEPS_MAX && !intake_counted(f.in, INTAKE_SLOW_READER); i++) {
		if (send(fd, text->str, text->len, MSG_NOSIGNAL) < 0 &&
		    errno != EAGAIN && errno != ENOTCONN)
			break;
		loop_step(f.loop, 1);
	}
	assert_int_equal(intake_counted(f.in, INTAKE_SLOW_READER), 1);
	for (int i = 0; i < 20; i++)
		loop_step(f.loop, 1);
	assert_int_equal(intake_connections(f.in), 0);
	close(fd);
	g_string_free(text, TRUE);
	fixture_destroy(&f);
}

/* The longest idle one is closed for a new connection, which is served. */
static void a_new_connection_replaces_an_idle_one(void **state)
{
	struct intake_limits l = wide;
	struct fixture f;
	int fds[12];
	bool ended;
	char *text;

	(void)state;
	l.connections = 10;
	fixture_create(&f, &l);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = connect_to(&f);
		for (int k = 0; k < 5; k++)
			loop_step(f.loop, 1);
	}
	assert_int_equal(intake_connections(f.in), 10);
	text = read_answers(&f, fds[0], 1, &ended);
	assert_true(ended);
	/* it sent no request, so it gets no answer */
	assert_string_equal(text, "");
	g_free(text);
	send_body(&f, fds[11], 10, 0);
	assert_answer(&f, fds[11], "200");
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	fixture_destroy(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(requests_of_every_form_are_answered),
		cmocka_unit_test(a_refused_request_does_not_reach_the_handler),
		cmocka_unit_test(unfinished_bodies_are_closed_with_503),
		cmocka_unit_test(
			slow_requests_are_closed_and_idle_connections_kept),
		cmocka_unit_test(a_client_that_reads_nothing_is_closed),
		cmocka_unit_test(a_new_connection_replaces_an_idle_one),
	};

	signal(SIGPIPE, SIG_IGN);
	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
