/*
 * Jobs that take more memory than the instances have are refused, and all that
 * was accepted before goes on. Guards against a burst of large jobs that the
 * leader accepts and is killed for.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/jointsite.h"

/* Lowered, so that a few large jobs exceed the bound of 5 MB. */
#define MEMORY_MB 40
#define DESCRIPTORS 1024
#define LARGE_TASKS 4000
#define LARGE_JOBS_MAX 10
#define SMALL_JOB 100
#define LATE_JOB 101
#define ENDLESS_MS 600000
#define TASK_MS 100

static void cancel_job(struct joint_site *s, uint32_t n)
{
	char *path = joint_job_path(n);

	assert_int_equal(
		joint_request(s, s->callers[0], "DELETE", path, NULL, NULL),
		200);
	g_free(path);
}

/*
 * Large jobs are refused with 429 at some time, a small one is not. When the
 * large ones have ended, the small one is run and a large one accepted again.
 */
static void large_jobs_are_refused_before_memory_is_short(void **state)
{
	const struct joint_shape shape = {.instances = 2,
					  .upstreams = 2,
					  .domains = 1,
					  .lease_ms = 3000,
					  .memory_mb = MEMORY_MB,
					  .descriptors = DESCRIPTORS};
	struct joint_site *s = joint_start_shape(76, &shape);
	uint64_t deadline_ms;
	uint32_t n = 0;
	int status;

	(void)state;
	joint_wait_leader(s);
	do
		status = joint_submit(s, n % 2, n + 1, LARGE_TASKS, ENDLESS_MS);
	while (status == 200 && ++n < LARGE_JOBS_MAX);
	assert_int_equal(status, 429);
	assert_in_range(n, 1, LARGE_JOBS_MAX - 1);
	/* an accepted job is not refused when its caller asks again */
	assert_int_equal(joint_submit(s, 0, 1, LARGE_TASKS, ENDLESS_MS), 200);
	/* the other instance learns of the jobs within a second or two */
	joint_run_for(s, 2500);
	assert_int_equal(joint_submit(s, 1, SMALL_JOB, 1, TASK_MS), 200);
	for (uint32_t i = 0; i < n; i++)
		cancel_job(s, i + 1);
	joint_wait_completed(s, 0, SMALL_JOB);
	deadline_ms = clock_mono_ms() + WAIT_TIMEOUT_MS;
	do {
		joint_run_for(s, 200);
		status = joint_submit(s, 0, LATE_JOB, LARGE_TASKS, ENDLESS_MS);
	} while (status == 429 && clock_mono_ms() < deadline_ms);
	assert_int_equal(status, 200);
	joint_check_record(s);
	joint_stop(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(large_jobs_are_refused_before_memory_is_short),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
