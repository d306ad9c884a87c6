/* One log record of an instance, reduced to what the report needs. */
#ifndef REPORT_RECORD_H
#define REPORT_RECORD_H

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>

/* The events that the report reads. */
enum event_kind {
	EVENT_OTHER, /* known to the product and of no use here */
	EVENT_REQUEST_ENDED,
	EVENT_REQUEST_REFUSED,
	EVENT_JOB_KNOWN,
	EVENT_STAGE_WAITS,
	EVENT_START_DECIDED,
	EVENT_START_FAILED,
	EVENT_STOP_DECIDED,
	EVENT_RUN_ENDED,
	EVENT_JOB_STATE,
	EVENT_LEADING,
	EVENT_LEADERSHIP_LOST,
	EVENT_STORE_LOST,
	EVENT_STORE_REGAINED,
	EVENT_STARTED,
	EVENT_STOPPING,
	EVENT_STOOD_STILL,
	EVENT_POLICY,
	EVENT_UPSTREAM_PACE,
	EVENT_UPSTREAM_SILENT,
	EVENT_UPSTREAM_LOST,
	EVENT_UPSTREAM_STATE,
	EVENT_UPSTREAM_SPEED,
	EVENT_KINDS_COUNT,
};

/*
 * A record. Text is kept as quarks, 0 if absent. `value` and `code` depend on
 * the kind: what they hold stands in record.c beside the field's name.
 */
struct record {
	int64_t time_ms; /* wall clock of the instance */
	int64_t mono_ms; /* steady clock of the process */
	int32_t value;
	GQuark instance;
	GQuark job;
	uint32_t task; /* index within its step */
	uint16_t step;
	uint16_t occurrence;
	bool has_task;
	GQuark upstream;
	GQuark text;  /* a reason, state, outcome or the way a run ended */
	GQuark other; /* the job that a run was stopped for, or a table */
	int32_t run;
	int32_t code;
	uint8_t kind; /* enum event_kind */
	bool flag;
};

/* What a job asks for, from its job_known record. */
struct job_facts {
	GQuark queue;
	GQuark account;
	int32_t priority;
	bool gang;
	bool checkpoints;
	bool endless; /* runs until it is cancelled, or at set times */
	double slack_factor;
	int64_t target_ms;
	int64_t estimate_ms;
	int64_t cpu_milli;
	int64_t accelerators;
	uint32_t steps_len;
	uint32_t *counts; /* tasks by step */
};

/* What the lines were that are no usable records. */
struct record_stats {
	uint64_t lines;
	uint64_t records;
	uint64_t foreign;   /* without a JSON object */
	uint64_t malformed; /* a record that cannot be read */
	uint64_t unknown;   /* an event that the product does not write */
	uint64_t duplicates;
	uint64_t dropped; /* records that the instances did not write */
};

/* All records of the input and the jobs that they name. */
struct record_set {
	GArray *records;   /* struct record */
	GHashTable *jobs;  /* quark to struct job_facts */
	GHashTable *seen;  /* hashes of the lines */
	GHashTable *kinds; /* names of events to enum event_kind */
	struct record_stats stats;
};

struct record_set *record_set_create(void);
void record_set_destroy(struct record_set *s);
void record_set_add_line(struct record_set *s, const char *line, size_t len);
void record_set_sort(struct record_set *s);
const struct job_facts *record_set_find_job(const struct record_set *s,
					    GQuark id);
double job_facts_cores(const struct job_facts *f);
char *record_task_name(const struct record *r);
void record_set_end_input(struct record_set *s);
const char *event_kind_name(enum event_kind k);

#endif
