/* Starts, queries and stops the processes of a test. */
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lib/counter.h"
#include "test/site.h"

#define TEXT_BYTES 64
#define PROCESSES_MAX 32

struct test_site {
	struct site_options o;
	struct loop *loop;
	struct http_client *http;
	char dir[128];
	pid_t instances[MAX_DOMAINS][MAX_INSTANCES];
	pid_t helpers[PROCESSES_MAX];
	uint32_t helpers_len;
	/* ring buffer of the addresses returned to callers */
	char text[16][TEXT_BYTES];
	uint32_t text_at;
};

static const char *const domains[MAX_DOMAINS] = {"kolkata", "durgapur",
						 "siliguri"};

/* Writes 127.NET.THIRD.FOURTH:PORT to buf, of TEXT_BYTES; returns buf. */
static char *format_address(const struct test_site *s, char *buf,
			    uint32_t third, uint32_t fourth, uint32_t port)
{
	snprintf(buf, TEXT_BYTES, "127.%u.%u.%u:%u", s->o.net, third, fourth,
		 port);
	return buf;
}

/*
 * Returns an address in the next slot of the ring buffer. Only for the few
 * addresses that a test names; loops over instances use format_address.
 */
static const char *address(struct test_site *s, uint32_t third, uint32_t fourth,
			   uint32_t port)
{
	return format_address(s, s->text[s->text_at++ % 16], third, fourth,
			      port);
}

const char *at_instance(struct test_site *s, uint32_t domain, uint32_t i)
{
	return address(s, domain + 1, i + 1, 7400);
}

const char *at_platform(struct test_site *s)
{
	return address(s, 0, 10, 7000);
}

const char *at_workers(struct test_site *s, uint32_t domain)
{
	return address(s, 101 + domain, 250, 9900);
}

const char *at_worker_cutter(struct test_site *s, uint32_t domain)
{
	return address(s, 151 + domain, 250, 9901);
}

const char *at_platform_cutter(struct test_site *s, uint32_t domain)
{
	return address(s, 0, 120 + domain, 9901);
}

/*
 * Starts a program with its output appended to NAME.log.  The kernel kills it
 * when the test ends.
 */
static pid_t run(struct test_site *s, const char *name, char *const *argv)
{
	char *log = g_strdup_printf("%s/%s.log", s->dir, name);
	pid_t pid = fork();
	int fd;

	if (pid) {
		g_free(log);
		return pid;
	}
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	dup2(fd, 1);
	dup2(fd, 2);
	execv(argv[0], argv);
	_exit(127);
}

static void run_helper_process(struct test_site *s, const char *name,
			       char *const *argv)
{
	s->helpers[s->helpers_len++] = run(s, name, argv);
}

static void write_settings(struct test_site *s, const char *file,
			   uint32_t domain, uint32_t i)
{
	char platform[TEXT_BYTES], http[TEXT_BYTES], peer[TEXT_BYTES];
	char seed[TEXT_BYTES];
	GString *seeds = g_string_new(NULL);
	char *text;

	if (s->o.cut_platform)
		format_address(s, platform, 0, 20 + domain, 7000);
	else
		g_strlcpy(platform, at_platform(s), sizeof(platform));
	g_strlcpy(http, at_instance(s, domain, i), sizeof(http));
	format_address(s, peer, domain + 1, i + 1, 7500);
	for (uint32_t d = 0; d < s->o.domains; d++)
		g_string_append_printf(seeds, "%s\"%s\"", d ? ", " : "",
				       format_address(s, seed, d + 1, 1, 7500));
	text = g_strdup_printf(
		"{\"name\": \"%s-%u\", \"domain\": \"%s\", \"http\": \"%s\", "
		"\"peer\": \"%s\", \"platform\": [\"%s\"], \"seeds\": [%s], "
		"\"limits\": {\"drain_ms\": 600, \"events\": 20000}}\n",
		domains[domain], i + 1, domains[domain], http, peer, platform,
		seeds->str);
	g_file_set_contents(file, text, -1, NULL);
	g_free(text);
	g_string_free(seeds, TRUE);
}

