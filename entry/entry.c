/*
 * Callers' requests.  A request ends in one answer.  A transaction that
 * was not answered is sent again until it is known what became of it; a
 * caller whose deadline comes first gets 504, which promises nothing.
 */
#include <stdlib.h>
#include <string.h>

#include "entry/board.h"
#include "entry/entry.h"
#include "lead/record.h"
#include "lib/log.h"
#include "platform/decode.h"
#include "platform/ingress.h"
#include "platform/rows.h"

/* A caller that does not say how long it waits gets this time. */
#define DEADLINE_DEFAULT_MS 3000
/* An answer leaves this long before the caller's deadline. */
#define DEADLINE_MARGIN_MS 150
/* A write that was not answered is sent again after this long at least: a
 * store that is only slow would have to carry it out twice, and the job
 * begins whether its caller has been told or not. */
#define WRITE_PATIENCE_MS 800
/* A store that refuses is asked again for this long. */
#define REFUSED_PATIENCE_MS 150
#define REFUSED_PAUSE_MS 60
/* When to come back after a refusal for want of the store. */
#define RETRY_STORE_MS 1000
/* A state that is not final may just have changed: the answer waits so
 * long for the copy of the table to show it. */
#define FRESH_WAIT_MS 80
/* Pauses of the feed of states: while somebody waits for one to change,
 * and otherwise. */
#define STATES_GAP_ASKED_MS 5
#define STATES_GAP_MS 300
/* When no copy of a table is newer, the store does not answer. */
#define STALE_MS 1300
/* After a pause of the whole process of at least this, what it knows of keys
 * and queues may have been withdrawn meanwhile: half of the shortest time in
 * which a configuration has to be in force. */
#define DOUBT_AFTER_MS 1000
/* For so long it is asked for again before requests are served with what is
 * known: the store may be out of reach. */
#define DOUBT_MOST_MS 600
#define ID_LENGTH 16

struct entry {
	struct entry_env env;
	struct http_server *server;
	struct board *board;
	GHashTable *waiting; /* requests for a state that may change now */
	const struct policy *policy;
	uint64_t doubt_ms;  /* since when the policy is in doubt; 0: no */
	GPtrArray *doubted; /* requests that wait for that to end */
	struct timer doubt_timer;
};

enum request_kind {
	REQUEST_SUBMIT,
	REQUEST_STATE,
	REQUEST_CANCEL,
	REQUEST_COUNT,
};

/* A request that waits for the store. */
struct request {
	struct entry *entry;
	struct http_exchange *exchange;
	enum request_kind kind;
	char id[JOB_ID_BYTES];
	char account[LABEL_BYTES];
	char *write; /* the transaction, or NULL */
	uint64_t began_ms;
	uint64_t deadline_ms;
	bool uncertain; /* a write was not answered */
	bool looked;	/* the job's row was found */
	struct timer timer;
};

static const char *kind_name(enum request_kind k)
{
	switch (k) {
	case REQUEST_SUBMIT:
		return "submit";
	case REQUEST_STATE:
		return "state";
	case REQUEST_CANCEL:
		return "cancel";
	case REQUEST_COUNT:
		return "count";
	}
	return "";
}

static void count_answer(struct entry *n, enum request_kind k, int status)
{
	char label[64];

	g_snprintf(label, sizeof(label), "kind=\"%s\",status=\"%d\"",
		   kind_name(k), status);
	counter_add(n->env.counters, "requests", label, 1);
}

/* Return how old the newest answer about jobs and their states is. */
uint64_t entry_store_age_ms(const struct entry *n)
{
	return MIN(follower_age_ms(n->env.jobs),
		   follower_age_ms(n->env.states));
}

/* Report whether the store has left calls unanswered for STALE_MS, by the
 * table that is read most often. */
static bool store_silent(const struct entry *n)
{
	return follower_silent(n->env.states, STALE_MS);
}

static void reply_error(struct http_exchange *x, int status, const char *why,
			uint32_t retry_after_ms)
{
	exchange_reply_json(x, status, json_pack("{s:s}", "error", why),
			    retry_after_ms);
}

static void refuse(struct entry *n, struct http_exchange *x,
		   enum request_kind k, const char *id, int status,
		   const char *why, uint32_t retry_after_ms)
{
	log_fields(LOG_INFO, "request_refused", "{s:s,s:s,s:i,s:s,s:I}", "job",
		   id, "kind", kind_name(k), "status", status, "why", why,
		   "policy", (json_int_t)(n->policy ? n->policy->version : 0));
	count_answer(n, k, status);
	reply_error(x, status, why, retry_after_ms);
}

