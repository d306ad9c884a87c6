/*
 * Each event is stamped by a hybrid logical clock: wall clock milliseconds
 * in the upper 48 bits, a counter in the lower 16.  A stamp received from
 * a peer moves the clock past it, so that an effect never sorts before its
 * cause.
 */
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "lib/event.h"
#include "lib/loop.h"

#define STAMP_COUNTER_BITS 16
#define EVENT_TEXT_BYTES 200
/* A name that an instance gives a job holds its own and two numbers. */
#define EVENT_NAME_BYTES 112

struct event {
	uint64_t stamp;
	char kind[32];
	char subject[EVENT_NAME_BYTES];
	char account[EVENT_NAME_BYTES];
	char text[EVENT_TEXT_BYTES];
};

struct event_ring {
	struct event *events;
	uint32_t capacity;
	uint64_t added_count;
	uint64_t last_stamp;
};

/* Create a ring that keeps the newest events, at most `capacity`. */
struct event_ring *event_ring_create(uint32_t capacity)
{
	struct event_ring *r = g_new0(struct event_ring, 1);

	r->events = g_new0(struct event, capacity);
	r->capacity = capacity;
	return r;
}

/* Free r and its events. */
void event_ring_destroy(struct event_ring *r)
{
	if (!r)
		return;
	g_free(r->events);
	g_free(r);
}

/* Advance the clock and return a stamp later than all earlier ones. */
uint64_t event_clock_advance(struct event_ring *r)
{
	uint64_t wall = clock_wall_ms() << STAMP_COUNTER_BITS;

	r->last_stamp = wall > r->last_stamp ? wall : r->last_stamp + 1;
	return r->last_stamp;
}

/* Move the clock up to a stamp received from a peer. */
void event_clock_observe(struct event_ring *r, uint64_t stamp)
{
	if (stamp > r->last_stamp)
		r->last_stamp = stamp;
}

/*
 * Add an event of a kind about subject (a job, request or upstream).
 * account may be NULL.  A full ring overwrites its oldest event.
 */
void event_add(struct event_ring *r, const char *kind, const char *subject,
	       const char *account, const char *fmt, ...)
{
	struct event *e = &r->events[r->added_count++ % r->capacity];
	va_list ap;

	e->stamp = event_clock_advance(r);
	g_strlcpy(e->kind, kind, sizeof(e->kind));
	g_strlcpy(e->subject, subject, sizeof(e->subject));
	g_strlcpy(e->account, account ? account : "", sizeof(e->account));
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, ap);
	va_end(ap);
}

/* Report whether e is later than since and about subject and account. */
static bool event_matches(const struct event *e, uint64_t since,
			  const char *subject, const char *account)
{
	if (e->stamp <= since)
		return false;
	if (subject && strcmp(subject, e->subject))
		return false;
	return !account || !strcmp(account, e->account);
}

/*
 * Return the events after stamp `since`, oldest first, as a JSON array.
 * A subject or account other than NULL selects only its own events.
 */
json_t *event_list(const struct event_ring *r, uint64_t since,
		   const char *subject, const char *account)
{
	json_t *out = json_array();
	uint64_t first =
		r->added_count > r->capacity ? r->added_count - r->capacity : 0;

	for (uint64_t i = first; i < r->added_count; i++) {
		const struct event *e = &r->events[i % r->capacity];

		if (!event_matches(e, since, subject, account))
			continue;
		json_array_append_new(
			out,
			json_pack("{s:I,s:I,s:s,s:s,s:s,s:s}", "stamp",
				  (json_int_t)e->stamp, "time_ms",
				  (json_int_t)(e->stamp >> STAMP_COUNTER_BITS),
				  "kind", e->kind, "subject", e->subject,
				  "account", e->account, "text", e->text));
	}
	return out;
}
