/*
 * The coordinator's state, shared by coordinator.c (leader election and
 * scheduling), upstream_control.c (claims and leases at one upstream),
 * gang.c (one job's attempts) and explain.c (answers to operators).
 */
#ifndef DAEMON_COORDINATOR_INTERNAL_H
#define DAEMON_COORDINATOR_INTERNAL_H

#include <glib.h>

#include "daemon/coordinator.h"
#include "sched/health.h"
#include "sched/sched.h"

#define NO_JOB_HANDLE UINT32_MAX
#define CALL_TIMEOUT_MS 1000
#define LEASE_EXPIRY_MARGIN_MS 200
/* An attempt is an epoch and, in its lowest bits, a number in the epoch. */
#define ATTEMPT_SEQUENCE_BITS 16

enum role_state { ROLE_FOLLOWER, ROLE_CANDIDATE, ROLE_LEADER };

struct coordinator {
	struct env *env;
	struct config *config;
	enum role_state role;
	uint64_t epoch;		 /* own epoch as candidate or leader */
	uint64_t max_epoch_seen; /* highest epoch seen in the domain */
	uint64_t attempts;	 /* attempts started in this epoch */
	uint64_t all_claimed_ms; /* when every upstream was claimed */
	uint64_t table_caught_up_ms;
	bool settled; /* leader that has seen what its predecessors did */
	uint64_t no_leader_since_ms; /* 0: the domain has a leader */
	uint64_t created_ms;
	bool leaving;
	bool table_reachable;
	json_t *members;	   /* the platform's list; NULL: not known */
	uint64_t members_asked_ms; /* when the list was asked for */
	struct sched *sched;	   /* NULL unless leader */
	GPtrArray *controls;	   /* struct upstream_control by site index */
	GHashTable *gangs;	   /* name to struct gang */
	struct peer_list *peers;
	struct timer tick;
	uint64_t renewed_ms;
	uint64_t rebound_ms; /* when the last list before it was asked for */
	uint32_t rebound_loss_hash;
	bool rows_changed;	  /* some gangs may have to be queued */
	bool awaits_config;	  /* a job does not fit the one in force */
	bool awaits_leases;	  /* a job may run on a removed upstream */
	uint32_t releasing_count; /* gangs in GANG_RELEASING */
};

/* The coordinator's claim and leases at one upstream of the domain. */
struct upstream_control {
	struct coordinator *coordinator;
	char name[64];
	char rack[48];
	struct sockaddr_in address;
	uint32_t index; /* index in the site */
	struct http_pool *pool;
	struct health health;
	uint64_t claimed_epoch; /* the last that it accepted */
	uint64_t claim_epoch;	/* of the last claim call */
	uint64_t tried_epoch;	/* of the last claim call that has ended */
	uint64_t renewed_epoch; /* the last in which leases were renewed */
	bool in_use;		/* the leader may place work there */
	uint64_t known_ms;	/* when it appeared; 0 if in use or gone */
	bool claimed;		/* obeys the coordinator's epoch */
	bool claim_pending;	/* a claim call is in flight */
	bool renewal_pending;	/* a renewal call is in flight */
	bool leaving;		/* reported by the upstream itself */
	/* When the first list that lacks it was asked for; 0: is listed. */
	uint64_t gone_since_ms;
	bool listed_leaving; /* is on the list, but not live */
	bool configured;
	uint64_t reported_version; /* version of the last report of leases */
	uint64_t incarnation;
	/* When the newest call that was granted was sent. */
	uint64_t confirmed_sent_ms;
	uint64_t last_call_ms; /* when the newest call was sent */
	/* When all leases have ended that a call may have granted. */
	uint64_t leases_end_ms;
	uint64_t last_refusal_ms; /* last failed reservation or start */
	GHashTable *not_renewed;  /* lease ids that are left to expire */
	GHashTable *acks;	  /* ended lease ids to acknowledge */
	json_t *leases;		  /* last reported leases */
};

enum gang_state {
	GANG_WAITING,
	GANG_RECORDING, /* records its start; not idempotent */
	GANG_RESERVING,
	GANG_STARTING,
	GANG_RUNNING,
	GANG_RELEASING,
	GANG_ENDED, /* records its end */
};

