/*
 * Leader election by the owner row, and the sequence of writes that only
 * the leader can make.
 */
#ifndef LEAD_ELECTION_H
#define LEAD_ELECTION_H

#include "lead/record.h"
#include "lib/counter.h"
#include "lib/loop.h"
#include "platform/rows.h"

struct election;

struct election_events {
	void (*gained)(void *arg, uint64_t version); /* version of the claim */
	void (*lost)(void *arg, const char *why);
	void (*committed)(void *arg);
	void (*write_due)(
		void *arg); /* the next write is due, even an empty one */
};

struct election *election_create(struct loop *l, struct rows *r,
				 struct counters *c, const char *instance,
				 uint64_t incarnation, uint32_t claim_delay_ms,
				 const struct election_events *ev, void *arg);
void election_destroy(struct election *o);
void election_apply_row(struct election *o, const char *value,
			uint64_t version);
void election_consider_claim(struct election *o, uint64_t answered_since_ms,
			     bool replicas_complete);
bool election_is_leader(const struct election *o);
bool election_write_in_flight(const struct election *o);
uint32_t election_last_write_ms(const struct election *o);
uint64_t election_epoch(const struct election *o);
uint64_t election_earlier_leases_end_ms(const struct election *o,
					uint32_t lease_ms);
void election_commit(struct election *o, struct rows_tx *t);
void election_resign(struct election *o);
void election_yield(struct election *o);

#endif
