/*
 * Tests that a job of many occurrences takes memory and space in its row only
 * for those that are open, and still runs each occurrence once. 195 jobs of
 * 1,000 occurrences of four tasks took 1.5 MB each, and killed every leader.
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
#include "sched/dispatch.h"

#define START_WALL_MS 1000000
#define INTERVAL_MS 10000
#define PASS_INTERVAL_MS 100
#define RUN_MS 500
/* longer than the scheduler keeps a complete occurrence */
#define KEPT_MAX_MS 61000

static const char *const spec_format =
	"{\"queue\":\"q\",\"account\":\"a\",\"settings\":{\"service\":\"s\","
	"\"priority\":1,\"max_attempts\":3,\"slack_factor\":3,"
	"\"target_ms\":1000},\"start_at_wall_ms\":%u,\"interval_ms\":%u,"
	"\"repeat\":%u,\"steps\":[{\"count\":1,\"estimate_ms\":500},"
	"{\"count\":1,\"estimate_ms\":500,\"after\":[0]},"
	"{\"count\":1,\"estimate_ms\":500,\"after\":[0]},"
	"{\"count\":1,\"estimate_ms\":500,\"after\":[1,2]}]}";

static struct job *create_job(uint32_t occurrences)
{
	char *text = g_strdup_printf(spec_format, START_WALL_MS, INTERVAL_MS,
				     occurrences);
	struct job *j = spec_decode("a000000000000001", text);

	assert_non_null(j);
	g_free(text);
	return j;
}

