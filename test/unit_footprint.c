/*
 * Tests that the estimated memory of a job is not below what the allocator
 * reports, and not far above it. A sum that is too low lets the leader be
 * killed; one that is too high refuses clients that fit.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lead/record.h"
#include "sched/footprint.h"

#define JOBS 50
/* What the estimate may add for entries in tables, which are not built here. */
#define ENTRIES_MAX_BYTES 4096

struct shape {
	uint32_t steps;
	uint32_t tasks; /* of a step */
	uint32_t repeat;
	uint64_t interval_ms;
	uint32_t payload_len;
	uint32_t image_len;
};

static const struct shape shapes[] = {
	{.steps = 1, .tasks = 5},
	{.steps = 1, .tasks = 13, .payload_len = 200},
	{.steps = 1, .tasks = 39, .image_len = 1000},
	{.steps = 64, .tasks = 1, .payload_len = 10},
	{.steps = 1, .tasks = 4000},
	{.steps = 4, .tasks = 1, .repeat = 1000, .interval_ms = 3600000},
	{.steps = 4, .tasks = 1, .repeat = 1000, .interval_ms = 60000},
	{.steps = 4, .tasks = 1, .repeat = 1000, .interval_ms = 0},
	{.steps = 1, .tasks = 1, .payload_len = 30000},
};

static struct job *create_job(const struct shape *x)
{
	struct job *j = job_create("a000000000000001");

	text_set(&j->queue, "q");
	text_set(&j->account, "a");
	j->payload = g_strnfill(x->payload_len, 'p');
	j->repeat = x->repeat;
	j->interval_ms = x->interval_ms;
	for (uint32_t i = 0; i < x->steps; i++) {
		struct step *s = job_add_step(j);
		char *image = g_strnfill(x->image_len, 'i');

		s->count = x->tasks;
		s->estimate_ms = 1000;
		step_set_image(s, image);
		g_free(image);
	}
	return j;
}

static size_t allocated_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

/*
 * Report whether the allocator counts; that of valgrind does not, so that the
 * memory check runs the test without the comparison.
 */
static bool allocator_counts(void)
{
	void *p = malloc(1000);
	bool counts = allocated_bytes() > 0;

	free(p);
	return counts;
}

/*
 * Return the memory of a job of this shape in a leader: its spec row, and the
 * job with the occurrences that are open.
 */
static double measure(const struct shape *x)
{
	struct job *submitted = create_job(x), *jobs[JOBS];
	char *spec = spec_encode(submitted), *rows[JOBS];
	uint32_t open = footprint_open_occurrences(submitted);
	size_t before;

	/* what libraries allocate with the first job is not counted */
	job_destroy(spec_decode(submitted->id, spec));
	before = allocated_bytes();
	for (uint32_t i = 0; i < JOBS; i++) {
		rows[i] = g_strdup(spec);
		jobs[i] = spec_decode(submitted->id, spec);
		job_open_occurrences(jobs[i], open);
	}
	before = allocated_bytes() - before;
	for (uint32_t i = 0; i < JOBS; i++) {
		job_destroy(jobs[i]);
		g_free(rows[i]);
	}
	free(spec);
	job_destroy(submitted);
	return (double)before / JOBS;
}

static void test_estimate_is_close_to_what_the_allocator_reports(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(shapes); i++) {
		struct job *j = create_job(&shapes[i]);
		double estimate = footprint_bytes(j);
		double measured = measure(&shapes[i]);

		print_message("shape %zu: %.0f bytes, estimated %.0f\n", i,
			      measured, estimate);
		if (allocator_counts()) {
			assert_true(estimate >= measured);
			assert_true(estimate <=
				    1.7 * measured + ENTRIES_MAX_BYTES);
		}
		job_destroy(j);
	}
}

/*
 * Fails if occurrences are counted that are never open together, or if some
 * are left out that may be.
 */
static void test_occurrences_that_may_be_open_are_counted(void **state)
{
	struct shape x = {.steps = 1, .tasks = 1, .repeat = 1000};
	struct job *j = create_job(&x);

	(void)state;
	assert_int_equal(footprint_open_occurrences(j), 1000);
	j->interval_ms = 3600000;
	assert_int_equal(footprint_open_occurrences(j), 2);
	j->interval_ms = 60000;
	assert_int_equal(footprint_open_occurrences(j), 12);
	j->steps[0].estimate_ms = 120000;
	assert_int_equal(footprint_open_occurrences(j), 22);
	j->repeat = 0;
	assert_int_equal(footprint_open_occurrences(j), 1);
	job_destroy(j);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_estimate_is_close_to_what_the_allocator_reports),
		cmocka_unit_test(test_occurrences_that_may_be_open_are_counted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
