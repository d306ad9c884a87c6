/*
 * The state of the peer task, private to peer.c (links and membership) and
 * forward.c (checks that one instance forwards to another).
 */
#ifndef DAEMON_LINK_H
#define DAEMON_LINK_H

#include <glib.h>

#include "daemon/peer.h"
#include "lib/frame.h"

struct link {
	struct peers *peers;
	struct frame_conn *conn;
	char address[ADDRESS_TEXT_BYTES]; /* the peer's, empty if unknown */
	char name[64];
	uint64_t opened_ms;
	uint64_t heard_ms; /* newest message, monotonic */
	bool outgoing;
	bool hello_received;
};

struct endpoint {
	char address[ADDRESS_TEXT_BYTES];
	char domain[64]; /* empty until it is known */
};

/* A check forwarded to a peer, or received from one. */
struct forwarded_check {
	struct link *link; /* NULL after the link closed */
	uint64_t ticket;   /* in messages on the link */
	uint64_t local_ticket;
	struct timer timer;
	struct peers *peers;
};

struct peers {
	struct env *env;
	struct frame_listener *listener;
	GPtrArray *links;
	GHashTable *endpoints;	      /* address to struct endpoint */
	GHashTable *states;	      /* name to struct peer_state */
	GHashTable *forwarded_checks; /* local ticket to forwarded_check */
	GHashTable *received_checks;  /* the same, for checks of peers */
	struct timer timer;
	uint64_t last_ticket;
	char own_address[ADDRESS_TEXT_BYTES];
	struct config *config;
	struct role role;
	bool leaving;
	uint64_t bytes_reported;
	uint32_t heartbeat_count;
};

/* forward.c */
void forward_free(void *v);
void forward_send_check(struct peers *p, struct message *m);
void forward_receive_check(struct link *l, const Lacewing__Check *c);
void forward_send_answer(struct peers *p, const struct message *m);
void forward_receive_answer(struct link *l, const Lacewing__CheckAnswer *a);
void forward_drop_link(struct peers *p, const struct link *l);

#endif
