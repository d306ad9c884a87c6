/* A site of real processes on the joint platform's stand-in. */
#ifndef TEST_JOINTSITE_H
#define TEST_JOINTSITE_H

#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <sys/types.h>

#include "lib/http.h"
#include "lib/schema.h"

#define INSTANCES 3
#define UPSTREAMS 4
#define WAIT_MS 20000

/* A platform and three instances on addresses of their own. */
struct joint_site {
	uint32_t net; /* second octet of every address: one for each test */
	char dir[64];
	struct loop *loop;
	struct http_client *http;
	struct http_pool *store;
	struct http_pool *callers[INSTANCES];
	pid_t platform;
	pid_t store_proxy;    /* between each instance and the store */
	pid_t upstream_proxy; /* between the instances and each upstream */
	struct http_pool *store_control;
	struct http_pool *upstream_control;
	pid_t instances[INSTANCES];
};

struct joint_site *joint_start(uint32_t net);
void joint_stop(struct joint_site *s);
void joint_instance_start(struct joint_site *s, uint32_t i);
void joint_instance_kill(struct joint_site *s, uint32_t i, int signo);
void joint_wait_ready(struct joint_site *s, uint32_t i);
/* Wait until an instance knows where all of its peers are. */
void joint_wait_peers(struct joint_site *s, uint32_t i);
/* Put a configuration with this version and the team's only key. */
void joint_put_policy(struct joint_site *s, uint32_t version, const char *key);
void joint_control(struct joint_site *s, const char *body);
/* Set the time of day of one instance off by so many seconds. */
void joint_clock(struct joint_site *s, uint32_t i, int32_t off_s);
/* Modes of fake/cutter, for the way of one instance to the store, and for
 * the way of all instances to one upstream. */
void joint_store_link(struct joint_site *s, uint32_t i, const char *mode,
		      uint32_t delay_ms);
void joint_upstream_link(struct joint_site *s, uint32_t u, const char *mode,
			 uint32_t delay_ms);
uint32_t joint_leader(struct joint_site *s);

/* Ask and wait; the status, 0 when no answer came. */
int joint_ask(struct joint_site *s, struct http_pool *p, const char *method,
	      const char *path, const char *body, json_t **out);
char *joint_job_path(uint32_t n);
int joint_submit(struct joint_site *s, uint32_t i, uint32_t n, uint32_t tasks,
		 uint32_t run_ms);
void joint_wait_state(struct joint_site *s, uint32_t i, uint32_t n,
		      const char *state);
bool joint_in_state(struct joint_site *s, uint32_t i, uint32_t n,
		    const char *state);

#endif
