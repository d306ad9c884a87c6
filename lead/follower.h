/* A copy of one of the platform's tables, kept up by its feed. */
#ifndef LEAD_FOLLOWER_H
#define LEAD_FOLLOWER_H

#include <glib.h>

#include "platform/rows.h"

struct follower;

/* The parts of a table that is not divided. */
extern const char *const follower_one_part[];

/* value is NULL when the row was removed. */
typedef void (*row_changed_fn)(void *arg, const char *key, const char *value,
			       uint64_t version);
typedef void (*follower_event_fn)(void *arg);

struct follower_events {
	row_changed_fn changed;
	follower_event_fn answered; /* after each answer of the store */
};

struct follower *follower_create(struct loop *l, struct rows *r,
				 const char *table, const char *const *parts,
				 uint32_t wait_ms,
				 const struct follower_events *ev, void *arg);
void follower_destroy(struct follower *f);
bool follower_complete(const struct follower *f);
uint64_t follower_age_ms(const struct follower *f);
uint64_t follower_asked_ms(const struct follower *f);
void follower_hurry(struct follower *f);
void follower_expect_large(struct follower *f);
bool follower_silent(const struct follower *f, uint32_t ms);
uint64_t follower_answered_since_ms(const struct follower *f);
uint64_t follower_version(const struct follower *f);
uint64_t follower_store_ms(const struct follower *f);
void follower_set_gap(struct follower *f, uint32_t gap_ms);
const char *follower_get(const struct follower *f, const char *key,
			 uint64_t *version);
void follower_each(const struct follower *f, const char *prefix,
		   row_changed_fn fn, void *arg);

#endif
