/*
 * Checks that are not idempotent.  An intent row, keyed by the caller's
 * key, is inserted before the first send and names the lease and its
 * upstream.  Nothing is sent twice under one lease.  After silence the
 * upstream is asked, on a new connection, what became of the lease; the
 * question also forbids the lease to start later, so that the answer
 * "not started" stays true.
 */
#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "daemon/quick.h"

#define ASK_MS 400
#define ASK_AGAIN_MS 40

static void ask(void *arg);

/* Free what q keeps for its intent. */
void intent_free(struct quick *q)
{
	g_free(q->row_key);
	g_free(q->nonce);
	g_free(q->asked_lease);
	g_free(q->ran_at);
}

static char *payload_hash(const struct quick *q)
{
	const char *p = json_str_or(q->request, "payload", "");

	return g_strdup_printf("%016" G_GINT64_MODIFIER "x",
			       (guint64)XXH64(p, strlen(p), 0));
}

static json_t *intent_value(const struct quick *q, const char *state,
			    json_t *answer)
{
	char *hash = payload_hash(q);
	json_t *v = json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:O*}", "nonce",
			      q->nonce, "state", state, "lease", q->lease,
			      "upstream", q->upstream->name, "hash", hash,
			      "request", q->id, "incarnation",
			      (json_int_t)q->incarnation, "answer", answer);

	g_free(hash);
	return v;
}

static void write_row(struct quick *q, const char *state, json_t *answer,
		      uint64_t ticket)
{
	post_txn(q->checks->env->bus, TASK_CHECK, ticket,
		 json_pack("[{s:s,s:o,s:I}]", "key", q->row_key, "value",
			   intent_value(q, state, answer), "expect",
			   (json_int_t)q->row_version));
}

/* Record the intent to run q under its lease on its upstream. */
void intent_start(struct quick *q)
{
	if (!q->row_key) {
		q->row_key = g_strdup_printf(
			"req/%s/%s", json_str_or(q->request, "account", ""),
			q->key);
	}
	g_free(q->nonce);
	q->nonce = g_strdup(q->lease);
	q->incarnation = q->upstream->incarnation;
	q->state = QUICK_INTENT;
	write_row(q, "sent", NULL, q->ticket);
}

static void on_probed(void *arg, const struct http_result *r)
{
	struct quick *q = arg;
	json_t *v = NULL;

	q->call = NULL;
	if (verdict_is_ran(r->verdict) && r->status == 200)
		v = json_loadb(r->body, r->len, 0, NULL);
	q->upstream->incarnation = json_int_or(v, "incarnation", 0);
	json_decref(v);
	if (q->upstream->incarnation)
		intent_start(q);
	else
		quick_finish(q, verdict_did_not_run(REASON_CONNECT), NULL);
}

/*
 * Begin a check that is not idempotent.  What an upstream says later
 * about its lease is believed only from the same incarnation, so that
 * must be known before anything is sent.
 */
void intent_begin(struct quick *q)
{
	if (q->upstream->incarnation) {
		intent_start(q);
		return;
	}
	q->state = QUICK_ASKING;
	q->call = http_call_start(q->upstream->pool, "POST", "/ask",
				  "{\"lease\":\"\"}", ASK_MS, on_probed, q);
	if (!q->call)
		quick_finish(q, verdict_did_not_run(REASON_BUSY), NULL);
}

static void read_back(struct quick *q)
{
	q->state = QUICK_READING;
	post_read(q->checks->env->bus, TASK_CHECK, q->ticket, q->row_key);
}

static void ask_about(struct quick *q, const char *upstream, const char *lease,
		      uint64_t incarnation, bool own)
{
	q->asked_incarnation = incarnation;
	g_free(q->asked_lease);
	q->asked_lease = g_strdup(lease);
	q->asked_upstream = roster_find_upstream(q->checks->roster, upstream);
	q->own_lease = own;
	q->state = QUICK_ASKING;
	ask(q);
}

/* Another attempt's row stands in the way: follow what it says. */
static void follow(struct quick *q, const json_t *row)
{
	json_t *value = json_object_get(row, "value");
	const char *state = json_str_or(value, "state", "");
	char *hash = payload_hash(q);
	bool same = !strcmp(hash, json_str_or(value, "hash", ""));
	json_t *answer = json_object_get(value, "answer");

	g_free(hash);
	q->row_version = json_int_or(row, "version", 0);
	if (!same) {
		quick_finish(q, verdict_did_not_run(REASON_CONFLICT), NULL);
	} else if (!strcmp(state, "done") && answer) {
		q->ran_at = g_strdup(json_str_or(value, "upstream", ""));
		quick_finish(q, verdict_ran(), json_incref(answer));
	} else if (!strcmp(state, "did_not_run")) {
		intent_start(q);
	} else {
		ask_about(q, json_str_or(value, "upstream", ""),
			  json_str_or(value, "lease", ""),
			  json_int_or(value, "incarnation", 0), false);
	}
}

