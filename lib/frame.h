/* TCP connections that carry peer messages in frames. */
#ifndef LIB_FRAME_H
#define LIB_FRAME_H

#include <netinet/in.h>

#include "lib/intake.h"
#include "lib/loop.h"
#include "proto/peer.pb-c.h"

#define FRAME_MAX_BYTES (4u << 20)
#define FRAME_HEADER_BYTES 4

struct frame_conn;
struct frame_listener;

/* Callbacks of the connections of one listener or connect call. */
struct frame_events {
	void (*opened)(void *arg, struct frame_conn *c);
	void (*received)(void *arg, struct frame_conn *c,
			 const Lacewing__Envelope *e);
	void (*closed)(void *arg, struct frame_conn *c, const char *why);
};

struct frame_listener *frame_listen(struct loop *l,
				    const struct sockaddr_in *at,
				    const struct frame_events *ev, void *arg);
void frame_listener_set_intake(struct frame_listener *f, struct intake *in);
void frame_listener_destroy(struct frame_listener *f);
struct frame_conn *frame_connect(struct loop *l, const struct sockaddr_in *to,
				 const struct frame_events *ev, void *arg);
void frame_send(struct frame_conn *c, const Lacewing__Envelope *e);
void frame_close(struct frame_conn *c);
void frame_set_max(struct frame_conn *c, uint32_t max_bytes);
void frame_set_trusted(struct frame_conn *c);
uint64_t frame_bytes_sent(const struct frame_conn *c);

/*
 * Parse the first frame in buf.  Return its size in bytes, with *payload
 * and *payload_len set, 0 when it is incomplete, or -1 when its length is
 * 0 or more than FRAME_MAX_BYTES.
 */
int64_t frame_parse(const uint8_t *buf, size_t len, const uint8_t **payload,
		    uint32_t *payload_len);

#endif
