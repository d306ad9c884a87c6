/*
 * Tests of the leader as a whole, with a store and an upstream in the test's
 * own event loop. The store holds what the test gives it, and answers writes
 * after a delay.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lead/leader.h"
#include "lead/record.h"
#include "lib/counter.h"
#include "lib/http.h"
#include "platform/decode.h"

#define BODY_MAX 65536
#define JOB "00000000000000a1"
/* A start must be ordered within this time. */
#define START_MAX_MS 4000

struct fixture {
	struct loop *loop;
	struct http_client *http;
	struct http_server *upstream;
	struct counters *counters;
	struct joint_settings settings;
	struct rows *rows;
	struct replica *owners, *jobs, *states;
	struct leader *leader;
	struct policy *policy;
	char *spec; /* row of the only job */
	bool has_job;
	char *entry; /* of the only upstream */
	uint64_t version;
	uint32_t write_delay_ms;
	uint32_t starts; /* orders that the upstream got */
	GPtrArray *calls;
};

/* A call of the store that is answered after a delay. */
struct call {
	struct fixture *fixture;
	struct timer timer;
	char *path;
	char *body; /* of the answer */
	http_done_fn done;
	void *done_arg;
};

static void answer_call(void *arg)
{
	struct call *c = arg;
	struct http_result r = {.verdict = verdict_ran(),
				.status = 200,
				.body = c->body,
				.len = strlen(c->body)};

	c->done(c->done_arg, &r);
	g_ptr_array_remove_fast(c->fixture->calls, c);
}

static void call_free(void *arg)
{
	struct call *c = arg;

	timer_stop(c->fixture->loop, &c->timer);
	g_free(c->path);
	g_free(c->body);
	g_free(c);
}

static json_t *encode_row(const char *key, const char *value, uint64_t version)
{
	char *b64 = g_base64_encode((const guchar *)value, strlen(value));
	json_t *v = json_pack("{s:s,s:s,s:I}", "key", key, "value", b64,
			      "rowVersion", (json_int_t)version);

	g_free(b64);
	return v;
}

/* Return the rows of the table that a path names. */
static json_t *rows_of(const struct fixture *s, const char *path)
{
	json_t *rows = json_array();
	const char *key = NULL, *value = NULL;

	if (strstr(path, "table=" SPEC_TABLE "&part=1&") && s->has_job) {
		key = JOB;
		value = s->spec;
	} else if (strstr(path, "table=" UPSTREAM_TABLE "&")) {
		key = "u1";
		value = s->entry;
	}
	if (!key)
		return rows;
	json_array_append_new(rows, encode_row(key, value, 1));
	return rows;
}

/* Answer reads and writes; a feed has no changes and is never answered. */
static bool send_to_store(void *arg, const char *method, const char *path,
			  const char *body, uint32_t timeout_ms,
			  http_done_fn done, void *done_arg)
{
	struct fixture *s = arg;
	struct call *c = g_new0(struct call, 1);
	bool write = !strcmp(method, "POST");
	json_t *v;

	(void)body;
	(void)timeout_ms;
	c->fixture = s;
	c->path = g_strdup(path);
	c->done = done;
	c->done_arg = done_arg;
	timer_init(&c->timer, answer_call, c);
	s->version += write;
	v = json_pack("{s:o,s:I,s:I}", "rows", rows_of(s, path), "rowVersion",
		      (json_int_t)s->version, "nowMs",
		      (json_int_t)clock_mono_ms());
	c->body = json_dumps(v, JSON_COMPACT);
	json_decref(v);
	g_ptr_array_add(s->calls, c);
	if (!strstr(path, "rows-feed"))
		timer_start(s->loop, &c->timer, write ? s->write_delay_ms : 1);
	return true;
}

static void handle_order(void *arg, struct http_exchange *x)
{
	struct fixture *s = arg;

	s->starts += !strcmp(exchange_path(x), "/-/run-start");
	exchange_reply_json(x, 200,
			    json_pack("{s:I,s:I,s:[],s:[]}", "clockMs",
				      (json_int_t)clock_mono_ms(), "born",
				      (json_int_t)77, "running", "finished"),
			    0);
}

static void on_owner_row(void *arg, const char *key, const char *value,
			 uint64_t version)
{
	(void)key;
	leader_apply_owner_row(((struct fixture *)arg)->leader, value, version);
}

static void on_owner_answer(void *arg)
{
	leader_note_owner_answer(((struct fixture *)arg)->leader);
}

static void ignore_row(void *arg, const char *key, const char *value,
		       uint64_t version)
{
	(void)arg;
	(void)key;
	(void)value;
	(void)version;
}

static uint32_t no_stronger_peers(void *arg)
{
	(void)arg;
	return 0;
}

/* Listen on a free port of the loopback; returns the address. */
static char *listen_as_upstream(struct fixture *s)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
				 .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &len), 0);
	close(fd);
	s->upstream =
		http_server_create(s->loop, &at, BODY_MAX, handle_order, s);
	assert_non_null(s->upstream);
	return g_strdup_printf("127.0.0.1:%u", ntohs(at.sin_port));
}

