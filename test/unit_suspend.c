/*
 * Tests of a process whose machine is suspended while it waits for events. The
 * store is in the test's own event loop.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "entry/entry.h"
#include "lead/record.h"
#include "lib/http.h"
#include "peer/link.h"
#include "peer/relay.h"
#include "test/testclock.h"

#define SUSPENSION_MS 5000
#define SETTLE_MS 300

/* The next wait for events is suspended for this long. */
static int64_t suspend_next_wait_ms;

/* Replaces the C library's function. */
int gettimeofday(struct timeval *tv, void *tz)
{
	struct timespec ts;

	(void)tz;
	clock_gettime(CLOCK_REALTIME, &ts);
	tv->tv_sec = ts.tv_sec;
	tv->tv_usec = ts.tv_nsec / 1000;
	return 0;
}

/* Replaces the C library's function: the machine is suspended in a wait. */
int epoll_wait(int fd, struct epoll_event *events, int max, int timeout_ms)
{
	int rc = syscall(SYS_epoll_pwait, fd, events, max, timeout_ms, NULL, 0);

	suspended_ms += suspend_next_wait_ms;
	suspend_next_wait_ms = 0;
	return rc;
}

struct fixture {
	struct loop *loop;
	struct http_client *http;
	struct http_pool *pool;
	struct counters *counters;
	struct joint_settings settings;
	struct rows *rows;
	struct replica *policies, *jobs, *states;
	struct policy *policy;
	struct entry *entry;
	GPtrArray *calls; /* pending struct call */
	uint64_t version; /* of the policy in the store */
	int status;	  /* of the last answer, or 0 */
	uint32_t writes;  /* that the store got, and refused */
};

/* A call of the store, which is answered after a delay. */
struct call {
	struct fixture *fixture;
	struct timer timer;
	bool reads_policy;
	bool write;
	http_done_fn done;
	void *done_arg;
};

static void call_free(void *arg)
{
	struct call *c = arg;

	timer_stop(c->fixture->loop, &c->timer);
	g_free(c);
}

static void answer_call(void *arg)
{
	struct call *c = arg;
	struct fixture *s = c->fixture;
	json_t *rows = json_array(), *v;
	struct http_result r = {.verdict = verdict_ran(), .status = 200};
	char *body;

	if (c->write)
		r.status = 503;
	if (c->reads_policy)
		json_array_append_new(rows, json_pack("{s:s,s:s,s:I}", "key",
						      "config", "value", "",
						      "rowVersion",
						      (json_int_t)s->version));
	v = json_pack("{s:o,s:I,s:I}", "rows", rows, "rowVersion",
		      (json_int_t)s->version, "nowMs",
		      (json_int_t)clock_mono_ms());
	body = json_dumps(v, JSON_COMPACT);
	json_decref(v);
	r.body = body;
	r.len = strlen(body);
	c->done(c->done_arg, &r);
	free(body);
	g_ptr_array_remove_fast(s->calls, c);
}

/* Answer reads, and feeds that have nothing to wait for, after 1 ms. */
static bool send_to_store(void *arg, const char *method, const char *path,
			  const char *body, uint32_t timeout_ms,
			  http_done_fn done, void *done_arg)
{
	struct fixture *s = arg;
	struct call *c = g_new0(struct call, 1);
	const char *wait = strstr(path, "waitMs=");

	(void)body;
	(void)timeout_ms;
	c->fixture = s;
	c->write = !strcmp(method, "POST");
	s->writes += c->write;
	c->reads_policy = strstr(path, "table=op&") != NULL;
	c->done = done;
	c->done_arg = done_arg;
	timer_init(&c->timer, answer_call, c);
	timer_start(s->loop, &c->timer,
		    wait ? MAX(atoi(wait + strlen("waitMs=")), 1) : 1);
	g_ptr_array_add(s->calls, c);
	return true;
}

