/* Instances on the joint platform, as processes against its stand-in. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lib/http.h"
#include "lib/schema.h"

#define INSTANCES 3
#define UPSTREAMS 4
#define WAIT_MS 20000

/* A queue; the client names the instance's address as the host. */
#define QUEUE                                                                  \
	"{\"name\": \"urgent%u\", \"host\": \"127.%u.9.%u\", "                 \
	"\"pathPrefix\": \"/u/\", \"service\": \"service\", "                  \
	"\"priority\": 0, \"maxAttempts\": 3, \"slackFactor\": 1.5, "          \
	"\"targetRuntimeMs\": 250, \"timeoutMs\": 3000}"

#define POLICY                                                                 \
	"{\"version\": 3, \"routes\": [%s], \"services\": [{\"name\": "        \
	"\"service\", \"enforcesCapacity\": true}], \"limits\": "              \
	"{\"maxBodyBytes\": 262144}, \"tenants\": [{\"name\": \"team\", "      \
	"\"apiKeys\": [\"key\"], \"guaranteed\": {\"gpu\": 16}}]}"

/* A platform and three instances on addresses of their own. */
struct site {
	uint32_t net;
	char dir[64];
	struct loop *loop;
	struct http_client *http;
	struct http_pool *store;
	struct http_pool *callers[INSTANCES];
	pid_t platform;
	pid_t instances[INSTANCES];
};

struct reply {
	bool done;
	bool ran;
	int status;
	json_t *body;
};

static char *at(const struct site *s, uint32_t host, uint32_t port)
{
	return g_strdup_printf("127.%u.9.%u:%u", s->net, host, port);
}

static pid_t run(const struct site *s, const char *name, char *const *argv)
{
	char *log = g_strdup_printf("%s/%s.log", s->dir, name);
	pid_t pid = fork();
	int fd;

	if (!pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		dup2(fd, 1);
		dup2(fd, 2);
		execv(argv[0], argv);
		_exit(127);
	}
	g_free(log);
	return pid;
}

static void on_reply(void *arg, const struct http_result *r)
{
	struct reply *y = arg;

	y->done = true;
	y->ran = verdict_is_ran(r->verdict);
	y->status = r->status;
	y->body = json_loadb(r->body, r->len, 0, NULL);
}

/* Ask and wait; returns the status, 0 when no answer came. */
static int ask(struct site *s, struct http_pool *p, const char *method,
	       const char *path, const char *body, json_t **out)
{
	struct reply y = {0};

	if (!http_call_send(p, method, path,
			    "Authorization: Bearer key\r\n"
			    "Lacewingspur-Deadline-Ms: 3000\r\n",
			    body, 4000, on_reply, &y))
		return 0;
	while (!y.done)
		loop_step(s->loop, 10);
	if (out)
		*out = y.body;
	else
		json_decref(y.body);
	return y.ran ? y.status : 0;
}

static struct http_pool *pool(struct site *s, uint32_t host, uint32_t port)
{
	struct sockaddr_in a;
	char *text = at(s, host, port);

	address_parse(text, &a);
	g_free(text);
	return http_pool_create(s->http, &a, 20);
}

static void instance_start(struct site *s, uint32_t i)
{
	char *file = g_strdup_printf("%s/i%u.json", s->dir, i);
	char *name = g_strdup_printf("i%u", i);
	char *argv[] = {"out/lacewingd", "--settings", file, NULL};
	char *callers = at(s, 10 + i, 7000), *ready = at(s, 10 + i, 7001);
	char *metrics = at(s, 10 + i, 7002), *peers = at(s, 10 + i, 7003);
	char *store = at(s, 1, 7100);
	char *text = g_strdup_printf(
		"{\"instance\": \"i%u\", \"domain\": \"kolkata\", \"joint\": "
		"{\"callers\": \"%s\", \"readiness\": \"%s\", \"metrics\": "
		"\"%s\", \"peers\": \"%s\", \"store\": \"%s\", "
		"\"processor_share\": 1, \"link_mbps\": 1000, \"lease_ms\": "
		"3000, \"stop_ms\": 100, \"reclaim_ms\": 2700, "
		"\"gang_wait_ms\": 3000, \"checkpoint_ms\": 2000, "
		"\"remote_factor\": 3, \"keep_ended_ms\": 120000, "
		"\"drain_ms\": 500, \"grace_ms\": 3000, \"history_ms\": "
		"20000}}",
		i, callers, ready, metrics, peers, store);

	g_file_set_contents(file, text, -1, NULL);
	s->instances[i] = run(s, name, argv);
	g_free(text);
	g_free(store);
	g_free(peers);
	g_free(metrics);
	g_free(ready);
	g_free(callers);
	g_free(name);
	g_free(file);
}

