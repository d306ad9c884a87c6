/*
 * Tests of the rows of what was learned, with a store that keeps what is
 * written and answers reads when the test says so.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lead/learned.h"
#include "lead/record.h"
#include "lib/loop.h"
#include "lib/schema.h"
#include "test/testclock.h"

#define VALUE_MAX_BYTES 65536
/* Interval between writes, and what one write may hold. */
#define WRITE_INTERVAL_MS 2000
#define WRITE_ROWS_MAX 8
#define STORE_MS 500000
#define HOUR_MS (UINT64_C(3600) * 1000)

struct fixture {
	struct loop *loop;
	struct rows *rows;
	struct counters *counters;
	struct joint_settings settings;
	GHashTable *table; /* key to value, as written */
	bool silent;	   /* reads are not answered */
	bool read_waits;
	http_done_fn done;
	void *done_arg;
	uint64_t now_ms;
};

/* Answer a read of the whole table; feed calls are never answered. */
static void answer_read(struct fixture *f)
{
	json_t *rows = json_array(), *v;
	GList *keys = g_list_sort(g_hash_table_get_keys(f->table),
				  (GCompareFunc)strcmp);
	struct http_result r = {.verdict = verdict_ran(), .status = 200};
	char *body;

	for (const GList *i = keys; i; i = i->next) {
		const char *value = g_hash_table_lookup(f->table, i->data);
		char *b64 =
			g_base64_encode((const guchar *)value, strlen(value));

		json_array_append_new(rows,
				      json_pack("{s:s,s:s,s:i}", "key", i->data,
						"value", b64, "rowVersion", 1));
		g_free(b64);
	}
	g_list_free(keys);
	v = json_pack("{s:o,s:i,s:I}", "rows", rows, "rowVersion", 5, "nowMs",
		      (json_int_t)STORE_MS);
	body = json_dumps(v, JSON_COMPACT);
	r.body = body;
	r.len = strlen(body);
	f->read_waits = false;
	f->done(f->done_arg, &r);
	json_decref(v);
	free(body);
}

static bool take_call(void *arg, const char *method, const char *path,
		      const char *body, uint32_t timeout_ms, http_done_fn done,
		      void *done_arg)
{
	struct fixture *f = arg;

	(void)method;
	(void)body;
	(void)timeout_ms;
	if (!strstr(path, "rows-get?table=" LEARNED_TABLE "&"))
		return true;
	f->done = done;
	f->done_arg = done_arg;
	f->read_waits = true;
	return true;
}

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->loop = loop_create();
	f->rows = rows_create(take_call, f);
	f->counters = counters_create();
	f->settings.value_max_bytes = VALUE_MAX_BYTES;
	f->table =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->now_ms = 100000;
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	rows_destroy(f->rows);
	counters_destroy(f->counters);
	g_hash_table_destroy(f->table);
	loop_destroy(f->loop);
	g_free(f);
	return 0;
}

/* Run the loop until a read of the table waits, and answer it. */
static void serve_read(struct fixture *f)
{
	for (int i = 0; i < 200 && !f->read_waits; i++)
		loop_step(f->loop, 10);
	assert_true(f->read_waits);
	if (!f->silent)
		answer_read(f);
}

/* A leader with what it has learned. */
struct leading {
	struct learned *learned;
	struct estimator *estimator;
};

static struct leading begin_to_lead(struct fixture *f)
{
	struct leading l = {.estimator = estimator_create()};

	l.learned = learned_create(f->loop, f->rows, f->counters, &f->settings);
	serve_read(f);
	learned_add_list(l.learned, learned_durations(l.estimator));
	learned_start(l.learned);
	return l;
}

static void end_to_lead(struct leading *l)
{
	learned_destroy(l->learned);
	estimator_destroy(l->estimator);
}

/* Apply the rows of one write to the store; returns how many there are. */
static uint32_t write_rows(struct fixture *f, struct leading *l)
{
	struct rows_tx *t = rows_tx_create("");
	char *text;
	json_t *v;
	const json_t *item;
	size_t i, n;

	learned_add_rows(l->learned, t, f->now_ms, STORE_MS);
	text = rows_tx_encode(t);
	v = json_loads(text, 0, NULL);
	json_array_foreach(json_object_get(v, "puts"), i, item)
	{
		assert_string_equal(json_str_or(item, "table", ""),
				    LEARNED_TABLE);
		g_hash_table_insert(
			f->table, g_strdup(json_str_or(item, "key", "")),
			g_base64_decode(json_str_or(item, "value", ""), &n));
	}
	i = json_array_size(json_object_get(v, "puts"));
	json_decref(v);
	free(text);
	rows_tx_destroy(t);
	return i;
}

