/* The upstreams of the domain, for quick checks. */
#ifndef DAEMON_ROSTER_H
#define DAEMON_ROSTER_H

#include "daemon/env.h"
#include "sched/health.h"

struct roster_upstream {
	char name[64];
	struct sockaddr_in address;
	struct http_pool *pool;
	struct health health;
	uint32_t slots;
	/* From its newest answer; 0 before the first one. */
	uint64_t incarnation;
	/* It gets no checks until then, because it refused one. */
	uint64_t refusal_backoff_until_ms;
	/* It gets no checks until then, because of a leaving notice. */
	uint64_t leaving_until_ms;
	bool configured;
	/* The platform lists it as not live, or no longer lists it. */
	bool not_live;
	bool was_listed;
};

struct roster;

struct roster *roster_create(struct env *env);
void roster_destroy(struct roster *r);
void roster_apply_config(struct roster *r, const struct config *c);
void roster_apply_members(struct roster *r, const json_t *list);
void roster_mark_leaving(struct roster *r, const char *name);
struct roster_upstream *roster_find_upstream(struct roster *r,
					     const char *name);
struct roster_upstream *
roster_choose_upstream(struct roster *r, struct roster_upstream *const *tried,
		       uint32_t tried_len);
uint32_t roster_count_slots(const struct roster *r);
json_t *roster_to_json(const struct roster *r);

#endif
