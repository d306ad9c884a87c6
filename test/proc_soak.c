/*
 * Randomized soak test of the instances on the joint platform.  The daemon
 * processes run under overlapping external faults; the guarantees are
 * checked by what callers and upstreams observe.  SOAK_SEEDS gives the
 * seeds to run, separated by spaces.  A seed that has ever failed stays in
 * the list of seeds_that_failed_before_pass, which runs if it is not set.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/copyfaults.h"
#include "test/jointsite.h"

#define SOAK_MS 8000
#define STEP_INTERVAL_MS 120
#define JOBS_MAX 60
#define COMPLETION_TIMEOUT_MS 60000
/* A process that has just been started does not handle signals yet. */
#define SIGNAL_SETUP_MS 500
/* Pauses of the seeds with faults of copies. */
#define PAUSE_MIN_MS 1000
#define PAUSE_MAX_MS 4000
/* Jobs with a task that crashes its upstreams, and their first number. */
#define CRASH_JOBS_MAX 3
#define CRASH_JOBS_FIRST (JOBS_MAX + 1)
/* The seeds that run if SOAK_SEEDS is not set, as in CI. */
#define DEFAULT_SEEDS "1 2 3"
#define DEFAULT_CRASH_SEEDS "4 21"
#define DEFAULT_LONG_SEEDS "1 2"
#define DEFAULT_COPY_SEEDS "1 60"
/*
 * Long faults begin in the first part of a seed and have all ended when it is
 * over. Each outlasts the tenure of a leader, or a lease and a takeover.
 */
#define LONG_SOAK_MS 34000
#define LONG_FAULTS_BEGIN_MS 8000
#define LONG_FAULT_MIN_MS 9000
#define LONG_FAULT_MAX_MS 26000
/* Jobs that run on most upstreams when the first long fault begins. */
#define FIRST_JOBS_COUNT 4
#define FIRST_JOBS_RUN_MS 25000

enum fault {
	FAULT_KILL,
	FAULT_TERMINATE,
	FAULT_FREEZE,
	FAULT_STORE_REFUSES,
	FAULT_STORE_HANGS,
	FAULT_LOST_ANSWERS,
	FAULT_LATE_STARTS,
	FAULT_STORE_LINK,
	FAULT_UPSTREAM_LINK,
	FAULT_FEED_HISTORY_DROPPED,
	FAULT_CLOCK_OFFSET,
	FAULT_RELOAD,
	FAULT_COUNT,
};

enum long_fault {
	LONG_FAULT_DOMAIN,
	LONG_FAULT_STORE,
	LONG_FAULT_FREEZE,
	LONG_FAULT_COUNT,
};

enum outcome { JOB_UNKNOWN, JOB_ACCEPTED, JOB_REJECTED, JOB_CANCELLED };

struct soak {
	struct joint_site *site;
	GRand *random;
	/* Faults of the upstreams themselves are drawn from a generator of
	 * their own, so that the other faults of a seed stay as recorded. */
	GRand *upstream_random;
	bool crashes; /* submit jobs that crash their upstreams */
	/* The same for long faults and for what happens to leaders meanwhile;
	 * NULL if the seed has none. */
	GRand *long_random;
	/* The same for longer pauses and for what instances know of the
	 * store; NULL if the seed has none. */
	struct copy_faults *copy_faults;
	enum outcome jobs[JOBS_MAX];
	uint32_t jobs_len;
	enum outcome crash_jobs[CRASH_JOBS_MAX];
	uint32_t crash_jobs_len;
	/* when each active fault ends, 0 if there is none: SIGSTOP, process
	 * down, store unavailable, connection from an instance to the store
	 * broken, connections to an upstream broken, wall clock offset */
	uint64_t resume_ms[INSTANCE_COUNT];
	uint64_t restart_ms[INSTANCE_COUNT];
	uint64_t store_until_ms;
	uint64_t store_link_until_ms[INSTANCE_COUNT];
	uint64_t upstream_link_until_ms[UPSTREAM_COUNT];
	uint64_t clock_until_ms[INSTANCE_COUNT];
	uint64_t room_until_ms[UPSTREAM_COUNT]; /* room reduced */
	uint64_t domain_until_ms;		/* a failure domain cut off */
	uint32_t cut_domain;
	uint32_t long_faults; /* number of long faults begun */
	uint64_t next_long_fault_ms;
	uint64_t next_leader_fault_ms;
	uint64_t restarted_ms[INSTANCE_COUNT]; /* time of the last restart */
};