static void release_job(struct job *j)
{
	for (uint32_t i = 0; i < j->stages_len; i++)
		for (uint32_t k = 0; k < j->stages[i].step->count; k++)
			if (j->stages[i].tasks[k].at)
				fleet_release(&j->stages[i].tasks[k]);
	job_destroy(j);
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

/* Fails if occurrences that are not due take memory. */
static void test_later_occurrences_take_no_memory(void **state)
{
	struct job *j = create_job(1000);
	char *row = run_encode(j);
	size_t before;

	(void)state;
	/* what libraries allocate with the first job is not counted */
	free(row);
	job_destroy(j);
	before = allocated_bytes();
	j = create_job(1000);
	row = run_encode(j);
	assert_in_range(strlen(row), 1, 300);
	free(row);
	if (allocator_counts())
		assert_in_range(allocated_bytes() - before, 1, 16384);
	assert_null(job_find_task(j, 1, 0, 0));
	job_open_due(j, START_WALL_MS + 2 * INTERVAL_MS);
	assert_non_null(job_find_task(j, 2, 3, 0));
	assert_null(job_find_task(j, 3, 0, 0));
	assert_null(job_find_task(j, 1000, 0, 0));
	job_destroy(j);
}

/* A site of one upstream that runs one job. */
struct site {
	struct fleet *fleet;
	struct estimator *estimator;
	GPtrArray *jobs;
	struct job *job;
	uint64_t now_ms;
	uint32_t starts;
};

static void site_create(struct site *s, uint32_t occurrences)
{
	struct upstream *u;

	*s = (struct site){.fleet = fleet_create(),
			   .estimator = estimator_create(),
			   .jobs = g_ptr_array_new(),
			   .job = create_job(occurrences),
			   .now_ms = START_WALL_MS - INTERVAL_MS};
	s->job->since_ms = s->now_ms;
	u = fleet_add_upstream(s->fleet, "u");
	upstream_describe(u, "s", "d", "a", "r");
	u->resources = (struct resources){32000, 65536, 8};
	u->synced = true;
	g_ptr_array_add(s->jobs, s->job);
}

static void site_destroy(struct site *s)
{
	release_job(s->job);
	g_ptr_array_free(s->jobs, TRUE);
	estimator_destroy(s->estimator);
	fleet_destroy(s->fleet);
}

/* End the runs that have lasted RUN_MS, and decide. */
static void step_site(struct site *s)
{
	struct upstream *u = g_ptr_array_index(s->fleet->list, 0);
	struct dispatch_input input;
	GArray *actions;

	for (guint i = u->tasks->len; i-- > 0;) {
		struct task *t = g_ptr_array_index(u->tasks, i);

		if (s->now_ms >= t->placed_ms + RUN_MS)
			task_end_run(t, RUN_DONE, NULL, s->now_ms);
	}
	job_update_completion(s->job, s->now_ms);
	input = (struct dispatch_input){.fleet = s->fleet,
					.estimator = s->estimator,
					.jobs = s->jobs,
					.now_ms = s->now_ms,
					.wall_ms = s->now_ms,
					.stop_ms = 100,
					.reclaim_ms = 2700,
					.checkpoint_ms = 1000};
	actions = dispatch(&input);
	for (guint i = 0; i < actions->len; i++) {
		struct action *a = &g_array_index(actions, struct action, i);

		if (a->tag != ACTION_START)
			continue;
		s->starts++;
		task_confirm(a->task, s->now_ms);
	}
	g_array_unref(actions);
}

/*
 * Fails if an occurrence starts before it is due, is left out or runs twice, if
 * a job ends before its last occurrence, or if complete occurrences are kept.
 */
static void test_each_occurrence_runs_once_when_it_is_due(void **state)
{
	const uint32_t occurrences = 50;
	uint32_t open_max = KEPT_MAX_MS / INTERVAL_MS + 2;
	struct site s;

	(void)state;
	site_create(&s, occurrences);
	while (!job_is_final(s.job) &&
	       s.now_ms < START_WALL_MS + (occurrences + 1) * INTERVAL_MS) {
		uint32_t due =
			s.now_ms < START_WALL_MS
				? 0
				: (s.now_ms - START_WALL_MS) / INTERVAL_MS + 1;

		step_site(&s);
		assert_in_range(s.starts, due ? (due - 1) * 4 : 0, due * 4);
		assert_in_range(s.job->stages_len, 4, 4 * open_max);
		s.now_ms += PASS_INTERVAL_MS;
	}
	assert_int_equal(s.job->state, JOB_COMPLETED);
	assert_int_equal(s.starts, 4 * occurrences);
	site_destroy(&s);
}

static void place_run(void *arg, struct task *t, const struct run_place *at)
{
	(void)at;
	task_place(t, g_ptr_array_index(((struct fleet *)arg)->list, 0), t->run,
		   1);
}

/*
 * Fails if a successor loses which occurrences are complete, or keeps them in
 * memory, or if the row is longer than that of a version that listed all.
 */
static void test_complete_occurrences_are_known_to_a_successor(void **state)
{
	struct job *again = create_job(1000);
	struct site s;
	char *row;

	(void)state;
	site_create(&s, 1000);
	while (s.now_ms < START_WALL_MS + 300 * INTERVAL_MS + 700) {
		step_site(&s);
		s.now_ms += PASS_INTERVAL_MS;
	}
	row = run_encode(s.job);
	assert_in_range(strlen(row), 1, 300 + 9 * 4 * 301);
	assert_true(run_decode(again, row, place_run, s.fleet));
	assert_int_equal(again->first_occurrence, 300);
	assert_int_equal(again->stages_len, 4);
	assert_int_equal(job_find_task(again, 300, 0, 0)->state, TASK_DONE);
	assert_true(task_is_active(job_find_task(again, 300, 1, 0)));
	assert_false(job_find_task(again, 300, 3, 0)->run);
	free(row);
	release_job(again);
	site_destroy(&s);
}

/*
 * Fails if a row of the version that listed all stages is read otherwise: here
 * occurrence 0 is complete, 1 has not started, and 2 has a suspect that runs.
 */
static void test_row_with_all_stages_is_read(void **state)
{
	struct job *j = create_job(5);
	struct fleet *f = fleet_create();

	(void)state;
	fleet_add_upstream(f, "u");
	assert_true(run_decode(
		j,
		"{\"state\":\"running\",\"ended_ms\":0,\"lives\":[\"u@5\"],"
		"\"stages\":[[0,\"=3 \",0],[0,\"=1 \",0],[1,\"=2 \",1],"
		"[0,\"=1 \",0],[0,\"\",0],[0,\"\",0],[0,\"\",0],[0,\"\",0],"
		"[1,\"2,1,0 \",1],[0,\"\",0],[0,\"\",0],[0,\"\",0],"
		"[0,\"\",0],[0,\"\",0],[0,\"\",0],[0,\"\",0],"
		"[0,\"\",0],[0,\"\",0],[0,\"\",0],[0,\"\",0]],"
		"\"suspicions\":[[8,0,1,0,0,1]]}",
		place_run, f));
	assert_int_equal(j->first_occurrence, 1);
	assert_int_equal(j->stages_len, 8);
	assert_null(job_find_task(j, 0, 0, 0));
	assert_int_equal(job_find_task(j, 1, 0, 0)->state, TASK_WAITING);
	assert_int_equal(job_find_task(j, 2, 0, 0)->run, 2);
	assert_true(task_is_active(job_find_task(j, 2, 0, 0)));
	assert_int_equal(job_find_task(j, 2, 0, 0)->suspicion.early_ends, 1);
	release_job(j);
	fleet_destroy(f);
}

/* Return a random text of a stage, as versions of all kinds may write it. */
static const char *random_stage(GRand *r)
{
	static const char *const texts[] = {
		"",    "=1 ",  "=1",	  "=7 ", "1,0, ", "3,1,0 ",
		"x,y", "2*=1", "9,9,9,x", "=0 ", "0,0, ", "2,0,0,c ",
		"=1",  "=1",   "=1",	  "=1 ",
	};

	return texts[g_rand_int_range(r, 0, G_N_ELEMENTS(texts))];
}

static char *random_row(GRand *r, uint32_t occurrences)
{
	GString *s = g_string_new("{\"state\":\"running\",\"lives\":"
				  "[\"u@5\"],\"stages\":[");
	uint32_t n = g_rand_int_range(r, 0, 4 * occurrences + 3);

	for (uint32_t i = 0; i < n; i++)
		g_string_append_printf(
			s, "%s[%d,\"%s\",%d]", i ? "," : "",
			g_rand_int_range(r, 0, 2),
			i / 4 < occurrences / 2 ? "=1" : random_stage(r),
			g_rand_int_range(r, 0, 2));
	g_string_append_printf(s, "],\"suspicions\":[[%d,0,1,0,0,1]]}",
			       g_rand_int_range(r, -1, 4 * occurrences + 3));
	return g_string_free(s, FALSE);
}

/* Return the state of a task of an occurrence that is open or not. */
static enum task_state state_of(struct job *j, uint32_t occurrence,
				uint32_t step)
{
	const struct task *t = job_find_task(j, occurrence, step, 0);

	if (t)
		return t->state;
	return occurrence < j->first_occurrence ? TASK_DONE : TASK_WAITING;
}

static void check_same_task(struct job *a, struct job *b, uint32_t occurrence,
			    uint32_t step)
{
	const struct task *t = job_find_task(a, occurrence, step, 0);
	const struct task *u = job_find_task(b, occurrence, step, 0);

	assert_int_equal(state_of(a, occurrence, step),
			 state_of(b, occurrence, step));
	if (state_of(a, occurrence, step) == TASK_DONE)
		return;
	/* an occurrence that has not started may be open or not */
	assert_int_equal(t ? t->run : 0, u ? u->run : 0);
	assert_int_equal(t ? t->suspicion.early_ends && t->run : 0,
			 u ? u->suspicion.early_ends && u->run : 0);
}

/*
 * Fails if a row with any mix of stages is read outside the open occurrences, or
 * if what was read changes when it is written and read again.
 */
static void test_any_row_is_read_as_it_is_written(void **state)
{
	GRand *r = g_rand_new_with_seed(1);

	(void)state;
	for (uint32_t n = 0; n < 2000; n++) {
		uint32_t occurrences = g_rand_int_range(r, 1, 9);
		struct job *j = create_job(occurrences);
		struct job *again = create_job(occurrences);
		struct fleet *f = fleet_create();
		char *text = random_row(r, occurrences), *row;

		fleet_add_upstream(f, "u");
		run_decode(j, text, place_run, f);
		assert_in_range(j->stages_len, 4, 4 * occurrences);
		row = run_encode(j);
		assert_true(run_decode(again, row, place_run, f));
		for (uint32_t i = 0; i < 4 * occurrences; i++)
			check_same_task(j, again, i / 4, i % 4);
		free(row);
		g_free(text);
		release_job(j);
		release_job(again);
		fleet_destroy(f);
	}
	g_rand_free(r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_later_occurrences_take_no_memory),
		cmocka_unit_test(test_each_occurrence_runs_once_when_it_is_due),
		cmocka_unit_test(
			test_complete_occurrences_are_known_to_a_successor),
		cmocka_unit_test(test_row_with_all_stages_is_read),
		cmocka_unit_test(test_any_row_is_read_as_it_is_written),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
