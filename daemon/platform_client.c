/*
 * The platform task.  It polls the table for changes since the last version,
 * runs transactions for other tasks, and polls the list of members.  A
 * transaction that was sent and not answered may have taken effect, so its
 * sender reads the row back.
 */
#include <glib.h>
#include <string.h>

#include "daemon/platform_client.h"

#define TABLE_CONNECTIONS_MAX 32
#define TXN_TIMEOUT_MS 1500
#define SCAN_TIMEOUT_MS 2000
#define SCAN_ROWS_MAX 500
#define MEMBERS_INTERVAL_MS 1000
#define QUEUED_REQUESTS_MAX 2000
#define RETRY_AFTER_MS 2000

struct platform_client {
	struct env *env;
	struct http_pool **pools; /* one per platform address */
	uint32_t address_index;	  /* of the address in use */
	uint64_t scanned_version; /* all changes up to it were read */
	uint64_t known_version;	  /* the newest that an answer has named */
	uint64_t scan_sent_ms;
	uint64_t scan_min_version; /* of the table when the scan was sent */
	bool table_is_old;	   /* by the last scan */
	uint64_t members_sent_ms;
	bool scan_again;    /* at once after the call in flight */
	bool members_again; /* the same */
	struct timer scan_timer;
	struct timer members_timer;
	GQueue *queued; /* struct table_request */
	uint32_t consecutive_failures;
	bool unreachable;
	bool state_posted;
};

struct table_request {
	struct platform_client *platform_client;
	enum message_tag done_tag; /* of the message that ends it */
	enum task_id to;
	uint64_t ticket;
	char *method;
	char *path;
	char *body;
};

static struct http_pool *current_pool(struct platform_client *t)
{
	return t->pools[t->address_index];
}

static void post_table_state(struct platform_client *t, bool answers)
{
	static const enum task_id listeners[] = {TASK_CALLER, TASK_COORDINATOR,
						 TASK_JOB};

	if (t->state_posted && t->unreachable == !answers)
		return;
	t->state_posted = true;
	t->unreachable = !answers;
	event_add(t->env->events, answers ? "platform_back" : "platform_out",
		  "platform", NULL, "the table %s",
		  answers ? "answers" : "does not answer");
	log_line(answers ? LOG_INFO : LOG_WARN, "platform_state",
		 "the table %s", answers ? "answers" : "does not answer");
	for (size_t i = 0; i < G_N_ELEMENTS(listeners); i++) {
		struct message m = {.tag = MSG_TABLE_STATE,
				    .from = TASK_PLATFORM,
				    .to = listeners[i]};

		m.flag = answers;
		bus_post(t->env->bus, &m);
	}
}

static void use_next_address(struct platform_client *t)
{
	t->address_index =
		(t->address_index + 1) % t->env->settings->platform_len;
}

/*
 * Update the reachability of the platform from a result; a failure switches
 * to the next address.  True if the platform answered without a 5xx status.
 */
static bool record_result(struct platform_client *t,
			  const struct http_result *r)
{
	bool succeeded = verdict_is_ran(r->verdict) && r->status < 500;

	if (succeeded) {
		t->consecutive_failures = 0;
		post_table_state(t, true);
		return true;
	}
	counter_add(t->env->counters, "platform_failures", NULL, 1);
	use_next_address(t);
	if (++t->consecutive_failures >= 2)
		post_table_state(t, false);
	return false;
}

/* Transactions and reads */

static void table_request_free(struct table_request *q)
{
	g_free(q->method);
	g_free(q->path);
	g_free(q->body);
	g_free(q);
}

static void finish_request(struct table_request *q, struct verdict v,
			   uint64_t version, json_t *row)
{
	struct message m = {.tag = q->done_tag,
			    .from = TASK_PLATFORM,
			    .to = q->to,
			    .ticket = q->ticket};

	m.txn.verdict = v;
	m.txn.version = version;
	m.txn.conflict = row;
	bus_post(q->platform_client->env->bus, &m);
	table_request_free(q);
}

/* Note a version that the table has reached. */
static void note_version(struct platform_client *t, uint64_t version)
{
	t->known_version = MAX(t->known_version, version);
}

static void finish_txn(struct table_request *q, int status, const json_t *v)
{
	json_t *row = json_object_get(v, "conflict");
	uint64_t version = json_int_or(v, "version", 0);

	if (status == 200)
		note_version(q->platform_client, version);
	note_version(q->platform_client, json_int_or(row, "version", 0));
	if (status == 200)
		finish_request(q, verdict_ran(), version, NULL);
	else if (status == 409)
		finish_request(q, verdict_did_not_run(REASON_CONFLICT), 0,
			       row ? json_incref(row) : NULL);
	else
		finish_request(q, verdict_may_have_run(REASON_PLATFORM_OUT), 0,
			       NULL);
}