/* Link modes of the proxy fake/cutter.c and the delay that each adds. */
static const struct {
	const char *mode;
	uint32_t delay_ms;
} link_modes[] = {{"cut", 0},  {"freeze", 0}, {"forget", 0},
		  {"half", 0}, {"deaf", 0},   {"pass", 40}};

/* Returns a random number from 0 to n - 1. */
static uint32_t random_below(struct soak *k, uint32_t n)
{
	return g_rand_int_range(k->random, 0, (int)n);
}

/* The work of a job. */
struct work {
	uint32_t tasks;
	uint32_t run_ms; /* of each task */
};

static struct work random_work(struct soak *k)
{
	struct work w;

	w.run_ms = 100 + random_below(k, 1500);
	w.tasks = 1 + random_below(k, 8);
	return w;
}

/*
 * Submits job n to a random instance that is running.  Once a submission was
 * accepted, the outcomes of later submissions do not change the job's state.
 */
static void submit_job(struct soak *k, uint32_t n)
{
	uint32_t i = random_below(k, INSTANCE_COUNT);
	struct work w;
	int status;

	if (!k->site->instances[i] || k->resume_ms[i])
		return;
	w = random_work(k);
	if (k->long_random)
		w.run_ms *= g_rand_int_range(k->long_random, 1, 17);
	status = joint_submit(k->site, i, n + 1, w.tasks, w.run_ms);
	if (status == 200)
		k->jobs[n] = JOB_ACCEPTED;
	else if (k->jobs[n] != JOB_ACCEPTED)
		k->jobs[n] = (status == 503 || status == 429) ? k->jobs[n]
							      : JOB_UNKNOWN;
}

/* Ends instance i with a signal and schedules its restart. */
static void stop_instance(struct soak *k, uint32_t i, int signo)
{
	if (!k->site->instances[i] || k->resume_ms[i])
		return;
	joint_instance_kill(k->site, i, signo);
	k->restart_ms[i] = clock_mono_ms() + 100 + random_below(k, 1500);
}

/* Starts a random fault on a random target; some last up to 2.7 s. */
static void inject_fault(struct soak *k)
{
	uint32_t i = random_below(k, INSTANCE_COUNT);
	uint32_t u = random_below(k, UPSTREAM_COUNT),
		 mode = random_below(k, G_N_ELEMENTS(link_modes));
	uint64_t until_ms = clock_mono_ms() + 200 + random_below(k, 2500);

	switch ((enum fault)random_below(k, FAULT_COUNT)) {
	case FAULT_KILL:
		stop_instance(k, i, SIGKILL);
		break;
	case FAULT_TERMINATE:
		stop_instance(k, i, SIGTERM);
		break;
	case FAULT_FREEZE:
		if (!k->site->instances[i] || k->resume_ms[i])
			break;
		kill(k->site->instances[i], SIGSTOP);
		k->resume_ms[i] = until_ms;
		break;
	case FAULT_STORE_REFUSES:
		joint_control_platform(k->site, "{\"store\": \"refuse\"}");
		k->store_until_ms = until_ms;
		break;
	case FAULT_STORE_HANGS:
		joint_control_platform(k->site, "{\"store\": \"hang\"}");
		k->store_until_ms = until_ms;
		break;
	case FAULT_LOST_ANSWERS:
		joint_control_platform(k->site, "{\"lose_answers\": 4}");
		break;
	case FAULT_LATE_STARTS:
		joint_control_platform(
			k->site, "{\"late_starts\": 4, \"late_ms\": 1800}");
		break;
	case FAULT_STORE_LINK:
		joint_set_store_link(k->site, i, link_modes[mode].mode,
				     link_modes[mode].delay_ms);
		k->store_link_until_ms[i] = until_ms;
		break;
	case FAULT_UPSTREAM_LINK:
		joint_set_upstream_link(k->site, u, link_modes[mode].mode,
					link_modes[mode].delay_ms);
		k->upstream_link_until_ms[u] = until_ms;
		break;
	case FAULT_FEED_HISTORY_DROPPED:
		joint_control_platform(k->site, "{\"forget\": true}");
		break;
	case FAULT_CLOCK_OFFSET:
		joint_set_clock_offset(k->site, i,
				       (int)random_below(k, 20) - 10);
		k->clock_until_ms[i] = until_ms;
		break;
	case FAULT_RELOAD:
		if (k->site->instances[i] &&
		    clock_mono_ms() > k->restarted_ms[i] + SIGNAL_SETUP_MS)
			kill(k->site->instances[i], SIGHUP);
		break;
	case FAULT_COUNT:
		break;
	}
}

