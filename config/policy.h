/*
 * The configuration that the operators of a joint platform provide:
 * queues, services and client accounts.  A policy is immutable once read, and
 * owns its texts, which may have any length.
 */
#ifndef CONFIG_POLICY_H
#define CONFIG_POLICY_H

#include <stdbool.h>
#include <stdint.h>

#include "sched/job.h"

/* Bounds of the settings of a queue. */
#define QUEUE_PRIORITY_MAX 1000
#define QUEUE_ATTEMPTS_MAX 1000000
#define QUEUE_SLACK_FACTOR_MAX 1000
#define QUEUE_TARGET_MAX_MS (INT64_C(366) * 24 * 60 * 60 * 1000)

struct queue {
	char *name;
	char *host;
	char *prefix; /* of the path */
	char *service;
	uint32_t priority; /* 0 is the most urgent */
	uint32_t max_attempts;
	uint32_t timeout_ms;
	uint64_t target_ms; /* objective: slack x longest chain + target_ms */
	double slack_factor;
	bool allows_anonymous; /* requests need no key */
	bool uses_advisor;     /* asks which upstreams may run a step */
};

struct service {
	char *name;
	bool enforces_capacity; /* its upstreams refuse excess work */
	bool standby;
};

struct account {
	char *name;
	char **keys;	    /* ends with NULL */
	int64_t guaranteed; /* accelerators; 0 for none */
};

struct policy {
	uint64_t version;
	uint32_t queues_len;
	struct queue *queues;
	uint32_t services_len;
	struct service *services;
	uint32_t accounts_len;
	struct account *accounts;
	uint32_t max_body_bytes;
	uint32_t refused_parts; /* malformed items, which were left out */
};

struct policy *policy_create(uint64_t version);
void policy_destroy(struct policy *p);
struct queue *policy_add_queue(struct policy *p);
struct service *policy_add_service(struct policy *p);
struct account *policy_add_account(struct policy *p);
const struct queue *policy_match_queue(const struct policy *p, const char *host,
				       const char *path);
const struct queue *policy_find_queue(const struct policy *p, const char *name);
void queue_configure_job(const struct queue *q, struct job *j);
bool policy_enforces_capacity(const struct policy *p, const char *service);
const struct account *policy_find_account(const struct policy *p,
					  const char *key);

#endif
