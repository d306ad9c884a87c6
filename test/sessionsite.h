/*
 * One upstream and the leader's session with it, in the event loop of a test. The
 * upstream answers orders as the test wants.
 */
#ifndef TEST_SESSIONSITE_H
#define TEST_SESSIONSITE_H

#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "lead/contact.h"
#include "lead/session.h"
#include "lib/http.h"

#define RUNS_MAX 8
#define EPOCH (3 * EPOCH_STEP)
/* Each order must have an effect within this time. */
#define SETTLE_MAX_MS 3000

/* An upstream that lists its runs and counts the orders it got. */
struct fake_upstream {
	struct loop *loop;
	uint32_t processes; /* the number of the present one */
	struct http_server *server;
	struct sockaddr_in address;
	uint64_t born;
	bool mute;	       /* leaves all calls unanswered */
	bool replaced;	       /* another upstream answers at its address */
	bool holds_lists;      /* leaves list calls unanswered, of either */
	bool holds_orders;     /* leaves the others unanswered */
	bool refuses_starts;   /* as their leases have ended */
	bool loses_next_lists; /* leaves one list call unanswered */
	char running[RUNS_MAX][TASK_NAME_BYTES];
	uint32_t runs[RUNS_MAX];
	uint32_t running_len;
	uint32_t starts, stops, lists;
	uint32_t refusals;   /* calls answered as another upstream */
	const char *odd_end; /* row of its list of ends, or NULL */
	uint32_t odd_ends;   /* ends of unknown tasks that come before it */
	json_int_t fence;    /* refuses tokens below this */
	bool restarts_after_lists; /* once it has sent them */
	bool names_itself;	   /* in its answers to orders too */
	bool odd_running;	   /* its rows of running runs name no run */
	/* of the calls that the present process got */
	json_int_t cursor_max, token_max;
	uint32_t leases;	/* that renewed leases */
	uint32_t acknowledging; /* that acknowledged ends */
};

/* A process of an upstream; its connections end with it. */
struct fake_process {
	struct fake_upstream *upstream;
	uint32_t number;
};

struct session_site {
	struct loop *loop;
	struct http_client *http;
	struct counters *counters;
	struct joint_settings settings;
	struct model *model;
	struct session_env env;
	struct tenure tenure;
	struct upstream *upstream;
	struct upstream_entry entry;
	struct job *job;
	struct task *task;
	uint32_t changes; /* of the model, as reported by the session */
	uint32_t refusals;
};

void fake_upstream_add_run(struct fake_upstream *f, const char *task,
			   uint32_t run);
void fake_upstream_remove_run(struct fake_upstream *f, const char *task);
void fake_upstream_create(struct fake_upstream *f, struct loop *l);
void fake_upstream_begin(struct fake_upstream *f, struct loop *l);
void fake_upstream_end(struct fake_upstream *f);
void fake_upstream_restart(struct fake_upstream *f);
struct sockaddr_in session_site_free_address(void);
void session_site_create(struct session_site *s);
void session_site_open(struct session_site *s, const struct fake_upstream *f);
void session_site_destroy(struct session_site *s);
void session_site_step(struct loop *l, const uint32_t *value, uint64_t ms);
void session_site_await_state(struct session_site *s, enum task_state state);
void session_site_start_task(struct session_site *s);
void session_site_list_as(struct session_site *s, const struct fake_upstream *f,
			  const char *kind);

#endif