static void wait_ready(struct site *s, uint32_t i)
{
	struct http_pool *p = pool(s, 10 + i, 7001);
	uint64_t until = clock_mono_ms() + WAIT_MS;

	while (ask(s, p, "GET", "/-/ready", NULL, NULL) != 200) {
		if (clock_mono_ms() > until)
			fail_msg("instance %u is not ready", i);
		loop_step(s->loop, 20);
	}
	http_pool_destroy(p);
}

static void put_policy(struct site *s)
{
	GString *queues = g_string_new(NULL);
	char *policy, *b64, *body;
	uint64_t until = clock_mono_ms() + WAIT_MS;

	for (uint32_t i = 0; i < INSTANCES; i++)
		g_string_append_printf(queues, "%s" QUEUE, i ? ", " : "", i,
				       s->net, 10 + i);
	policy = g_strdup_printf(POLICY, queues->str);
	b64 = g_base64_encode((const guchar *)policy, strlen(policy));
	body = g_strdup_printf(
		"{\"expected\": [], \"remove\": [], \"puts\": [{\"table\": "
		"\"op\", \"part\": \"\", \"key\": \"config\", \"value\": "
		"\"%s\"}]}",
		b64);
	while (ask(s, s->store, "POST", "/-/rows-tx", body, NULL) != 200) {
		if (clock_mono_ms() > until)
			fail_msg("the stand-in does not answer");
		loop_step(s->loop, 20);
	}
	g_free(body);
	g_free(b64);
	g_free(policy);
	g_string_free(queues, TRUE);
}

static struct site *site_start(uint32_t net)
{
	struct site *s = g_new0(struct site, 1);
	char *ip = g_strdup_printf("127.%u.9.1", net);
	char upstreams[8];
	char *argv[] = {"out/joint", ip, "7100", "7200", upstreams, NULL};

	s->net = net;
	snprintf(upstreams, sizeof(upstreams), "%d", UPSTREAMS);
	snprintf(s->dir, sizeof(s->dir), "out/joint-%u", net);
	g_mkdir_with_parents(s->dir, 0755);
	s->loop = loop_create();
	s->http = http_client_create(s->loop);
	s->platform = run(s, "platform", argv);
	s->store = pool(s, 1, 7100);
	put_policy(s);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		s->callers[i] = pool(s, 10 + i, 7000);
		instance_start(s, i);
	}
	for (uint32_t i = 0; i < INSTANCES; i++)
		wait_ready(s, i);
	g_free(ip);
	return s;
}

static void instance_kill(struct site *s, uint32_t i, int signo)
{
	kill(s->instances[i], signo);
	waitpid(s->instances[i], NULL, 0);
	s->instances[i] = 0;
}

/* Check what the upstreams have seen, and end all processes. */
static void site_stop(struct site *s)
{
	json_t *record = NULL;

	assert_int_equal(ask(s, s->store, "GET", "/record", NULL, &record),
			 200);
	assert_int_equal(json_int_or(record, "twice", -1), 0);
	assert_int_equal(json_int_or(record, "after_done", -1), 0);
	json_decref(record);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		if (s->instances[i])
			instance_kill(s, i, SIGKILL);
		http_pool_destroy(s->callers[i]);
	}
	http_pool_destroy(s->store);
	kill(s->platform, SIGKILL);
	waitpid(s->platform, NULL, 0);
	http_client_destroy(s->http);
	loop_destroy(s->loop);
	g_free(s);
}

static char *job_path(uint32_t n)
{
	return g_strdup_printf("/u/%016x", n);
}

static char *job_body(uint32_t tasks, uint32_t run_ms, bool gang)
{
	return g_strdup_printf("{\"spec\": \"%u\", \"steps\": [{\"count\": %u, "
			       "\"cpu\": 1000, \"memMb\": 100, \"gpu\": 1, "
			       "\"estimateMs\": %u%s}]}",
			       run_ms, tasks, run_ms,
			       gang ? ", \"gang\": true" : "");
}

static int submit(struct site *s, uint32_t i, uint32_t n, uint32_t tasks,
		  uint32_t run_ms)
{
	char *path = job_path(n), *body = job_body(tasks, run_ms, false);
	int status = ask(s, s->callers[i], "POST", path, body, NULL);

	g_free(path);
	g_free(body);
	return status;
}

