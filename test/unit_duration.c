/*
 * Tests of the durations that are learned from ended runs: convergence, what
 * small groups borrow, quantiles, the tail, stopped runs and the bounds.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <stdio.h>

#include "sched/estimator.h"

/* Mean and standard deviation of the logarithms of the durations played. */
#define WORK_MS 4000.0
#define WORK_LOG_SD 0.4
/* Range of the logarithm of an estimate's error: off by 20 to 90 %. */
#define ESTIMATE_LOG_ERROR 0.6

struct fixture {
	struct duration_groups *d;
	GRand *rand;
};

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->d = duration_create();
	f->rand = g_rand_new_with_seed(7);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	duration_destroy(f->d);
	g_rand_free(f->rand);
	g_free(f);
	return 0;
}

/* The sum of twelve uniform numbers is nearly normal. */
static double random_normal(struct fixture *f)
{
	double sum = -6;

	for (int i = 0; i < 12; i++)
		sum += g_rand_double(f->rand);
	return sum;
}

static struct duration_key key(const char *queue, const char *account,
			       uint64_t estimate_ms)
{
	return (struct duration_key){queue, account, 2, estimate_ms};
}

/* Draw the work of a job and an estimate that is off by a factor `bias`. */
static double draw(struct fixture *f, double bias, uint64_t *estimate_ms)
{
	double work_ms = WORK_MS * exp(WORK_LOG_SD * random_normal(f));

	*estimate_ms =
		work_ms * bias *
		exp(g_rand_double_range(f->rand, -1, 1) * ESTIMATE_LOG_ERROR);
	return work_ms;
}

/* Record n runs of an account whose estimates are off by a factor. */
static void record(struct fixture *f, const char *queue, const char *account,
		   double bias, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		uint64_t estimate_ms;
		double work_ms = draw(f, bias, &estimate_ms);
		struct duration_key k = key(queue, account, estimate_ms);

		duration_record_run(f->d, &k, work_ms, 1);
	}
}

/* Return the mean squared error of the logarithm of predictions. */
static double prediction_error(struct fixture *f, const char *queue,
			       const char *account, double bias)
{
	const uint32_t n = 1000;
	double sum = 0;

	for (uint32_t i = 0; i < n; i++) {
		uint64_t estimate_ms;
		double work_ms = draw(f, bias, &estimate_ms);
		struct duration_key k = key(queue, account, estimate_ms);
		struct duration_estimate e = duration_predict(f->d, &k);

		sum += pow(log(e.median_ms / work_ms), 2);
	}
	return sum / n;
}

/* Guards against a change of service before anything was learned. */
static void nothing_learned_is_the_estimate(void **state)
{
	struct fixture *f = *state;
	struct duration_key k = key("q", "a", 1234);
	struct duration_estimate e = duration_predict(f->d, &k);

	assert_true(e.mean_ms == 1234 && e.median_ms == 1234 && e.runs == 0);
	assert_true(e.log_sd > 0.4 && e.log_sd < 0.5);
}

/*
 * Guards against estimates whose bias or noise is not learned: the error must
 * come near that of the best line, which is below that of the estimate and of
 * the mean.
 */
static void error_converges_to_that_of_the_best_line(void **state)
{
	struct fixture *f = *state;
	const double noise = ESTIMATE_LOG_ERROR * ESTIMATE_LOG_ERROR / 3;
	const double spread = WORK_LOG_SD * WORK_LOG_SD;
	double best = noise * spread / (noise + spread), error;

	record(f, "q", "a", 1.8, 300);
	error = prediction_error(f, "q", "a", 1.8);
	assert_true(error < 1.25 * best);
	assert_true(error < noise && error < spread);
}

/*
 * Guards against the faults of an account that are charged to others, and
 * against an account with few runs that learns slowly.
 */
