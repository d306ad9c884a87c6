/*
 * An upstream that leaves gets no new checks, and an instance that is stopped
 * ends its open requests instead of cutting them off.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/counter.h"
#include "test/judge.h"

/* Maximum time from the notice of leaving to the last start of a check. */
#define LEAVE_MAX_MS 3000

static const char accounts[] =
	"[{\"name\": \"damodar\", \"check_limit\": 5000}]";

static json_int_t last_start_at(struct test_site *s, const char *worker)
{
	json_t *list = records(s, 0), *r;
	json_int_t last = 0;
	size_t i;

	json_array_foreach(list, i,
			   r) if (!strcmp(json_str_or(r, "worker", ""), worker))
		last = MAX(last, json_int_or(r, "started_ms", 0));
	json_decref(list);
	return last;
}

static void upstream_listed_as_leaving_gets_no_new_checks(void **state)
{
	struct site_options o = {.net = 51,
				 .domains = 1,
				 .instances = 2,
				 .workers = 4,
				 .accounts = accounts,
				 .cut_platform = true};
	struct test_site *s = site_start(&o);
	struct stream st = {.site = s,
			    .net = 51,
			    .concurrent = 16,
			    .total = UINT16_MAX,
			    .extra = "\"run_ms\": 5"};
	uint64_t listed_ms, until;

	(void)state;
	stream_target(&st, 0, 0);
	stream_target(&st, 0, 1);
	while (st.ran < 200)
		stream_pump(&st);
	assert_true(last_start_at(s, "kolkata-w2") > 0);
	command(s, at_platform(s), "/control",
		"{\"lag_ms\": 500, \"member\": {\"name\": \"kolkata-w2\", "
		"\"state\": \"leaving\"}}");
	listed_ms = clock_mono_ms() + o.domains * 500;
	while (clock_mono_ms() < listed_ms + 1500)
		stream_pump(&st);
	/* The notice must stay in effect while the platform is cut off. */
	command(s, at_platform_cutter(s, 0), "/control",
		"{\"link\": -1, \"mode\": \"cut\"}");
	until = listed_ms + LEAVE_MAX_MS + 3000;
	while (clock_mono_ms() < until)
		stream_pump(&st);
	st.total = st.sent;
	while (!stream_done(&st))
		stream_pump(&st);
	assert_int_equal(st.wrong, 0);
	assert_true(last_start_at(s, "kolkata-w1") > (json_int_t)until - 1000);
	if (last_start_at(s, "kolkata-w2") >
	    (json_int_t)listed_ms + LEAVE_MAX_MS)
		fail_msg("check started %lld ms after the upstream was listed "
			 "as leaving",
			 (long long)(last_start_at(s, "kolkata-w2") -
				     (json_int_t)listed_ms));
	stream_free(&st);
	site_stop(s);
}

static void upstream_reporting_leaving_gets_no_new_checks(void **state)
{
	struct site_options o = {.net = 52,
				 .domains = 1,
				 .instances = 2,
				 .workers = 4,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);
	struct stream st = {.site = s,
			    .net = 52,
			    .concurrent = 16,
			    .total = UINT16_MAX,
			    .extra = "\"run_ms\": 5"};
	uint64_t reported_ms;

	(void)state;
	stream_target(&st, 0, 0);
	stream_target(&st, 0, 1);
	while (st.ran < 200)
		stream_pump(&st);
	command(s, at_workers(s, 0), "/control",
		"{\"worker\": \"kolkata-w3\", \"leaving\": true}");
	reported_ms = clock_mono_ms();
	while (clock_mono_ms() < reported_ms + LEAVE_MAX_MS + 2000)
		stream_pump(&st);
	st.total = st.sent;
	while (!stream_done(&st))
		stream_pump(&st);
	assert_true(last_start_at(s, "kolkata-w3") <
		    (json_int_t)reported_ms + LEAVE_MAX_MS);
	stream_free(&st);
	site_stop(s);
}

/*
 * Stops each instance in turn under load. Requests to it go on for 400 ms,
 * because a load balancer notices only within drain_ms.
 */
static void planned_stop_of_instance_cuts_off_no_request(void **state)
{
	struct site_options o = {.net = 53,
				 .domains = 1,
				 .instances = 3,
				 .workers = 4,
				 .accounts = accounts};
	struct test_site *s = site_start(&o);

	(void)state;
	for (uint32_t i = 0; i < 3; i++) {
		struct stream st = {.site = s,
				    .net = 530 + i,
				    .concurrent = 24,
				    .total = UINT16_MAX,
				    .extra = "\"run_ms\": 60"};
		char key[64], *body;
		uint32_t other = (i + 1) % 3;

		stream_target(&st, 0, i);
		while (st.ran < 100)
			stream_pump(&st);
		snprintf(key, sizeof(key), "job%u", i);
		body = g_strdup_printf("{\"account\": \"damodar\", \"key\": "
				       "\"%s\", \"accelerators\": 2, "
				       "\"run_ms\": 4000}",
				       key);
		submit(s, 0, i, body);
		g_free(body);
		instance_signal(s, 0, i, SIGTERM);
		/* This is within drain_ms, which is 600. */
		for (uint64_t until = clock_mono_ms() + 400;
		     clock_mono_ms() < until;)
			stream_pump(&st);
		st.total = st.sent;
		while (!stream_done(&st))
			stream_pump(&st);
		instance_wait(s, 0, i);
		assert_int_equal(st.cut, 0);
		assert_int_equal(st.wrong, 0);
		assert_int_equal(st.ran, st.total);
		wait_for(s, 15000, job_in_state(s, key, "done"));
		judge_gang(s, 1, key, 1);
		stream_free(&st);
		instance_start(s, 0, i);
		wait_for(s, 10000, coordinator_of(s, 0) != UINT32_MAX);
		wait_for(s, 5000,
			 event_seen(s, 0, other, "peer_reachable",
				    i == 0   ? "kolkata-1"
				    : i == 1 ? "kolkata-2"
					     : "kolkata-3"));
	}
	site_stop(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(upstream_listed_as_leaving_gets_no_new_checks),
		cmocka_unit_test(upstream_reporting_leaving_gets_no_new_checks),
		cmocka_unit_test(planned_stop_of_instance_cuts_off_no_request),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
