/* Tests of the library, the settings and configuration schemas. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <malloc.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "config/config.h"
#include "daemon/jobs.h"
#include "daemon/settings.h"
#include "lib/counter.h"
#include "lib/event.h"
#include "lib/frame.h"
#include "lib/http.h"
#include "lib/loop.h"
#include "lib/verdict.h"

static void reasons_have_names_and_verdicts_have_statuses(void **state)
{
	enum verdict_tag t;

	(void)state;
	for (int r = 0; r < REASON_COUNT; r++) {
		struct verdict v = verdict_did_not_run(r);

		assert_non_null(reason_name(r));
		assert_true(verdict_http_status(v) >= 400);
	}
	assert_int_equal(verdict_http_status(verdict_ran()), 200);
	assert_int_equal(verdict_http_status(verdict_may_have_run(REASON_CUT)),
			 504);
	assert_true(verdict_parse("may_have_run", &t));
	assert_int_equal(t, VERDICT_MAY_HAVE_RUN);
	assert_false(verdict_parse("perhaps", &t));
}

struct timer_record {
	struct timer timer;
	uint32_t *count;
	uint32_t at;
};

static void record_firing(void *arg)
{
	struct timer_record *f = arg;

	f->at = ++*f->count;
}

static void timers_fire_in_due_order_unless_stopped(void **state)
{
	struct loop *l = loop_create();
	struct timer_record f[50];
	uint32_t count = 0;

	(void)state;
	for (uint32_t i = 0; i < 50; i++) {
		f[i].count = &count;
		f[i].at = 0;
		timer_init(&f[i].timer, record_firing, &f[i]);
		timer_start(l, &f[i].timer, (i * 37) % 50);
	}
	timer_stop(l, &f[3].timer);
	timer_stop(l, &f[3].timer);
	while (count < 49)
		loop_step(l, 5);
	assert_int_equal(f[3].at, 0);
	for (uint32_t i = 0; i < 50; i++)
		for (uint32_t k = 0; k < 50; k++)
			if (i != 3 && k != 3 && (i * 37) % 50 < (k * 37) % 50)
				assert_true(f[i].at < f[k].at);
	loop_destroy(l);
}

static void quantiles_are_within_the_bucket_width(void **state)
{
	struct histogram h = {{0}};

	(void)state;
	for (uint64_t us = 1; us <= 100000; us++)
		histogram_add(&h, us);
	assert_in_range(histogram_quantile_us(&h, 0.5), 50000, 53600);
	assert_in_range(histogram_quantile_us(&h, 0.99), 99000, 100000);
	assert_int_equal(histogram_quantile_us(&h, 1.0), 100000);
}

static void frame_parse_refuses_lengths_out_of_bounds(void **state)
{
	static const struct {
		const char *bytes;
		size_t len;
		int64_t taken;
	} cases[] = {
		{"", 0, 0},
		{"\0\0\0", 3, 0},
		{"\0\0\0\0", 4, -1},
		{"\0\0\0\1", 4, 0},
		{"\0\0\0\1x", 5, 5},
		{"\0\0\0\1xy", 6, 5},
		{"\0\x40\0\1", 4, -1},
		{"\xff\xff\xff\xff", 4, -1},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const uint8_t *payload;
		uint32_t n;

		assert_int_equal(frame_parse((const uint8_t *)cases[i].bytes,
					     cases[i].len, &payload, &n),
				 cases[i].taken);
	}
}

/* Guards against events that are not found by the name of their job. */
static void event_is_found_by_the_longest_name(void **state)
{
	struct event_ring *r = event_ring_create(4);
	char *name = g_strnfill(80, 'j'); /* the longest key of a job */
	json_t *list;

	(void)state;
	event_add(r, "accepted", name, "a", "domain d");
	list = event_list(r, 0, name, "a");
	assert_int_equal(json_array_size(list), 1);
	json_decref(list);
	g_free(name);
	event_ring_destroy(r);
}

