/* The decisions: binding, placement, reclaim, turns, quarantine. */
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

static struct site *site_of(uint32_t upstreams)
{
	struct site *s = site_create();
	char name[32], rack[32];

	for (uint32_t i = 0; i < upstreams; i++) {
		snprintf(name, sizeof(name), "u%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / 8);
		site_add_upstream(s, name, rack, 8, 10, 2);
	}
	return s;
}

static struct sched *sched_of(uint32_t upstreams)
{
	struct sched_limits l = {.hold_after_ms = 1000,
				 .queue_per_account = 1000};

	return sched_create(site_of(upstreams), POLICY_BOUND, &l);
}

static uint32_t add(struct sched *s, uint32_t account, uint32_t parts,
		    uint32_t accelerators, enum job_class class, uint64_t at)
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

static uint32_t decide(struct sched *s, uint64_t now)
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
	for (uint32_t i = 0; i < sched_jobs(s); i++)
		if (sched_job(s, i) && sched_job(s, i)->state == JOB_EVICTING)
			sched_requeue(s, i);
}

static enum job_state state_of(struct sched *s, uint32_t job)
{
	return sched_job(s, job)->state;
}

static void bind(struct sched *s, uint32_t account, enum cell_kind kind,
		 uint32_t n)
{
	struct cell c;

	while (n--) {
		assert_true(bind_find(sched_site(s), kind, account, &c));
		bind_apply(sched_site(s), &c);
	}
}

static void cells_are_picked_next_to_used_ones(void **state)
{
	(void)state;
	assert_int_equal(cell_pick(0xff, 4), 0x0f);
	assert_int_equal(cell_pick(0xf0, 4), 0xf0);
	assert_int_equal(cell_pick(0xfe, 1), 0x02);
	assert_int_equal(cell_pick(0x3c, 4), 0x3c); /* no aligned cell */
	assert_int_equal(cell_pick(0x07, 4), 0);
	assert_int_equal(__builtin_popcount(cell_pick(0xff, 3)), 3);
}

static void guarantees_cannot_collide(void **state)
{
	struct sched *s = sched_of(16);
	struct cell c;

	(void)state;
	bind(s, 0, CELL_RACK, 1);
	bind(s, 1, CELL_UPSTREAM, 7);
	bind(s, 2, CELL_HALF, 2);
	assert_false(bind_find(sched_site(s), CELL_ACCELERATOR, 3, &c));
	assert_false(bind_find(sched_site(s), CELL_RACK, 3, &c));
	for (uint32_t u = 0; u < 16; u++) {
		const struct upstream *up = site_upstream(sched_site(s), u);
		uint32_t seen = 0;

		for (uint32_t i = 0; i < up->bound_len; i++) {
			assert_false(seen & up->bound[i].mask);
			seen |= up->bound[i].mask;
		}
	}
	sched_destroy(s);
}

static void a_gang_stays_in_one_rack(void **state)
{
	struct sched *s = sched_of(24);
	const struct job *j;
	uint32_t small, gang;

	(void)state;
	small = add(s, 0, 1, 1, CLASS_BATCH, 0);
	gang = add(s, 0, 8, 8, CLASS_BATCH, 1);
	decide(s, 2);
	assert_int_equal(state_of(s, small), JOB_PLACED);
	assert_int_equal(state_of(s, gang), JOB_PLACED);
	j = sched_job(s, gang);
	for (uint32_t i = 1; i < 8; i++)
		assert_int_equal(
			site_upstream(sched_site(s), j->parts[i].upstream)
				->rack,
			site_upstream(sched_site(s), j->parts[0].upstream)
				->rack);
	sched_destroy(s);
}

static void small_work_packs(void **state)
{
	struct sched *s = sched_of(8);
	struct fragmentation f;

	(void)state;
	for (int i = 0; i < 8; i++)
		add(s, 0, 1, 1, CLASS_BATCH, i);
	decide(s, 10);
	site_fragmentation(sched_site(s), &f);
	assert_int_equal(f.free, 56);
	assert_int_equal(f.free_whole, 56); /* all on one upstream */
	sched_destroy(s);
}

