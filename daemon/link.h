/*
 * The peer task's state, shared by peer.c (links and membership) and
 * passing.c (checks that one instance runs for another) only.
 */
#ifndef DAEMON_LINK_H
#define DAEMON_LINK_H

#include <glib.h>

#include "daemon/peer.h"
#include "lib/frame.h"

struct link {
	struct peers *peers;
	struct frame_conn *conn;
	char address[ADDRESS_TEXT_BYTES]; /* the peer's, once known */
	char name[64];
	uint64_t opened_ms;
	uint64_t heard_ms;
	bool outgoing;
	bool greeted;
};

struct target {
	char address[ADDRESS_TEXT_BYTES];
	char domain[64]; /* empty until it is known */
};

/* A check that was passed on, or that a peer has passed to us. */
struct passed {
	struct link *link; /* NULL when the link has gone */
	uint64_t ticket;   /* the other side's */
	uint64_t local;
	struct timer timer;
	struct peers *peers;
};

struct peers {
	struct env *env;
	struct frame_listener *listener;
	GPtrArray *links;
	GHashTable *targets;  /* address to struct target */
	GHashTable *states;   /* name to struct peer_state */
	GHashTable *sent;     /* ticket to struct passed: by us */
	GHashTable *received; /* ticket to struct passed: to us */
	struct timer timer;
	uint64_t next_ticket;
	char self[ADDRESS_TEXT_BYTES];
	struct config *config;
	struct role role;
	bool leaving;
	uint64_t bytes_told;
	uint32_t beats;
};

/* passing.c */
void passing_free(void *v);
void passing_send(struct peers *p, struct message *m);
void passing_take(struct link *l, const Lacewing__Check *c);
void passing_answer(struct peers *p, const struct message *m);
void passing_answered(struct link *l, const Lacewing__CheckAnswer *a);
void passing_forget(struct peers *p, const struct link *l);

#endif
