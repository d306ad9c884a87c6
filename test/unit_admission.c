/*
 * Tests of admission while capacity is short: who is refused, when, and what
 * the refused are told.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>

#include "lead/admissionrow.h"
#include "sched/admission.h"

#define UPSTREAMS 10
/* Urgent jobs: five tasks of 2.5 s that take an upstream each. */
#define URGENT_TASKS 5
#define URGENT_MS 2500
#define URGENT_OBJECTIVE_MS 4000

struct site {
	struct fleet *fleet;
	struct estimator *estimator;
	GPtrArray *jobs;
	uint32_t number;
};

static void site_create(struct site *s)
{
	*s = (struct site){.fleet = fleet_create(),
			   .estimator = estimator_create(),
			   .jobs = g_ptr_array_new()};
	for (uint32_t i = 0; i < UPSTREAMS; i++) {
		char id[16];
		struct upstream *u;

		snprintf(id, sizeof(id), "u%u", i);
		u = fleet_add_upstream(s->fleet, id);
		upstream_describe(u, "s", "d", "a", "r");
		u->resources = (struct resources){64000, 131072, 8};
		u->synced = true;
	}
}

static void site_destroy(struct site *s)
{
	for (guint i = 0; i < s->jobs->len; i++) {
		struct job *j = g_ptr_array_index(s->jobs, i);

		for (uint32_t t = 0; t < j->steps[0].count; t++)
			if (j->stages[0].tasks[t].at)
				fleet_release(&j->stages[0].tasks[t]);
		job_destroy(j);
	}
	g_ptr_array_free(s->jobs, TRUE);
	estimator_destroy(s->estimator);
	fleet_destroy(s->fleet);
}

/* Submit n jobs whose tasks take a whole upstream. */
static void site_submit(struct site *s, const char *account, uint32_t priority,
			uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		char id[JOB_ID_BYTES];
		struct step *step;
		struct job *j;

		snprintf(id, sizeof(id), "%016x", ++s->number);
		j = job_create(id);
		text_set(&j->account, account);
		text_set_format(&j->queue, "q%u", priority);
		job_set_service(j, "s");
		j->queue_known = true;
		j->priority = priority;
		j->slack_factor = priority ? 3 : 1.5;
		j->target_ms = priority ? 1000 : 250;
		step = job_add_step(j);
		step->count = URGENT_TASKS;
		step->need = (struct resources){7500, 15000, 8};
		step->estimate_ms = priority ? 11000 : URGENT_MS;
		step->gang = true;
		job_create_stages(j);
		g_ptr_array_add(s->jobs, j);
	}
}

static struct admission *site_decide(const struct site *s)
{
	struct admission_input in = {.jobs = s->jobs,
				     .fleet = s->fleet,
				     .estimator = s->estimator,
				     .now_ms = 1000000,
				     .wall_ms = 1000000};

	return admission_decide(&in);
}

static struct admission_request urgent_of(const char *account)
{
	return (struct admission_request){.queue = "q0",
					  .account = account,
					  .path_ms = URGENT_MS,
					  .objective_ms = URGENT_OBJECTIVE_MS};
}

/*
 * Work that waits but can still end with some value refuses nobody. Guards
 * against refusals and writes on sites that are merely busy.
 */
static void a_busy_site_refuses_nobody(void **state)
{
	struct admission *a;
	struct site s;

	(void)state;
	site_create(&s);
	a = site_decide(&s);
	assert_int_equal(a->queues->len, 0);
	admission_destroy(a);
	/* 6 jobs of 5 x 2.5 s on 10 upstreams take 7.5 s; 9.5 s are the bound */
	site_submit(&s, "a", 0, 6);
	a = site_decide(&s);
	assert_int_equal(a->queues->len, 0);
	assert_int_equal(a->accounts->len, 0);
	admission_destroy(a);
	/* quiet work waits behind, and may do so for 91 s */
	site_submit(&s, "a", 1, 10);
	a = site_decide(&s);
	assert_int_equal(a->queues->len, 0);
	admission_destroy(a);
	site_destroy(&s);
}

/*
 * A large account has filled the urgent queue until new jobs could have no
 * value: it is refused, and told when the queue has drained so far that a job
 * starts in time. A small account is admitted. Guards against small accounts
 * that pay for large ones, and callers that come back too soon or too late.
 */
