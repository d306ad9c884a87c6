/* Tests of the rows that hold a job, and of what a new leader reads there. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/jobcache.h"
#include "lead/model.h"
#include "lead/record.h"
#include "lib/address.h"

/* What a row of the store holds. */
#define STORE_VALUE_BYTES 65536

/* A fleet of one upstream, and a job whose tasks are placed on it. */
struct fixture {
	struct model *model;
	struct upstream *upstream;
	struct job *job;
	struct task *task;
};

static void fixture_create(struct fixture *s, uint32_t tasks, bool gang)
{
	struct step *step;

	s->model = model_create();
	s->upstream = fleet_add_upstream(s->model->fleet, "u1");
	s->upstream->resources = (struct resources){100000, 100000, 100};
	s->upstream->started_wall_ms = 77;
	s->job = job_create("00000000000000a1");
	s->job->max_attempts = 3;
	s->job->queue_known = true;
	step = job_add_step(s->job);
	step->count = tasks;
	step->gang = gang;
	step->need = (struct resources){1000, 1000, 1};
	job_create_stages(s->job);
	model_add_job(s->model, s->job);
	for (uint32_t i = 0; i < tasks; i++)
		task_place(job_find_task(s->job, 0, 0, i), s->upstream, 1,
			   1000);
	s->task = job_find_task(s->job, 0, 0, 0);
}

static void fixture_destroy(struct fixture *s)
{
	model_destroy(s->model);
}

static void inherit_run(void *arg, struct task *t, const struct run_place *at)
{
	model_inherit_run(arg, t, at->upstream, at->started_wall_ms, 3000);
}

/*
 * A queue is removed after a job of it was accepted, and the next leader reads
 * the job with a policy that lacks the queue. Guards against an accepted job
 * that is never scheduled.
 */
static void test_job_keeps_settings_of_removed_queue(void **state)
{
	struct policy *p = policy_create(1), *later = policy_create(2);
	struct queue *q = policy_add_queue(p);
	struct fixture s;
	struct job *j;
	char *row;

	(void)state;
	q->name = g_strdup("q");
	q->service = g_strdup("service");
	q->priority = 2;
	q->max_attempts = 4;
	q->slack_factor = 2.5;
	q->target_ms = 700;
	fixture_create(&s, 1, false);
	s.job->payload = g_strdup("");
	queue_configure_job(q, s.job);
	row = spec_encode(s.job);
	j = spec_decode("00000000000000a1", row);
	assert_non_null(j);
	model_apply_queue_policy(j, later);
	assert_true(j->queue_known);
	assert_string_equal(j->service, "service");
	assert_int_equal(j->service_quark, s.job->service_quark);
	assert_int_equal(j->priority, 2);
	assert_int_equal(j->max_attempts, 4);
	assert_true(j->slack_factor > 2.4 && j->slack_factor < 2.6);
	assert_int_equal(j->target_ms, 700);
	/* a policy that has the queue replaces the recorded settings */
	q = policy_add_queue(later);
	q->name = g_strdup("q");
	q->service = g_strdup("other");
	model_apply_queue_policy(j, later);
	assert_string_equal(j->service, "other");
	assert_int_equal(j->max_attempts, 1);
	free(row);
	job_destroy(j);
	fixture_destroy(&s);
	policy_destroy(p);
	policy_destroy(later);
}

/* A spec row without settings waits for a policy that has the queue. */
static void test_job_without_settings_waits_for_its_queue(void **state)
{
	struct policy *p = policy_create(1);
	struct fixture s;
	struct job *j;
	char *row;

	(void)state;
	fixture_create(&s, 1, false);
	s.job->payload = g_strdup("");
	s.job->queue_known = false;
	row = spec_encode(s.job);
	j = spec_decode("00000000000000a1", row);
	assert_non_null(j);
	model_apply_queue_policy(j, p);
	assert_false(j->queue_known);
	free(row);
	job_destroy(j);
	fixture_destroy(&s);
	policy_destroy(p);
}

/*
 * Two members of a gang's run fail, one under each of two leaders. Guards
 * against a job that fails by counting one run twice.
 */
