/*
 * What the leader has learned, kept in rows of its own so that a successor
 * goes on from there. Nothing depends on it: a row that is missing, malformed
 * or old costs what was learned only.
 */
#ifndef LEAD_LEARNED_H
#define LEAD_LEARNED_H

#include <stdbool.h>

#include "lead/replica.h"
#include "lib/counter.h"
#include "platform/rows.h"
#include "platform/settings.h"
#include "sched/estimator.h"

/* Table of these rows; a new leader reads it once. */
#define LEARNED_TABLE "lacewingspur-learned"
/* Maximum number of values of an entry. */
#define LEARNED_VALUES_MAX 8
/* Maximum number of lists. */
#define LEARNED_LISTS_MAX 4

/* A named entry of a list. */
struct learned_entry {
	const char *name; /* UTF-8 */
	const double *values;
	uint32_t values_len;
	bool changed; /* enough to be saved again; see note_saved */
};

typedef void (*learned_entry_fn)(void *arg, const struct learned_entry *e);

/*
 * A list of entries that is kept in rows PREFIX/N. An entry stays in the row
 * that its name chooses, so a change is written with a part of the list only.
 */
struct learned_list {
	const char *prefix;
	uint32_t rows;	     /* number of rows */
	uint32_t values_len; /* of each entry */
	/* Calls fn for each entry. */
	void (*for_each)(void *arg, learned_entry_fn fn, void *fn_arg);
	/*
	 * Takes over an entry that an earlier leader has saved; returns false
	 * if its values are not possible.
	 */
	bool (*restore)(void *arg, const char *name, const double *values);
	/*
	 * Notes that an entry is written as it is now. NULL: the list does not
	 * know which entries have changed; those do of which a value differs by
	 * more than `change` from what was written or restored.
	 */
	void (*note_saved)(void *arg, const char *name);
	double change;
	void *arg;
};

/* How many entries were read, and what was not. */
struct learned_result {
	uint32_t rows;
	uint32_t entries;
	uint32_t old_rows;
	uint32_t malformed; /* rows, and entries of other rows */
};

struct learned;

struct learned *learned_create(struct loop *l, struct rows *r,
			       struct counters *c,
			       const struct joint_settings *s);
void learned_destroy(struct learned *k);
void learned_add_list(struct learned *k, struct learned_list list);
void learned_start(struct learned *k);
void learned_add_rows(struct learned *k, struct rows_tx *t, uint64_t now_ms,
		      uint64_t store_ms);

void learned_decode_row(const struct learned_list *list, const char *text,
			uint64_t store_ms, GHashTable *saved,
			struct learned_result *result);
struct learned_list learned_durations(struct estimator *e);

#endif
