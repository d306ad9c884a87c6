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
#include <string.h>

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

/* Submit a gang of tasks that run GANG_RUN_MS, with an estimate that is off. */
static struct job *create_gang(struct bench *b)
{
	char id[JOB_ID_BYTES];
	struct job *j;
	struct step *s;

	snprintf(id, sizeof(id), "%016x", b->jobs++);
	j = job_create(id);
	text_set(&j->queue, "q");
	s = job_add_step(j);
	s->count = GANG_TASKS;
	s->gang = true;
	s->estimate_ms =
		GANG_RUN_MS * g_rand_double_range(b->rand, 1 - ESTIMATE_ERROR,
						  1 + ESTIMATE_ERROR);
	job_create_stages(j);
	return j;
}

/* Place a task on an upstream, and return how long it runs there. */
static uint32_t place(struct bench *b, struct task *t, uint32_t at)
{
	double ms = GANG_RUN_MS * exp(TASK_LOG_SD * draw_normal(b->rand));

	if (g_rand_double(b->rand) < TAIL_SHARE)
		ms *= TAIL_FACTOR;
	b->runs[at]++;
	task_place(t, g_ptr_array_index(b->fleet->list, at), 1, b->now_ms);
	task_confirm(t, b->now_ms);
	return ms * b->truth[at];
}

/* List the progress of a run of run_ms that began ms ago. */
static void list(struct bench *b, struct task *t, uint32_t ms, uint32_t run_ms)
{
	progress_record(t, MIN(100, ms * 100 / run_ms), b->now_ms + ms);
	speed_note_progress(b->speeds, t, b->estimator, b->now_ms + ms);
}

/*
 * Run a gang to its end on upstreams chosen at random, one member on `first`
 * unless that is UPSTREAMS_COUNT.
 */
static void run_gang(struct bench *b, uint32_t first)
{
	struct job *j = create_gang(b);
	struct task *tasks = j->stages[0].tasks;
	uint32_t run_ms[GANG_TASKS], longest_ms = 0;

	for (uint32_t i = 0; i < GANG_TASKS; i++) {
		uint32_t at = g_rand_int_range(b->rand, 0, UPSTREAMS_COUNT);

		if (!i && first < UPSTREAMS_COUNT)
			at = first;
		run_ms[i] = place(b, &tasks[i], at);
		longest_ms = MAX(longest_ms, run_ms[i]);
	}
	for (uint32_t ms = 10; ms < longest_ms; ms += LIST_MS)
		for (uint32_t i = 0; i < GANG_TASKS; i++)
			list(b, &tasks[i], ms, run_ms[i]);
	estimator_record_run(b->estimator, j, 0,
			     longest_ms / run_slowdown(&tasks[0]));
	speed_note_end(b->speeds, &tasks[0], true);
	task_end_run(&tasks[0], RUN_DONE, NULL, b->now_ms + longest_ms);
	job_destroy(j);
	b->now_ms += 200;
	speed_refresh(b->speeds, b->fleet, b->now_ms);
}

static void run_gangs(struct bench *b, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		run_gang(b, UPSTREAMS_COUNT);
}

static struct upstream *upstream_at(const struct bench *b, uint32_t i)
{
	return g_ptr_array_index(b->fleet->list, i);
}

static const double uneven[] = {0.7, 0.7, 1.7};
static const double nearly_even[] = {0.8, 1.0, 1.25};
static const double even[] = {1.0};

/* A slowdown between those of fast and of slow upstreams. */
#define MIDDLE 1.05

/*
 * Guards against speeds that are used only after minutes, or that tell fast
 * upstreams from slow ones only after many runs.
 */