/* Write until nothing is left to write, as fast as is allowed. */
static uint32_t write_all(struct fixture *f, struct leading *l)
{
	uint32_t sum = 0, n;

	do {
		f->now_ms += WRITE_INTERVAL_MS;
		n = write_rows(f, l);
		assert_true(n <= WRITE_ROWS_MAX);
		sum += n;
	} while (n);
	return sum;
}

static struct job *make_job(const char *account, uint32_t estimate_ms)
{
	struct job *j = job_create("00000000000000a1");
	struct step *s = job_add_step(j);

	text_set(&j->queue, "q");
	text_set(&j->account, account);
	s->count = 1;
	s->estimate_ms = estimate_ms;
	return j;
}

static void learn(struct leading *l, const char *account, uint32_t estimate_ms,
		  uint64_t took_ms, uint32_t runs)
{
	for (uint32_t i = 0; i < runs; i++) {
		struct job *j = make_job(account, estimate_ms);

		estimator_record_run(l->estimator, j, 0, took_ms);
		job_destroy(j);
	}
}

static uint64_t expect_ms(struct leading *l, const char *account,
			  uint32_t estimate_ms)
{
	struct job *j = make_job(account, estimate_ms);
	uint64_t ms = estimator_duration_ms(l->estimator, j, 0);

	job_destroy(j);
	return ms;
}

/* Guards against a successor that begins with the bare estimates again. */
static void a_change_of_leader_keeps_what_was_learned(void **state)
{
	struct fixture *f = *state;
	struct leading l = begin_to_lead(f), next;
	uint64_t before_ms;

	learn(&l, "a", 1000, 3000, 40);
	learn(&l, "b", 1000, 500, 40);
	before_ms = expect_ms(&l, "a", 2000);
	assert_in_range(before_ms, 4500, 6500);
	assert_true(write_all(f, &l) > 0);
	end_to_lead(&l);
	next = begin_to_lead(f);
	assert_in_range(expect_ms(&next, "a", 2000), before_ms - 5,
			before_ms + 5);
	assert_in_range(expect_ms(&next, "b", 2000), 800, 1300);
	/* what was only read is not written again */
	assert_int_equal(write_all(f, &next), 0);
	end_to_lead(&next);
}

/* Guards against writes that repeat what the store has, or come too often. */
static void only_changes_are_written_and_rarely(void **state)
{
	struct fixture *f = *state;
	struct leading l = begin_to_lead(f);

	assert_int_equal(write_rows(f, &l), 0);
	f->now_ms += WRITE_INTERVAL_MS;
	learn(&l, "a", 1000, 1000, 1);
	assert_true(write_rows(f, &l) > 0);
	learn(&l, "a", 1000, 5000, 5);
	f->now_ms += WRITE_INTERVAL_MS - 1;
	assert_int_equal(write_rows(f, &l), 0);
	assert_true(write_all(f, &l) > 0);
	assert_int_equal(write_all(f, &l), 0);
	/* runs as expected change little */
	learn(&l, "a", 1000, expect_ms(&l, "a", 1000), 1);
	assert_int_equal(write_all(f, &l), 0);
	/* but a row is renewed before it counts as old */
	f->now_ms += HOUR_MS;
	assert_true(write_all(f, &l) > 0);
	end_to_lead(&l);
}

/*
 * Guards against rows that exceed what the store takes, and against writes
 * that leave no room for jobs.
 */
static void rows_and_writes_are_bounded(void **state)
{
	struct fixture *f = *state;
	struct leading l = begin_to_lead(f);
	struct rows_tx *t = rows_tx_create("");
	GHashTableIter i;
	gpointer key, value;
	char name[64];

	for (uint32_t k = 0; k < 600; k++) {
		snprintf(name, sizeof(name), "%060u", k);
		learn(&l, name, 1000, 1000 + k, 1);
	}
	for (uint32_t k = 0; k < 70; k++)
		rows_tx_put(t, RUN_TABLE, "x", "y");
	learned_add_rows(l.learned, t, f->now_ms += WRITE_INTERVAL_MS,
			 STORE_MS);
	assert_int_equal(rows_tx_count_entries(t), 70);
	rows_tx_destroy(t);
	assert_true(write_all(f, &l) > 4);
	g_hash_table_iter_init(&i, f->table);
	while (g_hash_table_iter_next(&i, &key, &value))
		assert_true(strlen(value) <= 8192);
	/* a store with a small limit gets smaller rows */
	g_hash_table_remove_all(f->table);
	f->settings.value_max_bytes = 4096;
	learn(&l, "a", 1000, 90000, 5);
	assert_true(write_all(f, &l) > 0);
	g_hash_table_iter_init(&i, f->table);
	while (g_hash_table_iter_next(&i, &key, &value))
		assert_true(strlen(value) <= 1024);
	end_to_lead(&l);
}