static void event_stamps_follow_received_stamps(void **state)
{
	struct event_ring *a = event_ring_create(4);
	struct event_ring *b = event_ring_create(4);
	uint64_t sent, later;
	json_t *list;

	(void)state;
	event_clock_observe(a, event_clock_advance(a) + (1000000ull << 16));
	sent = event_clock_advance(a); /* 1000 s ahead of the wall clock */
	event_clock_observe(b, sent);
	later = event_clock_advance(b);
	assert_true(later > sent);
	for (int i = 0; i < 10; i++)
		event_add(b, "kind", i % 2 ? "odd" : "even", NULL, "%d", i);
	list = event_list(b, 0, "odd", NULL);
	assert_int_equal(json_array_size(list), 2); /* among the newest four */
	json_decref(list);
	event_ring_destroy(a);
	event_ring_destroy(b);
}

struct invalid_value {
	const char *json;
	const char *path;
};

static void expect_problem(const struct field *fields, const char *text,
			   const char *path)
{
	struct problems *p = problems_create("file");
	json_t *v = schema_parse(fields, text, strlen(text), p);
	char *all = problems_text(p);
	char *want = g_strdup_printf("file: %s: ", path);

	if (v || !strstr(all, want))
		fail_msg("%s: expected a problem at %s, got: %s", text, path,
			 all);
	json_decref(v);
	g_free(all);
	g_free(want);
	problems_destroy(p);
}

/* Write records by fn and return them; free with g_free. */
static char *capture_log(void (*fn)(void))
{
	int fd[2], stdout_fd = dup(STDOUT_FILENO);
	char text[4096];
	ssize_t n;

	assert_int_equal(pipe(fd), 0);
	fflush(stdout);
	dup2(fd[1], STDOUT_FILENO);
	fn();
	dup2(stdout_fd, STDOUT_FILENO);
	close(stdout_fd);
	close(fd[1]);
	n = read(fd[0], text, sizeof(text));
	close(fd[0]);
	return g_strndup(text, MAX(n, 0));
}

static void log_odd_texts(void)
{
	log_line(LOG_ERROR, "odd_text", "%.4s", "abc\u0997");
	log_fields(LOG_ERROR, "odd_field", "{s:s}", "id", "a\xff");
}

/* Guards against a record that lacks what it is written for. */
static void log_record_says_what_is_not_utf8(void **state)
{
	char *text = capture_log(log_odd_texts);

	(void)state;
	assert_non_null(strstr(text, "\"text\":\"abc"));
	assert_non_null(strstr(text, "fields are not UTF-8"));
	g_free(text);
}

static const char valid_settings[] =
	"{\"name\": \"a\", \"domain\": \"b\", \"http\": \"127.0.0.1:1\", "
	"\"peer\": \"127.0.0.1:2\", \"platform\": [\"127.0.0.1:3\"]%s%s}";

static const struct invalid_value invalid_settings[] = {
	{"\"more\": 1", "more"},
	{"\"seeds\": 5", "seeds"},
	{"\"seeds\": [5]", "seeds[0]"},
	{"\"seeds\": [\"x\"]", "seeds[0]"},
	{"\"log_level\": \"loud\"", "log_level"},
	{"\"log_level\": 1", "log_level"},
	{"\"limits\": []", "limits"},
	{"\"limits\": {\"more\": 1}", "limits.more"},
	{"\"limits\": {\"max_body_bytes\": 10}", "limits.max_body_bytes"},
	{"\"limits\": {\"max_checks\": 0}", "limits.max_checks"},
	{"\"limits\": {\"upstream_connections\": 1001}",
	 "limits.upstream_connections"},
	{"\"limits\": {\"drain_ms\": -1}", "limits.drain_ms"},
	{"\"limits\": {\"stop_ms\": 1.5}", "limits.stop_ms"},
	{"\"limits\": {\"scan_ms\": 9}", "limits.scan_ms"},
	{"\"limits\": {\"events\": \"many\"}", "limits.events"},
};

