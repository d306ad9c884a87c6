/*
 * Process tests of what outlasts the tenure of a leader and the leases that it
 * grants: failure domains that are cut off, pauses and outages of the store.
 */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "lead/record.h"
#include "lead/tenure.h"
#include "test/jointsite.h"

/* A cut, a pause or an outage outlasts the tenure and a lease (3 s) by 3 s. */
#define FAULT_MS (TENURE_MS + 6000)
/* Tasks that run on the upstreams of the first leader's domain. */
#define TASK_COUNT 4
/* Run time of tasks that must not end by themselves during a test. */
#define ENDLESS_MS 600000
/* Two heartbeats, in which a leader hears of the rooms of upstreams. */
#define LIST_DELAY_MS 3000
/*
 * Time into a cut at which connections are reset, so that a call of the leader
 * that then starts and gets no answer is in flight when its tenure ends.
 */
#define RESET_MS (TENURE_MS - 400)
/*
 * Delays of both directions of the leader's link to the store, which leave time
 * to pause it while a write is in flight. The timeouts of calls follow the
 * first one before the second one is set.
 */
#define DELAY_MS 50
#define WAKING_DELAY_MS 200
#define DELAY_SETTLES_MS 1500

/* A site whose first leader has a fault. */
struct tenure_case {
	struct joint_site *site;
	uint32_t first;	   /* the first leader */
	uint64_t began_ms; /* when the fault began */
};

/* Sets the room of all upstreams outside the first leader's domain. */
static void set_room_elsewhere(struct tenure_case *c, uint32_t room)
{
	for (uint32_t u = 0; u < UPSTREAM_COUNT; u++)
		if (joint_upstream_domain(c->site, u) != c->first)
			joint_set_room(c->site, u, room);
	joint_run_for(c->site, LIST_DELAY_MS);
}

/* Lets time pass until ms after the fault began. */
static void run_until(struct tenure_case *c, uint64_t ms)
{
	while (clock_mono_ms() < c->began_ms + ms)
		joint_run_for(c->site, 10);
}

static uint32_t other_instance(const struct tenure_case *c, uint32_t n)
{
	return (c->first + n) % INSTANCE_COUNT;
}

/* Submits job n, whose tasks start in the first leader's domain alone. */
static void submit_to_domain(struct tenure_case *c, uint32_t n)
{
	uint32_t before = joint_count_log(c->site, c->first, "start_decided");

	assert_int_equal(joint_submit(c->site, other_instance(c, 1), n,
				      TASK_COUNT, ENDLESS_MS),
			 200);
	joint_wait_log(c->site, c->first, "start_decided",
		       before + TASK_COUNT - 1);
}

/* Starts a site and a job in the domain of its first leader. */
static struct tenure_case start_case(uint32_t net)
{
	struct tenure_case c = {.site = joint_start_divided(net, false)};

	for (uint32_t i = 0; i < INSTANCE_COUNT; i++)
		joint_wait_peers(c.site, i);
	c.first = joint_wait_leader(c.site);
	set_room_elsewhere(&c, 0);
	submit_to_domain(&c, 1);
	joint_wait_count(c.site, "running", TASK_COUNT, WAIT_TIMEOUT_MS);
	return c;
}

/* Delays the first leader's calls of the store. */
static void delay_store_calls(struct tenure_case *c)
{
	joint_set_store_link(c->site, c->first, "pass", DELAY_MS);
	joint_run_for(c->site, DELAY_SETTLES_MS);
	joint_set_store_link(c->site, c->first, "pass", WAKING_DELAY_MS);
	joint_run_for(c->site, DELAY_SETTLES_MS);
}

/* Cuts the first leader's domain off. */
static void cut_off(struct tenure_case *c, const char *mode)
{
	set_room_elsewhere(c, UPSTREAM_ROOM);
	c->began_ms = clock_mono_ms();
	joint_set_domain_links(c->site, c->first, mode);
}

/*
 * Waits until an instance other than the first leader and `besides` leads, and
 * returns it.
 */