static void test_gang_failure_counts_once_across_leaders(void **state)
{
	struct fixture s, t;
	char *row;

	(void)state;
	fixture_create(&s, 2, true);
	task_end_run(s.task, RUN_FAILED, NULL, 2000);
	row = run_encode(s.job);
	fixture_create(&t, 2, true);
	for (uint32_t i = 0; i < 2; i++)
		task_end_run(job_find_task(t.job, 0, 0, i), RUN_NEVER_STARTED,
			     NULL, 2000);
	assert_true(run_decode(t.job, row, inherit_run, t.model));
	assert_true(task_is_active(job_find_task(t.job, 0, 0, 1)));
	task_end_run(job_find_task(t.job, 0, 0, 1), RUN_FAILED, NULL, 3000);
	assert_int_equal(t.job->stages[0].failures, 1);
	free(row);
	fixture_destroy(&s);
	fixture_destroy(&t);
}

/*
 * A job of the largest size is at work on many upstreams, each task with a
 * checkpoint of its own. Guards against a row that the store refuses, with
 * which no write of any leader succeeds any more.
 */
static void test_run_row_of_largest_job_fits_into_the_store(void **state)
{
	enum { UPSTREAMS = 350, TASKS = 4000 };
	struct upstream *u[UPSTREAMS];
	struct fixture s;
	char *row;

	(void)state;
	fixture_create(&s, TASKS, false);
	for (uint32_t i = 0; i < UPSTREAMS; i++) {
		char id[UPSTREAM_ID_BYTES];

		snprintf(id, sizeof(id), "fitfinder-%08x", i);
		u[i] = fleet_add_upstream(s.model->fleet, id);
		u[i]->started_wall_ms = UINT64_C(1796430261107) + i;
		snprintf(u[i]->address, sizeof(u[i]->address),
			 "10.130.%u.%u:%u", 100 + i / 256, 100 + i % 156,
			 40000 + i);
	}
	for (uint32_t i = 0; i < TASKS; i++) {
		struct task *t = job_find_task(s.job, 0, 0, i);

		task_end_run(t, RUN_NEVER_STARTED, NULL, 1000);
		t->checkpoint =
			g_strdup_printf("%016llx", 0x9e3779b97f4a7c15ULL * i);
		task_place(t, u[i % UPSTREAMS], 12, 1000);
	}
	row = run_encode(s.job);
	assert_in_range(strlen(row), TASKS, STORE_VALUE_BYTES);
	free(row);
	fixture_destroy(&s);
}

/*
 * The tasks of a row are separated by spaces. Guards against a checkpoint that
 * gives tasks the runs of others.
 */
static void test_checkpoint_with_spaces_keeps_runs_apart(void **state)
{
	static const char *const checkpoints[] = {"a b c", " ",	  "7*1,2,3 8",
						  "%41",   "=3 ", "100% x"};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(checkpoints); i++) {
		struct fixture s, t;
		char *row;

		fixture_create(&s, 3, false);
		fixture_create(&t, 3, false);
		for (uint32_t k = 0; k < 3; k++)
			task_end_run(job_find_task(t.job, 0, 0, k),
				     RUN_NEVER_STARTED, NULL, 2000);
		s.task->checkpoint = g_strdup(checkpoints[i]);
		task_end_run(job_find_task(s.job, 0, 0, 1), RUN_DONE, NULL,
			     2000);
		row = run_encode(s.job);
		assert_true(run_decode(t.job, row, inherit_run, t.model));
		assert_string_equal(t.task->checkpoint, checkpoints[i]);
		assert_true(task_is_active(t.task));
		assert_int_equal(job_find_task(t.job, 0, 0, 1)->state,
				 TASK_DONE);
		assert_true(task_is_active(job_find_task(t.job, 0, 0, 2)));
		free(row);
		fixture_destroy(&s);
		fixture_destroy(&t);
	}
}

/*
 * A checkpoint of another version, or of another writer, whose escapes are no
 * text. Guards against a row of which the stage is missing.
 */
