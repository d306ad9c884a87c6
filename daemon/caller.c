/*
 * The caller task: the HTTP interface for callers and operators.  Each
 * request becomes a message to the task that is responsible for it.  Until
 * the reply arrives it is kept in a table by its ticket, never by its
 * connection.
 */
#include <glib.h>
#include <string.h>

#include "daemon/caller.h"
#include "daemon/jobs.h"

#define DEADLINE_MAX_MS 600000
/* A stall of the process after which the table and the list are read again. */
#define STALL_MIN_MS 1000
/* Without the platform, requests are served by what is known after this. */
#define REFRESH_TIMEOUT_MS 1500

/* A request that waits for a reply from another task. */
struct open_request {
	struct http_exchange *x;
	char *request_id; /* empty unless the request is a check */
	uint64_t ticket;
};

struct caller {
	struct env *env;
	struct http_server *server;
	GHashTable *open_requests; /* ticket to struct open_request */
	uint64_t next_ticket;
	struct config *config;
	struct peer_list *peers;
	bool table_reachable;
	bool is_leader;
	bool leaving;
	uint64_t iterated_ms; /* end of the last iteration of the loop */
	/* The end of a stall whose effects are not known yet; 0: none. */
	uint64_t stalled_ms;
	uint64_t table_read_ms;	  /* when the last read was sent */
	uint64_t members_read_ms; /* the same of the list */
	struct timer refresh_timer;
	GPtrArray *held; /* exchanges that wait for both */
};

static const struct field check_fields[] = {
	{"account", FIELD_NAME, true, 1, 60, "characters"},
	{"request", FIELD_NAME, false, 1, 80, "characters"},
	{"payload", FIELD_STRING, false, 0, 1 << 20, "characters"},
	{"run_ms", FIELD_INTEGER, false, 0, DEADLINE_MAX_MS, "milliseconds"},
	{"deadline_ms", FIELD_INTEGER, false, 1, DEADLINE_MAX_MS,
	 "milliseconds"},
	{"idempotent", FIELD_BOOL},
	{"key", FIELD_NAME, false, 1, 80, "characters"},
	{0}};

/*
 * Reply to a request that was not passed to a task: it did not run.  Takes
 * the reference to problems, which may be NULL.
 */
static void reject(struct caller *c, struct http_exchange *x, int status,
		   enum reason reason, json_t *problems)
{
	counter_add(c->env->counters, "requests_rejected", NULL, 1);
	exchange_reply_json(
		x, status,
		json_pack("{s:s,s:s,s:s,s:o*}", "verdict", "did_not_run",
			  "reason", reason_name(reason), "text",
			  reason_text(reason), "problems", problems),
		0);
}

/* Keep an exchange until its reply arrives; return its ticket. */
static uint64_t add_open_request(struct caller *c, struct http_exchange *x,
				 const char *request)
{
	struct open_request *o = g_new0(struct open_request, 1);

	o->x = x;
	o->ticket = ++c->next_ticket;
	o->request_id = g_strdup(request);
	g_hash_table_insert(c->open_requests, &o->ticket, o);
	return o->ticket;
}

static void free_open_request(void *p)
{
	struct open_request *o = p;

	g_free(o->request_id);
	g_free(o);
}

/*
 * Parse and validate a request body.  An invalid body is rejected with
 * status 400, and NULL is returned.
 */
static json_t *parse_body(struct caller *c, struct http_exchange *x,
			  const struct field *fields)
{
	struct problems *p = problems_create("request");
	size_t len;
	const char *text = exchange_body(x, &len);
	json_t *v = schema_parse(fields, text, len, p);

	if (!v)
		reject(c, x, 400, REASON_BAD_REQUEST, problems_json(p));
	problems_destroy(p);
	return v;
}

/* Quick checks */

/*
 * Validate the idempotency key of a check and give the check a request id if
 * it has none.  The key of an idempotent check is dropped, as it needs none.
 * Return the problem as a string, or NULL if the check is valid.
 */
