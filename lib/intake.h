/*
 * Accounting of what a listener's connections hold: bytes that were received
 * and are not answered, and connections. It decides which connection to close
 * when a limit is exceeded. It knows no sockets.
 */
#ifndef LIB_INTAKE_H
#define LIB_INTAKE_H

#include <stdbool.h>
#include <stdint.h>

/* What a connection is doing. */
enum intake_state {
	INTAKE_IDLE,	 /* between requests */
	INTAKE_READING,	 /* a part of a request has arrived */
	INTAKE_HANDED,	 /* a request is with its handler, unanswered */
	INTAKE_REPLYING, /* the answer is not fully written */
	INTAKE_CLOSING,	 /* will be closed soon; not chosen again */
};

/* Why connections are closed or requests refused. */
enum intake_reason {
	INTAKE_BYTES,	     /* the budget of bytes is exceeded */
	INTAKE_CONNECTIONS,  /* there are too many connections */
	INTAKE_SLOW_REQUEST, /* a request takes too long to arrive */
	INTAKE_SLOW_READER,  /* an answer is not read */
	INTAKE_REFUSED,	     /* a whole request is refused for its bytes */
	INTAKE_REASON_COUNT,
};

struct intake_limits {
	uint64_t bytes;
	uint64_t reserve_bytes; /* the part of bytes for small holders */
	uint32_t connections;
	uint32_t request_ms; /* from the first byte of a request to its last */
	uint32_t reply_ms;   /* to write an answer */
};

/* A connection, embedded in its owner's object. */
struct intake_conn {
	enum intake_state state;
	bool served;  /* it has had a request handed on */
	bool trusted; /* closed only if there is no other choice */
	uint64_t bytes;
	uint64_t state_ms;    /* when the state was entered */
	uint64_t progress_ms; /* when bytes last arrived */
	uint32_t slot;	      /* position in the intake */
};

struct intake;

struct intake *intake_create(const struct intake_limits *l);
void intake_destroy(struct intake *in);
void intake_set_limits(struct intake *in, const struct intake_limits *l);

void intake_open(struct intake *in, struct intake_conn *c, uint64_t now_ms);
void intake_close(struct intake *in, struct intake_conn *c);
void intake_update(struct intake *in, struct intake_conn *c,
		   enum intake_state state, uint64_t bytes, bool progress,
		   uint64_t now_ms);

void intake_hold(struct intake *in, uint64_t bytes);
void intake_release(struct intake *in, uint64_t bytes);

bool intake_has_excess_bytes(const struct intake *in);
bool intake_allows(const struct intake *in, uint64_t bytes);
bool intake_can_make_room(const struct intake *in);
bool intake_is_full(const struct intake *in);
struct intake_conn *intake_pick_for_bytes(const struct intake *in,
					  uint64_t now_ms);
struct intake_conn *intake_pick_for_room(const struct intake *in,
					 uint64_t now_ms);
struct intake_conn *intake_pick_overdue(const struct intake *in,
					uint64_t now_ms,
					enum intake_reason *why);

void intake_count(struct intake *in, enum intake_reason why);
uint64_t intake_counted(const struct intake *in, enum intake_reason why);
const char *intake_reason_name(enum intake_reason why);
uint64_t intake_bytes(const struct intake *in);
uint32_t intake_connections(const struct intake *in);
struct intake_conn *intake_connection_at(const struct intake *in, uint32_t i);

#endif