static void request_free(struct request *r)
{
	timer_stop(r->entry->env.loop, &r->timer);
	free(r->write);
	g_free(r);
}

/* Answer r and free it. */
static void finish(struct request *r, int status, const char *why,
		   uint32_t retry_after_ms)
{
	struct entry *n = r->entry;

	log_fields(status < 400 ? LOG_INFO : LOG_WARN, "request_ended",
		   "{s:s,s:s,s:i,s:s,s:I,s:b,s:I}", "job", r->id, "kind",
		   kind_name(r->kind), "status", status, "why", why, "took_ms",
		   (json_int_t)(clock_mono_ms() - r->began_ms), "uncertain",
		   r->uncertain, "table_age_ms",
		   (json_int_t)entry_store_age_ms(n));
	count_answer(n, r->kind, status);
	latency_add(n->env.counters, kind_name(r->kind),
		    (clock_mono_ms() - r->began_ms) * 1000);
	if (status < 300)
		exchange_reply(r->exchange, status, "application/json", "{}",
			       0);
	else
		reply_error(r->exchange, status, why, retry_after_ms);
	request_free(r);
}

/* No answer can come in time. */
static void finish_late(struct request *r)
{
	finish(r, 504, "the store did not answer in time", 0);
}

static void send_request(struct request *r);

static void on_timer(void *arg)
{
	send_request(arg);
}

/* Try r again, unless its time is over or the store refuses too long. */
static void try_again(struct request *r, bool refused)
{
	uint64_t now = clock_mono_ms();

	if (now >= r->deadline_ms) {
		finish_late(r);
		return;
	}
	if (refused && !r->uncertain &&
	    now >= r->began_ms + REFUSED_PATIENCE_MS) {
		finish(r, 503, "the store refuses; nothing was done",
		       RETRY_STORE_MS);
		return;
	}
	timer_start(r->entry->env.loop, &r->timer,
		    refused ? REFUSED_PAUSE_MS : 0);
}

/* Report whether the row that is there already is the caller's own job. */
static bool same_job(const struct request *r, const struct rows_answer *a)
{
	struct job_record j;

	return a->len && a->list[0].value && job_decode(a->list[0].value, &j) &&
	       !strcmp(j.account, r->account);
}

static void on_conflict(struct request *r, const struct rows_answer *a)
{
	if (r->kind == REQUEST_CANCEL)
		finish(r, 200, "cancelled", 0);
	else if (same_job(r, a))
		finish(r, 200, "was accepted before", 0);
	else
		finish(r, 409, "the id belongs to another job", 0);
}

static void on_write(void *arg, const struct rows_answer *a)
{
	struct request *r = arg;

	switch (a->outcome) {
	case ROWS_OK:
		finish(r, 200,
		       r->kind == REQUEST_CANCEL ? "cancelled" : "accepted", 0);
		return;
	case ROWS_CONFLICT:
		on_conflict(r, a);
		return;
	case ROWS_UNKNOWN:
		r->uncertain = true;
		try_again(r, false);
		return;
	case ROWS_REFUSED:
	case ROWS_COMPACTED:
		try_again(r, true);
		return;
	}
}

static void reply_state(struct request *r, enum job_state s)
{
	struct entry *n = r->entry;
	char *body = encode_job_state(s);

	count_answer(n, REQUEST_STATE, 200);
	exchange_reply(r->exchange, 200, "application/json", body, 0);
	g_free(body);
	request_free(r);
}

/* The state of a job whose row exists. */
static enum job_state state_of(const struct board_job *j)
{
	if (!j)
		return JOB_QUEUED;
	if (j->cancelled && !work_state_final(j->state))
		return JOB_CANCELLED;
	return j->state;
}

/* Read the states as often as the callers that wait for one need. */
static void pace_states(struct entry *n)
{
	follower_set_gap(n->env.states, g_hash_table_size(n->waiting)
						? STATES_GAP_ASKED_MS
						: STATES_GAP_MS);
}

static void on_waited(void *arg)
{
	struct request *r = arg;

	g_hash_table_remove(r->entry->waiting, r);
	pace_states(r->entry);
	reply_state(r, state_of(board_any(r->entry->board, r->id)));
}

/* Answer r, whose job exists, when its state changes, or soon. */
static void wait_for_state(struct request *r)
{
	struct entry *n = r->entry;

	timer_init(&r->timer, on_waited, r);
	timer_start(n->env.loop, &r->timer, FRESH_WAIT_MS);
	g_hash_table_add(n->waiting, r);
	pace_states(n);
}

