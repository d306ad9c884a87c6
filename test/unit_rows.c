/*
 * Tests of reading the platform's tables when other writers have left rows that
 * cannot be read.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lead/replica.h"
#include "lib/loop.h"
#include "platform/rows.h"

/* The only call of the store that is pending. */
struct pending {
	char *path;
	http_done_fn done;
	void *arg;
};

static bool keep_call(void *arg, const char *method, const char *path,
		      const char *body, uint32_t timeout_ms, http_done_fn done,
		      void *done_arg)
{
	struct pending *p = arg;

	(void)method;
	(void)body;
	(void)timeout_ms;
	g_free(p->path);
	*p = (struct pending){g_strdup(path), done, done_arg};
	return true;
}

static void answer(struct pending *p, const char *body, size_t len)
{
	struct http_result r = {.verdict = verdict_ran(),
				.status = 200,
				.body = body,
				.len = len};
	http_done_fn done = p->done;

	p->done = NULL;
	done(p->arg, &r);
}

/* What a call has returned: its rows as KEY=VALUE, each with a space. */
struct outcome {
	enum rows_outcome outcome;
	uint64_t version;
	uint32_t refused;
	GString *rows;
};

static void keep_outcome(void *arg, const struct rows_answer *a)
{
	struct outcome *o = arg;

	o->outcome = a->outcome;
	o->version = a->version;
	o->refused = a->refused;
	g_string_truncate(o->rows, 0);
	for (uint32_t i = 0; i < a->len; i++)
		g_string_append_printf(o->rows, "%s=%s ", a->list[i].key,
				       a->list[i].value ? a->list[i].value
							: "(removed)");
}

/* Decode an answer of the store with these bytes. */
static void decode_answer(struct outcome *o, const char *body, size_t len)
{
	struct pending p = {0};
	struct rows *r = rows_create(keep_call, &p);

	rows_read_range(r, "t", "", "", 500, 0, 100, keep_outcome, o);
	answer(&p, body, len);
	g_free(p.path);
	rows_destroy(r);
}

/* Decode an answer with this row between two sound ones. */
static void decode_row(struct outcome *o, const char *row, size_t len)
{
	GString *s = g_string_new("{\"rows\":[{\"key\":\"a\",\"value\":"
				  "\"eA==\",\"rowVersion\":1},");

	g_string_append_len(s, row, len);
	g_string_append(s, ",{\"key\":\"z\",\"value\":\"eQ==\","
			   "\"rowVersion\":3}],\"hasMore\":false,"
			   "\"rowVersion\":9,\"nowMs\":1}");
	decode_answer(o, s->str, s->len);
	g_string_free(s, TRUE);
}

/* A row and how it appears between the others. */
struct odd_row {
	const char *text;
	size_t len; /* 0: up to the NUL at its end */
	const char *as;
};

#define ROW(key) "{\"key\":\"" key "\",\"value\":\"eA==\",\"rowVersion\":2}"
#define RAW_NUL ROW("k\0x")

