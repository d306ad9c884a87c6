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
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "lead/admissionrow.h"
#include "lead/contact.h"
#include "lead/leader.h"
#include "lead/learned.h"
#include "lead/record.h"
#include "lib/counter.h"
#include "lib/http.h"
#include "platform/decode.h"
#include "test/testclock.h"

#define BODY_MAX 65536
#define JOB "00000000000000a1"
/* A start must be ordered within this time. */
#define START_MAX_MS 4000
/* docs/DESIGN.md: a leader acts for at most this long after its last write. */
#define TENURE_LIMIT_MS 10000
#define LEASE_MS 6000
/* An upstream that has never answered may be cut off for this long. */
#define NEVER_HEARD_LIMIT_MS 10000
/* Version of the store when a test begins. */
#define VERSION_AT_FIRST 5
/* Time by which the clock is advanced between two steps of the loop. */
#define ADVANCE_MS 50
/* The bound of an evacuation, where a test sets one. */
#define EVACUATE_MS 5000
/* Key that evacuates the domain of the only upstream. */
#define EVACUATION OPERATOR_EVACUATE_PREFIX "z"
/* An address at which nothing listens. */
#define REFUSING_ADDRESS "127.0.0.1:9"

struct fixture {
	struct loop *loop;
	struct http_client *http;
	struct http_server *upstream;
	struct counters *counters;
	struct joint_settings settings;
	struct rows *rows;
	struct replica *owners, *jobs, *states, *policies;
	struct leader *leader;
	struct policy *policy;
	char *spec; /* row of the only job */
	bool has_job;
	bool evacuated; /* the domain of the only upstream, at first */
	char *run;	/* its run row, or NULL */
	const char *recorded_address; /* of the upstream in that row */
	char *owner;		      /* the owner row, or NULL */
	char *written_owner;	      /* as in the last write */
	char *written_admission;      /* the newest, or NULL */
	uint32_t admission_writes;    /* writes that hold that row */
	uint32_t admission_removals;  /* writes that remove it */
	bool store_is_silent;
	bool starts_are_late; /* the upstream refuses starts as late */
	bool yields_are_lost; /* the store falls silent with a resignation */
	/* So many reads of this table are of the store as it began. */
	const char *stale_table;
	const char *silent_table; /* reads of it are not answered, or NULL */
	uint32_t stale_reads;
	uint32_t stronger_peers;
	uint32_t writes;
	uint32_t run_writes;	     /* writes that hold a run row */
	uint32_t learned_writes;     /* writes that hold a learned row */
	char *entry;		     /* of the only sound upstream, or NULL */
	char *address;		     /* of that upstream */
	const char *const (*odd)[2]; /* further entries: ids and values */
	size_t odd_len;
	uint64_t version;
	uint32_t write_delay_ms;
	uint32_t starts;	 /* orders that the upstream got */
	uint32_t upstream_calls; /* all calls that it got */
	uint32_t late_starts;	 /* those that it refused as late */
	uint64_t last_call_ms;	 /* time of the last call that it got */
	json_t *running;	 /* its list of runs */
	json_t *ended;		 /* its list of ends, if its runs end */
	uint32_t completed;	 /* writes that hold a completed job */
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

/* Append the odd entries, and one whose key holds a NUL after that of u1. */
static void append_odd_entries(const struct fixture *s, json_t *rows)
{
	json_t *row;

	for (size_t i = 0; i < s->odd_len; i++)
		json_array_append_new(
			rows, encode_row(s->odd[i][0], s->odd[i][1], 1));
	if (!s->odd_len)
		return;
	row = encode_row("", s->odd[0][1], 1);
	json_object_set_new(row, "key", json_stringn("u1\0x", 4));
	json_array_append_new(rows, row);
}

/* Return the rows of the table that a path names. */
static json_t *rows_of(const struct fixture *s, const char *path)
{
	json_t *rows = json_array();
	const char *key = NULL, *value = NULL;

	if (strstr(path, "table=" SPEC_TABLE "&part=1&") && s->has_job) {
		key = JOB;
		value = s->spec;
	} else if (strstr(path, "table=" UPSTREAM_TABLE "&") && s->entry) {
		key = "u1";
		value = s->entry;
	} else if (strstr(path, "table=" RUN_TABLE "&") && s->run) {
		key = JOB;
		value = s->run;
	} else if (strstr(path, "table=" OWNER_TABLE "&") && s->owner) {
		key = KEY_OWNER;
		value = s->owner;
	}
	if (strstr(path, "table=" OPERATOR_TABLE "&") && s->evacuated) {
		key = EVACUATION;
		value = "";
	}
	if (key)
		json_array_append_new(rows, encode_row(key, value, 1));
	if (key && value == s->entry)
		append_odd_entries(s, rows);
	return rows;
}

/* Keep the owner row of a write, and count the jobs that it completes. */
static void note_written_rows(struct fixture *s, const char *body)
{
	json_t *v = json_loads(body, 0, NULL);
	const json_t *item;
	size_t i;
	gsize n;

	json_array_foreach(json_object_get(v, "puts"), i, item)
	{
		const char *table = json_str_or(item, "table", "");
		char *value = (char *)g_base64_decode(
			json_str_or(item, "value", ""), &n);

		if (!strcmp(table, STATE_TABLE))
			s->completed += strstr(value, "completed") != NULL;
		if (strcmp(table, OWNER_TABLE)) {
			g_free(value);
		} else if (!strcmp(json_str_or(item, "key", ""),
				   KEY_ADMISSION)) {
			g_free(s->written_admission);
			s->written_admission = value;
			s->admission_writes++;
		} else {
			g_free(s->written_owner);
			s->written_owner = value;
		}
	}
	json_decref(v);
}

/* Report whether a write removes the admission row. */
static bool removes_admission(const char *body)
{
	json_t *v = json_loads(body, 0, NULL);
	const json_t *item;
	bool found = false;
	size_t i;

	json_array_foreach(json_object_get(v, "remove"), i, item) found |=
		!strcmp(json_str_or(item, "key", ""), KEY_ADMISSION);
	json_decref(v);
	return found;
}

/* Report whether the last write named no leader. */
static bool owner_is_nobody(const struct fixture *s)
{
	struct owner_record r;

	return owner_decode(s->written_owner, &r) && !*r.instance;
}

/* Report whether this call gets the answer of a store that lags behind. */
static bool is_stale_read(struct fixture *s, const char *path)
{
	char *text = g_strdup_printf("rows-get?table=%s&", s->stale_table);
	bool stale = s->stale_reads && strstr(path, text);

	s->stale_reads -= stale;
	g_free(text);
	return stale;
}

/* Answer reads and writes; a feed has no changes and is never answered. */
static bool send_to_store(void *arg, const char *method, const char *path,
			  const char *body, uint32_t timeout_ms,
			  http_done_fn done, void *done_arg)
{
	struct fixture *s = arg;
	struct call *c = g_new0(struct call, 1);
	bool write = !strcmp(method, "POST");
	bool stale = is_stale_read(s, path);
	json_t *v;

	(void)timeout_ms;
	if (write) {
		note_written_rows(s, body);
		if (s->yields_are_lost && owner_is_nobody(s))
			s->store_is_silent = true;
		s->writes++;
		s->run_writes += strstr(body, RUN_TABLE) != NULL;
		s->admission_removals += removes_admission(body);
		s->learned_writes += strstr(body, LEARNED_TABLE) != NULL;
	}
	c->fixture = s;
	c->path = g_strdup(path);
	c->done = done;
	c->done_arg = done_arg;
	timer_init(&c->timer, answer_call, c);
	s->version += write;
	v = json_pack("{s:o,s:I,s:I}", "rows",
		      stale ? json_array() : rows_of(s, path), "rowVersion",
		      (json_int_t)(stale ? VERSION_AT_FIRST : s->version),
		      "nowMs", (json_int_t)clock_mono_ms());
	c->body = json_dumps(v, JSON_COMPACT);
	json_decref(v);
	g_ptr_array_add(s->calls, c);
	if (!strstr(path, "rows-feed") && !s->store_is_silent &&
	    !(s->silent_table && strstr(path, s->silent_table)))
		timer_start(s->loop, &c->timer, write ? s->write_delay_ms : 1);
	return true;
}

/* Move the runs of the upstream to its list of ends. */
static void end_runs(struct fixture *s)
{
	const json_t *run;
	size_t i;

	json_array_foreach(s->running, i, run) json_array_append_new(
		s->ended, json_pack("[I,s,I,s,s]",
				    (json_int_t)json_array_size(s->ended) + 1,
				    json_string_value(json_array_get(run, 0)),
				    json_integer_value(json_array_get(run, 1)),
				    "done", ""));
	json_array_clear(s->running);
}

/* Serve an order as an upstream whose runs end in time, or never. */
static void handle_order(void *arg, struct http_exchange *x)
{
	struct fixture *s = arg;
	size_t len;
	const char *text = exchange_body(x, &len);
	json_t *order = json_loadb(text, len, 0, NULL);

	if (!strcmp(exchange_path(x), "/-/run-start") && s->starts_are_late) {
		s->late_starts++;
		exchange_reply_json(x, 409,
				    json_pack("{s:I,s:I,s:s}", "clockMs",
					      (json_int_t)clock_mono_ms(),
					      "born", (json_int_t)77, "reason",
					      "late"),
				    0);
		json_decref(order);
		return;
	}
	if (s->ended && !strcmp(exchange_path(x), "/-/hold"))
		end_runs(s);

	if (!strcmp(exchange_path(x), "/-/run-start")) {
		s->starts++;
		json_array_append_new(
			s->running,
			json_pack("[s,I,s,i]", json_str_or(order, "task", ""),
				  (json_int_t)json_int_or(order, "run", 0), "",
				  0));
	}
	s->upstream_calls++;
	s->last_call_ms = clock_mono_ms();
	exchange_reply_json(x, 200,
			    json_pack("{s:I,s:I,s:O,s:O*}", "clockMs",
				      (json_int_t)clock_mono_ms(), "born",
				      (json_int_t)77, "running", s->running,
				      "finished", s->ended),
			    0);
	json_decref(order);
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

static void on_operator_row(void *arg, const char *key, const char *value,
			    uint64_t version)
{
	const char *domain = decode_evacuation_key(key);

	(void)version;
	if (domain)
		leader_apply_evacuation_row(((struct fixture *)arg)->leader,
					    domain, value != NULL);
}

static uint32_t count_stronger_peers(void *arg)
{
	return ((struct fixture *)arg)->stronger_peers;
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

/* Return the spec row of a job of one task that needs this much of each. */
static char *encode_spec(const struct queue *q, int64_t need)
{
	struct job *j = job_create(JOB);
	struct step *step = job_add_step(j);
	char *row;

	queue_configure_job(q, j);
	j->payload = g_strdup("");
	step->count = 1;
	step->need = (struct resources){need, need, 0};
	row = spec_encode(j);
	job_destroy(j);
	return row;
}

/* Fill the store: a job of one task, and an upstream that can hold it. */
static void fill_store(struct fixture *s)
{
	char *address = listen_as_upstream(s);
	struct service *service;
	struct queue *q;

	s->policy = policy_create(1);
	/* the feeds are never answered, so the list of upstreams is old */
	service = policy_add_service(s->policy);
	service->name = g_strdup("s");
	service->enforces_capacity = true;
	q = policy_add_queue(s->policy);
	q->name = g_strdup("q");
	q->service = g_strdup("s");
	q->slack_factor = 1;
	s->spec = encode_spec(q, 10);
	s->entry = g_strdup_printf(
		"{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\","
		"\"version\":\"v1\",\"slots\":8,\"coldLeftMs\":0,"
		"\"addr\":\"%s\",\"seq\":1,\"born\":77,\"labels\":[\"a\","
		"\"r\"],\"capacity\":{\"cpu\":1000,\"memMb\":1000}}",
		address);
	s->address = address;
}

static void fixture_create(struct fixture *s, uint32_t write_delay_ms)
{
	struct replica_events owners = {.changed = on_owner_row,
					.answered = on_owner_answer};
	struct replica_events other = {.changed = ignore_row};
	struct replica_events op = {.changed = on_operator_row};
	struct leader_env e;

	*s = (struct fixture){.loop = loop_create(),
			      .calls =
				      g_ptr_array_new_with_free_func(call_free),
			      .running = json_array(),
			      .version = VERSION_AT_FIRST,
			      .write_delay_ms = write_delay_ms};
	s->http = http_client_create(s->loop);
	s->counters = counters_create();
	g_strlcpy(s->settings.instance, "i", sizeof(s->settings.instance));
	s->settings.lease_ms = s->settings.lease_max_ms = LEASE_MS;
	s->settings.heartbeat_ms = 1500;
	s->settings.stop_ms = 200;
	s->settings.reclaim_ms = 3000;
	s->settings.value_max_bytes = BODY_MAX;
	fill_store(s);
	s->rows = rows_create(send_to_store, s);
	s->owners = replica_create(s->loop, s->rows, OWNER_TABLE,
				   replica_single_part, 1000, &owners, s);
	s->jobs = replica_create(s->loop, s->rows, JOB_TABLE, job_parts, 1000,
				 &other, s);
	s->states = replica_create(s->loop, s->rows, STATE_TABLE,
				   replica_single_part, 1000, &other, s);
	s->policies = replica_create(s->loop, s->rows, OPERATOR_TABLE,
				     replica_single_part, 1000, &op, s);
	e = (struct leader_env){.loop = s->loop,
				.http = s->http,
				.rows = s->rows,
				.counters = s->counters,
				.settings = &s->settings,
				.owners = s->owners,
				.jobs = s->jobs,
				.states = s->states,
				.policies = s->policies,
				.incarnation = 7,
				.strength = 100,
				.count_stronger_peers = count_stronger_peers,
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
	replica_destroy(s->policies);
	g_ptr_array_free(s->calls, TRUE);
	rows_destroy(s->rows);
	http_client_destroy(s->http);
	if (s->upstream)
		http_server_destroy(s->upstream);
	counters_destroy(s->counters);
	policy_destroy(s->policy);
	g_free(s->entry);
	g_free(s->address);
	free(s->spec);
	free(s->run);
	g_free(s->owner);
	g_free(s->written_owner);
	g_free(s->written_admission);
	json_decref(s->running);
	json_decref(s->ended);
	loop_destroy(s->loop);
	clock_offset_ms = suspended_ms = 0;
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

/*
 * Show the leader new rows by the feed of a table, if it waits for that; adds
 * them to its answer at their next versions. Releases rows.
 */
static void feed_rows(struct fixture *s, const char *table, json_t *rows)
{
	char *path = g_strdup_printf("rows-feed?table=%s&", table);
	json_t *v, *row;
	size_t k;

	json_array_foreach(rows, k, row) json_object_set_new(
		row, "rowVersion", json_integer(++s->version));
	v = json_pack("{s:o,s:I,s:I}", "rows", rows, "rowVersion",
		      (json_int_t)s->version, "nowMs",
		      (json_int_t)clock_mono_ms());
	for (guint i = 0; i < s->calls->len; i++) {
		struct call *c = g_ptr_array_index(s->calls, i);

		if (!strstr(c->path, path))
			continue;
		g_free(c->body);
		c->body = json_dumps(v, JSON_COMPACT);
		answer_call(c);
		break;
	}
	json_decref(v);
	g_free(path);
}

/* Show the leader a job by the feed that it follows. */
static void submit_job(struct fixture *s)
{
	feed_rows(s, SPEC_TABLE, json_pack("[o]", encode_row(JOB, s->spec, 0)));
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

/* Step the loop for ms of its clock, which runs faster than the real one. */
static void run_for(struct fixture *s, uint64_t ms)
{
	uint64_t until_ms = clock_mono_ms() + ms;

	while (clock_mono_ms() < until_ms) {
		clock_offset_ms += ADVANCE_MS;
		leader_note_owner_answer(s->leader);
		loop_step(s->loop, 1);
	}
}

/* Let the leader start its job, whose end the upstream never lists. */
static void lead_with_running_job(struct fixture *s)
{
	fixture_create(s, 5);
	s->has_job = true;
	step_until_start(s, START_MAX_MS);
	assert_int_equal(s->starts, 1);
}

/*
 * Guards against renewals by a leader that is cut off: its store is silent, so
 * that a write is in flight all the time.
 */
static void test_leader_calls_no_upstream_after_its_tenure(void **state)
{
	struct fixture s;
	uint64_t cut_ms;

	(void)state;
	lead_with_running_job(&s);
	s.store_is_silent = true;
	cut_ms = clock_mono_ms();
	run_for(&s, TENURE_LIMIT_MS + 8000);
	assert_true(s.last_call_ms > cut_ms + 1000);
	/* a call that was sent in time arrives after a step */
	assert_true(s.last_call_ms <=
		    cut_ms + TENURE_LIMIT_MS + 3 * ADVANCE_MS);
	assert_false(leader_is_active(s.leader));
	fixture_destroy(&s);
}

/*
 * The answer to the write that records a start is read after a pause, before
 * the timer that ends the tenure can run.
 */
static void test_recorded_start_is_not_sent_after_the_tenure(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 400);
	step_until_start(&s, 1500);
	assert_true(leader_is_active(s.leader));
	submit_job(&s);
	while (!s.run_writes)
		loop_step(s.loop, 10);
	clock_offset_ms += TENURE_LIMIT_MS + 500;
	for (uint32_t i = 0; i < 60; i++)
		loop_step(s.loop, 10);
	assert_int_equal(s.starts, 0);
	assert_false(leader_is_active(s.leader));
	fixture_destroy(&s);
}

/*
 * The leader's machine is suspended for longer than the tenure while a write is
 * in flight; the first clock that shows it is CLOCK_BOOTTIME.
 */
static void test_leader_suspended_beyond_its_tenure_sends_nothing(void **state)
{
	struct fixture s;
	uint32_t calls;

	(void)state;
	fixture_create(&s, 400);
	step_until_start(&s, 1500);
	assert_true(leader_is_active(s.leader));
	submit_job(&s);
	while (!s.run_writes)
		loop_step(s.loop, 10);
	loop_step(s.loop, 10); /* for calls that were sent before */
	calls = s.upstream_calls;
	suspended_ms += TENURE_LIMIT_MS + 500;
	for (uint32_t i = 0; i < 60; i++)
		loop_step(s.loop, 10);
	assert_int_equal(s.starts, 0);
	assert_int_equal(s.upstream_calls, calls);
	assert_false(leader_is_active(s.leader));
	fixture_destroy(&s);
}

/*
 * The leader is paused for less than its tenure while it records a start; an
 * upstream that restarts meanwhile has seen no later epoch. Guards against a
 * start after a successor may have claimed: the leader asks the store first.
 */
static void test_start_is_confirmed_by_a_write_after_a_pause(void **state)
{
	struct fixture s;
	uint32_t writes;

	(void)state;
	fixture_create(&s, 400);
	step_until_start(&s, 1500);
	assert_true(leader_is_active(s.leader));
	submit_job(&s);
	while (!s.run_writes)
		loop_step(s.loop, 10);
	writes = s.writes;
	clock_offset_ms += 2000;
	step_until_start(&s, START_MAX_MS);
	assert_int_equal(s.starts, 1);
	assert_true(s.writes > writes);
	fixture_destroy(&s);
}

/*
 * Step the loop for ms, in which the feed of the operators' rows is answered as
 * the store does, but reports no change.
 */
static void run_with_rows(struct fixture *s, uint64_t ms)
{
	uint64_t until_ms = clock_mono_ms() + ms;

	while (clock_mono_ms() < until_ms) {
		feed_rows(s, OPERATOR_TABLE, json_array());
		leader_note_owner_answer(s->leader);
		for (uint32_t i = 0; i < 10; i++)
			loop_step(s->loop, 10);
	}
}

/* Show the leader that the upstream's domain is evacuated, or not any more. */
static void feed_evacuation(struct fixture *s, bool evacuated)
{
	json_t *row = encode_row(EVACUATION, "", 0);

	if (!evacuated)
		json_object_set_new(row, "deleted", json_true());
	feed_rows(s, OPERATOR_TABLE, json_pack("[o]", row));
}

/*
 * The evacuation is read while the start is recorded. Guards against a recorded
 * start that is sent, and against one that is never placed again.
 */
static void test_recorded_start_is_withheld_in_evacuated_domain(void **state)
{
	struct fixture s;
	uint32_t writes;

	(void)state;
	fixture_create(&s, 400);
	s.settings.evacuate_ms = EVACUATE_MS;
	run_with_rows(&s, 1500);
	assert_true(leader_is_active(s.leader));
	submit_job(&s);
	while (!s.run_writes)
		loop_step(s.loop, 10);
	feed_evacuation(&s, true);
	writes = s.writes;
	run_with_rows(&s, 1500);
	assert_true(s.writes > writes);
	assert_int_equal(s.starts, 0);
	assert_int_equal(leader_count_evacuated(s.leader), 1);
	feed_evacuation(&s, false);
	run_with_rows(&s, 1500);
	assert_int_equal(s.starts, 1);
	assert_int_equal(leader_count_evacuated(s.leader), 0);
	fixture_destroy(&s);
}

/* Guards against obeying evacuations where the platform states no bound. */
static void test_evacuation_is_ignored_without_a_bound(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 5);
	s.evacuated = s.has_job = true;
	step_until_start(&s, START_MAX_MS);
	assert_int_equal(s.starts, 1);
	assert_int_equal(leader_count_evacuated(s.leader), 0);
	fixture_destroy(&s);
}

/*
 * A successor finds the row and a job of its predecessor. Guards against a start
 * before it has read the row.
 */
static void test_successor_starts_nothing_in_evacuated_domain(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 5);
	s.settings.evacuate_ms = EVACUATE_MS;
	s.evacuated = s.has_job = true;
	run_with_rows(&s, 3000);
	assert_true(leader_is_active(s.leader));
	assert_int_equal(s.starts, 0);
	feed_evacuation(&s, false);
	run_with_rows(&s, 1500);
	assert_int_equal(s.starts, 1);
	fixture_destroy(&s);
}

/*
 * The store commits writes but does not answer about the operators' rows.
 * Guards against a start by rows that lack an evacuation of some time ago, and
 * against a leader that sends none after the next answer.
 */
static void test_no_start_is_sent_by_old_rows_of_the_operators(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 5);
	s.settings.evacuate_ms = EVACUATE_MS;
	run_with_rows(&s, 1500);
	assert_true(leader_is_active(s.leader));
	run_for(&s, EVACUATE_MS / 2);
	submit_job(&s);
	step_until_start(&s, 1500);
	assert_true(s.run_writes);
	assert_int_equal(s.starts, 0);
	run_with_rows(&s, 1500);
	assert_int_equal(s.starts, 1);
	fixture_destroy(&s);
}

/* Answer the call of this path that was sent first. */
static void answer_first(struct fixture *s, const char *path)
{
	for (guint i = 0; i < s->calls->len; i++) {
		struct call *c = g_ptr_array_index(s->calls, i);

		if (!strstr(c->path, path))
			continue;
		answer_call(c);
		return;
	}
	fail_msg("no call of %s", path);
}

/*
 * The upstreams do not refuse excess work. After a pause the leader reads an
 * answer with their list, and that its write was committed: both are old.
 */
static void test_start_is_not_sent_by_a_list_read_after_a_pause(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 400);
	s.policy->services[0].enforces_capacity = false;
	step_until_start(&s, 1500);
	assert_true(leader_is_active(s.leader));
	run_for(&s, 1600);
	submit_job(&s);
	while (!s.run_writes)
		loop_step(s.loop, 10);
	clock_offset_ms += 1200;
	answer_first(&s, "rows-feed?table=" UPSTREAM_TABLE "&");
	for (uint32_t i = 0; i < 10; i++)
		loop_step(s.loop, 10);
	assert_int_equal(s.starts, 0);
	/* the next answer shows the present resources */
	while (!s.starts && leader_is_active(s.leader)) {
		run_for(&s, 200);
		answer_first(&s, "rows-feed?table=" UPSTREAM_TABLE "&");
		run_for(&s, 400);
	}
	assert_int_equal(s.starts, 1);
	fixture_destroy(&s);
}

/* A file that takes the standard output in place of the test's own. */
struct captured_log {
	FILE *file;
	int own_fd;
};

static void log_capture(struct captured_log *c)
{
	c->file = tmpfile();
	assert_non_null(c->file);
	fflush(stdout);
	c->own_fd = dup(STDOUT_FILENO);
	dup2(fileno(c->file), STDOUT_FILENO);
}

/* Give the output back; returns how many lines hold the text. */
static uint32_t log_count(struct captured_log *c, const char *text)
{
	char line[8192];
	uint32_t n = 0;

	dup2(c->own_fd, STDOUT_FILENO);
	close(c->own_fd);
	rewind(c->file);
	while (fgets(line, sizeof(line), c->file))
		n += strstr(line, text) != NULL;
	fclose(c->file);
	return n;
}

/* Return the run row of the only job, whose task an earlier leader started. */
static char *encode_active_run(const struct fixture *s)
{
	struct job *j = spec_decode(JOB, s->spec);
	struct fleet *f = fleet_create();
	struct upstream *u = fleet_add_upstream(f, "u9");
	char *row;

	u->started_wall_ms = 77;
	if (s->recorded_address)
		g_strlcpy(u->address, s->recorded_address, sizeof(u->address));
	task_place(job_find_task(j, 0, 0, 0), u, 1, 1000);
	row = run_encode(j);
	fleet_release(job_find_task(j, 0, 0, 0));
	job_destroy(j);
	fleet_destroy(f);
	return row;
}

/*
 * Create a leader with a job whose task an earlier leader placed on an upstream
 * that is not listed, at this address or at an unknown one, given the owner row.
 */
static void create_successor(struct fixture *s, const char *owner,
			     const char *address)
{
	fixture_create(s, 5);
	s->has_job = true;
	s->recorded_address = address;
	s->run = encode_active_run(s);
	s->owner = g_strdup(owner);
}

/*
 * Return how long after its start a leader starts a task again that an earlier
 * leader placed on an upstream that is not listed, given the owner row.
 */
static uint64_t measure_restart_ms(struct fixture *s, const char *owner)
{
	uint64_t began_ms;

	create_successor(s, owner, REFUSING_ADDRESS);
	began_ms = clock_mono_ms();
	while (!s->starts && clock_mono_ms() < began_ms + 60000)
		run_for(s, ADVANCE_MS);
	assert_int_equal(s->starts, 1);
	return clock_mono_ms() - began_ms;
}

/*
 * The last leader resigned, but the one before it was cut off and may renew its
 * leases for 9 s more: its run must not be doubled.
 */
static void test_run_of_leader_before_the_last_is_not_doubled(void **state)
{
	struct fixture s;

	(void)state;
	assert_true(measure_restart_ms(&s, "{\"instance\":\"\","
					   "\"incarnation\":1,\"epoch\":2,"
					   "\"sequence\":4,"
					   "\"earlier_ms\":9000}") >=
		    9000 + LEASE_MS);
	fixture_destroy(&s);
	/* as if the leader that was killed had this test's instance name */
	assert_true(measure_restart_ms(&s, "{\"instance\":\"i\","
					   "\"incarnation\":1,\"epoch\":2,"
					   "\"sequence\":4,"
					   "\"earlier_ms\":9000}") >=
		    9000 + LEASE_MS);
	fixture_destroy(&s);
}

/* A planned restart costs one lease, and a row of another version the most. */
static void test_restart_waits_only_for_leaders_that_may_act(void **state)
{
	struct fixture s;

	(void)state;
	assert_true(measure_restart_ms(&s,
				       "{\"instance\":\"\","
				       "\"incarnation\":1,\"epoch\":2,"
				       "\"sequence\":4,"
				       "\"earlier_ms\":0}") < LEASE_MS + 1000);
	fixture_destroy(&s);
	assert_true(measure_restart_ms(&s, "{\"instance\":\"\","
					   "\"incarnation\":1,\"epoch\":2,"
					   "\"sequence\":4}") >=
		    TENURE_LIMIT_MS + LEASE_MS);
	fixture_destroy(&s);
}

/* The owner row of a leader that resigned, when no other could act. */
#define OWNER_RESIGNED                                                         \
	"{\"instance\":\"\",\"incarnation\":1,\"epoch\":2,\"sequence\":4,"     \
	"\"earlier_ms\":0}"

/*
 * An upstream's entry is gone when a leader takes over, and the leases of the
 * earlier one have ended. Guards against a second run of a task whose upstream
 * nobody has asked: it lists how the run ends.
 */
static void
test_unlisted_upstream_is_asked_at_its_recorded_address(void **state)
{
	struct fixture s;
	char *address;

	(void)state;
	fixture_create(&s, 5);
	address = g_strdup(s.address);
	s.has_job = true;
	s.recorded_address = address;
	s.run = encode_active_run(&s);
	s.owner = g_strdup(OWNER_RESIGNED);
	json_array_append_new(s.running,
			      json_pack("[s,i,s,i]", JOB ".0.0.0", 1, "", 10));
	run_for(&s, 5 * LEASE_MS);
	assert_true(leader_is_active(s.leader));
	assert_int_equal(s.starts, 0);
	s.ended = json_array();
	run_for(&s, 3000);
	assert_int_equal(s.completed, 1);
	assert_int_equal(s.starts, 0);
	fixture_destroy(&s);
	g_free(address);
}

/* Let the feed call of a table fail. */
static void fail_feed(struct fixture *s, const char *table, int status)
{
	char *path = g_strdup_printf("rows-feed?table=%s&", table);
	struct http_result r = {
		.verdict = status ? verdict_ran()
				  : verdict_may_have_run(REASON_DEADLINE),
		.status = status,
		.body = ""};

	for (guint i = 0; i < s->calls->len; i++) {
		struct call *c = g_ptr_array_index(s->calls, i);

		if (!strstr(c->path, path))
			continue;
		c->done(c->done_arg, &r);
		g_ptr_array_remove_fast(s->calls, c);
		break;
	}
	g_free(path);
}

/*
 * The upstream is not listed and its address is not known, so only the list can
 * show it. Guards against a run that is taken for lost by an old list, or
 * before entries that lapsed while the store was away can be back, and against
 * one that is waited for without an end.
 */
static void test_unlisted_upstream_has_time_to_be_listed_again(void **state)
{
	enum { LIST_FOLLOWED, STORE_AWAY, LIST_OLD, CASES };

	(void)state;
	for (int i = 0; i < CASES; i++) {
		uint64_t began_ms, leases_end_ms, back_ms = 0, took_ms;
		struct fixture s;

		create_successor(&s, OWNER_RESIGNED, NULL);
		began_ms = clock_mono_ms();
		leases_end_ms = began_ms + LEASE_MS;
		while (!s.starts && clock_mono_ms() < began_ms + 60000) {
			run_for(&s, 4 * ADVANCE_MS);
			if (i == LIST_OLD)
				continue;
			if (i == STORE_AWAY && !back_ms &&
			    clock_mono_ms() > leases_end_ms - 1000) {
				fail_feed(&s, UPSTREAM_TABLE, 0);
				back_ms = clock_mono_ms();
				run_for(&s, 4 * ADVANCE_MS);
			}
			feed_rows(&s, UPSTREAM_TABLE, json_array());
		}
		took_ms = clock_mono_ms() - began_ms;
		assert_int_equal(s.starts, 1);
		if (i == LIST_OLD)
			assert_in_range(took_ms, LEASE_MS + 8000,
					LEASE_MS + 12000);
		else if (i == STORE_AWAY)
			assert_in_range(took_ms, back_ms - began_ms + 2000,
					LEASE_MS + 3000);
		else
			assert_in_range(took_ms, LEASE_MS, LEASE_MS + 1500);
		fixture_destroy(&s);
	}
}

/*
 * The history of the list is dropped, and the list that is read again lacks an
 * upstream that drains and refuses connections. When its entry was removed, and
 * by whom, is unknown. Guards against a run that is lost before its lease.
 */
static void
test_entry_missing_in_list_read_again_was_not_withdrawn(void **state)
{
	struct captured_log log;
	struct fixture s;
	char **parts;
	uint32_t left;

	(void)state;
	lead_with_running_job(&s);
	parts = g_strsplit(s.entry, "\"ready\"", 2);
	g_free(s.entry);
	s.entry = g_strjoinv("\"draining\"", parts);
	g_strfreev(parts);
	for (uint32_t i = 0; i < 4; i++) {
		feed_rows(&s, UPSTREAM_TABLE,
			  json_pack("[o]", encode_row("u1", s.entry, 0)));
		run_for(&s, 10 * ADVANCE_MS);
	}
	log_capture(&log);
	http_server_destroy(s.upstream);
	s.upstream = NULL;
	run_for(&s, 4 * ADVANCE_MS);
	g_free(s.entry);
	s.entry = NULL;
	fail_feed(&s, UPSTREAM_TABLE, 410);
	run_for(&s, LEASE_MS / 2);
	left = log_count(&log, "has left");
	assert_int_equal(left, 0);
	fixture_destroy(&s);
}

/* Return a field of the owner row that was written last; -1 if missing. */
static int64_t written_field(const struct fixture *s, const char *name)
{
	json_t *v = json_loads(s->written_owner, 0, NULL);
	int64_t n = json_int_or(v, name, -1);

	json_decref(v);
	return n;
}

/* The bound passes through the rows of a leader that resigns. */
static void test_owner_row_passes_on_tenures_of_earlier_leaders(void **state)
{
	struct fixture s;
	int64_t first, last;

	(void)state;
	fixture_create(&s, 5);
	s.owner = g_strdup("{\"instance\":\"other\",\"incarnation\":1,"
			   "\"epoch\":1,\"sequence\":4,\"earlier_ms\":0}");
	while (!leader_is_active(s.leader))
		run_for(&s, ADVANCE_MS);
	first = written_field(&s, "earlier_ms");
	assert_in_range(first, TENURE_LIMIT_MS - 4000, TENURE_LIMIT_MS);
	run_for(&s, 3000);
	leader_resign(s.leader);
	run_for(&s, 1000);
	assert_false(leader_is_active(s.leader));
	last = written_field(&s, "earlier_ms");
	assert_in_range(last, TENURE_LIMIT_MS - 9000, first - 2000);
	fixture_destroy(&s);
}

/*
 * Guards against a leader that acts on after its successor has learnt that it
 * resigned: the answer to its last write is lost.
 */
static void test_leader_calls_no_upstream_after_it_resigns(void **state)
{
	struct fixture s;
	uint64_t resigned_ms;

	(void)state;
	lead_with_running_job(&s);
	run_for(&s, 500);
	s.store_is_silent = true;
	while (s.last_call_ms + 1 < clock_mono_ms())
		loop_step(s.loop, 1);
	leader_resign(s.leader);
	run_for(&s, 400);
	resigned_ms = clock_mono_ms();
	run_for(&s, 3000);
	assert_true(s.last_call_ms <= resigned_ms);
	fixture_destroy(&s);
}

/* Another writer has left a row that no leader wrote. */
static void test_odd_owner_row_counts_as_leader_that_may_act(void **state)
{
	static const char *const rows[] = {
		"not JSON",
		"[[[[]]]]",
		"{\"instance\":7,\"epoch\":2}",
		"{\"instance\":\"x\",\"epoch\":-1}",
		"{\"instance\":\"x\",\"epoch\":9223372036854775807}",
		"{\"instance\":\"x\",\"epoch\":1e400}",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct fixture s;

		assert_true(measure_restart_ms(&s, rows[i]) >=
			    TENURE_LIMIT_MS + LEASE_MS);
		fixture_destroy(&s);
	}
}

/* Upstreams refuse an epoch that is lower than one that they have seen. */
static void test_claim_after_odd_owner_row_exceeds_all_epochs(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 5);
	s.owner = g_strdup("{\"instance\":\"x\",\"incarnation\":1,"
			   "\"epoch\":5,\"sequence\":4,\"earlier_ms\":0}");
	run_for(&s, 300);
	leader_apply_owner_row(s.leader, "odd", 6);
	while (!leader_is_active(s.leader))
		run_for(&s, ADVANCE_MS);
	assert_int_equal(written_field(&s, "epoch"), 5 + EPOCH_STEP);
	fixture_destroy(&s);
}

