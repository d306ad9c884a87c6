/*
 * Checks that are not idempotent.  An intent row, identified by the account
 * and the caller's idempotency key, is written to the table before the first
 * send and names the lease and its upstream.  Nothing is sent twice under
 * one lease.  If an attempt gets no answer, the upstream is queried, on a new
 * connection, for the outcome of the lease.  The query also leaves a
 * tombstone that prevents the lease from starting later, so that the answer
 * "not started" remains true.
 */
#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "daemon/quick.h"

#define QUERY_TIMEOUT_MS 400
#define QUERY_RETRY_DELAY_MS 40

static void query_lease(void *arg);

/* Free the fields of q that belong to its intent and lease queries. */
void intent_free(struct quick_check *q)
{
	g_free(q->row_key);
	g_free(q->nonce);
	g_free(q->queried_lease);
	g_free(q->ran_on);
}

/*
 * Return the payload's hash in hexadecimal; it reveals a reuse of a key for
 * another request.  The caller frees it.
 */
static char *payload_hash(const struct quick_check *q)
{
	const char *p = json_str_or(q->request, "payload", "");

	return g_strdup_printf("%016" G_GINT64_MODIFIER "x",
			       (guint64)XXH64(p, strlen(p), 0));
}

/*
 * Encode the value of the intent row.  state is "sent", "done" or
 * "did_not_run"; answer may be NULL.
 */
static json_t *encode_intent(const struct quick_check *q, const char *state,
			     json_t *answer)
{
	char *hash = payload_hash(q);
	json_t *v = json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:O*}", "nonce",
			      q->nonce, "state", state, "lease", q->lease,
			      "upstream", q->upstream->name, "hash", hash,
			      "request", q->request_id, "incarnation",
			      (json_int_t)q->incarnation, "answer", answer);

	g_free(hash);
	return v;
}

/*
 * Write the intent row, on condition that its version is still row_version.
 * A ticket of 0 means that nobody waits for the result.
 */
static void post_intent_row(struct quick_check *q, const char *state,
			    json_t *answer, uint64_t ticket)
{
	post_txn(q->checks->env->bus, TASK_CHECK, ticket,
		 json_pack("[{s:s,s:o,s:I}]", "key", q->row_key, "value",
			   encode_intent(q, state, answer), "expect",
			   (json_int_t)q->row_version));
}

/*
 * Write the intent to run q under its lease on its upstream; q is sent when
 * the row is committed.
 */
void intent_write(struct quick_check *q)
{
	if (!q->row_key) {
		q->row_key = g_strdup_printf(
			"req/%s/%s", json_str_or(q->request, "account", ""),
			q->idempotency_key);
	}
	g_free(q->nonce);
	q->nonce = g_strdup(q->lease);
	q->incarnation = q->upstream->incarnation;
	q->refused = false;
	q->state = QUICK_WRITING_INTENT;
	post_intent_row(q, "sent", NULL, q->ticket);
}

/*
 * The upstream has replied with its incarnation.  Nothing was sent yet, so
 * a failure here means that q did not run.
 */
static void on_incarnation_reply(void *arg, const struct http_result *r)
{
	struct quick_check *q = arg;
	json_t *v = NULL;

	q->call = NULL;
	if (verdict_is_ran(r->verdict) && r->status == 200)
		v = json_loadb(r->body, r->len, 0, NULL);
	q->upstream->incarnation = json_int_or(v, "incarnation", 0);
	json_decref(v);
	if (q->upstream->incarnation)
		intent_write(q);
	else
		quick_finish(q, verdict_did_not_run(REASON_CONNECT), NULL);
}

/*
 * Start an attempt of a check that is not idempotent.  An upstream's later
 * reply about the lease is valid only from the same incarnation, because a
 * restarted upstream has lost its record of leases.  The incarnation must
 * therefore be known before anything is sent.
 */
void intent_begin(struct quick_check *q)
{
	if (q->upstream->incarnation) {
		intent_write(q);
		return;
	}
	q->state = QUICK_QUERYING;
	q->call = http_call_start(q->upstream->pool, "POST", "/ask",
				  "{\"lease\":\"\"}", QUERY_TIMEOUT_MS,
				  on_incarnation_reply, q);
	if (!q->call)
		quick_finish(q, verdict_did_not_run(REASON_BUSY), NULL);
}

