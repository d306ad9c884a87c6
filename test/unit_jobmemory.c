/*
 * Tests of the bound on the memory of accepted jobs. Without it a burst of large
 * jobs kills every leader.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/jobcache.h"
#include "entry/jobmemory.h"
#include "lead/record.h"
#include "peer/roster.h"
#include "sched/footprint.h"

#define MB (UINT64_C(1) << 20)
/* The weakest instance of the deployments, and their number. */
#define SMALLEST_MB 120
#define INSTANCES 40
#define NOW_MS 1000000

static uint64_t batch_bytes(uint32_t tasks)
{
	struct job *j = job_create("a000000000000001");
	uint64_t bytes;

	j->payload = g_strnfill(200, 'p');
	job_add_step(j)->count = tasks;
	bytes = footprint_bytes(j);
	job_destroy(j);
	return bytes;
}

/*
 * Fails if clients inside the limits meet the bound: a thousand jobs alive at
 * once, half of them batches of 39 tasks, while each of 40 instances accepts as
 * many in two seconds as the whole site gets.
 */
static void test_usual_clients_do_not_meet_the_bound(void **state)
{
	struct job_memory_limits l = {SMALLEST_MB, INSTANCES};
	uint64_t batch = batch_bytes(39), gang = batch_bytes(13);
	uint64_t alive = 500 * (batch + gang);
	struct job_memory *m = job_memory_create();

	(void)state;
	for (uint32_t i = 0; i < 20; i++) {
		char id[JOB_ID_BYTES];

		snprintf(id, sizeof(id), "%016x", i);
		assert_true(job_memory_allows(m, &l, alive, batch, NOW_MS));
		job_memory_add(m, id, batch, NOW_MS);
	}
	job_memory_destroy(m);
}

/* Fails if jobs are bounded where the memory of no instance is known. */
static void test_no_bound_without_known_memory(void **state)
{
	struct job_memory_limits l = {0, INSTANCES};
	struct job_memory *m = job_memory_create();

	(void)state;
	assert_int_equal(job_memory_bound_bytes(0), 0);
	assert_true(job_memory_allows(m, &l, 1000 * MB, MB, NOW_MS));
	job_memory_destroy(m);
}

/*
 * Fails if the jobs that instances accept before they see each other's exceed
 * the bound, or if nothing is accepted.
 */
static void test_instances_leave_room_for_each_other(void **state)
{
	struct job_memory_limits l = {SMALLEST_MB, INSTANCES};
	uint64_t bound = job_memory_bound_bytes(SMALLEST_MB), sum = 0;
	const uint64_t bytes = 16384, seen = bound / 2;

	(void)state;
	assert_in_range(bound, SMALLEST_MB * MB / 8, SMALLEST_MB * MB / 2);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		struct job_memory *m = job_memory_create();
		uint32_t n = 0;

		while (job_memory_allows(m, &l, seen, bytes, NOW_MS)) {
			char id[JOB_ID_BYTES];

			snprintf(id, sizeof(id), "%016x", n++);
			job_memory_add(m, id, bytes, NOW_MS);
			sum += bytes;
		}
		assert_in_range(n, 10, 100);
		job_memory_destroy(m);
	}
	assert_in_range(seen + sum, 0, bound);
}

/*
 * Fails if a submission counts on after its row was seen or it was refused, if
 * one is not counted, or if one of unknown outcome counts for good.
 */
static void test_unseen_submissions_count_until_they_are_seen(void **state)
{
	struct job_memory_limits l = {SMALLEST_MB, 1};
	uint64_t bound = job_memory_bound_bytes(SMALLEST_MB);
	struct job_memory *m = job_memory_create();

	(void)state;
	job_memory_add(m, "a", bound, NOW_MS);
	assert_false(job_memory_allows(m, &l, 0, 1000, NOW_MS));
	job_memory_remove(m, "a");
	assert_true(job_memory_allows(m, &l, 0, 1000, NOW_MS));
	job_memory_add(m, "b", bound, NOW_MS);
	job_memory_add(m, "b", bound, NOW_MS);
	assert_false(job_memory_allows(m, &l, 0, 1000, NOW_MS + 9000));
	assert_true(job_memory_allows(m, &l, 0, 1000, NOW_MS + 10000));
	job_memory_destroy(m);
}