static void uneven_upstreams_are_told_apart_after_few_runs(void **state)
{
	uint32_t right[4] = {0}, all[4] = {0};

	(void)state;
	for (uint32_t seed = 1; seed <= 5; seed++) {
		struct bench b;

		bench_create(&b, uneven, G_N_ELEMENTS(uneven), seed);
		run_gangs(&b, 40);
		assert_true(speed_is_used(b.speeds));
		run_gangs(&b, 60);
		assert_true(speed_is_used(b.speeds));
		for (uint32_t i = 0; i < UPSTREAMS_COUNT; i++) {
			uint32_t k = MIN(b.runs[i], 3);

			all[k]++;
			right[k] += (upstream_at(&b, i)->slowdown > MIDDLE) ==
				    (b.truth[i] > MIDDLE);
		}
		bench_destroy(&b);
	}
	assert_in_range(right[1] * 100 / all[1], 80, 100);
	assert_in_range(right[2] * 100 / all[2], 85, 100);
	assert_in_range(right[3] * 100 / all[3], 88, 100);
}

/*
 * Guards against placement by speeds that are noise: where upstreams are equal
 * or nearly so, the work is to be served as before.
 */
static void nearly_even_upstreams_do_not_activate_speeds(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 6; seed++) {
		struct bench b;
		bool same = seed % 3 == 0;

		bench_create(&b, same ? even : nearly_even,
			     same ? 1 : G_N_ELEMENTS(nearly_even), seed);
		for (uint32_t i = 0; i < 300; i++) {
			run_gang(&b, UPSTREAMS_COUNT);
			assert_false(speed_is_used(b.speeds));
			assert_true(upstream_slowdown(upstream_at(&b, 0)) ==
				    1.0);
		}
		bench_destroy(&b);
	}
}

/* Guards against an upstream that is taken for fast long after it was. */
static void changed_upstream_is_found_within_few_runs(void **state)
{
	uint32_t worst = 0;

	(void)state;
	for (uint32_t seed = 1; seed <= 5; seed++) {
		struct bench b;
		uint32_t i = 0, n = 0;

		bench_create(&b, uneven, G_N_ELEMENTS(uneven), seed);
		run_gangs(&b, 300);
		while (b.truth[i] > MIDDLE ||
		       upstream_at(&b, i)->slowdown > MIDDLE)
			i++;
		b.truth[i] = 1.7;
		while (n < 20 && upstream_at(&b, i)->slowdown < MIDDLE) {
			run_gang(&b, i);
			n++;
		}
		worst = MAX(worst, n);
		bench_destroy(&b);
	}
	assert_in_range(worst, 1, 8);
}

/* Guards against estimates that are trusted for ever without runs. */
static void estimates_age_and_survive_a_restart(void **state)
{
	double sd, slowdown;
	struct upstream *u;
	struct bench b;

	(void)state;
	bench_create(&b, uneven, G_N_ELEMENTS(uneven), 1);
	run_gangs(&b, 300);
	u = upstream_at(&b, 0);
	sd = u->slowdown_log_sd;
	slowdown = u->slowdown;
	speed_note_restart(b.speeds, u);
	speed_refresh(b.speeds, b.fleet, b.now_ms);
	assert_true(u->slowdown_log_sd > sd * 1.2);
	assert_true(fabs(log(u->slowdown / slowdown)) < 0.05);
	sd = u->slowdown_log_sd;
	b.now_ms += 900000;
	speed_refresh(b.speeds, b.fleet, b.now_ms);
	assert_true(u->slowdown_log_sd > sd * 1.1);
	bench_destroy(&b);
}

/* Guards against a run that counts once for each list that shows it. */
static void one_run_counts_once(void **state)
{
	struct task *tasks;
	struct bench b;
	struct job *j;
	double sd[2];

	(void)state;
	bench_create(&b, even, 1, 1);
	speed_set_used(b.speeds, true);
	j = create_gang(&b);
	tasks = j->stages[0].tasks;
	for (uint32_t i = 0; i < GANG_TASKS; i++)
		place(&b, &tasks[i], i);
	for (uint32_t k = 0; k < 2; k++) {
		for (uint32_t ms = 1; ms < (k ? 90 : 10); ms++)
			for (uint32_t i = 0; i < GANG_TASKS; i++)
				list(&b, &tasks[i], ms * 20, 2000);
		speed_refresh(b.speeds, b.fleet, b.now_ms);
		sd[k] = upstream_at(&b, 0)->slowdown_log_sd;
	}
	assert_true(sd[1] > 0.2);
	assert_true(sd[1] > sd[0] * 0.85);
	job_destroy(j);
	bench_destroy(&b);
}

