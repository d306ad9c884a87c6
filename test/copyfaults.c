/*
 * Random faults of what the instances know of the store: feeds that are silent
 * and lose their history, stale reads, and entries that lapse and return late.
 */
#include "test/copyfaults.h"

#define ENTRY_DELAY_MS 2000
#define SILENCE_MAX_MS 600
#define STALE_MIN_MS 1000
#define STALE_MAX_MS 5000
#define STALE_LASTS_MIN_MS 300
#define STALE_LASTS_MAX_MS 1500
/* An entry lapses after three heartbeats, 4.5 s. */
#define AWAY_MIN_MS 4000
#define AWAY_MAX_MS 7000

/* Takes over a site, whose entries also lapse while the store is away. */
void copy_faults_begin(struct copy_faults *f, struct joint_site *s,
		       uint32_t seed)
{
	char *body = g_strdup_printf(
		"{\"entries_lapse\": true, \"entry_delay_ms\": %d}",
		ENTRY_DELAY_MS);

	*f = (struct copy_faults){.site = s,
				  .random = g_rand_new_with_seed(seed)};
	joint_control_platform(s, body);
	g_free(body);
}

/* Drops the history after a silence; reads are stale for a while. */
static void drop_history(struct copy_faults *f)
{
	int silence_ms = g_rand_int_range(f->random, 0, SILENCE_MAX_MS);
	int stale_ms = g_rand_int_range(f->random, STALE_MIN_MS, STALE_MAX_MS);
	int lasts_ms =
		silence_ms + g_rand_int_range(f->random, STALE_LASTS_MIN_MS,
					      STALE_LASTS_MAX_MS);
	char *body = g_strdup_printf("{\"silence_ms\": %d, \"stale_ms\": %d}",
				     silence_ms + 1, stale_ms);

	if (!f->stale_until_ms) {
		joint_control_platform(f->site, body);
		f->stale_until_ms = clock_mono_ms() + lasts_ms;
	}
	g_free(body);
}

static void set_silent(struct copy_faults *f, uint32_t u, bool silent)
{
	char *body = g_strdup_printf("{\"upstream\": %u, \"silent\": %s}", u,
				     silent ? "true" : "false");

	joint_control_platform(f->site, body);
	g_free(body);
}

/* Starts a random fault. */
void copy_faults_inject(struct copy_faults *f)
{
	uint32_t u = g_rand_int_range(f->random, 0, UPSTREAM_COUNT);

	if (g_rand_boolean(f->random)) {
		drop_history(f);
		return;
	}
	if (!f->silent_until_ms[u])
		set_silent(f, u, true);
	f->silent_until_ms[u] =
		clock_mono_ms() +
		g_rand_int_range(f->random, AWAY_MIN_MS, AWAY_MAX_MS);
}

/* Ends the faults whose time is over, or every one with `all`. */
void copy_faults_end(struct copy_faults *f, bool all)
{
	uint64_t now = clock_mono_ms();

	if (f->stale_until_ms && (all || now >= f->stale_until_ms)) {
		joint_control_platform(f->site, "{\"stale_ms\": 0}");
		f->stale_until_ms = 0;
	}
	for (uint32_t u = 0; u < UPSTREAM_COUNT; u++) {
		if (!f->silent_until_ms[u] ||
		    (!all && now < f->silent_until_ms[u]))
			continue;
		set_silent(f, u, false);
		f->silent_until_ms[u] = 0;
	}
}

void copy_faults_free(struct copy_faults *f)
{
	g_rand_free(f->random);
}