static void on_looked(void *arg, const struct rows_answer *a)
{
	struct request *r = arg;
	const struct board_job *j = board_find(r->entry->board, r->id);
	char key[JOB_ID_BYTES + 8];

	g_snprintf(key, sizeof(key), "%s%s", KEY_JOB, r->id);
	if (a->outcome != ROWS_OK && !j) {
		try_again(r, a->outcome == ROWS_REFUSED);
		return;
	}
	if (!j && (!a->len || strcmp(a->list[0].key, key))) {
		finish(r, 410, "no such job", 0);
		return;
	}
	if (r->kind == REQUEST_STATE) {
		/* the copy of the states may not show its last change yet */
		wait_for_state(r);
		return;
	}
	r->looked = true;
	send_request(r);
}

/*
 * Return how long to wait for the store, at least least_ms, but within what
 * is left to r: its caller is to get an answer in time.
 */
static uint32_t patience_ms(const struct request *r, uint32_t least_ms)
{
	uint64_t now = clock_mono_ms();
	uint64_t left = r->deadline_ms - MIN(r->deadline_ms, now);
	uint32_t ms = MAX(rows_patience_ms(r->entry->env.rows), least_ms);

	return MAX(MIN(ms, left), 1);
}

static void look(struct request *r)
{
	char key[JOB_ID_BYTES + 8];

	g_snprintf(key, sizeof(key), "%s%s", KEY_JOB, r->id);
	rows_range(r->entry->env.rows, JOB_TABLE, job_part(r->id), key, 1,
		   patience_ms(r, 0), on_looked, r);
}

/* Send the call of the store that r waits for. */
static void send_request(struct request *r)
{
	struct rows *rows = r->entry->env.rows;
	uint32_t patience = patience_ms(r, WRITE_PATIENCE_MS);

	switch (r->kind) {
	case REQUEST_SUBMIT:
		rows_commit(rows, r->write, patience, on_write, r);
		break;
	case REQUEST_CANCEL:
		if (r->looked)
			rows_commit(rows, r->write, patience, on_write, r);
		else
			look(r);
		break;
	case REQUEST_STATE:
		look(r);
		break;
	case REQUEST_COUNT:
		break;
	}
}

static uint64_t deadline_of(const struct http_exchange *x, uint64_t now)
{
	uint64_t ms = ingress_patience_ms(x);

	if (!ms)
		ms = DEADLINE_DEFAULT_MS;
	return now +
	       (ms > 2 * DEADLINE_MARGIN_MS ? ms - DEADLINE_MARGIN_MS : ms / 2);
}

static struct request *request_create(struct entry *n, struct http_exchange *x,
				      enum request_kind k, const char *id,
				      const char *account)
{
	struct request *r = g_new0(struct request, 1);

	r->entry = n;
	r->exchange = x;
	r->kind = k;
	r->began_ms = clock_mono_ms();
	r->deadline_ms = deadline_of(x, r->began_ms);
	g_strlcpy(r->id, id, sizeof(r->id));
	g_strlcpy(r->account, account, sizeof(r->account));
	timer_init(&r->timer, on_timer, r);
	return r;
}

static char *submit_text(const struct job *j)
{
	struct rows_tx *t = rows_tx_create(job_part(j->id));
	char *key = g_strconcat(KEY_JOB, j->id, NULL);
	char *value = job_encode(j), *spec = spec_encode(j);
	char *text;

	rows_tx_expect(t, JOB_TABLE, key, 0);
	rows_tx_put(t, JOB_TABLE, key, value);
	rows_tx_put(t, SPEC_TABLE, j->id, spec);
	text = rows_tx_text(t);
	free(spec);
	free(value);
	g_free(key);
	rows_tx_destroy(t);
	return text;
}

static void submit(struct entry *n, struct http_exchange *x,
		   const struct queue *q, const char *account, const char *id)
{
	struct request *r;
	struct job *j;
	size_t len;
	const char *body = exchange_body(x, &len);
	char *why;

	if (store_silent(n)) {
		refuse(n, x, REQUEST_SUBMIT, id, 503,
		       "the store does not answer; nothing was done",
		       RETRY_STORE_MS);
		return;
	}
	j = decode_submission(id, body, len, &why);
	if (!j) {
		refuse(n, x, REQUEST_SUBMIT, id, 400, why, 0);
		g_free(why);
		return;
	}
	g_strlcpy(j->queue, q->name, sizeof(j->queue));
	g_strlcpy(j->account, account, sizeof(j->account));
	j->received_ms = follower_store_ms(n->env.jobs);
	r = request_create(n, x, REQUEST_SUBMIT, id, account);
	r->write = submit_text(j);
	job_destroy(j);
	send_request(r);
}