/* Submits a job with a task that crashes its upstreams. */
static void submit_crash_job(struct soak *k)
{
	uint32_t i = g_rand_int_range(k->upstream_random, 0, INSTANCE_COUNT);
	uint32_t crash_ms = g_rand_int_range(k->upstream_random, 0, 600);
	uint32_t away_ms = g_rand_int_range(k->upstream_random, 1500, 5000);
	char *body = g_strdup_printf("{\"crash_ms\": %u}", away_ms);

	joint_control_platform(k->site, body);
	g_free(body);
	if (!k->site->instances[i] || k->resume_ms[i] ||
	    k->crash_jobs_len == CRASH_JOBS_MAX)
		return;
	if (joint_submit_crash(k->site, i, CRASH_JOBS_FIRST + k->crash_jobs_len,
			       crash_ms) == 200)
		k->crash_jobs[k->crash_jobs_len] = JOB_ACCEPTED;
	k->crash_jobs_len++;
}

/* Starts a random fault of an upstream itself. */
static void inject_upstream_fault(struct soak *k)
{
	uint32_t u = g_rand_int_range(k->upstream_random, 0, UPSTREAM_COUNT);
	uint32_t room = g_rand_int_range(k->upstream_random, 0, UPSTREAM_ROOM);
	uint32_t lasts_ms = g_rand_int_range(k->upstream_random, 1000, 8000);

	if (k->crashes && g_rand_boolean(k->upstream_random)) {
		submit_crash_job(k);
		return;
	}
	joint_set_room(k->site, u, room);
	k->room_until_ms[u] = clock_mono_ms() + lasts_ms;
}

/*
 * Returns true, and marks the fault as ended, if the fault that lasts until
 * *until_ms is active and either its time is over or `all` is set.
 */
static bool end_fault_if_due(uint64_t *until_ms, bool all)
{
	if (!*until_ms || (!all && clock_mono_ms() < *until_ms))
		return false;
	*until_ms = 0;
	return true;
}

static void end_link_faults(struct soak *k, bool all)
{
	for (uint32_t i = 0; i < INSTANCE_COUNT; i++) {
		if (end_fault_if_due(&k->store_link_until_ms[i], all))
			joint_set_store_link(k->site, i, "pass", 0);
		if (end_fault_if_due(&k->clock_until_ms[i], all))
			joint_set_clock_offset(k->site, i, 0);
	}
	for (uint32_t u = 0; u < UPSTREAM_COUNT; u++) {
		if (end_fault_if_due(&k->upstream_link_until_ms[u], all))
			joint_set_upstream_link(k->site, u, "pass", 0);
		if (end_fault_if_due(&k->room_until_ms[u], all))
			joint_set_room(k->site, u, UPSTREAM_ROOM);
	}
}

/* Ends the faults whose time is over, or every active fault with `all`. */
static void end_faults(struct soak *k, bool all)
{
	for (uint32_t i = 0; i < INSTANCE_COUNT; i++) {
		if (end_fault_if_due(&k->resume_ms[i], all))
			kill(k->site->instances[i], SIGCONT);
		if (end_fault_if_due(&k->restart_ms[i], all)) {
			joint_instance_start(k->site, i);
			k->restarted_ms[i] = clock_mono_ms();
		}
	}
	if (end_fault_if_due(&k->store_until_ms, all))
		joint_control_platform(k->site, "{\"store\": \"ok\"}");
	if (end_fault_if_due(&k->domain_until_ms, all))
		joint_set_domain_links(k->site, k->cut_domain, "pass");
	end_link_faults(k, all);
	if (k->copy_faults)
		copy_faults_end(k->copy_faults, all);
}

/*
 * Waits until job n is in this state, at most COMPLETION_TIMEOUT_MS.  It must
 * not be shown in the other state.
 */