/* Run the loop until the leader is active, at most START_MAX_MS of its clock. */
static void wait_until_active(struct fixture *s)
{
	uint64_t until_ms = clock_mono_ms() + START_MAX_MS;

	while (!leader_is_active(s->leader) && clock_mono_ms() < until_ms)
		run_for(s, ADVANCE_MS);
	assert_true(leader_is_active(s->leader));
}

/*
 * Guards against an epoch that is used twice: this process has led with the
 * highest epoch before the row became odd.
 */
static void test_claim_after_odd_owner_row_exceeds_own_epoch(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 5);
	wait_until_active(&s);
	assert_int_equal(written_field(&s, "epoch"), EPOCH_STEP);
	s.store_is_silent = true;
	while (leader_is_active(s.leader))
		run_for(&s, ADVANCE_MS);
	leader_apply_owner_row(s.leader, "odd", s.version + 1);
	s.store_is_silent = false;
	wait_until_active(&s);
	assert_int_equal(written_field(&s, "epoch"), 2 * EPOCH_STEP);
	fixture_destroy(&s);
}

/*
 * Guards against a claim that gives the leadership away at once: the answer to
 * the write that yielded was lost.
 */
static void test_claim_after_a_lost_yield_names_the_claimant(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 5);
	wait_until_active(&s);
	s.stronger_peers = 1;
	s.yields_are_lost = true;
	while (!s.store_is_silent)
		run_for(&s, ADVANCE_MS);
	s.yields_are_lost = false;
	s.stronger_peers = 0;
	while (leader_is_active(s.leader))
		run_for(&s, ADVANCE_MS);
	s.store_is_silent = false;
	/* after a claim that names nobody it would rest for 5 s */
	wait_until_active(&s);
	fixture_destroy(&s);
}

