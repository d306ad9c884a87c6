/*
 * Store calls, sent directly or through a peer. An instance that the store
 * refuses keeps working through peers that the store still answers.
 */
#ifndef PEER_RELAY_H
#define PEER_RELAY_H

#include "lib/counter.h"
#include "lib/http.h"
#include "peer/roster.h"

struct relay;

struct relay_env {
	struct loop *loop;
	struct http_client *http;
	struct counters *counters;
	struct intake *intake; /* counts the peers' connections, or NULL */
	const char *instance;
	const char *domain;
	uint64_t incarnation;
	struct sockaddr_in store;
	struct sockaddr_in listen;
	const char *probe_path; /* path of a cheap GET at the store */
};

struct relay *relay_create(const struct relay_env *e);
void relay_destroy(struct relay *r);
void relay_update_peer(struct relay *r, const char *name,
		       const struct peer_record *p);
bool relay_send_call(void *arg, const char *method, const char *path,
		     const char *body, uint32_t timeout_ms, http_done_fn done,
		     void *done_arg);
uint32_t relay_count_peers(const struct relay *r);
uint32_t relay_count_stronger_peers(const struct relay *r, uint32_t strength);
uint32_t relay_count_larger_peers(const struct relay *r, uint32_t memory_mb);
uint32_t relay_least_memory_mb(const struct relay *r);
bool relay_uses_peers(const struct relay *r);

#endif
