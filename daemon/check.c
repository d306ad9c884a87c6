/*
 * Quick checks: admission, queueing, sending and retries.  An idempotent
 * check that may have run is retried on another upstream within the retry
 * budget; a check that is not idempotent is handled by intent.c, which never
 * sends it twice under one lease.
 */
#include <glib.h>
#include <string.h>

#include "daemon/quick.h"

#define QUEUE_POLL_INTERVAL_MS 5
/* An upstream that has refused a check gets no other one for this long. */
#define CHECK_REFUSAL_BACKOFF_MS 10
/* With less time remaining a check is not sent: no answer is expected. */
#define SEND_REMAINING_MIN_MS 10
#define RETRY_TOKENS_MAX 50.0
#define RETRY_TOKENS_INITIAL 20.0
#define ATTEMPT_TIMEOUT_PERCENT 60
#define RETRY_AFTER_MS 1000
#define SERVICE_SMOOTHING_FACTOR 0.05

/* Cancel the call of a check and free it. */
static void quick_free(void *p)
{
	struct quick_check *q = p;

	timer_stop(q->checks->env->loop, &q->timer);
	if (q->call)
		http_call_cancel(q->call);
	json_decref(q->request);
	g_free(q->lease);
	intent_free(q);
	g_free(q);
}

/* Return the milliseconds remaining until q's deadline, 0 when it passed. */
uint32_t quick_remaining_ms(const struct quick_check *q)
{
	uint64_t now = clock_mono_ms();

	return now < q->deadline_ms ? q->deadline_ms - now : 0;
}

/* Count a final verdict; record the latency of a check that ran. */
static void count_result(struct quick_check *q, struct verdict v)
{
	struct counters *c = q->checks->env->counters;
	char *label =
		g_strdup_printf("verdict=\"%s\",reason=\"%s\"",
				verdict_name(v.tag), reason_name(v.reason));

	counter_add(c, "checks_ended", label, 1);
	if (verdict_is_ran(v))
		latency_add(c, "check_latency",
			    clock_mono_us() - q->started_us);
	g_free(label);
}

/*
 * Reply to the sender of q with a verdict, then remove and free q.  An
 * earlier unanswered attempt turns "did not run" into "may have run".  Takes
 * the reference to answer, which is NULL unless the check ran.
 */
void quick_finish(struct quick_check *q, struct verdict v, json_t *answer)
{
	struct checks *c = q->checks;
	struct message m = {.tag = MSG_CHECK_DONE,
			    .from = TASK_CHECK,
			    .to = q->check_message.from,
			    .ticket = q->check_message.ticket};
	const char *ran_on = q->upstream ? q->upstream->name : "";

	if (v.tag == VERDICT_DID_NOT_RUN && q->may_have_run)
		v = verdict_may_have_run(v.reason);
	if (v.tag == VERDICT_DID_NOT_RUN && !v.retry_after_ms)
		v.retry_after_ms = RETRY_AFTER_MS;
	m.check_result.verdict = v;
	m.check_result.upstream = g_strdup(q->ran_on ? q->ran_on : ran_on);
	m.check_result.answer = answer;
	bus_post(c->env->bus, &m);
	count_result(q, v);
	if (q->account < c->accounts_len)
		c->in_flight[q->account]--;
	g_hash_table_remove(c->open_checks, &q->ticket);
}

/* Queueing */

/* Return the queue of an account; it is created if necessary. */
static GQueue *account_queue(struct checks *c, uint32_t account)
{
	while (c->queues->len <= account)
		g_ptr_array_add(c->queues, g_queue_new());
	return g_ptr_array_index(c->queues, account);
}

/*
 * Estimate how many milliseconds a check that is queued now would wait,
 * from the mean service time; 0 without slots.
 */
static uint32_t estimate_wait_ms(const struct checks *c)
{
	uint32_t slots = roster_count_slots(c->roster);

	if (!slots)
		return 0;
	return (uint32_t)(c->mean_service_us * c->waiting_count / slots / 1000);
}

/* Queue q, or refuse it when it would wait beyond its deadline. */
static void enqueue(struct quick_check *q)
{
	struct checks *c = q->checks;

	if (estimate_wait_ms(c) > quick_remaining_ms(q)) {
		quick_finish(q, verdict_did_not_run(REASON_BUSY), NULL);
		return;
	}
	q->state = QUICK_WAITING;
	g_queue_push_tail(account_queue(c, q->account), q);
	c->waiting_count++;
	if (!timer_running(&c->queue_timer))
		timer_start(c->env->loop, &c->queue_timer,
			    QUEUE_POLL_INTERVAL_MS);
}