/*
 * Guards against a start that nobody repeats: its retry was due in a pause that
 * was longer than the tenure, while a younger write was in flight.
 */
static void test_start_is_not_forgotten_when_the_tenure_ends(void **state)
{
	struct fixture s;
	uint32_t late;
	uint64_t written_ms;

	(void)state;
	fixture_create(&s, 400);
	step_until_start(&s, 1500);
	assert_true(leader_is_active(s.leader));
	s.starts_are_late = true;
	submit_job(&s);
	s.has_job = true;
	while (!s.run_writes)
		loop_step(s.loop, 1);
	written_ms = clock_mono_ms();
	/* the next write is in flight from 700 to 1100 ms after this one */
	while (clock_mono_ms() < written_ms + 800)
		loop_step(s.loop, 1);
	late = s.late_starts;
	while (s.late_starts == late)
		loop_step(s.loop, 1);
	loop_step(s.loop, 1);
	clock_offset_ms += written_ms + TENURE_LIMIT_MS + 100 - clock_mono_ms();
	s.write_delay_ms = 5;
	s.starts_are_late = false;
	run_for(&s, 8000);
	assert_int_equal(s.starts, 1);
}

/* Parts of entries. */
#define ODD_BEGIN                                                              \
	"{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\","               \
	"\"version\":\"v1\",\"coldLeftMs\":0,"