static void a_guarantee_is_reclaimed_from_borrowers(void **state)
{
	struct sched *s = sched_of(4);
	uint32_t claim;

	(void)state;
	bind(s, 1, CELL_UPSTREAM, 2);
	for (int i = 0; i < 8; i++)
		add(s, 0, 1, 4, CLASS_BATCH, i);
	decide(s, 10);
	claim = add(s, 1, 2, 8, CLASS_BATCH, 11);
	assert_int_equal(decide(s, 12), 4);
	assert_int_equal(state_of(s, claim), JOB_CLAIMING);
	requeue_evicted(s);
	decide(s, 13);
	assert_int_equal(state_of(s, claim), JOB_PLACED);
	assert_int_equal(sched_job(s, claim)->use, USE_GUARANTEED);
	assert_int_equal(sched_waiting(s, 0), 4); /* none took it back */
	sched_destroy(s);
}

static void urgent_work_takes_its_accounts_own_cells(void **state)
{
	struct sched *s = sched_of(2);
	uint32_t batch, urgent;

	(void)state;
	bind(s, 0, CELL_UPSTREAM, 2);
	batch = add(s, 0, 2, 8, CLASS_BATCH, 0);
	decide(s, 1);
	urgent = add(s, 0, 1, 8, CLASS_URGENT, 2);
	assert_int_equal(decide(s, 3), 1);
	assert_int_equal(state_of(s, batch), JOB_EVICTING);
	requeue_evicted(s);
	decide(s, 4);
	assert_int_equal(state_of(s, urgent), JOB_PLACED);
	assert_int_equal(state_of(s, batch), JOB_WAITING);
	sched_destroy(s);
}

static void a_waiting_gang_holds_back_small_work(void **state)
{
	struct sched *s = sched_of(2);
	uint32_t first[16], gang;

	(void)state;
	for (int i = 0; i < 16; i++)
		first[i] = add(s, 0, 1, 1, CLASS_BATCH, i);
	decide(s, 20);
	gang = add(s, 1, 2, 8, CLASS_BATCH, 30);
	for (int i = 0; i < 40; i++)
		add(s, 2, 1, 1, CLASS_BATCH, 31 + i);
	decide(s, 40);
	assert_int_equal(state_of(s, gang), JOB_WAITING);
	decide(s, 1040);
	assert_int_equal(state_of(s, gang), JOB_CLAIMING);
	for (int i = 0; i < 16; i++) {
		sched_remove(s, first[i]);
		decide(s, 1050 + i);
	}
	assert_int_equal(state_of(s, gang), JOB_PLACED);
	sched_destroy(s);
}

static void held_room_yields_to_a_guarantee(void **state)
{
	struct sched *s = sched_of(2);
	uint32_t small, gang, claim;

	(void)state;
	bind(s, 1, CELL_UPSTREAM, 1);
	small = add(s, 0, 1, 1, CLASS_BATCH, 0);
	decide(s, 1);
	gang = add(s, 0, 2, 8, CLASS_BATCH, 2);
	decide(s, 2000);
	assert_int_equal(state_of(s, gang), JOB_CLAIMING);
	claim = add(s, 1, 1, 8, CLASS_BATCH, 2001);
	decide(s, 2002);
	if (state_of(s, claim) == JOB_CLAIMING) {
		requeue_evicted(s);
		decide(s, 2003);
	}
	assert_int_equal(state_of(s, claim), JOB_PLACED);
	assert_int_not_equal(state_of(s, gang), JOB_PLACED);
	(void)small;
	sched_destroy(s);
}

static void headroom_is_kept_from_borrowers(void **state)
{
	struct sched *s = sched_of(2);
	uint32_t urgent;

	(void)state;
	bind(s, 1, CELL_UPSTREAM, 2);
	sched_set_headroom(s, 1, 2);
	for (int i = 0; i < 20; i++)
		add(s, 0, 1, 1, CLASS_BATCH, i);
	decide(s, 30);
	assert_int_equal(sched_waiting(s, 0), 6); /* 14 of 16 are lent */
	urgent = add(s, 1, 1, 1, CLASS_URGENT, 31);
	assert_int_equal(decide(s, 32), 0);
	assert_int_equal(state_of(s, urgent), JOB_PLACED);
	sched_destroy(s);
}

