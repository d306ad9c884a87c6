/*
 * The event loop.  h2o's own timeouts follow the wall clock and support
 * one duration per list, so the timers here are kept in a binary heap
 * ordered by deadlines on a monotonic clock.  That clock also counts the
 * time in which the machine is suspended, as other machines count it.
 */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>

#include "lib/loop.h"

#define LOOP_WAIT_MAX_MS 100
/* A longer iteration counts as blocking: it delays everything else. */
#define LONG_ITERATION_US 10000

struct loop {
	h2o_loop_t *h2o;
	struct timer **heap; /* heap[1] is due first */
	uint32_t heap_len;
	uint32_t heap_cap;
	bool stopped;
	uint64_t blocked_us;	/* total of long iterations and late wake-ups */
	uint64_t wakeup_due_us; /* latest planned end of the current wait */
	uint64_t ended_us;	/* end of the last iteration, 0: none yet */
	void (*on_timing)(void *arg, const struct loop_timing *t);
	void *on_timing_arg;
	void (*iteration_end)(void *arg);
	void *iteration_end_arg;
	void (*on_signal)(void *arg, int signo);
	void *signal_arg;
	h2o_socket_t *signal_sock;
};

static uint64_t clock_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

/*
 * Return monotonic microseconds, for deadlines and durations.  They include
 * the time in which the machine was suspended.
 */
uint64_t clock_mono_us(void)
{
	return clock_us(CLOCK_BOOTTIME);
}

/* Return monotonic milliseconds, for deadlines and leases. */
uint64_t clock_mono_ms(void)
{
	return clock_mono_us() / 1000;
}

/* Return wall clock milliseconds since 1970, for display only. */
uint64_t clock_wall_ms(void)
{
	return clock_us(CLOCK_REALTIME) / 1000;
}

/* Create an empty loop; abort when out of memory. */
struct loop *loop_create(void)
{
	struct loop *l = calloc(1, sizeof(*l));

	if (!l)
		abort();
	l->h2o = h2o_evloop_create();
	return l;
}

/* Free l and its heap, but not the timers, which their owners hold. */
void loop_destroy(struct loop *l)
{
	if (!l)
		return;
	if (l->signal_sock)
		h2o_socket_close(l->signal_sock);
	free(l->heap);
	free(l);
}

/* Return the h2o loop on which sockets are created. */
h2o_loop_t *loop_h2o(struct loop *l)
{
	return l->h2o;
}

static void heap_put(struct loop *l, struct timer *t, uint32_t i)
{
	l->heap[i] = t;
	t->slot = i;
}

/* Place t at slot i or above, below all timers that are due earlier. */
static void heap_up(struct loop *l, struct timer *t, uint32_t i)
{
	while (i > 1 && l->heap[i / 2]->due_ms > t->due_ms) {
		heap_put(l, l->heap[i / 2], i);
		i /= 2;
	}
	heap_put(l, t, i);
}

/* Place t at slot i or below, above all timers that are due later. */
static void heap_down(struct loop *l, struct timer *t, uint32_t i)
{
	for (;;) {
		uint32_t c = i * 2;

		if (c > l->heap_len)
			break;
		if (c < l->heap_len &&
		    l->heap[c + 1]->due_ms < l->heap[c]->due_ms)
			c++;
		if (l->heap[c]->due_ms >= t->due_ms)
			break;
		heap_put(l, l->heap[c], i);
		i = c;
	}
	heap_put(l, t, i);
}

/* Initialize t, stopped; it calls fire(arg) when it expires. */
void timer_init(struct timer *t, void (*fire)(void *arg), void *arg)
{
	t->fire = fire;
	t->arg = arg;
	t->due_ms = 0;
	t->slot = 0;
	t->timeout_ms = 0;
	t->blocked_at_start_ms = 0;
}

/* Report whether t is started and has not fired. */
bool timer_running(const struct timer *t)
{
	return t->slot != 0;
}