/* Take the next waiting check, round robin by account; NULL if none. */
static struct quick_check *dequeue(struct checks *c)
{
	for (guint i = 0; i < c->queues->len; i++) {
		guint at = (c->next_account + i) % c->queues->len;
		GQueue *queue = g_ptr_array_index(c->queues, at);

		if (g_queue_is_empty(queue))
			continue;
		c->next_account = at + 1;
		c->waiting_count--;
		return g_queue_pop_head(queue);
	}
	return NULL;
}

/* Let an instance of another domain run q. */
static void forward_to_peer(struct quick_check *q)
{
	struct message m = {.tag = MSG_CHECK,
			    .from = TASK_CHECK,
			    .to = TASK_PEER,
			    .ticket = q->ticket};

	q->state = QUICK_FORWARDED;
	m.check.request = json_incref(q->request);
	m.check.deadline_ms = q->deadline_ms;
	bus_post(q->checks->env->bus, &m);
}

/*
 * Start an attempt of q on its upstream.  A check with an idempotency key
 * has its intent recorded before it is sent.
 */
static void start_attempt(struct quick_check *q)
{
	quick_assign_lease(q);
	if (q->idempotency_key)
		intent_begin(q);
	else
		quick_send(q);
}

/*
 * Choose an upstream for q and start an attempt.  Without an available
 * upstream q is forwarded to another domain, queued or refused; it is
 * forwarded at most once and only before its first attempt.
 */
void quick_dispatch(struct quick_check *q)
{
	struct checks *c = q->checks;

	if (quick_remaining_ms(q) < SEND_REMAINING_MIN_MS) {
		quick_finish(q, verdict_did_not_run(REASON_DEADLINE), NULL);
		return;
	}
	q->upstream = roster_choose_upstream(c->roster, q->tried, q->tried_len);
	if (q->upstream)
		start_attempt(q);
	else if (!q->forwarded && c->remote_available && !q->lease)
		forward_to_peer(q);
	else if (roster_count_slots(c->roster))
		enqueue(q);
	else
		quick_finish(q, verdict_did_not_run(REASON_NO_UPSTREAM), NULL);
}

/* Try once to dispatch every check that is waiting. */
static void dispatch_waiting(void *arg)
{
	struct checks *c = arg;
	uint32_t n = c->waiting_count;
	struct quick_check *q;

	while (n-- && (q = dequeue(c)))
		quick_dispatch(q);
	if (c->waiting_count && !timer_running(&c->queue_timer))
		timer_start(c->env->loop, &c->queue_timer,
			    QUEUE_POLL_INTERVAL_MS);
}

/* Sending */

/* Give q a lease id that is unique across instances and restarts. */
void quick_assign_lease(struct quick_check *q)
{
	struct checks *c = q->checks;
	const struct settings *s = c->env->settings;

	g_free(q->lease);
	q->lease =
		g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
				s->name, s->incarnation, ++c->next_lease);
}

/*
 * Take one token from the retry budget; false when it is exhausted.  The
 * budget keeps retries to a share of the sends.
 */
static bool take_retry_token(struct checks *c)
{
	if (c->retry_tokens < 1) {
		counter_add(c->env->counters, "retries_refused", NULL, 1);
		return false;
	}
	c->retry_tokens -= 1;
	counter_add(c->env->counters, "retries", NULL, 1);
	return true;
}

/* Credit the retry budget with the configured share of one send. */
static void add_retry_tokens(struct checks *c)
{
	c->retry_tokens += c->config->limits.retry_percent / 100.0;
	if (c->retry_tokens > RETRY_TOKENS_MAX)
		c->retry_tokens = RETRY_TOKENS_MAX;
}

/* Return a nonzero hash that tells the failures of this check apart. */
static uint64_t failure_subject(const struct quick_check *q)
{
	return g_str_hash(q->request_id) | 1;
}

/*
 * Record a failed attempt against q's upstream, which may start its
 * quarantine.
 */
static void record_failure(struct quick_check *q)
{
	struct roster_upstream *e = q->upstream;

	if (!health_record_failure(&e->health, failure_subject(q),
				   clock_mono_ms()))
		return;
	event_add(q->checks->env->events, "quarantined", e->name, NULL,
		  "three different checks failed in a row");
	log_line(LOG_WARN, "quarantined",
		 "%s: three different checks failed in a row", e->name);
}

/*
 * Retry an idempotent check on an upstream not yet tried.  End it with
 * verdict v when the attempts, the time or the retry budget are used up.
 */