#define ODD_LABELS "\"labels\":[\"a\",\"r\"],"
#define ODD_ADDRESS "\"addr\":\"127.0.0.1:1\","
#define ODD_ROOM "\"capacity\":{\"cpu\":1000,\"memMb\":1000}"
#define LARGE "9223372036854775807"
#define X40 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
#define LONG_ID X40 X40 X40 X40 X40 "x"

/* Entries that other writers may leave beside those of upstreams. */
static const char *const odd_entries[][2] = {
	{"a", ""},
	{"b", "{"},
	{"c", "null"},
	{"d", "\001\377\376"},
	{"e", "{\"service\":1e400}"},
	{"f", "{\"service\":18446744073709551616}"},
	{"g", ODD_BEGIN ODD_LABELS ODD_ADDRESS ODD_ROOM
	 ",\"slots\":8,\"seq\":1,\"born\":-1}"},
	{"h", ODD_BEGIN ODD_LABELS ODD_ADDRESS ODD_ROOM
	 ",\"slots\":8,\"seq\":1,\"born\":" LARGE "}"},
	{"i", ODD_BEGIN ODD_LABELS ODD_ADDRESS
	 "\"slots\":8,\"seq\":1,\"born\":77,\"capacity\":{\"cpu\":" LARGE
	 ",\"memMb\":" LARGE ",\"gpu\":" LARGE "}}"},
	{"j", ODD_BEGIN ODD_LABELS "\"addr\":\"127.0.0.1:70000\"," ODD_ROOM
				   ",\"slots\":8,\"seq\":1,\"born\":77}"},
	{"k", ODD_BEGIN ODD_LABELS "\"addr\":\"127.0.0.1:+1\"," ODD_ROOM
				   ",\"slots\":8,\"seq\":1,\"born\":77}"},
	{"l", ODD_BEGIN ODD_LABELS "\"addr\":\"0.0.0.0:1\"," ODD_ROOM
				   ",\"slots\":8,\"seq\":1,\"born\":77}"},
	{"m", ODD_BEGIN ODD_ADDRESS ODD_ROOM
	 ",\"labels\":[{}],\"slots\":8,\"seq\":1,\"born\":77}"},
	{"n", ODD_BEGIN ODD_LABELS ODD_ADDRESS ODD_ROOM
	 ",\"slots\":\"8\",\"seq\":1,\"born\":77}"},
	{LONG_ID, ODD_BEGIN ODD_LABELS ODD_ADDRESS ODD_ROOM
	 ",\"slots\":8,\"seq\":1,\"born\":77}"},
	{"o\r\np", ODD_BEGIN ODD_LABELS ODD_ADDRESS ODD_ROOM
	 ",\"slots\":8,\"seq\":1,\"born\":77}"},
};