static void timer_insert(struct loop *l, struct timer *t, uint64_t delay_ms)
{
	timer_stop(l, t);
	t->due_ms = clock_mono_ms() + delay_ms;
	if (l->heap_len + 2 > l->heap_cap) {
		l->heap_cap = l->heap_cap ? l->heap_cap * 2 : 64;
		l->heap = realloc(l->heap, l->heap_cap * sizeof(*l->heap));
		if (!l->heap)
			abort();
	}
	l->heap_len++;
	heap_up(l, t, l->heap_len);
}

/* Start or restart t to fire delay_ms from now. */
void timer_start(struct loop *l, struct timer *t, uint64_t delay_ms)
{
	t->timeout_ms = 0;
	timer_insert(l, t, delay_ms);
}

/*
 * Start or restart t as the timeout of a remote answer, ms milliseconds
 * long.  Time during which the loop was blocked does not count, because
 * the answer may have arrived unread meanwhile.
 */
void timer_start_timeout(struct loop *l, struct timer *t, uint64_t ms)
{
	t->timeout_ms = MAX(ms, 1);
	t->blocked_at_start_ms = loop_blocked_ms(l);
	timer_insert(l, t, ms);
}

/*
 * Restart an expired timeout for the time that the loop was blocked since
 * it started, at most its own length.  Return false when t is an ordinary
 * timer or the loop was not blocked.
 */
static bool extend_timeout(struct loop *l, struct timer *t)
{
	uint64_t blocked = loop_blocked_ms(l) - t->blocked_at_start_ms;

	if (!t->timeout_ms || !blocked)
		return false;
	t->blocked_at_start_ms += blocked;
	timer_insert(l, t, MIN(blocked, t->timeout_ms));
	return true;
}

/* Stop t; do nothing when it is not running. */
void timer_stop(struct loop *l, struct timer *t)
{
	struct timer *last;
	uint32_t i = t->slot;

	if (!i)
		return;
	last = l->heap[l->heap_len--];
	t->slot = 0;
	if (last == t)
		return;
	if (i > 1 && l->heap[i / 2]->due_ms > last->due_ms)
		heap_up(l, last, i);
	else
		heap_down(l, last, i);
}

/* Fire the timers that are due; restart timeouts that were blocked. */
static void fire_due_timers(struct loop *l)
{
	uint64_t now = clock_mono_ms();

	while (l->heap_len && l->heap[1]->due_ms <= now) {
		struct timer *t = l->heap[1];

		timer_stop(l, t);
		if (!extend_timeout(l, t))
			t->fire(t->arg);
	}
}

/*
 * Run the callbacks of completed socket operations.  h2o frees closed
 * sockets at the start of its iteration and assumes that none of them has
 * a callback pending.  That holds after h2o's own timeouts, but a timer of
 * this loop can write to a socket and close it.
 */
static void run_completion_callbacks(struct loop *l)
{
	h2o_timeout__do_post_callback(l->h2o);
}

/*
 * Return the total time for which the loop could not serve its sockets.
 * A timeout that expired meanwhile does not show that the remote side is
 * silent, because its answer may be waiting to be read.
 */
uint64_t loop_blocked_ms(const struct loop *l)
{
	return l->blocked_us / 1000;
}

/*
 * Return the time since the current iteration should have woken up.  The
 * process may have been suspended, which makes its state older by up to
 * this time.
 */
uint64_t loop_wakeup_delay_ms(const struct loop *l)
{
	uint64_t now = clock_mono_us();

	return (now - MIN(now, l->wakeup_due_us)) / 1000;
}

/* Call on_timing(arg, timing) after each iteration. */
void loop_on_timing(struct loop *l,
		    void (*on_timing)(void *arg, const struct loop_timing *t),
		    void *arg)
{
	l->on_timing = on_timing;
	l->on_timing_arg = arg;
}

/*
 * Return the time spent in socket callbacks by a run of h2o's loop from
 * began_us to ended_us.  h2o reads the wall clock just before them, with
 * millisecond resolution.
 */
