/* Tests of what ends the runs on an upstream that does not list their ends. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "lead/loss.h"

/* Local times of the cases. */
enum {
	ANSWERED = 1000, /* newest answer */
	ENTRY = 2000,	 /* an entry of a later incarnation was read */
	EARLY = 5000,	 /* while leases last */
	LEASES_END = 6000,
	LATE = 7000,
	NOW = 8000,
};

/* Evidence and what is expected of it. */
struct judgement {
	struct loss_evidence e;
	enum loss_outcome outcome;
	enum incarnation_end end; /* if it is LOSS_ENDED */
	bool superseded, later_answers;
};

static void check_all(const struct judgement *list, size_t len)
{
	const struct loss_facts f = {.now_ms = NOW,
				     .answered_ms = ANSWERED,
				     .leases_end_ms = LEASES_END,
				     .runs_started_wall_ms = 77};

	for (size_t i = 0; i < len; i++) {
		const struct judgement *x = &list[i];
		struct model *m = model_create();
		struct upstream *u = fleet_add_upstream(m->fleet, "u1");
		struct upstream *later = fleet_add_upstream(m->fleet, "u2");
		struct loss_verdict v;

		u->started_wall_ms = 77;
		u->superseded_ms = x->superseded ? ENTRY : 0;
		later->started_wall_ms = 99;
		later->synced = x->later_answers;
		u->host_quark = later->host_quark = g_quark_from_string("m");
		v = loss_judge(m, u, &x->e, &f);
		if (v.outcome != x->outcome ||
		    (v.outcome == LOSS_ENDED && v.end != x->end))
			fail_msg("case %zu: outcome %d, end %d: %s", i,
				 v.outcome, v.end, v.why);
		model_destroy(m);
	}
}

#define UNANSWERED(at, ...)                                                    \
	{                                                                      \
		LOSS_UNANSWERED, at,                                           \
		{                                                              \
			.unanswered = { __VA_ARGS__ }                          \
		}                                                              \
	}
#define REPLACED(at, start)                                                    \
	{                                                                      \
		LOSS_REPLACED, at,                                             \
		{                                                              \
			.replaced = { start }                                  \
		}                                                              \
	}
#define UNLISTED(at, since)                                                    \
	{                                                                      \
		LOSS_UNLISTED, at,                                             \
		{                                                              \
			.unlisted = { since }                                  \
		}                                                              \
	}

static void test_silence_ends_runs_only_after_their_leases(void **state)
{
	static const struct judgement list[] = {
		{UNANSWERED(EARLY, false, false), LOSS_WAIT},
		{UNANSWERED(LEASES_END, false, false), LOSS_WAIT},
		{UNANSWERED(LATE, false, false), LOSS_ENDED,
		 INCARNATION_PRESUMED_ENDED},
		/* it was not asked in time, or has answered another call */
		{UNANSWERED(LATE, true, false), LOSS_ASK},
		{UNANSWERED(LATE, true, true), LOSS_ASK},
		{UNANSWERED(ANSWERED - 1, false, true), LOSS_ASK},
		/* it has announced that it leaves */
		{UNANSWERED(EARLY, false, true), LOSS_ENDED, INCARNATION_LEFT},
	};

	(void)state;
	check_all(list, G_N_ELEMENTS(list));
}

/* An entry that names a later incarnation of the machine may be odd. */
static void test_later_entry_of_machine_needs_two_witnesses(void **state)
{
	static const struct judgement list[] = {
		{UNANSWERED(EARLY, false, false), LOSS_WAIT, 0, true, false},
		{UNANSWERED(EARLY, false, false), LOSS_WAIT, 0, false, true},
		{UNANSWERED(EARLY, false, false), LOSS_ENDED, INCARNATION_ENDED,
		 true, true},
		/* the call was sent before the entry was read */
		{UNANSWERED(ENTRY, false, false), LOSS_WAIT, 0, true, true},
		{UNANSWERED(LATE, false, false), LOSS_ENDED,
		 INCARNATION_PRESUMED_ENDED, true, false},
	};

	(void)state;
	check_all(list, G_N_ELEMENTS(list));
}

static void test_other_upstream_ends_incarnation_of_that_address(void **state)
{
	static const struct judgement list[] = {
		{REPLACED(EARLY, 77), LOSS_ENDED, INCARNATION_ENDED},
		{REPLACED(EARLY, 66), LOSS_WAIT},
		{REPLACED(EARLY, 99), LOSS_WAIT},
		{REPLACED(LATE, 66), LOSS_ENDED, INCARNATION_PRESUMED_ENDED},
		{REPLACED(ANSWERED - 1, 77), LOSS_ASK},
	};

	(void)state;
	check_all(list, G_N_ELEMENTS(list));
}

static void test_entry_with_later_start_is_asked_about(void **state)
{
	static const struct judgement list[] = {
		{{LOSS_LISTED_ANEW, EARLY, {.listed_anew = {99}}}, LOSS_ASK},
		{{LOSS_LISTED_ANEW, LATE, {.listed_anew = {99}}}, LOSS_ASK},
		{{LOSS_RESTARTED, EARLY, {.restarted = {99, NULL}}},
		 LOSS_ENDED,
		 INCARNATION_ENDED},
	};

	(void)state;
	check_all(list, G_N_ELEMENTS(list));
}

static void test_missing_entry_counts_once_it_could_be_back(void **state)
{
	static const struct judgement list[] = {
		{UNLISTED(LATE, 1), LOSS_ENDED, INCARNATION_PRESUMED_ENDED},
		{UNLISTED(LATE, LATE - LOSS_ENTRY_RETURN_MS), LOSS_ENDED,
		 INCARNATION_PRESUMED_ENDED},
		/* the list is old, the store is away or was just now */
		{UNLISTED(LEASES_END, 1), LOSS_WAIT},
		{UNLISTED(0, 1), LOSS_WAIT},
		{UNLISTED(LATE, 0), LOSS_WAIT},
		{UNLISTED(LATE, LATE - LOSS_ENTRY_RETURN_MS + 1), LOSS_WAIT},
	};

	(void)state;
	check_all(list, G_N_ELEMENTS(list));
}

/* Whatever the store does, a run is not waited for without an end. */
static void test_wait_for_missing_entry_is_bounded(void **state)
{
	struct loss_evidence e = UNLISTED(0, 0);
	struct loss_facts f = {.leases_end_ms = LEASES_END};
	struct model *m = model_create();
	struct upstream *u = fleet_add_upstream(m->fleet, "u1");

	(void)state;
	f.now_ms = LEASES_END + LOSS_UNLISTED_WAIT_MAX_MS;
	assert_int_equal(loss_judge(m, u, &e, &f).outcome, LOSS_WAIT);
	f.now_ms++;
	assert_int_equal(loss_judge(m, u, &e, &f).outcome, LOSS_ENDED);
	model_destroy(m);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_silence_ends_runs_only_after_their_leases),
		cmocka_unit_test(
			test_later_entry_of_machine_needs_two_witnesses),
		cmocka_unit_test(
			test_other_upstream_ends_incarnation_of_that_address),
		cmocka_unit_test(test_entry_with_later_start_is_asked_about),
		cmocka_unit_test(
			test_missing_entry_counts_once_it_could_be_back),
		cmocka_unit_test(test_wait_for_missing_entry_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