static json_t *complete_check(struct caller *c, json_t *v)
{
	bool not_idempotent = json_is_false(json_object_get(v, "idempotent"));

	if (not_idempotent && !json_object_get(v, "key"))
		return json_string("request: key: missing: a request that is "
				   "not idempotent needs one");
	if (!not_idempotent && json_object_get(v, "key"))
		json_object_del(v, "key");
	if (!json_object_get(v, "request")) {
		char *id = g_strdup_printf(
			"%s-%" G_GUINT64_FORMAT "-r%" G_GUINT64_FORMAT,
			c->env->settings->name, c->env->settings->incarnation,
			c->next_ticket + 1);

		json_object_set_new(v, "request", json_string(id));
		g_free(id);
	}
	return NULL;
}

static void post_check(struct caller *c, struct http_exchange *x)
{
	struct message m = {
		.tag = MSG_CHECK, .from = TASK_CALLER, .to = TASK_CHECK};
	json_t *v = parse_body(c, x, check_fields);
	json_t *problem;
	int64_t deadline;

	if (!v)
		return;
	problem = complete_check(c, v);
	if (problem) {
		json_decref(v);
		reject(c, x, 400, REASON_BAD_REQUEST,
		       json_pack("[o]", problem));
		return;
	}
	deadline = c->config ? c->config->limits.check_deadline_ms : 1000;
	m.check.request = v;
	m.check.deadline_ms =
		clock_mono_ms() + json_int_or(v, "deadline_ms", deadline);
	m.ticket = add_open_request(c, x, json_str_or(v, "request", ""));
	bus_post(c->env->bus, &m);
}

/* Send the result of a check to its caller. */
static void reply_check(struct caller *c, struct message *m)
{
	struct open_request *o =
		g_hash_table_lookup(c->open_requests, &m->ticket);
	struct verdict v = m->check_result.verdict;
	const char *text;

	if (!o)
		return;
	text = json_str_or(m->check_result.answer, "answer", NULL);
	exchange_reply_json(
		o->x, verdict_http_status(v),
		json_pack("{s:s,s:s,s:s,s:s,s:s,s:s*}", "request",
			  o->request_id, "verdict", verdict_name(v.tag),
			  "reason", reason_name(v.reason), "text",
			  reason_text(v.reason), "upstream",
			  m->check_result.upstream ? m->check_result.upstream
						   : "",
			  "answer", text),
		v.tag == VERDICT_DID_NOT_RUN ? v.retry_after_ms : 0);
	g_hash_table_remove(c->open_requests, &m->ticket);
}

/* Requests to other tasks */

/*
 * Forward a request to another task and keep it until the response arrives.
 * Takes the reference to body.
 */
static void forward_request(struct caller *c, struct http_exchange *x,
			    enum task_id to, enum request_kind kind,
			    const char *name, json_t *body)
{
	struct message m = {.tag = MSG_REQUEST, .from = TASK_CALLER, .to = to};

	m.ticket = add_open_request(c, x, "");
	m.request.kind = kind;
	m.request.name = g_strdup(name);
	m.request.body = body;
	bus_post(c->env->bus, &m);
}

/* Send another task's response to the caller. */
static void reply_response(struct caller *c, struct message *m)
{
	struct open_request *o =
		g_hash_table_lookup(c->open_requests, &m->ticket);
	struct verdict v = m->response.verdict;
	json_t *body = m->response.body;
	int status = m->response.status ? m->response.status
					: verdict_http_status(v);

	if (!o)
		return;
	if (!verdict_is_ran(v) || !body) {
		body = json_pack("{s:s,s:s,s:s,s:O*}", "verdict",
				 verdict_name(v.tag), "reason",
				 reason_name(v.reason), "text",
				 reason_text(v.reason), "detail", body);
	} else {
		json_incref(body);
	}
	exchange_reply_json(o->x, status, body,
			    verdict_is_ran(v) ? 0 : v.retry_after_ms);
	g_hash_table_remove(c->open_requests, &m->ticket);
}

static void post_job(struct caller *c, struct http_exchange *x)
{
	json_t *v = parse_body(c, x, job_fields);

	if (v)
		forward_request(c, x, TASK_JOB, REQUEST_SUBMIT_JOB, NULL, v);
}

static void get_jobs(struct caller *c, struct http_exchange *x)
{
	char *state = exchange_query(x, "state");

	forward_request(c, x, TASK_JOB, REQUEST_LIST_JOBS, state, NULL);
	g_free(state);
}

