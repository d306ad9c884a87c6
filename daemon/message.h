/*
 * Messages between the tasks of one instance.  A task owns its sockets and
 * state, and communicates with other tasks only by these messages.
 */
#ifndef DAEMON_MESSAGE_H
#define DAEMON_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

#include "lib/verdict.h"

struct config;

enum task_id {
	TASK_CALLER,	  /* HTTP server for callers and operators */
	TASK_CHECK,	  /* quick checks */
	TASK_JOB,	  /* accepted jobs as rows of the table */
	TASK_COORDINATOR, /* leader election, leases and gangs */
	TASK_PLATFORM,	  /* client of the platform */
	TASK_PEER,	  /* other instances */
	TASK_CONFIG,	  /* the configuration */
	TASK_COUNT,
};

/* A quick check to be run at an upstream. */
struct check {
	json_t *request;      /* validated by the caller task */
	uint64_t deadline_ms; /* monotonic */
	bool forwarded;	      /* from a peer: must not be forwarded again */
};

struct check_result {
	struct verdict verdict;
	char *upstream;
	json_t *answer; /* NULL unless it ran */
};

struct txn_result {
	struct verdict verdict;
	uint64_t version;
	json_t *conflict; /* the row whose version was not the expected */
};

struct rows {
	json_t *list;	   /* [{"key", "version", "value"}] */
	uint64_t complete; /* every row up to this version is known */
	/* When the scan was sent, or 0 if more rows remain to be read. */
	uint64_t caught_up_ms;
};

struct peer_state {
	char name[64];
	char domain[64];
	char http_address[32];
	uint64_t incarnation;
	uint64_t epoch;
	uint64_t config_version;
	uint64_t heard_ms; /* monotonic */
	bool is_leader;
	bool is_candidate;
	bool leaving;
	bool ready;
	bool reachable;
};

struct peer_list {
	uint32_t len;
	struct peer_state peers[];
};

struct members {
	json_t *list;
	uint64_t asked_ms; /* when the list was asked for, monotonic */
};

enum request_kind {
	REQUEST_SUBMIT_JOB,
	REQUEST_GET_JOB,
	REQUEST_LIST_JOBS,
	REQUEST_CANCEL_JOB,
	REQUEST_EXPLAIN_JOB,
	REQUEST_LIST_STUCK,
	REQUEST_LIST_UPSTREAMS,
	REQUEST_LIST_INSTANCES,
	REQUEST_GET_CONFIG,
	REQUEST_APPLY_CONFIG,
	REQUEST_REBIND,
};

struct request {
	enum request_kind kind;
	char *name;
	json_t *body;
};

struct response {
	struct verdict verdict;
	int status; /* HTTP status; 0: derived from verdict */
	json_t *body;
};

/* The coordinator's role, sent to peers in heartbeats. */
struct role {
	uint64_t epoch;
	bool is_leader;
	bool is_candidate;
	json_t *leaving; /* names of upstreams that are leaving */
};

enum message_tag {
	MSG_CHECK,	      /* check: run it */
	MSG_CHECK_DONE,	      /* check_result */
	MSG_TXN,	      /* json: operations of one transaction */
	MSG_TXN_DONE,	      /* txn */
	MSG_READ,	      /* json: the key as a string */
	MSG_READ_DONE,	      /* txn: conflict is the row, or NULL */
	MSG_ROWS,	      /* rows: those that have changed */
	MSG_ROWS_REQUEST,     /* number: a peer requests rows above it */
	MSG_ROWS_FORWARD,     /* rows: forward to peers */
	MSG_MEMBERS,	      /* members: the platform's list */
	MSG_TABLE_STATE,      /* flag: the table is reachable */
	MSG_CONFIG,	      /* config: the newest snapshot */
	MSG_PEERS,	      /* peers */
	MSG_ROLE,	      /* role */
	MSG_UPSTREAM_LEAVING, /* json: {"name", "why"}; no new work */
	MSG_JOB_ROW,	      /* json: a job's row */
	MSG_JOB_UPDATE,	      /* json: {"key", "attempt", "state", ...} */
	MSG_JOB_SAVED,	      /* json: the update that was committed */
	MSG_CAUGHT_UP,	      /* number: time of the last full scan */
	MSG_REQUEST,	      /* request */
	MSG_RESPONSE,	      /* response */
	MSG_REFRESH,	      /* read the table and the list now */
	MSG_DRAIN,	      /* stop taking new work */
};

struct message {
	enum message_tag tag;
	enum task_id from;
	enum task_id to;
	uint64_t ticket; /* the sender's request id, echoed in the answer */
	union {
		struct check check;
		struct check_result check_result;
		json_t *json;
		struct txn_result txn;
		struct rows rows;
		struct members members;
		uint64_t number;
		bool flag;
		struct config *config;
		struct peer_list *peers;
		struct role role;
		struct request request;
		struct response response;
	};
};

struct bus;

typedef void (*receive_fn)(void *task, struct message *m);

struct bus *bus_create(void);
void bus_destroy(struct bus *b);
void bus_attach(struct bus *b, enum task_id id, receive_fn fn, void *task);
void bus_post(struct bus *b, const struct message *m);
void bus_deliver(struct bus *b);

void post_txn(struct bus *b, enum task_id from, uint64_t ticket, json_t *ops);
void post_read(struct bus *b, enum task_id from, uint64_t ticket,
	       const char *key);
void post_response(struct bus *b, const struct message *request,
		   struct verdict v, json_t *body);
void post_accepted_response(struct bus *b, const struct message *request,
			    json_t *body);
void post_json(struct bus *b, enum message_tag tag, enum task_id from,
	       enum task_id to, json_t *v);

#endif
