/*
 * An upstream with its incarnations, the calls on their way to it, and leaders
 * that follow lead/contact.h. Calls are lost, carried out late, after newer ones
 * and more than once, by whichever incarnation is there; the source of choices
 * decides. A breach is reported by the callback.
 */
#ifndef TEST_CALLWORLD_H
#define TEST_CALLWORLD_H

#include <stdbool.h>
#include <stdint.h>

struct call_world;

struct call_world_source {
	/* Returns a number below n. */
	uint32_t (*choose)(void *arg, uint32_t n);
	/* Called with a text that says which promise is broken. */
	void (*breach)(void *arg, const char *what);
	void *arg;
};

struct call_world *call_world_create(const struct call_world_source *s);
void call_world_destroy(struct call_world *w);
void call_world_step(struct call_world *w);
void call_world_settle(struct call_world *w);

#endif
