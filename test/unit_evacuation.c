/*
 * Tests of the evacuation of failure domains: the set and the time that it
 * leaves, and placement while a domain is out.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "sched/dispatch.h"
#include "sched/evacuation.h"
#include "sched/pack.h"

#define STOP_MS 200
#define RECLAIM_MS 2700
#define RACK_SIZE 4
#define PASS_INTERVAL_MS 100
#define LEASE_MS 3000
#define DOMAINS 2
#define RUN_MS 60000
/* Time in which any fallback has been tried. */
#define SETTLED_MS 6000

/*
 * A site of two failure domains, d0 and d1, each with racks of four upstreams
 * with eight accelerators each.
 */
struct site {
	struct fleet *fleet;
	struct evacuation *evacuation;
	struct estimator *estimator;
	GPtrArray *jobs;
	struct account_guarantee guarantee;
	uint64_t now_ms;
	uint32_t number;
	uint32_t stops;
	enum wait_reason wait; /* the last one that was reported */
};

static void site_create(struct site *s, uint32_t racks_per_domain)
{
	*s = (struct site){.fleet = fleet_create(),
			   .evacuation = evacuation_create(),
			   .estimator = estimator_create(),
			   .jobs = g_ptr_array_new(),
			   .guarantee = {"account", 64},
			   .now_ms = 1000000};
	for (uint32_t i = 0; i < DOMAINS * racks_per_domain * RACK_SIZE; i++) {
		char id[16], rack[16], domain[16];
		struct upstream *u;
		uint32_t r = i / RACK_SIZE;

		snprintf(id, sizeof(id), "u%u", i);
		snprintf(rack, sizeof(rack), "r%u", r);
		snprintf(domain, sizeof(domain), "d%u", r / racks_per_domain);
		u = fleet_add_upstream(s->fleet, id);
		upstream_describe(u, "s", domain, "a", rack);
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
	evacuation_destroy(s->evacuation);
	fleet_destroy(s->fleet);
}

static struct upstream *upstream_at(const struct site *s, guint i)
{
	return g_ptr_array_index(s->fleet->list, i);
}

static void set_evacuated(struct site *s, const char *domain, bool evacuated)
{
	evacuation_set(s->evacuation, domain, evacuated);
	evacuation_mark(s->evacuation, s->fleet, true);
}

/* Add a job whose tasks take a whole upstream each. */
static struct job *add_job(struct site *s, uint32_t priority, uint32_t count,
			   bool gang)
{
	char id[JOB_ID_BYTES];
	struct job *j;
	struct step *step;

	snprintf(id, sizeof(id), "%016x", ++s->number);
	j = job_create(id);
	text_set(&j->account, "account");
	text_set_format(&j->queue, "q%u", priority);
	job_set_service(j, "s");
	j->queue_known = true;
	j->priority = priority;
	j->max_attempts = 9;
	j->slack_factor = 3;
	j->since_ms = s->now_ms;
	step = job_add_step(j);
	step->count = count;
	step->need = (struct resources){2000, 4000, 8};
	step->estimate_ms = RUN_MS;
	step->gang = gang;
	step->rack_sensitive = gang;
	job_create_stages(j);
	g_ptr_array_add(s->jobs, j);
	estimator_record_job(s->estimator, j);
	return j;
}

/* Run one pass, confirm its starts and end the runs that it stops. */
static void run_pass(struct site *s)
{
	struct dispatch_input v = {.jobs = s->jobs,
				   .fleet = s->fleet,
				   .guarantees = &s->guarantee,
				   .guarantees_len = 1,
				   .now_ms = s->now_ms,
				   .estimator = s->estimator,
				   .checkpoint_ms = 1000,
				   .stop_ms = STOP_MS,
				   .reclaim_ms = RECLAIM_MS,
				   .lease_ms = LEASE_MS};
	GArray *actions = dispatch(&v);

	for (guint i = 0; i < actions->len; i++) {
		struct action *a = &g_array_index(actions, struct action, i);

		switch (a->tag) {
		case ACTION_START:
			task_confirm(a->task, s->now_ms);
			break;
		case ACTION_STOP:
			s->stops++;
			task_end_run(a->task, RUN_STOPPED, NULL, s->now_ms);
			break;
		case ACTION_WAIT:
			s->wait = a->u.wait;
			break;
		}
	}
	g_array_unref(actions);
}

static void run_passes(struct site *s, uint64_t ms)
{
	for (uint64_t end_ms = s->now_ms + ms; s->now_ms < end_ms;
	     s->now_ms += PASS_INTERVAL_MS)
		run_pass(s);
}

static uint32_t count_running(const struct job *j)
{
	return j->steps[0].count - stage_waiting_count(&j->stages[0]);
}

/* Return how many runs there are in a domain. */
static uint32_t count_in_domain(const struct site *s, const char *domain)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->fleet->list->len; i++)
		if (!strcmp(upstream_at(s, i)->domain, domain))
			n += upstream_at(s, i)->tasks->len;
	return n;
}