static const struct invalid_value invalid_required[] = {
	{"{}", "name"},
	{"{}", "domain"},
	{"{}", "http"},
	{"{}", "peer"},
	{"{}", "platform"},
	{"{\"name\": \"\"}", "name"},
	{"{\"name\": \"a b\"}", "name"},
	{"{\"domain\": 7}", "domain"},
	{"{\"http\": \"127.0.0.1\"}", "http"},
	{"{\"http\": \"localhost:80\"}", "http"},
	{"{\"peer\": \"127.0.0.1:70000\"}", "peer"},
	{"{\"platform\": []}", "platform"},
	{"{\"platform\": [\"1.2.3.4:x\"]}", "platform[0]"},
	{"[]", "(whole)"},
	{"{\"name\": 1", "(whole)"},
};

static void each_invalid_setting_is_reported(void **state)
{
	struct problems *p = problems_create("file");
	char *text = g_strdup_printf(valid_settings, "", "");
	json_t *v = schema_parse(settings_fields, text, strlen(text), p);

	(void)state;
	assert_non_null(v);
	json_decref(v);
	g_free(text);
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_settings); i++) {
		text = g_strdup_printf(valid_settings, ", ",
				       invalid_settings[i].json);
		expect_problem(settings_fields, text, invalid_settings[i].path);
		g_free(text);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_required); i++)
		expect_problem(settings_fields, invalid_required[i].json,
			       invalid_required[i].path);
	problems_destroy(p);
}

#define ACCOUNT(more) "{\"accounts\": [{\"name\": \"a\", " more "}]}"
#define UPSTREAM(field, value)                                                 \
	"{\"upstreams\": [{\"name\": \"a\", \"domain\": \"d\", \"rack\": "     \
	"\"r\", \"address\": \"1.2.3.4:5\", \"accelerators\": 1, "             \
	"\"slots\": 2}, {\"" field "\": " value "}]}"
#define LIMIT(field, value) "{\"limits\": {\"" field "\": " value "}}"

static const struct invalid_value invalid_config[] = {
	{"{\"more\": 1}", "more"},
	{"{\"base\": -1}", "base"},
	{"{\"remove\": \"x\"}", "remove"},
	{"{\"remove\": [\"a b\"]}", "remove[0]"},
	{"{\"accounts\": {}}", "accounts"},
	{"{\"accounts\": [{}]}", "accounts[0].name"},
	{"{\"accounts\": [{\"name\": \"a b\"}]}", "accounts[0].name"},
	{ACCOUNT("\"more\": 1"), "accounts[0].more"},
	{ACCOUNT("\"weight\": 0"), "accounts[0].weight"},
	{ACCOUNT("\"queue_limit\": 0"), "accounts[0].queue_limit"},
	{ACCOUNT("\"check_limit\": \"x\""), "accounts[0].check_limit"},
	{ACCOUNT("\"headroom\": -1"), "accounts[0].headroom"},
	{ACCOUNT("\"guarantee\": 1"), "accounts[0].guarantee"},
	{ACCOUNT("\"guarantee\": [{}]"), "accounts[0].guarantee[0].cell"},
	{ACCOUNT("\"guarantee\": [{}]"), "accounts[0].guarantee[0].count"},
	{ACCOUNT("\"guarantee\": [{\"cell\": \"pod\"}]"),
	 "accounts[0].guarantee[0].cell"},
	{ACCOUNT("\"guarantee\": [{\"count\": 0}]"),
	 "accounts[0].guarantee[0].count"},
	{ACCOUNT("\"guarantee\": [{\"domain\": 3}]"),
	 "accounts[0].guarantee[0].domain"},
	{"{\"upstreams\": 1}", "upstreams"},
	{UPSTREAM("name", "1"), "upstreams[1].name"},
	{UPSTREAM("domain", "\"\""), "upstreams[1].domain"},
	{UPSTREAM("rack", "null"), "upstreams[1].rack"},
	{UPSTREAM("address", "\"here\""), "upstreams[1].address"},
	{UPSTREAM("accelerators", "33"), "upstreams[1].accelerators"},
	{UPSTREAM("slots", "0"), "upstreams[1].slots"},
	{LIMIT("more", "1"), "limits.more"},
	{LIMIT("quick_slots", "-1"), "limits.quick_slots"},
	{LIMIT("lease_term_ms", "499"), "limits.lease_term_ms"},
	{LIMIT("renew_ms", "99"), "limits.renew_ms"},
	{LIMIT("grace_ms", "-1"), "limits.grace_ms"},
	{LIMIT("hold_after_ms", "true"), "limits.hold_after_ms"},
	{LIMIT("check_deadline_ms", "49"), "limits.check_deadline_ms"},
	{LIMIT("retry_percent", "101"), "limits.retry_percent"},
	{LIMIT("job_tries", "0"), "limits.job_tries"},
};