static void the_large_account_is_refused_first(void **state)
{
	struct admission_request large = urgent_of("large");
	struct admission_request small = urgent_of("small");
	struct admission *a;
	struct site s;

	(void)state;
	site_create(&s);
	site_submit(&s, "large", 0, 16); /* 20 s of the site */
	site_submit(&s, "small", 0, 1);	 /* 1.25 s */
	a = site_decide(&s);
	assert_int_equal(a->queues->len, 1);
	assert_int_equal(a->accounts->len, 1);
	/* 21 s of work, of which 1.5 s may be left at the start */
	assert_in_range(admission_retry_after_ms(a, &large), 19000, 20000);
	assert_int_equal(admission_retry_after_ms(a, &small), 0);
	large.covered = true;
	assert_int_equal(admission_retry_after_ms(a, &large), 0);
	large.covered = false;
	large.queue = "q1"; /* another queue, not short */
	assert_int_equal(admission_retry_after_ms(a, &large), 0);
	admission_destroy(a);
	site_destroy(&s);
}

/*
 * Many equal accounts together are too many: each is refused. Guards against a
 * backlog that grows without bound because nobody is above a share.
 */
static void equal_accounts_are_refused_alike(void **state)
{
	struct admission_request r = urgent_of("a0");
	struct admission *a;
	struct site s;

	(void)state;
	site_create(&s);
	for (int i = 0; i < 10; i++) {
		char name[8];

		snprintf(name, sizeof(name), "a%d", i);
		site_submit(&s, name, 0, 3);
	}
	a = site_decide(&s);
	assert_int_equal(a->queues->len, 1);
	assert_true(admission_retry_after_ms(a, &r) > 0);
	/* a longer objective still leaves value */
	r.objective_ms = 60000;
	assert_int_equal(admission_retry_after_ms(a, &r), 0);
	admission_destroy(a);
	site_destroy(&s);
}

/*
 * Runs of urgent work slow a queue below down, and lower work none above.
 * Guards against urgent jobs that are refused for quiet work.
 */
static void lower_work_refuses_no_urgent_job(void **state)
{
	struct admission_request r = urgent_of("a");
	struct admission *a;
	struct site s;

	(void)state;
	site_create(&s);
	site_submit(&s, "a", 1, 40); /* 220 s of the site */
	site_submit(&s, "a", 0, 1);
	a = site_decide(&s);
	assert_int_equal(a->queues->len, 1);
	assert_string_equal(
		g_array_index(a->queues, struct admission_queue, 0).name, "q1");
	assert_int_equal(admission_retry_after_ms(a, &r), 0);
	r.queue = "q1";
	assert_true(admission_retry_after_ms(a, &r) > 0);
	admission_destroy(a);
	site_destroy(&s);
}

/*
 * A decision is read from its row as it was written, rows that cannot be read
 * and rows from another time are left alone. Guards against an entry that
 * refuses for a leader that is gone, or after the store's clock began anew.
 */
static void rows_keep_the_decision_and_age(void **state)
{
	static const char *const bad[] = {"", "{}", "[]", "{\"written_ms\":-1}",
					  "{\"written_ms\":\"1\"}"};
	uint64_t written_ms = 0;
	struct admission *a, *b;
	struct site s;
	char *row;

	(void)state;
	site_create(&s);
	site_submit(&s, "large", 0, 20);
	a = site_decide(&s);
	row = admission_row_encode(a, 123456);
	b = admission_row_decode(row, &written_ms);
	assert_non_null(b);
	assert_int_equal(written_ms, 123456);
	assert_true(admission_is_equal(a, b));
	admission_destroy(b);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_null(admission_row_decode(bad[i], &written_ms));
	b = admission_row_decode("{\"written_ms\":1,\"queues\":[1,{}],"
				 "\"above_share\":[2]}",
				 &written_ms);
	assert_non_null(b);
	assert_int_equal(b->queues->len + b->accounts->len, 0);
	admission_destroy(b);
	assert_true(admission_row_is_valid(5000, 5000 + ADMISSION_AGE_MAX_MS));
	assert_false(admission_row_is_valid(5000, 5001 + ADMISSION_AGE_MAX_MS));
	assert_false(admission_row_is_valid(500000, 100));
	assert_true(ADMISSION_RENEW_MS * 2 < ADMISSION_AGE_MAX_MS);
	admission_destroy(a);
	free(row);
	site_destroy(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_busy_site_refuses_nobody),
		cmocka_unit_test(the_large_account_is_refused_first),
		cmocka_unit_test(equal_accounts_are_refused_alike),
		cmocka_unit_test(lower_work_refuses_no_urgent_job),
		cmocka_unit_test(rows_keep_the_decision_and_age),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