/* Guards against what is learned of an account that is left out unseen. */
static void entries_that_do_not_fit_are_counted(void **state)
{
	struct fixture *f = *state;
	struct leading l = begin_to_lead(f);
	char *name = g_strnfill(9000, 'x'), *text;

	learn(&l, name, 1000, 3000, 40);
	learn(&l, "a", 1000, 500, 40);
	assert_in_range(expect_ms(&l, name, 1000), 2500, 3500);
	assert_true(write_all(f, &l) > 0);
	text = counters_text(f->counters);
	assert_non_null(strstr(text, "lacewing_learned_entries_left_out "));
	g_free(text);
	g_free(name);
	end_to_lead(&l);
}

/* Guards against a bad row that costs more than what it holds. */
static void malformed_rows_cost_what_they_hold(void **state)
{
	static const char *const bad[] = {
		"",
		"{",
		"null",
		"[]",
		"{\"format\":2,\"at_ms\":1,\"entries\":[]}",
		"{\"format\":1,\"entries\":[[\"q\",5,8,8,1,1,0.2,0]]}",
		"{\"format\":1,\"at_ms\":-1,\"entries\":[]}",
		"{\"format\":1,\"at_ms\":1,\"entries\":{}}",
	};
	static const char mixed[] =
		"{\"format\":1,\"at_ms\":1,\"entries\":[0,null,[],[\"q\"],"
		"[\"q\",5,8,8,1,1,0.2],[\"q\",5,8,8,1,1,0.2,0,1],"
		"[\"q\",\"5\",8,8,1,1,0.2,0],[\"q\",-5,8,8,1,1,0.2,0],"
		"[\"q\",5,8,8,1,1,1e300,0],[\"r\",5,8,8,1,1,0.2,0]]}";
	struct fixture *f = *state;
	struct leading l;
	char key[32];

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		snprintf(key, sizeof(key), "durations/%zu", i);
		g_hash_table_insert(f->table, g_strdup(key), g_strdup(bad[i]));
	}
	g_hash_table_insert(f->table, g_strdup("durations/99"),
			    g_strdup(mixed));
	g_hash_table_insert(f->table, g_strdup("unknown/0"), g_strdup(mixed));
	l = begin_to_lead(f);
	assert_int_equal(
		duration_groups_count(estimator_durations(l.estimator)), 1);
	end_to_lead(&l);
}

/* Guards against predictions by clients of long ago. */
static void old_rows_are_not_used(void **state)
{
	static const char row[] = "{\"format\":1,\"at_ms\":1000,\"entries\":"
				  "[[\"q\",5,8,8,1,1,0.2,0]]}";
	struct estimator *e = estimator_create();
	struct learned_list list = learned_durations(e);
	struct learned_result r = {0};

	(void)state;
	learned_decode_row(&list, row, 1000 + 25 * HOUR_MS, NULL, &r);
	assert_int_equal(r.old_rows, 1);
	assert_int_equal(r.entries, 0);
	/* a store that was restarted counts from a smaller time */
	learned_decode_row(&list, row, 10, NULL, &r);
	assert_int_equal(r.entries, 1);
	learned_decode_row(&list, row, 1000 + 23 * HOUR_MS, NULL, &r);
	assert_int_equal(r.rows, 2);
	estimator_destroy(e);
}

/*
 * Guards against a leader that waits for these rows, that writes over them
 * before it has read them, or that loses what it learned meanwhile.
 */
static void rows_that_arrive_late_are_still_used(void **state)
{
	struct fixture *f = *state;
	struct leading l = begin_to_lead(f);

	learn(&l, "a", 1000, 3000, 40);
	write_all(f, &l);
	end_to_lead(&l);
	f->silent = true;
	l = begin_to_lead(f);
	assert_int_equal(expect_ms(&l, "a", 1000), 1000);
	learn(&l, "b", 1000, 700, 3);
	assert_int_equal(write_all(f, &l), 0);
	answer_read(f);
	assert_in_range(expect_ms(&l, "a", 1000), 2500, 3100);
	assert_true(write_all(f, &l) > 0);
	end_to_lead(&l);
}

/* A list of machines and their speeds, as another module may keep. */
struct machine_list {
	uint32_t len;
	char names[300][16];
	double values[300][2];
	bool changed[300];
	uint32_t saved;
};

static void for_each_machine(void *arg, learned_entry_fn fn, void *fn_arg)
{
	struct machine_list *m = arg;

	for (uint32_t i = 0; i < m->len; i++)
		fn(fn_arg, &(struct learned_entry){m->names[i], m->values[i], 2,
						   m->changed[i]});
}