/* Fill the store: a job of one task, and an upstream that can hold it. */
static void fill_store(struct fixture *s)
{
	char *address = listen_as_upstream(s);
	struct job *j = job_create(JOB);
	struct service *service;
	struct queue *q;

	s->policy = policy_create(1);
	/* the feeds are never answered, so the list of upstreams is old */
	service = policy_add_service(s->policy);
	g_strlcpy(service->name, "s", sizeof(service->name));
	service->enforces_capacity = true;
	q = policy_add_queue(s->policy);
	g_strlcpy(q->name, "q", sizeof(q->name));
	g_strlcpy(q->service, "s", sizeof(q->service));
	q->slack_factor = 1;
	queue_configure_job(q, j);
	j->payload = g_strdup("");
	job_add_step(j)->count = 1;
	s->spec = spec_encode(j);
	job_destroy(j);
	s->entry = g_strdup_printf(
		"{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\","
		"\"addr\":\"%s\",\"seq\":1,\"born\":77,\"labels\":[\"a\","
		"\"r\"],\"capacity\":{\"cpu\":1000,\"memMb\":1000}}",
		address);
	g_free(address);
}

static void fixture_create(struct fixture *s, uint32_t write_delay_ms)
{
	struct replica_events owners = {.changed = on_owner_row,
					.answered = on_owner_answer};
	struct replica_events other = {.changed = ignore_row};
	struct leader_env e;

	*s = (struct fixture){.loop = loop_create(),
			      .calls =
				      g_ptr_array_new_with_free_func(call_free),
			      .version = 5,
			      .write_delay_ms = write_delay_ms};
	s->http = http_client_create(s->loop);
	s->counters = counters_create();
	g_strlcpy(s->settings.instance, "i", sizeof(s->settings.instance));
	s->settings.lease_ms = 6000;
	s->settings.heartbeat_ms = 1500;
	s->settings.stop_ms = 200;
	s->settings.reclaim_ms = 3000;
	fill_store(s);
	s->rows = rows_create(send_to_store, s);
	s->owners = replica_create(s->loop, s->rows, OWNER_TABLE,
				   replica_single_part, 1000, &owners, s);
	s->jobs = replica_create(s->loop, s->rows, JOB_TABLE, job_parts, 1000,
				 &other, s);
	s->states = replica_create(s->loop, s->rows, STATE_TABLE,
				   replica_single_part, 1000, &other, s);
	e = (struct leader_env){.loop = s->loop,
				.http = s->http,
				.rows = s->rows,
				.counters = s->counters,
				.settings = &s->settings,
				.owners = s->owners,
				.jobs = s->jobs,
				.states = s->states,
				.incarnation = 7,
				.strength = 100,
				.count_stronger_peers = no_stronger_peers,
				.arg = s};
	s->leader = leader_create(&e);
	leader_apply_policy(s->leader, s->policy);
}

/* Free s; calls of the store that were not answered are dropped. */
static void fixture_destroy(struct fixture *s)
{
	leader_destroy(s->leader);
	replica_destroy(s->owners);
	replica_destroy(s->jobs);
	replica_destroy(s->states);
	g_ptr_array_free(s->calls, TRUE);
	rows_destroy(s->rows);
	http_client_destroy(s->http);
	http_server_destroy(s->upstream);
	counters_destroy(s->counters);
	policy_destroy(s->policy);
	g_free(s->entry);
	free(s->spec);
	loop_destroy(s->loop);
}

/* Step the loop until the upstream got a start, for at most ms. */
static void step_until_start(struct fixture *s, uint64_t ms)
{
	uint64_t deadline_ms = clock_mono_ms() + ms;

	while (!s->starts && clock_mono_ms() < deadline_ms) {
		leader_note_owner_answer(s->leader);
		loop_step(s->loop, 10);
	}
}

/* Show the leader a job by the feed that it follows. */
static void submit_job(struct fixture *s)
{
	json_t *v;

	s->version++;
	v = json_pack("{s:[o],s:I,s:I}", "rows",
		      encode_row(JOB, s->spec, s->version), "rowVersion",
		      (json_int_t)s->version, "nowMs",
		      (json_int_t)clock_mono_ms());

	for (guint i = 0; i < s->calls->len; i++) {
		struct call *c = g_ptr_array_index(s->calls, i);

		if (!strstr(c->path, "rows-feed?table=" SPEC_TABLE "&"))
			continue;
		g_free(c->body);
		c->body = json_dumps(v, JSON_COMPACT);
		answer_call(c);
		break;
	}
	json_decref(v);
}

static void test_job_of_predecessor_is_started(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 5);
	s.has_job = true;
	step_until_start(&s, START_MAX_MS);
	assert_true(leader_is_active(s.leader));
	assert_int_equal(s.starts, 1);
	fixture_destroy(&s);
}

/*
 * Each write takes longer than the interval of the heartbeat. Guards against
 * passes that all find a write in flight and place nothing.
 */
static void test_job_is_started_while_writes_are_slow(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 400);
	step_until_start(&s, 1500);
	assert_true(leader_is_active(s.leader));
	submit_job(&s);
	step_until_start(&s, START_MAX_MS);
	assert_int_equal(s.starts, 1);
	fixture_destroy(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_job_of_predecessor_is_started),
		cmocka_unit_test(test_job_is_started_while_writes_are_slow),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