static void each_invalid_configuration_field_is_reported(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_config); i++)
		expect_problem(config_file_fields, invalid_config[i].json,
			       invalid_config[i].path);
}

static void all_problems_are_reported_at_once(void **state)
{
	struct problems *p = problems_create("file");
	static const char text[] = "{\"name\": 1, \"domain\": 2, \"x\": 3}";

	(void)state;
	assert_null(schema_parse(settings_fields, text, strlen(text), p));
	assert_int_equal(problems_count(p), 6);
	problems_destroy(p);
}

static void contradicting_configuration_limits_are_reported(void **state)
{
	struct problems *p = problems_create("file");
	json_t *file = json_loads(
		"{\"limits\": {\"renew_ms\": 2000, \"quick_slots\": 9}, "
		"\"upstreams\": [{\"name\": \"u\", \"domain\": \"d\", "
		"\"rack\": \"r\", \"address\": \"1.2.3.4:5\", "
		"\"accelerators\": 8, \"slots\": 8}]}",
		0, NULL);
	json_t *rows = config_file_to_rows(file);
	struct config *c = config_build(rows, 1);

	(void)state;
	config_validate(c, p);
	assert_int_equal(problems_count(p), 2);
	config_unref(c);
	json_decref(rows);
	json_decref(file);
	problems_destroy(p);
}

static void a_late_job_update_does_not_replace_a_newer_row(void **state)
{
	static const struct {
		const char *row, *update, *state;
		bool taken;
	} cases[] = {
		{"{\"state\": \"accepted\"}",
		 "{\"state\": \"running\", \"attempt\": 5}", "running", true},
		{"{\"state\": \"running\", \"attempt\": 6}",
		 "{\"state\": \"waiting\", \"attempt\": 5}", "running", false},
		{"{\"state\": \"done\", \"attempt\": 5}",
		 "{\"state\": \"running\", \"attempt\": 6}", "done", false},
		{"{\"state\": \"cancelling\", \"attempt\": 5}",
		 "{\"state\": \"running\", \"attempt\": 5}", "cancelling",
		 true},
		{"{\"state\": \"cancelling\", \"attempt\": 5}",
		 "{\"state\": \"done\", \"attempt\": 5}", "done", true},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		json_t *row = json_loads(cases[i].row, 0, NULL);
		json_t *update = json_loads(cases[i].update, 0, NULL);

		assert_int_equal(job_row_merge(row, update), cases[i].taken);
		assert_string_equal(json_str_or(row, "state", ""),
				    cases[i].state);
		json_decref(row);
		json_decref(update);
	}
}

/*
 * Set a to an address on loopback that only this process uses: runs of the
 * tests at the same time share the ports.
 */
static void own_address(struct sockaddr_in *a, uint32_t port)
{
	uint32_t pid = (uint32_t)getpid();
	char *text = g_strdup_printf("127.42.%u.%u:%u", pid >> 8 & 0xff,
				     pid & 0xff, port);

	assert_true(address_parse(text, a));
	g_free(text);
}