static void retry_elsewhere(struct quick_check *q, struct verdict v)
{
	record_failure(q);
	q->may_have_run = q->may_have_run || v.tag == VERDICT_MAY_HAVE_RUN;
	if (q->tried_len < TRIED_UPSTREAMS_MAX)
		q->tried[q->tried_len++] = q->upstream;
	if (q->tried_len < TRIED_UPSTREAMS_MAX && quick_remaining_ms(q) &&
	    take_retry_token(q->checks))
		quick_dispatch(q);
	else
		quick_finish(q, v, NULL);
}

/*
 * An upstream refused q with status 429 (no slot) or 409.  Nothing ran, so
 * an idempotent check is dispatched again without a token of the retry
 * budget.  409 says that the lease of any other check has ended.
 */
static void handle_refusal(struct quick_check *q, const struct http_result *r)
{
	struct checks *c = q->checks;

	json_t *v = json_loadb(r->body, r->len, 0, NULL);

	q->upstream->incarnation =
		json_int_or(v, "incarnation", q->upstream->incarnation);
	json_decref(v);
	counter_add(c->env->counters, "checks_refused_by_upstream", NULL, 1);
	q->upstream->refusal_backoff_until_ms =
		clock_mono_ms() + CHECK_REFUSAL_BACKOFF_MS;
	if (!q->idempotency_key)
		quick_dispatch(q);
	else if (r->status == 409)
		intent_handle_refusal(q);
	else
		intent_finish_not_run(q, verdict_did_not_run(REASON_BUSY));
}

/*
 * Parse an upstream's answer.  It is valid only if it names q's request and
 * the lease and its text has the stated length: an answer may be truncated
 * or belong to another request.  Return a new reference, or NULL if it is
 * invalid.
 */
json_t *quick_parse_answer(struct quick_check *q, const struct http_result *r,
			   const char *lease)
{
	json_t *v = json_loadb(r->body, r->len, 0, NULL);
	const char *text = json_str_or(v, "answer", NULL);

	if (text && !strcmp(json_str_or(v, "request", ""), q->request_id) &&
	    !strcmp(json_str_or(v, "lease", ""), lease) &&
	    (size_t)json_int_or(v, "length", -1) == strlen(text))
		return v;
	counter_add(q->checks->env->counters, "answers_rejected", NULL, 1);
	json_decref(v);
	return NULL;
}

/*
 * Record a success of q's upstream and its service time.  The answer may
 * also say that the upstream is leaving.
 */
static void record_success(struct quick_check *q, const json_t *answer)
{
	struct checks *c = q->checks;
	double us = (double)(clock_mono_us() - q->sent_us);

	health_record_success(&q->upstream->health);
	q->upstream->incarnation = json_int_or(answer, "incarnation", 0);
	c->mean_service_us +=
		(us - c->mean_service_us) * SERVICE_SMOOTHING_FACTOR;
	if (json_is_true(json_object_get(answer, "leaving")))
		roster_mark_leaving(c->roster, q->upstream->name);
}

/* Handle a complete HTTP response to a run request. */
static void handle_response(struct quick_check *q, const struct http_result *r)
{
	json_t *v;

	if (r->status == 429 || r->status == 409) {
		handle_refusal(q, r);
		return;
	}
	v = r->status == 200 ? quick_parse_answer(q, r, q->lease) : NULL;
	if (v) {
		record_success(q, v);
		if (q->idempotency_key)
			intent_finish_answered(q, v);
		else
			quick_finish(q, verdict_ran(), v);
	} else if (q->idempotency_key) {
		record_failure(q);
		intent_resolve(q);
	} else {
		retry_elsewhere(q, verdict_may_have_run(REASON_BAD_ANSWER));
	}
}

/*
 * A run request has ended.  Without a complete response the verdict says
 * whether q may have run.  An idempotent check is retried in either case; any
 * other is finished if it did not run, or else resolved by a lease query.
 */
static void on_run_response(void *arg, const struct http_result *r)
{
	struct quick_check *q = arg;
	struct checks *c = q->checks;

	q->call = NULL;
	switch (r->verdict.tag) {
	case VERDICT_RAN:
		handle_response(q, r);
		break;
	case VERDICT_DID_NOT_RUN:
		if (q->idempotency_key) {
			record_failure(q);
			intent_finish_not_run(q, r->verdict);
		} else {
			retry_elsewhere(q, r->verdict);
		}
		break;
	case VERDICT_MAY_HAVE_RUN:
		if (q->idempotency_key) {
			record_failure(q);
			intent_resolve(q);
		} else {
			retry_elsewhere(q, r->verdict);
		}
		break;
	}
	if (c->waiting_count)
		dispatch_waiting(c);
}

