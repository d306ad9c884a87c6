/*
 * Fuzz of what calls to an upstream may carry: the input chooses the course of
 * restarts, changes of leader, and calls that are lost or late.
 */
#include <stdio.h>
#include <stdlib.h>

#include "test/callworld.h"

/* Steps beyond the input would all be alike. */
struct input {
	const uint8_t *data;
	size_t len, used;
};

static uint32_t choose(void *arg, uint32_t n)
{
	struct input *in = arg;

	return in->used < in->len ? in->data[in->used++] % n : 0;
}

static void breach(void *arg, const char *what)
{
	(void)arg;
	fprintf(stderr, "oracle: %s\n", what);
	abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct input in = {data, len, 0};
	struct call_world_source source = {choose, breach, &in};
	struct call_world *w = call_world_create(&source);

	while (in.used < in.len)
		call_world_step(w);
	call_world_settle(w);
	call_world_destroy(w);
	return 0;
}
