/* Starts that were decided and wait until a write has recorded them. */
#ifndef LEAD_STARTS_H
#define LEAD_STARTS_H

#include "lead/model.h"

struct starts;

struct starts *starts_create(void);
void starts_destroy(struct starts *s);
void starts_clear(struct starts *s);
void starts_plan(struct starts *s, const struct task *t);
void starts_note_write_sent(struct starts *s, const struct model *m);
GPtrArray *starts_take_recorded(struct starts *s, const struct model *m);
void starts_drop_excess(const GPtrArray *tasks, uint64_t now_ms);

#endif