void instance_start(struct test_site *s, uint32_t domain, uint32_t i)
{
	char name[TEXT_BYTES], file[256];
	char *argv[] = {"out/lacewingd", "--settings", file, NULL};

	snprintf(name, sizeof(name), "%s-%u", domains[domain], i + 1);
	snprintf(file, sizeof(file), "%s/%s.json", s->dir, name);
	write_settings(s, file, domain, i);
	s->instances[domain][i] = run(s, name, argv);
}

void instance_signal(struct test_site *s, uint32_t domain, uint32_t i,
		     int signo)
{
	if (s->instances[domain][i])
		kill(s->instances[domain][i], signo);
}

static void wait_for_exit(pid_t *pid)
{
	if (*pid)
		waitpid(*pid, NULL, 0);
	*pid = 0;
}

void instance_wait(struct test_site *s, uint32_t domain, uint32_t i)
{
	pid_t *pid = &s->instances[domain][i];

	wait_for(s, 60000, waitpid(*pid, NULL, WNOHANG) == *pid);
	*pid = 0;
}

void instance_kill(struct test_site *s, uint32_t domain, uint32_t i)
{
	instance_signal(s, domain, i, SIGKILL);
	wait_for_exit(&s->instances[domain][i]);
}

static void start_workers(struct test_site *s, uint32_t d)
{
	char name[TEXT_BYTES], prefix[TEXT_BYTES], count[16];
	char first[TEXT_BYTES] = "", control[TEXT_BYTES] = "";
	char cut[TEXT_BYTES] = "", cut_control[TEXT_BYTES] = "";
	char *argv[] = {"out/worker", "--record", "--first",  first,
			"--count",    count,	  "--prefix", prefix,
			"--control",  control,	  NULL};
	char *cutter[] = {"out/cutter", "--first", cut,	  "--target",
			  first,	"--count", count, "--control",
			  cut_control,	NULL};

	snprintf(name, sizeof(name), "workers-%u", d);
	snprintf(prefix, sizeof(prefix), "%s-w", domains[d % MAX_DOMAINS]);
	snprintf(count, sizeof(count), "%u", s->o.workers);
	g_strlcpy(first, address(s, 101 + d, 1, 9000), sizeof(first));
	g_strlcpy(control, at_workers(s, d), sizeof(control));
	run_helper_process(s, name, argv);
	if (!s->o.cut_workers)
		return;
	g_strlcpy(cut, address(s, 151 + d, 1, 9000), sizeof(cut));
	g_strlcpy(cut_control, at_worker_cutter(s, d), sizeof(cut_control));
	snprintf(name, sizeof(name), "cutter-%u", d);
	run_helper_process(s, name, cutter);
}

static void start_platform(struct test_site *s)
{
	char listen[TEXT_BYTES] = "", first[TEXT_BYTES] = "",
	     control[TEXT_BYTES] = "";
	char name[TEXT_BYTES];
	char *argv[] = {"out/platform", "--listen", listen, NULL};
	char *cutter[] = {"out/cutter", "--first",   first,   "--target",
			  listen,	"--control", control, NULL};

	g_strlcpy(listen, at_platform(s), sizeof(listen));
	run_helper_process(s, "platform", argv);
	for (uint32_t d = 0; s->o.cut_platform && d < s->o.domains; d++) {
		g_strlcpy(first, address(s, 0, 20 + d, 7000), sizeof(first));
		g_strlcpy(control, at_platform_cutter(s, d), sizeof(control));
		snprintf(name, sizeof(name), "platform-cutter-%u", d);
		run_helper_process(s, name, cutter);
	}
}

static json_t *member_list(struct test_site *s)
{
	json_t *list = json_array();
	char name[TEXT_BYTES], peer[TEXT_BYTES];

	for (uint32_t d = 0; d < s->o.domains; d++) {
		for (uint32_t i = 0; i < s->o.instances; i++) {
			snprintf(name, sizeof(name), "%s-%u", domains[d],
				 i + 1);
			json_array_append_new(
				list,
				json_pack("{s:s,s:s,s:s,s:s,s:s}", "name", name,
					  "role", "entry", "domain", domains[d],
					  "state", "live", "address",
					  format_address(s, peer, d + 1, i + 1,
							 7500)));
		}
		for (uint32_t w = 0; w < s->o.workers; w++) {
			snprintf(name, sizeof(name), "%s-w%u", domains[d],
				 w + 1);
			json_array_append_new(
				list,
				json_pack("{s:s,s:s,s:s,s:s}", "name", name,
					  "role", "upstream", "domain",
					  domains[d], "state", "live"));
		}
	}
	return json_pack("{s:o}", "members", list);
}