/*
 * Fails if large jobs take all, so that the usual jobs of other clients are
 * refused, and if a single job of the largest size is refused.
 */
static void test_large_jobs_leave_room_for_usual_ones(void **state)
{
	struct job_memory_limits l = {SMALLEST_MB, INSTANCES};
	uint64_t largest = batch_bytes(4000), accepted = 0;
	struct job_memory *m = job_memory_create();

	(void)state;
	while (job_memory_allows(m, &l, accepted, largest, NOW_MS))
		accepted += largest;
	assert_in_range(accepted / largest, 10, 100);
	assert_true(
		job_memory_allows(m, &l, accepted, batch_bytes(39), NOW_MS));
	job_memory_destroy(m);
}

/*
 * Fails if the sum over the rows misses a job that may run, or keeps one that
 * has ended or was removed. The row of an earlier version counts a default.
 */
static void test_cache_sums_jobs_that_have_not_ended(void **state)
{
	struct job_cache *c = job_cache_create();
	const char *row = "{\"queue\":\"q\",\"account\":\"\",\"bytes\":1000}";

	(void)state;
	job_cache_apply_job_row(c, KEY_JOB "a", row);
	job_cache_apply_job_row(c, KEY_JOB "a", row);
	job_cache_apply_job_row(c, KEY_JOB "b", row);
	assert_int_equal(job_cache_live_bytes(c), 2000);
	job_cache_apply_state_row(c, "a", "{\"state\":\"running\"}");
	job_cache_apply_job_row(c, KEY_CANCEL "a", "{}");
	assert_int_equal(job_cache_live_bytes(c), 2000);
	job_cache_apply_state_row(c, "a", "{\"state\":\"cancelled\"}");
	assert_int_equal(job_cache_live_bytes(c), 1000);
	job_cache_apply_job_row(c, KEY_JOB "a", NULL);
	job_cache_apply_job_row(c, KEY_JOB "b", NULL);
	assert_int_equal(job_cache_live_bytes(c), 0);
	/* a copy that is read again may show the state before the job */
	job_cache_apply_state_row(c, "d", "{\"state\":\"completed\"}");
	job_cache_apply_job_row(c, KEY_JOB "d", row);
	assert_int_equal(job_cache_live_bytes(c), 0);
	job_cache_apply_job_row(c, KEY_JOB "e",
				"{\"queue\":\"q\",\"account\":\"\"}");
	job_cache_apply_job_row(c, KEY_JOB "f",
				"{\"queue\":\"q\",\"account\":\"\","
				"\"bytes\":-1}");
	assert_int_equal(job_cache_live_bytes(c), 2 * JOB_BYTES_DEFAULT);
	job_cache_destroy(c);
}

/* Fails if an instance's memory is lost in its row, or if it must have one. */
static void test_instance_row_carries_memory(void **state)
{
	struct peer_record p = {.domain = "d", .memory_mb = SMALLEST_MB}, q;
	char *text;

	(void)state;
	p.address.sin_family = AF_INET;
	p.address.sin_port = htons(7000);
	p.address.sin_addr.s_addr = htonl(0x7f000001);
	text = peer_record_encode(&p);
	assert_true(peer_record_decode("i", text, &q));
	assert_int_equal(q.memory_mb, SMALLEST_MB);
	free(text);
	p.memory_mb = 0;
	text = peer_record_encode(&p);
	assert_null(strstr(text, "memory_mb"));
	assert_true(peer_record_decode("i", text, &q));
	assert_int_equal(q.memory_mb, 0);
	free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_usual_clients_do_not_meet_the_bound),
		cmocka_unit_test(test_no_bound_without_known_memory),
		cmocka_unit_test(test_instances_leave_room_for_each_other),
		cmocka_unit_test(
			test_unseen_submissions_count_until_they_are_seen),
		cmocka_unit_test(test_large_jobs_leave_room_for_usual_ones),
		cmocka_unit_test(test_cache_sums_jobs_that_have_not_ended),
		cmocka_unit_test(test_instance_row_carries_memory),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
