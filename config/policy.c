/* Policies: look-up of queues by request or name, of accounts by key. */
#include <string.h>

#include "config/policy.h"

/* Create an empty policy. */
struct policy *policy_create(uint64_t version)
{
	struct policy *p = g_new0(struct policy, 1);

	p->version = version;
	return p;
}

/* Free p; NULL is allowed. */
void policy_destroy(struct policy *p)
{
	if (!p)
		return;
	for (uint32_t i = 0; i < p->queues_len; i++) {
		g_free(p->queues[i].name);
		g_free(p->queues[i].host);
		g_free(p->queues[i].prefix);
		g_free(p->queues[i].service);
	}
	for (uint32_t i = 0; i < p->services_len; i++)
		g_free(p->services[i].name);
	for (uint32_t i = 0; i < p->accounts_len; i++) {
		g_free(p->accounts[i].name);
		g_strfreev(p->accounts[i].keys);
	}
	g_free(p->queues);
	g_free(p->services);
	g_free(p->accounts);
	g_free(p);
}

/* Append a zeroed queue; the pointer is valid until the next one. */
struct queue *policy_add_queue(struct policy *p)
{
	p->queues = g_renew(struct queue, p->queues, p->queues_len + 1);
	memset(&p->queues[p->queues_len], 0, sizeof(struct queue));
	return &p->queues[p->queues_len++];
}

/* Append a zeroed service; the pointer is valid until the next one. */
struct service *policy_add_service(struct policy *p)
{
	p->services = g_renew(struct service, p->services, p->services_len + 1);
	memset(&p->services[p->services_len], 0, sizeof(struct service));
	return &p->services[p->services_len++];
}

/* Append a zeroed account; the pointer is valid until the next one. */
struct account *policy_add_account(struct policy *p)
{
	p->accounts = g_renew(struct account, p->accounts, p->accounts_len + 1);
	memset(&p->accounts[p->accounts_len], 0, sizeof(struct account));
	return &p->accounts[p->accounts_len++];
}

/* Compare a request's host with host, ignoring case and a port. */
static bool host_matches(const char *asked, const char *host)
{
	size_t n = strcspn(asked, ":");

	return strlen(host) == n && !g_ascii_strncasecmp(asked, host, n);
}

/* Return the queue of host with the longest matching prefix, or NULL. */
const struct queue *policy_match_queue(const struct policy *p, const char *host,
				       const char *path)
{
	const struct queue *best = NULL;

	for (uint32_t i = 0; i < p->queues_len; i++) {
		const struct queue *q = &p->queues[i];

		if (!host_matches(host, q->host) ||
		    !g_str_has_prefix(path, q->prefix))
			continue;
		if (!best || strlen(q->prefix) > strlen(best->prefix))
			best = q;
	}
	return best;
}

/* Return the queue with this name, or NULL; p may be NULL. */
const struct queue *policy_find_queue(const struct policy *p, const char *name)
{
	for (uint32_t i = 0; p && i < p->queues_len; i++)
		if (!strcmp(p->queues[i].name, name))
			return &p->queues[i];
	return NULL;
}

/* Give j the queue and its settings. */
void queue_configure_job(const struct queue *q, struct job *j)
{
	text_set(&j->queue, q->name);
	j->queue_known = true;
	job_set_service(j, q->service);
	j->priority = q->priority;
	j->max_attempts = MAX(q->max_attempts, 1);
	j->slack_factor = q->slack_factor;
	j->target_ms = q->target_ms;
}

/* Report whether the upstreams of this service refuse excess work. */
bool policy_enforces_capacity(const struct policy *p, const char *service)
{
	for (uint32_t i = 0; i < p->services_len; i++)
		if (!strcmp(p->services[i].name, service))
			return p->services[i].enforces_capacity;
	return false;
}

/* Return the account that has the key, or NULL. */
const struct account *policy_find_account(const struct policy *p,
					  const char *key)
{
	for (uint32_t i = 0; i < p->accounts_len; i++)
		for (char **k = p->accounts[i].keys; *k; k++)
			if (!strcmp(*k, key))
				return &p->accounts[i];
	return NULL;
}
