/* Process tests of upstreams that crash under a task. */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>

#include "test/jointsite.h"

/* A job is given up after this many upstreams have crashed under it. */
#define CRASHES_MAX 3
/* Time for which a crashed upstream is away. */
#define CRASHED_MS 1500
/* Maximum time for which an upstream that is back gets no work. */
#define AVOIDED_MS 1500
/* Time within which the leader uses upstreams that are back. */
#define REACTION_MS 1000

static struct joint_site *start_crash_site(uint32_t net)
{
	struct joint_site *s = joint_start(net);
	char *body = g_strdup_printf("{\"crash_ms\": %d}", CRASHED_MS);

	joint_control_platform(s, body);
	g_free(body);
	return s;
}

static void job_that_crashes_its_upstreams_fails_after_three(void **state)
{
	struct joint_site *s = start_crash_site(106);

	(void)state;
	assert_int_equal(joint_submit_crash(s, 0, 1, 0), 200);
	joint_wait_state(s, 1, 1, "failed");
	assert_in_range(joint_crashes_under_one_task(s), 2, CRASHES_MAX);
	assert_int_equal(joint_submit(s, 0, 2, 4 * UPSTREAM_ROOM, 200), 200);
	joint_wait_completed(s, 1, 2);
	joint_stop(s);
}

/* Guards against blaming jobs that share an upstream with a crashing task. */
static void jobs_beside_a_crashing_job_complete(void **state)
{
	struct joint_site *s = start_crash_site(107);

	(void)state;
	for (uint32_t n = 2; n < 5; n++)
		assert_int_equal(joint_submit(s, 0, n, 4, 1000), 200);
	assert_int_equal(joint_submit_crash(s, 0, 1, 200), 200);
	assert_int_equal(joint_submit_gang(s, 0, 5, 4, 1000), 200);
	for (uint32_t n = 2; n < 6; n++)
		joint_wait_completed(s, 1, n);
	joint_wait_state(s, 1, 1, "failed");
	assert_in_range(joint_crashes_under_one_task(s), 2, CRASHES_MAX);
	joint_stop(s);
}

/* Guards against crashes that a successor does not know of. */
static void crashing_job_fails_when_leaders_are_killed_between(void **state)
{
	struct joint_site *s = start_crash_site(108);

	(void)state;
	assert_int_equal(joint_submit(s, 0, 2, 4, 1500), 200);
	assert_int_equal(joint_submit_crash(s, 0, 1, 100), 200);
	for (int crashes = 1; crashes < CRASHES_MAX; crashes++) {
		uint32_t leader;

		joint_wait_count(s, "crashes", crashes, WAIT_TIMEOUT_MS);
		leader = joint_wait_leader(s);
		joint_instance_kill(s, leader, SIGKILL);
		joint_instance_start(s, leader);
		joint_wait_ready(s, leader);
	}
	joint_wait_state(s, 1, 1, "failed");
	joint_wait_completed(s, 1, 2);
	assert_in_range(joint_crashes_under_one_task(s), 2, CRASHES_MAX);
	joint_stop(s);
}

/* Guards against ends that are taken for those of the life before. */
static void crashed_upstreams_are_used_again(void **state)
{
	struct joint_site *s = start_crash_site(109);
	char *path = joint_job_path(1);

	(void)state;
	assert_int_equal(joint_submit(s, 0, 3, 4 * UPSTREAM_ROOM, 100), 200);
	joint_wait_completed(s, 1, 3);
	assert_int_equal(joint_submit_crash(s, 0, 1, 0), 200);
	joint_wait_count(s, "crashes", 1, WAIT_TIMEOUT_MS);
	assert_int_equal(
		joint_request(s, s->callers[0], "DELETE", path, NULL, NULL),
		200);
	joint_run_for(s, CRASHED_MS + AVOIDED_MS);
	assert_int_equal(joint_submit(s, 0, 2, 4 * UPSTREAM_ROOM, 1000), 200);
	joint_wait_count(s, "running", 4 * UPSTREAM_ROOM, REACTION_MS);
	joint_wait_completed(s, 1, 2);
	g_free(path);
	joint_stop(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			job_that_crashes_its_upstreams_fails_after_three),
		cmocka_unit_test(jobs_beside_a_crashing_job_complete),
		cmocka_unit_test(
			crashing_job_fails_when_leaders_are_killed_between),
		cmocka_unit_test(crashed_upstreams_are_used_again),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
