/* Tests of binding, placement, reclaim, fair sharing and quarantine. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/bind.h"
#include "sched/health.h"
#include "sched/sched.h"

static struct inventory *create_inventory(uint32_t upstreams)
{
	struct inventory *inv = inventory_create();
	char name[32], rack[32];

	for (uint32_t i = 0; i < upstreams; i++) {
		snprintf(name, sizeof(name), "u%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / 8);
		inventory_add_upstream(inv, name, rack, 8, 10, 2);
	}
	return inv;
}

/*
 * A configuration names upstreams with up to 60 characters. Guards against two
 * that count as one, as their names are cut: cells of one would be bound on the
 * other.
 */
static void test_upstreams_with_long_names_are_told_apart(void **state)
{
	static const char *const names[] = {
		"upstream-with-a-name-of-sixty-characters-in-all-somewhere--1",
		"upstream-with-a-name-of-sixty-characters-in-all-somewhere--2"};
	struct inventory *inv = inventory_create();

	(void)state;
	for (uint32_t i = 0; i < 2; i++) {
		assert_int_equal(strlen(names[i]), 60);
		inventory_add_upstream(inv, names[i], "r", 8, 10, 2);
	}
	for (uint32_t i = 0; i < 2; i++) {
		uint32_t u = 9;

		assert_true(inventory_find_upstream(inv, names[i], &u));
		assert_int_equal(u, i);
		assert_string_equal(inventory_upstream(inv, i)->name, names[i]);
	}
	inventory_destroy(inv);
}

static struct sched *create_sched(uint32_t upstreams)
{
	struct sched_limits l = {.hold_after_ms = 1000,
				 .account_queue_max = 1000};

	return sched_create(create_inventory(upstreams), PLACE_POLICY_BOUND,
			    &l);
}

static uint32_t submit_job(struct sched *s, uint32_t account, uint32_t parts,
			   uint32_t accelerators, enum job_class class,
			   uint64_t at)
{
	struct job_spec spec = {.job_class = class,
				.shape = {.parts = parts,
					  .accelerators = accelerators,
					  .slots = 1,
					  .account = account},
				.submitted_ms = at};
	uint32_t job = 0;

	assert_int_equal(sched_submit(s, &spec, &job), SUBMIT_OK);
	return job;
}

static uint32_t decide_and_count_evictions(struct sched *s, uint64_t now)
{
	struct actions a = {0};
	uint32_t evicted = 0;

	sched_decide(s, now, &a);
	for (uint32_t i = 0; i < a.len; i++)
		evicted += a.list[i].tag == ACTION_EVICT;
	actions_clear(&a);
	return evicted;
}

static void requeue_evicted(struct sched *s)
{
	for (uint32_t i = 0; i < sched_handle_count(s); i++)
		if (sched_job(s, i) && sched_job(s, i)->state == JOB_EVICTING)
			sched_requeue(s, i);
}

static enum job_state state_of(struct sched *s, uint32_t job)
{
	return sched_job(s, job)->state;
}

static void bind_cells(struct sched *s, uint32_t account, enum cell_kind kind,
		       uint32_t n)
{
	struct cell c;

	while (n--) {
		assert_true(
			bind_find_cell(sched_inventory(s), kind, account, &c));
		bind_apply_cell(sched_inventory(s), &c);
	}
}

static void cell_pick_prefers_partly_used_parent_cell(void **state)
{
	(void)state;
	assert_int_equal(cell_pick(0xff, 4), 0x0f);
	assert_int_equal(cell_pick(0xf0, 4), 0xf0);
	assert_int_equal(cell_pick(0xfe, 1), 0x02);
	assert_int_equal(cell_pick(0x3c, 4), 0x3c); /* no aligned cell */
	assert_int_equal(cell_pick(0x07, 4), 0);
	assert_int_equal(__builtin_popcount(cell_pick(0xff, 3)), 3);
}