static void an_account_with_few_runs_borrows_from_its_queue(void **state)
{
	struct fixture *f = *state;
	struct duration_key k = key("q", "new", 8000);
	double before, after_one, after_many;

	for (int i = 0; i < 10; i++) {
		char name[8];

		snprintf(name, sizeof(name), "a%d", i);
		record(f, "q", name, 2, 20);
	}
	/* the queue's estimates are twice the work */
	before = duration_predict(f->d, &k).median_ms;
	assert_true(before > 3500 && before < 6500);
	/* this account's estimates are exact; one run moves it a little */
	duration_record_run(f->d, &k, 8000, 1);
	after_one = duration_predict(f->d, &k).median_ms;
	assert_true(after_one > before * 1.05 && after_one < 7300);
	for (int i = 0; i < 60; i++)
		duration_record_run(f->d, &k, 8000, 1);
	after_many = duration_predict(f->d, &k).median_ms;
	assert_true(after_many > 7300 && after_many < 8400);
	/* the others keep theirs */
	k.account = "a3";
	assert_true(duration_predict(f->d, &k).median_ms < 6500);
}

/* Guards against queues that are predicted from the work of other queues. */
static void a_new_queue_takes_the_bias_and_not_the_level(void **state)
{
	struct fixture *f = *state;
	struct duration_key k = key("long", "a", 3600000);
	double median_ms;

	record(f, "short", "a", 1.5, 200);
	median_ms = duration_predict(f->d, &k).median_ms;
	assert_true(median_ms > 3600000 / 1.7 && median_ms < 3600000 / 1.3);
}

/*
 * Guards against a few runs that take seven times as long and are learned as
 * if all did: the median must not move, and the mean must count them.
 */
static void the_tail_is_kept_apart(void **state)
{
	struct fixture *f = *state;
	struct duration_key k = key("q", "a", 4000);
	struct duration_estimate e;

	for (uint32_t i = 0; i < 1000; i++) {
		double tail = i % 33 == 10 ? DURATION_TAIL_FACTOR : 1;

		duration_record_run(
			f->d, &k, 4000 * tail * exp(0.2 * random_normal(f)), 1);
	}
	e = duration_predict(f->d, &k);
	assert_true(e.median_ms > 3700 && e.median_ms < 4300);
	assert_true(e.log_sd > 0.14 && e.log_sd < 0.3);
	assert_true(e.mean_ms > 1.1 * e.median_ms);
}

/* Guards against work that has become longer and is taken for the tail. */
static void a_change_of_the_work_is_followed(void **state)
{
	struct fixture *f = *state;
	struct duration_key k = key("q", "a", 4000);

	for (uint32_t i = 0; i < 200; i++)
		duration_record_run(f->d, &k, 2000, 1);
	for (uint32_t i = 0; i < 300; i++)
		duration_record_run(f->d, &k, 2000 * DURATION_TAIL_FACTOR, 1);
	assert_in_range(duration_predict(f->d, &k).median_ms, 11000, 16000);
}

/*
 * Guards against stopped runs that are ignored, which leaves the shorter ones,
 * or that count as complete. All runs are stopped after a random time.
 */
static void stopped_runs_do_not_bias_the_rest(void **state)
{
	struct fixture *f = *state;
	struct duration_groups *ignoring = duration_create();
	struct duration_key k = key("q", "a", 4000);
	double learned_ms, ignoring_ms;

	for (uint32_t i = 0; i < 1500; i++) {
		double work_ms = 4000 * exp(0.5 * random_normal(f));
		double stop_ms = g_rand_double_range(f->rand, 100, 10000);

		if (work_ms < stop_ms) {
			duration_record_run(f->d, &k, work_ms, 1);
			duration_record_run(ignoring, &k, work_ms, 1);
		} else {
			duration_record_stopped(f->d, &k, stop_ms, 1);
		}
	}
	learned_ms = duration_predict(f->d, &k).median_ms;
	ignoring_ms = duration_predict(ignoring, &k).median_ms;
	assert_true(fabs(log(learned_ms / 4000)) < 0.12);
	assert_true(ignoring_ms < 3600);
	duration_destroy(ignoring);
}

/* Guards against runs that were stopped at once and change anything. */
static void runs_stopped_at_once_say_nothing(void **state)
{
	struct fixture *f = *state;
	struct duration_key k = key("q", "a", 4000);
	double before, after;

	record(f, "q", "a", 1, 30);
	before = duration_predict(f->d, &k).median_ms;
	for (uint32_t i = 0; i < 500; i++)
		duration_record_stopped(f->d, &k, 50, 1);
	after = duration_predict(f->d, &k).median_ms;
	assert_true(fabs(after / before - 1) < 0.01);
	/* one that was stopped late says that runs may be long */
	duration_record_stopped(f->d, &k, 9000, 1);
	assert_true(duration_predict(f->d, &k).median_ms > after);
}

