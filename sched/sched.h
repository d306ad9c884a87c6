/*
 * The decisions of one failure domain: which waiting job starts where,
 * and which running job is evicted for it.  No socket, clock or random
 * source is used: time comes in, actions go out.
 */
#ifndef SCHED_SCHED_H
#define SCHED_SCHED_H

#include "sched/place.h"

enum job_class { CLASS_URGENT, CLASS_BATCH, CLASS_QUIET };

enum job_state {
	JOB_WAITING,
	JOB_CLAIMING, /* its places are held until they are free */
	JOB_PLACED,
	JOB_EVICTING, /* told to stop, its places still used */
};

enum submit_result { SUBMIT_OK, SUBMIT_NEVER_FITS, SUBMIT_QUEUE_FULL };

struct job_spec {
	enum job_class job_class;
	struct shape shape;
	uint64_t submitted_ms;
	void *owner;
};

struct job {
	struct job_spec spec;
	enum job_state state;
	enum usage usage;
	struct part *parts;
	bool reclaims; /* claiming: cells of its own account */
	bool in_use;
};

enum action_tag { ACTION_START, ACTION_EVICT };

struct action {
	enum action_tag tag;
	uint32_t job;
	uint32_t cause; /* evict: the job that the places go to */
};

struct actions {
	struct action *list;
	uint32_t len;
	uint32_t cap;
};

struct sched_limits {
	uint64_t hold_after_ms;	    /* a wait after which room is held */
	uint32_t account_queue_max; /* waiting jobs */
};

struct sched;

struct sched *sched_create(struct inventory *inventory,
			   enum place_policy policy,
			   const struct sched_limits *limits);
void sched_destroy(struct sched *s);
struct inventory *sched_inventory(struct sched *s);
void sched_set_weight(struct sched *s, uint32_t account, uint32_t weight);
void sched_set_headroom(struct sched *s, uint32_t account,
			uint32_t accelerators);
double sched_service(const struct sched *s, uint32_t account);
void sched_set_service(struct sched *s, uint32_t account, double service);

enum submit_result sched_submit(struct sched *s, const struct job_spec *spec,
				uint32_t *job);
uint32_t sched_adopt(struct sched *s, const struct job_spec *spec,
		     const struct part *parts);
const struct job *sched_job(const struct sched *s, uint32_t job);
uint32_t sched_handle_count(const struct sched *s);
void sched_exclude_upstream(struct sched *s, uint32_t job, uint32_t upstream);
void sched_mark_evicting(struct sched *s, uint32_t job);
void sched_requeue(struct sched *s, uint32_t job);
void sched_remove(struct sched *s, uint32_t job);
void sched_update_usage(struct sched *s);
void sched_decide(struct sched *s, uint64_t now_ms, struct actions *out);
uint32_t sched_waiting_count(const struct sched *s, uint32_t account);
void actions_clear(struct actions *a);

bool job_class_parse(const char *s, enum job_class *c);
const char *job_class_name(enum job_class c);

#endif