static void finish_read(struct table_request *q, int status, json_t *v)
{
	if (status == 200)
		note_version(q->platform_client, json_int_or(v, "version", 0));
	if (status == 200)
		finish_request(q, verdict_ran(), json_int_or(v, "version", 0),
			       json_incref(v));
	else if (status == 404)
		finish_request(q, verdict_ran(), 0, NULL);
	else
		finish_request(q, verdict_did_not_run(REASON_PLATFORM_OUT), 0,
			       NULL);
}

static void send_queued(struct platform_client *t);

static void on_answer(void *arg, const struct http_result *r)
{
	struct table_request *q = arg;
	struct platform_client *t = q->platform_client;
	struct verdict v = r->verdict;
	json_t *body = NULL;

	record_result(t, r);
	if (verdict_is_ran(v))
		body = json_loadb(r->body, r->len, 0, NULL);
	if (v.tag == VERDICT_DID_NOT_RUN)
		v = verdict_did_not_run(REASON_PLATFORM_OUT);
	else if (v.tag == VERDICT_MAY_HAVE_RUN || !body)
		v = verdict_may_have_run(REASON_PLATFORM_OUT);
	v.retry_after_ms = RETRY_AFTER_MS;
	if (!verdict_is_ran(v))
		finish_request(q, v, 0, NULL);
	else if (q->done_tag == MSG_TXN_DONE)
		finish_txn(q, r->status, body);
	else
		finish_read(q, r->status, body);
	json_decref(body);
	send_queued(t);
}

static bool send_request(struct table_request *q)
{
	return http_call_start(current_pool(q->platform_client), q->method,
			       q->path, q->body, TXN_TIMEOUT_MS, on_answer,
			       q) != NULL;
}

static void send_queued(struct platform_client *t)
{
	while (!g_queue_is_empty(t->queued) &&
	       send_request(g_queue_peek_head(t->queued)))
		g_queue_pop_head(t->queued);
}

static void start_request(struct platform_client *t, const struct message *m,
			  char *method, char *path, char *body)
{
	struct table_request *q = g_new0(struct table_request, 1);

	q->platform_client = t;
	q->done_tag = m->tag == MSG_TXN ? MSG_TXN_DONE : MSG_READ_DONE;
	q->to = m->from;
	q->ticket = m->ticket;
	q->method = method;
	q->path = path;
	q->body = body;
	if (g_queue_get_length(t->queued) >= QUEUED_REQUESTS_MAX) {
		finish_request(q, verdict_did_not_run(REASON_PLATFORM_OUT), 0,
			       NULL);
		return;
	}
	g_queue_push_tail(t->queued, q);
	send_queued(t);
}

static void start_txn(struct platform_client *t, const struct message *m)
{
	json_t *v = json_pack("{s:O}", "ops", m->json);
	char *text = json_dumps(v, JSON_COMPACT);

	counter_add(t->env->counters, "platform_writes", NULL, 1);
	start_request(t, m, g_strdup("POST"), g_strdup("/table/txn"),
		      g_strdup(text));
	free(text);
	json_decref(v);
}

static void start_read(struct platform_client *t, const struct message *m)
{
	char *key =
		g_uri_escape_string(json_string_value(m->json), NULL, FALSE);

	counter_add(t->env->counters, "platform_reads", NULL, 1);
	start_request(t, m, g_strdup("GET"),
		      g_strconcat("/table/row?key=", key, NULL), g_strdup(""));
	g_free(key);
}

/* Polling the table */

static void post_rows(struct platform_client *t, enum task_id to, json_t *list,
		      uint64_t caught_up_ms)
{
	struct message m = {.tag = MSG_ROWS, .from = TASK_PLATFORM, .to = to};

	m.rows.list = json_incref(list);
	m.rows.complete = t->scanned_version;
	m.rows.caught_up_ms = caught_up_ms;
	bus_post(t->env->bus, &m);
}

/*
 * Report whether the answer to a scan is older than the table was when the scan
 * was sent.  Such an answer tells neither what has changed since nor which rows
 * exist.  One that has the rows of a part of the changes only must not fall
 * behind the scans before it.
 */
static bool scan_is_old(struct platform_client *t, uint64_t complete,
			bool is_whole)
{
	uint64_t min = is_whole ? t->scan_min_version : t->scanned_version;
	bool was_old = t->table_is_old;

	t->table_is_old = complete < min;
	if (!t->table_is_old)
		return false;
	counter_add(t->env->counters, "platform_old_scans", NULL, 1);
	if (!was_old)
		log_line(LOG_WARN, "table_old",
			 "a scan was answered up to version %" G_GUINT64_FORMAT
			 ", but the table has reached %" G_GUINT64_FORMAT
			 "; it is repeated",
			 complete, min);
	use_next_address(t);
	return true;
}

