/*
 * The decider's state, shared by decider.c (who decides), control.c
 * (claims and leases at one upstream), gang.c (one job's attempts) and
 * explain.c (answers for operators).
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

enum role_state { ROLE_FOLLOWER, ROLE_CANDIDATE, ROLE_LEADER };

struct coordinator {
	struct env *env;
	struct config *config;
	enum role_state role;
	uint64_t epoch;		 /* own, when claiming or deciding */
	uint64_t max_epoch_seen; /* highest known in the domain */
	uint64_t attempts;	 /* made under this epoch */
	uint64_t all_claimed_ms; /* when every upstream was claimed */
	uint64_t table_caught_up_ms;
	uint64_t
		no_leader_since_ms; /* since when nobody decides, 0: somebody does */
	uint64_t started_ms;
	bool leaving;
	bool table_reachable;
	bool members_known;
	struct sched *sched; /* while deciding */
	GPtrArray *controls; /* by the index of the upstream in the site */
	GHashTable *gangs;   /* name to struct gang */
	struct peer_list *peers;
	struct timer tick;
	uint64_t renewed_ms;
	uint64_t loss_since_ms;
	uint32_t rebound_loss_hash;
	bool rows_changed;	  /* some gang may have to enter the queue */
	uint32_t releasing_count; /* gangs that are being released */
};

/* One upstream of the domain, as the decider controls it. */
struct upstream_control {
	struct coordinator *coordinator;
	char name[64];
	char rack[48];
	struct sockaddr_in address;
	uint32_t index; /* in the site */
	struct http_pool *pool;
	struct health health;
	bool claimed;	      /* at the decider's epoch */
	bool claim_pending;   /* a claim is under way */
	bool renewal_pending; /* a renewal is under way */
	bool leaving;	      /* by its own word */
	bool listed;	      /* in the platform's list */
	bool listed_leaving;  /* there, but not live */
	bool configured;
	uint64_t reported_version; /* version of the last report */
	uint64_t incarnation;
	uint64_t
		confirmed_sent_ms; /* sending time of the last renewal granted */
	uint64_t last_call_ms;	   /* sending time of the call under way */
	uint64_t last_refusal_ms;  /* when it last refused a reservation */
	GHashTable *not_renewed;   /* leases not to be renewed */
	GHashTable *acks;	   /* ended leases to be forgotten */
	json_t *leases;		   /* as last reported */
};

enum gang_state {
	GANG_WAITING,
	GANG_RECORDING, /* not idempotent: its start is being recorded */
	GANG_RESERVING,
	GANG_STARTING,
	GANG_RUNNING,
	GANG_RELEASING,
	GANG_ENDED, /* its end is being recorded */
};

/* What becomes of a gang once all its parts are released. */
enum release_outcome { RELEASE_REQUEUE, RELEASE_CANCEL, RELEASE_PARK };

struct gang_part {
	struct upstream_control *control;
	uint32_t mask;
	bool answered;	      /* the present step's call */
	bool ended;	      /* done, or released */
	bool done;	      /* ran to its end */
	uint64_t incarnation; /* of the upstream that it was reserved at */
	uint64_t version;     /* reports below it are older than the start */
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
	bool has_row;
	uint32_t job_handle; /* in the scheduler */
	enum gang_state state;
	enum release_outcome outcome;
	const char *reason; /* of the release */
	bool may_have_run;  /* a start of this attempt was sent */
	uint64_t attempt;
	uint64_t progress_ms;
	uint64_t
		leases_expired_by_ms; /* releasing: every lease has lapsed by then */
	uint64_t state_since_ms;      /* when the present state began */
	uint64_t releases_sent_ms; /* when releases were last sent */
	uint64_t
		reclaim_since_ms; /* when it began to reclaim its places, or 0 */
	struct gang_part *parts;  /* shape.parts of them when placed */
	json_t *failed_on;
};

/* control.c */
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
json_t *upstream_control_body(const struct upstream_control *c);

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
bool gang_is_active(const struct gang *g);
struct gang *gang_adopt(struct coordinator *d, const char *name,
			json_t *leases);
char *gang_lease_id(const struct gang *g, uint32_t part);
const char *gang_state_name(enum gang_state s);

/* decider.c */
void coordinator_yield_to_epoch(struct coordinator *d, uint64_t epoch);
void coordinator_handle_report(struct coordinator *d,
			       struct upstream_control *c);
struct upstream_control *coordinator_find_control(struct coordinator *d,
						  const char *name);

/* explain.c */
json_t *explain_upstreams(struct coordinator *d);
json_t *explain_job(struct coordinator *d, const char *job);
json_t *explain_stuck(struct coordinator *d);

#endif