static void check_job_ends(struct soak *k, uint32_t n, const char *state,
			   const char *other)
{
	uint64_t until_ms = clock_mono_ms() + COMPLETION_TIMEOUT_MS;

	while (!joint_in_state(k->site, n % INSTANCE_COUNT, n, state)) {
		if (joint_in_state(k->site, n % INSTANCE_COUNT, n, other))
			fail_msg("accepted job %u is %s, not %s", n, other,
				 state);
		if (clock_mono_ms() > until_ms)
			fail_msg("accepted job %u is not %s", n, state);
		joint_check_record(k->site);
		loop_step(k->site->loop, 20);
	}
}

/*
 * Checks that each accepted job ends: as failed if it crashes its upstreams,
 * as completed otherwise.
 */
static void check_accepted_jobs_end(struct soak *k)
{
	for (uint32_t n = 0; n < k->jobs_len; n++)
		if (k->jobs[n] == JOB_ACCEPTED)
			check_job_ends(k, n + 1, "completed", "failed");
	for (uint32_t n = 0; n < k->crash_jobs_len; n++)
		if (k->crash_jobs[n] == JOB_ACCEPTED)
			check_job_ends(k, CRASH_JOBS_FIRST + n, "failed",
				       "completed");
}

/* Submits a new job or an earlier one again. */
static void submit_any_job(struct soak *k)
{
	if (k->jobs_len < JOBS_MAX && random_below(k, 3))
		submit_job(k, k->jobs_len++);
	else if (k->jobs_len)
		submit_job(k, random_below(k, k->jobs_len));
}

/* Returns a random leader, or any instance if there is none. */
static uint32_t choose_leader(struct soak *k, GRand *random)
{
	uint32_t first = g_rand_int_range(random, 0, INSTANCE_COUNT);

	for (uint32_t n = 0; n < INSTANCE_COUNT; n++)
		if (joint_is_leader(k->site, (first + n) % INSTANCE_COUNT))
			return (first + n) % INSTANCE_COUNT;
	return first;
}

static void freeze_instance(struct soak *k, uint32_t i, uint64_t until_ms)
{
	if (!k->site->instances[i] || k->resume_ms[i])
		return;
	kill(k->site->instances[i], SIGSTOP);
	k->resume_ms[i] = until_ms;
}

/* Pauses a leader or any instance, or starts a fault of its copies. */
static void inject_copy_fault(struct soak *k)
{
	GRand *random = k->copy_faults->random;
	uint32_t i = choose_leader(k, random);
	uint32_t kind = g_rand_int_range(random, 0, 8);
	uint32_t pause_ms =
		g_rand_int_range(random, PAUSE_MIN_MS, PAUSE_MAX_MS);

	if (kind > 1)
		copy_faults_inject(k->copy_faults);
	else if (kind)
		freeze_instance(k, i, clock_mono_ms() + pause_ms);
	else
		freeze_instance(k, (i + 1) % INSTANCE_COUNT,
				clock_mono_ms() + pause_ms);
}

/* Submits a job and may start a fault, then waits for the next step. */
static void run_step(struct soak *k)
{
	uint64_t step_end_ms = clock_mono_ms() + STEP_INTERVAL_MS;

	submit_any_job(k);
	if (!random_below(k, 4))
		inject_fault(k);
	if (!g_rand_int_range(k->upstream_random, 0, 6))
		inject_upstream_fault(k);
	if (k->copy_faults && !g_rand_int_range(k->copy_faults->random, 0, 6))
		inject_copy_fault(k);
	end_faults(k, false);
	joint_check_record(k->site);
	while (clock_mono_ms() < step_end_ms)
		loop_step(k->site->loop, 10);
}

/*
 * Runs one seed: submits jobs and injects faults for SOAK_MS, ends the
 * faults, then waits until all instances are ready and checks the jobs.  The
 * upstreams of odd seeds do not guard their room.
 */
static void run_seed(uint32_t seed, bool crashes, bool copies)
{
	struct soak k = {.random = g_rand_new_with_seed(seed),
			 .upstream_random = g_rand_new_with_seed(~seed),
			 .crashes = crashes};
	struct copy_faults faults;
	uint64_t until_ms;

	print_message("seed %u\n", seed);
	k.site = seed % 2 ? joint_start_unguarded(100 + seed % 100)
			  : joint_start(100 + seed % 100);
	if (copies) {
		copy_faults_begin(&faults, k.site, seed + 1);
		k.copy_faults = &faults;
	}
	until_ms = clock_mono_ms() + SOAK_MS;
	while (clock_mono_ms() < until_ms)
		run_step(&k);
	end_faults(&k, true);
	for (uint32_t i = 0; i < INSTANCE_COUNT; i++)
		joint_wait_ready(k.site, i);
	check_accepted_jobs_end(&k);
	joint_stop(k.site);
	if (copies)
		copy_faults_free(&faults);
	g_rand_free(k.random);
	g_rand_free(k.upstream_random);
}