/*
 * Answer with the state of a job.  One that is not final may have changed
 * a moment ago: the answer waits until the copy shows a change, or for
 * FRESH_WAIT_MS.  When the store cannot be asked it is the best there is.
 */
static void state(struct entry *n, struct http_exchange *x, const char *account,
		  const char *id)
{
	const struct board_job *j = board_find(n->board, id);
	struct request *r = request_create(n, x, REQUEST_STATE, id, account);

	if (!j) {
		look(r);
	} else if (work_state_final(state_of(j)) ||
		   entry_store_age_ms(n) > STALE_MS) {
		reply_state(r, state_of(j));
	} else {
		wait_for_state(r);
	}
}

/* Answer the requests that wait for the state of a job to change. */
static void wake(struct entry *n, const char *id)
{
	const struct board_job *j = board_any(n->board, id);
	GHashTableIter it;
	gpointer k;

	if (!j || !work_state_final(state_of(j)))
		return;
	g_hash_table_iter_init(&it, n->waiting);
	while (g_hash_table_iter_next(&it, &k, NULL)) {
		struct request *r = k;

		if (strcmp(r->id, id))
			continue;
		g_hash_table_iter_remove(&it);
		reply_state(r, state_of(j));
	}
	pace_states(n);
}

static char *cancel_text(const char *id)
{
	struct rows_tx *t = rows_tx_create(job_part(id));
	char *key = g_strconcat(KEY_CANCEL, id, NULL);
	char *text;

	rows_tx_put(t, JOB_TABLE, key, "{}");
	text = rows_tx_text(t);
	g_free(key);
	rows_tx_destroy(t);
	return text;
}

static void cancel(struct entry *n, struct http_exchange *x,
		   const char *account, const char *id)
{
	const struct board_job *j = board_find(n->board, id);
	struct request *r = request_create(n, x, REQUEST_CANCEL, id, account);

	if (j && (j->cancelled || work_state_final(j->state))) {
		finish(r, 200, "over already", 0);
		return;
	}
	r->looked = j != NULL;
	r->write = cancel_text(id);
	send_request(r);
}

static void count(struct entry *n, struct http_exchange *x,
		  const struct queue *q)
{
	char *body = encode_pending(board_pending(n->board, q->name));

	count_answer(n, REQUEST_COUNT, 200);
	exchange_reply(x, 200, "application/json", body, 0);
	g_free(body);
}

static bool id_ok(const char *s)
{
	size_t n = 0;

	for (; s[n]; n++)
		if (!g_ascii_isxdigit(s[n]))
			return false;
	return n == ID_LENGTH;
}

/* Find the caller's account; false: its key is unknown. */
static bool account_of(const struct entry *n, const struct http_exchange *x,
		       const struct queue *q, char *account, size_t len)
{
	char *key = ingress_key(x);
	const struct account *a = key ? policy_key(n->policy, key) : NULL;

	*account = '\0';
	g_free(key);
	if (a)
		g_strlcpy(account, a->name, len);
	return a || q->open;
}

static void serve(struct entry *n, struct http_exchange *x,
		  enum request_kind kind, const struct queue *q,
		  const char *account, const char *id)
{
	switch (kind) {
	case REQUEST_SUBMIT:
		submit(n, x, q, account, id);
		break;
	case REQUEST_STATE:
		state(n, x, account, id);
		break;
	case REQUEST_CANCEL:
		cancel(n, x, account, id);
		break;
	case REQUEST_COUNT:
		count(n, x, q);
		break;
	}
}

/* Read the kind of a request from its method; false: none of ours. */
static bool kind_of(const char *method, const char *id, enum request_kind *k)
{
	if (!strcmp(method, "POST"))
		*k = REQUEST_SUBMIT;
	else if (!strcmp(method, "DELETE"))
		*k = REQUEST_CANCEL;
	else if (!strcmp(method, "GET"))
		*k = *id ? REQUEST_STATE : REQUEST_COUNT;
	else
		return false;
	return true;
}

