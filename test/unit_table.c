/*
 * Tests of the platform client with the platform's table in the test's own
 * event loop: an answer that is older than what is known is no reading of the
 * table.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "daemon/platform_client.h"
#include "lib/http.h"
#include "lib/schema.h"

#define BODY_MAX 65536
#define SCAN_INTERVAL_MS 20
#define WAIT_MAX_MS 5000
/* Each process has its own port, so that runs do not disturb each other. */
#define PORT_MIN 9000
#define PORT_COUNT 20000

struct fixture {
	struct settings settings;
	struct sockaddr_in platform;
	struct env env;
	struct http_server *server;
	struct platform_client *client;
	uint64_t version; /* up to which scans are answered */
	uint64_t commit_version;
	uint64_t
		conflict_version; /* of the row of a conflict; 0: no conflict */
	uint64_t scanned_after;	  /* version that the last scan starts from */
	uint32_t scans;
	uint32_t caught_up; /* answers that count as a reading of the table */
	bool txn_done;
};

static void serve_platform(void *arg, struct http_exchange *x)
{
	struct fixture *s = arg;
	json_t *answer = json_pack("{s:I,s:I,s:[]}", "version",
				   (json_int_t)s->commit_version, "complete",
				   (json_int_t)s->version, "rows");
	char *after = exchange_query(x, "after");
	bool conflicts = s->conflict_version && !after;

	if (after) {
		s->scans++;
		s->scanned_after = g_ascii_strtoull(after, NULL, 10);
	}
	if (conflicts)
		json_object_set_new(answer, "conflict",
				    json_pack("{s:s,s:I}", "key", "job/reindex",
					      "version",
					      (json_int_t)s->conflict_version));
	exchange_reply_json(x, conflicts ? 409 : 200, answer, 0);
	g_free(after);
}

static void receive_rows(void *task, struct message *m)
{
	struct fixture *s = task;

	if (m->tag == MSG_TXN_DONE)
		s->txn_done = true;
	if (m->tag == MSG_ROWS)
		s->caught_up += m->rows.caught_up_ms != 0;
}

static void deliver_messages(void *arg)
{
	bus_deliver(arg);
}

static struct fixture *setup_client(void)
{
	static uint32_t last_host;
	struct fixture *s = g_new0(struct fixture, 1);
	char *address = g_strdup_printf("127.75.0.%u:%d", ++last_host,
					PORT_MIN + getpid() % PORT_COUNT);

	g_strlcpy(s->settings.name, "kolkata-1", sizeof(s->settings.name));
	assert_true(address_parse(address, &s->platform));
	s->settings.platform = &s->platform;
	s->settings.platform_len = 1;
	s->settings.scan_ms = SCAN_INTERVAL_MS;
	s->env = (struct env){.settings = &s->settings,
			      .loop = loop_create(),
			      .bus = bus_create(),
			      .counters = counters_create(),
			      .events = event_ring_create(100)};
	s->env.http = http_client_create(s->env.loop);
	loop_on_iteration_end(s->env.loop, deliver_messages, s->env.bus);
	s->server = http_server_create(s->env.loop, &s->platform, BODY_MAX,
				       serve_platform, s);
	assert_non_null(s->server);
	bus_attach(s->env.bus, TASK_JOB, receive_rows, s);
	s->version = 10;
	s->client = platform_client_create(&s->env);
	g_free(address);
	return s;
}

static void teardown_client(struct fixture *s)
{
	platform_client_destroy(s->client);
	http_server_destroy(s->server);
	http_client_destroy(s->env.http);
	bus_destroy(s->env.bus);
	counters_destroy(s->env.counters);
	event_ring_destroy(s->env.events);
	loop_destroy(s->env.loop);
	g_free(s);
}

/* Runs the client until the condition is true. */
#define wait_until(s, what)                                                    \
	do {                                                                   \
		uint64_t until_ms_ = clock_mono_ms() + WAIT_MAX_MS;            \
		while (!(what)) {                                              \
			if (clock_mono_ms() > until_ms_)                       \
				fail_msg("not within %d ms: %s", WAIT_MAX_MS,  \
					 #what);                               \
			loop_step((s)->env.loop, 10);                          \
		}                                                              \
	} while (0)

static void wait_for_scans(struct fixture *s, uint32_t n)
{
	uint32_t until = s->scans + n;

	wait_until(s, s->scans >= until);
}

static void test_scan_that_goes_back_is_no_reading(void **state)
{
	struct fixture *s = setup_client();
	uint32_t caught_up;

	(void)state;
	wait_until(s, s->caught_up);
	s->version = 7;
	wait_for_scans(s, 2);
	caught_up = s->caught_up;
	wait_for_scans(s, 3);
	assert_int_equal(s->caught_up, caught_up);
	assert_int_equal(s->scanned_after, 10);
	s->version = 11;
	wait_until(s, s->caught_up > caught_up);
	teardown_client(s);
}

/* Play a transaction that shows that the table has reached version 20. */
static void play_transaction(struct fixture *s)
{
	uint32_t caught_up;

	wait_until(s, s->caught_up);
	post_txn(s->env.bus, TASK_JOB, 1, json_array());
	wait_until(s, s->txn_done);
	wait_for_scans(s, 2);
	caught_up = s->caught_up;
	wait_for_scans(s, 3);
	assert_int_equal(s->caught_up, caught_up);
	s->version = 20;
	wait_until(s, s->caught_up > caught_up);
}

static void test_scan_without_an_own_commit_is_no_reading(void **state)
{
	struct fixture *s = setup_client();

	(void)state;
	s->commit_version = 20;
	play_transaction(s);
	teardown_client(s);
}

static void test_scan_without_the_row_of_a_conflict_is_no_reading(void **state)
{
	struct fixture *s = setup_client();

	(void)state;
	s->conflict_version = 20;
	play_transaction(s);
	teardown_client(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_scan_that_goes_back_is_no_reading),
		cmocka_unit_test(test_scan_without_an_own_commit_is_no_reading),
		cmocka_unit_test(
			test_scan_without_the_row_of_a_conflict_is_no_reading),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
