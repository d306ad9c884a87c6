/*
 * Suspects: tasks under which incarnations of upstreams have ended. A suspect
 * runs on an upstream without other unproven runs until it has proved itself,
 * or until the incarnation of a second upstream shows that it ends them; then
 * its job fails.
 */
#ifndef SCHED_SUSPECT_H
#define SCHED_SUSPECT_H

#include "sched/fleet.h"

/*
 * An upstream that ends this soon after the start of a run may have ended by
 * it; a run that has lasted longer is proven.
 */
#define SUSPECT_EARLY_MS 1500
/* A suspect that has waited this long may run beside proven runs. */
#define SUSPECT_ALONE_WAIT_MS 1500
/* A suspect that has waited this long is placed like other tasks. */
#define SUSPECT_WAIT_MAX_MS 2500

/* What is known about the end of an upstream's incarnation. */
enum incarnation_end {
	INCARNATION_ENDED, /* another incarnation was seen in its place */
	INCARNATION_PRESUMED_ENDED, /* it is silent and its leases have ended */
	INCARNATION_LEFT,	    /* it has left as announced */
};

/* Why the runs that ended with an upstream's incarnation are blamed, or not. */
enum end_cause {
	CAUSE_RUNS,	   /* one of them may have ended it */
	CAUSE_COMMON,	   /* many upstreams ended at the same time */
	CAUSE_PLANNED,	   /* the upstream was draining */
	CAUSE_NOT_STARTED, /* no run had begun */
};

/* What was concluded about a task from the end of an upstream's incarnation. */
struct suspect_finding {
	struct task *task;
	uint32_t ran_ms;
	uint32_t beside; /* other runs on the upstream */
	bool early;	 /* the run had just begun */
	bool quick;	 /* its upstream ended at once after its start */
	bool only;	 /* no other run there was unproven */
	bool confirmed;	 /* its job has failed for it */
	bool is_suspect;
};

bool task_is_suspect(const struct task *t);
uint32_t suspect_trial_ms(const struct task *t);
bool suspect_is_isolated(const struct task *t, uint64_t now_ms);
uint64_t suspect_waited_ms(const struct task *t, uint64_t now_ms);
bool stage_spreads_suspects(const struct stage *st);
bool stage_awaits_trial(const struct stage *st, uint64_t now_ms);
bool run_may_have_started(const struct task *t);
bool run_is_unproven(const struct task *t, uint64_t now_ms);
bool upstream_has_suspect(const struct upstream *u);

void suspect_note_silence(struct upstream *u, uint64_t now_ms);
void suspect_note_idle_end(struct upstream *u, uint64_t now_ms);
enum end_cause suspect_judge_end(struct fleet *f, struct upstream *u,
				 enum incarnation_end end, uint64_t now_ms,
				 GArray *findings);
bool suspect_confirm_presumed(struct fleet *f, struct upstream *u,
			      struct task *t, const struct blamed_run *b,
			      uint64_t now_ms);
void suspect_withdraw(struct task *t, const struct blamed_run *b);
void suspect_note_inherited_end(struct task *t);
bool suspect_note_running(struct task *t);
bool suspect_clear(struct task *t);
const char *end_cause_name(enum end_cause c);

#endif
