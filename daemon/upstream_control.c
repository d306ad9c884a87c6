/*
 * Claims and leases at one upstream.  A claim makes the upstream reject all
 * other epochs; a renewal extends every lease there in one call and returns a
 * report if something has changed.
 */
#include <string.h>

#include "daemon/coordinator-internal.h"

#define CONTROL_CONNECTIONS_MAX 4
/* An upstream gets no new leases for this long after a refusal. */
#define REFUSAL_BACKOFF_MS 500

/* Create the control of a configured upstream. */
struct upstream_control *
upstream_control_create(struct coordinator *d, const struct config_upstream *u)
{
	struct upstream_control *c = g_new0(struct upstream_control, 1);

	c->coordinator = d;
	g_strlcpy(c->name, u->name, sizeof(c->name));
	g_strlcpy(c->rack, u->rack, sizeof(c->rack));
	c->address = u->address;
	c->pool = http_pool_create(d->env->http, &u->address,
				   CONTROL_CONNECTIONS_MAX);
	c->not_renewed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->acks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return c;
}

/* Free c and cancel its open calls. */
void upstream_control_destroy(struct upstream_control *c)
{
	if (!c)
		return;
	http_pool_destroy(c->pool);
	g_hash_table_destroy(c->not_renewed);
	g_hash_table_destroy(c->acks);
	json_decref(c->leases);
	g_free(c);
}

/* Report whether c is missing from the platform's list. */
bool upstream_control_is_gone(const struct upstream_control *c)
{
	return c->gone_since_ms;
}

/* Report whether new leases may be placed at c now. */
bool upstream_control_is_usable(struct upstream_control *c)
{
	uint64_t now = clock_mono_ms();
	uint32_t term = c->coordinator->config->limits.lease_term_ms;

	return c->configured && c->in_use && c->claimed && !c->leaving &&
	       !c->listed_leaving && !upstream_control_is_gone(c) &&
	       now - c->confirmed_sent_ms < term &&
	       now - c->last_refusal_ms >= REFUSAL_BACKOFF_MS &&
	       health_try_admit(&c->health, now);
}

/* Drop the claim and all lease state, when this instance steps down. */
void upstream_control_reset(struct upstream_control *c)
{
	c->claimed = false;
	c->in_use = false;
	c->known_ms = 0;
	c->reported_version = 0;
	g_hash_table_remove_all(c->not_renewed);
	g_hash_table_remove_all(c->acks);
	json_decref(c->leases);
	c->leases = NULL;
}

/*
 * Return a new object with the fields common to all commands.  The holder is
 * this process and not only its instance, so that a restarted process cannot
 * share an epoch with an earlier one, whose commands may still be on the way.
 * A command may extend leases by the term that it names, whatever the term in a
 * later configuration is.
 */
json_t *upstream_control_body(struct upstream_control *c)
{
	const struct coordinator *d = c->coordinator;
	const struct settings *s = d->env->settings;
	uint32_t term_ms = d->config->limits.lease_term_ms;
	char *holder = g_strdup_printf("%s-%" G_GUINT64_FORMAT, s->name,
				       s->incarnation);
	json_t *body = json_pack("{s:I,s:s,s:i}", "epoch", (json_int_t)d->epoch,
				 "holder", holder, "term_ms", (int)term_ms);

	c->leases_end_ms =
		MAX(c->leases_end_ms, clock_mono_ms() + CALL_TIMEOUT_MS +
					      term_ms + LEASE_EXPIRY_MARGIN_MS);
	g_free(holder);
	return body;
}

/* POST body, whose reference is taken, to c; false if no call was made. */
bool upstream_control_call(struct upstream_control *c, const char *path,
			   json_t *body, http_done_fn done, void *arg)
{
	char *text = json_dumps(body, JSON_COMPACT);
	size_t n = strlen(text);
	bool ok = http_call_start(c->pool, "POST", path, text, CALL_TIMEOUT_MS,
				  done, arg) != NULL;

	counter_add(c->coordinator->env->counters, "upstream_control_bytes",
		    NULL, n);
	free(text);
	json_decref(body);
	return ok;
}

static bool is_candidate_or_leader(const struct upstream_control *c)
{
	return c->coordinator->role != ROLE_FOLLOWER;
}

static void apply_report(struct upstream_control *c, const json_t *v)
{
	json_t *leases = json_object_get(v, "leases");

	c->leaving = json_is_true(json_object_get(v, "leaving"));
	c->incarnation = json_int_or(v, "incarnation", 0);
	c->confirmed_sent_ms = c->last_call_ms;
	if (!json_is_array(leases))
		return;
	c->reported_version = json_int_or(v, "version", 0);
	json_decref(c->leases);
	c->leases = json_incref(leases);
	coordinator_handle_report(c->coordinator, c);
}

