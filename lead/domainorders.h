/*
 * The operators' orders to evacuate failure domains, as the leader obeys them:
 * asked right before each start order.
 */
#ifndef LEAD_DOMAINORDERS_H
#define LEAD_DOMAINORDERS_H

#include "lead/replica.h"
#include "platform/settings.h"
#include "sched/fleet.h"

/* Maximum lease that is asked for with a start order. */
#define START_LEASE_MS 3000

struct domain_orders;

struct domain_orders *domain_orders_create(const struct joint_settings *s,
					   struct replica *rows);
void domain_orders_destroy(struct domain_orders *o);
bool domain_orders_apply_row(struct domain_orders *o, const char *domain,
			     bool present);
void domain_orders_follow_closely(struct domain_orders *o, bool closely);
void domain_orders_mark(const struct domain_orders *o, struct fleet *f);
uint32_t domain_orders_count(const struct domain_orders *o);
bool domain_orders_are_current(struct domain_orders *o);
bool domain_orders_forbid(const struct domain_orders *o,
			  const struct upstream *u);
void domain_orders_withhold(const struct domain_orders *o,
			    const GPtrArray *tasks, uint64_t now_ms);
void domain_orders_log_withheld(const struct task *t);
uint32_t domain_orders_start_lease_ms(const struct joint_settings *s);

#endif
