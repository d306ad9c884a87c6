/*
 * Plays urgent jobs that have waited for a while, and compares what the
 * scheduler expects of them with what becomes of them.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>

#include "sched/value.h"

#define TRAINING_RUNS 400
#define JOB_COUNT 4000
#define BIN_COUNT 5
/* Share of the jobs that a prediction may be wrong about. */
#define SHARE_TOLERANCE 0.08
#define SLACK_FACTOR 1.5
#define TARGET_MS 250
#define STOP_MS 200
#define NOW_MS 1000000
#define MEAN_WORK_MS 2500
#define WORK_LOG_SD 0.45
#define ESTIMATE_LOG_ERROR 0.9

struct fixture {
	struct estimator *estimator;
	GRand *rand;
	struct value_context v;
};

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->estimator = estimator_create();
	f->rand = g_rand_new_with_seed(11);
	f->v = (struct value_context){.estimator = f->estimator,
				      .mean_upstream = {64000, 128000, 8},
				      .now_ms = NOW_MS,
				      .stop_ms = STOP_MS,
				      .checkpoint_ms = 1000};
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	estimator_destroy(f->estimator);
	g_rand_free(f->rand);
	g_free(f);
	return 0;
}

static double random_normal(struct fixture *f)
{
	double sum = -6;

	for (int i = 0; i < 12; i++)
		sum += g_rand_double(f->rand);
	return sum;
}

/* Return an urgent job of random work whose estimate is off. */
static struct job *random_job(struct fixture *f, double *work_ms)
{
	struct job *j = job_create("00000000000000a1");
	struct step *s = job_add_step(j);

	*work_ms = MEAN_WORK_MS * exp(WORK_LOG_SD * random_normal(f));
	text_set(&j->queue, "q");
	text_set(&j->account, "a");
	j->slack_factor = SLACK_FACTOR;
	j->target_ms = TARGET_MS;
	s->count = 1;
	s->need = (struct resources){7500, 15000, 1};
	s->estimate_ms = *work_ms * exp(g_rand_double_range(f->rand, -1, 1) *
					ESTIMATE_LOG_ERROR);
	job_create_stages(j);
	return j;
}

static void train(struct fixture *f)
{
	for (int i = 0; i < TRAINING_RUNS; i++) {
		double work_ms;
		struct job *j = random_job(f, &work_ms);

		estimator_record_run(f->estimator, j, 0, work_ms);
		job_destroy(j);
	}
}

/* What is expected of a job, and what becomes of it. */
struct played {
	double expected; /* share of its value that a start now gains */
	double step;	 /* the same by the expected duration alone */
	bool in_time;
};

/* Return the gain by the expected slack alone, in three steps. */
static double gain_by_slack(const struct stage_value *sv)
{
	if (sv->slack_ms >= STOP_MS)
		return 1;
	return sv->slack_ms + (int64_t)sv->run_ms / 4 >= STOP_MS ? 1.0 / 3 : 0;
}

/* Play a job that has waited for some time when it is considered. */
static struct played play_job(struct fixture *f)
{
	double work_ms, waited_ms = g_rand_double_range(f->rand, 0, 4000);
	struct job *j = random_job(f, &work_ms);
	struct stage *st = &j->stages[0];
	struct played p;

	j->since_ms = NOW_MS - waited_ms;
	st->since_ms = j->since_ms;
	f->v.pass++;
	p.expected = value_gain(&f->v, st) /
		     (st->value.value_in_time - st->value.value_late);
	p.step = gain_by_slack(&st->value);
	p.in_time = waited_ms + STOP_MS + work_ms <=
		    SLACK_FACTOR * work_ms + TARGET_MS;
	job_destroy(j);
	return p;
}

/*
 * Guards against deadlines that are judged by one number: of the jobs that are
 * expected to end in time with some probability, that share must.
 */
static void gain_is_the_share_that_ends_in_time(void **state)
{
	struct fixture *f = *state;
	double expected[BIN_COUNT] = {0}, real[BIN_COUNT] = {0};
	uint32_t count[BIN_COUNT] = {0};

	train(f);
	for (int i = 0; i < JOB_COUNT; i++) {
		struct played p = play_job(f);
		uint32_t bin = MIN(p.expected * BIN_COUNT, BIN_COUNT - 1);

		expected[bin] += p.expected;
		real[bin] += p.in_time;
		count[bin]++;
	}
	for (uint32_t i = 0; i < BIN_COUNT; i++) {
		assert_true(count[i] > 100);
		assert_true(fabs(expected[i] - real[i]) / count[i] <
			    SHARE_TOLERANCE);
	}
}

/*
 * Guards against preemption for urgent jobs that loses more than it gains. Each
 * job may start now if that costs other work some value.
 */
static void preemption_by_distribution_gains_more(void **state)
{
	struct fixture *f = *state;
	double by_distribution = 0, by_slack = 0;

	train(f);
	for (int i = 0; i < JOB_COUNT; i++) {
		struct played p = play_job(f);
		double loss = g_rand_double(f->rand);

		if (p.expected > loss)
			by_distribution += p.in_time - loss;
		if (p.step > loss)
			by_slack += p.in_time - loss;
	}
	assert_true(by_distribution > 1.03 * by_slack);
}

/* Guards against a change where nothing was learned. */
static void nothing_learned_is_judged_by_slack(void **state)
{
	struct fixture *f = *state;

	for (int i = 0; i < 200; i++) {
		struct played p = play_job(f);

		assert_true(fabs(p.expected - p.step) < 1e-9);
	}
}

/*
 * Guards against a run without listed progress that is expected to end soon
 * although most runs that lasted as long went on.
 */
static void a_run_is_expected_to_last_by_what_was_learned(void **state)
{
	struct fixture *f = *state;
	double work_ms, left_ms;
	struct job *j;
	struct task *t;

	train(f);
	j = random_job(f, &work_ms);
	j->since_ms = j->stages[0].since_ms = NOW_MS - 60000;
	t = &j->stages[0].tasks[0];
	for (int seconds = 0; seconds < 40; seconds++) {
		struct duration_estimate d =
			estimator_duration(f->estimator, j, 0);

		f->v.pass++;
		t->placed_ms = NOW_MS - seconds * 1000;
		left_ms = value_remaining_ms(&f->v, t);
		assert_true(fabs(left_ms - duration_remaining_ms(
						   &d, seconds * 1000.0)) <= 1);
		assert_true(left_ms > 300);
	}
	job_destroy(j);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(gain_is_the_share_that_ends_in_time),
		TEST(preemption_by_distribution_gains_more),
		TEST(nothing_learned_is_judged_by_slack),
		TEST(a_run_is_expected_to_last_by_what_was_learned),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
