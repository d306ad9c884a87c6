/* Tests of starts that wait for their record while resources shrink. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "lead/starts.h"

#define TASK_COUNT 4

/* Two upstreams with two tasks of a job each, whose starts are planned. */
struct fixture {
	struct model *model;
	struct upstream *upstreams[2];
	struct job *job;
	GPtrArray *starts; /* their tasks */
};

static void fixture_create(struct fixture *f, bool gang)
{
	static const char *const ids[] = {"u1", "u2"};
	struct step *step;

	f->model = model_create();
	for (uint32_t i = 0; i < 2; i++) {
		f->upstreams[i] = fleet_add_upstream(f->model->fleet, ids[i]);
		f->upstreams[i]->resources = (struct resources){2000, 2000, 2};
	}
	f->job = job_create("00000000000000a1");
	step = job_add_step(f->job);
	step->count = TASK_COUNT;
	step->gang = gang;
	step->need = (struct resources){1000, 1000, 1};
	job_create_stages(f->job);
	model_add_job(f->model, f->job);
	f->starts = g_ptr_array_new();
	for (uint32_t i = 0; i < TASK_COUNT; i++) {
		struct task *t = job_find_task(f->job, 0, 0, i);

		task_place(t, f->upstreams[i / 2], 1, 1000);
		g_ptr_array_add(f->starts, t);
	}
}

static void fixture_destroy(struct fixture *f)
{
	g_ptr_array_free(f->starts, TRUE);
	model_destroy(f->model);
}

/* Return how many of the starts are still to be sent. */
static uint32_t unsent_count(const struct fixture *f)
{
	uint32_t n = 0;

	for (guint i = 0; i < f->starts->len; i++) {
		const struct task *t = g_ptr_array_index(f->starts, i);

		n += t->state == TASK_PLACED && !t->sent;
	}
	return n;
}

static void starts_are_kept_while_resources_suffice(void **state)
{
	struct fixture f;

	(void)state;
	fixture_create(&f, false);
	starts_drop_excess(f.starts, 2000);
	assert_int_equal(unsent_count(&f), TASK_COUNT);
	fixture_destroy(&f);
}

static void starts_beyond_shrunk_resources_are_dropped(void **state)
{
	struct fixture f;

	(void)state;
	fixture_create(&f, false);
	f.upstreams[0]->resources.accelerators = 1;
	starts_drop_excess(f.starts, 2000);
	assert_int_equal(unsent_count(&f), TASK_COUNT - 1);
	assert_int_equal(f.upstreams[0]->tasks->len, 1);
	assert_int_equal(stage_waiting_count(&f.job->stages[0]), 1);
	fixture_destroy(&f);
}

static void sent_start_occupies_shrunk_resources(void **state)
{
	struct fixture f;

	(void)state;
	fixture_create(&f, false);
	f.upstreams[0]->resources.accelerators = 1;
	job_find_task(f.job, 0, 0, 1)->sent = true;
	starts_drop_excess(f.starts, 2000);
	assert_int_equal(unsent_count(&f), 2);
	assert_ptr_equal(g_ptr_array_index(f.upstreams[0]->tasks, 0),
			 job_find_task(f.job, 0, 0, 1));
	fixture_destroy(&f);
}

/* DRAIN: the list has shown meanwhile that an upstream is about to leave. */
static void starts_on_leaving_upstreams_are_dropped(void **state)
{
	struct fixture f;

	(void)state;
	fixture_create(&f, false);
	f.upstreams[0]->state = UPSTREAM_DRAINING;
	starts_drop_excess(f.starts, 2000);
	assert_int_equal(unsent_count(&f), TASK_COUNT - 2);
	assert_int_equal(f.upstreams[0]->tasks->len, 0);
	f.upstreams[1]->state = UPSTREAM_GONE;
	starts_drop_excess(f.starts, 2000);
	assert_int_equal(unsent_count(&f), 0);
	assert_true(stage_is_idle(&f.job->stages[0]));
	fixture_destroy(&f);
}

/* Guards against members of a gang that wait for one that was dropped. */
static void gang_is_dropped_whole(void **state)
{
	struct fixture f;

	(void)state;
	fixture_create(&f, true);
	f.upstreams[1]->resources.cpu_milli = 1999;
	starts_drop_excess(f.starts, 2000);
	assert_int_equal(unsent_count(&f), 0);
	assert_true(stage_is_idle(&f.job->stages[0]));
	fixture_destroy(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(starts_are_kept_while_resources_suffice),
		cmocka_unit_test(starts_beyond_shrunk_resources_are_dropped),
		cmocka_unit_test(sent_start_occupies_shrunk_resources),
		cmocka_unit_test(starts_on_leaving_upstreams_are_dropped),
		cmocka_unit_test(gang_is_dropped_whole),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