static void odd_rows_cost_themselves_alone(void **state)
{
	static const struct odd_row rows[] = {
		{ROW("k"), 0, "k=x "},
		/* a key that names another row up to its NUL */
		{ROW("a\\u0000b"), 0, ""},
		{RAW_NUL, sizeof(RAW_NUL) - 1, ""},
		{ROW("k\xff\xfe"), 0, ""},
		{ROW("k\\ud800"), 0, ""},
		{ROW(""), 0, ""},
		{"{\"key\":7,\"value\":\"eA==\",\"rowVersion\":2}", 0, ""},
		{"{\"value\":\"eA==\",\"rowVersion\":2}", 0, ""},
		{"{\"key\":\"k\",\"value\":\"eA==\",\"rowVersion\":-1}", 0, ""},
		{"{\"key\":\"k\",\"value\":\"eA==\",\"rowVersion\":1e400}", 0,
		 ""},
		{"{\"key\":\"k\",\"value\":\"eA==\","
		 "\"rowVersion\":18446744073709551616}",
		 0, ""},
		{"{\"key\":\"k\",\"value\":\"eA==\",\"rowVersion\":\"2\"}", 0,
		 ""},
		{"7", 0, ""},
		{"null", 0, ""},
		{"[]", 0, ""},
		{"{}", 0, ""},
		/* text up to a NUL is not the value */
		{"{\"key\":\"k\",\"value\":\"eyJhIjoxfQBqdW5r\"}", 0, "k= "},
		{"{\"key\":\"k\",\"value\":\"\"}", 0, "k= "},
		{"{\"key\":\"k\",\"value\":7}", 0, "k= "},
		{"{\"key\":\"k\",\"value\":{}}", 0, "k= "},
		{"{\"key\":\"k\",\"value\":\"!?\"}", 0, "k= "},
		{"{\"key\":\"k\",\"value\":\"eA==\",\"deleted\":true}", 0,
		 "k=(removed) "},
		{"{\"key\":\"k\"}", 0, "k=(removed) "},
	};
	struct outcome o = {.rows = g_string_new(NULL)};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct odd_row *r = &rows[i];
		char *expected = g_strdup_printf("a=x %sz=y ", r->as);

		decode_row(&o, r->text, r->len ? r->len : strlen(r->text));
		assert_int_equal(o.outcome, ROWS_OK);
		assert_int_equal(o.version, 9);
		assert_string_equal(o.rows->str, expected);
		assert_int_equal(o.refused, !*r->as);
		g_free(expected);
	}
	g_string_free(o.rows, TRUE);
}

static void deeply_nested_rows_cost_themselves_alone(void **state)
{
	struct outcome o = {.rows = g_string_new(NULL)};
	char *open = g_strnfill(100000, '['), *shut = g_strnfill(100000, ']');
	char *row =
		g_strdup_printf("{\"key\":\"k\",\"value\":%s%s}", open, shut);

	(void)state;
	decode_row(&o, row, strlen(row));
	assert_int_equal(o.outcome, ROWS_OK);
	assert_string_equal(o.rows->str, "a=x z=y ");
	g_free(row);
	g_free(open);
	g_free(shut);
	g_string_free(o.rows, TRUE);
}

static void answers_that_cannot_be_read_are_unknown(void **state)
{
	static const char *const texts[] = {
		"",
		"{",
		"]]]]",
		"\"",
		"[[[[[[[[",
		"{\"rows\":[{\"key\":\"a\"}",
		"{\"rows\":[],\"rowVersion\":-1}",
		"{\"rows\":[],\"rowVersion\":1e400}",
		"{\"rows\":[],\"rowVersion\":18446744073709551616}",
		"{\"rows\":[],\"rowVersion\":\"9\"}"};
	struct outcome o = {.rows = g_string_new(NULL)};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		decode_answer(&o, texts[i], strlen(texts[i]));
		assert_int_equal(o.outcome, ROWS_UNKNOWN);
		assert_string_equal(o.rows->str, "");
	}
	g_string_free(o.rows, TRUE);
}

/* A replica of a table whose answers the test gives. */
struct fixture {
	struct loop *loop;
	struct pending pending;
	struct rows *rows;
	struct replica *replica;
	uint32_t changes;
};

static void count_change(void *arg, const char *key, const char *value,
			 uint64_t version)
{
	(void)key;
	(void)value;
	(void)version;
	((struct fixture *)arg)->changes++;
}

static void fixture_create(struct fixture *s)
{
	struct replica_events ev = {.changed = count_change};

	*s = (struct fixture){.loop = loop_create()};
	s->rows = rows_create(keep_call, &s->pending);
	s->replica = replica_create(s->loop, s->rows, "t", replica_single_part,
				    1000, &ev, s);
}

static void fixture_destroy(struct fixture *s)
{
	replica_destroy(s->replica);
	if (s->pending.done)
		answer(&s->pending, "{}", 2);
	rows_destroy(s->rows);
	g_free(s->pending.path);
	loop_destroy(s->loop);
}