static json_t *configuration(struct test_site *s)
{
	json_t *list = json_array();
	char name[TEXT_BYTES], rack[TEXT_BYTES], worker[TEXT_BYTES];

	for (uint32_t d = 0; d < s->o.domains; d++) {
		for (uint32_t w = 0; w < s->o.workers; w++) {
			uint32_t third = (s->o.cut_workers ? 151 : 101) + d;

			snprintf(name, sizeof(name), "%s-w%u", domains[d],
				 w + 1);
			snprintf(rack, sizeof(rack), "%s-r%u", domains[d],
				 w / 8 + 1);
			json_array_append_new(
				list,
				json_pack("{s:s,s:s,s:s,s:s,s:i,s:i}", "name",
					  name, "domain", domains[d], "rack",
					  rack, "address",
					  format_address(s, worker, third,
							 w + 1, 9000),
					  "accelerators", 8, "slots", 8));
		}
	}
	return json_pack("{s:o,s:o,s:o}", "upstreams", list, "accounts",
			 json_loads(s->o.accounts, 0, NULL), "limits",
			 json_loads(s->o.limits ? s->o.limits : "{}", 0, NULL));
}

static bool answers_ok(struct test_site *s, const char *server,
		       const char *path)
{
	int status;

	json_decref(ask(s, server, "GET", path, NULL, &status));
	return status == 200;
}

/* Returns true if an instance serves callers and reaches the table. */
static bool reaches_table(struct test_site *s, const char *server)
{
	json_t *v = ask(s, server, "GET", "/health", NULL, NULL);
	bool reached = json_is_true(json_object_get(v, "table_answers"));

	json_decref(v);
	return reached;
}

static void send_json(struct test_site *s, const char *server, const char *path,
		      json_t *v)
{
	char *text = json_dumps(v, JSON_COMPACT);

	command(s, server, path, text);
	free(text);
	json_decref(v);
}

/*
 * Starts a site and waits until every domain has a coordinator.  Each test
 * uses a network of its own, so that it meets no processes or connections of
 * an earlier test.
 */
struct test_site *site_start(const struct site_options *o)
{
	struct test_site *s = g_new0(struct test_site, 1);

	signal(SIGPIPE, SIG_IGN);
	s->o = *o;
	s->o.domains = MIN(o->domains, MAX_DOMAINS);
	s->o.instances = MIN(o->instances, MAX_INSTANCES);
	s->loop = loop_create();
	s->http = http_client_create(s->loop);
	snprintf(s->dir, sizeof(s->dir), "out/test-%u", o->net);
	g_mkdir_with_parents(s->dir, 0755);
	start_platform(s);
	for (uint32_t d = 0; d < s->o.domains; d++)
		start_workers(s, d);
	wait_for(s, 5000, answers_ok(s, at_platform(s), "/members"));
	send_json(s, at_platform(s), "/control", member_list(s));
	for (uint32_t d = 0; d < s->o.domains; d++)
		for (uint32_t i = 0; i < s->o.instances; i++)
			instance_start(s, d, i);
	for (uint32_t d = 0; d < s->o.domains; d++)
		for (uint32_t i = 0; i < s->o.instances; i++)
			wait_for(s, 5000,
				 reaches_table(s, at_instance(s, d, i)));
	send_json(s, at_instance(s, 0, 0), "/v1/config", configuration(s));
	for (uint32_t d = 0; d < s->o.domains; d++)
		wait_for(s, 10000, coordinator_of(s, d) != UINT32_MAX);
	return s;
}

