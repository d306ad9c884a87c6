/*
 * The clock of a test program, which can be advanced. To be included by one
 * file of a program.
 */
#ifndef TEST_TESTCLOCK_H
#define TEST_TESTCLOCK_H

#include <stdint.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

/* All clocks are ahead by this, as after a pause of the process. */
static int64_t clock_offset_ms;
/*
 * All clocks but CLOCK_MONOTONIC are ahead by this, too, as after a suspension
 * of the machine.
 */
static int64_t suspended_ms;

/* Replaces the C library's function. */
int clock_gettime(clockid_t id, struct timespec *ts)
{
	int rc = syscall(SYS_clock_gettime, id, ts);
	int64_t ms = clock_offset_ms;

	if (id != CLOCK_MONOTONIC)
		ms += suspended_ms;
	ts->tv_sec += ms / 1000;
	ts->tv_nsec += ms % 1000 * 1000000;
	if (ts->tv_nsec >= 1000000000) {
		ts->tv_nsec -= 1000000000;
		ts->tv_sec++;
	}
	return rc;
}

#endif