/* Use the policy of this version; only the first has a queue. */
static void on_policy_row(void *arg, const char *key, const char *value,
			  uint64_t version)
{
	struct fixture *s = arg;
	struct policy *before = s->policy;
	struct queue *q;

	(void)key;
	(void)value;
	s->policy = policy_create(version);
	if (version == 1) {
		q = policy_add_queue(s->policy);
		q->name = g_strdup("q");
		q->host = g_strdup("127.0.0.1");
		q->prefix = g_strdup("/q/");
		q->service = g_strdup("");
		q->allows_anonymous = true;
	}
	entry_set_policy(s->entry, s->policy);
	policy_destroy(before);
}

static void on_policy_answer(void *arg)
{
	entry_note_policy_read(((struct fixture *)arg)->entry);
}

static void ignore_row(void *arg, const char *key, const char *value,
		       uint64_t version)
{
	(void)arg;
	(void)key;
	(void)value;
	(void)version;
}

/* Return a loopback address with a port that is free. */
static struct sockaddr_in free_address(void)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
				 .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &len), 0);
	close(fd);
	return at;
}

/* Step the loop for ms milliseconds. */
static void run_for(struct loop *l, uint64_t ms)
{
	uint64_t until_ms = clock_mono_ms() + ms;

	while (clock_mono_ms() < until_ms)
		loop_step(l, 10);
}

static void fixture_create(struct fixture *s)
{
	struct replica_events policies = {.changed = on_policy_row,
					  .answered = on_policy_answer};
	struct replica_events other = {.changed = ignore_row};
	struct entry_env e;

	*s = (struct fixture){.loop = loop_create(),
			      .calls =
				      g_ptr_array_new_with_free_func(call_free),
			      .version = 1};
	s->http = http_client_create(s->loop);
	s->counters = counters_create();
	s->settings.callers = free_address();
	s->settings.value_max_bytes = 48 << 10;
	s->rows = rows_create(send_to_store, s);
	s->policies = replica_create(s->loop, s->rows, "op",
				     replica_single_part, 1000, &policies, s);
	s->jobs = replica_create(s->loop, s->rows, JOB_TABLE,
				 replica_single_part, 60000, &other, s);
	s->states = replica_create(s->loop, s->rows, STATE_TABLE,
				   replica_single_part, 60000, &other, s);
	e = (struct entry_env){.loop = s->loop,
			       .rows = s->rows,
			       .counters = s->counters,
			       .settings = &s->settings,
			       .policies = s->policies,
			       .jobs = s->jobs,
			       .states = s->states};
	s->entry = entry_create(&e);
	assert_non_null(s->entry);
	s->pool = http_pool_create(s->http, &s->settings.callers, 4);
	run_for(s->loop, SETTLE_MS);
	assert_non_null(s->policy);
}

static void fixture_destroy(struct fixture *s)
{
	http_pool_destroy(s->pool);
	entry_destroy(s->entry);
	g_ptr_array_free(s->calls, TRUE);
	replica_destroy(s->policies);
	replica_destroy(s->jobs);
	replica_destroy(s->states);
	rows_destroy(s->rows);
	http_client_destroy(s->http);
	counters_destroy(s->counters);
	policy_destroy(s->policy);
	loop_destroy(s->loop);
}

static void on_answer(void *arg, const struct http_result *r)
{
	((struct fixture *)arg)->status = r->status;
}

/* Ask for the count of the only queue; returns the status of the answer. */
static int ask_for_count(struct fixture *s)
{
	s->status = 0;
	assert_non_null(http_call_start(s->pool, "GET", "/q/", NULL, 3000,
					on_answer, s));
	for (uint32_t i = 0; i < 300 && !s->status; i++)
		loop_step(s->loop, 10);
	return s->status;
}

/* The queue is withdrawn while the entry's machine is suspended. */
static void
test_request_after_suspension_is_served_by_the_policy_in_force(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s);
	assert_int_equal(ask_for_count(&s), 200);
	s.version = 2;
	suspend_next_wait_ms = SUSPENSION_MS;
	assert_int_equal(ask_for_count(&s), 404);
	fixture_destroy(&s);
}

/* The request waits for the store, which answers at once, and no longer. */
static void test_request_after_suspension_is_served_soon(void **state)
{
	struct fixture s;
	uint64_t began_ms;

	(void)state;
	fixture_create(&s);
	assert_int_equal(ask_for_count(&s), 200);
	began_ms = clock_mono_ms();
	suspend_next_wait_ms = SUSPENSION_MS;
	assert_int_equal(ask_for_count(&s), 200);
	assert_in_range(clock_mono_ms() - began_ms, SUSPENSION_MS,
			SUSPENSION_MS + 300);
	fixture_destroy(&s);
}

