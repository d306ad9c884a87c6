/*
 * Process tests of a site of many instances and upstreams under the faults that
 * come together there: failure domains that are cut off, outages, entries that
 * lapse and return late, feeds without history, stale reads and pauses.
 * GROWN_SEEDS gives the seeds to run, separated by spaces, and GROWN_SHAPE the
 * size, see test/grown.c.
 */
#include <signal.h>
#include <stdlib.h>

#include "lead/tenure.h"
#include "test/grown.h"

#define DEFAULT_SEEDS "1"
/* Jobs that fill a part of all failure domains before a fault. */
#define FIRST_JOBS 60
#define OUTAGE_JOBS 20
/* The table of the upstreams' entries. */
#define ENTRIES "servers"
#define FIRST_JOBS_MS 3000
#define ENTRY_DELAY_MS 2000
/* Time after which an entry without heartbeats has lapsed. */
#define LAPSE_MS 5000
#define SILENCE_MS 1000
/* Connections are reset shortly before the tenure ends, see proc_tenure.c. */
#define RESET_MS (TENURE_MS - 400)
#define STALE_MS 4000
#define MARGIN_MS 3000
#define STALE_ROUNDS 4
#define PAUSE_STEPS 8

/* Returns a run time that outlasts a tenure and a lease. */
static uint32_t long_run_ms(const struct grown *g)
{
	return TENURE_MS + 2 * g->site->lease_ms + 4000;
}

static struct grown *start(uint32_t net, uint32_t seed)
{
	struct grown *g = grown_start(net, seed);

	grown_control(g, "{\"entries_lapse\": true, \"entry_delay_ms\": %d}",
		      ENTRY_DELAY_MS);
	grown_fill(g, FIRST_JOBS, long_run_ms(g));
	grown_run(g, FIRST_JOBS_MS);
	return g;
}

/* Lets the cut of a domain last, and its entries return after it. */
static void end_cut(struct grown *g, uint32_t domain, uint64_t began_ms)
{
	uint64_t lasts_ms = TENURE_MS + g->site->lease_ms + MARGIN_MS;

	grown_run_until(g, began_ms + RESET_MS);
	grown_cut(g, domain, "cut");
	grown_cut(g, domain, "freeze");
	grown_run_until(g, began_ms + lasts_ms - SILENCE_MS);
	grown_drop_history(g, SILENCE_MS, STALE_MS, ENTRIES);
	grown_run(g, SILENCE_MS);
	grown_heal(g, domain);
	grown_run(g, STALE_MS);
	grown_stop(g);
}

/* Kills the successor of a leader that is cut off after entries lapsed. */
static void play_second_successor(uint32_t net, uint32_t seed)
{
	struct grown *g = start(net, seed);
	uint32_t domain =
		joint_instance_domain(g->site, joint_wait_leader(g->site));
	uint64_t began_ms = clock_mono_ms();

	grown_cut(g, domain, "freeze");
	grown_wait_leader(g, TENURE_MS);
	grown_run_until(g, began_ms + LAPSE_MS);
	grown_kill(g, grown_wait_leader(g, TENURE_MS));
	grown_wait_leader(g, TENURE_MS);
	end_cut(g, domain, began_ms);
}

/* Pauses all others until the entries of a cut off domain have lapsed. */
static void play_late_successor(uint32_t net, uint32_t seed)
{
	struct grown *g = start(net, seed);
	uint32_t domain =
		joint_instance_domain(g->site, joint_wait_leader(g->site));
	uint64_t began_ms = clock_mono_ms();

	grown_cut(g, domain, "freeze");
	for (uint32_t i = 0; i < g->site->instance_count; i++)
		if (joint_instance_domain(g->site, i) != domain)
			grown_pause(g, i, LAPSE_MS);
	grown_wait_leader(g, TENURE_MS + LAPSE_MS);
	end_cut(g, domain, began_ms);
}

/* Lets the store be away while the leader is paused for a part of it. */
static void play_outage(struct grown *g, const char *mode, uint32_t ms,
			const char *stale_table)
{
	uint32_t leader, pause_ms = grown_random(g, 1000, 3000);
	uint32_t first_ms = grown_random(g, 0, ms - pause_ms);

	grown_fill(g, OUTAGE_JOBS, long_run_ms(g));
	grown_run(g, FIRST_JOBS_MS);
	grown_set_store(g, mode);
	grown_run(g, first_ms);
	if (grown_find_leader(g, &leader))
		grown_pause(g, leader, pause_ms);
	grown_run(g, ms - first_ms);
	grown_drop_history(g, SILENCE_MS, STALE_MS, stale_table);
	grown_set_store(g, "ok");
	grown_run(g, STALE_MS);
	grown_control(g, "{\"stale_ms\": 0}");
	grown_wait_leader(g, 2 * TENURE_MS);
}