static void handle(struct entry *n, struct http_exchange *x)
{
	const char *path = exchange_path(x), *id = path;
	char *host = exchange_host(x);
	char account[LABEL_BYTES];
	const struct queue *q = NULL;
	enum request_kind kind = REQUEST_STATE;
	bool known;

	if (n->policy)
		q = policy_route(n->policy, host, path);
	if (q)
		id = path + strlen(q->prefix);
	known = kind_of(exchange_method(x), q ? id : "", &kind);
	if (!n->policy)
		refuse(n, x, kind, id, 503, "no configuration yet",
		       RETRY_STORE_MS);
	else if (!q)
		refuse(n, x, kind, id, 404, "no such queue", 0);
	else if (!account_of(n, x, q, account, sizeof(account)))
		refuse(n, x, kind, id, 401, "unknown key", 0);
	else if (!known)
		refuse(n, x, kind, id, 405, "no such method", 0);
	else if (kind != REQUEST_COUNT && !id_ok(id))
		refuse(n, x, kind, id, kind == REQUEST_SUBMIT ? 400 : 410,
		       "an id has 16 hexadecimal digits", 0);
	else
		serve(n, x, kind, q, account, id);
	g_free(host);
}

/* Serve the requests that have waited, by what is known now. */
static void end_doubt(struct entry *n)
{
	GPtrArray *waited = n->doubted;

	if (!n->doubt_ms)
		return;
	log_fields(LOG_INFO, "doubt_ended", "{s:I,s:i,s:b,s:I}", "took_ms",
		   (json_int_t)(clock_mono_ms() - n->doubt_ms), "requests",
		   (int)waited->len, "asked",
		   follower_asked_ms(n->env.policies) > n->doubt_ms, "policy",
		   (json_int_t)(n->policy ? n->policy->version : 0));
	n->doubt_ms = 0;
	timer_stop(n->env.loop, &n->doubt_timer);
	n->doubted = g_ptr_array_new();
	for (guint i = 0; i < waited->len; i++)
		handle(n, g_ptr_array_index(waited, i));
	g_ptr_array_free(waited, TRUE);
}

static void on_doubt_over(void *arg)
{
	end_doubt(arg);
}

/* Take in that the store has answered about the configuration. */
void entry_policies_answered(struct entry *n)
{
	if (n->doubt_ms && follower_asked_ms(n->env.policies) > n->doubt_ms)
		end_doubt(n);
}

/*
 * Note that this process has stood still for ms.  A key may have been
 * withdrawn meanwhile: requests wait until the configuration was asked for.
 */
void entry_stood_still(struct entry *n, uint64_t ms)
{
	if (ms < DOUBT_AFTER_MS || n->doubt_ms)
		return;
	log_fields(LOG_WARN, "doubt", "{s:I}", "stood_still_ms",
		   (json_int_t)ms);
	n->doubt_ms = clock_mono_ms();
	timer_start(n->env.loop, &n->doubt_timer, DOUBT_MOST_MS);
	follower_hurry(n->env.policies);
}

static void on_request(void *arg, struct http_exchange *x)
{
	struct entry *n = arg;

	entry_stood_still(n, loop_wakeup_delay_ms(n->env.loop));
	if (n->doubt_ms)
		g_ptr_array_add(n->doubted, x);
	else
		handle(n, x);
}

/* Listen for callers; NULL when the address cannot be had. */
struct entry *entry_create(const struct entry_env *e)
{
	struct entry *n = g_new0(struct entry, 1);

	n->env = *e;
	n->board = board_create();
	n->waiting = g_hash_table_new(NULL, NULL);
	n->doubted = g_ptr_array_new();
	timer_init(&n->doubt_timer, on_doubt_over, n);
	n->server = http_server_create(e->loop, &e->settings->callers,
				       256 << 10, on_request, n);
	if (!n->server) {
		entry_destroy(n);
		return NULL;
	}
	return n;
}

/* Stop listening and free n; open requests are left to the process. */
void entry_destroy(struct entry *n)
{
	if (!n)
		return;
	http_server_destroy(n->server);
	board_destroy(n->board);
	g_hash_table_destroy(n->waiting);
	timer_stop(n->env.loop, &n->doubt_timer);
	g_ptr_array_free(n->doubted, TRUE);
	g_free(n);
}

/* Take in a row of the table of jobs; value NULL: it was removed. */
void entry_job_row(struct entry *n, const char *key, const char *value)
{
	board_job_row(n->board, key, value);
}

/* Take in a row of the table of states; value NULL: it was removed. */
void entry_state_row(struct entry *n, const char *id, const char *value)
{
	board_state_row(n->board, id, value);
	wake(n, id);
}

/* Take in a newer policy, which the caller keeps until the next call. */
void entry_policy(struct entry *n, const struct policy *p)
{
	n->policy = p;
}

/* Let every connection end with its next answer. */
void entry_drain(struct entry *n)
{
	http_server_close_after_reply(n->server);
}

/* Accept no new connections. */
void entry_close(struct entry *n)
{
	http_server_stop_accepting(n->server);
}

/* Return how many requests are open. */
uint32_t entry_open(const struct entry *n)
{
	return http_server_count_open_requests(n->server);
}
