/*
 * What stopping a run costs its client: the work that is done again, and the
 * value of a job that then ends late. Pure functions of times and values.
 */
#ifndef SCHED_STOPLOSS_H
#define SCHED_STOPLOSS_H

#include <stdbool.h>
#include <stdint.h>

/* A run that may be stopped. Times are in milliseconds. */
struct stoploss_run {
	uint64_t ran_ms;       /* since its start */
	uint64_t remaining_ms; /* until it would end */
	uint64_t expected_ms;  /* of a full run of its task */
	uint64_t
		critical_path_ms; /* from a start of the stage to the job's end */
	uint64_t objective_ms;	  /* of the job, from submission */
	int64_t slack_ms;	  /* time a new run can wait to end in time */
	uint64_t wait_ms;	  /* until a stopped run can start again */
	uint32_t stop_ms;	  /* time an upstream takes to stop a run */
	uint32_t checkpoint_ms; /* interval of checkpoints; 0: it writes none */
	bool others_wait;	/* other tasks of its stage wait to start */
	double value_in_time;	/* of the job */
	double value_late;
};

uint64_t stoploss_work_ms(const struct stoploss_run *r);
double stoploss_value(const struct stoploss_run *r);
double stoploss_repeat_factor(uint32_t stops, uint32_t tasks);

#endif
