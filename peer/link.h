/* A connection to a peer, which makes store calls on behalf of this instance. */
#ifndef PEER_LINK_H
#define PEER_LINK_H

#include "lib/frame.h"
#include "lib/http.h"

struct link;

/* What an instance states about itself when it connects to a peer. */
struct link_hello {
	const char *instance;
	const char *domain;
	uint64_t incarnation;
};

enum link_outcome {
	LINK_ANSWERED,
	LINK_DECLINED,	 /* the peer did not make the call */
	LINK_NOT_SENT,	 /* there was no connection to the peer */
	LINK_UNANSWERED, /* no answer; the call may have been made */
};

struct link_call {
	const char *method;
	const char *path;
	const char *body;    /* may be NULL */
	uint32_t timeout_ms; /* timeout of the store's answer */
};

/* r is NULL unless the outcome is LINK_ANSWERED. */
typedef void (*link_done_fn)(void *arg, enum link_outcome o,
			     const struct http_result *r);

#define LINK_PROTOCOL_VERSION 2

struct link *link_create(struct loop *l, const struct sockaddr_in *to,
			 const struct link_hello *h);
void link_destroy(struct link *k);
bool link_is_idle(const struct link *k);
void link_send_call(struct link *k, const struct link_call *c,
		    link_done_fn done, void *arg);
const char *link_outcome_name(enum link_outcome o);

#endif
