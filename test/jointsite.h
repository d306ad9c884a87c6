/* Runs instances and a fake of the joint platform as processes for a test. */
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

/* The shape of most sites. */
#define INSTANCE_COUNT 3
#define INSTANCE_COUNT_MAX 40
#define UPSTREAM_COUNT 4
#define LEASE_MS 3000
#define WAIT_TIMEOUT_MS 20000
/* Accelerators of an upstream, of which a run takes one. */
#define UPSTREAM_ROOM 8
/* Starts of a task after three upstreams have crashed under it stay below. */
#define FURTHER_STARTS_LIMIT 3

struct joint_shape {
	uint32_t instances;
	uint32_t upstreams;
	uint32_t domains; /* instances and upstreams are spread over them */
	uint32_t lease_ms;
	uint32_t evacuate_ms; /* 0: evacuations are ignored */
	bool unguarded;
	bool real_clocks; /* no joint_set_clock_offset */
	/* limits in the instances' settings, 0: not stated */
	uint32_t memory_mb;
	uint32_t descriptors;
};

/* A fake platform and its instances on addresses from 127.NET.9.0 on. */
struct joint_site {
	uint32_t net; /* second octet of every address: one for each test */
	char dir[64];
	uint32_t instance_count;
	uint32_t upstream_count;
	uint32_t domain_count;
	uint32_t lease_ms;
	uint32_t evacuate_ms;
	bool real_clocks;
	bool unguarded; /* upstreams carry out starts beyond their room */
	bool divided;	/* there are several failure domains */
	uint32_t memory_mb;
	uint32_t descriptors;
	struct loop *loop;
	struct http_client *http;
	struct http_pool *store;
	struct http_pool *callers[INSTANCE_COUNT_MAX];
	pid_t platform;
	/* fake/cutter.c with one link from each instance to the store, and
	 * with one link from all instances to each upstream */
	pid_t store_proxy;
	pid_t upstream_proxy;
	/* with one link from each failure domain to each upstream and each
	 * instance, if the site is divided */
	pid_t domain_proxy;
	struct http_pool *domain_control;
	struct http_pool *store_control;
	struct http_pool *upstream_control;
	pid_t instances[INSTANCE_COUNT_MAX];
};

struct joint_site *joint_start(uint32_t net);
struct joint_site *joint_start_unguarded(uint32_t net);
struct joint_site *joint_start_divided(uint32_t net, bool unguarded);
struct joint_site *joint_start_shape(uint32_t net,
				     const struct joint_shape *shape);
void joint_stop(struct joint_site *s);
json_t *joint_record(struct joint_site *s);
int joint_count(struct joint_site *s, const char *name);
int joint_crashes_under_one_task(struct joint_site *s);
void joint_check_record(struct joint_site *s);
void joint_instance_start(struct joint_site *s, uint32_t i);
void joint_instance_kill(struct joint_site *s, uint32_t i, int signo);
void joint_wait_ready(struct joint_site *s, uint32_t i);
void joint_wait_peers(struct joint_site *s, uint32_t i);
void joint_put_config(struct joint_site *s, uint32_t version, const char *key);
void joint_put_config_text(struct joint_site *s, const char *config);
void joint_set_evacuated(struct joint_site *s, uint32_t d, bool evacuated);
void joint_control_platform(struct joint_site *s, const char *body);
void joint_set_room(struct joint_site *s, uint32_t u, uint32_t room);
void joint_set_clock_offset(struct joint_site *s, uint32_t i, int32_t off_s);
void joint_set_store_link(struct joint_site *s, uint32_t i, const char *mode,
			  uint32_t delay_ms);
void joint_set_upstream_link(struct joint_site *s, uint32_t u, const char *mode,
			     uint32_t delay_ms);
void joint_set_own_link(struct joint_site *s, uint32_t i, uint32_t u,
			const char *mode);
uint32_t joint_instance_domain(const struct joint_site *s, uint32_t i);
uint32_t joint_upstream_domain(const struct joint_site *s, uint32_t u);
void joint_set_domain_links(struct joint_site *s, uint32_t d, const char *mode);
bool joint_is_leader(struct joint_site *s, uint32_t i);
uint32_t joint_wait_leader(struct joint_site *s);
uint32_t joint_count_log(struct joint_site *s, uint32_t i, const char *value);
void joint_wait_log(struct joint_site *s, uint32_t i, const char *value,
		    uint32_t n);

int joint_request(struct joint_site *s, struct http_pool *p, const char *method,
		  const char *path, const char *body, json_t **out);
int joint_request_as(struct joint_site *s, struct http_pool *p, const char *key,
		     const char *method, const char *path, const char *body,
		     json_t **out);
char *joint_job_path(uint32_t n);
int joint_submit(struct joint_site *s, uint32_t i, uint32_t n, uint32_t tasks,
		 uint32_t run_ms);
int joint_submit_gang(struct joint_site *s, uint32_t i, uint32_t n,
		      uint32_t tasks, uint32_t run_ms);
int joint_submit_crash(struct joint_site *s, uint32_t i, uint32_t n,
		       uint32_t crash_ms);
void joint_wait_state(struct joint_site *s, uint32_t i, uint32_t n,
		      const char *state);
void joint_wait_completed(struct joint_site *s, uint32_t i, uint32_t n);
void joint_wait_count(struct joint_site *s, const char *name, int n,
		      uint64_t timeout_ms);
void joint_run_for(struct joint_site *s, uint64_t ms);
bool joint_in_state(struct joint_site *s, uint32_t i, uint32_t n,
		    const char *state);

#endif