/* Kills every process of the site by its pid and frees the site. */
void site_stop(struct test_site *s)
{
	for (uint32_t d = 0; d < MAX_DOMAINS; d++)
		for (uint32_t i = 0; i < MAX_INSTANCES; i++)
			if (s->instances[d][i]) {
				kill(s->instances[d][i], SIGCONT);
				instance_kill(s, d, i);
			}
	for (uint32_t i = 0; i < s->helpers_len; i++) {
		kill(s->helpers[i], SIGKILL);
		wait_for_exit(&s->helpers[i]);
	}
	http_client_destroy(s->http);
	loop_destroy(s->loop);
	g_free(s);
}

struct loop *test_loop(struct test_site *s)
{
	return s->loop;
}

struct http_client *test_http(struct test_site *s)
{
	return s->http;
}

struct pending_request {
	bool done;
	int status;
	json_t *body;
};

static void on_answer(void *arg, const struct http_result *r)
{
	struct pending_request *w = arg;

	w->done = true;
	w->status = verdict_is_ran(r->verdict) ? r->status : 0;
	w->body = json_loadb(r->body, r->len, JSON_DECODE_ANY, NULL);
}

/*
 * Sends a request and waits for the answer, at most 5 s.  Returns its JSON
 * body, or NULL; *status is 0 if there was no complete answer.
 */
json_t *ask(struct test_site *s, const char *server, const char *method,
	    const char *path, const char *body, int *status)
{
	struct pending_request w = {0};
	struct http_pool *pool;
	struct sockaddr_in a;

	address_parse(server, &a);
	pool = http_pool_create(s->http, &a, 1);
	http_call_start(pool, method, path, body, 5000, on_answer, &w);
	while (!w.done)
		loop_step(s->loop, 10);
	http_pool_destroy(pool);
	if (status)
		*status = w.status;
	return w.body;
}

/* Sends a POST request; fails the test unless the status is 2xx. */
void command(struct test_site *s, const char *server, const char *path,
	     const char *body)
{
	int status;
	json_t *v = ask(s, server, "POST", path, body, &status);
	char *text = v ? json_dumps(v, JSON_ENCODE_ANY) : NULL;

	if (status < 200 || status > 299)
		fail_msg("%s%s: %d: %s", server, path, status,
			 text ? text : "");
	free(text);
	json_decref(v);
}

/* Returns the records of all starts at the workers of a domain. */
json_t *records(struct test_site *s, uint32_t domain)
{
	json_t *v =
		ask(s, at_workers(s, domain), "GET", "/records", NULL, NULL);
	json_t *list = json_incref(json_object_get(v, "records"));

	json_decref(v);
	return list;
}

/*
 * Returns the index of the instance that is coordinator of the domain, or
 * UINT32_MAX if there is none.
 */
uint32_t coordinator_of(struct test_site *s, uint32_t domain)
{
	for (uint32_t i = 0; i < s->o.instances; i++) {
		int status;
		json_t *v;

		if (!s->instances[domain][i])
			continue;
		v = ask(s, at_instance(s, domain, i), "GET", "/v1/upstreams",
			NULL, &status);
		json_decref(v);
		if (status == 200)
			return i;
	}
	return UINT32_MAX;
}

/* Returns true if any running instance reports the job in this state. */
bool job_in_state(struct test_site *s, const char *job, const char *state)
{
	char *path = g_strdup_printf("/v1/jobs/%s", job);
	bool found = false;

	for (uint32_t d = 0; d < s->o.domains && !found; d++) {
		for (uint32_t i = 0; i < s->o.instances && !found; i++) {
			json_t *v;

			if (!s->instances[d][i])
				continue;
			v = ask(s, at_instance(s, d, i), "GET", path, NULL,
				NULL);
			found = !strcmp(json_str_or(v, "state", ""), state);
			json_decref(v);
		}
	}
	g_free(path);
	return found;
}

/* Submits a job; fails the test unless it is accepted. */
void submit(struct test_site *s, uint32_t domain, uint32_t i, const char *body)
{
	int status;
	json_t *v = ask(s, at_instance(s, domain, i), "POST", "/v1/jobs", body,
			&status);

	json_decref(v);
	assert_int_equal(status, 202);
}

