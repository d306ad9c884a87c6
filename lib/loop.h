/* Event loop with h2o sockets, monotonic timers and signal delivery. */
#ifndef LIB_LOOP_H
#define LIB_LOOP_H

#include <stdbool.h>
#include <stdint.h>
#include <h2o.h>

struct loop;

/* The time that one iteration of the loop took. */
struct loop_timing {
	uint64_t sockets_us; /* socket callbacks */
	uint64_t timers_us;  /* timers and the iteration end function */
	uint64_t late_us;    /* delay of the wake-up */
};

struct timer {
	void (*fire)(void *arg);
	void *arg;
	uint64_t due_ms;
	uint32_t slot; /* position in the heap, 0 when stopped */
	/*
	 * Length of a timeout (0 for an ordinary timer), and the loop's
	 * total blocked time when the timeout started.
	 */
	uint64_t timeout_ms;
	uint64_t blocked_at_start_ms;
};

struct loop *loop_create(void);
void loop_destroy(struct loop *l);
h2o_loop_t *loop_h2o(struct loop *l);
void loop_run(struct loop *l);
void loop_step(struct loop *l, uint32_t max_wait_ms);
void loop_stop(struct loop *l);
uint64_t loop_blocked_ms(const struct loop *l);
uint64_t loop_wakeup_delay_ms(const struct loop *l);
void loop_on_timing(struct loop *l,
		    void (*on_timing)(void *arg, const struct loop_timing *t),
		    void *arg);
void loop_on_iteration_end(struct loop *l, void (*iteration_end)(void *arg),
			   void *arg);
void loop_on_signal(struct loop *l, void (*fire)(void *arg, int signo),
		    void *arg);

void timer_init(struct timer *t, void (*fire)(void *arg), void *arg);
void timer_start(struct loop *l, struct timer *t, uint64_t delay_ms);
void timer_start_timeout(struct loop *l, struct timer *t, uint64_t ms);
void timer_stop(struct loop *l, struct timer *t);
bool timer_running(const struct timer *t);

uint64_t clock_mono_ms(void);
uint64_t clock_mono_us(void);
uint64_t clock_wall_ms(void);

#endif