/*
 * A submission that the store has refused waits for its next attempt when the
 * machine is suspended for longer than the caller waits.
 */
static void test_submission_is_not_sent_after_its_deadline(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s);
	assert_non_null(http_call_start(
		s.pool, "POST", "/q/00000000000000a1",
		"{\"spec\":\"\",\"steps\":[{\"count\":1,\"cpu\":1,"
		"\"memMb\":1,\"estimateMs\":1}]}",
		8000, on_answer, &s));
	while (!s.writes)
		loop_step(s.loop, 10);
	while (s.calls->len > 3)
		loop_step(s.loop, 1);
	suspend_next_wait_ms = SUSPENSION_MS;
	while (!s.status)
		loop_step(s.loop, 10);
	assert_int_equal(s.writes, 1);
	assert_int_equal(s.status, 503);
	fixture_destroy(&s);
}

/* A server in its own thread that takes some time to answer. */
struct slow_server {
	struct sockaddr_in at;
	gint ready;
	gint stop;
};

static void answer_slowly(void *arg, struct http_exchange *x)
{
	(void)arg;
	g_usleep(60000);
	exchange_reply(x, 200, "text/plain", "ok", 0);
}

static gpointer serve_in_thread(gpointer arg)
{
	struct slow_server *p = arg;
	struct loop *l = loop_create();
	struct http_server *s =
		http_server_create(l, &p->at, 1024, answer_slowly, NULL);

	g_atomic_int_set(&p->ready, s ? 1 : -1);
	while (s && !g_atomic_int_get(&p->stop))
		loop_step(l, 10);
	http_server_destroy(s);
	loop_destroy(l);
	return NULL;
}

static void count_verdict(void *arg, const struct http_result *r)
{
	uint32_t *n = arg;

	n[r->verdict.tag]++;
	n[3]++;
}

/* The answer arrives after the suspension, within the call's timeout of it. */
static void test_suspension_does_not_time_out_an_answered_call(void **state)
{
	struct slow_server server = {.at = free_address()};
	struct loop *l = loop_create();
	struct http_client *c = http_client_create(l);
	struct http_pool *p;
	uint32_t n[4] = {0};
	GThread *t;

	(void)state;
	t = g_thread_new("server", serve_in_thread, &server);
	while (!g_atomic_int_get(&server.ready))
		g_usleep(1000);
	assert_int_equal(g_atomic_int_get(&server.ready), 1);
	p = http_pool_create(c, &server.at, 4);
	assert_non_null(
		http_call_start(p, "GET", "/", NULL, 400, count_verdict, n));
	while (!http_client_bytes_transferred(c))
		loop_step(l, 1);
	suspend_next_wait_ms = SUSPENSION_MS;
	while (!n[3])
		loop_step(l, 10);
	assert_int_equal(n[VERDICT_RAN], 1);
	g_atomic_int_set(&server.stop, 1);
	g_thread_join(t);
	http_pool_destroy(p);
	http_client_destroy(c);
	loop_destroy(l);
}

/* A relay, a store behind it, and a peer that sends its calls through it. */
struct relay_fixture {
	struct loop *loop;
	struct http_client *http;
	struct counters *counters;
	struct http_server *store;
	struct relay *relay;
	struct link *link;
	uint32_t store_calls;
	uint32_t answers;
	uint32_t outcomes[LINK_UNANSWERED + 1];
};

static void serve_as_store(void *arg, struct http_exchange *x)
{
	((struct relay_fixture *)arg)->store_calls++;
	exchange_reply(x, 200, "application/json", "{}", 0);
}

static void count_answer(void *arg, const struct http_result *r)
{
	(void)r;
	((struct relay_fixture *)arg)->answers++;
}

static void count_outcome(void *arg, enum link_outcome o,
			  const struct http_result *r)
{
	struct relay_fixture *s = arg;

	(void)r;
	s->outcomes[o]++;
	s->answers++;
}