static bool restore_machine(void *arg, const char *name, const double *values)
{
	struct machine_list *m = arg;

	if (values[1] <= 0)
		return false;
	g_strlcpy(m->names[m->len], name, sizeof(m->names[0]));
	memcpy(m->values[m->len++], values, sizeof(m->values[0]));
	return true;
}

static void note_machine_saved(void *arg, const char *name)
{
	struct machine_list *m = arg;

	for (uint32_t i = 0; i < m->len; i++)
		if (!strcmp(m->names[i], name)) {
			m->changed[i] = false;
			m->saved++;
		}
}

static struct learned_list list_of(struct machine_list *m)
{
	return (struct learned_list){.prefix = "speeds/",
				     .rows = 8,
				     .values_len = 2,
				     .for_each = for_each_machine,
				     .restore = restore_machine,
				     .note_saved = note_machine_saved,
				     .arg = m};
}

/* Guards against lists that mix, and against one that starves the other. */
static void a_second_list_is_kept_beside_the_first(void **state)
{
	struct fixture *f = *state;
	struct machine_list *m = g_new0(struct machine_list, 1);
	struct machine_list *read = g_new0(struct machine_list, 1);
	struct leading l = {.estimator = estimator_create()};

	for (m->len = 0; m->len < 300; m->len++) {
		snprintf(m->names[m->len], sizeof(m->names[0]), "m-%u", m->len);
		m->values[m->len][0] = m->len / 100.0;
		m->values[m->len][1] = 0.04;
		m->changed[m->len] = true;
	}
	/* a value that no encoder takes is left out */
	m->values[7][1] = 1.0 / 0.0;
	l.learned = learned_create(f->loop, f->rows, f->counters, &f->settings);
	serve_read(f);
	learned_add_list(l.learned, learned_durations(l.estimator));
	learned_add_list(l.learned, list_of(m));
	learned_start(l.learned);
	learn(&l, "a", 1000, 3000, 10);
	assert_true(write_all(f, &l) >= 8);
	assert_int_equal(m->saved, 300);
	end_to_lead(&l);
	l.estimator = estimator_create();
	l.learned = learned_create(f->loop, f->rows, f->counters, &f->settings);
	serve_read(f);
	learned_add_list(l.learned, learned_durations(l.estimator));
	learned_add_list(l.learned, list_of(read));
	learned_start(l.learned);
	assert_int_equal(read->len, 299);
	for (uint32_t i = 0; i < read->len; i++)
		assert_true(read->values[i][0] ==
			    atoi(read->names[i] + 2) / 100.0);
	assert_true(expect_ms(&l, "a", 1000) > 1500);
	end_to_lead(&l);
	g_free(read);
	g_free(m);
}

/*
 * Guards against a list that does not know its changes and is written again and
 * again, or never.
 */
static void changes_of_a_list_are_found_by_its_values(void **state)
{
	struct fixture *f = *state;
	struct machine_list *m = g_new0(struct machine_list, 1);
	struct learned_list list = list_of(m);

	list.note_saved = NULL;
	list.change = 0.05;
	for (m->len = 0; m->len < 40; m->len++) {
		snprintf(m->names[m->len], sizeof(m->names[0]), "m-%u", m->len);
		m->values[m->len][1] = 0.04;
	}
	for (int leader = 0; leader < 2; leader++) {
		struct leading l = {0};

		l.learned = learned_create(f->loop, f->rows, f->counters,
					   &f->settings);
		serve_read(f);
		if (leader)
			m->len = 0;
		learned_add_list(l.learned, list);
		learned_start(l.learned);
		assert_int_equal(m->len, 40);
		/* the second leader has read what the first has written */
		assert_int_equal(write_all(f, &l), leader ? 0 : 8);
		m->values[3][0] += 0.04;
		assert_int_equal(write_all(f, &l), 0);
		m->values[3][0] += 0.04;
		assert_int_equal(write_all(f, &l), 1);
		assert_int_equal(write_all(f, &l), 0);
		learned_destroy(l.learned);
	}
	g_free(m);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(a_change_of_leader_keeps_what_was_learned),
		TEST(only_changes_are_written_and_rarely),
		TEST(rows_and_writes_are_bounded),
		TEST(entries_that_do_not_fit_are_counted),
		TEST(malformed_rows_cost_what_they_hold),
		TEST(old_rows_are_not_used),
		TEST(rows_that_arrive_late_are_still_used),
		TEST(a_second_list_is_kept_beside_the_first),
		TEST(changes_of_a_list_are_found_by_its_values),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