/*
 * Return the timeout of one attempt in milliseconds.  It leaves time for a
 * retry, but allows for the run time that the request states; the last
 * attempt may use all the time remaining.
 */
static uint32_t attempt_timeout_ms(const struct quick_check *q)
{
	uint32_t left = quick_remaining_ms(q);
	uint32_t share = left * ATTEMPT_TIMEOUT_PERCENT / 100;
	uint32_t run = json_int_or(q->request, "run_ms", 0) * 3 / 2 + 100;

	if (q->tried_len + 1 >= TRIED_UPSTREAMS_MAX)
		return left;
	return MIN(left, MAX(share, run));
}

/*
 * Send q to its upstream under its lease.  The upstream keeps the outcome of
 * a check that is not idempotent and accepts it only under the incarnation
 * that the intent row names: a later one has lost the tombstone of a lease that
 * another attempt has replaced.
 */
void quick_send(struct quick_check *q)
{
	struct checks *c = q->checks;
	const char *payload = json_str_or(q->request, "payload", "");
	json_t *body = json_pack(
		"{s:s,s:s,s:s,s:I,s:b,s:I}", "lease", q->lease, "request",
		q->request_id, "payload", payload, "run_ms",
		(json_int_t)json_int_or(q->request, "run_ms", 0), "keep",
		(int)(q->idempotency_key != NULL), "incarnation",
		(json_int_t)q->incarnation);
	char *text = json_dumps(body, JSON_COMPACT);

	q->state = QUICK_SENT;
	q->sent_us = clock_mono_us();
	add_retry_tokens(c);
	q->call = http_call_start(q->upstream->pool, "POST", "/run", text,
				  attempt_timeout_ms(q), on_run_response, q);
	free(text);
	json_decref(body);
	if (q->call)
		return;
	if (q->idempotency_key)
		intent_finish_not_run(q, verdict_did_not_run(REASON_BUSY));
	else
		enqueue(q);
}

/* Admission */

/* Reply to a check that is not admitted. */
static void refuse_check(struct checks *c, const struct message *m,
			 struct verdict v)
{
	struct message out = {.tag = MSG_CHECK_DONE,
			      .from = TASK_CHECK,
			      .to = m->from,
			      .ticket = m->ticket};
	char *label =
		g_strdup_printf("verdict=\"%s\",reason=\"%s\"",
				verdict_name(v.tag), reason_name(v.reason));

	v.retry_after_ms = RETRY_AFTER_MS;
	out.check_result.verdict = v;
	out.check_result.upstream = g_strdup("");
	bus_post(c->env->bus, &out);
	counter_add(c->env->counters, "checks_ended", label, 1);
	g_free(label);
}

/*
 * Apply the limits on open checks.  Set the account's index and return true,
 * or refuse the check and return false.
 */
static bool admit_check(struct checks *c, const struct message *m,
			uint32_t *account)
{
	const char *name = json_str_or(m->check.request, "account", "");
	enum reason reason = REASON_NONE;

	if (!c->config)
		reason = REASON_NOT_READY;
	else if (!config_find_account(c->config, name, account))
		reason = REASON_UNKNOWN_ACCOUNT;
	else if (g_hash_table_size(c->open_checks) >=
		 c->env->settings->max_checks)
		reason = REASON_BUSY;
	else if (c->in_flight[*account] >=
		 c->config->accounts[*account].check_limit)
		reason = REASON_QUEUE_FULL;
	if (reason == REASON_NONE)
		return true;
	refuse_check(c, m, verdict_did_not_run(reason));
	return false;
}

/* Admit a check and dispatch it; takes the request out of m. */
static void start_check(struct checks *c, struct message *m)
{
	struct quick_check *q;
	uint32_t account;

	if (!admit_check(c, m, &account))
		return;
	q = g_new0(struct quick_check, 1);
	q->checks = c;
	q->check_message = *m;
	q->ticket = ++c->next_ticket;
	q->request = m->check.request;
	m->check.request = NULL;
	q->account = account;
	q->request_id = json_str_or(q->request, "request", "");
	q->idempotency_key = json_str_or(q->request, "key", NULL);
	q->deadline_ms = m->check.deadline_ms;
	q->forwarded = m->check.forwarded;
	q->started_us = clock_mono_us();
	timer_init(&q->timer, NULL, q);
	c->in_flight[account]++;
	g_hash_table_insert(c->open_checks, &q->ticket, q);
	quick_dispatch(q);
}

