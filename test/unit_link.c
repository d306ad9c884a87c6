/*
 * Tests of the links between instances. The test itself is the peer; its
 * messages stay in the socket while the clock advances.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "daemon/peer.h"
#include "lib/frame.h"
#include "test/testclock.h"

#define PEER_ADDRESS "127.76.100.1:7500"
#define BUDGET_MS 800
/* Longer than the silence after which the sender gives the link up. */
#define PAUSE_MS 2500

struct fixture {
	struct settings settings;
	struct env env;
	struct peers *peers;
	struct frame_conn *conn;
	uint32_t messages; /* received from the instance */
	uint32_t checks;   /* that the instance was to run */
	bool closed;
};

static void on_opened(void *arg, struct frame_conn *c)
{
	Lacewing__Hello h = LACEWING__HELLO__INIT;
	Lacewing__Envelope e = LACEWING__ENVELOPE__INIT;

	(void)arg;
	h.protocol = 1;
	h.name = (char *)"durgapur-1";
	h.domain = (char *)"durgapur";
	h.incarnation = 1;
	h.peer_address = (char *)"127.76.100.2:7500";
	h.http_address = (char *)"127.76.100.2:7400";
	e.body_case = LACEWING__ENVELOPE__BODY_HELLO;
	e.hello = &h;
	frame_send(c, &e);
}

static void on_received(void *arg, struct frame_conn *c,
			const Lacewing__Envelope *e)
{
	struct fixture *s = arg;

	(void)c;
	(void)e;
	s->messages++;
}

static void on_closed(void *arg, struct frame_conn *c, const char *why)
{
	struct fixture *s = arg;

	(void)c;
	(void)why;
	s->closed = true;
}

static const struct frame_events events = {on_opened, on_received, on_closed};

static void receive_check(void *task, struct message *m)
{
	struct fixture *s = task;

	s->checks += m->tag == MSG_CHECK;
}

static void deliver_messages(void *arg)
{
	bus_deliver(arg);
}

static struct fixture *setup_link(void)
{
	struct fixture *s = g_new0(struct fixture, 1);
	struct sockaddr_in to;

	g_strlcpy(s->settings.name, "kolkata-1", sizeof(s->settings.name));
	g_strlcpy(s->settings.domain, "kolkata", sizeof(s->settings.domain));
	address_parse(PEER_ADDRESS, &s->settings.peer);
	s->env = (struct env){.settings = &s->settings,
			      .loop = loop_create(),
			      .bus = bus_create(),
			      .counters = counters_create(),
			      .events = event_ring_create(100)};
	loop_on_iteration_end(s->env.loop, deliver_messages, s->env.bus);
	bus_attach(s->env.bus, TASK_CHECK, receive_check, s);
	s->peers = peers_create(&s->env);
	assert_non_null(s->peers);
	address_parse(PEER_ADDRESS, &to);
	s->conn = frame_connect(s->env.loop, &to, &events, s);
	return s;
}

static void teardown_link(struct fixture *s)
{
	if (!s->closed)
		frame_close(s->conn);
	peers_destroy(s->peers);
	bus_destroy(s->env.bus);
	counters_destroy(s->env.counters);
	event_ring_destroy(s->env.events);
	loop_destroy(s->env.loop);
	g_free(s);
}

static void run_for(struct fixture *s, uint64_t ms)
{
	uint64_t until_ms = clock_mono_ms() + ms;

	while (clock_mono_ms() < until_ms)
		loop_step(s->env.loop, 10);
}

static void send_check(struct fixture *s)
{
	Lacewing__Check c = LACEWING__CHECK__INIT;
	Lacewing__Envelope e = LACEWING__ENVELOPE__INIT;

	c.ticket = 1;
	c.request = (char *)"{\"account\": \"damodar\"}";
	c.budget_ms = BUDGET_MS;
	e.body_case = LACEWING__ENVELOPE__BODY_CHECK;
	e.check = &c;
	frame_send(s->conn, &e);
}

static void test_check_of_a_peer_is_taken(void **state)
{
	struct fixture *s = setup_link();

	(void)state;
	run_for(s, 600);
	assert_true(s->messages > 1);
	send_check(s);
	run_for(s, 300);
	assert_int_equal(s->checks, 1);
	teardown_link(s);
}

static void
test_resumed_peer_drops_checks_of_a_link_that_fell_silent(void **state)
{
	struct fixture *s = setup_link();

	(void)state;
	run_for(s, 600);
	assert_true(s->messages > 1);
	send_check(s);
	clock_offset_ms += PAUSE_MS;
	run_for(s, 300);
	assert_int_equal(s->checks, 0);
	assert_true(s->closed);
	teardown_link(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_check_of_a_peer_is_taken),
		cmocka_unit_test(
			test_resumed_peer_drops_checks_of_a_link_that_fell_silent),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