/* The last two are odd by their ids alone. */
#define ODD_VALUES (G_N_ELEMENTS(odd_entries) - 2)

/* Interval at which entries are written again. */
#define HEARTBEAT_MS 1500

/* Return the rows of the odd entries and of the sound one. */
static json_t *all_entries(const struct fixture *s)
{
	json_t *rows = json_array();

	append_odd_entries(s, rows);
	json_array_append_new(rows, encode_row("u1", s->entry, 0));
	return rows;
}

/*
 * Guards against leaders that end or that stop following the list of upstreams:
 * odd entries of each kind are written again with each heartbeat for a minute,
 * while a job a second arrives.
 */
static void test_odd_entries_cost_themselves_alone(void **state)
{
	enum { JOBS = 40 };
	struct captured_log log;
	struct fixture s;
	uint32_t lines;

	(void)state;
	log_capture(&log);
	fixture_create(&s, 5);
	s.odd = odd_entries;
	s.odd_len = G_N_ELEMENTS(odd_entries);
	s.ended = json_array();
	run_for(&s, 3000);
	assert_true(leader_is_active(s.leader));
	for (uint32_t i = 0; i < JOBS; i++) {
		char id[JOB_ID_BYTES];

		snprintf(id, sizeof(id), "%016x", i + 1);
		feed_rows(&s, SPEC_TABLE,
			  json_pack("[o]", encode_row(id, s.spec, 0)));
		feed_rows(&s, UPSTREAM_TABLE, all_entries(&s));
		run_for(&s, HEARTBEAT_MS);
	}
	run_for(&s, 3000);
	lines = log_count(&log, "bad_upstream_entry");
	assert_true(leader_is_active(s.leader));
	assert_int_equal(s.completed, JOBS);
	assert_int_equal(s.starts, JOBS);
	assert_int_equal(lines, s.odd_len);
	fixture_destroy(&s);
}