/* Return how many runs there are on cold upstreams. */
static uint32_t count_on_cold(const struct site *s)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->fleet->list->len; i++)
		if (upstream_is_cold(upstream_at(s, i), s->now_ms))
			n += upstream_at(s, i)->tasks->len;
	return n;
}

/* Make the upstreams from one index to before another cold for an hour. */
static void make_cold(struct site *s, guint from, guint to)
{
	for (guint i = from; i < to; i++)
		upstream_at(s, i)->cold_until_ms = s->now_ms + 3600000;
}

/* Guards against a row that is written again, which would count twice. */
static void test_set_follows_rows(void **state)
{
	struct evacuation *e = evacuation_create();

	(void)state;
	assert_false(evacuation_set(e, "d0", false));
	assert_true(evacuation_set(e, "d0", true));
	assert_false(evacuation_set(e, "d0", true));
	assert_true(evacuation_includes(e, "d0"));
	assert_false(evacuation_includes(e, "d"));
	assert_int_equal(evacuation_count(e), 1);
	assert_true(evacuation_set(e, "d0", false));
	assert_int_equal(evacuation_count(e), 0);
	evacuation_destroy(e);
}

/*
 * Guards against starts after the bound: of a copy that lacks the row, by an
 * order that is delayed until its lease ends.
 */
static void test_age_and_lease_keep_the_bound(void **state)
{
	(void)state;
	for (uint32_t lease = 500; lease <= 10000; lease += 500)
		for (uint32_t bound = 2700; bound <= 20000; bound += 100)
			assert_true(evacuation_age_max_ms(bound, lease) +
					    evacuation_start_lease_ms(bound,
								      lease) <
				    bound);
	assert_int_equal(evacuation_start_lease_ms(5000, 3000), 2500);
	assert_int_equal(evacuation_age_max_ms(5000, 3000), 2300);
	assert_int_equal(evacuation_start_lease_ms(0, 3000), 3000);
	/* a bound that cannot be kept must not stop the service */
	assert_true(evacuation_start_lease_ms(1, 3000) >= 1000);
	assert_true(evacuation_age_max_ms(1, 3000) >= 1500);
}

/* Guards against marks that stay when the setting is taken away. */
static void test_marks_follow_the_setting(void **state)
{
	struct site s;

	(void)state;
	site_create(&s, 1);
	evacuation_set(s.evacuation, "d1", true);
	evacuation_mark(s.evacuation, s.fleet, true);
	assert_false(upstream_at(&s, 0)->evacuated);
	assert_true(upstream_at(&s, RACK_SIZE)->evacuated);
	assert_false(upstream_is_usable(upstream_at(&s, RACK_SIZE), s.now_ms));
	evacuation_mark(s.evacuation, s.fleet, false);
	assert_false(upstream_at(&s, RACK_SIZE)->evacuated);
	site_destroy(&s);
}

/*
 * More work than the rest holds, of all priorities. Guards against starts by
 * any of the ways of placement, and against a domain that stays unused.
 */
