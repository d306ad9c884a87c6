/* The row in which an instance publishes its address to its peers. */
#ifndef PEER_ROSTER_H
#define PEER_ROSTER_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/log.h"

#define PEER_NAME_BYTES INSTANCE_NAME_BYTES
/* Strength of an instance that is fit to lead any site, in percent. */
#define PEER_STRENGTH_MAX 100

struct peer_record {
	char *domain; /* of any length */
	struct sockaddr_in address;
	uint64_t incarnation;
	uint32_t strength;   /* fitness to lead, in percent */
	uint32_t memory_mb;  /* what the process may use; 0: not known */
	uint64_t written_ms; /* on the store's clock */
};

/*
 * Interval at which an instance rewrites its row. A row that has not been
 * written for three intervals belongs to an instance that is gone.
 */
#define ROSTER_INTERVAL_MS 600000

char *peer_record_encode(const struct peer_record *p);
bool peer_record_decode(const char *name, const char *text,
			struct peer_record *p);
void peer_record_clear(struct peer_record *p);
uint64_t peer_record_rank(const struct peer_record *p, const char *peer,
			  const char *domain, const char *instance);
bool peer_record_is_expired(const struct peer_record *p, uint64_t store_ms);

#endif