/* Wait for the next call of the replica, whose path must hold text. */
static void expect_call(struct fixture *s, const char *text)
{
	for (uint32_t i = 0; i < 200 && !s->pending.done; i++)
		loop_step(s->loop, 10);
	assert_non_null(s->pending.done);
	if (!strstr(s->pending.path, text))
		fail_msg("%s lacks %s", s->pending.path, text);
}

static void answer_text(struct fixture *s, const char *text)
{
	answer(&s->pending, text, strlen(text));
}

/*
 * Answer the page of a full read with 500 rows of one key each, from `first`
 * on; the key of each is a number, and ends as given.
 */
static void answer_page(struct fixture *s, uint32_t first, const char *ending,
			bool more)
{
	GString *page = g_string_new("{\"rows\":[");

	for (uint32_t i = 0; i < 500; i++)
		g_string_append_printf(page,
				       "%s{\"key\":\"%04u%s\",\"value\":"
				       "\"eA==\",\"rowVersion\":2}",
				       i ? "," : "", first + i, ending);
	g_string_append_printf(page, "],\"hasMore\":%s,\"rowVersion\":9}",
			       more ? "true" : "false");
	answer(&s->pending, page->str, page->len);
	g_string_free(page, TRUE);
}

/*
 * Guards against a read that ends before the end of its table, and against one
 * that asks for the same page for ever.
 */
static void full_read_passes_pages_of_odd_keys(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s);
	expect_call(&s, "from=&");
	answer_page(&s, 0, "", true);
	expect_call(&s, "from=0499%01&");
	answer_page(&s, 500, "\\u0000x", true);
	assert_false(replica_is_complete(s.replica));
	expect_call(&s, "from=0999%01&");
	answer_page(&s, 1000, "", false);
	assert_true(replica_is_complete(s.replica));
	assert_int_equal(s.changes, 1000);
	expect_call(&s, "rows-feed?table=t&after=9&");
	fixture_destroy(&s);
}

/* Guards against a feed that does not advance, and one that ends. */
static void feed_passes_odd_rows(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s);
	expect_call(&s, "from=&");
	answer_text(&s, "{\"rows\":[],\"rowVersion\":9}");
	expect_call(&s, "after=9&");
	answer_text(&s, "{\"rows\":[" ROW("k\\u0000x") "],\"rowVersion\":12}");
	expect_call(&s, "after=12&");
	answer_text(&s, "{\"rows\":[" ROW("k\\ud800") "," ROW(
				"l") "],\"rowVersion\":15}");
	expect_call(&s, "after=15&");
	assert_int_equal(s.changes, 1);
	assert_non_null(replica_get(s.replica, "l", NULL));
	fixture_destroy(&s);
}

/*
 * A page without a key that can be read cannot be passed. Guards against a
 * table that counts as read, and against calls without a delay.
 */
static void page_without_keys_is_read_again_after_a_delay(void **state)
{
	uint32_t calls = 0;
	struct fixture s;

	(void)state;
	fixture_create(&s);
	for (uint64_t end = clock_mono_ms() + 1000; clock_mono_ms() < end;) {
		loop_step(s.loop, 10);
		if (!s.pending.done)
			continue;
		calls++;
		answer_text(&s, "{\"rows\":[{}],\"hasMore\":true,"
				"\"rowVersion\":9}");
	}
	assert_in_range(calls, 2, 12);
	assert_false(replica_is_complete(s.replica));
	expect_call(&s, "from=&");
	answer_page(&s, 0, "", false);
	assert_true(replica_is_complete(s.replica));
	fixture_destroy(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(odd_rows_cost_themselves_alone),
		cmocka_unit_test(deeply_nested_rows_cost_themselves_alone),
		cmocka_unit_test(answers_that_cannot_be_read_are_unknown),
		cmocka_unit_test(full_read_passes_pages_of_odd_keys),
		cmocka_unit_test(feed_passes_odd_rows),
		cmocka_unit_test(page_without_keys_is_read_again_after_a_delay),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