/* Finish a check that was forwarded, with the peer's result. */
static void finish_forwarded(struct checks *c, struct message *m)
{
	struct quick_check *q = g_hash_table_lookup(c->open_checks, &m->ticket);
	json_t *answer = m->check_result.answer;

	if (!q || q->state != QUICK_FORWARDED)
		return;
	m->check_result.answer = NULL;
	q->ran_on = m->check_result.upstream;
	m->check_result.upstream = NULL;
	quick_finish(q, m->check_result.verdict, answer);
}

/*
 * Adopt a new configuration.  Open checks follow their account to its new
 * index; those of a removed account share the index after the last.
 */
static void apply_config(struct checks *c, struct message *m)
{
	uint32_t n = m->config->accounts_len;
	uint32_t *counts = g_new0(uint32_t, n + 1);
	GHashTableIter it;
	gpointer v;

	/* Account indexes change, so count open checks by account name. */
	g_hash_table_iter_init(&it, c->open_checks);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct quick_check *q = v;
		const char *name = json_str_or(q->request, "account", "");

		if (q->state == QUICK_WAITING &&
		    g_queue_remove(account_queue(c, q->account), q))
			c->waiting_count--;
		if (!config_find_account(m->config, name, &q->account))
			q->account = n;
		counts[q->account]++;
		if (q->state == QUICK_WAITING) {
			g_queue_push_tail(account_queue(c, q->account), q);
			c->waiting_count++;
		}
	}
	g_free(c->in_flight);
	c->in_flight = counts;
	c->accounts_len = n;
	config_unref(c->config);
	c->config = m->config;
	m->config = NULL;
	roster_apply_config(c->roster, c->config);
}

/* Note whether a peer in another domain can take checks. */
static void apply_peers(struct checks *c, const struct peer_list *l)
{
	c->remote_available = false;
	for (uint32_t i = 0; i < l->len; i++) {
		const struct peer_state *p = &l->peers[i];

		if (p->reachable && p->ready && !p->leaving &&
		    strcmp(p->domain, c->env->settings->domain))
			c->remote_available = true;
	}
}

/*
 * Pass the result of a table write or read to the check that waits for it.
 * A result that arrives in another state is stale and ignored.
 */
static void handle_table_result(struct checks *c, struct message *m)
{
	struct quick_check *q = g_hash_table_lookup(c->open_checks, &m->ticket);

	if (!q)
		return;
	if (m->tag == MSG_TXN_DONE && q->state == QUICK_WRITING_INTENT)
		intent_handle_write(q, &m->txn);
	else if (m->tag == MSG_READ_DONE && q->state == QUICK_READING_INTENT)
		intent_handle_read(q, &m->txn);
}

static void receive(void *task, struct message *m)
{
	struct checks *c = task;

	switch ((int)m->tag) {
	case MSG_CHECK:
		start_check(c, m);
		break;
	case MSG_CHECK_DONE:
		finish_forwarded(c, m);
		break;
	case MSG_TXN_DONE:
	case MSG_READ_DONE:
		handle_table_result(c, m);
		break;
	case MSG_CONFIG:
		apply_config(c, m);
		break;
	case MSG_MEMBERS:
		roster_apply_members(c->roster, m->members.list);
		break;
	case MSG_UPSTREAM_LEAVING:
		roster_mark_leaving(c->roster,
				    json_str_or(m->json, "name", ""));
		break;
	case MSG_PEERS:
		apply_peers(c, m->peers);
		break;
	case MSG_REQUEST:
		post_response(c->env->bus, m, verdict_ran(),
			      roster_to_json(c->roster));
		break;
	}
}

/* Create the check task; its upstreams come with the configuration. */
struct checks *checks_create(struct env *env)
{
	struct checks *c = g_new0(struct checks, 1);

	c->env = env;
	c->roster = roster_create(env);
	c->open_checks = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, quick_free);
	c->queues = g_ptr_array_new_with_free_func((void *)g_queue_free);
	c->retry_tokens = RETRY_TOKENS_INITIAL;
	timer_init(&c->queue_timer, dispatch_waiting, c);
	bus_attach(env->bus, TASK_CHECK, receive, c);
	return c;
}

/* Free c; open checks get no reply. */
void checks_destroy(struct checks *c)
{
	if (!c)
		return;
	timer_stop(c->env->loop, &c->queue_timer);
	g_hash_table_destroy(c->open_checks);
	g_ptr_array_free(c->queues, TRUE);
	roster_destroy(c->roster);
	config_unref(c->config);
	g_free(c->in_flight);
	g_free(c);
}