/* Guards against text that becomes the port of another program. */
static void odd_addresses_are_refused(void **state)
{
	static const char *const odd[] = {"",
					  ":80",
					  "10.0.0.1",
					  "10.0.0.1:",
					  "10.0.0.1: 80",
					  "10.0.0.1:+80",
					  "10.0.0.1:-80",
					  "10.0.0.1:-18446744073709551536",
					  "10.0.0.1:80 ",
					  "10.0.0.1:80x",
					  "10.0.0.1:0",
					  "10.0.0.1:65536",
					  "10.0.0.1:000080",
					  "10.0.0.1:18446744073709551696",
					  " 10.0.0.1:80",
					  "10.0.0.1 :80",
					  "10.0.0:80",
					  "host:80",
					  "[::1]:80"};
	struct sockaddr_in a;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++)
		if (address_parse(odd[i], &a))
			fail_msg("\"%s\"", odd[i]);
	assert_false(address_parse(NULL, &a));
	assert_true(address_parse("10.0.0.1:65535", &a));
	assert_int_equal(ntohs(a.sin_port), 65535);
	assert_true(address_parse("0.0.0.0:80", &a));
	assert_false(address_is_unicast(&a));
	assert_true(address_parse("224.0.0.1:80", &a));
	assert_false(address_is_unicast(&a));
	assert_true(address_parse("223.0.0.1:80", &a));
	assert_true(address_is_unicast(&a));
}

/* Connections that a timer writes to and closes. */
struct close_test {
	struct loop *loop;
	struct timer timer;
	struct frame_conn *conns[16];
	uint32_t opened;
	uint32_t accepted;
	uint32_t rounds;
};

static void on_opened(void *arg, struct frame_conn *c)
{
	struct close_test *k = arg;

	k->conns[k->opened++] = c;
}

static void on_accepted(void *arg, struct frame_conn *c)
{
	(void)c;
	((struct close_test *)arg)->accepted++;
}

static void on_received(void *arg, struct frame_conn *c,
			const Lacewing__Envelope *e)
{
	(void)arg;
	(void)c;
	(void)e;
}

static void on_closed(void *arg, struct frame_conn *c, const char *why)
{
	(void)arg;
	(void)c;
	(void)why;
}

static void write_and_close(void *arg)
{
	struct close_test *k = arg;
	Lacewing__Envelope e = LACEWING__ENVELOPE__INIT;
	Lacewing__RowsWanted w = LACEWING__ROWS_WANTED__INIT;

	e.body_case = LACEWING__ENVELOPE__BODY_ROWS_WANTED;
	e.rows_wanted = &w;
	w.after = 1;
	for (uint32_t i = 0; i < k->opened; i++)
		frame_send(k->conns[i], &e);
	for (uint32_t i = 0; i < k->opened; i++)
		frame_close(k->conns[i]);
	k->opened = 0;
	k->rounds++;
}

/*
 * h2o runs the callback of a write later, even if the write completes at
 * once.  A timer that closes the connection first must not leave the freed
 * socket in h2o's list of pending callbacks.
 */
static void a_timer_may_write_to_and_close_a_connection(void **state)
{
	struct frame_events out = {on_opened, on_received, on_closed};
	struct frame_events in = {on_accepted, on_received, on_closed};
	struct close_test k = {.loop = loop_create()};
	struct frame_listener *f;
	struct sockaddr_in at;

	(void)state;
	mallopt(M_PERTURB, 0x5a); /* overwrite freed memory */
	own_address(&at, 7431);
	f = frame_listen(k.loop, &at, &in, &k);
	assert_non_null(f);
	timer_init(&k.timer, write_and_close, &k);
	for (uint32_t round = 1; round <= 20; round++) {
		for (uint32_t i = 0; i < G_N_ELEMENTS(k.conns); i++)
			frame_connect(k.loop, &at, &out, &k);
		while (k.opened < G_N_ELEMENTS(k.conns))
			loop_step(k.loop, 10);
		timer_start(k.loop, &k.timer, 0);
		while (k.rounds < round)
			loop_step(k.loop, 10);
		for (uint32_t i = 0; i < 5; i++)
			loop_step(k.loop, 1);
	}
	assert_int_equal(k.accepted, 20 * G_N_ELEMENTS(k.conns));
	frame_listener_destroy(f);
	loop_destroy(k.loop);
	mallopt(M_PERTURB, 0);
}

