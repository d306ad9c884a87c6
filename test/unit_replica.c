/* Tests of a replica against a store whose answers the test gives. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "lead/replica.h"
#include "lib/loop.h"
#include "test/testclock.h"

/* A call is sent within this time. */
#define CALL_MAX_MS 2000
/* A table that is read again and again is read at most this often. */
#define REREAD_DELAY_MS 200

static const char *const two_parts[] = {"0", "1", NULL};

struct fixture {
	struct loop *loop;
	struct rows *rows;
	struct replica *replica;
	/* The call that was not answered yet; its path is empty if none is. */
	char path[512];
	http_done_fn done;
	void *done_arg;
	/* What the replica reported: KEY=VALUE, or KEY- for a removed row. */
	GString *changes;
};

static bool take_call(void *arg, const char *method, const char *path,
		      const char *body, uint32_t timeout_ms, http_done_fn done,
		      void *done_arg)
{
	struct fixture *s = arg;

	(void)method;
	(void)body;
	(void)timeout_ms;
	g_strlcpy(s->path, path, sizeof(s->path));
	s->done = done;
	s->done_arg = done_arg;
	return true;
}

static void note_change(void *arg, const char *key, const char *value,
			uint64_t version)
{
	struct fixture *s = arg;

	(void)version;
	g_string_append_printf(s->changes, "%s%s%s ", key, value ? "=" : "-",
			       value ? value : "");
}

static void fixture_create(struct fixture *s, const char *const *parts)
{
	struct replica_events ev = {.changed = note_change};

	*s = (struct fixture){.loop = loop_create(),
			      .changes = g_string_new("")};
	s->rows = rows_create(take_call, s);
	s->replica = replica_create(s->loop, s->rows, "t", parts, 1000, &ev, s);
}

/* Give the call in flight this answer, after checking what it asks for. */
static void answer(struct fixture *s, const char *asked, int status,
		   const char *body)
{
	struct http_result r = {.verdict = verdict_ran(),
				.status = status,
				.body = body,
				.len = strlen(body)};
	uint64_t deadline_ms = clock_mono_ms() + CALL_MAX_MS;

	while (!*s->path && clock_mono_ms() < deadline_ms)
		loop_step(s->loop, 10);
	if (!strstr(s->path, asked))
		fail_msg("%s instead of %s", s->path, asked);
	*s->path = '\0';
	s->done(s->done_arg, &r);
}

/*
 * Answer with rows as of this version: the text holds KEY=VALUE@VERSION, or
 * KEY-@VERSION for a removed row, with blanks between; "+" at the end tells that
 * there are more.
 */
static void answer_rows(struct fixture *s, const char *asked, uint64_t version,
			const char *text)
{
	char **items = g_strsplit(text, " ", 0);
	json_t *rows = json_array(), *v;
	bool more = false;
	char *body;

	for (char **i = items; *i && **i; i++) {
		char *at = strchr(*i, '@'), *sign = strpbrk(*i, "=-");
		char *value;

		if (!strcmp(*i, "+")) {
			more = true;
			continue;
		}
		*at = '\0';
		value = g_base64_encode((guchar *)sign + 1, strlen(sign + 1));
		v = json_pack("{s:s,s:I}", "value", value, "rowVersion",
			      (json_int_t)g_ascii_strtoull(at + 1, NULL, 10));
		if (*sign == '-')
			json_object_set_new(v, "deleted", json_true());
		*sign = '\0';
		json_object_set_new(v, "key", json_string(*i));
		json_array_append_new(rows, v);
		g_free(value);
	}
	v = json_pack("{s:o,s:b,s:I,s:I}", "rows", rows, "hasMore", more,
		      "rowVersion", (json_int_t)version, "nowMs",
		      (json_int_t)clock_mono_ms());
	body = json_dumps(v, JSON_COMPACT);
	answer(s, asked, 200, body);
	free(body);
	json_decref(v);
	g_strfreev(items);
}

/* Check what the replica has reported since the last time. */
static void assert_changes(struct fixture *s, const char *expected)
{
	assert_string_equal(s->changes->str, expected);
	g_string_truncate(s->changes, 0);
}

static void fixture_destroy(struct fixture *s)
{
	uint64_t deadline_ms = clock_mono_ms() + CALL_MAX_MS;

	while (!*s->path && clock_mono_ms() < deadline_ms)
		loop_step(s->loop, 10);
	replica_destroy(s->replica);
	answer(s, "", 503, "{}");
	rows_destroy(s->rows);
	loop_destroy(s->loop);
	g_string_free(s->changes, TRUE);
	clock_offset_ms = 0;
}

/* Guards against jobs that count as removed because an old copy lacks them. */
static void test_table_read_again_is_not_older_than_the_copy(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, replica_single_part);
	answer_rows(&s, "rows-get", 10, "a=1@5");
	answer_rows(&s, "rows-feed?table=t&after=10", 20, "b=1@20");
	assert_changes(&s, "a=1 b=1 ");
	answer(&s, "rows-feed?table=t&after=20", 410, "{}");
	answer_rows(&s, "rows-get", 15, "a=1@5");
	assert_changes(&s, "");
	assert_false(replica_is_complete(s.replica));
	assert_int_equal(replica_version(s.replica), 20);
	answer_rows(&s, "rows-get", 25, "b=1@20 c=1@25");
	assert_changes(&s, "c=1 a- ");
	assert_int_equal(replica_version(s.replica), 25);
	fixture_destroy(&s);
}