static void test_checkpoint_without_escapes_is_kept(void **state)
{
	static const char *const checkpoints[] = {"%98x", "%", "%zz", "%00",
						  "100%"};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(checkpoints); i++) {
		char *text = g_strdup_printf("{\"state\":\"running\","
					     "\"stages\":[[0,\"4,0,,%s\",0]]}",
					     checkpoints[i]);
		struct fixture s, t;
		char *row;

		fixture_create(&s, 1, false);
		fixture_create(&t, 1, false);
		task_end_run(s.task, RUN_NEVER_STARTED, NULL, 2000);
		task_end_run(t.task, RUN_NEVER_STARTED, NULL, 2000);
		assert_true(run_decode(s.job, text, inherit_run, s.model));
		row = run_encode(s.job);
		assert_true(run_decode(t.job, row, inherit_run, t.model));
		assert_int_equal(t.task->run, 4);
		assert_string_equal(t.task->checkpoint, checkpoints[i]);
		free(row);
		g_free(text);
		fixture_destroy(&s);
		fixture_destroy(&t);
	}
}

static void note_address(void *arg, struct task *t, const struct run_place *at)
{
	char *addresses = arg;

	(void)t;
	address_format(&at->address, addresses, ADDRESS_TEXT_BYTES);
	if (!at->address.sin_port)
		*addresses = '\0';
}

/*
 * The address of an upstream is recorded with its runs. One that is odd, or
 * that a row of an earlier version lacks, costs itself alone: the run is active
 * at an unknown address. An earlier version ignores the addresses.
 */
static void test_address_of_upstream_is_recorded_with_its_runs(void **state)
{
	static const struct {
		const char *field, *address;
	} rows[] = {
		{"", ""},
		{"\"addresses\":[\"10.3.64.16:8248\"],", "10.3.64.16:8248"},
		{"\"addresses\":[\"\",\"10.3.64.16:8248\"],", ""},
		{"\"addresses\":[],", ""},
		{"\"addresses\":7,", ""},
		{"\"addresses\":[7],", ""},
		{"\"addresses\":{\"0\":\"10.3.64.16:8248\"},", ""},
		{"\"addresses\":[\"10.3.64.16\"],", ""},
		{"\"addresses\":[\"10.3.64.16:0\"],", ""},
		{"\"addresses\":[\"10.3.64.16:82480\"],", ""},
		{"\"addresses\":[\"0.0.0.0:8248\"],", ""},
		{"\"addresses\":[\"239.1.2.3:8248\"],", ""},
		{"\"addresses\":[\"upstream:8248\"],", ""},
		{"\"unknown\":[\"10.3.64.16:8248\"],", ""},
	};
	char address[ADDRESS_TEXT_BYTES];
	struct fixture s;
	char *row;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		row = g_strdup_printf("{\"state\":\"running\",\"lives\":"
				      "[\"u1@77\"],%s\"stages\":"
				      "[[0,\"4,0,0\",0]]}",
				      rows[i].field);
		fixture_create(&s, 1, false);
		strcpy(address, "none");
		assert_true(run_decode(s.job, row, note_address, address));
		assert_string_equal(address, rows[i].address);
		g_free(row);
		fixture_destroy(&s);
	}
	fixture_create(&s, 1, false);
	strcpy(s.task->at->address, "10.3.64.16:8248");
	row = run_encode(s.job);
	assert_true(run_decode(s.job, row, note_address, address));
	assert_string_equal(address, "10.3.64.16:8248");
	free(row);
	fixture_destroy(&s);
}

/* Decode a run row whose only stage has these tasks, between two sound ones. */
static bool decode_tasks(struct fixture *s, const char *tasks,
			 const char *incarnation)
{
	char *row = g_strdup_printf("{\"state\":\"running\",\"lives\":"
				    "[\"u1@77\",\"%s\"],\"stages\":"
				    "[[0,\"4,0,0 %s 5,0,0\",0]]}",
				    incarnation, tasks);
	bool ok = run_decode(s->job, row, inherit_run, s->model);

	g_free(row);
	return ok;
}

#define X40 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"

