/*
 * Control of one upstream.  A claim makes an epoch the only one that the
 * upstream obeys; a renewal extends every lease there in one message and
 * brings a report when something has changed.
 */
#include <string.h>

#include "daemon/domain.h"

#define CONTROL_CONNECTIONS 4
#define REFUSED_MS 500 /* then it is given new leases again */

/* Create the control of a configured upstream. */
struct control *control_create(struct decider *d,
			       const struct config_upstream *u)
{
	struct control *c = g_new0(struct control, 1);

	c->decider = d;
	g_strlcpy(c->name, u->name, sizeof(c->name));
	g_strlcpy(c->rack, u->rack, sizeof(c->rack));
	c->address = u->address;
	c->pool = http_pool_create(d->env->http, &u->address,
				   CONTROL_CONNECTIONS);
	c->except =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->acks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return c;
}

/* Free c; its open calls are given up. */
void control_destroy(struct control *c)
{
	if (!c)
		return;
	http_pool_destroy(c->pool);
	g_hash_table_destroy(c->except);
	g_hash_table_destroy(c->acks);
	json_decref(c->leases);
	g_free(c);
}

/* Report whether the platform knows of no such upstream any more. */
bool control_gone(const struct control *c)
{
	return c->decider->members_known && !c->listed;
}

/* Report whether c may be given new leases now. */
bool control_usable(struct control *c)
{
	uint64_t now = clock_mono_ms();
	uint32_t term = c->decider->config->limits.lease_term_ms;

	return c->configured && c->claimed && !c->leaving && !c->listed_off &&
	       !control_gone(c) && now - c->confirmed_ms < term &&
	       now - c->refused_ms >= REFUSED_MS &&
	       health_try_admit(&c->health, now);
}

/* Forget what this instance held there, when it stops deciding. */
void control_unclaim(struct control *c)
{
	c->claimed = false;
	c->known = 0;
	g_hash_table_remove_all(c->except);
	g_hash_table_remove_all(c->acks);
	json_decref(c->leases);
	c->leases = NULL;
}

/* Return the fields that every command to c begins with. */
json_t *control_body(const struct control *c)
{
	const struct decider *d = c->decider;

	return json_pack("{s:I,s:s,s:i}", "epoch", (json_int_t)d->epoch,
			 "holder", d->env->settings->name, "term_ms",
			 (int)d->config->limits.lease_term_ms);
}

/* Post body, which is taken, to c; false when no call could be made. */
bool control_call(struct control *c, const char *path, json_t *body,
		  http_done_fn done, void *arg)
{
	char *text = json_dumps(body, JSON_COMPACT);
	size_t n = strlen(text);
	bool ok = http_call_start(c->pool, "POST", path, text, CALL_TIMEOUT_MS,
				  done, arg) != NULL;

	counter_add(c->decider->env->counters, "upstream_control_bytes", NULL,
		    n);
	free(text);
	json_decref(body);
	return ok;
}

static bool still_role(const struct control *c)
{
	return c->decider->role != ROLE_FOLLOWING;
}

static void take_report(struct control *c, const json_t *v)
{
	json_t *leases = json_object_get(v, "leases");

	c->leaving = json_is_true(json_object_get(v, "leaving"));
	c->incarnation = json_int_or(v, "incarnation", 0);
	c->confirmed_ms = c->call_ms;
	if (!json_is_array(leases))
		return;
	c->known = json_int_or(v, "version", 0);
	json_decref(c->leases);
	c->leases = json_incref(leases);
	decider_report(c->decider, c);
}

static void refused(struct control *c, const json_t *v)
{
	uint64_t epoch = json_int_or(v, "epoch", 0);

	c->claimed = false;
	if (epoch >= c->decider->epoch)
		decider_stale(c->decider, epoch);
}

static void on_claimed(void *arg, const struct http_result *r)
{
	struct control *c = arg;
	json_t *v = NULL;

	c->claiming = false;
	if (!still_role(c) || !verdict_is_ran(r->verdict))
		return;
	v = json_loadb(r->body, r->len, 0, NULL);
	if (r->status == 200 &&
	    (uint64_t)json_int_or(v, "epoch", 0) == c->decider->epoch) {
		c->claimed = true;
		take_report(c, v);
	} else if (r->status == 409) {
		refused(c, v);
	}
	json_decref(v);
}

/* Claim the upstream for the decider's epoch. */
void control_claim(struct control *c)
{
	if (c->claiming || c->renewing)
		return;
	c->call_ms = clock_mono_ms();
	c->claiming = control_call(c, "/claim", control_body(c), on_claimed, c);
}

static json_t *names_of(GHashTable *set)
{
	json_t *list = json_array();
	GHashTableIter it;
	gpointer k;

	g_hash_table_iter_init(&it, set);
	while (g_hash_table_iter_next(&it, &k, NULL))
		json_array_append_new(list, json_string(k));
	return list;
}

static void drop_sent_acks(struct control *c)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, c->acks);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (v)
			g_hash_table_iter_remove(&it);
}

static void mark_acks_sent(struct control *c)
{
	GHashTableIter it;

	g_hash_table_iter_init(&it, c->acks);
	while (g_hash_table_iter_next(&it, NULL, NULL))
		g_hash_table_iter_replace(&it, GINT_TO_POINTER(1));
}

static void on_renewed(void *arg, const struct http_result *r)
{
	struct control *c = arg;
	json_t *v = NULL;

	c->renewing = false;
	if (!still_role(c) || !c->claimed || !verdict_is_ran(r->verdict))
		return;
	v = json_loadb(r->body, r->len, 0, NULL);
	if (r->status == 200 &&
	    (uint64_t)json_int_or(v, "epoch", 0) == c->decider->epoch) {
		drop_sent_acks(c);
		take_report(c, v);
	} else if (r->status == 409) {
		refused(c, v);
	}
	json_decref(v);
}

/* Renew all leases at c but those that are being given up. */
void control_renew(struct control *c)
{
	json_t *body;

	if (c->renewing || c->claiming || !c->claimed)
		return;
	body = control_body(c);
	json_object_set_new(body, "known", json_integer(c->known));
	if (g_hash_table_size(c->except))
		json_object_set_new(body, "except", names_of(c->except));
	if (g_hash_table_size(c->acks)) {
		json_object_set_new(body, "ack", names_of(c->acks));
		mark_acks_sent(c);
	}
	c->call_ms = clock_mono_ms();
	c->renewing = control_call(c, "/renew", body, on_renewed, c);
}
