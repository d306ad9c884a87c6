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
#include <xxhash.h>

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
	json_t *row;		/* the intent row; NULL: none */
	bool knows_leases;	/* the upstream refuses leases that ended */
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

	if (!strcmp(exchange_path(x), "/run") && s->knows_leases)
		exchange_reply_json(
			x, 409, json_pack("{s:s}", "refused", "lease_known"),
			0);
	else if (!strcmp(exchange_path(x), "/run"))
		serve_run(s, x, v);
	else
		exchange_reply_json(x, 200,
				    json_pack("{s:s,s:I}", "state", "unknown",
					      "incarnation",
					      (json_int_t)s->incarnation),
				    0);
	json_decref(v);
}

static void set_row(struct fixture *s, json_t *value)
{
	json_decref(s->row);
	s->row = json_pack("{s:I,s:o}", "version", (json_int_t)2, "value",
			   value);
}

/* Keep the row of a write, which waits, and answer a read. */
static void receive_table_call(void *task, struct message *m)
{
	struct fixture *s = task;
	struct message out = {.tag = MSG_READ_DONE,
			      .from = TASK_PLATFORM,
			      .to = TASK_CHECK,
			      .ticket = m->ticket};

	if (m->tag == MSG_TXN && m->ticket) {
		s->writes++;
		s->write_ticket = m->ticket;
		set_row(s, json_incref(json_object_get(
				   json_array_get(m->json, 0), "value")));
	} else if (m->tag == MSG_READ) {
		out.txn.verdict = verdict_ran();
		out.txn.conflict = json_incref(s->row);
		bus_post(s->env.bus, &out);
	}
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
	bus_attach(s->env.bus, TASK_PLATFORM, receive_table_call, s);
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
	json_decref(s->row);
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

/* Return the row after a repeat at another instance has replaced it and run. */
static json_t *row_of_repeat(void)
{
	char *hash = g_strdup_printf("%016" G_GINT64_MODIFIER "x",
				     (guint64)XXH64("", 0, 0));
	json_t *v = json_pack("{s:s,s:s,s:s,s:s,s:s,s:{s:s}}", "nonce",
			      "kolkata-2-1-1", "state", "done", "hash", hash,
			      "lease", "kolkata-2-1-1", "upstream",
			      "kolkata-w2", "answer", "answer", "checked");

	g_free(hash);
	return v;
}

static void test_replaced_check_gets_the_answer_of_its_repeat(void **state)
{
	struct fixture *s = setup_site();

	(void)state;
	send_check(s, "payout");
	await_count(s, &s->writes, 1);
	set_row(s, row_of_repeat());
	s->knows_leases = true;
	answer_write(s);
	await_count(s, &s->results, 1);
	assert_int_equal(s->verdict.tag, VERDICT_RAN);
	teardown_site(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_recorded_check_is_not_run_by_a_later_incarnation),
		cmocka_unit_test(
			test_replaced_check_gets_the_answer_of_its_repeat),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
