/*
 * Tests of the learned speeds of machines: runs are generated on upstreams of
 * known speed, and the tests check what is learned of them.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>

#include "sched/progress.h"
#include "sched/speed.h"

#define UPSTREAMS_COUNT 350
#define GANG_TASKS 5
#define GANG_RUN_MS 2100
/* Interval of the lists of an upstream. */
#define LIST_MS 250
/* Standard deviation of a task's duration within its job, in the logarithm. */
#define TASK_LOG_SD 0.3
/* Error of a submitted estimate, as a share. */
#define ESTIMATE_ERROR 0.5
/* Share of the tasks that take TAIL_FACTOR times as long. */
#define TAIL_SHARE 0.03
#define TAIL_FACTOR 7

/* Upstreams of known speed, and what was learned of them. */
struct bench {
	struct fleet *fleet;
	struct estimator *estimator;
	struct speed_table *speeds;
	GRand *rand;
	double truth[UPSTREAMS_COUNT]; /* slowdown of each upstream */
	uint32_t runs[UPSTREAMS_COUNT];
	uint64_t now_ms;
	uint32_t jobs;
};

static void bench_create(struct bench *b, const double *kinds,
			 uint32_t kinds_len, uint32_t seed)
{
	*b = (struct bench){.fleet = fleet_create(),
			    .estimator = estimator_create(),
			    .speeds = speed_create(SPEED_SPREAD_MIN_DEFAULT),
			    .rand = g_rand_new_with_seed(seed),
			    .now_ms = 1000000};
	for (uint32_t i = 0; i < UPSTREAMS_COUNT; i++) {
		struct upstream *u;
		char id[16];

		snprintf(id, sizeof(id), "u%u", i);
		u = fleet_add_upstream(b->fleet, id);
		upstream_describe(u, "s", "d", "a", "r");
		b->truth[i] =
			kinds[g_rand_int_range(b->rand, 0, (int)kinds_len)];
	}
}

static void bench_destroy(struct bench *b)
{
	speed_destroy(b->speeds);
	estimator_destroy(b->estimator);
	fleet_destroy(b->fleet);
	g_rand_free(b->rand);
}

/* Return a number of the standard normal distribution. */
static double draw_normal(GRand *r)
{
	double u = MAX(g_rand_double(r), 1e-12);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(r));
}

/* Run a gang on upstreams chosen at random, to its end. */
static void run_gang(struct bench *b)
{
	struct job *j;
	struct step *s;
	uint32_t at[GANG_TASKS], run_ms[GANG_TASKS], longest_ms = 0;
	char id[JOB_ID_BYTES];

	snprintf(id, sizeof(id), "%016x", b->jobs++);
	j = job_create(id);
	g_strlcpy(j->queue, "q", sizeof(j->queue));
	s = job_add_step(j);
	s->count = GANG_TASKS;
	s->gang = true;
	s->estimate_ms =
		GANG_RUN_MS * g_rand_double_range(b->rand, 1 - ESTIMATE_ERROR,
						  1 + ESTIMATE_ERROR);
	job_create_stages(j);
	for (uint32_t i = 0; i < GANG_TASKS; i++) {
		double ms =
			GANG_RUN_MS * exp(TASK_LOG_SD * draw_normal(b->rand));

		if (g_rand_double(b->rand) < TAIL_SHARE)
			ms *= TAIL_FACTOR;
		at[i] = g_rand_int_range(b->rand, 0, UPSTREAMS_COUNT);
		b->runs[at[i]]++;
		run_ms[i] = ms * b->truth[at[i]];
		longest_ms = MAX(longest_ms, run_ms[i]);
		task_place(&j->stages[0].tasks[i],
			   g_ptr_array_index(b->fleet->list, at[i]), 1,
			   b->now_ms);
		task_confirm(&j->stages[0].tasks[i], b->now_ms);
	}
	for (uint32_t ms = 10; ms < longest_ms; ms += LIST_MS)
		for (uint32_t i = 0; i < GANG_TASKS; i++) {
			struct task *t = &j->stages[0].tasks[i];

			progress_record(t, MIN(100, ms * 100 / run_ms[i]),
					b->now_ms + ms);
			speed_note_progress(b->speeds, t, b->estimator,
					    b->now_ms + ms);
		}
	estimator_record_run(b->estimator, j, 0,
			     longest_ms / run_slowdown(&j->stages[0].tasks[0]));
	speed_note_end(b->speeds, &j->stages[0].tasks[0], true);
	task_end_run(&j->stages[0].tasks[0], RUN_DONE, NULL,
		     b->now_ms + longest_ms);
	job_destroy(j);
	b->now_ms += 200;
	speed_refresh(b->speeds, b->fleet, b->now_ms);
}

static const double uneven[] = {0.7, 0.7, 1.7};
static const double nearly_even[] = {0.8, 1.0, 1.25};

/*
 * Guards against a late activation, and against a classification that needs
 * many runs.
 */
static void trial(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 30; seed++) {
		for (int kind = 0; kind < 2; kind++) {
			struct bench b;

			bench_create(&b, kind ? nearly_even : uneven, 3, seed);
			for (uint32_t n = 1; n <= 600; n++) {
				uint32_t right[4] = {0}, all[4] = {0};
				double sd[4] = {0};

				run_gang(&b);
				if (n % (n < 100 ? 10 : 50))
					continue;
				for (uint32_t i = 0; i < UPSTREAMS_COUNT; i++) {
					struct upstream *u = g_ptr_array_index(
						b.fleet->list, i);
					uint32_t k = MIN(b.runs[i], 3);

					all[k]++;
					sd[k] += u->slowdown_log_sd;
					right[k] += (u->slowdown > 1.05) ==
						    (b.truth[i] > 1.05);
				}
				printf("seed %u kind %d gangs %u used %d "
				       "spread %.3f known %u:",
				       seed, kind, n, speed_is_used(b.speeds),
				       speed_spread(b.speeds),
				       speed_known_count(b.speeds));
				for (int k = 1; k < 4; k++)
					printf(" %d:%u/%u sd %.2f", k, right[k],
					       all[k], sd[k] / MAX(all[k], 1));
				printf("\n");
			}
			bench_destroy(&b);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test(trial)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
