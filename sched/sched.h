/*
 * The scheduler of one failure domain: it decides which waiting job
 * starts on which accelerators, and which running job is evicted for it.
 * It is deterministic and does no I/O: the caller passes the time and
 * carries out the actions.
 */
#ifndef SCHED_SCHED_H
#define SCHED_SCHED_H

#include "sched/place.h"

enum job_class { CLASS_URGENT, CLASS_BATCH, CLASS_QUIET };

enum job_state {
	JOB_WAITING,
	JOB_CLAIMING, /* waits until the accelerators held for it are free */
	JOB_PLACED,
	JOB_EVICTING, /* told to stop, but still uses its accelerators */
};

enum submit_result { SUBMIT_OK, SUBMIT_NEVER_FITS, SUBMIT_QUEUE_FULL };

struct job_spec {
	enum job_class job_class;
	struct shape shape;
	uint64_t submitted_ms; /* monotonic */
	void *owner;	       /* the caller's; the scheduler ignores it */
};

struct job {
	struct job_spec spec;
	enum job_state state;
	enum usage usage;
	struct part *parts;
	bool reclaims; /* a claiming job holds cells of its own account */
	bool in_use;   /* the handle belongs to a job */
};

enum action_tag { ACTION_START, ACTION_EVICT };

struct action {
	enum action_tag tag;
	uint32_t job;
	uint32_t cause; /* the job that gets the accelerators */
};

struct actions {
	struct action *list;
	uint32_t len;
	uint32_t cap;
};

struct sched_limits {
	uint64_t hold_after_ms;	    /* wait until accelerators are held */
	uint32_t account_queue_max; /* waiting jobs per account */
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
