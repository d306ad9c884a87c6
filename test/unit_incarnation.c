/*
 * What is known of the incarnations of an upstream, by messages in any order:
 * an entry describes the incarnation that it names and no other.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <cmocka.h>

#include "lead/incarnation.h"

#define SEEDS 400
#define MESSAGES 200
#define INCARNATIONS 12

/* An upstream with its incarnations, and what a reader knows of them. */
struct reader {
	struct incarnation known;
	uint64_t started_wall_ms; /* of the known incarnation; 0: none */
	const char *kind;	  /* by the entry that was applied last */
	bool told;		  /* the known one has named itself */
};

/* Each incarnation has a kind of its own. */
static const char *kind_of(uint64_t started_wall_ms)
{
	static const char *const kinds[] = {"a", "b", "c", "d", "e", "f", "g",
					    "h", "i", "j", "k", "l", "m", "n"};

	return kinds[started_wall_ms % G_N_ELEMENTS(kinds)];
}

static enum entry_use read_entry(struct reader *r, uint64_t started_wall_ms,
				 const char *kind)
{
	struct upstream_entry e = {.started_wall_ms = started_wall_ms,
				   .kind = kind};
	enum entry_use use;

	if (!r->started_wall_ms)
		r->started_wall_ms = started_wall_ms;
	use = incarnation_note_entry(&r->known, &e, r->started_wall_ms);
	if (use == ENTRY_DESCRIBES)
		r->kind = kind;
	return use;
}

/* Read an answer; one of an earlier incarnation says nothing. */
static void read_answer(struct reader *r, uint64_t started_wall_ms)
{
	if (started_wall_ms < r->known.answered_started_wall_ms)
		return;
	r->started_wall_ms = started_wall_ms;
	r->told = true;
	if (incarnation_note_answer(&r->known, started_wall_ms))
		r->kind = r->known.newest.kind;
}

/* Report whether work may be placed by what r knows. */
static bool may_place(const struct reader *r)
{
	return r->told &&
	       incarnation_is_described(&r->known, r->started_wall_ms);
}

/* Check that work is placed only by the labels of the known incarnation. */
static void check(const struct reader *r)
{
	if (may_place(r))
		assert_string_equal(r->kind, kind_of(r->started_wall_ms));
}

/*
 * The entry comes first, the answer, or one of them twice. Guards against work
 * that is placed by the labels of an earlier incarnation.
 */
static void labels_are_those_of_the_incarnation_that_answers(void **state)
{
	struct reader r = {.kind = ""};

	(void)state;
	assert_int_equal(read_entry(&r, 7, kind_of(7)), ENTRY_DESCRIBES);
	assert_false(may_place(&r));
	read_answer(&r, 7);
	assert_true(may_place(&r));
	/* the answer first */
	read_answer(&r, 8);
	assert_false(may_place(&r));
	assert_int_equal(read_entry(&r, 7, kind_of(7)), ENTRY_OF_EARLIER_ONE);
	assert_false(may_place(&r));
	assert_int_equal(read_entry(&r, 8, kind_of(8)), ENTRY_DESCRIBES);
	assert_true(may_place(&r));
	check(&r);
	/* the entry first, twice */
	assert_int_equal(read_entry(&r, 9, kind_of(9)), ENTRY_AWAITS_ANSWER);
	assert_int_equal(read_entry(&r, 9, kind_of(9)), ENTRY_AWAITS_ANSWER);
	assert_string_equal(r.kind, kind_of(8));
	read_answer(&r, 9);
	assert_true(may_place(&r));
	check(&r);
	/* an answer of the one before arrives late */
	read_answer(&r, 8);
	assert_int_equal(r.started_wall_ms, 9);
	assert_true(may_place(&r));
	incarnation_note_unlisted(&r.known);
	assert_false(may_place(&r));
	assert_int_equal(read_entry(&r, 9, kind_of(9)), ENTRY_DESCRIBES);
	assert_true(may_place(&r));
}

/*
 * Another writer names a later start. Guards against its labels, and against an
 * upstream that is out of use while that entry is listed.
 */
static void denied_entry_describes_nothing(void **state)
{
	struct reader r = {.kind = ""};

	(void)state;
	read_entry(&r, 7, kind_of(7));
	read_answer(&r, 7);
	assert_int_equal(read_entry(&r, 99, "odd"), ENTRY_AWAITS_ANSWER);
	assert_string_equal(r.kind, kind_of(7));
	read_answer(&r, 7);
	assert_int_equal(read_entry(&r, 99, "odd"), ENTRY_DENIED);
	assert_true(may_place(&r));
	check(&r);
	/* what was denied is no entry, also once nothing is listed */
	assert_true(incarnation_is_listed(&r.known));
	incarnation_note_unlisted(&r.known);
	assert_false(incarnation_is_listed(&r.known));
	read_entry(&r, 99, "odd");
	assert_false(incarnation_is_listed(&r.known));
	/* also as the first entry that is read */
	r = (struct reader){.kind = ""};
	read_entry(&r, 99, "odd");
	read_answer(&r, 7);
	assert_false(may_place(&r));
	assert_int_equal(read_entry(&r, 99, "odd"), ENTRY_DENIED);
	assert_false(may_place(&r));
	assert_int_equal(read_entry(&r, 7, kind_of(7)), ENTRY_DESCRIBES);
	assert_true(may_place(&r));
	check(&r);
}

/*
 * Entries and answers of incarnations arrive in any order, late or twice; the
 * seed chooses. Guards against any order in which labels of one incarnation
 * count for another, and against one in which the last one is never used.
 */
static void any_order_of_messages_keeps_labels_apart(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		GRand *g = g_rand_new_with_seed(seed);
		struct reader r = {.kind = ""};
		uint64_t last = 1;

		for (uint32_t i = 0; i < MESSAGES; i++) {
			uint64_t started;

			if (last < INCARNATIONS && !g_rand_int_range(g, 0, 10))
				last++;
			started =
				g_rand_int_range(g, MAX(last, 3) - 2, last + 1);
			switch (g_rand_int_range(g, 0, 5)) {
			case 0:
			case 1:
				read_entry(&r, started, kind_of(started));
				break;
			case 2:
			case 3:
				read_answer(&r, started);
				break;
			case 4:
				incarnation_note_unlisted(&r.known);
				break;
			}
			check(&r);
		}
		/* its own entry and answer come again */
		read_answer(&r, last);
		read_entry(&r, last, kind_of(last));
		assert_true(may_place(&r));
		check(&r);
		g_rand_free(g);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			labels_are_those_of_the_incarnation_that_answers),
		cmocka_unit_test(denied_entry_describes_nothing),
		cmocka_unit_test(any_order_of_messages_keeps_labels_apart),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
