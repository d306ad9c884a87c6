/* Runs the daemons and the fakes of a test as processes and queries them. */
#ifndef TEST_SITE_H
#define TEST_SITE_H

#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <jansson.h>

#include "lib/http.h"
#include "lib/schema.h"

#define MAX_DOMAINS 3
#define MAX_INSTANCES 3

struct site_options {
	uint32_t net; /* second octet of every address: one for each test */
	uint32_t domains;
	uint32_t instances;   /* per domain */
	uint32_t workers;     /* per domain, at most eight per rack */
	const char *accounts; /* JSON array */
	const char *limits;   /* JSON object */
	bool cut_workers;  /* reach workers through the proxy fake/cutter.c */
	bool cut_platform; /* reach the platform through such proxies */
};

struct test_site;

struct test_site *site_start(const struct site_options *o);
void site_stop(struct test_site *s);
struct loop *test_loop(struct test_site *s);
struct http_client *test_http(struct test_site *s);

/* Addresses as IP:PORT; the 16th address made later overwrites a text. */
const char *at_instance(struct test_site *s, uint32_t domain, uint32_t i);
const char *at_platform(struct test_site *s);
const char *at_workers(struct test_site *s, uint32_t domain);
const char *at_worker_cutter(struct test_site *s, uint32_t domain);
const char *at_platform_cutter(struct test_site *s, uint32_t domain);

/* Signals to the instances, their end and their start. */
void instance_signal(struct test_site *s, uint32_t domain, uint32_t i,
		     int signo);
void instance_kill(struct test_site *s, uint32_t domain, uint32_t i);
void instance_wait(struct test_site *s, uint32_t domain, uint32_t i);
void instance_start(struct test_site *s, uint32_t domain, uint32_t i);

/* Requests and queries.  The caller frees the JSON values returned. */
json_t *ask(struct test_site *s, const char *server, const char *method,
	    const char *path, const char *body, int *status);
void command(struct test_site *s, const char *server, const char *path,
	     const char *body);
json_t *records(struct test_site *s, uint32_t domain);
uint32_t coordinator_of(struct test_site *s, uint32_t domain);
bool job_in_state(struct test_site *s, const char *job, const char *state);
void submit(struct test_site *s, uint32_t domain, uint32_t i, const char *body);
bool event_seen(struct test_site *s, uint32_t domain, uint32_t i,
		const char *kind, const char *subject);

/* Waits until the condition is true; fails the test after ms milliseconds. */
#define wait_for(s, ms, what)                                                  \
	do {                                                                   \
		uint64_t until_ms_ = clock_mono_ms() + (ms);                   \
		while (!(what)) {                                              \
			if (clock_mono_ms() > until_ms_)                       \
				fail_msg("not within %d ms: %s", (int)(ms),    \
					 #what);                               \
			loop_step(test_loop(s), 10);                           \
		}                                                              \
	} while (0)

/*
 * A stream of checks.  Each has a payload and a request id of its own, by
 * which its answer is verified.
 */
struct stream {
	struct test_site *site;
	uint32_t net;
	uint32_t concurrent; /* maximum of open checks */
	uint32_t total;
	const char *extra;   /* more JSON fields, such as "run_ms": 5 */
	bool non_idempotent; /* send a key and idempotent: false */
	uint32_t sent;
	uint32_t open;
	uint32_t ran;
	uint32_t did_not_run;
	uint32_t may_have_run;
	uint32_t wrong; /* answers that belong to another request */
	uint32_t cut;	/* checks without an answer from the instance */
	uint32_t targets_len;
	struct http_pool *targets[MAX_DOMAINS * MAX_INSTANCES];
	/* of each check: 'r' ran, 'd' did not run, 'm' may have run, 'c' cut */
	char *verdicts;
	struct histogram *latency; /* of checks that ran, in us; may be NULL */
};

void stream_target(struct stream *st, uint32_t domain, uint32_t i);
void stream_pump(struct stream *st);
bool stream_done(const struct stream *st);
void stream_free(struct stream *st);

#endif