/*
 * Starts a long fault, unless one of its kind is active.  The first one of a
 * seed cuts a failure domain off.
 */
static void inject_long_fault(struct soak *k)
{
	static const char *const modes[] = {"freeze", "freeze", "cut",
					    "refuse"};
	uint32_t kind = g_rand_int_range(k->long_random, 0, LONG_FAULT_COUNT);
	uint32_t mode =
		g_rand_int_range(k->long_random, 0, G_N_ELEMENTS(modes));
	uint32_t i = choose_leader(k, k->long_random);
	uint64_t until_ms = clock_mono_ms() +
			    g_rand_int_range(k->long_random, LONG_FAULT_MIN_MS,
					     LONG_FAULT_MAX_MS);

	if (!k->long_faults++)
		kind = LONG_FAULT_DOMAIN;
	switch ((enum long_fault)kind) {
	case LONG_FAULT_DOMAIN:
		if (k->domain_until_ms)
			break;
		k->cut_domain = i;
		k->domain_until_ms = until_ms;
		joint_set_domain_links(k->site, i, modes[mode]);
		break;
	case LONG_FAULT_STORE:
		if (k->store_until_ms)
			break;
		joint_control_platform(k->site,
				       mode % 2 ? "{\"store\": \"refuse\"}"
						: "{\"store\": \"hang\"}");
		k->store_until_ms = until_ms;
		break;
	case LONG_FAULT_FREEZE:
		freeze_instance(k, i, until_ms);
		break;
	case LONG_FAULT_COUNT:
		break;
	}
}

/* Kills, terminates or freezes a leader for a short time. */
static void inject_leader_fault(struct soak *k)
{
	uint32_t i = choose_leader(k, k->long_random);
	uint32_t kind = g_rand_int_range(k->long_random, 0, 3);
	uint64_t until_ms =
		clock_mono_ms() + g_rand_int_range(k->long_random, 200, 2700);

	if (kind == 0)
		stop_instance(k, i, SIGKILL);
	else if (kind == 1)
		stop_instance(k, i, SIGTERM);
	else
		freeze_instance(k, i, until_ms);
}

/*
 * Submits a job now and then and starts the faults whose time has come. A step
 * takes longer while an instance does not answer.
 */
static void run_long_step(struct soak *k, uint64_t began_ms)
{
	uint64_t now = clock_mono_ms();

	if (!random_below(k, 6))
		submit_any_job(k);
	if (now >= k->next_long_fault_ms &&
	    now < began_ms + LONG_FAULTS_BEGIN_MS) {
		inject_long_fault(k);
		k->next_long_fault_ms =
			now + g_rand_int_range(k->long_random, 500, 4000);
	}
	if (now >= k->next_leader_fault_ms) {
		inject_leader_fault(k);
		k->next_leader_fault_ms =
			now + g_rand_int_range(k->long_random, 1000, 6000);
	}
	end_faults(k, false);
	joint_check_record(k->site);
	while (clock_mono_ms() < now + STEP_INTERVAL_MS)
		loop_step(k->site->loop, 10);
}

/*
 * Prints how often an instance began to lead and how many runs lapsed. The
 * leader must have changed, as otherwise the faults of the seed struck nothing.
 */
static void check_faults_struck(struct soak *k)
{
	json_t *record = joint_record(k->site);
	size_t lapses = json_array_size(json_object_get(record, "lapses"));
	uint32_t changes = 0;

	for (uint32_t i = 0; i < INSTANCE_COUNT; i++)
		changes += joint_count_log(k->site, i, "leading");
	print_message("leaders %u, lapsed runs %zu\n", changes, lapses);
	json_decref(record);
	assert_true(changes > 1);
}

/*
 * Runs one seed of faults that outlast the tenure of leaders and leases, while
 * leaders are killed, terminated and frozen.
 */
