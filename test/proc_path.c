/*
 * Checks, jobs and gangs from submission to completion by real processes, and
 * the rejection of invalid input.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proto/peer.pb-c.h"
#include "test/site.h"

static const char accounts[] =
	"[{\"name\": \"damodar\"}, {\"name\": \"teesta\", \"queue_limit\": 2, "
	"\"guarantee\": [{\"cell\": \"upstream\", \"count\": 2}]}]";

static void check_job_and_gang_complete(void **state)
{
	struct site_options o = {.net = 11,
				 .domains = 2,
				 .instances = 2,
				 .workers = 4,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	json_t *v;
	int status;

	(void)state;
	v = ask(s, at_instance(s, 0, 1), "POST", "/v1/checks",
		"{\"account\": \"damodar\", \"payload\": \"x\"}", &status);
	assert_int_equal(status, 200);
	assert_string_equal(json_str_or(v, "answer", ""), "checked:x");
	json_decref(v);
	submit(s, 0, 0,
	       "{\"account\": \"damodar\", \"key\": \"batch\", "
	       "\"accelerators\": 1, \"run_ms\": 50}");
	submit(s, 1, 1,
	       "{\"account\": \"teesta\", \"key\": \"gang\", "
	       "\"parts\": 4, \"accelerators\": 4, \"run_ms\": 50}");
	wait_for(s, 8000, job_in_state(s, "batch", "done"));
	wait_for(s, 8000, job_in_state(s, "gang", "done"));
	site_stop(s);
}

/* Guards against a second job, and a second run, for one key. */
static void repeated_submission_returns_first_job(void **state)
{
	struct site_options o = {.net = 12,
				 .domains = 1,
				 .instances = 2,
				 .workers = 2,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	static const char body[] = "{\"account\": \"damodar\", \"key\": \"j\", "
				   "\"accelerators\": 1, \"run_ms\": 300}";
	static const char other[] = "{\"account\": \"damodar\", \"key\": "
				    "\"j\", \"accelerators\": 2, "
				    "\"run_ms\": 300}";
	json_t *v, *list;
	int status;

	(void)state;
	submit(s, 0, 0, body);
	v = ask(s, at_instance(s, 0, 1), "POST", "/v1/jobs", body, &status);
	assert_true(json_is_true(json_object_get(v, "existing")) ||
		    status == 202);
	json_decref(v);
	v = ask(s, at_instance(s, 0, 1), "POST", "/v1/jobs", other, &status);
	assert_int_equal(status, 409);
	json_decref(v);
	wait_for(s, 8000, job_in_state(s, "j", "done"));
	list = records(s, 0);
	assert_int_equal(json_array_size(list), 1);
	json_decref(list);
	site_stop(s);
}

static void running_and_queued_jobs_stop_when_cancelled(void **state)
{
	struct site_options o = {.net = 13,
				 .domains = 1,
				 .instances = 2,
				 .workers = 2,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	int status;

	(void)state;
	submit(s, 0, 0,
	       "{\"account\": \"damodar\", \"key\": \"long\", "
	       "\"accelerators\": 8, \"parts\": 2, "
	       "\"run_ms\": 600000}");
	/* both upstreams are known then, so that the next job has to wait */
	wait_for(s, 8000, job_in_state(s, "long", "running"));
	submit(s, 0, 0,
	       "{\"account\": \"damodar\", \"key\": \"behind\", "
	       "\"accelerators\": 8, \"run_ms\": 600000}");
	json_decref(ask(s, at_instance(s, 0, 1), "DELETE", "/v1/jobs/behind",
			NULL, &status));
	assert_int_equal(status, 202);
	json_decref(ask(s, at_instance(s, 0, 1), "DELETE", "/v1/jobs/long",
			NULL, &status));
	assert_int_equal(status, 202);
	wait_for(s, 8000, job_in_state(s, "long", "cancelled"));
	wait_for(s, 8000, job_in_state(s, "behind", "cancelled"));
	site_stop(s);
}

/*
 * Guards against endless retries of a job that fails everywhere, and against
 * the loss of good jobs to an upstream on which every job fails.
 */
static void failing_job_is_parked_failing_upstream_quarantined(void **state)
{
	struct site_options o = {.net = 14,
				 .domains = 1,
				 .instances = 1,
				 .workers = 5,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);

	(void)state;
	submit(s, 0, 0,
	       "{\"account\": \"damodar\", \"key\": \"bad\", "
	       "\"accelerators\": 1, \"run_ms\": 10, "
	       "\"payload\": \"fail\"}");
	wait_for(s, 15000, job_in_state(s, "bad", "parked"));
	command(s, at_workers(s, 0), "/control",
		"{\"worker\": \"kolkata-w1\", \"fail_all\": true}");
	for (int i = 0; i < 6; i++) {
		char *body = g_strdup_printf(
			"{\"account\": \"damodar\", \"key\": \"good%d\", "
			"\"accelerators\": 1, \"run_ms\": 10}",
			i);

		submit(s, 0, 0, body);
		g_free(body);
	}
	for (int i = 0; i < 6; i++) {
		char key[16];

		snprintf(key, sizeof(key), "good%d", i);
		wait_for(s, 15000, job_in_state(s, key, "done"));
	}
	assert_true(event_seen(s, 0, 0, "quarantined", "kolkata-w1"));
	site_stop(s);
}

/* All upstreams of one domain are leaving; the other domain runs its check. */
static void check_is_forwarded_when_domain_has_no_upstream(void **state)
{
	struct site_options o = {.net = 17,
				 .domains = 2,
				 .instances = 1,
				 .workers = 2,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	json_t *v;
	int status;

	(void)state;
	for (int i = 1; i <= 2; i++) {
		char *body = g_strdup_printf(
			"{\"member\": {\"name\": \"kolkata-w%d\", "
			"\"state\": \"leaving\"}}",
			i);

		command(s, at_platform(s), "/control", body);
		g_free(body);
	}
	wait_for(s, 5000,
		 event_seen(s, 0, 0, "upstream_leaving", "kolkata-w1"));
	wait_for(s, 5000,
		 event_seen(s, 0, 0, "upstream_leaving", "kolkata-w2"));
	v = ask(s, at_instance(s, 0, 0), "POST", "/v1/checks",
		"{\"account\": \"damodar\", \"payload\": \"x\"}", &status);
	assert_int_equal(status, 200);
	assert_string_equal(json_str_or(v, "answer", ""), "checked:x");
	assert_non_null(strstr(json_str_or(v, "upstream", ""), "durgapur"));
	json_decref(v);
	site_stop(s);
}

struct rejected_request {
	const char *method;
	const char *path;
	const char *body;
	int status;
	const char *reason;
};

static const struct rejected_request rejected_requests[] = {
	{"POST", "/v1/checks", "{", 400, "bad_request"},
	{"POST", "/v1/checks", "[]", 400, "bad_request"},
	{"POST", "/v1/checks", "{}", 400, "bad_request"},
	{"POST", "/v1/checks", "{\"account\": 3}", 400, "bad_request"},
	{"POST", "/v1/checks", "{\"account\": \"nobody\"}", 403,
	 "unknown_account"},
	{"POST", "/v1/checks", "{\"account\": \"damodar\", \"more\": 1}", 400,
	 "bad_request"},
	{"POST", "/v1/checks",
	 "{\"account\": \"damodar\", \"idempotent\": false}", 400,
	 "bad_request"},
	{"POST", "/v1/jobs", "{\"account\": \"damodar\"}", 400, "bad_request"},
	{"POST", "/v1/jobs",
	 "{\"account\": \"damodar\", \"run_ms\": 1, \"parts\": 257}", 400,
	 "bad_request"},
	{"POST", "/v1/jobs",
	 "{\"account\": \"damodar\", \"run_ms\": 1, \"accelerators\": 9}", 422,
	 "never_fits"},
	{"POST", "/v1/jobs",
	 "{\"account\": \"damodar\", \"run_ms\": 1, \"parts\": 9, "
	 "\"accelerators\": 8}",
	 422, "never_fits"},
	{"POST", "/v1/jobs",
	 "{\"account\": \"damodar\", \"run_ms\": 1, \"key\": \"a b\"}", 400,
	 "bad_request"},
	{"PUT", "/v1/jobs", "{}", 405, "bad_request"},
	{"GET", "/v1/nothing", "", 404, "not_found"},
	{"GET", "/v1/jobs/nothing", "", 404, "not_found"},
	{"DELETE", "/v1/jobs/nothing", "", 404, "not_found"},
	{"POST", "/v1/config", "{\"accounts\": [{\"name\": 1}]}", 400,
	 "bad_request"},
	{"POST", "/v1/config",
	 "{\"accounts\": [{\"name\": \"x\", \"guarantee\": [{\"cell\": "
	 "\"upstream\", \"count\": 3}]}]}",
	 400, "bad_request"},
};

/*
 * Send raw bytes to a server, and wait until it closes the connection if
 * wait_close is true.
 */
static void send_raw(struct test_site *s, const char *server, const void *bytes,
		     size_t len, bool wait_close)
{
	struct sockaddr_in a;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char buf[256];
	struct timeval tv = {5, 0};

	(void)s;
	address_parse(server, &a);
	assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	assert_int_equal(write(fd, bytes, len), (ssize_t)len);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	while (wait_close && read(fd, buf, sizeof(buf)) > 0)
		;
	close(fd);
}

static void send_hello_with_version(struct test_site *s, const char *server,
				    uint32_t version)
{
	Lacewing__Hello h = LACEWING__HELLO__INIT;
	Lacewing__Envelope e = LACEWING__ENVELOPE__INIT;
	uint8_t buf[512];
	uint32_t n;

	h.protocol = version;
	h.name = "stranger";
	h.domain = "nowhere";
	h.peer_address = "127.0.0.1:1";
	h.http_address = "127.0.0.1:1";
	e.body_case = LACEWING__ENVELOPE__BODY_HELLO;
	e.hello = &h;
	n = htonl(lacewing__envelope__get_packed_size(&e));
	memcpy(buf, &n, 4);
	lacewing__envelope__pack(&e, buf + 4);
	send_raw(s, server, buf, ntohl(n) + 4, true);
}

/*
 * Guards against invalid input that is accepted or that stops the instance:
 * malformed, oversized and truncated requests, and peers with a bad frame
 * length or protocol version.  A valid request must succeed afterwards.
 */
static void invalid_input_is_rejected_with_a_reason(void **state)
{
	struct site_options o = {.net = 15,
				 .domains = 1,
				 .instances = 1,
				 .workers = 4,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	char *large = g_strnfill(300 << 10, 'x');
	char peer[64];
	json_t *v;
	int status;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rejected_requests); i++) {
		v = ask(s, at_instance(s, 0, 0), rejected_requests[i].method,
			rejected_requests[i].path, rejected_requests[i].body,
			&status);
		if (status != rejected_requests[i].status ||
		    strcmp(json_str_or(v, "reason", ""),
			   rejected_requests[i].reason) ||
		    strcmp(json_str_or(v, "verdict", ""), "did_not_run"))
			fail_msg("%s %s: %d %s %s", rejected_requests[i].path,
				 rejected_requests[i].body, status,
				 json_str_or(v, "verdict", "none"),
				 json_str_or(v, "reason", "none"));
		json_decref(v);
	}
	json_decref(ask(s, at_instance(s, 0, 0), "POST", "/v1/checks", large,
			&status));
	assert_int_equal(status, 413);
	send_raw(s, at_instance(s, 0, 0), "POST /v1/jobs HTTP/1.1\r\n", 20,
		 false);
	snprintf(peer, sizeof(peer), "127.%u.1.1:7500", o.net);
	send_raw(s, peer, "\xff\xff\xff\xff____", 8, true);
	send_raw(s, peer, "\x00\x00\x00\x04____", 8, true);
	send_hello_with_version(s, peer, 99);
	v = ask(s, at_instance(s, 0, 0), "GET", "/v1/jobs", NULL, &status);
	assert_int_equal(json_array_size(json_object_get(v, "jobs")), 0);
	json_decref(v);
	v = ask(s, at_instance(s, 0, 0), "POST", "/v1/checks",
		"{\"account\": \"damodar\"}", &status);
	assert_int_equal(status, 200);
	json_decref(v);
	g_free(large);
	site_stop(s);
}

/* One account fills the upstreams; the queue limit of the other is 2. */
static void submission_to_full_queue_is_rejected(void **state)
{
	struct site_options o = {.net = 16,
				 .domains = 1,
				 .instances = 1,
				 .workers = 2,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	int status = 0;

	(void)state;
	submit(s, 0, 0,
	       "{\"account\": \"damodar\", \"key\": \"all\", "
	       "\"accelerators\": 8, \"parts\": 2, "
	       "\"run_ms\": 600000}");
	wait_for(s, 8000, job_in_state(s, "all", "running"));
	for (int i = 0; i < 3 && status != 429; i++) {
		char *body = g_strdup_printf(
			"{\"account\": \"damodar\", \"key\": \"w%d\", "
			"\"accelerators\": 8, \"run_ms\": 1}",
			i);

		submit(s, 0, 0, body);
		g_free(body);
	}
	for (int i = 0; i < 4; i++) {
		char *body = g_strdup_printf(
			"{\"account\": \"teesta\", \"key\": \"t%d\", "
			"\"accelerators\": 8, \"parts\": 2, \"run_ms\": "
			"600000}",
			i);

		json_decref(ask(s, at_instance(s, 0, 0), "POST", "/v1/jobs",
				body, &status));
		g_free(body);
		if (i == 0)
			wait_for(s, 9000, job_in_state(s, "t0", "running"));
	}
	assert_int_equal(status, 429);
	site_stop(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(check_job_and_gang_complete),
		cmocka_unit_test(repeated_submission_returns_first_job),
		cmocka_unit_test(running_and_queued_jobs_stop_when_cancelled),
		cmocka_unit_test(
			failing_job_is_parked_failing_upstream_quarantined),
		cmocka_unit_test(
			check_is_forwarded_when_domain_has_no_upstream),
		cmocka_unit_test(invalid_input_is_rejected_with_a_reason),
		cmocka_unit_test(submission_to_full_queue_is_rejected),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