static void post_config(struct caller *c, struct http_exchange *x)
{
	size_t len;
	const char *text = exchange_body(x, &len);
	json_error_t err;
	json_t *v = json_loadb(text, len, JSON_REJECT_DUPLICATES, &err);

	if (v)
		forward_request(c, x, TASK_CONFIG, REQUEST_APPLY_CONFIG, NULL,
				v);
	else
		reject(c, x, 400, REASON_BAD_REQUEST,
		       json_pack("[s]", err.text));
}

static void get_config(struct caller *c, struct http_exchange *x)
{
	forward_request(c, x, TASK_CONFIG, REQUEST_GET_CONFIG, NULL, NULL);
}

static void get_upstreams(struct caller *c, struct http_exchange *x)
{
	forward_request(c, x, TASK_COORDINATOR, REQUEST_LIST_UPSTREAMS, NULL,
			NULL);
}

static void get_roster(struct caller *c, struct http_exchange *x)
{
	forward_request(c, x, TASK_CHECK, REQUEST_LIST_UPSTREAMS, NULL, NULL);
}

static void get_stuck(struct caller *c, struct http_exchange *x)
{
	forward_request(c, x, TASK_COORDINATOR, REQUEST_LIST_STUCK, NULL, NULL);
}

/* Requests that this task answers itself */

/* Report whether load balancers may send requests to this instance. */
static bool is_ready(const struct caller *c)
{
	return c->config && c->config->version && !c->leaving;
}

static json_t *self_json(const struct caller *c)
{
	const struct settings *s = c->env->settings;
	char http[ADDRESS_TEXT_BYTES];

	address_format(&s->http, http, sizeof(http));
	return json_pack(
		"{s:s,s:s,s:s,s:I,s:I,s:b,s:b,s:b,s:b,s:b}", "name", s->name,
		"domain", s->domain, "http", http, "incarnation",
		(json_int_t)s->incarnation, "config_version",
		(json_int_t)(c->config ? c->config->version : 0), "ready",
		(int)is_ready(c), "leaving", (int)c->leaving, "deciding",
		(int)c->is_leader, "self", 1, "reachable", 1);
}

static json_t *peer_json(const struct peer_state *p)
{
	return json_pack("{s:s,s:s,s:s,s:I,s:I,s:b,s:b,s:b,s:b}", "name",
			 p->name, "domain", p->domain, "http", p->http_address,
			 "incarnation", (json_int_t)p->incarnation,
			 "config_version", (json_int_t)p->config_version,
			 "ready", (int)p->ready, "leaving", (int)p->leaving,
			 "deciding", (int)p->is_leader, "reachable",
			 (int)p->reachable);
}

static void get_instances(struct caller *c, struct http_exchange *x)
{
	json_t *list = json_array();

	json_array_append_new(list, self_json(c));
	for (uint32_t i = 0; c->peers && i < c->peers->len; i++)
		json_array_append_new(list, peer_json(&c->peers->peers[i]));
	exchange_reply_json(x, 200, json_pack("{s:o}", "instances", list), 0);
}

static void get_events(struct caller *c, struct http_exchange *x)
{
	char *since = exchange_query(x, "since");
	char *job = exchange_query(x, "job");
	char *account = exchange_query(x, "account");
	json_t *list = event_list(c->env->events,
				  since ? g_ascii_strtoull(since, NULL, 10) : 0,
				  job, account);

	exchange_reply_json(x, 200,
			    json_pack("{s:s,s:o}", "instance",
				      c->env->settings->name, "events", list),
			    0);
	g_free(since);
	g_free(job);
	g_free(account);
}

static void get_metrics(struct caller *c, struct http_exchange *x)
{
	char *s = counters_text(c->env->counters);
	char *all = g_strdup_printf(
		"%slacewing_http_client_bytes %" G_GUINT64_FORMAT "\n", s,
		http_client_bytes_transferred(c->env->http));

	exchange_reply(x, 200, "text/plain; version=0.0.4", all, 0);
	g_free(all);
	g_free(s);
}

static void get_health(struct caller *c, struct http_exchange *x)
{
	exchange_reply_json(x, 200,
			    json_pack("{s:b,s:b}", "healthy", 1,
				      "table_answers", (int)c->table_reachable),
			    0);
}