static void test_nothing_starts_in_evacuated_domain(void **state)
{
	struct site s;

	(void)state;
	site_create(&s, 2);
	set_evacuated(&s, "d1", true);
	for (uint32_t priority = 0; priority < 3; priority++) {
		add_job(&s, priority, 6, false);
		add_job(&s, priority, 2, true);
	}
	run_passes(&s, SETTLED_MS);
	assert_int_equal(count_in_domain(&s, "d1"), 0);
	assert_int_equal(count_in_domain(&s, "d0"), 2 * RACK_SIZE);
	set_evacuated(&s, "d1", false);
	run_pass(&s);
	assert_int_equal(count_in_domain(&s, "d1"), 2 * RACK_SIZE);
	site_destroy(&s);
}

/*
 * Guards against preemption in an evacuated domain, which frees what nothing may
 * use, and against a guarantee that is missed on the rest.
 */
static void test_guarantee_is_met_on_the_rest(void **state)
{
	struct site s;
	struct job *urgent;

	(void)state;
	site_create(&s, 1);
	add_job(&s, 2, 2 * RACK_SIZE, false);
	run_pass(&s);
	assert_int_equal(count_in_domain(&s, "d1"), RACK_SIZE);
	set_evacuated(&s, "d1", true);
	urgent = add_job(&s, 0, 2, true);
	run_passes(&s, RECLAIM_MS);
	assert_int_equal(count_running(urgent), 2);
	assert_int_equal(s.stops, 2);
	assert_int_equal(count_in_domain(&s, "d1"), RACK_SIZE);
	assert_int_equal(count_in_domain(&s, "d0"), RACK_SIZE);
	site_destroy(&s);
}

/*
 * The only racks that could hold a rack-sensitive gang are in the domain.
 * Guards against a gang that waits for these.
 */
static void test_gang_spans_racks_when_its_racks_are_out(void **state)
{
	struct site s;
	struct job *gang;

	(void)state;
	site_create(&s, 2);
	/* half of each rack of d0 is too small */
	for (guint i = 0; i < 2 * RACK_SIZE; i += 2)
		upstream_at(&s, i)->resources.accelerators = 4;
	set_evacuated(&s, "d1", true);
	gang = add_job(&s, 1, 4, true);
	run_pass(&s);
	assert_int_equal(count_running(gang), 4);
	assert_int_equal(count_in_domain(&s, "d0"), 4);
	site_destroy(&s);
}

/*
 * Guards against a service that counts as mostly free for an evacuated domain:
 * waiting work would then take what is kept for other work.
 */
static void test_evacuated_domain_is_not_free_room(void **state)
{
	struct site s;
	struct pack p;
	GQuark service = g_quark_from_string("s");

	(void)state;
	site_create(&s, 1);
	set_evacuated(&s, "d1", true);
	add_job(&s, 1, 3, false);
	run_pass(&s);
	pack_begin(&p, s.fleet, s.now_ms);
	assert_false(pack_service_is_mostly_free(&p, service));
	pack_end(&p);
	set_evacuated(&s, "d1", false);
	pack_begin(&p, s.fleet, s.now_ms);
	assert_true(pack_service_is_mostly_free(&p, service));
	pack_end(&p);
	site_destroy(&s);
}

/* Guards against a wrong reason, and starts, while every domain is out. */
static void test_all_domains_out(void **state)
{
	struct site s;
	struct job *j;

	(void)state;
	site_create(&s, 1);
	set_evacuated(&s, "d0", true);
	set_evacuated(&s, "d1", true);
	j = add_job(&s, 1, 1, false);
	add_job(&s, 0, 2, true);
	run_passes(&s, SETTLED_MS);
	assert_int_equal(count_running(j), 0);
	assert_int_equal(s.wait, WAIT_EVACUATED);
	set_evacuated(&s, "d0", false);
	run_pass(&s);
	assert_int_equal(count_running(j), 1);
	site_destroy(&s);
}

/* Guards against runs that are stopped because their domain is out. */
static void test_runs_in_evacuated_domain_go_on(void **state)
{
	struct site s;
	struct job *gang, *other;

	(void)state;
	site_create(&s, 1);
	other = add_job(&s, 2, 2, false);
	gang = add_job(&s, 1, RACK_SIZE, true);
	run_pass(&s);
	set_evacuated(&s, "d0", true);
	set_evacuated(&s, "d1", true);
	run_passes(&s, SETTLED_MS);
	assert_int_equal(s.stops, 0);
	assert_int_equal(count_running(gang), RACK_SIZE);
	assert_int_equal(count_running(other), 2);
	site_destroy(&s);
}