/* The row of the intent was written, refused, or may have been written. */
void intent_txn_done(struct quick *q, const struct txn_result *t)
{
	switch (t->verdict.tag) {
	case VERDICT_RAN:
		q->row_version = t->version;
		if (quick_left_ms(q))
			quick_send(q);
		else
			intent_did_not_run(
				q, verdict_did_not_run(REASON_DEADLINE));
		break;
	case VERDICT_DID_NOT_RUN:
		if (t->verdict.reason == REASON_CONFLICT)
			read_back(q);
		else
			quick_finish(q, t->verdict, NULL);
		break;
	case VERDICT_MAY_HAVE_RUN:
		if (quick_left_ms(q))
			read_back(q);
		else
			quick_finish(q,
				     verdict_did_not_run(REASON_PLATFORM_OUT),
				     NULL);
		break;
	}
}

/* The row was read back: it is ours, somebody else's, or not there. */
void intent_read_done(struct quick *q, const struct txn_result *t)
{
	const json_t *value = json_object_get(t->conflict, "value");

	if (!verdict_is_ran(t->verdict) || !quick_left_ms(q)) {
		/* nothing was sent under our lease, and now never will be */
		quick_finish(q, verdict_did_not_run(REASON_PLATFORM_OUT), NULL);
	} else if (!t->conflict) {
		q->row_version = 0;
		intent_start(q);
	} else if (!strcmp(json_str_or(value, "nonce", ""), q->nonce)) {
		q->row_version = json_int_or(t->conflict, "version", 0);
		quick_send(q);
	} else {
		follow(q, t->conflict);
	}
}

/* q was answered: answer its caller, and record it for repeats. */
void intent_answered(struct quick *q, json_t *answer)
{
	write_row(q, "done", answer, 0);
	quick_finish(q, verdict_ran(), answer);
}

/* q's lease did not and will not run: say so, and record it. */
void intent_did_not_run(struct quick *q, struct verdict v)
{
	write_row(q, "did_not_run", NULL, 0);
	quick_finish(q, v, NULL);
}

/* q was sent and not answered: ask what became of its lease. */
void intent_ambiguous(struct quick *q)
{
	ask_about(q, q->upstream->name, q->lease, q->incarnation, true);
}

static void ask_again(struct quick *q)
{
	if (!quick_left_ms(q)) {
		quick_finish(q, verdict_may_have_run(REASON_DEADLINE), NULL);
		return;
	}
	q->timer.fire = ask;
	timer_start(q->checks->env->loop, &q->timer, ASK_AGAIN_MS);
}

/* The lease asked about never started, and never will. */
static void never_started(struct quick *q)
{
	if (q->own_lease)
		intent_did_not_run(q, verdict_did_not_run(REASON_CUT));
	else
		intent_start(q); /* in the other attempt's place */
}

/* Report whether an outcome is that of the lease asked about, and whole. */
static bool whole(const struct quick *q, const json_t *outcome)
{
	const char *text = json_str_or(outcome, "answer", NULL);

	return text &&
	       !strcmp(json_str_or(outcome, "lease", ""), q->asked_lease) &&
	       (size_t)json_int_or(outcome, "length", -1) == strlen(text);
}

/* The lease asked about has ended with this outcome. */
static void has_ended(struct quick *q, json_t *outcome)
{
	if (!whole(q, outcome)) {
		quick_finish(q, verdict_may_have_run(REASON_BAD_ANSWER), NULL);
		return;
	}
	if (q->own_lease)
		intent_answered(q, json_incref(outcome));
	else
		quick_finish(q, verdict_ran(), json_incref(outcome));
}

static void on_asked(void *arg, const struct http_result *r)
{
	struct quick *q = arg;
	json_t *v = NULL;
	const char *state;

	q->call = NULL;
	if (verdict_is_ran(r->verdict) && r->status == 200)
		v = json_loadb(r->body, r->len, 0, NULL);
	state = json_str_or(v, "state", "");
	if (v &&
	    (uint64_t)json_int_or(v, "incarnation", 0) != q->asked_incarnation)
		/* it has restarted, and forgotten what it ran */
		quick_finish(q, verdict_may_have_run(REASON_CUT), NULL);
	else if (!strcmp(state, "tombstoned"))
		never_started(q);
	else if (!strcmp(state, "done"))
		has_ended(q, json_object_get(v, "outcome"));
	else
		ask_again(q);
	json_decref(v);
}

static void ask(void *arg)
{
	struct quick *q = arg;
	json_t *body =
		json_pack("{s:s,s:b}", "lease", q->asked_lease, "tombstone", 1);
	char *text = json_dumps(body, JSON_COMPACT);
	uint32_t left = quick_left_ms(q);

	if (q->asked_upstream && left)
		q->call =
			http_call_start(q->asked_upstream->pool, "POST", "/ask",
					text, MIN(left, ASK_MS), on_asked, q);
	free(text);
	json_decref(body);
	if (q->call)
		return;
	if (q->asked_upstream && left)
		ask_again(q);
	else
		quick_finish(q, verdict_may_have_run(REASON_DEADLINE), NULL);
}
