/*
 * The configuration in the platform's table: accounts, upstreams, limits
 * and bindings.  A snapshot is immutable and has a reference count.
 */
#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/schema.h"
#include "sched/bind.h"

struct guarantee {
	enum cell_kind kind;
	uint32_t count;
	char domain[64]; /* empty: any domain */
};

struct config_account {
	char name[64];
	uint32_t weight;
	uint32_t queue_limit; /* waiting jobs per domain */
	uint32_t check_limit; /* quick checks in flight per instance */
	uint32_t headroom;    /* accelerators kept free for urgent work */
	uint32_t guarantees_len;
	struct guarantee *guarantees;
};

struct config_upstream {
	char name[64];
	char domain[64];
	char rack[48];
	struct sockaddr_in address;
	uint32_t accelerators;
	uint32_t slots;
};

struct config_binding {
	char domain[64];
	char account[64];
	char at[64]; /* name of the rack for CELL_RACK, else of the upstream */
	enum cell_kind kind;
	uint32_t mask; /* of the upstream's accelerators */
};

/* The fields have the names of their settings. */
struct config_limits {
	uint32_t quick_slots; /* slots per upstream for quick checks only */
	uint32_t lease_term_ms;
	uint32_t renew_ms;
	uint32_t grace_ms;
	uint32_t hold_after_ms;
	uint32_t check_deadline_ms;
	uint32_t retry_percent; /* retries, as a share of the first attempts */
	uint32_t job_tries;	/* upstreams that a job may fail on */
};

struct config {
	uint32_t refs;
	uint64_t version;  /* newest version among its rows */
	uint64_t head;	   /* version of the last accepted change */
	uint64_t complete; /* version up to which the rows are complete */
	struct config_limits limits;
	uint32_t accounts_len;
	struct config_account *accounts;
	uint32_t upstreams_len;
	struct config_upstream *upstreams;
	uint32_t bindings_len;
	struct config_binding *bindings;
};

extern const struct field config_file_fields[];

struct config *config_ref(struct config *c);
void config_unref(struct config *c);
struct config *config_build(json_t *rows, uint64_t version);
bool config_find_account(const struct config *c, const char *name,
			 uint32_t *account);
uint32_t config_create_inventory(const struct config *c, const char *domain,
				 struct inventory **out);
void config_bind_inventory(const struct config *c, const char *domain,
			   struct inventory *s);
json_t *config_bind_guarantees(const struct config *c, const json_t *lost,
			       struct problems *p);
void config_validate(const struct config *c, struct problems *p);
json_t *config_file_to_rows(const json_t *file);

#endif