static bool in_state(struct site *s, uint32_t i, uint32_t n, const char *state)
{
	char *path = job_path(n);
	json_t *v = NULL;
	int status = ask(s, s->callers[i], "GET", path, NULL, &v);
	bool is = status == 200 && !strcmp(json_str_or(v, "state", ""), state);

	json_decref(v);
	g_free(path);
	return is;
}

static void wait_state(struct site *s, uint32_t i, uint32_t n,
		       const char *state)
{
	uint64_t until = clock_mono_ms() + WAIT_MS;

	while (!in_state(s, i, n, state)) {
		if (clock_mono_ms() > until)
			fail_msg("job %u is not %s", n, state);
		loop_step(s->loop, 20);
	}
}

static void control(struct site *s, const char *body)
{
	assert_int_equal(ask(s, s->store, "POST", "/control", body, NULL), 200);
}

/* Return the instance that leads, by its metrics. */
static uint32_t leader(struct site *s)
{
	uint64_t until = clock_mono_ms() + WAIT_MS;

	for (uint32_t i = 0;; i = (i + 1) % INSTANCES) {
		char *log = g_strdup_printf("%s/i%u.log", s->dir, i);
		char *text = NULL;
		const char *gained, *lost;
		bool leads = false;

		if (s->instances[i] &&
		    g_file_get_contents(log, &text, NULL, NULL)) {
			gained = g_strrstr(text, "\"event\":\"leading\"");
			lost = g_strrstr(text, "\"event\":\"leadership_lost\"");
			leads = gained && (!lost || lost < gained);
		}
		g_free(text);
		g_free(log);
		if (leads)
			return i;
		if (clock_mono_ms() > until)
			fail_msg("nobody leads");
		loop_step(s->loop, 10);
	}
}

static void a_job_runs_to_its_end(void **state)
{
	struct site *s = site_start(60);

	(void)state;
	assert_int_equal(submit(s, 0, 1, 5, 200), 200);
	wait_state(s, 1, 1, "completed");
	assert_true(in_state(s, 2, 1, "completed"));
	site_stop(s);
}

static void a_repeated_submission_is_one_job(void **state)
{
	struct site *s = site_start(61);

	(void)state;
	for (uint32_t i = 0; i < INSTANCES; i++)
		assert_int_equal(submit(s, i, 1, 2, 300), 200);
	wait_state(s, 0, 1, "completed");
	assert_int_equal(submit(s, 2, 1, 2, 300), 200);
	wait_state(s, 2, 1, "completed");
	site_stop(s);
}

static void a_lost_answer_of_the_store_is_one_job(void **state)
{
	struct site *s = site_start(62);

	(void)state;
	control(s, "{\"lose_answers\": 3}");
	assert_int_equal(submit(s, 0, 1, 2, 200), 200);
	wait_state(s, 1, 1, "completed");
	site_stop(s);
}

static void the_leader_is_killed_while_jobs_run(void **state)
{
	struct site *s = site_start(63);
	uint32_t first = leader(s);

	(void)state;
	for (uint32_t n = 1; n <= 4; n++)
		assert_int_equal(submit(s, (first + 1) % INSTANCES, n, 6, 800),
				 200);
	loop_step(s->loop, 10);
	instance_kill(s, first, SIGKILL);
	for (uint32_t n = 1; n <= 4; n++)
		wait_state(s, (first + 1) % INSTANCES, n, "completed");
	site_stop(s);
}

static void all_instances_are_killed_at_once(void **state)
{
	struct site *s = site_start(64);

	(void)state;
	for (uint32_t n = 1; n <= 4; n++)
		assert_int_equal(submit(s, 0, n, 6, 800), 200);
	for (uint32_t i = 0; i < INSTANCES; i++)
		instance_kill(s, i, SIGKILL);
	for (uint32_t i = 0; i < INSTANCES; i++)
		instance_start(s, i);
	for (uint32_t i = 0; i < INSTANCES; i++)
		wait_ready(s, i);
	for (uint32_t n = 1; n <= 4; n++)
		wait_state(s, 1, n, "completed");
	site_stop(s);
}

static void starts_are_carried_out_late(void **state)
{
	struct site *s = site_start(65);

	(void)state;
	control(s, "{\"late_starts\": 6, \"late_ms\": 2500}");
	assert_int_equal(submit(s, 0, 1, 4, 300), 200);
	wait_state(s, 1, 1, "completed");
	assert_int_equal(submit(s, 0, 2, 8, 3000), 200);
	wait_state(s, 1, 2, "completed");
	site_stop(s);
}