/* Rows of a table that another writer left: keys and values. */
static json_t *encode_rows(const char *const (*rows)[2], size_t len)
{
	json_t *list = json_array();

	for (size_t i = 0; i < len; i++)
		json_array_append_new(list,
				      encode_row(rows[i][0], rows[i][1], 0));
	return list;
}

/*
 * Guards against a leader that ends: the keys of two jobs are equal up to the
 * length of an id, so that one took the other's place while it was in use.
 */
static void test_odd_job_rows_cost_themselves_alone(void **state)
{
	const char *sound = "00000000000000a2";
	struct captured_log log;
	struct fixture s;
	uint32_t lines;

	(void)state;
	log_capture(&log);
	fixture_create(&s, 5);
	s.ended = json_array();
	run_for(&s, 3000);
	assert_true(leader_is_active(s.leader));
	for (uint32_t i = 0; i < 5; i++) {
		const char *const rows[][2] = {
			{"00000000000000000000000000000001", s.spec},
			{"00000000000000000000000000000002", s.spec},
			{"a.0.0.0", s.spec},
			{"a1", ""},
			{"a2", "{"},
			{"a3", "{\"queue\":\"q\",\"steps\":[{\"count\":-1}]}"},
			{"a4", "{\"queue\":\"q\",\"steps\":"
			       "[{\"count\":4000000000}]}"},
		};

		feed_rows(&s, SPEC_TABLE,
			  encode_rows(rows, G_N_ELEMENTS(rows)));
		run_for(&s, 1000);
	}
	feed_rows(&s, SPEC_TABLE,
		  json_pack("[o]", encode_row(sound, s.spec, 0)));
	run_for(&s, 3000);
	lines = log_count(&log, "bad_row");
	assert_int_equal(s.starts, 1);
	assert_int_equal(s.completed, 1);
	/* one for each version of each odd row */
	assert_int_equal(lines, 5 * 7);
	fixture_destroy(&s);
}

