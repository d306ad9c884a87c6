/*
 * The roster: the upstreams of the domain that may run quick checks. A check
 * goes to the upstream with fewer checks in flight of two chosen at random. The
 * load is nearly as even as with the least loaded of all, and the instances do
 * not all send to that one at once.
 */
#include <glib.h>
#include <string.h>

#include "daemon/roster.h"

/* An upstream gets no checks for this long after its last leaving notice. */
#define LEAVING_NOTICE_MS 30000

struct roster {
	struct env *env;
	GPtrArray *upstreams;
	GHashTable *by_name;
	uint64_t random;
	uint32_t slots;
};

static void roster_upstream_free(void *p)
{
	struct roster_upstream *u = p;

	http_pool_destroy(u->pool);
	g_free(u);
}

/* Create an empty roster. */
struct roster *roster_create(struct env *env)
{
	struct roster *r = g_new0(struct roster, 1);

	r->env = env;
	r->upstreams = g_ptr_array_new_with_free_func(roster_upstream_free);
	r->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	r->random = env->settings->incarnation | 1;
	return r;
}

/* Free r, which may be NULL, and its connections. */
void roster_destroy(struct roster *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->by_name);
	g_ptr_array_free(r->upstreams, TRUE);
	g_free(r);
}

/* Return the upstream of that name, or NULL. */
struct roster_upstream *roster_find_upstream(struct roster *r, const char *name)
{
	return g_hash_table_lookup(r->by_name, name);
}

static struct roster_upstream *add_upstream(struct roster *r,
					    const struct config_upstream *cfg)
{
	struct roster_upstream *u = g_new0(struct roster_upstream, 1);

	g_strlcpy(u->name, cfg->name, sizeof(u->name));
	u->address = cfg->address;
	u->pool = http_pool_create(r->env->http, &cfg->address,
				   r->env->settings->upstream_connections);
	g_ptr_array_add(r->upstreams, u);
	g_hash_table_insert(r->by_name, u->name, u);
	return u;
}

/*
 * Update the roster to the upstreams that a configuration lists in this
 * instance's domain. A changed address is applied only while the upstream has
 * no checks in flight.
 */
void roster_apply_config(struct roster *r, const struct config *c)
{
	for (guint i = 0; i < r->upstreams->len; i++)
		((struct roster_upstream *)g_ptr_array_index(r->upstreams, i))
			->configured = false;
	r->slots = 0;
	for (uint32_t i = 0; i < c->upstreams_len; i++) {
		const struct config_upstream *cfg = &c->upstreams[i];
		struct roster_upstream *u;

		if (strcmp(cfg->domain, r->env->settings->domain))
			continue;
		u = roster_find_upstream(r, cfg->name);
		if (u &&
		    memcmp(&u->address, &cfg->address, sizeof(u->address)) &&
		    !http_pool_in_flight(u->pool)) {
			http_pool_destroy(u->pool);
			u->address = cfg->address;
			u->pool = http_pool_create(
				r->env->http, &cfg->address,
				r->env->settings->upstream_connections);
		}
		if (!u)
			u = add_upstream(r, cfg);
		u->configured = true;
		u->slots = cfg->slots;
		r->slots += cfg->slots;
	}
}

/*
 * Apply the platform's member list. An upstream that is listed as not live, or
 * that is no longer listed, gets no checks.
 */
void roster_apply_members(struct roster *r, const json_t *list)
{
	json_t *v;
	size_t i;

	for (guint k = 0; k < r->upstreams->len; k++) {
		struct roster_upstream *u = g_ptr_array_index(r->upstreams, k);

		u->not_live = u->was_listed;
	}
	json_array_foreach(list, i, v)
	{
		struct roster_upstream *u =
			roster_find_upstream(r, json_str_or(v, "name", ""));

		if (!u)
			continue;
		u->was_listed = true;
		u->not_live = strcmp(json_str_or(v, "state", ""), "live");
	}
}

/*
 * Send no checks to an upstream for LEAVING_NOTICE_MS, because a peer or the
 * upstream itself reports that it is leaving. An unknown name is ignored.
 */
void roster_mark_leaving(struct roster *r, const char *name)
{
	struct roster_upstream *u = roster_find_upstream(r, name);

	if (!u)
		return;
	if (clock_mono_ms() >= u->leaving_until_ms)
		event_add(r->env->events, "upstream_leaving", name, NULL,
			  "no new checks");
	u->leaving_until_ms = clock_mono_ms() + LEAVING_NOTICE_MS;
}

/* Return the next number of a xorshift generator. */
static uint64_t next_random(struct roster *r)
{
	r->random ^= r->random << 13;
	r->random ^= r->random >> 7;
	r->random ^= r->random << 17;
	return r->random;
}

static bool list_contains(struct roster_upstream *const *list, uint32_t n,
			  const struct roster_upstream *u)
{
	for (uint32_t i = 0; i < n; i++)
		if (list[i] == u)
			return true;
	return false;
}

static bool is_available(const struct roster *r,
			 const struct roster_upstream *u, uint64_t now)
{
	return u->configured && !u->not_live && now >= u->leaving_until_ms &&
	       now >= u->refusal_backoff_until_ms &&
	       http_pool_in_flight(u->pool) <
		       r->env->settings->upstream_connections;
}

/*
 * Choose an upstream for one check that is not among those tried. A quarantined
 * upstream is returned if it is due a probe. NULL if none can take a check.
 */
struct roster_upstream *
roster_choose_upstream(struct roster *r, struct roster_upstream *const *tried,
		       uint32_t tried_len)
{
	uint64_t now = clock_mono_ms();
	guint n = r->upstreams->len, start;
	struct roster_upstream *best = NULL;
	uint32_t candidate_count = 0;

	if (!n)
		return NULL;
	start = next_random(r) % n;
	for (guint i = 0; i < n && candidate_count < 2; i++) {
		struct roster_upstream *u =
			g_ptr_array_index(r->upstreams, (start + i * 7919) % n);

		if (!is_available(r, u, now) ||
		    list_contains(tried, tried_len, u))
			continue;
		if (u->health.quarantined) {
			if (health_try_admit(&u->health, now))
				return u;
			continue;
		}
		candidate_count++;
		if (!best || http_pool_in_flight(u->pool) <
				     http_pool_in_flight(best->pool))
			best = u;
	}
	return best;
}

/* Return the number of slots of the domain's configured upstreams. */
uint32_t roster_count_slots(const struct roster *r)
{
	return r->slots;
}

/* Return the configured upstreams and their states as JSON, for operators. */
json_t *roster_to_json(const struct roster *r)
{
	json_t *out = json_array();
	uint64_t now = clock_mono_ms();

	for (guint i = 0; i < r->upstreams->len; i++) {
		const struct roster_upstream *u =
			g_ptr_array_index(r->upstreams, i);
		bool leaving = u->not_live || now < u->leaving_until_ms;

		if (!u->configured)
			continue;
		json_array_append_new(
			out,
			json_pack("{s:s,s:s,s:i}", "name", u->name, "state",
				  u->health.quarantined ? "quarantined"
				  : leaving		? "leaving"
							: "open",
				  "checks_in_flight",
				  (int)http_pool_in_flight(u->pool)));
	}
	return out;
}
