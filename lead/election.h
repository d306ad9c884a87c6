/*
 * Leader election by the owner row, and the sequence of writes that only
 * the leader can make.
 */
#ifndef LEAD_ELECTION_H
#define LEAD_ELECTION_H

#include "lead/record.h"
#include "lead/tenure.h"
#include "lib/counter.h"
#include "lib/loop.h"
#include "platform/rows.h"

/*
 * A follower claims the leadership when the row has not changed for this long
 * while the store answered: five write intervals.
 */
#define TAKEOVER_TIMEOUT_MS 1500

struct election;

struct election_events {
	/* This instance leads; version is that of the committed claim. */
	void (*gained)(void *arg, uint64_t version);
	/* This instance no longer leads; why is a constant text. */
	void (*lost)(void *arg, const char *why);
	/* A write other than the claim was committed. */
	void (*committed)(void *arg);
	/* The next write is due, even if there is nothing to record. */
	void (*write_due)(void *arg);
};

struct election *election_create(struct loop *l, struct rows *r,
				 struct counters *c, const char *instance,
				 uint64_t incarnation, uint32_t claim_delay_ms,
				 const struct election_events *ev, void *arg);
void election_destroy(struct election *e);
void election_apply_row(struct election *e, const char *value,
			uint64_t version);
void election_note_larger_peers(struct election *e, bool known);
void election_consider_claim(struct election *e, uint64_t answered_since_ms,
			     bool replicas_complete);
bool election_is_leader(const struct election *e);
bool election_write_in_flight(const struct election *e);
uint32_t election_last_write_ms(const struct election *e);
uint64_t election_epoch(const struct election *e);
const struct tenure *election_tenure(const struct election *e);
void election_commit(struct election *e, struct rows_tx *t);
void election_resign(struct election *e);
void election_yield(struct election *e);

#endif