static void quiet_work_makes_room_for_a_gang(void **state)
{
	struct sched *s = sched_of(2);
	uint32_t gang;

	(void)state;
	for (int i = 0; i < 16; i++)
		add(s, 0, 1, 1, CLASS_QUIET, i);
	decide(s, 20);
	gang = add(s, 1, 2, 8, CLASS_BATCH, 21);
	assert_int_equal(decide(s, 30), 0);
	assert_int_equal(decide(s, 1030), 16); /* it has waited */
	requeue_evicted(s);
	decide(s, 1031);
	assert_int_equal(state_of(s, gang), JOB_PLACED);
	sched_destroy(s);
}

static void the_cheapest_work_is_evicted(void **state)
{
	struct sched *s = sched_of(2);
	uint32_t gang, claim;

	(void)state;
	bind(s, 1, CELL_UPSTREAM, 2);
	gang = add(s, 0, 3, 4, CLASS_BATCH, 0);
	add(s, 0, 1, 4, CLASS_BATCH, 1);
	decide(s, 2);
	claim = add(s, 1, 1, 4, CLASS_BATCH, 3);
	assert_int_equal(decide(s, 4), 1);
	assert_int_equal(state_of(s, claim), JOB_CLAIMING);
	assert_int_equal(state_of(s, gang), JOB_PLACED);
	sched_destroy(s);
}

static void borrowers_take_turns_by_service(void **state)
{
	struct sched *s = sched_of(1);
	uint32_t a, b;

	(void)state;
	a = add(s, 0, 1, 8, CLASS_BATCH, 0);
	decide(s, 1);
	decide(s, 60000); /* account 0 has had a minute of service */
	add(s, 0, 1, 8, CLASS_BATCH, 60001);
	b = add(s, 1, 1, 8, CLASS_BATCH, 60002);
	sched_remove(s, a);
	decide(s, 60003);
	assert_int_equal(state_of(s, b), JOB_PLACED);
	sched_destroy(s);
}

static void quick_slots_are_kept(void **state)
{
	struct sched *s = sched_of(1);
	uint32_t placed = 0;

	(void)state;
	for (int i = 0; i < 20; i++)
		add(s, 0, 1, 0, CLASS_BATCH, i);
	decide(s, 30);
	for (uint32_t i = 0; i < 20; i++)
		placed += state_of(s, i) == JOB_PLACED;
	assert_int_equal(placed, 8);
	sched_destroy(s);
}

static void what_never_fits_is_refused(void **state)
{
	struct sched *s = sched_of(2);
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

static void one_bad_job_does_not_quarantine(void **state)
{
	struct health h = {0};

	(void)state;
	for (int i = 0; i < 10; i++)
		assert_false(health_failed(&h, 1, i));
	assert_true(health_may_use(&h, 20));
	assert_false(health_failed(&h, 2, 21));
	assert_true(health_failed(&h, 3, 22));
	assert_false(health_may_use(&h, 23));
	assert_true(health_may_use(&h, 5000)); /* one probe */
	assert_false(health_may_use(&h, 5001));
	health_succeeded(&h);
	assert_true(health_may_use(&h, 5002));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(cells_are_picked_next_to_used_ones),
		cmocka_unit_test(guarantees_cannot_collide),
		cmocka_unit_test(a_gang_stays_in_one_rack),
		cmocka_unit_test(small_work_packs),
		cmocka_unit_test(a_guarantee_is_reclaimed_from_borrowers),
		cmocka_unit_test(urgent_work_takes_its_accounts_own_cells),
		cmocka_unit_test(a_waiting_gang_holds_back_small_work),
		cmocka_unit_test(held_room_yields_to_a_guarantee),
		cmocka_unit_test(headroom_is_kept_from_borrowers),
		cmocka_unit_test(quiet_work_makes_room_for_a_gang),
		cmocka_unit_test(the_cheapest_work_is_evicted),
		cmocka_unit_test(borrowers_take_turns_by_service),
		cmocka_unit_test(quick_slots_are_kept),
		cmocka_unit_test(what_never_fits_is_refused),
		cmocka_unit_test(one_bad_job_does_not_quarantine),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
