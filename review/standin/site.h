/*
 * A small deployment on loopback addresses: a store and workers that follow the
 * users' pages, in the process of the case, and instances of lacewingd as
 * processes of their own. All times are milliseconds.
 */
#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Exit codes of a case. */
#define CASE_HELD 0
#define CASE_BROKEN 1
#define CASE_NOT_RUN 2

#define HOLD_MAX_MS 10000
#define STOP_MS 400
#define HEARTBEAT_MS 1500
#define ROW_MAX_BYTES 65536
#define TX_MAX_BYTES 1000000
#define TX_MAX_ENTRIES 100

struct site_shape {
	const char *dir; /* folder of the case, for record.txt */
	uint32_t instances;
	uint32_t workers;
	/* Number of workers whose second label is the rack "r-last". */
	uint32_t workers_in_last_rack;
};

struct site;

struct site *site_create(const struct site_shape *shape);
void site_destroy(struct site *s);

/* Write one line to record.txt, with the time since the start. */
void site_record(struct site *s, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

uint64_t site_now_ms(const struct site *s);
void site_run_for(struct site *s, uint64_t ms);

/* Whether the case runs with its disruption, by the variable TROUBLE. */
bool site_trouble(void);

/*
 * Submit a job, whose tasks work for work_ms, at an instance; retries as the
 * pages say. Returns the status of the last answer.
 */
int site_submit(struct site *s, const char *id, json_t *steps,
		uint64_t work_ms);
/* Submit a job once, with this deadline in milliseconds. */
int site_submit_once(struct site *s, const char *id, json_t *steps,
		     uint64_t work_ms, uint32_t deadline_ms);
/* Cancel a job; returns the status of the answer. */
int site_cancel(struct site *s, const char *id);
/* Return the state that an instance shows; "none", "410" or a status. */
const char *site_state(struct site *s, const char *id);

/*
 * From now on the store answers none of the next n writes that hand in a job,
 * and carries each out late_ms later if its condition still holds. The feeds,
 * reads and all other writes are served.
 */
void site_lose_submissions(struct site *s, uint32_t n, uint64_t late_ms);
/* Share of the writes that were lost among all writes since that call. */
double site_lost_share(const struct site *s);

/* Worker w crashes now and starts again under its id after down_ms. */
void site_crash(struct site *s, uint32_t w, uint64_t down_ms);
bool site_is_up(const struct site *s, uint32_t w);

/* The run of this job that began first ends `failed`. */
void site_fail_run(struct site *s, const char *id);

/* What the workers have seen. */
/* Return the number of the worker that runs a job; workers if none does. */
uint32_t site_worker_of(const struct site *s, const char *id);
uint32_t site_running_of(const struct site *s, const char *id);
uint32_t site_running_on(const struct site *s, uint32_t w);
/* Ends of a job's runs in this way: done, failed, stopped, lapsed. */
uint32_t site_ends_of(const struct site *s, const char *id, const char *how);
/* When the last run of a job began, as site_now_ms; 0: none has. */
uint64_t site_last_start_ms(const struct site *s, const char *id);
uint32_t site_starts_of(const struct site *s, const char *id);
/*
 * Whether the workers that may run the first step of a job have room for all
 * its tasks twice over.
 */
bool site_fits_twice(const struct site *s, const char *id);
/* Share of the workers' cpu, memory and accelerators in use, the highest. */
double site_used_share(const struct site *s);
/* Writes that the store has rejected as too large, since the start. */
uint32_t site_large_writes(const struct site *s);

#endif