/* An odd task costs itself alone: the tasks beside it keep their runs. */
static void test_odd_tasks_of_a_run_row_cost_themselves_alone(void **state)
{
	static const char *const odd[][2] = {
		{"x", "u1@77"},
		{"-1,0,", "u1@77"},
		{"4294967295,0,", "u1@77"},
		{"18446744073709551617,0,", "u1@77"},
		{"1,-1,", "u1@77"},
		{"1,4294967296,", "u1@77"},
		{"1,0,x", "u1@77"},
		{"1,0,7", "u1@77"},
		{"1,0,-1", "u1@77"},
		{"1,0,1", ""},
		{"1,0,1", "u1"},
		{"1,0,1", "@77"},
		{"1,0,1", "u1@"},
		{"1,0,1", "u1@-77"},
		{"1,0,1", "u1@77x"},
		/* a start that makes all later ones older */
		{"1,0,1", "u1@9223372036854775807"},
		{"1,0,1", X40 X40 X40 X40 X40 "x@77"},
		{"0,0,0", "u1@77"},
		{"0,3,", "u1@77"},
		{"=", "u1@77"},
		{"=0", "u1@77"},
		{"=-1", "u1@77"},
		{"=99999999999", "u1@77"},
		{"1*x", "u1@77"},
		{",,,", "u1@77"},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		struct fixture s;

		fixture_create(&s, 3, false);
		for (uint32_t k = 0; k < 3; k++)
			task_end_run(job_find_task(s.job, 0, 0, k),
				     RUN_NEVER_STARTED, NULL, 2000);
		if (decode_tasks(&s, odd[i][0], odd[i][1]))
			fail_msg("%s %s", odd[i][0], odd[i][1]);
		assert_int_equal(s.task->run, 4);
		assert_true(task_is_active(s.task));
		assert_int_equal(job_find_task(s.job, 0, 0, 1)->state,
				 TASK_WAITING);
		assert_int_equal(job_find_task(s.job, 0, 0, 2)->run, 5);
		assert_true(task_is_active(job_find_task(s.job, 0, 0, 2)));
		assert_int_equal(s.upstream->started_wall_ms, 77);
		assert_int_equal(s.model->fleet->list->len, 1);
		fixture_destroy(&s);
	}
}

/* Guards against a leader that ends, or that works on one row for ever. */
static void test_odd_run_rows_are_survived(void **state)
{
	static const char *const rows[] = {
		"",
		"7",
		"[]",
		"{}",
		"{\"state\":\"odd\"}",
		"{\"state\":7}",
		"{\"state\":\"running\",\"stages\":{}}",
		"{\"state\":\"running\",\"stages\":[7,[],[[],[],[]],[{}]]}",
		"{\"state\":\"running\",\"stages\":"
		"[[-1,\"18446744073709551615*=1\",-1]]}",
		"{\"state\":\"running\",\"stages\":[[0,\"0*=1 *=1 2**\",0]]}",
		"{\"state\":\"running\",\"lives\":{},\"stages\":"
		"[[1e300,\"1,0,0\",\"x\"]]}",
		"{\"state\":\"running\",\"suspicions\":[7,[],[-1,-1],"
		"[0,0,-1,9223372036854775807,-1,-1],[9,9],[0,9999]]}",
		"{\"state\":\"running\",\"ended_ms\":-1}",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct fixture s;

		fixture_create(&s, 3, false);
		for (uint32_t k = 0; k < 3; k++)
			task_end_run(job_find_task(s.job, 0, 0, k),
				     RUN_NEVER_STARTED, NULL, 2000);
		run_decode(s.job, rows[i], inherit_run, s.model);
		assert_in_range(s.job->stages[0].done, 0, 3);
		assert_in_range(s.job->stages[0].failures, 0, INT32_MAX);
		assert_in_range(s.job->ended_ms, 0, INT64_C(1) << 53);
		free(run_encode(s.job));
		fixture_destroy(&s);
	}
}

/* Parts of a spec row. */
#define SPEC(steps) "{\"queue\":\"q\",\"steps\":[" steps "]}"
#define STEP(field) SPEC("{\"count\":2,\"cpu_milli\":5," field "}")

