/*
 * The roster.  Of two upstreams chosen at random the one with fewer
 * checks in flight gets the next: nearly as even as the best choice,
 * and without the herd that all instances would form at the emptiest.
 */
#include <glib.h>
#include <string.h>

#include "daemon/roster.h"

#define LEAVING_HOLD_MS 30000 /* believed for this long after the last word */

struct roster {
	struct env *env;
	GPtrArray *upstreams;
	GHashTable *by_name;
	uint64_t random;
	uint32_t slots;
};

static void roster_upstream_free(void *p)
{
	struct roster_upstream *e = p;

	http_pool_destroy(e->pool);
	g_free(e);
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

/* Free r and its connections. */
void roster_destroy(struct roster *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->by_name);
	g_ptr_array_free(r->upstreams, TRUE);
	g_free(r);
}

/* Find an upstream by name, or NULL. */
struct roster_upstream *roster_find_upstream(struct roster *r, const char *name)
{
	return g_hash_table_lookup(r->by_name, name);
}

static struct roster_upstream *add_upstream(struct roster *r,
					    const struct config_upstream *u)
{
	struct roster_upstream *e = g_new0(struct roster_upstream, 1);

	g_strlcpy(e->name, u->name, sizeof(e->name));
	e->address = u->address;
	e->pool = http_pool_create(r->env->http, &u->address,
				   r->env->settings->upstream_connections);
	g_ptr_array_add(r->upstreams, e);
	g_hash_table_insert(r->by_name, e->name, e);
	return e;
}

/* Take the upstreams of the own domain from a configuration. */
void roster_apply_config(struct roster *r, const struct config *c)
{
	for (guint i = 0; i < r->upstreams->len; i++)
		((struct roster_upstream *)g_ptr_array_index(r->upstreams, i))
			->configured = false;
	r->slots = 0;
	for (uint32_t i = 0; i < c->upstreams_len; i++) {
		const struct config_upstream *u = &c->upstreams[i];
		struct roster_upstream *e;

		if (strcmp(u->domain, r->env->settings->domain))
			continue;
		e = roster_find_upstream(r, u->name);
		if (e && memcmp(&e->address, &u->address, sizeof(e->address)) &&
		    !http_pool_in_flight(e->pool)) {
			http_pool_destroy(e->pool);
			e->address = u->address;
			e->pool = http_pool_create(
				r->env->http, &u->address,
				r->env->settings->upstream_connections);
		}
		if (!e)
			e = add_upstream(r, u);
		e->configured = true;
		e->slots = u->slots;
		r->slots += u->slots;
	}
}

/* Take the platform's list: an upstream that is not live gets nothing. */
void roster_apply_members(struct roster *r, const json_t *list)
{
	json_t *v;
	size_t i;

	for (guint k = 0; k < r->upstreams->len; k++) {
		struct roster_upstream *e = g_ptr_array_index(r->upstreams, k);

		e->listed_not_live = e->was_listed;
	}
	json_array_foreach(list, i, v)
	{
		struct roster_upstream *e =
			roster_find_upstream(r, json_str_or(v, "name", ""));

		if (!e)
			continue;
		e->was_listed = true;
		e->listed_not_live =
			strcmp(json_str_or(v, "state", ""), "live");
	}
}

/* Note the word of a peer or of the upstream that it is leaving. */
void roster_mark_leaving(struct roster *r, const char *name)
{
	struct roster_upstream *e = roster_find_upstream(r, name);

	if (!e)
		return;
	if (clock_mono_ms() >= e->leaving_until_ms)
		event_add(r->env->events, "upstream_leaving", name, NULL,
			  "no new checks");
	e->leaving_until_ms = clock_mono_ms() + LEAVING_HOLD_MS;
}

static uint64_t next_random(struct roster *r)
{
	r->random ^= r->random << 13;
	r->random ^= r->random >> 7;
	r->random ^= r->random << 17;
	return r->random;
}

static bool list_contains(struct roster_upstream *const *list, uint32_t n,
			  const struct roster_upstream *e)
{
	for (uint32_t i = 0; i < n; i++)
		if (list[i] == e)
			return true;
	return false;
}

static bool is_available(const struct roster *r,
			 const struct roster_upstream *e, uint64_t now)
{
	return e->configured && !e->listed_not_live &&
	       now >= e->leaving_until_ms && now >= e->no_slot_until_ms &&
	       http_pool_in_flight(e->pool) <
		       r->env->settings->upstream_connections;
}

/*
 * Pick an upstream for one check that is not among those tried; NULL
 * when none may be given work now.
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
		struct roster_upstream *e =
			g_ptr_array_index(r->upstreams, (start + i * 7919) % n);

		if (!is_available(r, e, now) ||
		    list_contains(tried, tried_len, e))
			continue;
		if (e->health.quarantined) {
			if (health_try_admit(&e->health, now))
				return e;
			continue;
		}
		candidate_count++;
		if (!best || http_pool_in_flight(e->pool) <
				     http_pool_in_flight(best->pool))
			best = e;
	}
	return best;
}

/* Return the slots of all configured upstreams of the domain. */
uint32_t roster_count_slots(const struct roster *r)
{
	return r->slots;
}

/* Return the upstreams as this instance sees them, for operators. */
json_t *roster_to_json(const struct roster *r)
{
	json_t *out = json_array();
	uint64_t now = clock_mono_ms();

	for (guint i = 0; i < r->upstreams->len; i++) {
		const struct roster_upstream *e =
			g_ptr_array_index(r->upstreams, i);
		bool leaving = e->listed_not_live || now < e->leaving_until_ms;

		if (!e->configured)
			continue;
		json_array_append_new(
			out,
			json_pack("{s:s,s:s,s:i}", "name", e->name, "state",
				  e->health.quarantined ? "quarantined"
				  : leaving		? "leaving"
							: "open",
				  "checks_in_flight",
				  (int)http_pool_in_flight(e->pool)));
	}
	return out;
}