static uint32_t wait_successor(struct tenure_case *c, uint32_t besides)
{
	uint32_t before[INSTANCE_COUNT], i = 0;

	for (i = 0; i < INSTANCE_COUNT; i++)
		before[i] = joint_count_log(c->site, i, "leading");
	for (i = 0;; i = (i + 1) % INSTANCE_COUNT) {
		if (i != c->first && i != besides &&
		    joint_count_log(c->site, i, "leading") > before[i])
			break;
		if (clock_mono_ms() > c->began_ms + TENURE_MS)
			fail_msg("nobody has followed within the tenure");
		joint_run_for(c->site, 10);
	}
	return i;
}

/*
 * Checks that the runs in the first leader's domain went on for longer than the
 * tenure and ended with their leases, which shows that the fault struck.
 */
static void check_runs_lapsed(struct tenure_case *c)
{
	json_t *record = joint_record(c->site);
	const json_t *lapse;
	size_t i;
	uint32_t n = 0;

	json_array_foreach(json_object_get(record, "lapses"), i, lapse)
	{
		const char *at = json_string_value(json_array_get(lapse, 1));
		uint64_t ms = json_integer_value(json_array_get(lapse, 2));
		uint32_t u = g_ascii_strtoull(at + 1, NULL, 10);

		n += joint_upstream_domain(c->site, u) == c->first &&
		     ms > c->began_ms + TENURE_MS;
	}
	json_decref(record);
	assert_int_equal(n, TASK_COUNT);
}

/*
 * Waits until all tasks of the given number of jobs have started again, and
 * until the fault has lasted long enough.
 */
static void wait_second_runs(struct tenure_case *c, uint32_t jobs)
{
	joint_wait_count(c->site, "starts", (int)(2 * jobs * TASK_COUNT),
			 FAULT_MS + WAIT_TIMEOUT_MS);
	run_until(c, FAULT_MS);
}

/* Checks that the site works again, and stops it. */
static void end_case(struct tenure_case *c)
{
	for (uint32_t i = 0; i < INSTANCE_COUNT; i++) {
		if (!c->site->instances[i])
			joint_instance_start(c->site, i);
		joint_wait_ready(c->site, i);
	}
	assert_int_equal(joint_submit(c->site, c->first, 9, 4, 300), 200);
	joint_wait_state(c->site, other_instance(c, 1), 9, "completed");
	joint_stop(c->site);
}

/* Ends the cut after the second runs have started, and checks the record. */
static void end_cut(struct tenure_case *c)
{
	wait_second_runs(c, 1);
	check_runs_lapsed(c);
	joint_set_domain_links(c->site, c->first, "pass");
	end_case(c);
}

static void check_cut_outlasts_tenure(uint32_t net, const char *mode)
{
	struct tenure_case c = start_case(net);

	cut_off(&c, mode);
	wait_successor(&c, c.first);
	run_until(&c, RESET_MS);
	joint_set_domain_links(c.site, c.first, "cut");
	joint_set_domain_links(c.site, c.first, mode);
	end_cut(&c);
}

static void
no_task_runs_twice_when_a_silent_cut_outlasts_the_tenure(void **state)
{
	(void)state;
	check_cut_outlasts_tenure(18, "freeze");
}

static void
no_task_runs_twice_when_a_refusing_cut_outlasts_the_tenure(void **state)
{
	(void)state;
	check_cut_outlasts_tenure(19, "refuse");
}

static void
no_task_runs_twice_when_the_successor_of_a_cut_off_leader_resigns(void **state)
{
	struct tenure_case c = start_case(20);
	uint32_t second;

	(void)state;
	cut_off(&c, "freeze");
	second = wait_successor(&c, c.first);
	kill(c.site->instances[second], SIGTERM);
	wait_successor(&c, second);
	joint_instance_kill(c.site, second, SIGTERM);
	end_cut(&c);
}

static void
no_task_runs_twice_when_the_successor_of_a_cut_off_leader_restarts(void **state)
{
	struct tenure_case c = start_case(21);
	uint32_t second, third, before;

	(void)state;
	cut_off(&c, "freeze");
	second = wait_successor(&c, c.first);
	third = INSTANCE_COUNT - c.first - second;
	before = joint_count_log(c.site, second, "leading");
	kill(c.site->instances[third], SIGSTOP);
	joint_instance_kill(c.site, second, SIGKILL);
	joint_instance_start(c.site, second);
	joint_wait_log(c.site, second, "leading", before);
	assert_true(clock_mono_ms() < c.began_ms + TENURE_MS);
	kill(c.site->instances[third], SIGCONT);
	end_cut(&c);
}

