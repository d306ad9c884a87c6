/* Tests of what a write records and of when a start is ordered. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>

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

/*
 * More jobs change between two writes than a write holds. Guards against later
 * jobs that wait until the earlier ones stop changing.
 */
static void test_every_changed_job_is_written_in_turn(void **state)
{
	struct model *m = model_create();
	uint32_t written[10] = {0};

	(void)state;
	for (uint32_t i = 0; i < 10; i++) {
		char id[JOB_ID_BYTES];
		struct job *j;

		snprintf(id, sizeof(id), "%016x", i);
		j = job_create(id);
		job_add_step(j)->count = 1;
		job_create_stages(j);
		model_add_job(m, j);
	}
	for (uint32_t n = 0; n < 5; n++) {
		GPtrArray *list;
		bool all;

		for (guint i = 0; i < 10; i++)
			((struct job *)g_ptr_array_index(m->job_list, i))
				->dirty = true;
		list = model_choose_dirty_jobs(m, 4, &all);
		assert_false(all);
		assert_int_equal(list->len, 4);
		for (guint i = 0; i < list->len; i++)
			written[atoi(((struct job *)g_ptr_array_index(list, i))
					     ->id)]++;
		g_ptr_array_free(list, TRUE);
	}
	for (uint32_t i = 0; i < 10; i++)
		assert_int_equal(written[i], 2);
	model_destroy(m);
}

/* A write that holds all changed jobs says so, and holds none twice. */
static void test_write_with_room_holds_all_changed_jobs(void **state)
{
	struct fixture s;
	GPtrArray *list;
	bool all;

	(void)state;
	fixture_create(&s, 1);
	s.job->dirty = true;
	list = model_choose_dirty_jobs(s.model, 4, &all);
	assert_true(all);
	assert_int_equal(list->len, 1);
	g_ptr_array_free(list, TRUE);
	s.job->dirty = false;
	list = model_choose_dirty_jobs(s.model, 4, &all);
	assert_true(all);
	assert_int_equal(list->len, 0);
	g_ptr_array_free(list, TRUE);
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
		cmocka_unit_test(test_every_changed_job_is_written_in_turn),
		cmocka_unit_test(test_write_with_room_holds_all_changed_jobs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