static void on_scan(void *arg, const struct http_result *r)
{
	struct platform_client *t = arg;
	uint64_t wait = t->env->settings->scan_ms;
	uint64_t caught_up_ms = t->scan_sent_ms;
	uint64_t complete;
	json_t *v = NULL, *list;

	if (!record_result(t, r) || r->status != 200)
		goto out;
	v = json_loadb(r->body, r->len, 0, NULL);
	list = json_object_get(v, "rows");
	if (!json_is_array(list))
		goto out;
	complete = json_int_or(v, "complete", t->scanned_version);
	if (scan_is_old(t, complete, json_array_size(list) < SCAN_ROWS_MAX))
		goto out;
	if (json_array_size(list) >= SCAN_ROWS_MAX) {
		wait = 0;
		caught_up_ms = 0;
	}
	t->scanned_version = complete;
	note_version(t, complete);
	post_rows(t, TASK_CONFIG, list, caught_up_ms);
	post_rows(t, TASK_JOB, list, caught_up_ms);
out:
	json_decref(v);
	timer_start(t->env->loop, &t->scan_timer, t->scan_again ? 0 : wait);
	t->scan_again = false;
}

static void start_scan(void *arg)
{
	struct platform_client *t = arg;
	char *path = g_strdup_printf("/table/scan?after=%" G_GUINT64_FORMAT
				     "&limit=%d",
				     t->scanned_version, SCAN_ROWS_MAX);

	counter_add(t->env->counters, "platform_reads", NULL, 1);
	t->scan_sent_ms = clock_mono_ms();
	t->scan_min_version = t->known_version;
	if (!http_call_start(current_pool(t), "GET", path, NULL,
			     SCAN_TIMEOUT_MS, on_scan, t))
		timer_start(t->env->loop, &t->scan_timer,
			    t->env->settings->scan_ms);
	g_free(path);
}

/* The list of members */

static void post_members(struct platform_client *t, json_t *list)
{
	static const enum task_id listeners[] = {TASK_PEER, TASK_CHECK,
						 TASK_COORDINATOR, TASK_CALLER,
						 TASK_CONFIG};

	for (size_t i = 0; i < G_N_ELEMENTS(listeners); i++) {
		struct message m = {.tag = MSG_MEMBERS,
				    .from = TASK_PLATFORM,
				    .to = listeners[i]};

		m.members.list = json_incref(list);
		m.members.asked_ms = t->members_sent_ms;
		bus_post(t->env->bus, &m);
	}
}

static void on_members(void *arg, const struct http_result *r)
{
	struct platform_client *t = arg;
	json_t *v = NULL, *list;

	if (!record_result(t, r) || r->status != 200)
		goto out;
	v = json_loadb(r->body, r->len, 0, NULL);
	list = json_object_get(v, "members");
	if (json_is_array(list))
		post_members(t, list);
out:
	json_decref(v);
	timer_start(t->env->loop, &t->members_timer,
		    t->members_again ? 0 : MEMBERS_INTERVAL_MS);
	t->members_again = false;
}

static void fetch_members(void *arg)
{
	struct platform_client *t = arg;

	counter_add(t->env->counters, "platform_reads", NULL, 1);
	t->members_sent_ms = clock_mono_ms();
	if (!http_call_start(current_pool(t), "GET", "/members", NULL,
			     SCAN_TIMEOUT_MS, on_members, t))
		timer_start(t->env->loop, &t->members_timer,
			    MEMBERS_INTERVAL_MS);
}

/*
 * Read the table and the list now.  The answer to a call in flight may be old,
 * so that another one follows it.
 */
static void refresh(struct platform_client *t)
{
	t->scan_again = !timer_running(&t->scan_timer);
	if (!t->scan_again)
		timer_start(t->env->loop, &t->scan_timer, 0);
	t->members_again = !timer_running(&t->members_timer);
	if (!t->members_again)
		timer_start(t->env->loop, &t->members_timer, 0);
}

static void receive(void *task, struct message *m)
{
	struct platform_client *t = task;

	if (m->tag == MSG_TXN)
		start_txn(t, m);
	else if (m->tag == MSG_READ)
		start_read(t, m);
	else if (m->tag == MSG_REFRESH)
		refresh(t);
}

/* Create the task and start polling the platform. */
struct platform_client *platform_client_create(struct env *env)
{
	const struct settings *s = env->settings;
	struct platform_client *t = g_new0(struct platform_client, 1);

	t->env = env;
	t->queued = g_queue_new();
	t->pools = g_new0(struct http_pool *, s->platform_len);
	for (uint32_t i = 0; i < s->platform_len; i++)
		t->pools[i] = http_pool_create(env->http, &s->platform[i],
					       TABLE_CONNECTIONS_MAX);
	timer_init(&t->scan_timer, start_scan, t);
	timer_init(&t->members_timer, fetch_members, t);
	timer_start(env->loop, &t->scan_timer, 0);
	timer_start(env->loop, &t->members_timer, 0);
	bus_attach(env->bus, TASK_PLATFORM, receive, t);
	return t;
}

/* Stop polling and free t; open requests get no answer. */
void platform_client_destroy(struct platform_client *t)
{
	if (!t)
		return;
	timer_stop(t->env->loop, &t->scan_timer);
	timer_stop(t->env->loop, &t->members_timer);
	for (uint32_t i = 0; i < t->env->settings->platform_len; i++)
		http_pool_destroy(t->pools[i]);
	g_free(t->pools);
	g_queue_free_full(t->queued, (GDestroyNotify)table_request_free);
	g_free(t);
}