static void bound_cells_never_overlap(void **state)
{
	struct sched *s = create_sched(16);
	struct cell c;

	(void)state;
	bind_cells(s, 0, CELL_RACK, 1);
	bind_cells(s, 1, CELL_UPSTREAM, 7);
	bind_cells(s, 2, CELL_HALF, 2);
	assert_false(
		bind_find_cell(sched_inventory(s), CELL_ACCELERATOR, 3, &c));
	assert_false(bind_find_cell(sched_inventory(s), CELL_RACK, 3, &c));
	for (uint32_t u = 0; u < 16; u++) {
		const struct upstream *up =
			inventory_upstream(sched_inventory(s), u);
		uint32_t seen = 0;

		for (uint32_t i = 0; i < up->bindings_len; i++) {
			assert_false(seen & up->bindings[i].mask);
			seen |= up->bindings[i].mask;
		}
	}
	sched_destroy(s);
}

static void gang_is_placed_in_one_rack(void **state)
{
	struct sched *s = create_sched(24);
	const struct job *j;
	uint32_t small, gang;

	(void)state;
	small = submit_job(s, 0, 1, 1, CLASS_BATCH, 0);
	gang = submit_job(s, 0, 8, 8, CLASS_BATCH, 1);
	decide_and_count_evictions(s, 2);
	assert_int_equal(state_of(s, small), JOB_PLACED);
	assert_int_equal(state_of(s, gang), JOB_PLACED);
	j = sched_job(s, gang);
	for (uint32_t i = 1; i < 8; i++)
		assert_int_equal(inventory_upstream(sched_inventory(s),
						    j->parts[i].upstream)
					 ->rack,
				 inventory_upstream(sched_inventory(s),
						    j->parts[0].upstream)
					 ->rack);
	sched_destroy(s);
}

static void single_accelerator_jobs_fill_one_upstream(void **state)
{
	struct sched *s = create_sched(8);
	struct fragmentation f;

	(void)state;
	for (int i = 0; i < 8; i++)
		submit_job(s, 0, 1, 1, CLASS_BATCH, i);
	decide_and_count_evictions(s, 10);
	inventory_measure_fragmentation(sched_inventory(s), &f);
	assert_int_equal(f.free, 56);
	assert_int_equal(f.free_whole, 56); /* all jobs are on one upstream */
	sched_destroy(s);
}

static void guaranteed_job_evicts_borrowers_of_its_cells(void **state)
{
	struct sched *s = create_sched(4);
	uint32_t claim;

	(void)state;
	bind_cells(s, 1, CELL_UPSTREAM, 2);
	for (int i = 0; i < 8; i++)
		submit_job(s, 0, 1, 4, CLASS_BATCH, i);
	decide_and_count_evictions(s, 10);
	claim = submit_job(s, 1, 2, 8, CLASS_BATCH, 11);
	assert_int_equal(decide_and_count_evictions(s, 12), 4);
	assert_int_equal(state_of(s, claim), JOB_CLAIMING);
	requeue_evicted(s);
	decide_and_count_evictions(s, 13);
	assert_int_equal(state_of(s, claim), JOB_PLACED);
	assert_int_equal(sched_job(s, claim)->usage, USAGE_GUARANTEED);
	assert_int_equal(sched_waiting_count(s, 0),
			 4); /* no borrower restarted on them */
	sched_destroy(s);
}

static void urgent_job_evicts_batch_job_of_same_account(void **state)
{
	struct sched *s = create_sched(2);
	uint32_t batch, urgent;

	(void)state;
	bind_cells(s, 0, CELL_UPSTREAM, 2);
	batch = submit_job(s, 0, 2, 8, CLASS_BATCH, 0);
	decide_and_count_evictions(s, 1);
	urgent = submit_job(s, 0, 1, 8, CLASS_URGENT, 2);
	assert_int_equal(decide_and_count_evictions(s, 3), 1);
	assert_int_equal(state_of(s, batch), JOB_EVICTING);
	requeue_evicted(s);
	decide_and_count_evictions(s, 4);
	assert_int_equal(state_of(s, urgent), JOB_PLACED);
	assert_int_equal(state_of(s, batch), JOB_WAITING);
	sched_destroy(s);
}