static void the_leader_is_frozen_and_wakes(void **state)
{
	struct site *s = site_start(66);
	uint32_t first = leader(s), other = (first + 1) % INSTANCES;

	(void)state;
	assert_int_equal(submit(s, other, 1, 8, 2000), 200);
	kill(s->instances[first], SIGSTOP);
	assert_int_equal(submit(s, other, 2, 4, 300), 200);
	wait_state(s, other, 2, "completed");
	kill(s->instances[first], SIGCONT);
	assert_int_equal(submit(s, first, 3, 4, 300), 200);
	for (uint32_t n = 1; n <= 3; n++)
		wait_state(s, other, n, "completed");
	site_stop(s);
}

static void a_cancelled_job_stops(void **state)
{
	struct site *s = site_start(67);
	char *path = job_path(1);

	(void)state;
	assert_int_equal(submit(s, 0, 1, 4, 60000), 200);
	wait_state(s, 1, 1, "running");
	assert_int_equal(ask(s, s->callers[2], "DELETE", path, NULL, NULL),
			 200);
	wait_state(s, 1, 1, "canceled");
	for (uint64_t until = clock_mono_ms() + WAIT_MS;;) {
		json_t *v = NULL;
		json_int_t n;

		ask(s, s->store, "GET", "/record", NULL, &v);
		n = json_int_or(v, "running", -1);
		json_decref(v);
		if (!n)
			break;
		if (clock_mono_ms() > until)
			fail_msg("%d tasks still run", (int)n);
		loop_step(s->loop, 20);
	}
	g_free(path);
	site_stop(s);
}

static void a_store_that_refuses_is_said_at_once(void **state)
{
	struct site *s = site_start(68);
	uint64_t began;

	(void)state;
	assert_int_equal(submit(s, 0, 1, 2, 3000), 200);
	control(s, "{\"store\": \"refuse\"}");
	began = clock_mono_ms();
	assert_int_equal(submit(s, 0, 2, 2, 200), 503);
	assert_true(clock_mono_ms() - began < 2000);
	control(s, "{\"store\": \"ok\"}");
	wait_state(s, 0, 1, "completed");
	wait_ready(s, 0);
	assert_int_equal(submit(s, 0, 2, 2, 200), 200);
	wait_state(s, 0, 2, "completed");
	site_stop(s);
}

static void bad_input_is_refused_with_a_reason(void **state)
{
	static const char *const bodies[] = {
		"",
		"not JSON",
		"[]",
		"{\"spec\": \"1\"}",
		"{\"spec\": \"1\", \"steps\": []}",
		"{\"spec\": \"1\", \"steps\": [1]}",
		"{\"spec\": \"1\", \"steps\": [{\"count\": 0}]}",
		"{\"spec\": \"1\", \"steps\": [{\"count\": -1}]}",
		"{\"spec\": \"1\", \"steps\": [{\"count\": \"x\"}]}",
		"{\"spec\": \"1\", \"steps\": [{\"count\": 1, \"after\": "
		"[0]}]}",
		"{\"spec\": \"1\", \"steps\": [{\"count\": 1, \"cpu\": "
		"99999999999}]}",
		"{\"spec\": 1, \"steps\": [{\"count\": 1}]}",
	};
	struct site *s = site_start(69);
	json_t *v;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		v = NULL;
		assert_int_equal(ask(s, s->callers[0], "POST",
				     "/u/00000000000000aa", bodies[i], &v),
				 400);
		assert_true(strlen(json_str_or(v, "error", "")) > 0);
		json_decref(v);
	}
	assert_int_equal(ask(s, s->callers[0], "POST", "/u/short", "{}", NULL),
			 400);
	assert_int_equal(ask(s, s->callers[0], "GET", "/none/x", NULL, NULL),
			 404);
	assert_int_equal(
		ask(s, s->callers[0], "GET", "/u/00000000000000aa", NULL, NULL),
		410);
	site_stop(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_job_runs_to_its_end),
		cmocka_unit_test(a_repeated_submission_is_one_job),
		cmocka_unit_test(a_lost_answer_of_the_store_is_one_job),
		cmocka_unit_test(the_leader_is_killed_while_jobs_run),
		cmocka_unit_test(all_instances_are_killed_at_once),
		cmocka_unit_test(starts_are_carried_out_late),
		cmocka_unit_test(the_leader_is_frozen_and_wakes),
		cmocka_unit_test(a_cancelled_job_stops),
		cmocka_unit_test(a_store_that_refuses_is_said_at_once),
		cmocka_unit_test(bad_input_is_refused_with_a_reason),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