/* Guards against a row that no page holds and that the feed does not show. */
static void test_page_is_not_older_than_the_page_before(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, replica_single_part);
	answer_rows(&s, "from=&", 10, "a=1@5 +");
	answer_rows(&s, "from=a%01&", 7, "b=1@6");
	assert_false(replica_is_complete(s.replica));
	answer_rows(&s, "from=a%01&", 10, "b=1@6 c=1@9");
	assert_changes(&s, "a=1 b=1 c=1 ");
	answer_rows(&s, "rows-feed?table=t&after=10", 10, "");
	fixture_destroy(&s);
}

static void test_part_is_not_older_than_the_part_before(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, two_parts);
	answer_rows(&s, "part=0&", 10, "a=1@5");
	answer_rows(&s, "part=1&", 7, "");
	assert_false(replica_is_complete(s.replica));
	answer_rows(&s, "part=1&", 11, "b=1@9");
	assert_changes(&s, "a=1 b=1 ");
	answer_rows(&s, "rows-feed?table=t&after=10", 11, "");
	fixture_destroy(&s);
}

static void test_older_answer_of_the_feed_counts_as_failure(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, replica_single_part);
	answer_rows(&s, "rows-get", 10, "a=1@5");
	assert_changes(&s, "a=1 ");
	answer_rows(&s, "rows-feed?table=t&after=10", 7, "a-@7");
	assert_changes(&s, "");
	assert_int_equal(replica_answered_since_ms(s.replica), 0);
	answer_rows(&s, "rows-feed?table=t&after=10", 10, "");
	assert_int_not_equal(replica_answered_since_ms(s.replica), 0);
	fixture_destroy(&s);
}

/* The version is known from an answer about another table. */
static void test_copy_is_not_older_than_an_answer_before_its_call(void **state)
{
	struct replica_events ev = {.changed = note_change};
	struct fixture s;
	struct replica *other;

	(void)state;
	fixture_create(&s, replica_single_part);
	answer_rows(&s, "rows-get?table=t&", 30, "a=1@5");
	replica_destroy(s.replica);
	other = replica_create(s.loop, s.rows, "u", replica_single_part, 1000,
			       &ev, &s);
	s.replica = other;
	answer_rows(&s, "rows-get?table=u&", 29, "");
	assert_false(replica_is_complete(other));
	answer_rows(&s, "rows-get?table=u&", 30, "z=1@29");
	assert_true(replica_is_complete(other));
	assert_changes(&s, "a=1 z=1 ");
	fixture_destroy(&s);
}

static void note_commit(void *arg, const struct rows_answer *a)
{
	(void)arg;
	assert_int_equal(a->outcome, ROWS_OK);
}

static void commit_at(struct fixture *s, uint64_t version)
{
	rows_commit(s->rows, "{}", 1000, note_commit, NULL);
	answer_rows(s, "rows-tx", version, "");
}

/* Guards against a copy that is never read while reads stay behind the store. */
static void test_read_completes_while_the_store_moves_on(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, replica_single_part);
	commit_at(&s, 30);
	answer_rows(&s, "rows-get", 29, "");
	assert_false(replica_is_complete(s.replica));
	commit_at(&s, 34);
	clock_offset_ms += 500;
	answer_rows(&s, "rows-get", 31, "");
	assert_true(replica_is_complete(s.replica));
	assert_true(replica_age_max_ms(s.replica) >= 500);
	fixture_destroy(&s);
}

/*
 * A read that stays behind the store completes the copy. Guards against one
 * that counts as current when an answer had shown a newer version before the
 * read was sent, in a full read or in the feed.
 */
static void test_copy_behind_the_store_is_not_current(void **state)
{
	uint64_t known_ms;
	struct fixture s;

	(void)state;
	fixture_create(&s, replica_single_part);
	commit_at(&s, 30);
	answer_rows(&s, "rows-get", 29, "");
	commit_at(&s, 34);
	known_ms = clock_mono_ms();
	clock_offset_ms += 1000;
	answer_rows(&s, "rows-get", 31, "");
	assert_true(replica_is_complete(s.replica));
	assert_in_range(replica_current_at_ms(s.replica), 0, known_ms);
	answer_rows(&s, "rows-feed?table=t&after=31", 32, "a=1@32");
	assert_in_range(replica_current_at_ms(s.replica), 0, known_ms);
	fixture_destroy(&s);
}

static void note_conflict(void *arg, const struct rows_answer *a)
{
	assert_int_equal(a->outcome, ROWS_CONFLICT);
	*(bool *)arg = true;
}

/*
 * A claim may be known from the row that a conflict shows. What is read after it
 * must not be older.
 */