static void gang_waiting_past_limit_starts_before_later_small_jobs(void **state)
{
	struct sched *s = create_sched(2);
	uint32_t first[16], gang;

	(void)state;
	for (int i = 0; i < 16; i++)
		first[i] = submit_job(s, 0, 1, 1, CLASS_BATCH, i);
	decide_and_count_evictions(s, 20);
	gang = submit_job(s, 1, 2, 8, CLASS_BATCH, 30);
	for (int i = 0; i < 40; i++)
		submit_job(s, 2, 1, 1, CLASS_BATCH, 31 + i);
	decide_and_count_evictions(s, 40);
	assert_int_equal(state_of(s, gang), JOB_WAITING);
	decide_and_count_evictions(s, 1040);
	assert_int_equal(state_of(s, gang), JOB_CLAIMING);
	for (int i = 0; i < 16; i++) {
		sched_remove(s, first[i]);
		decide_and_count_evictions(s, 1050 + i);
	}
	assert_int_equal(state_of(s, gang), JOB_PLACED);
	sched_destroy(s);
}

static void guaranteed_job_starts_on_cells_held_for_borrower(void **state)
{
	struct sched *s = create_sched(2);
	uint32_t small, gang, claim;

	(void)state;
	bind_cells(s, 1, CELL_UPSTREAM, 1);
	small = submit_job(s, 0, 1, 1, CLASS_BATCH, 0);
	decide_and_count_evictions(s, 1);
	gang = submit_job(s, 0, 2, 8, CLASS_BATCH, 2);
	decide_and_count_evictions(s, 2000);
	assert_int_equal(state_of(s, gang), JOB_CLAIMING);
	claim = submit_job(s, 1, 1, 8, CLASS_BATCH, 2001);
	decide_and_count_evictions(s, 2002);
	if (state_of(s, claim) == JOB_CLAIMING) {
		requeue_evicted(s);
		decide_and_count_evictions(s, 2003);
	}
	assert_int_equal(state_of(s, claim), JOB_PLACED);
	assert_int_not_equal(state_of(s, gang), JOB_PLACED);
	(void)small;
	sched_destroy(s);
}

static void borrowers_leave_headroom_free_for_urgent_job(void **state)
{
	struct sched *s = create_sched(2);
	uint32_t urgent;

	(void)state;
	bind_cells(s, 1, CELL_UPSTREAM, 2);
	sched_set_headroom(s, 1, 2);
	for (int i = 0; i < 20; i++)
		submit_job(s, 0, 1, 1, CLASS_BATCH, i);
	decide_and_count_evictions(s, 30);
	assert_int_equal(sched_waiting_count(s, 0),
			 6); /* 14 of 16 are borrowed */
	urgent = submit_job(s, 1, 1, 1, CLASS_URGENT, 31);
	assert_int_equal(decide_and_count_evictions(s, 32), 0);
	assert_int_equal(state_of(s, urgent), JOB_PLACED);
	sched_destroy(s);
}

static void quiet_jobs_are_evicted_for_gang_waiting_past_limit(void **state)
{
	struct sched *s = create_sched(2);
	uint32_t gang;

	(void)state;
	for (int i = 0; i < 16; i++)
		submit_job(s, 0, 1, 1, CLASS_QUIET, i);
	decide_and_count_evictions(s, 20);
	gang = submit_job(s, 1, 2, 8, CLASS_BATCH, 21);
	assert_int_equal(decide_and_count_evictions(s, 30), 0);
	/* the gang has now waited for hold_after_ms */
	assert_int_equal(decide_and_count_evictions(s, 1030), 16);
	requeue_evicted(s);
	decide_and_count_evictions(s, 1031);
	assert_int_equal(state_of(s, gang), JOB_PLACED);
	sched_destroy(s);
}

