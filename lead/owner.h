/*
 * The owner row: who leads, and the chain of writes that only the leader
 * can make.
 */
#ifndef LEAD_OWNER_H
#define LEAD_OWNER_H

#include "lead/record.h"
#include "lib/counter.h"
#include "lib/loop.h"
#include "platform/rows.h"

struct owner;

struct owner_events {
	void (*gained)(void *arg, uint64_t version); /* of the claim */
	void (*lost)(void *arg, const char *why);
	void (*committed)(void *arg);
	void (*beat)(void *arg); /* time for a write, even an empty one */
};

struct owner *owner_create(struct loop *l, struct rows *r, struct counters *c,
			   const char *instance, uint64_t incarnation,
			   uint32_t handicap_ms, const struct owner_events *ev,
			   void *arg);
void owner_destroy(struct owner *o);
void owner_row(struct owner *o, const char *value, uint64_t version);
void owner_consider(struct owner *o, uint64_t answered_since_ms, bool complete);
bool owner_leads(const struct owner *o);
bool owner_writing(const struct owner *o);
uint32_t owner_write_ms(const struct owner *o);
uint64_t owner_epoch(const struct owner *o);
uint64_t owner_earlier_leases_ms(const struct owner *o, uint32_t lease_ms);
void owner_commit(struct owner *o, struct rows_tx *t);
void owner_retire(struct owner *o);
void owner_yield(struct owner *o);

#endif