static void get_ready(struct caller *c, struct http_exchange *x)
{
	exchange_reply_json(x, is_ready(c) ? 200 : 503,
			    json_pack("{s:b}", "ready", (int)is_ready(c)), 0);
}

static void post_drain(struct caller *c, struct http_exchange *x)
{
	struct message m = {
		.tag = MSG_DRAIN, .from = TASK_CALLER, .to = TASK_CALLER};

	bus_post(c->env->bus, &m);
	exchange_reply_json(x, 202, json_pack("{s:b}", "leaving", 1), 0);
}

struct route {
	const char *method;
	const char *path;
	void (*handler)(struct caller *c, struct http_exchange *x);
};

static const struct route routes[] = {
	{"POST", "/v1/checks", post_check},
	{"POST", "/v1/jobs", post_job},
	{"GET", "/v1/jobs", get_jobs},
	{"POST", "/v1/config", post_config},
	{"GET", "/v1/config", get_config},
	{"GET", "/v1/instances", get_instances},
	{"GET", "/v1/upstreams", get_upstreams},
	{"GET", "/v1/roster", get_roster},
	{"GET", "/v1/stuck", get_stuck},
	{"GET", "/v1/events", get_events},
	{"POST", "/v1/drain", post_drain},
	{"GET", "/metrics", get_metrics},
	{"GET", "/health", get_health},
	{"GET", "/ready", get_ready},
};

/* Route a request for /v1/jobs/NAME or /v1/jobs/NAME/why. */
static void route_job(struct caller *c, struct http_exchange *x)
{
	const char *method = exchange_method(x);
	char *name = g_strdup(exchange_path(x) + strlen("/v1/jobs/"));

	if (!strcmp(method, "GET") && g_str_has_suffix(name, "/why")) {
		name[strlen(name) - strlen("/why")] = '\0';
		forward_request(c, x, TASK_COORDINATOR, REQUEST_EXPLAIN_JOB,
				name, NULL);
	} else if (!strcmp(method, "GET")) {
		forward_request(c, x, TASK_JOB, REQUEST_GET_JOB, name, NULL);
	} else if (!strcmp(method, "DELETE")) {
		forward_request(c, x, TASK_JOB, REQUEST_CANCEL_JOB, name, NULL);
	} else {
		reject(c, x, 405, REASON_BAD_REQUEST, NULL);
	}
	g_free(name);
}

/* Route a request: 404 for an unknown path, 405 for a wrong method. */
static void route_request(struct caller *c, struct http_exchange *x)
{
	const char *path = exchange_path(x);
	bool path_known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (strcmp(routes[i].path, path))
			continue;
		path_known = true;
		if (!strcmp(routes[i].method, exchange_method(x))) {
			routes[i].handler(c, x);
			return;
		}
	}
	if (path_known)
		reject(c, x, 405, REASON_BAD_REQUEST, NULL);
	else if (g_str_has_prefix(path, "/v1/jobs/"))
		route_job(c, x);
	else
		reject(c, x, 404, REASON_NOT_FOUND, NULL);
}

static void release_held_requests(struct caller *c)
{
	GPtrArray *held = c->held;

	timer_stop(c->env->loop, &c->refresh_timer);
	c->stalled_ms = 0;
	c->held = g_ptr_array_new();
	for (guint i = 0; i < held->len; i++)
		route_request(c, g_ptr_array_index(held, i));
	g_ptr_array_free(held, TRUE);
}

static void on_refresh_timeout(void *arg)
{
	release_held_requests(arg);
}

/* Serve the held requests once table and list were read after the stall. */
static void release_if_refreshed(struct caller *c)
{
	if (c->stalled_ms && c->table_read_ms >= c->stalled_ms &&
	    c->members_read_ms >= c->stalled_ms)
		release_held_requests(c);
}

/*
 * Note a stall of this process if STALL_MIN_MS or more have passed since the
 * last iteration of its loop.  Upstreams may have left and accounts may have
 * been removed meanwhile, so that requests wait until the table and the list
 * have been read again.
 */
