/* Tests of the removal of rows that are no longer needed. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "lead/expire.h"
#include "lead/record.h"
#include "lib/address.h"
#include "lib/loop.h"
#include "lib/schema.h"
#include "peer/roster.h"
#include "test/testclock.h"

/* A job of the first part, and the version at which it ended. */
#define JOB "00000000000000a1"
#define ENDED_VERSION 20
/* Its end on the store's clock. */
#define ENDED_MS 1000
#define READ_MAX_MS 2000

struct fixture {
	struct loop *loop;
	/* One client for each table: their answers differ in version. */
	struct rows *rows[3];
	uint32_t rows_len;
	bool has_spec, has_job, has_cancel;
	bool has_ended;	       /* the job has a state row */
	uint64_t cancelled_ms; /* time of the cancel request, or 0 */
	uint32_t refused_ids;  /* old cancel requests without a job */
	/* Version of the answers about specs, and about jobs. */
	uint64_t specs_version, jobs_version;
	char *removed; /* the transactions that were sent */
	/* When the row of an instance was written, and the time of answers. */
	uint64_t instance_written_ms, now_ms;
};

/* Entries that the platform takes in one transaction. */
#define TX_ENTRIES_MAX 100

static void append_row(json_t *rows, const char *key, const char *value)
{
	char *b64 = g_base64_encode((const guchar *)value, strlen(value));

	json_array_append_new(rows, json_pack("{s:s,s:s,s:I}", "key", key,
					      "value", b64, "rowVersion",
					      (json_int_t)ENDED_VERSION));
	g_free(b64);
}

/* Append the row of an instance, written at this time on the store's clock. */
static void append_instance(json_t *rows, uint64_t written_ms)
{
	struct peer_record p = {
		.domain = "z", .strength = 100, .written_ms = written_ms};
	char *value;

	assert_true(address_parse("127.0.0.1:80", &p.address));
	value = peer_record_encode(&p);
	append_row(rows, KEY_INSTANCE "i", value);
	free(value);
}

/* Append the cancel requests of the first part. */
static void append_cancels(const struct fixture *s, json_t *rows)
{
	struct cancel_record c = {s->cancelled_ms};
	char *value = cancel_encode(&c);

	if (s->has_cancel)
		append_row(rows, KEY_CANCEL JOB, value);
	for (uint32_t i = 0; i < s->refused_ids; i++) {
		char *key = g_strdup_printf(KEY_CANCEL "0%015x", i);

		append_row(rows, key, "{\"at_ms\":1}");
		g_free(key);
	}
	free(value);
}

/* Check the entries of a transaction, and that each removal is conditional. */
static void check_transaction(const char *body)
{
	json_t *v = json_loads(body, 0, NULL);
	size_t removed = json_array_size(json_object_get(v, "remove"));
	size_t expected = json_array_size(json_object_get(v, "expected"));

	assert_int_equal(removed, expected);
	assert_in_range(removed + expected, 1, TX_ENTRIES_MAX);
	json_decref(v);
}

/* Answer reads at once, and keep the text of transactions. */
static bool answer_call(void *arg, const char *method, const char *path,
			const char *body, uint32_t timeout_ms,
			http_done_fn done, void *done_arg)
{
	struct fixture *s = arg;
	struct http_result r = {.verdict = verdict_ran(), .status = 200};
	uint64_t version = ENDED_VERSION;
	json_t *rows = json_array();
	char *text;
	json_t *v;

	(void)timeout_ms;
	if (strstr(path, "rows-feed")) {
		json_decref(rows);
		return false;
	}
	if (!strcmp(method, "POST")) {
		check_transaction(body);
		text = g_strconcat(s->removed, body, NULL);
		g_free(s->removed);
		s->removed = text;
	} else if (strstr(path, "table=" OWNER_TABLE "&")) {
		append_instance(rows, s->instance_written_ms);
	} else if (strstr(path, "table=" STATE_TABLE "&")) {
		if (s->has_ended)
			append_row(rows, JOB,
				   "{\"state\":\"completed\","
				   "\"ended_ms\":1000}");
	} else if (strstr(path, "table=" SPEC_TABLE "&")) {
		version = s->specs_version;
		if (s->has_spec && strstr(path, "part=0&"))
			append_row(rows, JOB, "{}");
	} else {
		version = s->jobs_version;
		if (strstr(path, "part=0&"))
			append_cancels(s, rows);
		if (s->has_job && strstr(path, "part=0&"))
			append_row(rows, KEY_JOB JOB, "{}");
	}
	v = json_pack("{s:o,s:I,s:I}", "rows", rows, "rowVersion",
		      (json_int_t)version, "nowMs",
		      (json_int_t)MAX(s->now_ms, ENDED_MS));
	text = json_dumps(v, JSON_COMPACT);
	r.body = text;
	r.len = strlen(text);
	done(done_arg, &r);
	free(text);
	json_decref(v);
	return true;
}