/* Read the intent row, to see whether the write was committed. */
static void read_intent(struct quick_check *q)
{
	q->state = QUICK_READING_INTENT;
	post_read(q->checks->env->bus, TASK_CHECK, q->ticket, q->row_key);
}

/*
 * Query an upstream about a lease that was sent to the given incarnation;
 * own says that it is q's lease and not that of another attempt.
 */
static void start_lease_query(struct quick_check *q, const char *upstream,
			      const char *lease, uint64_t incarnation, bool own)
{
	q->queried_incarnation = incarnation;
	g_free(q->queried_lease);
	q->queried_lease = g_strdup(lease);
	q->queried_upstream = roster_find_upstream(q->checks->roster, upstream);
	q->queried_own_lease = own;
	q->state = QUICK_QUERYING;
	query_lease(q);
}

/*
 * The row of another attempt with the same idempotency key exists.  Return
 * its answer, take its place if it did not run, or query its lease if the
 * outcome is not recorded.  A different payload is a conflict.
 */
static void follow_existing_intent(struct quick_check *q, const json_t *row)
{
	json_t *value = json_object_get(row, "value");
	const char *state = json_str_or(value, "state", "");
	char *hash = payload_hash(q);
	bool same_payload = !strcmp(hash, json_str_or(value, "hash", ""));
	json_t *answer = json_object_get(value, "answer");

	g_free(hash);
	q->row_version = json_int_or(row, "version", 0);
	if (!same_payload) {
		quick_finish(q, verdict_did_not_run(REASON_CONFLICT), NULL);
	} else if (!strcmp(state, "done") && answer) {
		q->ran_on = g_strdup(json_str_or(value, "upstream", ""));
		quick_finish(q, verdict_ran(), json_incref(answer));
	} else if (!strcmp(state, "did_not_run")) {
		intent_write(q);
	} else {
		start_lease_query(q, json_str_or(value, "upstream", ""),
				  json_str_or(value, "lease", ""),
				  json_int_or(value, "incarnation", 0), false);
	}
}

/*
 * Handle the result of the write of the intent row.  After a conflict or an
 * unknown result the row is read back.
 */
void intent_handle_write(struct quick_check *q, const struct txn_result *t)
{
	switch (t->verdict.tag) {
	case VERDICT_RAN:
		q->row_version = t->version;
		if (quick_remaining_ms(q))
			quick_send(q);
		else
			intent_finish_not_run(
				q, verdict_did_not_run(REASON_DEADLINE));
		break;
	case VERDICT_DID_NOT_RUN:
		if (t->verdict.reason == REASON_CONFLICT)
			read_intent(q);
		else
			quick_finish(q, t->verdict, NULL);
		break;
	case VERDICT_MAY_HAVE_RUN:
		if (quick_remaining_ms(q))
			read_intent(q);
		else
			quick_finish(q,
				     verdict_did_not_run(REASON_PLATFORM_OUT),
				     NULL);
		break;
	}
}

/*
 * Handle the intent row that was read back: it is absent, or this attempt's
 * (the nonce is the same), or another attempt's.
 */
void intent_handle_read(struct quick_check *q, const struct txn_result *t)
{
	const json_t *value = json_object_get(t->conflict, "value");
	bool known = verdict_is_ran(t->verdict) && quick_remaining_ms(q);

	if (q->refused && (!known || !t->conflict)) {
		quick_finish(q, verdict_may_have_run(REASON_PLATFORM_OUT),
			     NULL);
	} else if (!known) {
		/* Nothing was or will be sent under this lease. */
		quick_finish(q, verdict_did_not_run(REASON_PLATFORM_OUT), NULL);
	} else if (!t->conflict) {
		q->row_version = 0;
		intent_write(q);
	} else if (!strcmp(json_str_or(value, "nonce", ""), q->nonce)) {
		q->row_version = json_int_or(t->conflict, "version", 0);
		if (q->refused)
			intent_finish_not_run(
				q, verdict_did_not_run(REASON_REFUSED));
		else
			quick_send(q);
	} else {
		follow_existing_intent(q, t->conflict);
	}
}

/*
 * Finish q with its answer, and record the answer in the row for repeated
 * requests.  Takes the reference to answer.
 */
void intent_finish_answered(struct quick_check *q, json_t *answer)
{
	post_intent_row(q, "done", answer, 0);
	quick_finish(q, verdict_ran(), answer);
}