static void relay_fixture_create(struct relay_fixture *s)
{
	static const struct link_hello hello = {"i2", "d", 2};
	struct peer_record p = {.domain = "d", .incarnation = 2};
	struct sockaddr_in store = free_address(), relay = free_address();
	struct relay_env e;

	*s = (struct relay_fixture){.loop = loop_create(),
				    .counters = counters_create()};
	s->http = http_client_create(s->loop);
	s->store = http_server_create(s->loop, &store, 1024, serve_as_store, s);
	e = (struct relay_env){.loop = s->loop,
			       .http = s->http,
			       .counters = s->counters,
			       .instance = "i1",
			       .domain = "d",
			       .store = store,
			       .listen = relay,
			       .probe_path = "/"};
	s->relay = relay_create(&e);
	assert_non_null(s->relay);
	relay_update_peer(s->relay, "i2", &p);
	s->link = link_create(s->loop, &relay, &hello);
}

static void relay_fixture_destroy(struct relay_fixture *s)
{
	link_destroy(s->link);
	relay_destroy(s->relay);
	http_server_destroy(s->store);
	http_client_destroy(s->http);
	counters_destroy(s->counters);
	loop_destroy(s->loop);
}

/* Send a call of the peer that may take ms, and wait for its outcome. */
static void send_peer_call(struct relay_fixture *s, uint32_t ms, int64_t pause)
{
	struct link_call c = {.method = "GET", .path = "/", .timeout_ms = ms};

	s->answers = 0;
	link_send_call(s->link, &c, count_outcome, s);
	suspend_next_wait_ms = pause;
	while (!s->answers)
		loop_step(s->loop, 10);
}

/* Let the relay find that the store answers it. */
static void call_store(struct relay_fixture *s)
{
	s->answers = 0;
	assert_true(relay_send_call(s->relay, "GET", "/", NULL, 1000,
				    count_answer, s));
	while (!s->answers)
		loop_step(s->loop, 10);
}

/*
 * Guards against a call that an instance makes after its pause for a peer that
 * has given it up.
 */
static void test_call_of_a_peer_is_declined_after_its_time(void **state)
{
	struct relay_fixture s;

	(void)state;
	relay_fixture_create(&s);
	call_store(&s);
	send_peer_call(&s, 300, 0);
	assert_int_equal(s.outcomes[LINK_ANSWERED], 1);
	assert_int_equal(s.store_calls, 2);
	send_peer_call(&s, 300, 1000);
	assert_int_equal(s.outcomes[LINK_DECLINED], 1);
	assert_int_equal(s.store_calls, 2);
	call_store(&s);
	send_peer_call(&s, 1300, 1000);
	assert_int_equal(s.outcomes[LINK_ANSWERED], 2);
	relay_fixture_destroy(&s);
}

static void note_late(void *arg, const struct loop_timing *t)
{
	*(uint64_t *)arg = t->late_us;
}

/* A process can be paused anywhere, also after all callbacks have run. */
static void test_pause_between_two_iterations_is_noticed(void **state)
{
	struct loop *l = loop_create();
	uint64_t late_us = 0;

	(void)state;
	loop_on_timing(l, note_late, &late_us);
	loop_step(l, 10);
	assert_in_range(late_us, 0, 200000);
	suspended_ms += SUSPENSION_MS;
	loop_step(l, 10);
	assert_in_range(late_us, SUSPENSION_MS * 900, SUSPENSION_MS * 1100);
	assert_true(loop_wakeup_delay_ms(l) >= SUSPENSION_MS - 100);
	loop_step(l, 10);
	assert_in_range(late_us, 0, 200000);
	loop_destroy(l);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_request_after_suspension_is_served_by_the_policy_in_force),
		cmocka_unit_test(test_request_after_suspension_is_served_soon),
		cmocka_unit_test(
			test_submission_is_not_sent_after_its_deadline),
		cmocka_unit_test(
			test_suspension_does_not_time_out_an_answered_call),
		cmocka_unit_test(
			test_call_of_a_peer_is_declined_after_its_time),
		cmocka_unit_test(test_pause_between_two_iterations_is_noticed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
