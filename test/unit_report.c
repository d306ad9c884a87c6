/* Tests of the report: records in, causes of lost time out. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "report/prediction.h"
#include "report/print.h"
#include "report/window.h"

/* A report under test, with what it is made of. */
struct fixture {
	struct record_set *set;
	GArray *clocks;
	struct history *history;
};

static void add(struct fixture *f, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Add a line to the input. */
static void add(struct fixture *f, const char *fmt, ...)
{
	va_list ap;
	char *line;

	va_start(ap, fmt);
	line = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	record_set_add_line(f->set, line, strlen(line));
	g_free(line);
}

/* Add a record of an instance whose two clocks differ by 1,000,000 ms. */
static void add_event(struct fixture *f, const char *instance, int64_t ms,
		      const char *event, const char *fields)
{
	add(f,
	    "x {\"time_ms\":%" PRId64 ",\"mono_ms\":%" PRId64
	    ",\"instance\":\"%s\",\"event\":\"%s\"%s%s}",
	    ms + 1000000, ms, instance, event, *fields ? "," : "", fields);
}

static void fixture_create(struct fixture *f)
{
	*f = (struct fixture){.set = record_set_create()};
}

/* Evaluate the input. */
static void finish(struct fixture *f)
{
	f->clocks = clocks_align(f->set);
	f->history = history_create(f->set);
}

static void fixture_destroy(struct fixture *f)
{
	history_destroy(f->history);
	if (f->clocks)
		g_array_unref(f->clocks);
	record_set_destroy(f->set);
}

static const struct job_history *find_job(const struct fixture *f,
					  const char *id)
{
	for (guint i = 0; i < f->history->jobs->len; i++) {
		const struct job_history *j =
			g_ptr_array_index(f->history->jobs, i);

		if (!strcmp(g_quark_to_string(j->id), id))
			return j;
	}
	fail_msg("no history of job %s", id);
	return NULL;
}

/* Check that the parts of a job's time are in order and add up. */
static void assert_parts_add_up(const struct job_history *j)
{
	int64_t sum = 0, at = j->first_ms;

	for (guint i = 0; i < j->spans->len; i++) {
		const struct span *s = &g_array_index(j->spans, struct span, i);

		assert_int_equal(s->from_ms, at);
		assert_true(s->to_ms > s->from_ms);
		at = s->to_ms;
	}
	for (int c = 0; c < CAUSES_COUNT; c++)
		sum += j->by_cause_ms[c];
	assert_int_equal(sum, j->ended_ms - j->first_ms);
}

#define JOB "\"job\":\"0123456789abcdef\""
#define TASK0 JOB ",\"task\":\"0123456789abcdef.0.0.0\""
#define TASK1 JOB ",\"task\":\"0123456789abcdef.0.0.1\""
#define FACTS                                                                  \
	JOB ",\"queue\":\"q\",\"account\":\"a\",\"priority\":0,\"tasks\":2,"   \
	    "\"counts\":[2],\"accelerators\":8,\"cpu_milli\":1000,"            \
	    "\"gang\":true,\"estimate_ms\":1000,\"slack_factor\":1.5,"         \
	    "\"target_ms\":250,\"occurrences\":1,\"age_ms\":10"

/* Submit a gang of two tasks at 100 ms; the leader knows it at 120 ms. */
static void add_submission(struct fixture *f)
{
	add_event(f, "e", 110, "request_ended",
		  JOB ",\"kind\":\"submit\",\"status\":200,\"took_ms\":10");
	add_event(f, "l", 120, "job_known", FACTS);
}

/* Start both tasks as this run. */
static void add_starts(struct fixture *f, int64_t ms, int run)
{
	char *first = g_strdup_printf(TASK0 ",\"run\":%d", run);
	char *second = g_strdup_printf(TASK1 ",\"run\":%d", run);

	add_event(f, "l", ms, "start_decided", first);
	add_event(f, "l", ms, "start_decided", second);
	g_free(first);
	g_free(second);
}

static void waits_and_order_of_a_late_job_have_their_causes(void **state)
{
	struct fixture f;
	const struct job_history *j;

	(void)state;
	fixture_create(&f);
	add_submission(&f);
	add_event(&f, "l", 121, "stage_waits", JOB ",\"why\":\"loss\"");
	add_event(&f, "l", 1000, "stage_waits", JOB ",\"why\":\"stops\"");
	add_starts(&f, 1500, 1);
	add_event(&f, "l", 2530, "run_ended",
		  TASK0 ",\"run\":1,\"how\":\"done\",\"after_ms\":1030,"
			"\"confirmed_after_ms\":30");
	add_event(&f, "l", 2540, "job_state", JOB ",\"state\":\"completed\"");
	finish(&f);
	j = find_job(&f, "0123456789abcdef");
	assert_parts_add_up(j);
	assert_int_equal(j->by_cause_ms[CAUSE_SUBMITTING], 10);
	assert_int_equal(j->by_cause_ms[CAUSE_UNKNOWN], 10);
	assert_int_equal(j->by_cause_ms[CAUSE_RESOURCES], 880);
	assert_int_equal(j->by_cause_ms[CAUSE_STOPS], 500);
	assert_int_equal(j->by_cause_ms[CAUSE_ORDER], 30);
	assert_int_equal(j->by_cause_ms[CAUSE_RUNNING], 1000);
	assert_int_equal(j->by_cause_ms[CAUSE_NOT_RECORDED], 10);
	assert_int_equal(j->outcome, OUTCOME_LATE);
	fixture_destroy(&f);
}

/*
 * Guards against a late job that counts as in time because its runs on a slow
 * upstream are taken for the length of its work.
 */
static void a_job_late_by_a_slow_upstream_is_late(void **state)
{
	struct fixture f;

	(void)state;
	for (int known = 0; known < 2; known++) {
		const struct job_history *j;

		fixture_create(&f);
		add_submission(&f);
		add_event(&f, "l", 130, "start_decided",
			  TASK0 ",\"run\":1,\"upstream\":\"fast\"");
		add_event(&f, "l", 130, "start_decided",
			  TASK1 ",\"run\":1,\"upstream\":\"slow\"");
		add_event(&f, "l", 3530, "run_ended",
			  TASK0 ",\"run\":1,\"how\":\"done\",\"after_ms\":3400,"
				"\"upstream\":\"fast\"");
		add_event(&f, "l", 3540, "job_state",
			  JOB ",\"state\":\"completed\"");
		if (known)
			add_event(&f, "l", 4000, "upstream_speed",
				  "\"upstream\":\"slow\","
				  "\"slowdown_permille\":1700,"
				  "\"sd_permille\":150");
		finish(&f);
		j = find_job(&f, "0123456789abcdef");
		assert_int_equal(j->objective_ms, known ? 2000 * 3 / 2 + 250
							: 3400 * 3 / 2 + 250);
		assert_int_equal(j->outcome,
				 known ? OUTCOME_LATE : OUTCOME_IN_TIME);
		fixture_destroy(&f);
	}
}

/* Guards against an objective that its integer type cannot hold. */
static void a_job_with_a_huge_slack_factor_ends_in_time(void **state)
{
	struct fixture f;

	(void)state;
	fixture_create(&f);
	add_event(&f, "l", 120, "job_known",
		  JOB ",\"queue\":\"q\",\"tasks\":2,\"estimate_ms\":1000,"
		      "\"slack_factor\":1e300,\"target_ms\":250");
	add_starts(&f, 120, 1);
	add_event(&f, "l", 1120, "job_state", JOB ",\"state\":\"completed\"");
	finish(&f);
	assert_int_equal(find_job(&f, "0123456789abcdef")->outcome,
			 OUTCOME_IN_TIME);
	fixture_destroy(&f);
}

/* Guards against times of options that an integer type cannot hold. */
static void a_report_until_a_far_time_includes_all_jobs(void **state)
{
	struct fixture f;
	struct report r;

	(void)state;
	fixture_create(&f);
	add_submission(&f);
	finish(&f);
	r = (struct report){.history = f.history, .filter = {.until_s = 1e30}};
	assert_true(report_includes(&r, find_job(&f, "0123456789abcdef")));
	r.filter = (struct report_filter){.since_s = 1e30};
	assert_false(report_includes(&r, find_job(&f, "0123456789abcdef")));
	fixture_destroy(&f);
}

static void a_failed_run_of_a_gang_is_lost_with_the_wait_after_it(void **state)
{
	struct fixture f;
	const struct job_history *j;

	(void)state;
	fixture_create(&f);
	add_submission(&f);
	add_starts(&f, 120, 1);
	add_event(&f, "l", 620, "run_ended",
		  TASK0 ",\"run\":1,\"how\":\"failed\",\"after_ms\":500");
	add_event(&f, "l", 640, "run_ended",
		  TASK1 ",\"run\":1,\"how\":\"broken\",\"after_ms\":520");
	add_starts(&f, 820, 2);
	add_event(&f, "l", 1820, "run_ended",
		  TASK1 ",\"run\":2,\"how\":\"done\",\"after_ms\":1000");
	add_event(&f, "l", 1820, "job_state", JOB ",\"state\":\"completed\"");
	finish(&f);
	j = find_job(&f, "0123456789abcdef");
	assert_parts_add_up(j);
	assert_int_equal(j->by_cause_ms[CAUSE_FAILED], 700);
	assert_int_equal(j->by_cause_ms[CAUSE_RUNNING], 1000);
	/* 8 accelerators and a core: 65 cores, for 0.5 and 0.52 s */
	assert_int_equal(f.history->wastes->len, 2);
	assert_int_equal(
		g_array_index(f.history->wastes, struct waste, 0).core_seconds *
				1000 +
			0.5,
		33800);
	fixture_destroy(&f);
}

static void waits_without_a_leader_belong_to_the_outage(void **state)
{
	struct fixture f;
	const struct job_history *j;

	(void)state;
	fixture_create(&f);
	add_event(&f, "l", 10, "leading", "\"epoch\":1");
	add_event(&f, "e", 110, "request_ended",
		  JOB ",\"kind\":\"submit\",\"status\":200,\"took_ms\":10");
	add_event(&f, "l", 300, "stopping", "");
	add_event(&f, "m", 1300, "leading", "\"epoch\":2");
	add_event(&f, "m", 1310, "job_known", FACTS);
	add_starts(&f, 1320, 1);
	finish(&f);
	j = find_job(&f, "0123456789abcdef");
	assert_parts_add_up(j);
	assert_int_equal(j->by_cause_ms[CAUSE_UNKNOWN], 190 + 10);
	assert_int_equal(j->by_cause_ms[CAUSE_NO_LEADER], 1000);
	assert_int_equal(j->outcome, OUTCOME_OPEN);
	fixture_destroy(&f);
}

static void waits_of_a_leader_without_the_store_belong_to_it(void **state)
{
	struct fixture f;
	const struct job_history *j;

	(void)state;
	fixture_create(&f);
	add_event(&f, "l", 10, "leading", "\"epoch\":1");
	add_submission(&f);
	add_event(&f, "l", 200, "store_lost", "\"table\":\"t\"");
	add_event(&f, "e", 200, "store_lost", "\"table\":\"t\"");
	add_event(&f, "e", 500, "store_regained", "\"table\":\"t\"");
	add_event(&f, "l", 700, "store_regained", "\"table\":\"t\"");
	add_starts(&f, 720, 1);
	finish(&f);
	j = find_job(&f, "0123456789abcdef");
	assert_parts_add_up(j);
	assert_int_equal(j->by_cause_ms[CAUSE_STORE_AWAY], 500);
	assert_int_equal(j->by_cause_ms[CAUSE_RESOURCES], 100);
	fixture_destroy(&f);
}

/* Instance b is 5 s ahead and its clock is set back during its life. */
static void clocks_that_differ_and_are_set_are_aligned(void **state)
{
	struct fixture f;

	(void)state;
	fixture_create(&f);
	for (int i = 0; i < 5; i++) {
		char version[32];

		snprintf(version, sizeof(version), "\"version\":%d", i + 1);
		add_event(&f, "a", 1000 * i, "policy", version);
		add_event(&f, "c", 1000 * i + 20, "policy", version);
		add(&f,
		    "{\"time_ms\":%d,\"mono_ms\":%d,\"instance\":\"b\","
		    "\"event\":\"policy\",%s}",
		    1005000 + 1000 * i + (i == 4 ? 3000 : 0), 700 + 1000 * i,
		    version);
	}
	finish(&f);
	for (guint i = 0; i < f.clocks->len; i++) {
		const struct clock_note *n =
			&g_array_index(f.clocks, struct clock_note, i);
		bool is_b = !strcmp(g_quark_to_string(n->instance), "b");

		assert_in_range(n->offset_ms, is_b ? 4900 : 0, is_b ? 5000 : 0);
		assert_int_equal(n->steps, is_b);
	}
	for (guint i = 1; i < f.set->records->len; i++)
		assert_true(g_array_index(f.set->records, struct record, i)
				    .time_ms >=
			    g_array_index(f.set->records, struct record, i - 1)
				    .time_ms);
	assert_in_range(f.history->last_ms - f.history->first_ms, 4000, 4100);
	fixture_destroy(&f);
}

static void lines_that_are_no_records_are_counted(void **state)
{
	struct fixture f;

	(void)state;
	fixture_create(&f);
	add(&f, "a line of another program");
	add(&f, "{\"time_ms\":1,\"instance\":\"a\",\"event\":\"job_st");
	add(&f, "{\"time_ms\":\"soon\",\"instance\":\"a\",\"event\":\"x\"}");
	add(&f, "{\"time_ms\":5,\"instance\":\"a\",\"event\":\"policy\"}");
	add(&f, "{\"time_ms\":5,\"instance\":\"a\",\"event\":\"policy\"}");
	add(&f, "{\"time_ms\":6,\"instance\":\"a\",\"event\":\"dance\"}");
	add(&f, "{\"time_ms\":7,\"instance\":\"a\",\"event\":\"run_ended\","
		"\"job\":\"j\",\"task\":\"no name\",\"after_ms\":-5,"
		"\"how\":\"\",\"dropped\":3}");
	finish(&f);
	assert_int_equal(f.set->stats.lines, 7);
	assert_int_equal(f.set->stats.foreign, 1);
	assert_int_equal(f.set->stats.malformed, 2);
	assert_int_equal(f.set->stats.duplicates, 1);
	assert_int_equal(f.set->stats.unknown, 1);
	assert_int_equal(f.set->stats.dropped, 3);
	assert_int_equal(f.set->stats.records, 3);
	fixture_destroy(&f);
}

/* Records in any order give the same report. */
static void the_order_of_the_input_does_not_matter(void **state)
{
	struct fixture f;
	const struct job_history *j;

	(void)state;
	fixture_create(&f);
	add_event(&f, "l", 1140, "job_state", JOB ",\"state\":\"completed\"");
	add_event(&f, "l", 1130, "run_ended",
		  TASK0 ",\"run\":1,\"how\":\"done\",\"after_ms\":1000");
	add_starts(&f, 130, 1);
	add_submission(&f);
	finish(&f);
	j = find_job(&f, "0123456789abcdef");
	assert_parts_add_up(j);
	assert_int_equal(j->outcome, OUTCOME_IN_TIME);
	assert_int_equal(j->by_cause_ms[CAUSE_RUNNING], 1000);
	fixture_destroy(&f);
}

/* The text and JSON outputs name the job's queue and its cause. */
static void the_report_names_queues_causes_and_moments(void **state)
{
	struct fixture f;
	struct report r;
	char *text = NULL;
	size_t len;

	(void)state;
	fixture_create(&f);
	add_submission(&f);
	add_starts(&f, 2500, 1);
	add_event(&f, "l", 3500, "run_ended",
		  TASK0 ",\"run\":1,\"how\":\"done\",\"after_ms\":1000");
	add_event(&f, "l", 3500, "job_state", JOB ",\"state\":\"completed\"");
	finish(&f);
	r = (struct report){.set = f.set,
			    .history = f.history,
			    .clocks = f.clocks,
			    .out = open_memstream(&text, &len)};
	report_print(&r);
	r.json = true;
	report_print(&r);
	assert_true(report_print_job(&r, "0123456789abcdef"));
	assert_false(report_print_job(&r, "fedcba9876543210"));
	fclose(r.out);
	assert_non_null(strstr(text, "1 jobs not served in time"));
	assert_non_null(strstr(text, "\nresources          2.4 1\n"));
	assert_non_null(strstr(text, "\"record\":\"moment\""));
	assert_non_null(strstr(text, "\"outcome\":\"late\""));
	free(text);
	fixture_destroy(&f);
}

#define LATE "\"job\":\"f469baaca9ee3a15\""
#define LATE_TASK LATE ",\"task\":\"f469baaca9ee3a15.0.0.0\""
#define FAILED "\"job\":\"d933b961f6312806\""
#define FAILED_TASK FAILED ",\"task\":\"d933b961f6312806.0.0.0\""
#define REFUSED "\"job\":\"bd9b443e5770e449\""

/* Add the records of the three worked examples of docs/OPERATIONS.md. */
static void add_worked_examples(struct fixture *f)
{
	add_event(f, "o2", 33169, "leading", "\"epoch\":1");
	add_event(f, "s2", 33169, "request_ended",
		  FAILED ",\"kind\":\"submit\",\"status\":200");
	add_event(f, "o2", 33169, "job_known", FAILED ",\"tasks\":1");
	add_event(f, "o2", 33170, "start_decided", FAILED_TASK ",\"run\":1");
	add_event(f, "o2", 34200, "run_ended",
		  FAILED_TASK ",\"run\":1,\"how\":\"failed\"");
	add_event(f, "o2", 34201, "start_decided", FAILED_TASK ",\"run\":2");
	add_event(f, "a3", 35933, "request_ended",
		  LATE ",\"kind\":\"submit\",\"status\":200,\"took_ms\":10");
	add_event(f, "o2", 35934, "job_known",
		  LATE ",\"tasks\":1,\"gang\":true,\"slack_factor\":1.5,"
		       "\"target_ms\":250");
	add_event(f, "o2", 35938, "stage_waits", LATE ",\"why\":\"stops\"");
	add_event(f, "o2", 36318, "start_decided", LATE_TASK ",\"run\":1");
	add_event(f, "o2", 36726, "stop_decided",
		  LATE_TASK ",\"run\":1,\"why\":\"room\"");
	add_event(f, "o2", 36853, "run_ended",
		  LATE_TASK ",\"run\":1,\"how\":\"stopped\"");
	add_event(f, "o2", 37063, "stage_waits", LATE ",\"why\":\"loss\"");
	add_event(f, "o2", 38031, "start_decided", LATE_TASK ",\"run\":2");
	add_event(f, "o2", 40663, "run_ended",
		  LATE_TASK ",\"run\":2,\"how\":\"done\",\"after_ms\":2632,"
			    "\"confirmed_after_ms\":12");
	add_event(f, "o2", 40663, "job_state", LATE ",\"state\":\"completed\"");
	add_event(f, "o2", 41242, "run_ended",
		  FAILED_TASK ",\"run\":2,\"how\":\"failed\"");
	add_event(f, "o2", 41242, "job_state", FAILED ",\"state\":\"failed\"");
	add_event(f, "o2", 41500, "store_lost", "\"table\":\"t\"");
	add_event(f, "o2", 42251, "request_refused",
		  REFUSED ",\"kind\":\"submit\",\"status\":503");
	add_event(f, "o1", 43357, "request_refused",
		  REFUSED ",\"kind\":\"submit\",\"status\":503");
	add_event(f, "o2", 44587, "store_regained", "\"table\":\"t\"");
	add_event(f, "o2", 44587, "job_known", REFUSED ",\"tasks\":1");
	add_event(f, "o2", 44588, "request_ended",
		  REFUSED ",\"kind\":\"submit\",\"status\":200");
}

static void the_worked_examples_of_the_operators_page_hold(void **state)
{
	struct fixture f;
	const struct job_history *j;

	(void)state;
	fixture_create(&f);
	add_worked_examples(&f);
	finish(&f);
	j = find_job(&f, "bd9b443e5770e449");
	assert_parts_add_up(j);
	assert_int_equal(j->by_cause_ms[CAUSE_STORE_AWAY], 2336);
	j = find_job(&f, "f469baaca9ee3a15");
	assert_parts_add_up(j);
	assert_int_equal(j->by_cause_ms[CAUSE_STOPS], 380);
	assert_int_equal(j->by_cause_ms[CAUSE_STOPPED], 1713);
	assert_int_equal(j->by_cause_ms[CAUSE_RUNNING], 2620);
	assert_int_equal(j->outcome, OUTCOME_LATE);
	j = find_job(&f, "d933b961f6312806");
	assert_parts_add_up(j);
	assert_int_equal(j->outcome, OUTCOME_FAILED);
	fixture_destroy(&f);
}

/*
 * Guards against a table that does not show what learning is worth: all
 * estimates of one queue are double the work, those of the other are right.
 */
static void test_predictions_are_compared_with_estimates(void **state)
{
	struct fixture f;
	struct report r = {0};
	const struct prediction_error *x;
	GArray *list;

	(void)state;
	fixture_create(&f);
	for (int i = 0; i < 60; i++) {
		int work_ms = 1000 + 37 * (i % 20);
		char *facts = g_strdup_printf(
			"\"job\":\"%016d\",\"queue\":\"%s\",\"account\":\"a\","
			"\"tasks\":1,\"counts\":[1],\"cpu_milli\":1000,"
			"\"estimate_ms\":%d",
			i, i % 2 ? "right" : "double",
			i % 2 ? work_ms : 2 * work_ms);
		char *start = g_strdup_printf(
			"\"job\":\"%016d\",\"task\":\"%016d.0.0.0\",\"run\":1",
			i, i);
		char *inherited = g_strdup_printf(
			"\"job\":\"%016d\",\"task\":\"%016d.0.0.0\",\"run\":1,"
			"\"how\":\"done\",\"after_ms\":20,"
			"\"confirmed_after_ms\":3",
			i, i);
		char *end = g_strdup_printf(
			"\"job\":\"%016d\",\"task\":\"%016d.0.0.0\",\"run\":1,"
			"\"how\":\"done\",\"after_ms\":%d,"
			"\"confirmed_after_ms\":3",
			i, i, work_ms);

		add_event(&f, "l", 100 + 10 * i, "job_known", facts);
		add_event(&f, "l", 105 + 10 * i, "start_decided", start);
		add_event(&f, "l", 5000 + 10 * i, "run_ended", end);
		/* one that another leader has placed was seen in part only */
		add_event(&f, "m", 5001 + 10 * i, "run_ended", inherited);
		g_free(start);
		g_free(inherited);
		g_free(facts);
		g_free(end);
	}
	/* a run of a later step, whose estimate is not recorded, is left out */
	add_event(&f, "l", 9000, "run_ended",
		  "\"job\":\"0000000000000001\","
		  "\"task\":\"0000000000000001.0.1.0\",\"run\":1,"
		  "\"how\":\"done\",\"after_ms\":50000");
	finish(&f);
	r.set = f.set;
	list = predictions_evaluate(&r);
	assert_int_equal(list->len, 2);
	x = &g_array_index(list, struct prediction_error, 0);
	assert_string_equal(g_quark_to_string(x->queue), "double");
	assert_int_equal(x->runs, 30);
	assert_true(fabs(x->estimate - log(2)) < 0.01);
	assert_true(x->learned < 0.15 && x->learned < x->mean);
	assert_true(x->within_90 >= 0.9);
	x = &g_array_index(list, struct prediction_error, 1);
	assert_int_equal(x->runs, 30);
	assert_true(x->estimate < 0.001 && x->learned < 0.15);
	g_array_unref(list);
	fixture_destroy(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_predictions_are_compared_with_estimates),
		cmocka_unit_test(
			waits_and_order_of_a_late_job_have_their_causes),
		cmocka_unit_test(a_job_late_by_a_slow_upstream_is_late),
		cmocka_unit_test(a_job_with_a_huge_slack_factor_ends_in_time),
		cmocka_unit_test(a_report_until_a_far_time_includes_all_jobs),
		cmocka_unit_test(
			a_failed_run_of_a_gang_is_lost_with_the_wait_after_it),
		cmocka_unit_test(waits_without_a_leader_belong_to_the_outage),
		cmocka_unit_test(
			waits_of_a_leader_without_the_store_belong_to_it),
		cmocka_unit_test(clocks_that_differ_and_are_set_are_aligned),
		cmocka_unit_test(lines_that_are_no_records_are_counted),
		cmocka_unit_test(the_order_of_the_input_does_not_matter),
		cmocka_unit_test(the_report_names_queues_causes_and_moments),
		cmocka_unit_test(
			the_worked_examples_of_the_operators_page_hold),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