static void ignore_row(void *arg, const char *key, const char *value,
		       uint64_t version)
{
	(void)arg;
	(void)key;
	(void)value;
	(void)version;
}

static struct replica *read_table(struct fixture *s, const char *table,
				  const char *const *parts)
{
	struct replica_events ev = {.changed = ignore_row};
	struct rows *r = s->rows[s->rows_len++] = rows_create(answer_call, s);
	struct replica *f =
		replica_create(s->loop, r, table, parts, 1000, &ev, s);
	uint64_t deadline_ms = clock_mono_ms() + READ_MAX_MS;

	while (!replica_is_complete(f) && clock_mono_ms() < deadline_ms)
		loop_step(s->loop, 1);
	assert_true(replica_is_complete(f));
	return f;
}

/* Run one pass of the leader; returns how many state rows it removes. */
static uint32_t expire(struct fixture *s)
{
	struct rows_tx *t = rows_tx_create(LEADER_PART);
	struct model *m = model_create();
	struct replica *states, *specs, *jobs;
	struct expiry e;
	uint32_t n;

	s->loop = loop_create();
	s->removed = g_strdup("");
	states = read_table(s, STATE_TABLE, replica_single_part);
	specs = read_table(s, SPEC_TABLE, job_parts);
	jobs = read_table(s, JOB_TABLE, job_parts);
	e = (struct expiry){.rows = s->rows[0],
			    .states = states,
			    .specs = specs,
			    .jobs = jobs,
			    .model = m,
			    .before_ms = ENDED_MS + 1};
	expire_rows(&e, t);
	n = rows_tx_count_entries(t);
	rows_tx_destroy(t);
	replica_destroy(states);
	replica_destroy(specs);
	replica_destroy(jobs);
	while (s->rows_len)
		rows_destroy(s->rows[--s->rows_len]);
	model_destroy(m);
	loop_destroy(s->loop);
	return n;
}

/*
 * The transactions that remove the other rows may fail. Guards against an ended
 * job that a later leader takes for a new one, as nothing tells that it ended.
 */
static void test_state_row_is_removed_after_all_others(void **state)
{
	struct fixture s = {.has_ended = true,
			    .has_spec = true,
			    .has_job = true,
			    .has_cancel = true,
			    .specs_version = ENDED_VERSION,
			    .jobs_version = ENDED_VERSION};

	(void)state;
	assert_int_equal(expire(&s), 0);
	assert_non_null(strstr(s.removed, SPEC_TABLE));
	assert_non_null(strstr(s.removed, KEY_JOB JOB));
	assert_non_null(strstr(s.removed, KEY_CANCEL JOB));
	g_free(s.removed);
	s.has_spec = s.has_job = false;
	assert_int_equal(expire(&s), 0);
	assert_non_null(strstr(s.removed, KEY_CANCEL JOB));
	g_free(s.removed);
	s.has_cancel = false;
	assert_int_equal(expire(&s), 1);
	assert_string_equal(s.removed, "");
	g_free(s.removed);
}

/* What a copy from before the end of a job lacks may exist. */
static void test_state_row_is_kept_while_the_copies_are_older(void **state)
{
	struct fixture s = {.has_ended = true,
			    .specs_version = ENDED_VERSION - 1,
			    .jobs_version = ENDED_VERSION};

	(void)state;
	assert_int_equal(expire(&s), 0);
	g_free(s.removed);
	s.specs_version = ENDED_VERSION;
	s.jobs_version = ENDED_VERSION - 1;
	assert_int_equal(expire(&s), 0);
	g_free(s.removed);
	s.jobs_version = ENDED_VERSION;
	assert_int_equal(expire(&s), 1);
	g_free(s.removed);
}