static void count_cut(void *arg, const struct http_result *r)
{
	assert_int_equal(r->verdict.tag, VERDICT_MAY_HAVE_RUN);
	++*(uint32_t *)arg;
}

/*
 * The server closes the connection instead of answering.  h2o closes the
 * client's socket after the callback and updates the connection set, which
 * must not have been freed by then.
 */
static void
a_call_without_an_answer_does_not_use_freed_connections(void **state)
{
	struct frame_events in = {on_accepted, on_received, on_closed};
	struct close_test k = {.loop = loop_create()};
	struct http_client *c = http_client_create(k.loop);
	struct frame_listener *f;
	struct sockaddr_in at;
	struct http_pool *p;
	uint32_t cut = 0;

	(void)state;
	mallopt(M_PERTURB, 0x5a);
	own_address(&at, 7432);
	f = frame_listen(k.loop, &at, &in, &k);
	assert_non_null(f);
	p = http_pool_create(c, &at, 4);
	for (uint32_t n = 1; n <= 20; n++) {
		/* not a valid frame, so the listener closes */
		assert_non_null(http_call_start(p, "POST", "/", "", 5000,
						count_cut, &cut));
		while (cut < n)
			loop_step(k.loop, 10);
	}
	http_pool_destroy(p);
	frame_listener_destroy(f);
	http_client_destroy(c);
	loop_destroy(k.loop);
	mallopt(M_PERTURB, 0);
}

/* A server in its own thread that answers at once. */
struct threaded_server {
	struct sockaddr_in at;
	gint ready;
	gint stop;
};

static void answer_ok(void *arg, struct http_exchange *x)
{
	(void)arg;
	exchange_reply(x, 200, "text/plain", "ok", 0);
}

