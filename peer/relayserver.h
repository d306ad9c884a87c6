/* Server for peers that send store calls through this instance. */
#ifndef PEER_RELAYSERVER_H
#define PEER_RELAYSERVER_H

#include "lib/counter.h"
#include "peer/link.h"

struct relay_server;

struct relay_server_env {
	struct loop *loop;
	struct counters *counters;
	struct intake *intake; /* counts the peers' connections, or NULL */
	/* Reports whether an instance belongs to this deployment. */
	bool (*is_known_peer)(void *arg, const char *name);
	/*
	 * Makes a store call. Returns false, and does not call done, if the
	 * call was not sent.
	 */
	bool (*serve_call)(void *arg, const struct link_call *c,
			   http_done_fn done, void *done_arg);
	void *arg;
};

struct relay_server *relay_server_create(const struct relay_server_env *e,
					 const struct sockaddr_in *at);
void relay_server_destroy(struct relay_server *s);

#endif