/*
 * Guards against an ID that can be accepted while a submission of it may still
 * be under way, and against cancel requests that are kept for good.
 */
static void test_cancel_request_without_a_job_expires(void **state)
{
	struct fixture s = {.has_cancel = true,
			    .cancelled_ms = ENDED_MS + 1,
			    .specs_version = ENDED_VERSION,
			    .jobs_version = ENDED_VERSION};

	(void)state;
	expire(&s);
	assert_string_equal(s.removed, "");
	g_free(s.removed);
	s.cancelled_ms = ENDED_MS;
	expire(&s);
	assert_non_null(strstr(s.removed, KEY_CANCEL JOB));
	g_free(s.removed);
	/* that of a version which did not write the time */
	s.cancelled_ms = 0;
	expire(&s);
	assert_non_null(strstr(s.removed, KEY_CANCEL JOB));
	g_free(s.removed);
	/* the job has not ended */
	s.has_job = true;
	expire(&s);
	assert_string_equal(s.removed, "");
	g_free(s.removed);
}

/* A repeated request keeps the ID of an ended job from being used again. */
static void test_repeated_cancel_request_outlives_its_job(void **state)
{
	struct fixture s = {.has_ended = true,
			    .has_cancel = true,
			    .cancelled_ms = ENDED_MS + 1,
			    .specs_version = ENDED_VERSION,
			    .jobs_version = ENDED_VERSION};

	(void)state;
	assert_int_equal(expire(&s), 0);
	assert_string_equal(s.removed, "");
	g_free(s.removed);
	s.cancelled_ms = ENDED_MS;
	assert_int_equal(expire(&s), 0);
	assert_non_null(strstr(s.removed, KEY_CANCEL JOB));
	g_free(s.removed);
}

/* The platform refuses a transaction of more entries, and all of it. */
static void test_many_cancel_requests_expire_in_small_transactions(void **state)
{
	struct fixture s = {.refused_ids = 400,
			    .specs_version = ENDED_VERSION,
			    .jobs_version = ENDED_VERSION};

	(void)state;
	expire(&s);
	assert_non_null(strstr(s.removed, KEY_CANCEL "0"));
	g_free(s.removed);
}

/* Return how many instance rows a leader removes by a copy that is old. */
static uint32_t expire_instances_later(struct fixture *s, uint64_t later_ms)
{
	struct rows_tx *t = rows_tx_create(LEADER_PART);
	struct replica *owners;
	uint32_t n;

	s->loop = loop_create();
	owners = read_table(s, OWNER_TABLE, replica_single_part);
	clock_offset_ms = later_ms;
	expire_instances(owners, t);
	clock_offset_ms = 0;
	n = rows_tx_count_entries(t);
	rows_tx_destroy(t);
	replica_destroy(owners);
	rows_destroy(s->rows[--s->rows_len]);
	loop_destroy(s->loop);
	return n;
}

/* A copy that is not read any more does not show that a row was renewed. */
static void test_instances_do_not_expire_by_an_old_copy(void **state)
{
	struct fixture s = {.instance_written_ms = ENDED_MS};

	(void)state;
	assert_int_equal(expire_instances_later(&s, 0), 0);
	assert_int_equal(expire_instances_later(&s, 4 * ROSTER_INTERVAL_MS), 0);
	s.now_ms = ENDED_MS + 4 * ROSTER_INTERVAL_MS;
	assert_int_equal(expire_instances_later(&s, 0), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_state_row_is_removed_after_all_others),
		cmocka_unit_test(
			test_state_row_is_kept_while_the_copies_are_older),
		cmocka_unit_test(test_cancel_request_without_a_job_expires),
		cmocka_unit_test(test_repeated_cancel_request_outlives_its_job),
		cmocka_unit_test(
			test_many_cancel_requests_expire_in_small_transactions),
		cmocka_unit_test(test_instances_do_not_expire_by_an_old_copy),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