/* Guards against quantiles and probabilities that do not fit each other. */
static void quantiles_have_their_probability(void **state)
{
	struct duration_estimate e = duration_from_log(log(3000), 0.5, 10);
	const double shares[] = {0.01, 0.1, 0.5, 0.9, 0.95, 0.99, 0.999};
	double last_ms = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
		double ms = duration_quantile_ms(&e, shares[i]);

		assert_true(ms > last_ms);
		assert_true(fabs(1 - duration_longer_probability(&e, ms) -
				 shares[i]) < 1e-6);
		last_ms = ms;
	}
	/* the last 3 % take seven times as long */
	assert_true(duration_quantile_ms(&e, 0.99) > 4 * 3000);
}

/*
 * Guards against a run that is expected to end at once because it is overdue,
 * and against numbers that overflow.
 */
static void a_run_that_lasts_is_expected_to_last(void **state)
{
	struct duration_estimate e = duration_from_log(log(3000), 0.3, 10);
	double at_start_ms = duration_remaining_ms(&e, 0);
	double midway_ms = duration_remaining_ms(&e, 2000);

	(void)state;
	assert_true(fabs(at_start_ms / e.mean_ms - 1) < 0.01);
	assert_true(fabs(duration_remaining_ms(&e, 1) / at_start_ms - 1) <
		    0.01);
	assert_true(midway_ms < at_start_ms && midway_ms > 1000);
	/* at 8 s only the tail is left, of 21 s */
	assert_true(duration_remaining_ms(&e, 8000) > 11000);
	for (double ran_ms = 1; ran_ms < 1e15; ran_ms *= 10) {
		double left_ms = duration_remaining_ms(&e, ran_ms);

		assert_true(isfinite(left_ms) && left_ms >= 0);
	}
}

/* Guards against memory that grows with the names that clients choose. */
static void groups_are_bounded_and_the_oldest_goes(void **state)
{
	struct fixture *f = *state;
	struct duration_key used = key("q", "used", 4000);
	struct duration_key unused = key("q", "unused", 4000);
	double queue_ms;

	for (uint32_t i = 0; i < 50; i++)
		duration_record_run(f->d, &unused, 16000, 1);
	for (uint32_t i = 0; i < 5000; i++) {
		char name[16];
		struct duration_key k = key("q", name, 4000);

		snprintf(name, sizeof(name), "n%u", i);
		duration_record_run(f->d, &k, 4000, 1);
		if (i % 50 == 0)
			duration_record_run(f->d, &used, 1000, 1);
		assert_true(duration_groups_count(f->d) <= DURATION_GROUPS_MAX);
	}
	assert_int_equal(duration_groups_count(f->d), DURATION_GROUPS_MAX);
	/* one is still known, the other is like any of its queue */
	assert_true(duration_predict(f->d, &used).median_ms < 1500);
	queue_ms = duration_predict(
			   f->d, &(struct duration_key){"q", "none", 2, 4000})
			   .median_ms;
	assert_true(duration_predict(f->d, &unused).median_ms == queue_ms);
}

/* Collects the groups, to restore them. */
struct copy {
	struct duration_groups *to;
	uint32_t changed;
	bool save;
	struct duration_groups *from;
};

static void copy_group(void *arg, const char *name,
		       const struct duration_moments *m, bool changed)
{
	struct copy *c = arg;

	c->changed += changed;
	if (c->to)
		assert_true(duration_restore_group(c->to, name, m));
	if (c->save)
		duration_note_saved(c->from, name);
}

/*
 * Guards against a successor that predicts otherwise, and against writes of
 * groups that have not changed.
 */
static void restored_groups_predict_the_same(void **state)
{
	struct fixture *f = *state;
	struct duration_groups *to = duration_create();
	struct duration_key k = key("q", "a", 6000);
	struct copy c = {.to = to, .save = true, .from = f->d};

	record(f, "q", "a", 1.4, 40);
	duration_for_each_group(f->d, copy_group, &c);
	assert_int_equal(c.changed, 4);
	assert_true(duration_predict(f->d, &k).median_ms ==
		    duration_predict(to, &k).median_ms);
	c = (struct copy){0};
	duration_for_each_group(f->d, copy_group, &c);
	duration_for_each_group(to, copy_group, &c);
	assert_int_equal(c.changed, 0);
	record(f, "q", "a", 1.4, 30);
	duration_for_each_group(f->d, copy_group, &c);
	assert_true(c.changed > 0);
	/* what was observed here is not replaced by less */
	c = (struct copy){.to = f->d};
	duration_for_each_group(to, copy_group, &c);
	assert_true(duration_predict(f->d, &k).runs > 200);
	duration_destroy(to);
}

