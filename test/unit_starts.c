/* Tests of when a start that was decided is ordered. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "lead/starts.h"

/* One upstream, and a job whose tasks are placed there and planned. */
struct fixture {
	struct model *model;
	struct upstream *upstream;
	struct job *job;
	struct starts *starts;
};

static void fixture_create(struct fixture *s, uint32_t tasks)
{
	s->model = model_create();
	s->upstream = fleet_add_upstream(s->model->fleet, "u1");
	s->job = job_create("00000000000000a1");
	job_add_step(s->job)->count = tasks;
	job_create_stages(s->job);
	model_add_job(s->model, s->job);
	s->starts = starts_create();
}

static void fixture_destroy(struct fixture *s)
{
	starts_destroy(s->starts);
	model_destroy(s->model);
}

static struct task *task_at(const struct fixture *s, uint32_t i)
{
	return &s->job->stages[0].tasks[i];
}

static void plan(struct fixture *s, uint32_t i)
{
	task_place(task_at(s, i), s->upstream, task_at(s, i)->run + 1, 1000);
	starts_plan(s->starts, task_at(s, i));
}

/* Return how many starts the committed write has recorded. */
static uint32_t count_recorded(struct fixture *s)
{
	GPtrArray *list = starts_take_recorded(s->starts, s->model);
	uint32_t n = list->len;

	g_ptr_array_free(list, TRUE);
	return n;
}

/*
 * Ends of other tasks of the job are listed during each write. Guards against a
 * start that waits until the job stops changing.
 */
static void test_recorded_start_is_sent_though_its_job_has_changed(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 2);
	plan(&s, 0);
	plan(&s, 1);
	s.job->dirty = false;
	starts_note_write_sent(s.starts, s.model);
	task_end_run(task_at(&s, 1), RUN_NEVER_STARTED, NULL, 1100);
	assert_true(s.job->dirty);
	assert_int_equal(count_recorded(&s), 1);
	assert_int_equal(count_recorded(&s), 0);
	fixture_destroy(&s);
}

/* A start whose job had no room in a write waits for the next one. */
static void test_start_waits_until_its_job_is_written(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 1);
	plan(&s, 0);
	starts_note_write_sent(s.starts, s.model);
	assert_int_equal(count_recorded(&s), 0);
	s.job->dirty = false;
	starts_note_write_sent(s.starts, s.model);
	assert_int_equal(count_recorded(&s), 1);
	fixture_destroy(&s);
}

/* A start that was decided during the write is not in it. */
static void test_start_decided_during_write_waits_for_next(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 1);
	starts_note_write_sent(s.starts, s.model);
	plan(&s, 0);
	s.job->dirty = false;
	assert_int_equal(count_recorded(&s), 0);
	starts_note_write_sent(s.starts, s.model);
	assert_int_equal(count_recorded(&s), 1);
	fixture_destroy(&s);
}

/* A run that has ended before its order was sent is not ordered. */
static void test_start_of_ended_run_is_forgotten(void **state)
{
	struct fixture s;

	(void)state;
	fixture_create(&s, 1);
	plan(&s, 0);
	s.job->dirty = false;
	starts_note_write_sent(s.starts, s.model);
	task_end_run(task_at(&s, 0), RUN_NEVER_STARTED, NULL, 1100);
	plan(&s, 0);
	s.job->dirty = false;
	assert_int_equal(count_recorded(&s), 0);
	starts_note_write_sent(s.starts, s.model);
	assert_int_equal(count_recorded(&s), 1);
	fixture_destroy(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_recorded_start_is_sent_though_its_job_has_changed),
		cmocka_unit_test(test_start_waits_until_its_job_is_written),
		cmocka_unit_test(
			test_start_decided_during_write_waits_for_next),
		cmocka_unit_test(test_start_of_ended_run_is_forgotten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