static uint64_t callbacks_us(const struct loop *l, uint64_t began_us,
			     uint64_t ended_us)
{
	uint64_t wall = clock_wall_ms(), h2o_wall = h2o_now(l->h2o);

	if (wall < h2o_wall)
		return 0; /* the wall clock was set back */
	return MIN((wall - h2o_wall) * 1000, ended_us - began_us);
}

/* Add a long part of an iteration to the blocked time. */
static void note_blocked(struct loop *l, uint64_t us)
{
	if (us > LONG_ITERATION_US)
		l->blocked_us += us;
}

/*
 * Run one iteration: socket callbacks, due timers, then the function set
 * by loop_on_iteration_end.  Wait for at most max_wait_ms.
 */
void loop_step(struct loop *l, uint32_t max_wait_ms)
{
	uint32_t wait = max_wait_ms;
	uint64_t now, began, polled, waited_us;
	struct loop_timing t = {0};

	/* for operations started at iteration end or outside the loop */
	run_completion_callbacks(l);
	now = clock_mono_ms();
	if (l->heap_len && l->heap[1]->due_ms <= now)
		wait = 0;
	else if (l->heap_len && l->heap[1]->due_ms - now < wait)
		wait = l->heap[1]->due_ms - now;
	/* the process may have been paused since the last iteration */
	began = l->ended_us ? l->ended_us : clock_mono_us();
	l->wakeup_due_us = began + wait * UINT64_C(1000);
	h2o_evloop_run(l->h2o, (int32_t)wait);
	polled = clock_mono_us();
	t.sockets_us = callbacks_us(l, began, polled);
	waited_us = polled - began - t.sockets_us;
	if (waited_us > wait * UINT64_C(1000))
		t.late_us = waited_us - wait * UINT64_C(1000);
	/* timeouts that are due now must not count this time */
	note_blocked(l, t.late_us);
	note_blocked(l, t.sockets_us);
	fire_due_timers(l);
	run_completion_callbacks(l);
	if (l->iteration_end)
		l->iteration_end(l->iteration_end_arg);
	l->ended_us = clock_mono_us();
	t.timers_us = l->ended_us - polled;
	note_blocked(l, t.timers_us);
	if (l->on_timing)
		l->on_timing(l->on_timing_arg, &t);
}

/* Run until loop_stop is called. */
void loop_run(struct loop *l)
{
	while (!l->stopped)
		loop_step(l, LOOP_WAIT_MAX_MS);
}

/* Make loop_run return after the current iteration. */
void loop_stop(struct loop *l)
{
	l->stopped = true;
}

/* Call iteration_end(arg) at the end of each iteration. */
void loop_on_iteration_end(struct loop *l, void (*iteration_end)(void *arg),
			   void *arg)
{
	l->iteration_end = iteration_end;
	l->iteration_end_arg = arg;
}

static void on_signal_readable(h2o_socket_t *s, const char *err)
{
	struct loop *l = s->data;
	struct signalfd_siginfo si;

	if (err)
		return;
	while (s->input->size >= sizeof(si)) {
		memcpy(&si, s->input->bytes, sizeof(si));
		h2o_buffer_consume(&s->input, sizeof(si));
		l->on_signal(l->signal_arg, (int)si.ssi_signo);
	}
}

/* Block SIGTERM, SIGINT and SIGHUP; call fire(arg, signo) from the loop. */
void loop_on_signal(struct loop *l, void (*fire)(void *arg, int signo),
		    void *arg)
{
	sigset_t set;
	int fd;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	sigprocmask(SIG_BLOCK, &set, NULL);
	fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	l->on_signal = fire;
	l->signal_arg = arg;
	l->signal_sock = h2o_evloop_socket_create(l->h2o, fd, 0);
	l->signal_sock->data = l;
	h2o_socket_read_start(l->signal_sock, on_signal_readable);
}