static void handle_refusal(struct upstream_control *c, const json_t *v)
{
	uint64_t epoch = json_int_or(v, "epoch", 0);

	c->claimed = false;
	if (epoch >= c->coordinator->epoch)
		coordinator_yield_to_epoch(c->coordinator, epoch);
}

/*
 * Report whether c accepts its first claim of the epoch from a leader that has
 * not settled.  Its leases are not among those that the leader has adopted: if
 * it has some, the leader claims all again.  Otherwise the answer is ignored,
 * and c is claimed once the leader has settled.
 */
static bool is_late_claim(const struct upstream_control *c)
{
	const struct coordinator *d = c->coordinator;

	return d->role == ROLE_LEADER && !d->settled &&
	       c->claimed_epoch != d->epoch;
}

static void on_claimed(void *arg, const struct http_result *r)
{
	struct upstream_control *c = arg;
	json_t *v = NULL;

	c->claim_pending = false;
	c->tried_epoch = c->claim_epoch;
	if (!is_candidate_or_leader(c) || !verdict_is_ran(r->verdict))
		return;
	v = json_loadb(r->body, r->len, 0, NULL);
	if (r->status == 200 &&
	    (uint64_t)json_int_or(v, "epoch", 0) == c->coordinator->epoch) {
		if (is_late_claim(c)) {
			if (json_array_size(json_object_get(v, "leases")))
				coordinator_claim_again(c->coordinator);
			goto out;
		}
		c->claimed = true;
		c->claimed_epoch = c->coordinator->epoch;
		apply_report(c, v);
	} else if (r->status == 409) {
		handle_refusal(c, v);
	}
out:
	json_decref(v);
}

/* Claim the upstream for the coordinator's epoch; no lease is extended. */
void upstream_control_claim(struct upstream_control *c)
{
	if (c->claim_pending || c->renewal_pending)
		return;
	c->last_call_ms = clock_mono_ms();
	c->claim_epoch = c->coordinator->epoch;
	c->claim_pending = upstream_control_call(
		c, "/claim", upstream_control_body(c), on_claimed, c);
}

static json_t *keys_json(GHashTable *set)
{
	json_t *list = json_array();
	GHashTableIter it;
	gpointer k;

	g_hash_table_iter_init(&it, set);
	while (g_hash_table_iter_next(&it, &k, NULL))
		json_array_append_new(list, json_string(k));
	return list;
}

static void drop_sent_acks(struct upstream_control *c)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, c->acks);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (v)
			g_hash_table_iter_remove(&it);
}

static void mark_acks_sent(struct upstream_control *c)
{
	GHashTableIter it;

	g_hash_table_iter_init(&it, c->acks);
	while (g_hash_table_iter_next(&it, NULL, NULL))
		g_hash_table_iter_replace(&it, GINT_TO_POINTER(1));
}

static void on_renewed(void *arg, const struct http_result *r)
{
	struct upstream_control *c = arg;
	json_t *v = NULL;

	c->renewal_pending = false;
	if (!is_candidate_or_leader(c) || !c->claimed ||
	    !verdict_is_ran(r->verdict))
		return;
	v = json_loadb(r->body, r->len, 0, NULL);
	if (r->status == 200 &&
	    (uint64_t)json_int_or(v, "epoch", 0) == c->coordinator->epoch) {
		drop_sent_acks(c);
		apply_report(c, v);
	} else if (r->status == 409) {
		handle_refusal(c, v);
	}
	json_decref(v);
}

/* Renew all leases at c except those in not_renewed. */
void upstream_control_renew(struct upstream_control *c)
{
	json_t *body;

	if (c->renewal_pending || c->claim_pending || !c->claimed)
		return;
	body = upstream_control_body(c);
	json_object_set_new(body, "known", json_integer(c->reported_version));
	if (g_hash_table_size(c->not_renewed))
		json_object_set_new(body, "except", keys_json(c->not_renewed));
	if (g_hash_table_size(c->acks)) {
		json_object_set_new(body, "ack", keys_json(c->acks));
		mark_acks_sent(c);
	}
	c->last_call_ms = clock_mono_ms();
	c->renewed_epoch = c->coordinator->epoch;
	c->renewal_pending =
		upstream_control_call(c, "/renew", body, on_renewed, c);
}
