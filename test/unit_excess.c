/* Tests of starts that wait for their record while resources shrink. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "lead/domainorders.h"
#include "lead/starts.h"
#include "platform/decode.h"

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

/* A store that takes no call. */
static bool refuse_call(void *arg, const char *method, const char *path,
			const char *body, uint32_t timeout_ms,
			http_done_fn done, void *done_arg)
{
	(void)arg;
	(void)method;
	(void)path;
	(void)body;
	(void)timeout_ms;
	(void)done;
	(void)done_arg;
	return false;
}

static void ignore_row(void *arg, const char *key, const char *value,
		       uint64_t version)
{
	(void)arg;
	(void)key;
	(void)value;
	(void)version;
}

/*
 * One of two domains is evacuated while starts wait for their record. Guards
 * against starts there, against a gang of which the other members start, and
 * against starts elsewhere, or runs there, that end with them.
 */
static void starts_in_an_evacuated_domain_are_withheld(void **state)
{
	static const char *const domains[] = {"d1", "d2"};
	struct replica_events events = {.changed = ignore_row};
	struct joint_settings settings = {.evacuate_ms = 5000};
	struct loop *loop = loop_create();
	struct rows *rows = rows_create(refuse_call, NULL);
	struct replica *replica =
		replica_create(loop, rows, OPERATOR_TABLE, replica_single_part,
			       0, &events, NULL);
	struct domain_orders *o = domain_orders_create(&settings, replica);
	struct fixture f;

	(void)state;
	assert_true(domain_orders_apply_row(o, "d2", true));
	for (uint32_t gang = 0; gang < 2; gang++) {
		fixture_create(&f, gang);
		for (uint32_t i = 0; i < 2; i++)
			upstream_describe(f.upstreams[i], "s", domains[i], "a",
					  "r");
		/* one was sent before and runs */
		((struct task *)g_ptr_array_index(f.starts, 2))->sent = true;
		task_confirm(g_ptr_array_index(f.starts, 2), 1100);
		domain_orders_withhold(o, f.starts, 1200);
		starts_drop_excess(f.starts, 1200);
		assert_int_equal(unsent_count(&f), gang ? 0 : 2);
		assert_int_equal(f.upstreams[1]->tasks->len, 1);
		assert_int_equal(f.upstreams[0]->tasks->len, gang ? 0 : 2);
		fixture_destroy(&f);
	}
	domain_orders_destroy(o);
	replica_destroy(replica);
	rows_destroy(rows);
	loop_destroy(loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(starts_are_kept_while_resources_suffice),
		cmocka_unit_test(starts_beyond_shrunk_resources_are_dropped),
		cmocka_unit_test(sent_start_occupies_shrunk_resources),
		cmocka_unit_test(starts_on_leaving_upstreams_are_dropped),
		cmocka_unit_test(gang_is_dropped_whole),
		cmocka_unit_test(starts_in_an_evacuated_domain_are_withheld),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
