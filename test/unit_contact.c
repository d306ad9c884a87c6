/*
 * Tests of what calls to an upstream may carry, over its restarts and changes of
 * leader.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <stdlib.h>

#include "lead/contact.h"
#include "test/callworld.h"

#define EPOCH (3 * EPOCH_STEP)
#define SEEDS 40000
#define STEPS 400

/* Return a contact whose incarnation 77 has listed ends up to 130, recorded. */
static struct contact known_contact(void)
{
	struct contact c;
	struct call_terms t;

	contact_init(&c, EPOCH);
	t = contact_begin_call(&c, CALL_LISTS, false);
	contact_note_incarnation(&c, 77);
	contact_end_call(&c, CALL_LISTS, &t, CALL_NAMED);
	contact_note_ends(&c, 1, 130);
	contact_note_write_sent(&c);
	contact_note_write_committed(&c);
	return c;
}

/*
 * Guards against ends of a later incarnation that are discarded by a number of
 * the one before: a call that may reach the later one carries none, and no lease.
 */
static void call_over_a_new_connection_is_bare(void **state)
{
	struct contact c = known_contact();
	struct call_terms t = contact_begin_call(&c, CALL_LISTS, true);

	(void)state;
	assert_int_equal(t.ack_cursor, 130);
	assert_false(t.bare);
	t = contact_begin_call(&c, CALL_LISTS, false);
	assert_int_equal(t.ack_cursor, 0);
	assert_true(t.bare);
	t = contact_begin_call(&c, CALL_ASK, false);
	assert_int_equal(t.ack_cursor, 0);
	assert_true(t.bare);
	assert_true(contact_start_must_wait(&c, false));
}

/* Guards against numbers of ends that outlive their incarnation. */
static void later_incarnation_begins_without_numbers(void **state)
{
	struct contact c = known_contact();
	uint64_t token = c.token;
	struct call_terms t;

	(void)state;
	contact_note_write_sent(&c);
	assert_true(contact_note_incarnation(&c, 78));
	contact_note_write_committed(&c);
	t = contact_begin_call(&c, CALL_LISTS, true);
	assert_int_equal(t.ack_cursor, 0);
	assert_true(t.token > token);
}

/*
 * Guards against a call that was not answered and is carried out by a later
 * incarnation, after newer calls: it is refused there.
 */
static void unanswered_call_is_voided_by_the_next(void **state)
{
	struct contact c = known_contact();
	struct call_terms late = contact_begin_call(&c, CALL_LISTS, true), t;

	(void)state;
	contact_end_call(&c, CALL_LISTS, &late, CALL_UNANSWERED);
	t = contact_begin_call(&c, CALL_ASK, false);
	assert_true(t.token > late.token);
	assert_true(contact_is_overtaken(&c, &late));
	assert_false(contact_is_overtaken(&c, &t));
	/* a bare call that is carried out late changes nothing */
	contact_end_call(&c, CALL_ASK, &t, CALL_UNANSWERED);
	assert_int_equal(contact_begin_call(&c, CALL_ASK, false).token,
			 t.token);
}

/*
 * Guards against tokens that reach those of the next leader, or are not above
 * those of the last one.
 */
static void tokens_lie_between_two_epochs(void **state)
{
	struct contact c = known_contact();

	(void)state;
	assert_true(c.token > EPOCH - EPOCH_STEP);
	for (uint64_t i = 0; i < EPOCH_STEP + 10; i++)
		contact_forget_incarnation(&c);
	assert_int_equal(c.token, EPOCH);
}

/* Guards against ends that are not acknowledged as one call was lost. */
static void ends_stay_unacknowledged_until_a_call_is_answered(void **state)
{
	struct contact c = known_contact();
	struct call_terms t = contact_begin_call(&c, CALL_LISTS, true);

	(void)state;
	assert_true(contact_has_unacknowledged_ends(&c));
	contact_end_call(&c, CALL_LISTS, &t, CALL_UNANSWERED);
	assert_true(contact_has_unacknowledged_ends(&c));
	t = contact_begin_call(&c, CALL_LISTS, true);
	contact_end_call(&c, CALL_LISTS, &t, CALL_NAMED);
	assert_false(contact_has_unacknowledged_ends(&c));
}

