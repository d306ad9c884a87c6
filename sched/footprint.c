/*
 * The estimate follows from the sizes of the structures of the job model and
 * from the lengths of texts. It is on the safe side: the sum over all jobs must
 * not exceed what the leader has.
 */
#include <string.h>

#include "sched/footprint.h"

/* What the allocator adds to a block, with rounding. */
#define BLOCK_OVERHEAD_BYTES 24
/*
 * Entries of a job besides its structures: in the hash tables and lists of the
 * model, in the replicas of the tables of jobs, specs and states, and in the
 * cache of jobs.
 */
#define ENTRIES_BYTES 2048
/* Names and numbers of a job and of a step in the spec row. */
#define SPEC_ROW_BYTES 512
#define SPEC_STEP_BYTES 320
/* Rows and copies of them in which the names of a job stand. */
#define NAME_COPIES 3
/* A task in the run row, and the name of its checkpoint, both kept once more. */
#define TASK_TEXT_BYTES 96
/*
 * How long an occurrence stays open after it is due: this multiple of the
 * submitted run times of its steps, since estimates are too low by up to 90 %
 * and some runs take seven times as long, or this time if it is longer.
 */
#define OPEN_RUN_FACTOR 10
#define OPEN_MIN_MS 600000

/* Return how many occurrences of j were due when it was submitted. */
static uint64_t due_at_submission(const struct job *j)
{
	if (!j->submitted_wall_ms || j->submitted_wall_ms < j->start_at_wall_ms)
		return 0;
	return (j->submitted_wall_ms - j->start_at_wall_ms) / j->interval_ms +
	       1;
}

/*
 * Return how many occurrences of j are expected to be open at a time: those
 * that are already due at its submission open at once.
 */
uint32_t footprint_open_occurrences(const struct job *j)
{
	uint32_t n = job_occurrences(j);
	uint64_t run_ms = 0, open;

	if (!j->interval_ms)
		return n;
	for (uint32_t i = 0; i < j->steps_len; i++)
		run_ms += j->steps[i].estimate_ms;
	open = 2 + MAX(OPEN_RUN_FACTOR * run_ms, OPEN_MIN_MS) / j->interval_ms;
	return MIN(open + due_at_submission(j), n);
}

/* Return the bytes of a label, which is in the step and in the spec row. */
static uint64_t label_bytes(const char *label)
{
	return label ? 2 * (BLOCK_OVERHEAD_BYTES + strlen(label)) : 0;
}

/* Return the bytes of the names of j, which its rows repeat. */
static uint64_t name_bytes(const struct job *j)
{
	return NAME_COPIES *
	       (strlen(j->queue) + strlen(j->account) + strlen(j->service));
}

/* Return the length of the payload of j. */
static uint64_t payload_bytes(const struct job *j)
{
	return j->payload ? strlen(j->payload) : 0;
}

/*
 * Return the memory that j takes in the leader while it has not ended, in
 * bytes, as an estimate. Its stages need not exist.
 */
uint64_t footprint_bytes(const struct job *j)
{
	/* the payload is in the job and in the spec row */
	uint64_t bytes = sizeof(*j) + ENTRIES_BYTES + SPEC_ROW_BYTES +
			 2 * payload_bytes(j) + name_bytes(j);
	uint64_t occurrence = 0;

	for (uint32_t i = 0; i < j->steps_len; i++) {
		const struct step *s = &j->steps[i];

		bytes += sizeof(*s) + SPEC_STEP_BYTES +
			 2 * (BLOCK_OVERHEAD_BYTES +
			      (s->image ? strlen(s->image) : 0)) +
			 label_bytes(s->label) + label_bytes(s->data_rack) +
			 2 * s->after_len * sizeof(*s->after);
		occurrence +=
			sizeof(struct stage) + BLOCK_OVERHEAD_BYTES +
			s->count * (sizeof(struct task) + TASK_TEXT_BYTES);
	}
	return bytes + footprint_open_occurrences(j) * occurrence;
}
