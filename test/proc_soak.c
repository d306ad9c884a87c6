/*
 * A randomized soak of instances on the joint platform: real processes,
 * faults from outside them in overlapping series, and the promises
 * checked from what callers and upstreams see.  SOAK_SEEDS names the
 * seeds, separated by spaces; each that ever failed stays in the list.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/jointsite.h"

#define SOAK_MS 8000
#define STEP_MS 120
#define JOBS_MOST 60
#define ENDED_MS 60000
/* Seeds that CI plays. */
#define SEEDS "1 2 3"

enum fault {
	FAULT_KILL,
	FAULT_TERMINATE,
	FAULT_FREEZE,
	FAULT_STORE_REFUSES,
	FAULT_STORE_HANGS,
	FAULT_LOST_ANSWERS,
	FAULT_LATE_STARTS,
	FAULT_COUNT,
};

enum outcome { JOB_UNKNOWN, JOB_ACCEPTED, JOB_REJECTED, JOB_CANCELLED };

struct soak {
	struct joint_site *site;
	GRand *random;
	enum outcome jobs[JOBS_MOST];
	uint32_t jobs_len;
	uint64_t thaw_ms[INSTANCES];  /* frozen until then */
	uint64_t start_ms[INSTANCES]; /* down until then */
	uint64_t store_ms;	      /* the store is away until then */
};

static uint32_t pick(struct soak *k, uint32_t n)
{
	return g_rand_int_range(k->random, 0, (int)n);
}

/* Send job n to an instance; a later answer can only make it known. */
static void send_job(struct soak *k, uint32_t n)
{
	uint32_t i = pick(k, INSTANCES);
	int status;

	if (!k->site->instances[i] || k->thaw_ms[i])
		return;
	status = joint_submit(k->site, i, n + 1, 1 + pick(k, 8),
			      100 + pick(k, 1500));
	if (status == 200)
		k->jobs[n] = JOB_ACCEPTED;
	else if (k->jobs[n] != JOB_ACCEPTED)
		k->jobs[n] = (status == 503 || status == 429) ? k->jobs[n]
							      : JOB_UNKNOWN;
}

static void down(struct soak *k, uint32_t i, int signo)
{
	if (!k->site->instances[i] || k->thaw_ms[i])
		return;
	joint_instance_kill(k->site, i, signo);
	k->start_ms[i] = clock_mono_ms() + 100 + pick(k, 1500);
}

static void inject(struct soak *k)
{
	uint32_t i = pick(k, INSTANCES);
	uint64_t until = clock_mono_ms() + 200 + pick(k, 2500);

	switch ((enum fault)pick(k, FAULT_COUNT)) {
	case FAULT_KILL:
		down(k, i, SIGKILL);
		break;
	case FAULT_TERMINATE:
		down(k, i, SIGTERM);
		break;
	case FAULT_FREEZE:
		if (!k->site->instances[i] || k->thaw_ms[i])
			break;
		kill(k->site->instances[i], SIGSTOP);
		k->thaw_ms[i] = until;
		break;
	case FAULT_STORE_REFUSES:
		joint_control(k->site, "{\"store\": \"refuse\"}");
		k->store_ms = until;
		break;
	case FAULT_STORE_HANGS:
		joint_control(k->site, "{\"store\": \"hang\"}");
		k->store_ms = until;
		break;
	case FAULT_LOST_ANSWERS:
		joint_control(k->site, "{\"lose_answers\": 4}");
		break;
	case FAULT_LATE_STARTS:
		joint_control(k->site,
			      "{\"late_starts\": 4, \"late_ms\": 1800}");
		break;
	case FAULT_COUNT:
		break;
	}
}

/* End the faults whose time is over; all of them with `all`. */
static void heal(struct soak *k, bool all)
{
	uint64_t now = clock_mono_ms();

	for (uint32_t i = 0; i < INSTANCES; i++) {
		if (k->thaw_ms[i] && (all || now >= k->thaw_ms[i])) {
			kill(k->site->instances[i], SIGCONT);
			k->thaw_ms[i] = 0;
		}
		if (k->start_ms[i] && (all || now >= k->start_ms[i])) {
			joint_instance_start(k->site, i);
			k->start_ms[i] = 0;
		}
	}
	if (k->store_ms && (all || now >= k->store_ms)) {
		joint_control(k->site, "{\"store\": \"ok\"}");
		k->store_ms = 0;
	}
}

/* Every accepted job is known and completes. */
static void check_jobs(struct soak *k)
{
	for (uint32_t n = 0; n < k->jobs_len; n++) {
		uint64_t until = clock_mono_ms() + ENDED_MS;

		while (k->jobs[n] == JOB_ACCEPTED &&
		       !joint_in_state(k->site, n % INSTANCES, n + 1,
				       "completed")) {
			if (clock_mono_ms() > until)
				fail_msg("job %u was accepted and does not "
					 "complete",
					 n + 1);
			loop_step(k->site->loop, 20);
		}
	}
}

static void play(uint32_t seed)
{
	struct soak k = {.random = g_rand_new_with_seed(seed)};
	uint64_t until;

	print_message("seed %u\n", seed);
	k.site = joint_start(100 + seed % 100);
	until = clock_mono_ms() + SOAK_MS;
	while (clock_mono_ms() < until) {
		uint64_t step = clock_mono_ms() + STEP_MS;

		if (k.jobs_len < JOBS_MOST && pick(&k, 3))
			send_job(&k, k.jobs_len++);
		else if (k.jobs_len)
			send_job(&k, pick(&k, k.jobs_len));
		if (!pick(&k, 4))
			inject(&k);
		heal(&k, false);
		while (clock_mono_ms() < step)
			loop_step(k.site->loop, 10);
	}
	heal(&k, true);
	for (uint32_t i = 0; i < INSTANCES; i++)
		joint_wait_ready(k.site, i);
	check_jobs(&k);
	joint_stop(k.site);
	g_rand_free(k.random);
}

static void play_all(const char *text)
{
	char **seeds = g_strsplit(text, " ", -1);

	for (char **s = seeds; *s; s++)
		if (**s)
			play(g_ascii_strtoull(*s, NULL, 10));
	g_strfreev(seeds);
}

static void every_promise_is_kept_under_faults(void **state)
{
	const char *text = getenv("SOAK_SEEDS");

	(void)state;
	play_all(text ? text : SEEDS);
}

/*
 * Seeds that have failed once:
 * 50: an instance that woke from a freeze was not ready again; its log
 *     ended in that millisecond.  Not traced.
 * 97: a leader that woke took the leases for ended and ran again what the
 *     upstreams had listed as done.
 */
static void seeds_that_have_failed_pass(void **state)
{
	(void)state;
	if (!getenv("SOAK_SEEDS"))
		play_all("50 97");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_promise_is_kept_under_faults),
		cmocka_unit_test(seeds_that_have_failed_pass),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
