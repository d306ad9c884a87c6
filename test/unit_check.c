/*
 * Tests of quick checks at one instance, with the table and an upstream in the
 * test's own event loop. The upstream restarts when its incarnation changes.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/check.h"

#define UPSTREAM "127.76.0.1:9000"
#define BODY_MAX 65536
#define DEADLINE_MS 5000
#define WAIT_MAX_MS 3000

struct fixture {
	struct settings settings;
	struct env env;
	struct checks *checks;
	struct http_server *upstream;
	uint64_t incarnation;	/* of the upstream */
	uint32_t runs_of_keys;	/* runs of checks with an idempotency key */
	uint32_t writes;	/* of intents */
	uint64_t write_ticket;	/* of the last write, which waits */
	uint32_t results;	/* finished checks */
	struct verdict verdict; /* of the last finished check */
};

static void serve_run(struct fixture *s, struct http_exchange *x, json_t *v)
{
	uint64_t expected = json_int_or(v, "incarnation", 0);
	const char *text = "checked";

	if (expected && expected != s->incarnation) {
		exchange_reply_json(
			x, 409,
			json_pack("{s:s,s:I}", "refused", "other_incarnation",
				  "incarnation", (json_int_t)s->incarnation),
			0);
		return;
	}
	s->runs_of_keys += json_is_true(json_object_get(v, "keep"));
	exchange_reply_json(x, 200,
			    json_pack("{s:s,s:s,s:I,s:s,s:I}", "lease",
				      json_str_or(v, "lease", ""), "request",
				      json_str_or(v, "request", ""), "length",
				      (json_int_t)strlen(text), "answer", text,
				      "incarnation",
				      (json_int_t)s->incarnation),
			    0);
}

static void serve_upstream(void *arg, struct http_exchange *x)
{
	struct fixture *s = arg;
	json_t *v = json_loads(exchange_body(x, NULL), 0, NULL);

	if (!strcmp(exchange_path(x), "/run"))
		serve_run(s, x, v);
	else
		exchange_reply_json(x, 200,
				    json_pack("{s:s,s:I}", "state", "unknown",
					      "incarnation",
					      (json_int_t)s->incarnation),
				    0);
	json_decref(v);
}

static void receive_write(void *task, struct message *m)
{
	struct fixture *s = task;

	if (m->tag != MSG_TXN || !m->ticket)
		return;
	s->writes++;
	s->write_ticket = m->ticket;
}

static void receive_result(void *task, struct message *m)
{
	struct fixture *s = task;

	if (m->tag != MSG_CHECK_DONE)
		return;
	s->results++;
	s->verdict = m->check_result.verdict;
}

static void deliver_messages(void *arg)
{
	bus_deliver(arg);
}

static void post_config(struct fixture *s)
{
	struct message m = {
		.tag = MSG_CONFIG, .from = TASK_CONFIG, .to = TASK_CHECK};
	json_t *values =
		json_pack("{s:{s:s},s:{s:s,s:s,s:s,s:s,s:i,s:i}}",
			  "config/account/damodar", "name", "damodar",
			  "config/upstream/kolkata-w1", "name", "kolkata-w1",
			  "domain", "kolkata", "rack", "kolkata-r1", "address",
			  UPSTREAM, "accelerators", 8, "slots", 8);

	m.config = config_build(values, 1);
	bus_post(s->env.bus, &m);
	json_decref(values);
}

static struct fixture *setup_site(void)
{
	struct fixture *s = g_new0(struct fixture, 1);
	struct sockaddr_in a;

	g_strlcpy(s->settings.name, "kolkata-1", sizeof(s->settings.name));
	g_strlcpy(s->settings.domain, "kolkata", sizeof(s->settings.domain));
	s->settings.incarnation = 1;
	s->settings.max_checks = 100;
	s->settings.upstream_connections = 8;
	s->incarnation = 1;
	s->env = (struct env){.settings = &s->settings,
			      .loop = loop_create(),
			      .bus = bus_create(),
			      .counters = counters_create(),
			      .events = event_ring_create(100)};
	s->env.http = http_client_create(s->env.loop);
	loop_on_iteration_end(s->env.loop, deliver_messages, s->env.bus);
	address_parse(UPSTREAM, &a);
	s->upstream = http_server_create(s->env.loop, &a, BODY_MAX,
					 serve_upstream, s);
	assert_non_null(s->upstream);
	bus_attach(s->env.bus, TASK_PLATFORM, receive_write, s);
	bus_attach(s->env.bus, TASK_CALLER, receive_result, s);
	s->checks = checks_create(&s->env);
	post_config(s);
	return s;
}

static void teardown_site(struct fixture *s)
{
	checks_destroy(s->checks);
	http_server_destroy(s->upstream);
	http_client_destroy(s->env.http);
	bus_destroy(s->env.bus);
	counters_destroy(s->env.counters);
	event_ring_destroy(s->env.events);
	loop_destroy(s->env.loop);
	g_free(s);
}

/* Send a check; key is NULL if it is idempotent. */
static void send_check(struct fixture *s, const char *key)
{
	struct message m = {
		.tag = MSG_CHECK, .from = TASK_CALLER, .to = TASK_CHECK};

	m.check.request =
		json_pack("{s:s,s:s,s:s*}", "account", "damodar", "request",
			  key ? key : "idempotent", "key", key);
	m.check.deadline_ms = clock_mono_ms() + DEADLINE_MS;
	bus_post(s->env.bus, &m);
}

static void answer_write(struct fixture *s)
{
	struct message m = {.tag = MSG_TXN_DONE,
			    .from = TASK_PLATFORM,
			    .to = TASK_CHECK,
			    .ticket = s->write_ticket};

	m.txn.verdict = verdict_ran();
	m.txn.version = 2;
	bus_post(s->env.bus, &m);
}

/* Run the loop until *count is n. */
static void await_count(struct fixture *s, const uint32_t *count, uint32_t n)
{
	uint64_t until_ms = clock_mono_ms() + WAIT_MAX_MS;

	while (*count < n && clock_mono_ms() < until_ms)
		loop_step(s->env.loop, 10);
	assert_int_equal(*count, n);
}

static void test_recorded_check_is_not_run_by_a_later_incarnation(void **state)
{
	struct fixture *s = setup_site();

	(void)state;
	send_check(s, "payout");
	await_count(s, &s->writes, 1);
	s->incarnation = 2;
	send_check(s, NULL);
	await_count(s, &s->results, 1);
	assert_int_equal(s->verdict.tag, VERDICT_RAN);
	answer_write(s);
	await_count(s, &s->results, 2);
	assert_int_equal(s->runs_of_keys, 0);
	assert_int_equal(s->verdict.tag, VERDICT_DID_NOT_RUN);
	teardown_site(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_recorded_check_is_not_run_by_a_later_incarnation),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
