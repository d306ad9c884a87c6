/*
 * Process tests of calls that an upstream carries out late, after it has
 * restarted under its ID and at its address.
 */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>

#include "test/jointsite.h"

/* Time for which a crashed upstream is away. */
#define AWAY_MS 300
/* Delay of late calls, and of answers of the store while it is slow. */
#define LATE_MS 2000
#define LATE_CALLS 6
#define STORE_DELAY_MS 120
#define ROUNDS 4
/* Seeds of the random course in CI, its steps, and its longest fault. */
#define DEFAULT_SEEDS "1 2"
#define SEED_STEPS 70
#define FAULT_MAX_MS 1500
/* The second restart of two in a row comes at most so long after the first. */
#define SECOND_RESTART_MAX_MS 1200

/* Submits job n, whose tasks are shorter than LATE_MS. */
static int submit_tasks(struct joint_site *s, uint32_t n)
{
	return joint_submit(s, n % s->instance_count, n, 3,
			    100 + n * 337 % 700);
}

static void submit_jobs(struct joint_site *s, uint32_t *n, uint32_t count)
{
	while (count--)
		submit_tasks(s, (*n)++);
}

/* Crashes upstream u, which leaves its next calls unanswered once it is up. */
static void crash(struct joint_site *s, uint32_t u, uint32_t away_ms,
		  uint32_t late_calls, uint32_t late_ms)
{
	char *body = g_strdup_printf(
		"{\"upstream\": %u, \"crash\": true, \"crash_ms\": %u, "
		"\"late_calls\": %u, \"late_ms\": %u}",
		u, away_ms, late_calls, late_ms);

	joint_control_platform(s, body);
	g_free(body);
}

static void slow_store(struct joint_site *s, uint32_t delay_ms)
{
	for (uint32_t i = 0; i < s->instance_count; i++)
		joint_set_store_link(s, i, "pass", delay_ms);
}

/*
 * An upstream that has ended many runs restarts, and carries out the first call
 * that it gets late, while ends wait to be recorded in a slow store. Guards
 * against a number of ends of the earlier incarnation that makes the later one
 * discard ends which no leader knows: their tasks would run again.
 */
static void
no_task_runs_again_after_a_late_call_to_a_restarted_upstream(void **state)
{
	struct joint_site *s = joint_start(135);
	uint32_t n = 1;

	(void)state;
	submit_jobs(s, &n, 60);
	for (uint32_t round = 0; round < ROUNDS; round++) {
		submit_jobs(s, &n, 160);
		joint_run_for(s, 1000);
		crash(s, 1, AWAY_MS, LATE_CALLS, LATE_MS);
		joint_run_for(s, AWAY_MS + 1000);
		slow_store(s, STORE_DELAY_MS);
		joint_run_for(s, 2 * LATE_MS);
		slow_store(s, 0);
		joint_run_for(s, 1000);
		joint_check_record(s);
	}
	joint_stop(s);
}

/* Kills or freezes an instance, or slows the store down, for a while. */
static void inject_fault(struct joint_site *s, GRand *g)
{
	uint32_t i = g_rand_int_range(g, 0, s->instance_count);
	uint32_t ms = g_rand_int_range(g, 100, FAULT_MAX_MS);

	switch (g_rand_int_range(g, 0, 4)) {
	case 0:
		joint_instance_kill(s, joint_wait_leader(s), SIGKILL);
		for (i = 0; i < s->instance_count; i++) {
			if (s->instances[i])
				continue;
			joint_instance_start(s, i);
			joint_wait_ready(s, i);
		}
		break;
	case 1:
		kill(s->instances[i], SIGSTOP);
		joint_run_for(s, ms);
		kill(s->instances[i], SIGCONT);
		break;
	case 2:
		slow_store(s, STORE_DELAY_MS);
		joint_run_for(s, ms);
		slow_store(s, 0);
		break;
	case 3:
		joint_set_upstream_link(
			s, g_rand_int_range(g, 0, s->upstream_count), "cut", 0);
		joint_run_for(s, ms);
		for (uint32_t u = 0; u < s->upstream_count; u++)
			joint_set_upstream_link(s, u, "pass", 0);
		break;
	}
}

/* Restarts an upstream once, or twice in a row, with late calls to each. */
static void restart_one(struct joint_site *s, GRand *g)
{
	uint32_t u = g_rand_int_range(g, 0, s->upstream_count);
	uint32_t times = g_rand_int_range(g, 1, 3);

	while (times--) {
		uint32_t away_ms = g_rand_int_range(g, 50, 600);
		uint32_t calls = g_rand_int_range(g, 0, 4);

		crash(s, u, away_ms, calls, g_rand_int_range(g, 500, LATE_MS));
		if (times)
			joint_run_for(
				s,
				away_ms + g_rand_int_range(
						  g, 0, SECOND_RESTART_MAX_MS));
	}
}

/*
 * Upstreams restart, at times twice in a row, calls are carried out late by
 * whichever incarnation is there, and leaders change; the seed chooses.
 */
static void play_seed(uint32_t seed)
{
	struct joint_site *s = joint_start(136);
	GRand *g = g_rand_new_with_seed(seed);
	uint32_t n = 1;

	print_message("seed %u\n", seed);
	submit_jobs(s, &n, 100);
	for (uint32_t step = 0; step < SEED_STEPS; step++) {
		submit_jobs(s, &n, g_rand_int_range(g, 0, 10));
		if (g_rand_int_range(g, 0, 4) == 0)
			restart_one(s, g);
		if (g_rand_int_range(g, 0, 10) == 0)
			inject_fault(s, g);
		joint_run_for(s, g_rand_int_range(g, 0, 300));
		joint_check_record(s);
	}
	joint_run_for(s, LATE_MS);
	g_rand_free(g);
	joint_stop(s);
}

/* Guards against any such course in which a task runs twice or again. */
static void no_task_runs_again_over_random_restarts_and_late_calls(void **state)
{
	const char *text = getenv("STALE_SEEDS");
	char **seeds = g_strsplit(text ? text : DEFAULT_SEEDS, " ", -1);

	(void)state;
	for (char **p = seeds; *p; p++)
		play_seed(g_ascii_strtoull(*p, NULL, 10));
	g_strfreev(seeds);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			no_task_runs_again_after_a_late_call_to_a_restarted_upstream),
		cmocka_unit_test(
			no_task_runs_again_over_random_restarts_and_late_calls),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