static void test_odd_spec_rows_are_refused(void **state)
{
	static const char *const rows[] = {
		"",
		"7",
		"[]",
		"{}",
		"{\"queue\":\"q\"}",
		"{\"queue\":7,\"steps\":[{\"count\":1}]}",
		SPEC(""),
		SPEC("7"),
		SPEC("[]"),
		SPEC("{\"count\":0}"),
		SPEC("{\"count\":-1}"),
		SPEC("{\"count\":4000000000}"),
		SPEC("{\"count\":4294967297}"),
		SPEC("{\"count\":\"1\"}"),
		STEP("\"memory_mb\":-1"),
		STEP("\"memory_mb\":9223372036854775807"),
		STEP("\"accelerators\":1e300"),
		STEP("\"estimate_ms\":4294967296"),
		STEP("\"spread\":-1"),
		STEP("\"target_ms\":[]"),
		STEP("\"label\":7"),
		STEP("\"after\":[-4294967296]"),
		STEP("\"after\":[0]"),
		STEP("\"after\":[{}]"),
		"{\"queue\":\"q\",\"repeat\":4294967297,\"steps\":[{}]}",
		"{\"queue\":\"q\",\"repeat\":1000,\"steps\":[{\"count\":5}]}",
	};
	static const char *const ids[] = {"", ".", "a.b",
					  "000000000000000000000000"};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		if (spec_decode("a", rows[i]))
			fail_msg("%s", rows[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		assert_null(spec_decode(ids[i], SPEC("{}")));
}

static void test_odd_settings_of_a_spec_row_are_bounded(void **state)
{
	struct job *j = spec_decode(
		"a", "{\"queue\":\"q\",\"received_ms\":-1,"
		     "\"start_at_wall_ms\":-1,\"interval_ms\":-1,"
		     "\"settings\":{\"service\":\"s\",\"priority\":-1,"
		     "\"max_attempts\":-1,\"slack_factor\":1e300,"
		     "\"target_ms\":-1},\"steps\":[{}]}");

	(void)state;
	assert_non_null(j);
	assert_int_equal(j->received_ms, 0);
	assert_int_equal(j->start_at_wall_ms, 0);
	assert_int_equal(j->interval_ms, 0);
	assert_int_equal(j->priority, 0);
	assert_int_equal(j->max_attempts, 1);
	assert_true(j->slack_factor == 1000);
	assert_int_equal(j->target_ms, 0);
	job_destroy(j);
}

static void test_odd_state_and_job_rows_are_refused(void **state)
{
	static const char *const states[] = {
		"",
		"[]",
		"{}",
		"{\"state\":7}",
		"{\"state\":\"odd\"}",
		"{\"state\":\"completed\",\"ended_ms\":-1}",
		"{\"state\":\"completed\",\"ended_ms\":\"7\"}",
		"{\"state\":\"completed\",\"ended_ms\":9223372036854775807}"};
	static const char *const jobs[] = {"",
					   "[]",
					   "{}",
					   "{\"queue\":7}",
					   "{\"queue\":\"\"}",
					   "{\"queue\":\"q\",\"account\":7}"};
	struct state_record r;
	struct job_record j;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(states); i++)
		if (state_decode(states[i], &r))
			fail_msg("%s", states[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++)
		if (job_decode(jobs[i], &j))
			fail_msg("%s", jobs[i]);
}

/* Guards against an accepted job that callers hear does not exist. */
static void test_odd_rows_do_not_replace_what_is_known_of_a_job(void **state)
{
	static const char *const odd[] = {"", "[]", "{}", "{\"state\":7}",
					  "{\"queue\":7}"};
	struct job_cache *c = job_cache_create();

	(void)state;
	job_cache_apply_job_row(c, KEY_JOB "a", "{\"queue\":\"q\"}");
	job_cache_apply_state_row(c, "a", "{\"state\":\"running\"}");
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		job_cache_apply_job_row(c, KEY_JOB "a", odd[i]);
		job_cache_apply_state_row(c, "a", odd[i]);
		job_cache_apply_job_row(c, KEY_JOB "b", odd[i]);
	}
	assert_non_null(job_cache_find_accepted(c, "a"));
	assert_int_equal(job_cache_find(c, "a")->state, JOB_RUNNING);
	assert_null(job_cache_find(c, "b"));
	job_cache_apply_job_row(c, KEY_JOB "a", NULL);
	assert_null(job_cache_find(c, "a"));
	job_cache_destroy(c);
}

/* Guards against the end of one run that ends another. */
static void test_odd_task_names_name_no_task(void **state)
{
	static const char *const odd[] = {
		"",
		".",
		"a",
		"a.0.0",
		"a.0.0.",
		"a.0.0.0x",
		"a.0.0.0.0",
		"a.0.0. 0",
		"a.0.0.+0",
		"a.0.0.-0",
		"a.0.0.00",
		"a.0.00.0",
		"a.0.0.4294967296",
		"a.0.0.18446744073709551616",
		"a.99999999999999999999999999.0.0",
		".0.0.0",
		"000000000000000000000000.0.0.0",
	};
	uint32_t occurrence, step, index;
	char id[JOB_ID_BYTES];

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++)
		if (task_parse_name(odd[i], id, &occurrence, &step, &index))
			fail_msg("%s", odd[i]);
	assert_true(task_parse_name("00000000000000000000000.1.20.4294967295",
				    id, &occurrence, &step, &index));
	assert_string_equal(id, "00000000000000000000000");
	assert_int_equal(occurrence, 1);
	assert_int_equal(step, 20);
	assert_int_equal(index, UINT32_MAX);
}