/* Returns how many jobs have recorded runs. */
static size_t count_recorded_jobs(struct joint_site *s)
{
	json_t *v = NULL;
	size_t n;

	joint_request(s, s->store, "GET",
		      "/-/rows-get?table=" RUN_TABLE "&part=" LEADER_PART, NULL,
		      &v);
	n = json_array_size(json_object_get(v, "rows"));
	json_decref(v);
	return n;
}

/* The answer to the write of its starts waits in a socket of the leader. */
static void
no_task_runs_twice_when_a_leader_wakes_after_its_tenure(void **state)
{
	struct tenure_case c = start_case(22);
	struct joint_site *s = c.site;

	(void)state;
	delay_store_calls(&c);
	submit_to_domain(&c, 2);
	kill(s->instances[c.first], SIGSTOP);
	joint_run_for(s, 3 * WAKING_DELAY_MS);
	assert_int_equal(count_recorded_jobs(s), 2);
	c.began_ms = clock_mono_ms();
	joint_set_domain_links(s, c.first, "freeze");
	wait_successor(&c, c.first);
	set_room_elsewhere(&c, UPSTREAM_ROOM);
	joint_wait_count(s, "starts", 3 * TASK_COUNT,
			 FAULT_MS + WAIT_TIMEOUT_MS);
	kill(s->instances[c.first], SIGCONT);
	joint_wait_log(s, c.first, "leadership_lost", 0);
	joint_run_for(s, LIST_DELAY_MS);
	joint_set_domain_links(s, c.first, "pass");
	end_case(&c);
}

static void check_leader_dies_in_outage(uint32_t net, const char *command)
{
	struct tenure_case c = start_case(net);
	uint32_t before[INSTANCE_COUNT], changes = 0;

	for (uint32_t i = 0; i < INSTANCE_COUNT; i++)
		before[i] = joint_count_log(c.site, i, "leading");
	set_room_elsewhere(&c, UPSTREAM_ROOM);
	c.began_ms = clock_mono_ms();
	joint_control_platform(c.site, command);
	joint_run_for(c.site, TENURE_MS / 2);
	joint_instance_kill(c.site, c.first, SIGKILL);
	joint_run_for(c.site, FAULT_MS - TENURE_MS / 2);
	for (uint32_t i = 0; i < INSTANCE_COUNT; i++)
		changes += joint_count_log(c.site, i, "leading") - before[i];
	assert_int_equal(changes, 0);
	assert_int_equal(joint_count(c.site, "running"), 0);
	joint_control_platform(c.site, "{\"store\": \"ok\"}");
	joint_wait_count(c.site, "starts", 2 * TASK_COUNT, WAIT_TIMEOUT_MS);
	end_case(&c);
}

static void
no_task_runs_twice_when_the_leader_dies_in_a_silent_outage(void **state)
{
	(void)state;
	check_leader_dies_in_outage(23, "{\"store\": \"hang\"}");
}

static void
no_task_runs_twice_when_the_leader_dies_in_a_refusing_outage(void **state)
{
	(void)state;
	check_leader_dies_in_outage(24, "{\"store\": \"refuse\"}");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			no_task_runs_twice_when_a_silent_cut_outlasts_the_tenure),
		cmocka_unit_test(
			no_task_runs_twice_when_a_refusing_cut_outlasts_the_tenure),
		cmocka_unit_test(
			no_task_runs_twice_when_the_successor_of_a_cut_off_leader_resigns),
		cmocka_unit_test(
			no_task_runs_twice_when_the_successor_of_a_cut_off_leader_restarts),
		cmocka_unit_test(
			no_task_runs_twice_when_a_leader_wakes_after_its_tenure),
		cmocka_unit_test(
			no_task_runs_twice_when_the_leader_dies_in_a_silent_outage),
		cmocka_unit_test(
			no_task_runs_twice_when_the_leader_dies_in_a_refusing_outage),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