/* Finish q, whose lease did not run and cannot run, and record that. */
void intent_finish_not_run(struct quick_check *q, struct verdict v)
{
	post_intent_row(q, "did_not_run", NULL, 0);
	quick_finish(q, v, NULL);
}

/*
 * Read the row after an upstream has refused q's lease.  It has restarted, or
 * a repeat of the request has forbidden the lease to start, replaced it in the
 * row, and may have run.
 */
void intent_handle_refusal(struct quick_check *q)
{
	q->refused = true;
	read_intent(q);
}

/* Query the outcome of q's lease after an attempt without an answer. */
void intent_resolve(struct quick_check *q)
{
	start_lease_query(q, q->upstream->name, q->lease, q->incarnation, true);
}

/* Repeat the lease query after a delay, until q's deadline. */
static void retry_query(struct quick_check *q)
{
	if (!quick_remaining_ms(q)) {
		quick_finish(q, verdict_may_have_run(REASON_DEADLINE), NULL);
		return;
	}
	q->timer.fire = query_lease;
	timer_start(q->checks->env->loop, &q->timer, QUERY_RETRY_DELAY_MS);
}

/* The queried lease has not started and is prevented from starting. */
static void handle_never_started(struct quick_check *q)
{
	if (q->queried_own_lease)
		intent_finish_not_run(q, verdict_did_not_run(REASON_CUT));
	else
		intent_write(q); /* q replaces the other attempt. */
}

/* Report whether outcome belongs to the queried lease and is complete. */
static bool outcome_is_complete(const struct quick_check *q,
				const json_t *outcome)
{
	const char *text = json_str_or(outcome, "answer", NULL);

	return text &&
	       !strcmp(json_str_or(outcome, "lease", ""), q->queried_lease) &&
	       (size_t)json_int_or(outcome, "length", -1) == strlen(text);
}

/*
 * The queried lease has ended with this outcome.  The outcome is written to
 * the row only if the lease is this attempt's.
 */
static void handle_ended(struct quick_check *q, json_t *outcome)
{
	if (!outcome_is_complete(q, outcome)) {
		quick_finish(q, verdict_may_have_run(REASON_BAD_ANSWER), NULL);
		return;
	}
	if (q->queried_own_lease)
		intent_finish_answered(q, json_incref(outcome));
	else
		quick_finish(q, verdict_ran(), json_incref(outcome));
}

/*
 * Handle the reply to a lease query.  An upstream of another incarnation has
 * restarted and cannot know whether the lease ran.
 */
static void on_query_reply(void *arg, const struct http_result *r)
{
	struct quick_check *q = arg;
	json_t *v = NULL;
	const char *state;

	q->call = NULL;
	if (verdict_is_ran(r->verdict) && r->status == 200)
		v = json_loadb(r->body, r->len, 0, NULL);
	state = json_str_or(v, "state", "");
	if (v && (uint64_t)json_int_or(v, "incarnation", 0) !=
			 q->queried_incarnation)
		quick_finish(q, verdict_may_have_run(REASON_CUT), NULL);
	else if (!strcmp(state, "tombstoned"))
		handle_never_started(q);
	else if (!strcmp(state, "done"))
		handle_ended(q, json_object_get(v, "outcome"));
	else
		retry_query(q);
	json_decref(v);
}

/*
 * Query the upstream for the outcome of a lease and let it leave a tombstone.
 * If the deadline has passed or the upstream is no longer known, the outcome
 * stays unknown and the verdict is "may have run".
 */
static void query_lease(void *arg)
{
	struct quick_check *q = arg;
	json_t *body = json_pack("{s:s,s:b}", "lease", q->queried_lease,
				 "tombstone", 1);
	char *text = json_dumps(body, JSON_COMPACT);
	uint32_t remaining_ms = quick_remaining_ms(q);

	if (q->queried_upstream && remaining_ms)
		q->call = http_call_start(
			q->queried_upstream->pool, "POST", "/ask", text,
			MIN(remaining_ms, QUERY_TIMEOUT_MS), on_query_reply, q);
	free(text);
	json_decref(body);
	if (q->call)
		return;
	if (q->queried_upstream && remaining_ms)
		retry_query(q);
	else
		quick_finish(q, verdict_may_have_run(REASON_DEADLINE), NULL);
}