/*
 * Guards against a row that lacks a step, or the tasks of one, as a text of it
 * cannot be encoded: it would be read as another job.
 */
static void test_row_with_a_text_that_is_not_utf8_is_not_encoded(void **state)
{
	struct fixture s;
	struct job *j = job_create("00000000000000a1");
	struct step *step;
	char *row;

	(void)state;
	j->payload = g_strdup("");
	step = job_add_step(j);
	step->count = 1;
	step = job_add_step(j);
	step->count = 1;
	row = spec_encode(j);
	assert_non_null(row);
	assert_true(spec_matches(row, j));
	step_set_image(step, "a\xe0\xa6");
	assert_false(spec_matches(row, j));
	free(row);
	assert_null(spec_encode(j));
	step_set_image(step, "");
	text_set(&step->label, "\xff");
	assert_null(spec_encode(j));
	job_destroy(j);

	/* both tasks of this job are placed */
	fixture_create(&s, 2, false);
	row = run_encode(s.job);
	assert_non_null(row);
	free(row);
	s.task->checkpoint = g_strdup("\xff");
	assert_null(run_encode(s.job));
	fixture_destroy(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_address_of_upstream_is_recorded_with_its_runs),
		cmocka_unit_test(test_job_keeps_settings_of_removed_queue),
		cmocka_unit_test(test_job_without_settings_waits_for_its_queue),
		cmocka_unit_test(test_gang_failure_counts_once_across_leaders),
		cmocka_unit_test(
			test_run_row_of_largest_job_fits_into_the_store),
		cmocka_unit_test(
			test_row_with_a_text_that_is_not_utf8_is_not_encoded),
		cmocka_unit_test(test_odd_task_names_name_no_task),
		cmocka_unit_test(test_checkpoint_with_spaces_keeps_runs_apart),
		cmocka_unit_test(test_checkpoint_without_escapes_is_kept),
		cmocka_unit_test(
			test_odd_tasks_of_a_run_row_cost_themselves_alone),
		cmocka_unit_test(test_odd_run_rows_are_survived),
		cmocka_unit_test(test_odd_spec_rows_are_refused),
		cmocka_unit_test(test_odd_settings_of_a_spec_row_are_bounded),
		cmocka_unit_test(test_odd_state_and_job_rows_are_refused),
		cmocka_unit_test(
			test_odd_rows_do_not_replace_what_is_known_of_a_job),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
