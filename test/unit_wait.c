/*
 * Tests that a ready stage does not wait without bound while most of its
 * service is free.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>

#include "sched/dispatch.h"
#include "sched/reach.h"

#define STOP_MS 900
#define RACK_SIZE 8
#define PASS_INTERVAL_MS 100
/* An accepted job must have something running within this time. */
#define IDLE_SITE_WAIT_MAX_MS 2500

/* A site of racks of eight upstreams with eight accelerators each. */
struct site {
	struct fleet *fleet;
	struct estimator *estimator;
	GPtrArray *jobs;
	uint64_t now_ms;
	uint32_t number;
	uint32_t waits; /* reasons to wait that were reported */
};

static void site_create(struct site *s, uint32_t upstreams)
{
	*s = (struct site){.fleet = fleet_create(),
			   .estimator = estimator_create(),
			   .jobs = g_ptr_array_new(),
			   .now_ms = 1000000};
	for (uint32_t i = 0; i < upstreams; i++) {
		char id[16], rack[16];
		struct upstream *u;

		snprintf(id, sizeof(id), "u%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / RACK_SIZE);
		u = fleet_add_upstream(s->fleet, id);
		upstream_describe(u, "s", "d", "a", rack);
		u->resources = (struct resources){32000, 65536, 8};
		u->synced = true;
	}
}

static void site_destroy(struct site *s)
{
	for (guint i = 0; i < s->jobs->len; i++) {
		struct job *j = g_ptr_array_index(s->jobs, i);

		for (uint32_t t = 0; t < j->steps[0].count; t++)
			if (j->stages[0].tasks[t].at)
				fleet_release(&j->stages[0].tasks[t]);
		job_destroy(j);
	}
	g_ptr_array_free(s->jobs, TRUE);
	estimator_destroy(s->estimator);
	fleet_destroy(s->fleet);
}

static struct upstream *upstream_at(const struct site *s, guint i)
{
	return g_ptr_array_index(s->fleet->list, i);
}

/* Add a job of the second priority whose tasks take a whole upstream each. */
static struct job *add_job(struct site *s, uint32_t count, bool gang)
{
	char id[JOB_ID_BYTES];
	struct job *j;
	struct step *step;

	snprintf(id, sizeof(id), "%016x", ++s->number);
	j = job_create(id);
	text_set(&j->account, "account");
	text_set(&j->queue, "q");
	job_set_service(j, "s");
	j->queue_known = true;
	j->priority = 1;
	j->max_attempts = 9;
	j->slack_factor = 3;
	j->since_ms = s->now_ms;
	step = job_add_step(j);
	step->count = count;
	step->need = (struct resources){2000, 4000, 8};
	step->estimate_ms = 60000;
	step->gang = gang;
	step->rack_sensitive = gang;
	job_create_stages(j);
	g_ptr_array_add(s->jobs, j);
	estimator_record_job(s->estimator, j);
	return j;
}

static void require_label(struct job *j, const char *label)
{
	text_set(&j->steps[0].label, label);
}

/* Place a job of one task on this upstream, where it runs on. */
static void occupy(struct site *s, guint index)
{
	struct job *j = add_job(s, 1, false);

	task_place(&j->stages[0].tasks[0], upstream_at(s, index), 1, s->now_ms);
	task_confirm(&j->stages[0].tasks[0], s->now_ms);
}

static bool is_running(const struct job *j)
{
	return !stage_waiting_count(&j->stages[0]);
}

/* Run one pass and confirm its starts. */
static void run_pass(struct site *s)
{
	struct dispatch_input v = {.jobs = s->jobs,
				   .fleet = s->fleet,
				   .now_ms = s->now_ms,
				   .estimator = s->estimator,
				   .checkpoint_ms = 2000,
				   .stop_ms = STOP_MS,
				   .reclaim_ms = 3400,
				   .lease_ms = 10000};
	GArray *actions = dispatch(&v);

	for (guint i = 0; i < actions->len; i++) {
		struct action *a = &g_array_index(actions, struct action, i);

		if (a->tag == ACTION_START)
			task_confirm(a->task, s->now_ms);
		s->waits += a->tag == ACTION_WAIT;
	}
	g_array_unref(actions);
}

/* Run passes until j runs; returns how long that took, at most max_ms. */
static uint64_t wait_until_running(struct site *s, const struct job *j,
				   uint64_t max_ms)
{
	uint64_t start_ms = s->now_ms;

	for (run_pass(s); !is_running(j) && s->now_ms < start_ms + max_ms;
	     run_pass(s))
		s->now_ms += PASS_INTERVAL_MS;
	return s->now_ms - start_ms;
}

/*
 * One upstream of each rack runs other work of the same rank, so a gang of
 * eight fits on no rack, but twice over on the site. Guards against a gang
 * that waits for a rack on an idle site until that work ends.
 */
static void test_gang_spans_racks_of_idle_site(void **state)
{
	struct site s;
	struct job *gang;

	(void)state;
	site_create(&s, 3 * RACK_SIZE);
	for (uint32_t r = 0; r < 3; r++)
		occupy(&s, r * RACK_SIZE);
	gang = add_job(&s, RACK_SIZE, true);
	assert_in_range(wait_until_running(&s, gang, 10000), 500,
			IDLE_SITE_WAIT_MAX_MS);
	site_destroy(&s);
}

/*
 * Work with much memory takes most of the site's memory and little else. Guards
 * against a gang that waits for a rack beside idle processors.
 */
static void test_memory_in_use_does_not_make_site_busy(void **state)
{
	struct site s;
	struct job *gang;

	(void)state;
	site_create(&s, 4 * RACK_SIZE);
	for (uint32_t r = 0; r < 4; r++)
		occupy(&s, r * RACK_SIZE);
	for (uint32_t i = 0; i < 4 * RACK_SIZE; i++)
		upstream_at(&s, i)->used.memory_mb += 40000;
	gang = add_job(&s, RACK_SIZE, true);
	assert_in_range(wait_until_running(&s, gang, 10000), 500,
			IDLE_SITE_WAIT_MAX_MS);
	site_destroy(&s);
}

/*
 * Half of the site has crashed with its runs, and most of the rest is free.
 * Guards against a gang that waits for a rack, as what crashed counts as use.
 */
static void test_runs_on_silent_upstreams_do_not_make_site_busy(void **state)
{
	struct site s;
	struct job *gang;

	(void)state;
	site_create(&s, 3 * RACK_SIZE);
	for (uint32_t i = 0; i < 3 * RACK_SIZE; i++) {
		if (i % RACK_SIZE > 4)
			continue;
		occupy(&s, i);
		if (i % RACK_SIZE == 4)
			continue;
		reach_record_silence(upstream_at(&s, i));
		upstream_avoid_for(upstream_at(&s, i), 60000, s.now_ms);
	}
	gang = add_job(&s, 4, true);
	assert_in_range(wait_until_running(&s, gang, 10000), 500,
			IDLE_SITE_WAIT_MAX_MS);
	site_destroy(&s);
}

/* On a site that is mostly in use, a gang goes on waiting for a rack. */
static void test_gang_waits_for_rack_of_busy_site(void **state)
{
	struct site s;
	struct job *gang;

	(void)state;
	site_create(&s, 3 * RACK_SIZE);
	for (uint32_t i = 0; i < 3 * RACK_SIZE; i++)
		if (i % 3)
			occupy(&s, i);
	gang = add_job(&s, 4, true);
	wait_until_running(&s, gang, 10000);
	assert_false(is_running(gang));
	site_destroy(&s);
}

/* A rack that becomes free in time is preferred to spanning racks. */
static void test_gang_takes_rack_that_becomes_free(void **state)
{
	struct site s;
	struct job *gang, *blocker;

	(void)state;
	site_create(&s, 3 * RACK_SIZE);
	for (uint32_t r = 0; r < 3; r++)
		occupy(&s, r * RACK_SIZE);
	blocker = g_ptr_array_index(s.jobs, 1);
	gang = add_job(&s, RACK_SIZE, true);
	wait_until_running(&s, gang, 500);
	assert_false(is_running(gang));
	task_end_run(&blocker->stages[0].tasks[0], RUN_DONE, NULL, s.now_ms);
	job_update_completion(blocker, s.now_ms);
	run_pass(&s);
	for (uint32_t i = 0; i < RACK_SIZE; i++)
		assert_string_equal(gang->stages[0].tasks[i].at->rack, "r1");
	site_destroy(&s);
}

/* Fail the run of a task where it is placed. */
static void fail_task(struct site *s, struct task *t)
{
	task_end_run(t, RUN_FAILED, NULL, s->now_ms);
}

/*
 * Each upstream that has the label has failed a task of the stage. Guards
 * against a stage that is excluded from all upstreams for ever.
 */
static void test_stage_that_failed_on_every_upstream_runs_again(void **state)
{
	struct site s;
	struct job *j;

	(void)state;
	site_create(&s, 3 * RACK_SIZE);
	j = add_job(&s, RACK_SIZE, false);
	require_label(j, "r1");
	run_pass(&s);
	assert_true(is_running(j));
	for (uint32_t i = 0; i < RACK_SIZE; i++)
		fail_task(&s, &j->stages[0].tasks[i]);
	assert_in_range(wait_until_running(&s, j, 10000), 0,
			IDLE_SITE_WAIT_MAX_MS);
	site_destroy(&s);
}

/* On a site in use, a failed task waits for an upstream that could hold it. */
static void test_failed_task_avoids_upstream_where_it_failed(void **state)
{
	struct upstream *failed_on;
	struct site s;
	struct job *j;

	(void)state;
	site_create(&s, 3);
	occupy(&s, 0);
	occupy(&s, 1);
	j = add_job(&s, 1, false);
	run_pass(&s);
	failed_on = j->stages[0].tasks[0].at;
	fail_task(&s, &j->stages[0].tasks[0]);
	wait_until_running(&s, j, 10000);
	assert_false(is_running(j));
	assert_ptr_equal(failed_on, upstream_at(&s, 2));
	site_destroy(&s);
}

/*
 * The other upstreams with the label run work for long. Guards against a stage
 * that waits for these for ever beside one where it failed.
 */
static void test_failed_task_returns_if_the_others_stay_in_use(void **state)
{
	struct site s;
	struct job *j;

	(void)state;
	site_create(&s, 2 * RACK_SIZE);
	for (uint32_t i = 1; i < RACK_SIZE; i++)
		occupy(&s, i);
	j = add_job(&s, 1, false);
	require_label(j, "r0");
	run_pass(&s);
	assert_true(is_running(j));
	fail_task(&s, &j->stages[0].tasks[0]);
	assert_in_range(wait_until_running(&s, j, 10000), 500,
			IDLE_SITE_WAIT_MAX_MS);
	site_destroy(&s);
}

/* Let several hopeless jobs fail on this upstream, one after the other. */
static void fail_jobs_on(struct site *s, struct upstream *u)
{
	static const struct job hopeless[6];

	for (size_t i = 0; i < G_N_ELEMENTS(hopeless); i++)
		upstream_record_failure(u, &hopeless[i], s->now_ms);
}

/*
 * Hopeless jobs have failed on every upstream. Guards against a backoff of the
 * whole site, in which sound work waits for what others have done.
 */
static void test_hopeless_jobs_do_not_hold_up_sound_work(void **state)
{
	struct site s;
	struct job *j;

	(void)state;
	site_create(&s, 3 * RACK_SIZE);
	for (uint32_t i = 0; i < 3 * RACK_SIZE; i++)
		fail_jobs_on(&s, upstream_at(&s, i));
	j = add_job(&s, 4, false);
	run_pass(&s);
	assert_true(is_running(j));
	site_destroy(&s);
}

/* A few upstreams on which different jobs fail get no new work for a while. */
static void test_failing_upstreams_get_no_new_work(void **state)
{
	struct site s;
	struct job *j;

	(void)state;
	site_create(&s, 3 * RACK_SIZE);
	for (uint32_t i = 0; i < RACK_SIZE; i++)
		fail_jobs_on(&s, upstream_at(&s, i));
	j = add_job(&s, 3 * RACK_SIZE, false);
	run_pass(&s);
	assert_int_equal(stage_waiting_count(&j->stages[0]), RACK_SIZE);
	for (uint32_t i = 0; i < RACK_SIZE; i++)
		assert_int_equal(upstream_at(&s, i)->tasks->len, 0);
	s.now_ms += 12000;
	run_pass(&s);
	assert_true(is_running(j));
	site_destroy(&s);
}

/*
 * A third of the site is in backoff, too few to use them all. Guards against
 * work whose label allows only these, which waits for up to 12 s.
 */
static void test_label_of_failing_upstreams_does_not_hold_up_work(void **state)
{
	struct site s;
	struct job *j, *gang;

	(void)state;
	site_create(&s, 3 * RACK_SIZE);
	for (uint32_t i = 0; i < RACK_SIZE; i++)
		fail_jobs_on(&s, upstream_at(&s, i));
	j = add_job(&s, 1, false);
	require_label(j, "r0");
	gang = add_job(&s, 4, true);
	require_label(gang, "r0");
	assert_in_range(wait_until_running(&s, j, 10000), 500,
			IDLE_SITE_WAIT_MAX_MS);
	assert_in_range(wait_until_running(&s, gang, 10000), 0, 500);
	site_destroy(&s);
}

/* The same for upstreams that are slow. */
static void test_label_of_slow_upstreams_does_not_hold_up_work(void **state)
{
	struct site s;
	struct job *j;

	(void)state;
	site_create(&s, 3 * RACK_SIZE);
	for (uint32_t i = 0; i < RACK_SIZE; i++)
		upstream_at(&s, i)->slow_until_ms = s.now_ms + 60000;
	j = add_job(&s, 1, false);
	require_label(j, "r0");
	assert_in_range(wait_until_running(&s, j, 10000), 500,
			IDLE_SITE_WAIT_MAX_MS);
	site_destroy(&s);
}

/* Add a job of the third priority that takes one accelerator. */
static struct job *add_small_job(struct site *s)
{
	struct job *j = add_job(s, 1, false);

	j->priority = 2;
	j->steps[0].need = (struct resources){1000, 1000, 1};
	return j;
}

/*
 * A gang reserves the whole site until the small runs of a lower rank end.
 * Guards against other work that waits with it on an idle site.
 */
static void test_reservation_of_idle_site_does_not_hold_up_work(void **state)
{
	struct job *gang, *small;
	struct site s;

	(void)state;
	site_create(&s, 2 * RACK_SIZE);
	for (uint32_t i = 0; i < 2 * RACK_SIZE; i++) {
		small = add_small_job(&s);
		task_place(&small->stages[0].tasks[0], upstream_at(&s, i), 1,
			   s.now_ms);
		task_confirm(&small->stages[0].tasks[0], s.now_ms);
	}
	gang = add_job(&s, 2 * RACK_SIZE, true);
	wait_until_running(&s, gang, 1000);
	small = add_small_job(&s);
	assert_in_range(wait_until_running(&s, small, 10000), 500,
			IDLE_SITE_WAIT_MAX_MS);
	assert_false(is_running(gang));
	site_destroy(&s);
}

/*
 * The only upstream with the label that has room hosts one suspect after the
 * other. Guards against work that waits for as long as these come.
 */
static void test_suspects_on_labelled_upstream_do_not_hold_up_work(void **state)
{
	struct job *suspect, *j;
	struct site s;

	(void)state;
	site_create(&s, 2 * RACK_SIZE);
	for (uint32_t i = 1; i < RACK_SIZE; i++)
		occupy(&s, i);
	suspect = add_small_job(&s);
	suspect->stages[0].tasks[0].suspicion.early_ends = 1;
	/* a run that is not confirmed has not proved itself */
	task_place(&suspect->stages[0].tasks[0], upstream_at(&s, 0), 1,
		   s.now_ms);
	j = add_small_job(&s);
	require_label(j, "r0");
	assert_in_range(wait_until_running(&s, j, 10000), 1600,
			IDLE_SITE_WAIT_MAX_MS);
	site_destroy(&s);
}

/*
 * Let the upstream refuse the member of the gang that it was given, for lack
 * of room, and stop the rest of the gang. Returns false if it has no member.
 */
static bool refuse_member(struct site *s, struct job *gang, struct upstream *u)
{
	struct stage *st = &gang->stages[0];
	bool refused = false;

	for (uint32_t i = 0; i < st->step->count; i++)
		refused |= st->tasks[i].at == u;
	if (!refused)
		return false;
	upstream_record_full(u, s->now_ms);
	s->now_ms += STOP_MS;
	for (uint32_t i = 0; i < st->step->count; i++)
		task_end_run(&st->tasks[i],
			     st->tasks[i].at == u ? RUN_NEVER_STARTED
						  : RUN_STOPPED,
			     NULL, s->now_ms);
	return true;
}

/*
 * An upstream has less room than it lists and refuses one member of a gang.
 * Guards against a gang that is given to the same upstreams for ever, as the
 * pause after a refusal has passed when the other members have stopped.
 */
static void test_gang_leaves_upstream_that_refuses_a_member(void **state)
{
	struct upstream *full;
	uint64_t start_ms;
	struct job *gang;
	struct site s;

	(void)state;
	site_create(&s, 2 * RACK_SIZE);
	gang = add_job(&s, 4, true);
	run_pass(&s);
	full = gang->stages[0].tasks[0].at;
	start_ms = s.now_ms;
	while (refuse_member(&s, gang, full) && s.now_ms < start_ms + 10000)
		run_pass(&s);
	assert_in_range(s.now_ms - start_ms, 0, IDLE_SITE_WAIT_MAX_MS);
	assert_true(is_running(gang));
	site_destroy(&s);
}

/* A full upstream is tried again soon after one refusal, or once it starts. */
static void test_upstream_that_was_full_is_tried_again(void **state)
{
	struct upstream *u;
	struct site s;
	struct job *j;

	(void)state;
	site_create(&s, 1);
	u = upstream_at(&s, 0);
	j = add_job(&s, 1, false);
	upstream_record_full(u, s.now_ms);
	run_pass(&s);
	assert_false(is_running(j));
	s.now_ms += PASS_INTERVAL_MS;
	run_pass(&s);
	assert_true(is_running(j));
	task_end_run(&j->stages[0].tasks[0], RUN_NEVER_STARTED, NULL, s.now_ms);
	upstream_clear_refusals(u);
	upstream_record_full(u, s.now_ms);
	s.now_ms += PASS_INTERVAL_MS;
	run_pass(&s);
	assert_true(is_running(j));
	site_destroy(&s);
}

/*
 * Several starts that were sent together are refused. Guards against a pause of
 * seconds after the first refusal.
 */
static void test_refusals_of_one_pass_count_once(void **state)
{
	struct upstream *u;
	struct site s;
	struct job *j;

	(void)state;
	site_create(&s, 1);
	u = upstream_at(&s, 0);
	j = add_job(&s, 1, false);
	for (uint32_t i = 0; i < 4; i++)
		upstream_record_full(u, s.now_ms + i);
	s.now_ms += PASS_INTERVAL_MS + 4;
	run_pass(&s);
	assert_true(is_running(j));
	site_destroy(&s);
}

/*
 * Long-running work holds half of each upstream, and a gang of whole upstreams
 * waits. Guards against other work that waits for ever for the room that the
 * gang reserves beside work that never ends.
 */
static void test_gang_reserves_nothing_beside_long_running_work(void **state)
{
	struct job *lasting, *gang, *other;
	struct site s;

	(void)state;
	site_create(&s, RACK_SIZE);
	lasting = add_job(&s, RACK_SIZE, false);
	lasting->steps[0].need.accelerators = 4;
	lasting->steps[0].long_running = true;
	lasting->steps[0].max_tasks_per_upstream = 1;
	lasting->priority = 2;
	run_pass(&s);
	assert_true(is_running(lasting));
	gang = add_job(&s, RACK_SIZE, true);
	wait_until_running(&s, gang, 1000);
	other = add_job(&s, 2, false);
	other->steps[0].need.accelerators = 4;
	other->priority = 2;
	assert_in_range(wait_until_running(&s, other, 10000), 0,
			IDLE_SITE_WAIT_MAX_MS);
	assert_false(is_running(gang));
	site_destroy(&s);
}

/* No upstream has the label: that is reported, once. */
static void test_stage_without_upstream_is_reported_once(void **state)
{
	struct site s;
	struct job *j;

	(void)state;
	site_create(&s, RACK_SIZE);
	j = add_job(&s, 1, false);
	require_label(j, "b");
	wait_until_running(&s, j, 1000);
	s.waits = 0;
	wait_until_running(&s, j, 5000);
	assert_int_equal(j->stages[0].wait_reason, WAIT_NO_UPSTREAM);
	assert_int_equal(s.waits, 1);
	site_destroy(&s);
}

/* All upstreams are silent: that is reported, once, until one is back. */
static void test_stage_on_avoided_upstreams_is_reported_once(void **state)
{
	struct site s;
	struct job *j;

	(void)state;
	site_create(&s, RACK_SIZE);
	for (uint32_t i = 0; i < RACK_SIZE; i++)
		upstream_avoid_for(upstream_at(&s, i), 60000, s.now_ms);
	j = add_job(&s, 1, false);
	wait_until_running(&s, j, 1000);
	s.waits = 0;
	wait_until_running(&s, j, 5000);
	assert_int_equal(j->stages[0].wait_reason, WAIT_AVOIDED);
	assert_int_equal(s.waits, 1);
	upstream_at(&s, 3)->avoid_until_ms = 0;
	run_pass(&s);
	assert_true(is_running(j));
	assert_int_equal(j->stages[0].wait_reason, WAIT_NONE);
	site_destroy(&s);
}

/* What waits for the work that runs is not explained otherwise. */
static void test_stage_on_full_site_waits_for_resources(void **state)
{
	struct site s;
	struct job *j;

	(void)state;
	site_create(&s, RACK_SIZE);
	for (uint32_t i = 0; i < RACK_SIZE; i++)
		occupy(&s, i);
	j = add_job(&s, 1, false);
	wait_until_running(&s, j, 5000);
	assert_int_equal(j->stages[0].wait_reason, WAIT_NOT_URGENT);
	site_destroy(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_gang_spans_racks_of_idle_site),
		cmocka_unit_test(test_memory_in_use_does_not_make_site_busy),
		cmocka_unit_test(
			test_runs_on_silent_upstreams_do_not_make_site_busy),
		cmocka_unit_test(test_gang_waits_for_rack_of_busy_site),
		cmocka_unit_test(test_gang_takes_rack_that_becomes_free),
		cmocka_unit_test(
			test_stage_that_failed_on_every_upstream_runs_again),
		cmocka_unit_test(
			test_failed_task_avoids_upstream_where_it_failed),
		cmocka_unit_test(
			test_failed_task_returns_if_the_others_stay_in_use),
		cmocka_unit_test(test_hopeless_jobs_do_not_hold_up_sound_work),
		cmocka_unit_test(test_failing_upstreams_get_no_new_work),
		cmocka_unit_test(
			test_label_of_failing_upstreams_does_not_hold_up_work),
		cmocka_unit_test(
			test_label_of_slow_upstreams_does_not_hold_up_work),
		cmocka_unit_test(
			test_reservation_of_idle_site_does_not_hold_up_work),
		cmocka_unit_test(
			test_suspects_on_labelled_upstream_do_not_hold_up_work),
		cmocka_unit_test(
			test_gang_leaves_upstream_that_refuses_a_member),
		cmocka_unit_test(test_upstream_that_was_full_is_tried_again),
		cmocka_unit_test(test_refusals_of_one_pass_count_once),
		cmocka_unit_test(
			test_gang_reserves_nothing_beside_long_running_work),
		cmocka_unit_test(test_stage_without_upstream_is_reported_once),
		cmocka_unit_test(
			test_stage_on_avoided_upstreams_is_reported_once),
		cmocka_unit_test(test_stage_on_full_site_waits_for_resources),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
