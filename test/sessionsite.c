/* One upstream and the leader's session with it, for tests. */
#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>

#include "lib/schema.h"
#include "test/sessionsite.h"

#define BODY_MAX 65536
/* Ends on a page of the lists. */
#define ENDS_MAX 500

void fake_upstream_remove_run(struct fake_upstream *f, const char *task)
{
	for (uint32_t i = 0; i < f->running_len; i++) {
		if (strcmp(f->running[i], task))
			continue;
		f->running_len--;
		memmove(f->running[i], f->running[f->running_len],
			sizeof(f->running[i]));
		f->runs[i] = f->runs[f->running_len];
	}
}

void fake_upstream_add_run(struct fake_upstream *f, const char *task,
			   uint32_t run)
{
	fake_upstream_remove_run(f, task);
	g_strlcpy(f->running[f->running_len], task, TASK_NAME_BYTES);
	f->runs[f->running_len++] = run;
}

/*
 * Return the list of ends of f: a page of those of unknown tasks that are not
 * acknowledged, or the one after them.
 */
static json_t *list_ends(const struct fake_upstream *f)
{
	json_t *ends = json_array();
	uint32_t first = f->cursor_max + 1;

	for (uint32_t n = first; n <= f->odd_ends && n < first + ENDS_MAX; n++)
		json_array_append_new(ends, json_pack("[i,s,i,s,s]", (int)n,
						      "00000000000000ff.0.0.0",
						      1, "done", ""));
	if (f->odd_end && f->odd_ends < first + ENDS_MAX &&
	    json_array_size(ends) < ENDS_MAX)
		json_array_append_new(ends, json_loads(f->odd_end, 0, NULL));
	return ends;
}

/* Return the answer of f to a list call. */
static json_t *list_runs(const struct fake_upstream *f)
{
	json_t *running = json_array();

	for (uint32_t i = 0; i < f->running_len; i++)
		json_array_append_new(
			running,
			json_pack("[s,i,s,i]", f->running[i],
				  f->odd_running ? -1 : (int)f->runs[i], "",
				  10));
	return json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
			 (json_int_t)clock_mono_ms(), "born",
			 (json_int_t)f->born, "running", running, "finished",
			 list_ends(f));
}

/* Note what a call carries. */
static void note_terms(struct fake_upstream *f, const json_t *body)
{
	json_int_t token = json_int_or(body, "fencingToken", 0);

	f->cursor_max = MAX(f->cursor_max, json_int_or(body, "ackCursor", 0));
	f->token_max = MAX(f->token_max, token);
	f->leases += json_object_get(body, "dueMs") != NULL;
	f->acknowledging += json_int_or(body, "ackCursor", 0) > 0;
}

/* Restart f at once. */
static void begin_next_process(struct fake_upstream *f)
{
	f->restarts_after_lists = false;
	fake_upstream_end(f);
	fake_upstream_restart(f);
	fake_upstream_begin(f, f->loop);
}

/* Answer a call, unless the process that its connection leads to has ended. */
static void handle_call(void *arg, struct http_exchange *x)
{
	const struct fake_process *p = arg;
	struct fake_upstream *f = p->upstream;
	size_t len;
	const char *text = exchange_body(x, &len);
	json_t *body = json_loadb(text, len, 0, NULL), *answer;
	bool wants_lists = !strcmp(exchange_path(x), "/-/hold");

	if (p->number != f->processes) {
		exchange_abort(x);
		json_decref(body);
		return;
	}
	if (!wants_lists || !f->loses_next_lists)
		note_terms(f, body);
	if (json_int_or(body, "fencingToken", 0) < f->fence) {
		exchange_reply_json(x, 409,
				    json_pack("{s:I,s:I,s:s}", "clockMs",
					      (json_int_t)clock_mono_ms(),
					      "born", (json_int_t)f->born,
					      "reason", "fence"),
				    0);
		json_decref(body);
		return;
	}
	if (f->replaced && !(wants_lists && f->holds_lists)) {
		f->refusals++;
		exchange_reply_json(x, 421, json_object(), 0);
		json_decref(body);
		return;
	}
	if (f->refuses_starts && !strcmp(exchange_path(x), "/-/run-start")) {
		exchange_reply_json(x, 409,
				    json_pack("{s:I,s:s}", "clockMs",
					      (json_int_t)clock_mono_ms(),
					      "reason", "late"),
				    0);
		json_decref(body);
		return;
	}
	if (!strcmp(exchange_path(x), "/-/run-start")) {
		f->starts++;
		if (!f->mute)
			fake_upstream_add_run(f, json_str_or(body, "task", ""),
					      json_int_or(body, "run", 0));
	} else if (!strcmp(exchange_path(x), "/-/run-stop")) {
		f->stops++;
		if (!f->mute && !f->holds_orders)
			fake_upstream_remove_run(f,
						 json_str_or(body, "task", ""));
	}
	f->lists += wants_lists;
	if (wants_lists && f->loses_next_lists)
		f->loses_next_lists = false;
	else if (!f->mute &&
		 !(wants_lists ? f->holds_lists : f->holds_orders)) {
		answer = wants_lists ? list_runs(f)
				     : json_pack("{s:I}", "clockMs",
						 (json_int_t)clock_mono_ms());
		if (f->names_itself)
			json_object_set_new(answer, "born",
					    json_integer((json_int_t)f->born));
		if (wants_lists && f->restarts_after_lists)
			http_server_close_after_reply(f->server);
		exchange_reply_json(x, 200, answer, 0);
		if (wants_lists && f->restarts_after_lists)
			begin_next_process(f);
	}
	json_decref(body);
}

