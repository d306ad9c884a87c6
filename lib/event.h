/* Time line: a bounded ring of events with causally ordered stamps. */
#ifndef LIB_EVENT_H
#define LIB_EVENT_H

#include <stdint.h>
#include <jansson.h>

struct event_ring;

struct event_ring *event_ring_create(uint32_t capacity);
void event_ring_destroy(struct event_ring *r);
void event_add(struct event_ring *r, const char *kind, const char *subject,
	       const char *account, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));
json_t *event_list(const struct event_ring *r, uint64_t since,
		   const char *subject, const char *account);
uint64_t event_clock_advance(struct event_ring *r);
void event_clock_observe(struct event_ring *r, uint64_t stamp);

#endif