static void check_stall(struct caller *c)
{
	struct message m = {
		.tag = MSG_REFRESH, .from = TASK_CALLER, .to = TASK_PLATFORM};
	uint64_t now = clock_mono_ms();

	if (now - c->iterated_ms < STALL_MIN_MS)
		return;
	log_line(LOG_WARN, "stalled",
		 "the process stood still for %" G_GUINT64_FORMAT
		 " ms; requests wait for the table and the list",
		 now - c->iterated_ms);
	if (!c->stalled_ms)
		timer_start(c->env->loop, &c->refresh_timer,
			    REFRESH_TIMEOUT_MS);
	c->stalled_ms = now;
	c->iterated_ms = now;
	bus_post(c->env->bus, &m);
}

/* Note the end of an iteration of the loop. */
void caller_note_iteration(struct caller *c)
{
	check_stall(c);
	c->iterated_ms = clock_mono_ms();
}

static void on_request(void *arg, struct http_exchange *x)
{
	struct caller *c = arg;

	check_stall(c);
	if (c->stalled_ms && strcmp(exchange_method(x), "GET"))
		g_ptr_array_add(c->held, x);
	else
		route_request(c, x);
}

/*
 * Start to drain the instance: it reports that it is not ready, closes each
 * connection after its reply and tells the tasks that it is leaving.
 */
static void start_draining(struct caller *c)
{
	static const enum task_id drained_tasks[] = {TASK_COORDINATOR,
						     TASK_PEER};

	if (c->leaving)
		return;
	c->leaving = true;
	event_add(c->env->events, "leaving", c->env->settings->name, NULL,
		  "no longer ready");
	log_line(LOG_INFO, "leaving", "draining was requested");
	http_server_close_after_reply(c->server);
	for (size_t i = 0; i < G_N_ELEMENTS(drained_tasks); i++) {
		struct message m = {.tag = MSG_DRAIN,
				    .from = TASK_CALLER,
				    .to = drained_tasks[i]};

		bus_post(c->env->bus, &m);
	}
}

static void receive(void *task, struct message *m)
{
	struct caller *c = task;

	switch ((int)m->tag) {
	case MSG_CHECK_DONE:
		reply_check(c, m);
		break;
	case MSG_RESPONSE:
		reply_response(c, m);
		break;
	case MSG_CONFIG:
		config_unref(c->config);
		c->config = m->config;
		m->config = NULL;
		break;
	case MSG_PEERS:
		g_free(c->peers);
		c->peers = m->peers;
		m->peers = NULL;
		break;
	case MSG_TABLE_STATE:
		c->table_reachable = m->flag;
		break;
	case MSG_CAUGHT_UP:
		c->table_read_ms = m->number;
		release_if_refreshed(c);
		break;
	case MSG_MEMBERS:
		c->members_read_ms = m->members.asked_ms;
		release_if_refreshed(c);
		break;
	case MSG_ROLE:
		c->is_leader = m->role.is_leader;
		break;
	case MSG_DRAIN:
		start_draining(c);
		break;
	}
}

/* Create the caller task; NULL if it cannot listen on its address. */
struct caller *caller_create(struct env *env)
{
	struct caller *c = g_new0(struct caller, 1);

	c->env = env;
	c->open_requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, free_open_request);
	c->iterated_ms = clock_mono_ms();
	c->held = g_ptr_array_new();
	timer_init(&c->refresh_timer, on_refresh_timeout, c);
	bus_attach(env->bus, TASK_CALLER, receive, c);
	c->server = http_server_create(env->loop, &env->settings->http,
				       env->settings->max_body_bytes,
				       on_request, c);
	if (c->server)
		return c;
	caller_destroy(c);
	return NULL;
}

/* Return the count of requests that wait for a reply from a task. */
uint32_t caller_count_open_requests(const struct caller *c)
{
	return g_hash_table_size(c->open_requests) + c->held->len;
}

/* Stop accepting connections. */
void caller_stop_accepting(struct caller *c)
{
	http_server_stop_accepting(c->server);
}

/* Stop listening and free c. */
void caller_destroy(struct caller *c)
{
	if (!c)
		return;
	timer_stop(c->env->loop, &c->refresh_timer);
	http_server_destroy(c->server);
	g_ptr_array_free(c->held, TRUE);
	g_hash_table_destroy(c->open_requests);
	config_unref(c->config);
	g_free(c->peers);
	g_free(c);
}