/* What distinguishes a run that does not show the speed of its upstream. */
enum odd_run { ODD_CHECKPOINT, ODD_FAR, ODD_SPAN, ODD_COLD, ODD_NONE };

/* Guards against machines that are taken for slow for their work's reasons. */
static void odd_runs_tell_nothing(void **state)
{
	(void)state;
	for (enum odd_run odd = ODD_CHECKPOINT; odd <= ODD_NONE; odd++) {
		struct bench b;
		struct job *j;
		struct task *tasks;
		struct step *s;

		bench_create(&b, even, 1, 1);
		j = create_gang(&b);
		s = &j->steps[0];
		tasks = j->stages[0].tasks;
		switch (odd) {
		case ODD_CHECKPOINT:
			for (uint32_t i = 0; i < GANG_TASKS; i++)
				tasks[i].checkpoint = g_strdup("c");
			break;
		case ODD_FAR:
			text_set(&s->data_rack, "elsewhere");
			break;
		case ODD_SPAN:
			s->rack_sensitive = true;
			upstream_describe(upstream_at(&b, 1), "s", "d", "a",
					  "other");
			break;
		case ODD_COLD:
			for (uint32_t i = 0; i < GANG_TASKS; i++)
				upstream_at(&b, i)->cold_until_ms = UINT64_MAX;
			break;
		case ODD_NONE:
			break;
		}
		for (uint32_t i = 0; i < GANG_TASKS; i++)
			place(&b, &tasks[i], i);
		for (uint32_t ms = 10; ms < 1500; ms += LIST_MS)
			for (uint32_t i = 0; i < GANG_TASKS; i++)
				list(&b, &tasks[i], ms, 2000);
		speed_refresh(b.speeds, b.fleet, b.now_ms);
		assert_int_equal(speed_known_count(b.speeds),
				 odd == ODD_NONE ? GANG_TASKS : 0);
		job_destroy(j);
		bench_destroy(&b);
	}
}

static void copy_entry(const struct speed_entry *e, void *arg)
{
	speed_set_entry(arg, e, 1000000);
}

/* Guards against a successor that places work by other speeds. */
static void stored_entries_restore_the_speeds(void **state)
{
	struct speed_table *copy = speed_create(SPEED_SPREAD_MIN_DEFAULT);
	double slowdown[UPSTREAMS_COUNT];
	struct bench b;

	(void)state;
	bench_create(&b, uneven, G_N_ELEMENTS(uneven), 1);
	run_gangs(&b, 200);
	for (uint32_t i = 0; i < UPSTREAMS_COUNT; i++)
		slowdown[i] = upstream_at(&b, i)->slowdown;
	speed_foreach(b.speeds, copy_entry, copy);
	speed_set_used(copy, speed_is_used(b.speeds));
	speed_refresh(copy, b.fleet, 1000000);
	assert_true(speed_is_used(copy));
	for (uint32_t i = 0; i < UPSTREAMS_COUNT; i++)
		assert_true(fabs(log(upstream_at(&b, i)->slowdown /
				     slowdown[i])) < 0.03);
	speed_destroy(copy);
	bench_destroy(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			uneven_upstreams_are_told_apart_after_few_runs),
		cmocka_unit_test(nearly_even_upstreams_do_not_activate_speeds),
		cmocka_unit_test(changed_upstream_is_found_within_few_runs),
		cmocka_unit_test(estimates_age_and_survive_a_restart),
		cmocka_unit_test(one_run_counts_once),
		cmocka_unit_test(odd_runs_tell_nothing),
		cmocka_unit_test(stored_entries_restore_the_speeds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