/* Return a loopback address with a port that is free. */
struct sockaddr_in session_site_free_address(void)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
				 .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &len), 0);
	close(fd);
	return at;
}

/* Let f be served by a new process; connections to earlier ones are dead. */
void fake_upstream_begin(struct fake_upstream *f, struct loop *l)
{
	struct fake_process *p = g_new0(struct fake_process, 1);

	/* h2o's connections refer to it until the test program exits */
	p->upstream = f;
	f->loop = l;
	p->number = ++f->processes;
	f->cursor_max = f->token_max = 0;
	f->leases = 0;
	f->server =
		http_server_create(l, &f->address, BODY_MAX, handle_call, p);
	assert_non_null(f->server);
}

void fake_upstream_create(struct fake_upstream *f, struct loop *l)
{
	*f = (struct fake_upstream){.born = 77,
				    .address = session_site_free_address()};
	fake_upstream_begin(f, l);
}

static void note_change(void *arg)
{
	((struct session_site *)arg)->changes++;
}

static void ignore_refusal(void *arg)
{
	(void)arg;
}

void session_site_create(struct session_site *s)
{
	struct step *step;

	*s = (struct session_site){.loop = loop_create()};
	s->http = http_client_create(s->loop);
	s->counters = counters_create();
	s->settings.lease_ms = s->settings.lease_max_ms = 6000;
	s->settings.heartbeat_ms = 1500;
	s->model = model_create();
	tenure_begin(&s->tenure, UINT64_MAX / 2, 0);
	s->env = (struct session_env){.loop = s->loop,
				      .http = s->http,
				      .counters = s->counters,
				      .settings = &s->settings,
				      .model = s->model,
				      .epoch = EPOCH,
				      .tenure = &s->tenure,
				      .events = {note_change, ignore_refusal},
				      .arg = s};
	s->upstream = fleet_add_upstream(s->model->fleet, "u1");
	s->entry = (struct upstream_entry){.service = "s",
					   .domain = "d",
					   .kind = "",
					   .rack = "",
					   .machine = "",
					   .resources = {100000, 100000, 100},
					   .started_wall_ms = 77};
	s->job = job_create("00000000000000a1");
	s->job->payload = g_strdup("");
	s->job->max_attempts = 3;
	step = job_add_step(s->job);
	step->count = 1;
	step->need = (struct resources){1000, 1000, 1};
	job_create_stages(s->job);
	model_add_job(s->model, s->job);
	s->task = job_find_task(s->job, 0, 0, 0);
}

/* Begin the session with f, which the list shows at its address. */
void session_site_open(struct session_site *s, const struct fake_upstream *f)
{
	s->entry.address = f->address;
	s->upstream->session = session_create(&s->env, s->upstream, &s->entry);
}

void session_site_destroy(struct session_site *s)
{
	session_destroy(s->upstream->session);
	model_destroy(s->model);
	http_client_destroy(s->http);
	counters_destroy(s->counters);
	loop_destroy(s->loop);
}

/* Step the loop until the value is not 0, or for ms milliseconds. */
void session_site_step(struct loop *l, const uint32_t *value, uint64_t ms)
{
	uint64_t deadline_ms = clock_mono_ms() + ms;

	while (!(value && *value) && clock_mono_ms() < deadline_ms)
		loop_step(l, 10);
}

/* Step the loop until the task is in this state, at most SETTLE_MAX_MS. */
void session_site_await_state(struct session_site *s, enum task_state state)
{
	uint64_t deadline_ms = clock_mono_ms() + SETTLE_MAX_MS;

	while (s->task->state != state && clock_mono_ms() < deadline_ms)
		loop_step(s->loop, 10);
	assert_int_equal(s->task->state, state);
}

/* Place the task and order its start. */
void session_site_start_task(struct session_site *s)
{
	task_place(s->task, s->upstream, s->task->run + 1, clock_mono_ms());
	session_start_run(s->upstream->session, s->task);
}

/* Restart f: it runs nothing, under a newer start time. */
void fake_upstream_restart(struct fake_upstream *f)
{
	f->born++;
	f->running_len = 0;
}

/* End the process of f. */
void fake_upstream_end(struct fake_upstream *f)
{
	http_server_destroy(f->server);
	f->processes++;
}

/* List the present incarnation of f as this kind. */
void session_site_list_as(struct session_site *s, const struct fake_upstream *f,
			  const char *kind)
{
	s->entry.started_wall_ms = f->born;
	s->entry.kind = kind;
	session_apply_entry(s->upstream->session, &s->entry);
}
