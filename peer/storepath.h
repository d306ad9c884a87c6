/*
 * Chooses the path of store calls: direct, or through a peer while the store
 * refuses this instance or is unreachable from it. These functions do no I/O;
 * `now_ms` is this process's monotonic clock.
 */
#ifndef PEER_STOREPATH_H
#define PEER_STOREPATH_H

#include <stdbool.h>
#include <stdint.h>

struct store_path {
	uint32_t failures;    /* failed direct calls since the last answer */
	uint64_t answered_ms; /* time of the last answer; 0: none yet */
};

bool store_path_record(struct store_path *w, bool answered, uint64_t now_ms);
bool store_path_is_relayed(const struct store_path *w);
bool store_path_can_serve(const struct store_path *w, uint64_t now_ms);

#endif