static void reclaim_evicts_single_part_job_before_gang(void **state)
{
	struct sched *s = create_sched(2);
	uint32_t gang, claim;

	(void)state;
	bind_cells(s, 1, CELL_UPSTREAM, 2);
	gang = submit_job(s, 0, 3, 4, CLASS_BATCH, 0);
	submit_job(s, 0, 1, 4, CLASS_BATCH, 1);
	decide_and_count_evictions(s, 2);
	claim = submit_job(s, 1, 1, 4, CLASS_BATCH, 3);
	assert_int_equal(decide_and_count_evictions(s, 4), 1);
	assert_int_equal(state_of(s, claim), JOB_CLAIMING);
	assert_int_equal(state_of(s, gang), JOB_PLACED);
	sched_destroy(s);
}

static void account_with_least_service_borrows_next(void **state)
{
	struct sched *s = create_sched(1);
	uint32_t a, b;

	(void)state;
	a = submit_job(s, 0, 1, 8, CLASS_BATCH, 0);
	decide_and_count_evictions(s, 1);
	decide_and_count_evictions(
		s, 60000); /* a minute of service for account 0 */
	submit_job(s, 0, 1, 8, CLASS_BATCH, 60001);
	b = submit_job(s, 1, 1, 8, CLASS_BATCH, 60002);
	sched_remove(s, a);
	decide_and_count_evictions(s, 60003);
	assert_int_equal(state_of(s, b), JOB_PLACED);
	sched_destroy(s);
}

static void quick_slots_stay_free_for_checks(void **state)
{
	struct sched *s = create_sched(1);
	uint32_t placed = 0;

	(void)state;
	for (int i = 0; i < 20; i++)
		submit_job(s, 0, 1, 0, CLASS_BATCH, i);
	decide_and_count_evictions(s, 30);
	for (uint32_t i = 0; i < 20; i++)
		placed += state_of(s, i) == JOB_PLACED;
	assert_int_equal(placed, 8);
	sched_destroy(s);
}

static void job_larger_than_domain_is_refused(void **state)
{
	struct sched *s = create_sched(2);
	struct job_spec spec = {
		.shape = {.parts = 3, .accelerators = 8, .slots = 1}};
	uint32_t job;

	(void)state;
	assert_int_equal(sched_submit(s, &spec, &job), SUBMIT_NEVER_FITS);
	spec.shape.parts = 1;
	spec.shape.accelerators = 9;
	assert_int_equal(sched_submit(s, &spec, &job), SUBMIT_NEVER_FITS);
	sched_destroy(s);
}

static void quarantine_needs_failures_of_three_subjects(void **state)
{
	struct health h = {0};

	(void)state;
	for (int i = 0; i < 10; i++)
		assert_false(health_record_failure(&h, 1, i));
	assert_true(health_try_admit(&h, 20));
	assert_false(health_record_failure(&h, 2, 21));
	assert_true(health_record_failure(&h, 3, 22));
	assert_false(health_try_admit(&h, 23));
	assert_true(health_try_admit(&h, 5000)); /* one probe */
	assert_false(health_try_admit(&h, 5001));
	health_record_success(&h);
	assert_true(health_try_admit(&h, 5002));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_upstreams_with_long_names_are_told_apart),
		cmocka_unit_test(cell_pick_prefers_partly_used_parent_cell),
		cmocka_unit_test(bound_cells_never_overlap),
		cmocka_unit_test(gang_is_placed_in_one_rack),
		cmocka_unit_test(single_accelerator_jobs_fill_one_upstream),
		cmocka_unit_test(guaranteed_job_evicts_borrowers_of_its_cells),
		cmocka_unit_test(urgent_job_evicts_batch_job_of_same_account),
		cmocka_unit_test(
			gang_waiting_past_limit_starts_before_later_small_jobs),
		cmocka_unit_test(
			guaranteed_job_starts_on_cells_held_for_borrower),
		cmocka_unit_test(borrowers_leave_headroom_free_for_urgent_job),
		cmocka_unit_test(
			quiet_jobs_are_evicted_for_gang_waiting_past_limit),
		cmocka_unit_test(reclaim_evicts_single_part_job_before_gang),
		cmocka_unit_test(account_with_least_service_borrows_next),
		cmocka_unit_test(quick_slots_stay_free_for_checks),
		cmocka_unit_test(job_larger_than_domain_is_refused),
		cmocka_unit_test(quarantine_needs_failures_of_three_subjects),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