/* Listed upstreams that never answer, as nothing listens there. */
#define SILENT_ENTRY                                                           \
	ODD_BEGIN ODD_LABELS ODD_ADDRESS ODD_ROOM                              \
		",\"slots\":8,\"seq\":1,\"born\":77}"
static const char *const silent_entries[][2] = {
	{"a", SILENT_ENTRY}, {"b", SILENT_ENTRY}, {"c", SILENT_ENTRY}};

/*
 * Guards against work that fits into no room at all, and goes to upstreams that
 * get no work for that reason.
 */
static void test_work_without_needs_goes_to_usable_upstreams(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 5);
	s.odd = silent_entries;
	s.odd_len = G_N_ELEMENTS(silent_entries);
	s.ended = json_array();
	s.has_job = true;
	free(s.spec);
	s.spec = encode_spec(&s.policy->queues[0], 0);
	run_for(&s, 10000);
	assert_int_equal(s.completed, 1);
	fixture_destroy(&s);
}

/*
 * Guards against entries that put the failure domain in doubt for ever, though
 * nobody has ever heard of their upstreams.
 */
static void test_upstreams_never_heard_of_speak_for_no_domain(void **state)
{
	struct captured_log log;
	struct fixture s;
	uint32_t lines;

	(void)state;
	fixture_create(&s, 5);
	s.odd = silent_entries;
	s.odd_len = G_N_ELEMENTS(silent_entries);
	s.ended = json_array();
	run_for(&s, NEVER_HEARD_LIMIT_MS + 2000);
	log_capture(&log);
	for (uint32_t i = 0; i < 40; i++) {
		char id[JOB_ID_BYTES];

		snprintf(id, sizeof(id), "%016x", i + 1);
		feed_rows(&s, SPEC_TABLE,
			  json_pack("[o]", encode_row(id, s.spec, 0)));
		run_for(&s, HEARTBEAT_MS);
	}
	lines = log_count(&log, "upstream_doubted");
	assert_int_equal(s.completed, 40);
	assert_int_equal(lines, 0);
	fixture_destroy(&s);
}

/*
 * A sound entry is replaced by an odd one: the upstream gets no new work, but
 * its run goes on, and it gets work again once its entry is back.
 */
static void test_upstream_with_odd_entry_keeps_its_runs(void **state)
{
	const char *other = "00000000000000a2";
	struct fixture s;

	(void)state;
	lead_with_running_job(&s);
	for (size_t i = 0; i < ODD_VALUES; i++) {
		feed_rows(&s, UPSTREAM_TABLE,
			  json_pack("[o]",
				    encode_row("u1", odd_entries[i][1], 0)));
		run_for(&s, HEARTBEAT_MS);
		assert_true(s.last_call_ms + 1000 > clock_mono_ms());
	}
	feed_rows(&s, SPEC_TABLE,
		  json_pack("[o]", encode_row(other, s.spec, 0)));
	run_for(&s, 2 * LEASE_MS);
	assert_int_equal(s.starts, 1);
	feed_rows(&s, UPSTREAM_TABLE,
		  json_pack("[o]", encode_row("u1", s.entry, 0)));
	run_for(&s, HEARTBEAT_MS);
	assert_int_equal(s.starts, 2);
	assert_int_equal(json_array_size(s.running), 2);
	fixture_destroy(&s);
}

/* Answer the feed of a table, if it is being waited for, with this status. */
static void refuse_feed(struct fixture *s, const char *table, int status)
{
	char *path = g_strdup_printf("rows-feed?table=%s&", table);
	struct http_result r = {.verdict = verdict_ran(),
				.status = status,
				.body = "{}",
				.len = 2};

	for (guint i = 0; i < s->calls->len; i++) {
		struct call *c = g_ptr_array_index(s->calls, i);

		if (!strstr(c->path, path))
			continue;
		c->done(c->done_arg, &r);
		g_ptr_array_remove_fast(s->calls, c);
		g_free(path);
		return;
	}
	fail_msg("no call of %s", path);
}

/*
 * After its feed was compacted the table of jobs is read from a copy that lags
 * behind. Guards against a leader that forgets a job and starts it anew.
 */
static void test_stale_read_of_specs_starts_no_task_again(void **state)
{
	struct fixture s;

	(void)state;
	lead_with_running_job(&s);
	run_for(&s, 500);
	s.stale_table = SPEC_TABLE;
	s.stale_reads = JOB_PARTS;
	refuse_feed(&s, SPEC_TABLE, 410);
	run_for(&s, 3000);
	submit_job(&s);
	run_for(&s, 3000);
	assert_int_equal(s.stale_reads, 0);
	assert_true(leader_is_active(s.leader));
	assert_int_equal(s.starts, 1);
	assert_int_equal(json_array_size(s.running), 1);
	fixture_destroy(&s);
}

/* The row of a job that has not ended is removed, and written again. */
static void test_job_without_its_row_keeps_its_runs(void **state)
{
	json_t *row = encode_row(JOB, "", 0);
	struct fixture s;

	(void)state;
	lead_with_running_job(&s);
	run_for(&s, 500);
	json_object_set_new(row, "deleted", json_true());
	feed_rows(&s, SPEC_TABLE, json_pack("[o]", row));
	run_for(&s, 1000);
	submit_job(&s);
	run_for(&s, 3000);
	assert_int_equal(s.starts, 1);
	s.ended = json_array();
	run_for(&s, 3000);
	assert_int_equal(s.completed, 1);
	fixture_destroy(&s);
}

/*
 * A new leader reads the runs of its predecessor from a copy that lags behind
 * its claim. Guards against a task that is started beside its first run.
 */
static void test_stale_read_of_runs_starts_no_task_again(void **state)
{
	struct fixture s;
	uint64_t began_ms;

	(void)state;
	fixture_create(&s, 5);
	s.has_job = true;
	s.run = encode_active_run(&s);
	s.stale_table = RUN_TABLE;
	s.stale_reads = 2;
	s.owner = g_strdup("{\"instance\":\"\",\"incarnation\":1,\"epoch\":2,"
			   "\"sequence\":4,\"earlier_ms\":0}");
	began_ms = clock_mono_ms();
	while (!s.starts && clock_mono_ms() < began_ms + 60000)
		run_for(&s, ADVANCE_MS);
	assert_int_equal(s.stale_reads, 0);
	assert_int_equal(s.starts, 1);
	assert_true(clock_mono_ms() >= began_ms + LEASE_MS);
	fixture_destroy(&s);
}