static void run_long_seed(uint32_t seed)
{
	struct soak k = {.random = g_rand_new_with_seed(seed),
			 .long_random = g_rand_new_with_seed(~seed)};
	uint64_t began_ms;

	print_message("seed %u\n", seed);
	k.site = joint_start_divided(90 + seed % 10, seed % 2);
	for (uint32_t i = 0; i < INSTANCE_COUNT; i++)
		joint_wait_peers(k.site, i);
	for (; k.jobs_len < FIRST_JOBS_COUNT; k.jobs_len++) {
		k.jobs[k.jobs_len] = JOB_ACCEPTED;
		assert_int_equal(joint_submit(k.site, 0, k.jobs_len + 1, 6,
					      FIRST_JOBS_RUN_MS),
				 200);
	}
	began_ms = clock_mono_ms();
	k.next_long_fault_ms =
		began_ms + g_rand_int_range(k.long_random, 500, 3000);
	k.next_leader_fault_ms =
		began_ms + g_rand_int_range(k.long_random, 2000, 6000);
	while (clock_mono_ms() < began_ms + LONG_SOAK_MS)
		run_long_step(&k, began_ms);
	end_faults(&k, true);
	for (uint32_t i = 0; i < INSTANCE_COUNT; i++)
		joint_wait_ready(k.site, i);
	check_accepted_jobs_end(&k);
	check_faults_struck(&k);
	joint_stop(k.site);
	g_rand_free(k.random);
	g_rand_free(k.long_random);
}

static void run_seeds(const char *text, bool crashes, bool copies)
{
	char **seeds = g_strsplit(text, " ", -1);

	for (char **s = seeds; *s; s++)
		if (**s)
			run_seed(g_ascii_strtoull(*s, NULL, 10), crashes,
				 copies);
	g_strfreev(seeds);
}

static void accepted_jobs_complete_under_random_faults(void **state)
{
	const char *text = getenv("SOAK_SEEDS");

	(void)state;
	run_seeds(text ? text : DEFAULT_SEEDS, false, false);
}

static void accepted_jobs_end_while_tasks_crash_their_upstreams(void **state)
{
	const char *text = getenv("SOAK_SEEDS");

	(void)state;
	run_seeds(text ? text : DEFAULT_CRASH_SEEDS, true, false);
}

static void
accepted_jobs_complete_under_faults_that_outlast_leases(void **state)
{
	const char *text = getenv("SOAK_SEEDS");
	char **seeds = g_strsplit(text ? text : DEFAULT_LONG_SEEDS, " ", -1);

	(void)state;
	for (char **s = seeds; *s; s++)
		if (**s)
			run_long_seed(g_ascii_strtoull(*s, NULL, 10));
	g_strfreev(seeds);
}

static void
accepted_jobs_complete_under_stale_reads_and_lapsed_entries(void **state)
{
	const char *text = getenv("SOAK_SEEDS");

	(void)state;
	run_seeds(text ? text : DEFAULT_COPY_SEEDS, false, true);
}

/*
 * Seeds that have failed once and the faults that they found:
 * 22, 50: an instance resumed from SIGSTOP never became ready again, and its
 *     log ended in the millisecond of the resume.  A timer closed a socket
 *     before h2o had reported the end of a write on it, and h2o looped over
 *     the freed memory.
 * 97: a resumed leader treated the leases as expired and ran tasks again
 *     that the upstreams had listed as done.
 * 4, 605, with tasks that crash their upstreams: a job that crashes nothing was
 *     failed, as suspects that had waited were placed on one upstream.
 */
static void seeds_that_failed_before_pass(void **state)
{
	(void)state;
	if (getenv("SOAK_SEEDS"))
		return;
	run_seeds("22 50 97", false, false);
	run_seeds("605", true, false);
}

/* Guards against seeds that play differently on another processor. */
static void a_seed_draws_the_same_work_everywhere(void **state)
{
	static const struct work expected[] = {{4, 1445}, {1, 724}, {2, 863}};
	struct soak k = {.random = g_rand_new_with_seed(1)};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
		struct work w = random_work(&k);

		assert_int_equal(w.tasks, expected[i].tasks);
		assert_int_equal(w.run_ms, expected[i].run_ms);
	}
	g_rand_free(k.random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_seed_draws_the_same_work_everywhere),
		cmocka_unit_test(accepted_jobs_complete_under_random_faults),
		cmocka_unit_test(
			accepted_jobs_end_while_tasks_crash_their_upstreams),
		cmocka_unit_test(
			accepted_jobs_complete_under_faults_that_outlast_leases),
		cmocka_unit_test(
			accepted_jobs_complete_under_stale_reads_and_lapsed_entries),
		cmocka_unit_test(seeds_that_failed_before_pass),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