/*
 * Guards against two accounts, or queues, that share what was learned because
 * their long names begin alike.
 */
static void long_names_that_begin_alike_are_told_apart(void **state)
{
	struct fixture *f = *state;
	char *stem = g_strnfill(3000, 'x');
	char *a = g_strconcat(stem, "a", NULL),
	     *b = g_strconcat(stem, "b", NULL);
	struct duration_key slow = {
		.queue = a, .account = a, .size_class = 1, .estimate_ms = 1000};
	struct duration_key other = slow, same_queue = slow;

	other.queue = other.account = b;
	same_queue.account = b;
	for (int i = 0; i < 200; i++) {
		duration_record_run(f->d, &slow, 8000, 1);
		duration_record_run(f->d, &other, 500, 1);
		duration_record_run(f->d, &same_queue, 1000, 1);
	}
	assert_in_range(duration_predict(f->d, &slow).median_ms, 7000, 9000);
	assert_in_range(duration_predict(f->d, &other).median_ms, 450, 550);
	assert_in_range(duration_predict(f->d, &same_queue).median_ms, 900,
			1100);
	/* all runs; two queues, three accounts in them, and one size of each */
	assert_int_equal(duration_groups_count(f->d), 1 + 2 + 3 + 3);
	g_free(a);
	g_free(b);
	g_free(stem);
}

/* Guards against a row of another program that breaks every prediction. */
static void impossible_groups_are_refused(void **state)
{
	struct fixture *f = *state;
	const struct duration_moments sound = {5, 8, 8, 1, 1, 0.2, 0};
	struct duration_moments m = sound;

	m.variance = 0;
	assert_false(duration_restore_group(f->d, "q", &m));
	m = sound;
	m.runs = 1e9;
	assert_false(duration_restore_group(f->d, "q", &m));
	m = sound;
	m.mean_y = NAN;
	assert_false(duration_restore_group(f->d, "q", &m));
	m = sound;
	m.sum_xx = -1;
	assert_false(duration_restore_group(f->d, "q", &m));
	assert_int_equal(duration_groups_count(f->d), 0);
	assert_true(duration_restore_group(f->d, "q", &sound));
}

/*
 * Guards against the tasks of a step that are predicted by the estimate alone
 * while their siblings show what the work is.
 */
static void ended_tasks_of_a_step_tell_about_the_others(void **state)
{
	struct estimator *e = estimator_create();
	struct job *j = job_create("00000000000000a1");
	struct step *s = job_add_step(j);

	(void)state;
	text_set(&j->queue, "q");
	text_set(&j->account, "a");
	s->count = 40;
	s->estimate_ms = 4000;
	assert_int_equal(estimator_duration_ms(e, j, 0), 4000);
	for (int i = 0; i < 10; i++)
		estimator_record_run(e, j, 0, 6000);
	assert_in_range(estimator_duration_ms(e, j, 0), 5300, 6300);
	job_destroy(j);
	estimator_destroy(e);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(nothing_learned_is_the_estimate),
		TEST(error_converges_to_that_of_the_best_line),
		TEST(an_account_with_few_runs_borrows_from_its_queue),
		TEST(a_new_queue_takes_the_bias_and_not_the_level),
		TEST(the_tail_is_kept_apart),
		TEST(a_change_of_the_work_is_followed),
		TEST(stopped_runs_do_not_bias_the_rest),
		TEST(runs_stopped_at_once_say_nothing),
		TEST(quantiles_have_their_probability),
		TEST(a_run_that_lasts_is_expected_to_last),
		TEST(groups_are_bounded_and_the_oldest_goes),
		TEST(restored_groups_predict_the_same),
		TEST(long_names_that_begin_alike_are_told_apart),
		TEST(impossible_groups_are_refused),
		TEST(ended_tasks_of_a_step_tell_about_the_others),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