/* Guards against ends that were discarded unseen, without a trace of it. */
static void missing_numbers_of_ends_are_counted(void **state)
{
	struct contact c = known_contact();

	(void)state;
	assert_int_equal(contact_note_ends(&c, 131, 131), 0);
	assert_int_equal(contact_note_ends(&c, 0, 131), 0);
	assert_int_equal(contact_note_ends(&c, 135, 136), 3);
	contact_note_incarnation(&c, 78);
	assert_int_equal(contact_note_ends(&c, 2, 2), 1);
	/* an earlier leader has acknowledged what it recorded */
	contact_init(&c, EPOCH);
	contact_note_incarnation(&c, 78);
	assert_int_equal(contact_note_ends(&c, 9, 9), 0);
}

/* Let the upstream answer list calls that leave no connection open. */
static void answer_without_connection(struct contact *c, uint32_t n)
{
	while (n--) {
		struct call_terms t = contact_begin_call(c, CALL_LISTS, false);

		contact_end_call(c, CALL_LISTS, &t, CALL_NAMED);
	}
}

/*
 * An upstream closes its connections. Guards against runs whose leases end, as
 * no call to it may carry one, and against ends that are discarded by a call
 * which a later incarnation takes, after a start that it has taken too.
 */
static void upstream_without_open_connections_is_used_with_care(void **state)
{
	struct contact c = known_contact();
	struct call_terms lists, start;

	(void)state;
	answer_without_connection(&c, 4);
	assert_true(contact_keeps_no_connection(&c));
	assert_false(contact_has_unacknowledged_ends(&c));
	/* there is nothing to acknowledge, so that no number is sent */
	lists = contact_begin_call(&c, CALL_LISTS, false);
	assert_false(lists.bare);
	assert_int_equal(lists.ack_cursor, 0);
	contact_end_call(&c, CALL_LISTS, &lists, CALL_NAMED);
	assert_false(contact_start_must_wait(&c, false));
	start = contact_begin_call(&c, CALL_START, false);
	contact_note_ends(&c, 131, 140);
	contact_note_write_sent(&c);
	contact_note_write_committed(&c);
	assert_true(contact_start_must_wait(&c, false));
	lists = contact_begin_call(&c, CALL_LISTS, false);
	assert_int_equal(lists.ack_cursor, 0);
	contact_end_call(&c, CALL_START, &start, CALL_ANSWERED);
	/* that list call may have been taken before the start */
	contact_end_call(&c, CALL_LISTS, &lists, CALL_NAMED);
	assert_false(contact_starts_are_settled(&c));
	lists = contact_begin_call(&c, CALL_LISTS, false);
	assert_int_equal(lists.ack_cursor, 0);
	contact_end_call(&c, CALL_LISTS, &lists, CALL_NAMED);
	assert_true(contact_starts_are_settled(&c));
	lists = contact_begin_call(&c, CALL_LISTS, false);
	assert_int_equal(lists.ack_cursor, 140);
	assert_true(contact_start_must_wait(&c, false));
	contact_end_call(&c, CALL_LISTS, &lists, CALL_NAMED);
	assert_false(contact_start_must_wait(&c, false));
}

static uint32_t choose(void *arg, uint32_t n)
{
	return g_rand_int_range(arg, 0, (gint32)n);
}

static void breach(void *arg, const char *what)
{
	(void)arg;
	fail_msg("%s", what);
}

/* Guards against any course of calls that breaks a promise of contact.h. */
static void any_course_of_calls_keeps_incarnations_apart(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		GRand *g = g_rand_new_with_seed(seed);
		struct call_world_source source = {choose, breach, g};
		struct call_world *w = call_world_create(&source);

		for (uint32_t i = 0; i < STEPS; i++)
			call_world_step(w);
		call_world_settle(w);
		call_world_destroy(w);
		g_rand_free(g);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(call_over_a_new_connection_is_bare),
		cmocka_unit_test(later_incarnation_begins_without_numbers),
		cmocka_unit_test(unanswered_call_is_voided_by_the_next),
		cmocka_unit_test(tokens_lie_between_two_epochs),
		cmocka_unit_test(
			ends_stay_unacknowledged_until_a_call_is_answered),
		cmocka_unit_test(missing_numbers_of_ends_are_counted),
		cmocka_unit_test(
			upstream_without_open_connections_is_used_with_care),
		cmocka_unit_test(any_course_of_calls_keeps_incarnations_apart),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