/*
 * The row of a job's runs cannot be read. Its tasks are not started before the
 * leases of earlier leaders have ended.
 */
static void test_job_whose_runs_are_unreadable_waits(void **state)
{
	static const char *const odd[] = {
		"{", "{\"state\":\"running\",\"stages\":[[0,\"4,0,9\",0]]}"};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		struct fixture s;
		uint64_t began_ms;

		fixture_create(&s, 5);
		s.has_job = true;
		s.run = strdup(odd[i]);
		s.owner = g_strdup(
			"{\"instance\":\"\",\"incarnation\":1,\"epoch\":2,"
			"\"sequence\":4,\"earlier_ms\":3000}");
		began_ms = clock_mono_ms();
		while (!s.starts && clock_mono_ms() < began_ms + 60000)
			run_for(&s, ADVANCE_MS);
		assert_int_equal(s.starts, 1);
		assert_true(clock_mono_ms() >= began_ms + 3000 + LEASE_MS);
		fixture_destroy(&s);
	}
}

/* Return the spec row of a job that keeps the upstream busy for long. */
static char *encode_long_spec(const struct queue *q)
{
	struct job *j = job_create(JOB);
	struct step *step = job_add_step(j);
	char *row;

	queue_configure_job(q, j);
	j->payload = g_strdup("");
	step->count = 100;
	step->need = (struct resources){1000, 1000, 0};
	step->estimate_ms = 1000;
	row = spec_encode(j);
	job_destroy(j);
	return row;
}

/*
 * Guards against refusals on a site whose settings do not ask for them: with the
 * backlog of the next test no row is written.
 */
static void test_no_admission_row_without_the_setting(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 5);
	run_for(&s, 4000);
	free(s.spec);
	s.spec = encode_long_spec(&s.policy->queues[0]);
	submit_job(&s);
	run_for(&s, 10000);
	assert_int_equal(s.admission_writes + s.admission_removals, 0);
	fixture_destroy(&s);
}

/*
 * A leader without a backlog writes no row about admission. With one that leaves
 * new jobs without value it writes the row, renews it while that lasts, and
 * removes it once when the job is cancelled. Guards against writes on sites
 * without overload, a row that ages while the overload lasts, and refusals after
 * it.
 */
static void test_admission_row_lasts_as_long_as_the_overload(void **state)
{
	struct fixture s;
	struct admission *a;
	uint64_t written_ms;
	uint32_t writes;

	(void)state;
	fixture_create(&s, 5);
	s.settings.refuses_overload = true;
	run_for(&s, 4000);
	assert_true(leader_is_active(s.leader));
	assert_int_equal(s.admission_writes + s.admission_removals, 0);
	free(s.spec);
	s.spec = encode_long_spec(&s.policy->queues[0]);
	submit_job(&s);
	run_for(&s, 10000);
	assert_non_null(s.written_admission);
	assert_in_range(s.admission_writes, 5, 21);
	assert_int_equal(s.admission_removals, 0);
	a = admission_row_decode(s.written_admission, &written_ms);
	assert_non_null(a);
	assert_int_equal(a->queues->len, 1);
	assert_true(written_ms + ADMISSION_AGE_MAX_MS > clock_mono_ms());
	admission_destroy(a);
	leader_apply_job_row(s.leader, KEY_CANCEL JOB, "{}");
	run_for(&s, 2000);
	writes = s.admission_writes;
	run_for(&s, 4000);
	assert_int_equal(s.admission_writes, writes);
	assert_int_equal(s.admission_removals, 1);
	fixture_destroy(&s);
}

/*
 * Guards against a leader that waits for what was learned before it starts
 * jobs, or that writes over it before it was read.
 */
static void test_learned_rows_that_do_not_arrive_delay_nothing(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 5);
	s.silent_table = LEARNED_TABLE;
	s.ended = json_array();
	s.has_job = true;
	step_until_start(&s, START_MAX_MS);
	assert_int_equal(s.starts, 1);
	run_for(&s, 5000);
	assert_true(s.completed > 0);
	assert_int_equal(s.learned_writes, 0);
	fixture_destroy(&s);
}

/* Guards against a leader that learns from runs and does not keep it. */
static void test_what_was_learned_is_written_with_the_other_rows(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 5);
	s.ended = json_array();
	s.has_job = true;
	step_until_start(&s, START_MAX_MS);
	run_for(&s, 10000);
	assert_true(s.completed > 0);
	assert_in_range(s.learned_writes, 1, 2);
	fixture_destroy(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_admission_row_without_the_setting),
		cmocka_unit_test(
			test_admission_row_lasts_as_long_as_the_overload),
		cmocka_unit_test(test_job_of_predecessor_is_started),
		cmocka_unit_test(test_job_is_started_while_writes_are_slow),
		cmocka_unit_test(
			test_leader_calls_no_upstream_after_its_tenure),
		cmocka_unit_test(
			test_recorded_start_is_not_sent_after_the_tenure),
		cmocka_unit_test(
			test_leader_suspended_beyond_its_tenure_sends_nothing),
		cmocka_unit_test(
			test_start_is_confirmed_by_a_write_after_a_pause),
		cmocka_unit_test(
			test_start_is_not_sent_by_a_list_read_after_a_pause),
		cmocka_unit_test(
			test_run_of_leader_before_the_last_is_not_doubled),
		cmocka_unit_test(
			test_restart_waits_only_for_leaders_that_may_act),
		cmocka_unit_test(
			test_unlisted_upstream_is_asked_at_its_recorded_address),
		cmocka_unit_test(
			test_unlisted_upstream_has_time_to_be_listed_again),
		cmocka_unit_test(
			test_entry_missing_in_list_read_again_was_not_withdrawn),
		cmocka_unit_test(
			test_owner_row_passes_on_tenures_of_earlier_leaders),
		cmocka_unit_test(
			test_leader_calls_no_upstream_after_it_resigns),
		cmocka_unit_test(
			test_odd_owner_row_counts_as_leader_that_may_act),
		cmocka_unit_test(
			test_claim_after_odd_owner_row_exceeds_all_epochs),
		cmocka_unit_test(
			test_claim_after_odd_owner_row_exceeds_own_epoch),
		cmocka_unit_test(
			test_claim_after_a_lost_yield_names_the_claimant),
		cmocka_unit_test(
			test_start_is_not_forgotten_when_the_tenure_ends),
		cmocka_unit_test(test_odd_entries_cost_themselves_alone),
		cmocka_unit_test(test_odd_job_rows_cost_themselves_alone),
		cmocka_unit_test(
			test_work_without_needs_goes_to_usable_upstreams),
		cmocka_unit_test(
			test_upstreams_never_heard_of_speak_for_no_domain),
		cmocka_unit_test(test_upstream_with_odd_entry_keeps_its_runs),
		cmocka_unit_test(
			test_recorded_start_is_withheld_in_evacuated_domain),
		cmocka_unit_test(test_evacuation_is_ignored_without_a_bound),
		cmocka_unit_test(
			test_successor_starts_nothing_in_evacuated_domain),
		cmocka_unit_test(
			test_no_start_is_sent_by_old_rows_of_the_operators),
		cmocka_unit_test(test_stale_read_of_specs_starts_no_task_again),
		cmocka_unit_test(test_job_without_its_row_keeps_its_runs),
		cmocka_unit_test(test_stale_read_of_runs_starts_no_task_again),
		cmocka_unit_test(test_job_whose_runs_are_unreadable_waits),
		cmocka_unit_test(
			test_learned_rows_that_do_not_arrive_delay_nothing),
		cmocka_unit_test(
			test_what_was_learned_is_written_with_the_other_rows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