/*
 * A member of a gang was not started there. Guards against a gang that holds
 * what it can never use: the others stop at once, and it starts elsewhere.
 */
static void test_gang_that_is_partly_started_is_placed_elsewhere(void **state)
{
	struct site s;
	struct job *gang;

	(void)state;
	site_create(&s, 1);
	set_evacuated(&s, "d1", true);
	gang = add_job(&s, 1, 3, true);
	set_evacuated(&s, "d1", false);
	set_evacuated(&s, "d0", true);
	run_pass(&s);
	assert_int_equal(count_in_domain(&s, "d1"), 3);
	set_evacuated(&s, "d1", true);
	set_evacuated(&s, "d0", false);
	task_end_run(&gang->stages[0].tasks[1], RUN_NEVER_STARTED, NULL,
		     s.now_ms);
	run_pass(&s);
	assert_int_equal(s.stops, 2);
	run_pass(&s);
	assert_int_equal(count_in_domain(&s, "d0"), 3);
	assert_int_equal(count_in_domain(&s, "d1"), 0);
	site_destroy(&s);
}

/* Guards against work on cold upstreams while others are free. */
static void test_cold_upstreams_are_used_last(void **state)
{
	struct site s;
	struct job *j;

	(void)state;
	site_create(&s, 1);
	make_cold(&s, 0, RACK_SIZE);
	add_job(&s, 1, 2, false);
	add_job(&s, 0, 2, true);
	run_pass(&s);
	assert_int_equal(count_on_cold(&s), 0);
	/* urgent work takes them rather than to wait or to preempt */
	j = add_job(&s, 0, 2, false);
	run_pass(&s);
	assert_int_equal(count_running(j), 2);
	assert_int_equal(count_on_cold(&s), 2);
	assert_int_equal(s.stops, 0);
	site_destroy(&s);
}

/* Guards against a gang on a cold rack because that is the tightest one. */
static void test_gang_takes_a_warm_rack(void **state)
{
	struct site s;

	(void)state;
	site_create(&s, 2);
	make_cold(&s, 0, RACK_SIZE);
	/* the cold rack has the fewest free accelerators */
	add_job(&s, 1, RACK_SIZE, true);
	upstream_at(&s, 0)->resources.accelerators = 0;
	add_job(&s, 1, RACK_SIZE - 1, true);
	run_pass(&s);
	assert_int_equal(count_on_cold(&s), 0);
	site_destroy(&s);
}

/*
 * Guards against a cold upstream near the data while warm ones are free, and
 * against data that is left when all upstreams are cold.
 */
static void test_cold_data_rack_is_used_if_all_are_cold(void **state)
{
	struct site s;
	struct job *j;

	(void)state;
	for (uint32_t all = 0; all < 2; all++) {
		site_create(&s, 1);
		make_cold(&s, 0, all ? 2 * RACK_SIZE : RACK_SIZE);
		j = add_job(&s, 1, 2, false);
		text_set(&j->steps[0].data_rack, "r0");
		run_pass(&s);
		assert_int_equal(count_in_domain(&s, all ? "d0" : "d1"), 2);
		site_destroy(&s);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_set_follows_rows),
		cmocka_unit_test(test_age_and_lease_keep_the_bound),
		cmocka_unit_test(test_marks_follow_the_setting),
		cmocka_unit_test(test_nothing_starts_in_evacuated_domain),
		cmocka_unit_test(test_guarantee_is_met_on_the_rest),
		cmocka_unit_test(test_gang_spans_racks_when_its_racks_are_out),
		cmocka_unit_test(test_evacuated_domain_is_not_free_room),
		cmocka_unit_test(test_all_domains_out),
		cmocka_unit_test(test_runs_in_evacuated_domain_go_on),
		cmocka_unit_test(
			test_gang_that_is_partly_started_is_placed_elsewhere),
		cmocka_unit_test(test_cold_upstreams_are_used_last),
		cmocka_unit_test(test_gang_takes_a_warm_rack),
		cmocka_unit_test(test_cold_data_rack_is_used_if_all_are_cold),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