static void test_copy_is_not_older_than_a_row_of_a_conflict(void **state)
{
	struct fixture s;
	bool answered = false;

	(void)state;
	fixture_create(&s, replica_single_part);
	rows_commit(s.rows, "{}", 1000, note_conflict, &answered);
	answer(&s, "rows-tx", 412,
	       "{\"rows\":[{\"key\":\"a\",\"value\":\"\",\"rowVersion\":30}]}");
	assert_true(answered);
	answer_rows(&s, "rows-get", 29, "");
	assert_false(replica_is_complete(s.replica));
	answer_rows(&s, "rows-get", 30, "");
	assert_true(replica_is_complete(s.replica));
	fixture_destroy(&s);
}

/* Guards against rows of earlier pages that count as removed. */
static void test_410_for_a_page_does_not_begin_another_read(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, replica_single_part);
	answer_rows(&s, "from=&", 10, "a=1@5 +");
	answer(&s, "from=a%01&", 410, "{}");
	answer_rows(&s, "from=a%01&", 11, "b=1@6");
	assert_changes(&s, "a=1 b=1 ");
	assert_true(replica_is_complete(s.replica));
	fixture_destroy(&s);
}

/* Guards against calls without a pause while reads are older than the history. */
static void
test_table_older_than_the_history_is_read_after_a_delay(void **state)
{
	struct fixture s;
	uint64_t began_ms;

	(void)state;
	fixture_create(&s, replica_single_part);
	answer_rows(&s, "rows-get", 10, "a=1@5");
	answer_rows(&s, "rows-feed", 10, "");
	began_ms = clock_mono_ms();
	answer(&s, "rows-feed", 410, "{}");
	answer_rows(&s, "rows-get", 11, "a=1@5");
	assert_true(clock_mono_ms() < began_ms + REREAD_DELAY_MS);
	began_ms = clock_mono_ms();
	answer(&s, "rows-feed", 410, "{}");
	answer_rows(&s, "rows-get", 12, "a=1@5");
	assert_true(clock_mono_ms() >= began_ms + REREAD_DELAY_MS);
	fixture_destroy(&s);
}

/*
 * The second page holds a row that was removed and created after the first one;
 * the feed begins with its removal.
 */
static void test_removal_older_than_the_row_is_ignored(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, replica_single_part);
	answer_rows(&s, "from=&", 10, "a=1@5 +");
	answer_rows(&s, "from=a%01&", 15, "b=2@14");
	assert_changes(&s, "a=1 b=2 ");
	answer_rows(&s, "rows-feed?table=t&after=10", 15, "b-@12 b=2@14");
	assert_changes(&s, "");
	answer_rows(&s, "rows-feed?table=t&after=15", 16, "b-@16");
	assert_changes(&s, "b- ");
	fixture_destroy(&s);
}

/* A row that changes between two pages is in the copy as the feed shows it. */
static void test_row_that_changes_between_pages_is_current(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, replica_single_part);
	answer_rows(&s, "from=&", 10, "a=1@5 +");
	answer_rows(&s, "from=a%01&", 15, "b=2@14");
	answer_rows(&s, "rows-feed?table=t&after=10", 15,
		    "a=2@11 b=1@12 c=1@13 c-@14 b=2@14");
	assert_changes(&s, "a=1 b=2 a=2 c=1 c- ");
	fixture_destroy(&s);
}

/* Guards against a copy that counts as new from its first page on. */
static void test_age_of_the_copy_is_that_of_its_first_page(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, replica_single_part);
	answer_rows(&s, "from=&", 10, "a=1@5 +");
	assert_true(replica_age_max_ms(s.replica) == UINT64_MAX);
	clock_offset_ms += 500;
	answer_rows(&s, "from=a%01&", 15, "b=2@14");
	assert_true(replica_age_max_ms(s.replica) >= 500);
	answer_rows(&s, "rows-feed?table=t&after=10", 15, "");
	assert_true(replica_age_max_ms(s.replica) < 500);
	fixture_destroy(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_table_read_again_is_not_older_than_the_copy),
		cmocka_unit_test(test_page_is_not_older_than_the_page_before),
		cmocka_unit_test(test_part_is_not_older_than_the_part_before),
		cmocka_unit_test(
			test_older_answer_of_the_feed_counts_as_failure),
		cmocka_unit_test(
			test_copy_is_not_older_than_an_answer_before_its_call),
		cmocka_unit_test(test_read_completes_while_the_store_moves_on),
		cmocka_unit_test(test_copy_behind_the_store_is_not_current),
		cmocka_unit_test(
			test_copy_is_not_older_than_a_row_of_a_conflict),
		cmocka_unit_test(
			test_410_for_a_page_does_not_begin_another_read),
		cmocka_unit_test(
			test_table_older_than_the_history_is_read_after_a_delay),
		cmocka_unit_test(test_removal_older_than_the_row_is_ignored),
		cmocka_unit_test(
			test_row_that_changes_between_pages_is_current),
		cmocka_unit_test(
			test_age_of_the_copy_is_that_of_its_first_page),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