/* What happens to a gang when all its parts are released. */
enum release_outcome { RELEASE_REQUEUE, RELEASE_CANCEL, RELEASE_PARK };

struct gang_part {
	struct upstream_control *control;
	uint32_t mask;
	bool answered;	      /* the current call has succeeded */
	bool ended;	      /* finished or released */
	bool done;	      /* finished successfully */
	uint64_t incarnation; /* of the upstream at the reservation */
	uint64_t version;     /* lower report versions predate the start */
};

struct gang {
	struct coordinator *coordinator;
	char *name;
	char account[64];
	enum job_class job_class;
	struct shape shape;
	uint64_t run_ms;
	bool idempotent;
	char *payload;
	uint64_t submitted_ms; /* monotonic */
	char row_state[16];
	json_t *where; /* upstreams that the row names; may be NULL */
	bool has_row;
	uint64_t row_known_ms; /* when the row was known first */
	uint32_t job_handle;   /* in the scheduler, or NO_JOB_HANDLE */
	enum gang_state state;
	enum release_outcome outcome;
	const char *reason; /* why it was released */
	bool may_have_run;  /* a start call of this attempt was sent */
	uint64_t attempt;
	uint64_t progress_ms;
	/* While it is releasing, every lease has expired by this time. */
	uint64_t leases_expired_by_ms;
	uint64_t state_since_ms;   /* when the state was entered */
	uint64_t releases_sent_ms; /* last release or renewal */
	uint64_t reclaim_since_ms; /* start of a reclaim, or 0 */
	struct gang_part *parts;   /* shape.parts elements, or NULL */
	json_t *failed_on;
};

/* upstream_control.c */
struct upstream_control *
upstream_control_create(struct coordinator *d, const struct config_upstream *u);
void upstream_control_destroy(struct upstream_control *c);
bool upstream_control_is_gone(const struct upstream_control *c);
bool upstream_control_is_usable(struct upstream_control *c);
void upstream_control_claim(struct upstream_control *c);
void upstream_control_renew(struct upstream_control *c);
void upstream_control_reset(struct upstream_control *c);
bool upstream_control_call(struct upstream_control *c, const char *path,
			   json_t *body, http_done_fn done, void *arg);
json_t *upstream_control_body(struct upstream_control *c);

/* gang.c */
struct gang *gang_create(struct coordinator *d, const char *name);
void gang_destroy(struct gang *g);
void gang_update_from_row(struct gang *g, const json_t *row);
void gang_start(struct gang *g, const struct part *parts);
void gang_release(struct gang *g, enum release_outcome outcome,
		  const char *reason, uint32_t grace_ms);
void gang_handle_saved(struct gang *g, const json_t *update);
void gang_handle_report(struct gang *g, struct upstream_control *c,
			GHashTable *by_id);
void gang_handle_lost_upstream(struct gang *g, struct upstream_control *c);
void gang_tick(struct gang *g, uint64_t now_ms);
void gang_end(struct gang *g, const char *state, const char *reason);
void gang_remove(struct gang *g);
void gang_job_spec(const struct gang *g, struct job_spec *spec);
bool gang_lease_has_ended(const json_t *lease);
bool gang_is_active(const struct gang *g);
struct gang *gang_adopt(struct coordinator *d, const char *name,
			json_t *leases);
char *gang_lease_id(const struct gang *g, uint32_t part);
const char *gang_state_name(enum gang_state s);

/* coordinator.c */
void coordinator_yield_to_epoch(struct coordinator *d, uint64_t epoch);
void coordinator_claim_again(struct coordinator *d);
bool coordinator_is_confirmed_since(const struct coordinator *d,
				    uint64_t since_ms);
void coordinator_handle_report(struct coordinator *d,
			       struct upstream_control *c);
struct upstream_control *coordinator_find_control(struct coordinator *d,
						  const char *name);

/* explain.c */
json_t *explain_upstreams(struct coordinator *d);
json_t *explain_job(struct coordinator *d, const char *job);
json_t *explain_stuck(struct coordinator *d);

#endif