/* Returns true if an instance lists an event of a kind about a subject. */
bool event_seen(struct test_site *s, uint32_t domain, uint32_t i,
		const char *kind, const char *subject)
{
	char *path = g_strdup_printf("/v1/events?job=%s", subject);
	json_t *v = ask(s, at_instance(s, domain, i), "GET", path, NULL, NULL);
	bool seen = false;
	json_t *e;
	size_t k;

	json_array_foreach(json_object_get(v, "events"), k, e) seen =
		seen || !strcmp(json_str_or(e, "kind", ""), kind);
	json_decref(v);
	g_free(path);
	return seen;
}

struct sent_check {
	struct stream *stream;
	uint32_t number;
	uint64_t sent_us;
};

/* Counts an answer as wrong unless it has the check's payload and id. */
static void verify_answer(struct stream *st, uint32_t n, const json_t *v)
{
	char expected[TEXT_BYTES];
	char id[TEXT_BYTES];

	snprintf(expected, sizeof(expected), "checked:payload-%u-%u", st->net,
		 n);
	snprintf(id, sizeof(id), "q%u-%u", st->net, n);
	if (strcmp(json_str_or(v, "answer", ""), expected) ||
	    strcmp(json_str_or(v, "request", ""), id))
		st->wrong++;
}

static void on_check_answer(void *arg, const struct http_result *r)
{
	struct sent_check *check = arg;
	struct stream *st = check->stream;
	json_t *v = json_loadb(r->body, r->len, 0, NULL);
	const char *verdict = json_str_or(v, "verdict", "");
	char c = 'c';

	st->open--;
	if (verdict_is_ran(r->verdict) && !strcmp(verdict, "ran")) {
		st->ran++;
		c = 'r';
		verify_answer(st, check->number, v);
		if (st->latency)
			histogram_add(st->latency,
				      clock_mono_us() - check->sent_us);
	} else if (verdict_is_ran(r->verdict) &&
		   !strcmp(verdict, "did_not_run")) {
		st->did_not_run++;
		c = 'd';
	} else if (verdict_is_ran(r->verdict)) {
		st->may_have_run++;
		c = 'm';
	} else {
		st->cut++;
	}
	st->verdicts[check->number] = c;
	json_decref(v);
	g_free(check);
}

/* Adds an instance to the targets, which the stream uses in turn. */
void stream_target(struct stream *st, uint32_t domain, uint32_t i)
{
	struct sockaddr_in a;

	address_parse(at_instance(st->site, domain, i), &a);
	st->targets[st->targets_len++] =
		http_pool_create(st->site->http, &a, st->concurrent + 1);
}

static void send_check(struct stream *st)
{
	struct sent_check *check = g_new0(struct sent_check, 1);
	char *body = g_strdup_printf(
		"{\"account\": \"damodar\", \"request\": \"q%u-%u\", "
		"\"payload\": \"payload-%u-%u\"%s%s%s}",
		st->net, st->sent, st->net, st->sent, st->extra ? ", " : "",
		st->extra ? st->extra : "",
		st->non_idempotent ? ", \"idempotent\": false" : "");

	if (st->non_idempotent) {
		char *with_key = g_strdup_printf("%.*s, \"key\": \"k%u-%u\"}",
						 (int)strlen(body) - 1, body,
						 st->net, st->sent);
		g_free(body);
		body = with_key;
	}
	check->stream = st;
	check->number = st->sent;
	check->sent_us = clock_mono_us();
	http_call_start(st->targets[st->sent % st->targets_len], "POST",
			"/v1/checks", body, 20000, on_check_answer, check);
	st->sent++;
	st->open++;
	g_free(body);
}

/* Keeps `concurrent` checks open until `total` have been sent. */
void stream_pump(struct stream *st)
{
	if (!st->verdicts)
		st->verdicts = g_malloc0(st->total + 1);
	while (st->sent < st->total && st->open < st->concurrent)
		send_check(st);
	loop_step(st->site->loop, 10);
}

/* Returns true if all checks of the stream were sent and have ended. */
bool stream_done(const struct stream *st)
{
	return st->sent == st->total && !st->open;
}

/* Frees the stream's connections and its verdicts. */
void stream_free(struct stream *st)
{
	for (uint32_t i = 0; i < st->targets_len; i++)
		http_pool_destroy(st->targets[i]);
	g_free(st->verdicts);
}