static void play_outages(uint32_t net, uint32_t seed)
{
	struct grown *g = start(net, seed);

	play_outage(g, "down", 5000, ENTRIES);
	play_outage(g, "down", 9000, ENTRIES);
	play_outage(g, "silent", 17000, ENTRIES);
	grown_stop(g);
}

/* Drops the history and serves stale reads again and again. */
static void play_stale(uint32_t net, uint32_t seed)
{
	struct grown *g = start(net, seed);

	for (uint32_t n = 0; n < STALE_ROUNDS; n++) {
		grown_drop_history(g, SILENCE_MS, STALE_MS, "");
		grown_run(g, SILENCE_MS + grown_random(g, 500, 2000));
		grown_control(g, "{\"stale_ms\": 0}");
		grown_run(g, FIRST_JOBS_MS);
	}
	grown_stop(g);
}

/* Kills the leader while all reads are stale. */
static void play_stale_takeover(uint32_t net, uint32_t seed)
{
	struct grown *g = start(net, seed);

	grown_control(g, "{\"stale_ms\": %d}", STALE_MS);
	grown_kill(g, grown_wait_leader(g, TENURE_MS));
	/* the owner row, and then the tables, are seen that much later */
	grown_wait_leader(g, TENURE_MS + 2 * STALE_MS);
	grown_run(g, STALE_MS);
	grown_control(g, "{\"stale_ms\": 0}");
	grown_stop(g);
}

/* Pauses the leader and several others, in a cut, in an outage and alone. */
static void play_pauses(uint32_t net, uint32_t seed)
{
	struct grown *g = start(net, seed);
	uint32_t leader, domain = grown_random(g, 0, g->site->domain_count);

	for (uint32_t n = 0; n < PAUSE_STEPS; n++) {
		uint32_t others = grown_random(g, 0, 6);

		if (n == 1)
			grown_cut(g, domain, "freeze");
		if (n == 3)
			grown_heal(g, domain);
		if (n == 4)
			grown_set_store(g, "down");
		if (n == 5)
			grown_set_store(g, "ok");
		if (grown_find_leader(g, &leader))
			grown_pause(g, leader,
				    n == PAUSE_STEPS - 1
					    ? TENURE_MS + 1000
					    : grown_random(g, 1000, 4000));
		while (others--) {
			uint32_t i =
				grown_random(g, 0, g->site->instance_count);

			grown_pause(g, i, grown_random(g, 1000, 4000));
		}
		grown_run(g, grown_random(g, 1000, 3000));
	}
	grown_run(g, TENURE_MS + MARGIN_MS);
	grown_stop(g);
}

/* Runs a scenario once with each seed. */
static void run_seeds(void (*play)(uint32_t net, uint32_t seed), uint32_t net)
{
	const char *text = getenv("GROWN_SEEDS");
	char **seeds = g_strsplit(text ? text : DEFAULT_SEEDS, " ", -1);

	for (char **s = seeds; *s; s++)
		if (**s)
			play(net, g_ascii_strtoull(*s, NULL, 10));
	g_strfreev(seeds);
}

static void
no_task_runs_twice_when_the_second_successor_never_saw_a_domain(void **state)
{
	(void)state;
	run_seeds(play_second_successor, 25);
}

static void
no_task_runs_twice_when_entries_lapse_before_a_successor_wakes(void **state)
{
	(void)state;
	run_seeds(play_late_successor, 29);
}

static void
no_task_runs_twice_when_entries_lapse_and_history_is_lost_in_outages(
	void **state)
{
	(void)state;
	run_seeds(play_outages, 26);
}

static void
no_task_starts_twice_when_tables_are_read_again_from_old_copies(void **state)
{
	(void)state;
	run_seeds(play_stale, 27);
}

static void no_task_runs_twice_when_a_successor_reads_old_copies(void **state)
{
	(void)state;
	run_seeds(play_stale_takeover, 30);
}

static void
no_task_runs_twice_when_leaders_are_paused_in_cuts_and_outages(void **state)
{
	(void)state;
	run_seeds(play_pauses, 28);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			no_task_runs_twice_when_the_second_successor_never_saw_a_domain),
		cmocka_unit_test(
			no_task_runs_twice_when_entries_lapse_before_a_successor_wakes),
		cmocka_unit_test(
			no_task_runs_twice_when_entries_lapse_and_history_is_lost_in_outages),
		cmocka_unit_test(
			no_task_starts_twice_when_tables_are_read_again_from_old_copies),
		cmocka_unit_test(
			no_task_runs_twice_when_a_successor_reads_old_copies),
		cmocka_unit_test(
			no_task_runs_twice_when_leaders_are_paused_in_cuts_and_outages),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