static gpointer serve_in_thread(gpointer arg)
{
	struct threaded_server *p = arg;
	struct loop *l = loop_create();
	struct http_server *s =
		http_server_create(l, &p->at, 1024, answer_ok, NULL);

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

#define BLOCKED_CALL_COUNT 8

struct blocked_test {
	struct http_pool *pool;
	uint32_t n[4]; /* results by verdict tag, and their total */
};

/* Start calls, then block the loop for longer than their timeout. */
static void start_calls_and_block(void *arg)
{
	struct blocked_test *h = arg;

	for (uint32_t i = 0; i < BLOCKED_CALL_COUNT; i++)
		assert_non_null(http_call_start(h->pool, "POST", "/", "", 100,
						count_verdict, h->n));
	g_usleep(400000);
}

/*
 * The loop is blocked for longer than a call's timeout, so that the timeout
 * is over when the connection opens.  The server answers at once, so the
 * calls must not time out.
 */
static void a_blocked_loop_does_not_time_out_an_answered_call(void **state)
{
	struct threaded_server server = {0};
	struct loop *l = loop_create();
	struct http_client *c = http_client_create(l);
	struct blocked_test h = {0};
	struct timer hold;
	GThread *t;

	(void)state;
	own_address(&server.at, 7433);
	t = g_thread_new("server", serve_in_thread, &server);
	while (!g_atomic_int_get(&server.ready))
		g_usleep(1000);
	assert_int_equal(g_atomic_int_get(&server.ready), 1);
	timer_init(&hold, start_calls_and_block, &h);
	for (uint32_t round = 1; round <= 3; round++) {
		h.pool = http_pool_create(c, &server.at, BLOCKED_CALL_COUNT);
		timer_start(l, &hold, 0);
		while (h.n[3] < BLOCKED_CALL_COUNT * round)
			loop_step(l, 10);
		http_pool_destroy(h.pool);
	}
	assert_int_equal(h.n[VERDICT_RAN], 3 * BLOCKED_CALL_COUNT);
	assert_true(loop_blocked_ms(l) >= 3 * 400);
	g_atomic_int_set(&server.stop, 1);
	g_thread_join(t);
	http_client_destroy(c);
	loop_destroy(l);
}

#define PAUSE_ROUNDS 10

/* Pauses the parent, answers its call, and resumes it 200 ms later. */
static void answer_paused_parent(int listener)
{
	static const char answer[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
	char request[1024];
	int fd = accept(listener, NULL, NULL);
	bool ok = fd >= 0 && read(fd, request, sizeof(request)) > 0;

	g_usleep(20000); /* the parent waits for its sockets */
	kill(getppid(), SIGSTOP);
	ok = ok && write(fd, answer, strlen(answer)) > 0;
	g_usleep(200000);
	kill(getppid(), SIGCONT);
	_exit(ok ? 0 : 1);
}

static void a_paused_process_does_not_time_out_an_answered_call(void **state)
{
	struct loop *l = loop_create();
	struct http_client *c = http_client_create(l);
	struct sockaddr_in at;
	uint32_t n[4] = {0};
	int listener, end;

	(void)state;
	own_address(&at, 7435);
	listener = address_listen(&at);
	assert_true(listener >= 0);
	fcntl(listener, F_SETFL, 0);
	for (uint32_t round = 1; round <= PAUSE_ROUNDS; round++) {
		struct http_pool *p = http_pool_create(c, &at, 1);
		pid_t child = fork();

		if (!child)
			answer_paused_parent(listener);
		assert_non_null(http_call_start(p, "POST", "/", "", 100,
						count_verdict, n));
		while (n[3] < round)
			loop_step(l, 1000);
		waitpid(child, &end, 0);
		assert_int_equal(end, 0);
		http_pool_destroy(p);
	}
	assert_int_equal(n[VERDICT_RAN], PAUSE_ROUNDS);
	http_client_destroy(c);
	loop_destroy(l);
	close(listener);
}

/* A server that never answers ends a call by its timeout. */
static void a_call_to_a_silent_server_times_out(void **state)
{
	struct loop *l = loop_create();
	struct http_client *c = http_client_create(l);
	int fd = socket(AF_INET, SOCK_STREAM, 0), one = 1;
	uint64_t began = clock_mono_ms();
	struct sockaddr_in at;
	struct http_pool *p;
	uint32_t n[4] = {0};

	(void)state;
	own_address(&at, 7434);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	assert_int_equal(listen(fd, 4), 0);
	p = http_pool_create(c, &at, 4);
	assert_non_null(
		http_call_start(p, "POST", "/", "", 100, count_verdict, n));
	while (!n[3])
		loop_step(l, 10);
	assert_int_equal(n[VERDICT_MAY_HAVE_RUN], 1);
	assert_in_range(clock_mono_ms() - began, 100, 2000);
	http_pool_destroy(p);
	http_client_destroy(c);
	loop_destroy(l);
	close(fd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(log_record_says_what_is_not_utf8),
		cmocka_unit_test(event_is_found_by_the_longest_name),
		cmocka_unit_test(reasons_have_names_and_verdicts_have_statuses),
		cmocka_unit_test(timers_fire_in_due_order_unless_stopped),
		cmocka_unit_test(quantiles_are_within_the_bucket_width),
		cmocka_unit_test(frame_parse_refuses_lengths_out_of_bounds),
		cmocka_unit_test(event_stamps_follow_received_stamps),
		cmocka_unit_test(each_invalid_setting_is_reported),
		cmocka_unit_test(each_invalid_configuration_field_is_reported),
		cmocka_unit_test(all_problems_are_reported_at_once),
		cmocka_unit_test(odd_addresses_are_refused),
		cmocka_unit_test(
			contradicting_configuration_limits_are_reported),
		cmocka_unit_test(
			a_late_job_update_does_not_replace_a_newer_row),
		cmocka_unit_test(a_timer_may_write_to_and_close_a_connection),
		cmocka_unit_test(
			a_call_without_an_answer_does_not_use_freed_connections),
		cmocka_unit_test(
			a_blocked_loop_does_not_time_out_an_answered_call),
		cmocka_unit_test(
			a_paused_process_does_not_time_out_an_answered_call),
		cmocka_unit_test(a_call_to_a_silent_server_times_out),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
