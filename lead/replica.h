/*
 * A replica of one of the platform's tables, kept current by the table's
 * change feed.
 */
#ifndef LEAD_REPLICA_H
#define LEAD_REPLICA_H

#include <glib.h>

#include "platform/rows.h"

struct replica;

/* The part list of a table that is not partitioned. */
extern const char *const replica_single_part[];

/* Called for a row; value is NULL if the row was removed. */
typedef void (*replica_row_fn)(void *arg, const char *key, const char *value,
			       uint64_t version);
typedef void (*replica_answer_fn)(void *arg);

struct replica_events {
	/* Called for each row that was added, changed or removed. */
	replica_row_fn changed;
	/* Called after the rows of an answer were applied; may be NULL. */
	replica_answer_fn answered;
};

struct replica *replica_create(struct loop *l, struct rows *r,
			       const char *table, const char *const *parts,
			       uint32_t wait_ms,
			       const struct replica_events *ev, void *arg);
void replica_destroy(struct replica *f);
bool replica_is_complete(const struct replica *f);
uint64_t replica_age_ms(const struct replica *f);
uint64_t replica_age_max_ms(const struct replica *f);
uint64_t replica_current_at_ms(const struct replica *f);
uint64_t replica_changes_after_ms(const struct replica *f);
void replica_refresh(struct replica *f);
void replica_expect_large_rows(struct replica *f);
bool replica_is_unanswered(const struct replica *f, uint32_t ms);
uint64_t replica_answered_since_ms(const struct replica *f);
uint64_t replica_version(const struct replica *f);
uint64_t replica_store_clock_ms(const struct replica *f);
uint64_t replica_answer_clock_ms(const struct replica *f);
void replica_set_poll_delay(struct replica *f, uint32_t poll_delay_ms);
void replica_limit_wait(struct replica *f, uint32_t wait_ms);
const char *replica_get(const struct replica *f, const char *key,
			uint64_t *version);
void replica_for_each(const struct replica *f, const char *prefix,
		      replica_row_fn fn, void *arg);

#endif
