/*
 * The job model: jobs, their steps, stages and tasks. A stage is one occurrence
 * of one step. No function does I/O. Times are monotonic milliseconds of the
 * caller unless stated otherwise.
 */
#ifndef SCHED_JOB_H
#define SCHED_JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "sched/duration.h"
#include "sched/text.h"

#define JOB_ID_BYTES 24
#define TASK_NAME_BYTES 64
#define JOB_STEPS_MAX 64

/* A label that no upstream has. */
#define LABEL_UNUSED G_MAXUINT32

struct upstream;

/*
 * Resources that a task needs or an upstream has: thousandths of a CPU core,
 * megabytes and whole accelerators.
 */
struct resources {
	int64_t cpu_milli;
	int64_t memory_mb;
	int64_t accelerators;
};

struct step {
	uint32_t count;	       /* number of tasks */
	struct resources need; /* of one task */
	uint32_t estimate_ms;  /* submitted run time of a task */
	uint32_t after_len;
	uint32_t *after;      /* indexes of the steps that must be complete */
	bool checkpoints;     /* its tasks write checkpoints */
	bool gang;	      /* all tasks start together or none does */
	bool rack_sensitive;  /* runs slower when its tasks span racks */
	bool speculative;     /* several runs of a task may be active at once */
	bool long_running;    /* runs until the job is cancelled */
	bool best_effort_cpu; /* reserves no CPU, uses what is idle */
	uint32_t max_tasks_per_upstream; /* 0: no limit */
	/* maximum tasks not serving at a time when preempted; 0: no limit */
	uint32_t max_unavailable;
	uint32_t target_ms;
	const char *label; /* a held text, like data_rack; may be empty */
	const char *data_rack;
	char *image;			   /* may be empty */
	struct duration_estimate expected; /* cached by the estimator */
	uint64_t expected_version;	   /* estimator version of `expected` */
	uint32_t ended_runs;		   /* completed runs of its tasks */
	double ended_log_ms; /* mean logarithm of their durations */
};

enum task_state {
	TASK_WAITING,
	TASK_PLACED,   /* assigned to an upstream, not yet confirmed */
	TASK_RUNNING,  /* the upstream has confirmed it */
	TASK_STOPPING, /* stop requested, run not yet ended */
	TASK_DONE,
};

enum run_end {
	RUN_DONE,
	RUN_FAILED,
	RUN_STOPPED,
	RUN_LEASE_EXPIRED,   /* the lease expired */
	RUN_GANG_BROKEN,     /* another member of the gang ended */
	RUN_GANG_INCOMPLETE, /* the other gang members did not start in time */
	RUN_NEVER_STARTED,   /* the run certainly never started */
	RUN_UPSTREAM_GONE,   /* the upstream has gone */
};

struct stage;

/* The progress rate of a run, on its upstream's clock. */
struct run_rate {
	uint32_t window_start_percent;
	uint64_t window_start_ms; /* 0: no window yet */
	/* duration of a full run at the last window's rate; 0: unknown */
	uint64_t full_run_ms;
	bool from_checkpoint; /* the run resumed from a checkpoint */
	/* first and newest listed progress of the run; first_ms 0: none */
	uint32_t first_percent;
	uint32_t last_percent;
	uint64_t first_ms;
	uint64_t last_ms;
};

/*
 * What the present run says of the speed of its machine, to be replaced when it
 * has progressed further. Used by sched/speed.c only.
 */
struct speed_evidence {
	bool seen;
	bool counted;	      /* in the early judgement */
	uint32_t percent;     /* progress at the last observation */
	double precision;     /* contributed to the belief about the machine */
	double weighted_mean; /* and the mean times the precision */
	double stage_weight;  /* contributed to the stage term */
	double stage_sum;
	double stage_variance; /* of the stage term without this run */
	double residual;       /* logarithm of the duration less that term */
	double deviation; /* of it from the belief, in standard deviations */
};

/*
 * Incarnations of upstreams that ended under the runs of a task. Each member of
 * a gang has its own.
 */
struct suspicion {
	uint32_t early_ends; /* soon after the start of a run */
	uint32_t quick_ends; /* those of them at once after it */
	uint32_t late_ends;
	uint32_t longest_ms;  /* the longest run at such an end */
	uint32_t counted_run; /* newest run that was counted */
};

struct task {
	struct stage *stage;
	uint32_t index; /* within the stage */
	enum task_state state;
	uint32_t run;	     /* number of the newest run, 0: none yet */
	uint32_t failures;   /* runs that failed; counted per stage in a gang */
	struct upstream *at; /* where the task is active, else NULL */
	char *checkpoint;    /* NULL: none */
	uint32_t percent;    /* progress as last listed */
	uint64_t percent_listed_ms; /* when it was listed */
	uint32_t first_percent;	    /* first progress listed for this run */
	uint64_t first_percent_ms;  /* when it was listed; 0: not listed yet */
	struct run_rate run_rate;
	struct speed_evidence speed;
	uint64_t placed_ms;
	/* the incarnation of its upstream that the newest run was placed on */
	uint64_t placed_started_wall_ms;
	uint64_t confirmed_ms;
	uint64_t ended_ms;
	bool placed_by_earlier; /* an earlier leader placed the newest run */
	bool inherited;		/* and it was not listed since */
	bool sent;		/* a start order for the newest run was sent */
	bool uncertain;		/* a start order was not answered */
	bool refused;		/* an answered one was not carried out */
	bool retry;		/* the order must be sent again */
	bool earlier_run_done;	/* an earlier run has completed the task */
	uint64_t stop_answered_ms; /* 0: no stop order was answered */
	/* only compared, never dereferenced */
	const struct upstream *last_failed_on;
	struct suspicion suspicion;
	/*
	 * while the end of an incarnation of its upstream is judged: the run
	 * began in the next incarnation
	 */
	bool in_newer_incarnation;
};

struct job;

/* Why a ready stage did not start in the last scheduling pass. */
enum wait_reason {
	WAIT_NONE,	 /* it started, or it was not considered yet */
	WAIT_STOPS,	 /* for runs that are being stopped for it */
	WAIT_NOT_URGENT, /* preemption for it is not worth it yet */
	WAIT_TOO_LATE,	 /* preemption for it gains nothing any more */
	WAIT_LOSS,	 /* no preemption loses less than it gains */
	WAIT_PLAN_LATER, /* a preemption plan has failed recently */
	WAIT_ISOLATION,	 /* a suspect, for an upstream without unproven runs */
	/* while its service is mostly free: */
	WAIT_NO_UPSTREAM, /* no listed upstream could hold a task of it */
	WAIT_EVACUATED,	  /* only one in an evacuated domain could */
	WAIT_AVOIDED,	  /* it would fit on upstreams that get no new work */
	WAIT_RESERVED,	  /* it would fit on what is reserved for others */
};

/* Values computed in one scheduling pass and valid for that pass only. */
struct stage_value {
	uint64_t pass;
	uint64_t run_ms;	      /* expected run time of a task */
	struct duration_estimate run; /* and its distribution */
	uint64_t work_ms;	      /* the job's longest chain of work */
	/* target time from submission to the job's end */
	uint64_t objective_ms;
	uint64_t critical_path_ms; /* from the stage's start to the job's end */
	int64_t slack_ms; /* time it can wait and still meet the objective */
	uint32_t waiting; /* tasks that wait to start */
	double value_in_time;  /* value of the job if it meets the objective */
	double value_late;     /* value of the job if it ends late */
	double upstream_share; /* share of a mean upstream that a task uses */
	/*
	 * Slowdown up to which an upstream serves the stage well enough; 0: the
	 * fastest are preferred, infinite: speed is of no concern.
	 */
	double slowdown_allowed;
	/* value lost by stopping the gang; negative: unknown */
	double gang_stop_loss;
	/* time until the gang is expected to end; 0: unknown */
	uint64_t gang_release_ms;
};

struct stage {
	struct job *job;
	const struct step *step;
	uint32_t step_index;
	uint32_t occurrence;
	uint32_t done;	     /* completed tasks */
	uint32_t failures;   /* failures of the gang as a whole */
	uint32_t failed_run; /* the gang's newest run that failed */
	uint64_t since_ms;   /* when the stage became ready; 0: not ready yet */
	struct task *tasks;
	GQuark reserved_rack; /* rack last freed for it; 0: none */
	/* some active tasks were completed by an earlier run */
	bool earlier_run_done;
	bool moved;	    /* was stopped to start on faster upstreams */
	bool rack_relaxed;  /* may span racks despite the slowdown */
	bool rack_can_hold; /* some rack could hold it if empty */
	/* rack layout for which rack_can_hold was computed */
	uint64_t rack_layout;
	/* precision of its term in sched/speed.c, and that times the mean */
	double speed_weight;
	double speed_sum;
	uint64_t speed_number; /* in the order of the first observation */
	struct stage_value value;
	enum wait_reason wait_reason;
	uint32_t trials_passed; /* suspects of it that were cleared */
	uint64_t next_plan_ms;	/* earliest time of the next preemption plan */
	uint64_t plan_id;	/* last plan that stops tasks of this stage */
	uint32_t plan_stop_count; /* number of tasks stopped by that plan */
	uint32_t preempted;	  /* runs that were stopped for other work */
};

enum job_state {
	JOB_QUEUED,
	JOB_RUNNING,
	JOB_COMPLETED,
	JOB_FAILED,
	JOB_CANCELLED,
};

/*
 * Ranks: urgent work covered by its account's guarantee, other urgent work,
 * then the queues by priority.
 */
#define RANK_GUARANTEED 0
#define RANK_URGENT 1

struct job {
	char id[JOB_ID_BYTES];
	const char *queue; /* held texts */
	const char *account;
	char *payload;
	uint32_t steps_len;
	struct step *steps;
	uint64_t start_at_wall_ms; /* of occurrence 0; 0: at once */
	uint64_t interval_ms;
	uint32_t repeat;      /* occurrences; 0 counts as one, without a time */
	uint64_t received_ms; /* on the store's clock */
	/* wall clock at the instance that accepts it; 0: unknown */
	uint64_t submitted_wall_ms;
	/* the state */
	enum job_state state;
	bool cancel_wanted;
	bool dirty;	   /* differs from its rows */
	bool rows_removed; /* all rows except the state row are removed */
	enum job_state recorded_state; /* the state in the rows */
	uint64_t since_ms;	       /* received_ms on our clock */
	uint64_t ended_ms;	       /* on the store's clock */
	/* Runs that are not known may be active until then. */
	uint64_t unknown_runs_end_ms;
	/*
	 * The stages of the open occurrences, in order. Those of earlier
	 * occurrences are complete, later ones are not due yet. Opening and
	 * releasing occurrences moves the stages, but not their tasks.
	 */
	uint32_t first_occurrence; /* the first that is open */
	uint32_t stages_len;
	struct stage *stages;
	/* settings of its queue, updated with each configuration */
	bool queue_known;
	const char *service; /* the text of its quark */
	GQuark service_quark;
	uint32_t rank; /* valid for the current scheduling pass */
	uint32_t priority;
	uint32_t max_attempts;
	double slack_factor;
	uint64_t target_ms;
};

struct job *job_create(const char *id);
void job_destroy(struct job *j);
struct step *job_add_step(struct job *j);
void step_set_image(struct step *s, const char *image);
GQuark label_quark(const char *label);
bool job_validate(const struct job *j, char **why);
bool job_is_same_submission(const struct job *a, const struct job *b);
void job_set_service(struct job *j, const char *service);
bool job_is_final(const struct job *j);
bool job_has_active_tasks(const struct job *j);
uint32_t job_occurrences(const struct job *j);
bool job_state_is_final(enum job_state s);
const char *job_state_name(enum job_state s);
bool job_state_parse(const char *s, enum job_state *out);
struct task *job_find_task(struct job *j, uint32_t occurrence, uint32_t step,
			   uint32_t index);
bool task_parse_name(const char *name, char *id, uint32_t *occurrence,
		     uint32_t *step, uint32_t *index);
void task_format_name(const struct task *t, char *buf, size_t len);
bool task_is_active(const struct task *t);

/* sched/occurrence.c */
void job_create_stages(struct job *j);
uint32_t job_open_end(const struct job *j);
void job_open_occurrences(struct job *j, uint32_t end);
void job_open_due(struct job *j, uint64_t wall_ms);
void job_release_complete(struct job *j, uint64_t ended_before_ms);

bool stage_is_ready(const struct stage *st, uint64_t wall_ms);
bool stage_is_complete(const struct stage *st);
void stage_free_tasks(struct stage *st);
bool stage_is_idle(const struct stage *st);
bool stage_has_started(const struct stage *st);
uint32_t stage_waiting_count(const struct stage *st);
uint32_t stage_next_run_number(const struct stage *st);
uint64_t stage_due_wall_ms(const struct stage *st);
void stage_share_checkpoint(struct stage *st);

void task_place(struct task *t, struct upstream *u, uint32_t run,
		uint64_t now_ms);
void task_confirm(struct task *t, uint64_t now_ms);
void task_record_progress(struct task *t, uint32_t percent, uint64_t now_ms);
void task_end_run(struct task *t, enum run_end how, const char *checkpoint,
		  uint64_t now_ms);
bool task_record_earlier_done(struct task *t, uint64_t now_ms);
void job_update_completion(struct job *j, uint64_t store_now_ms);
void job_cancel(struct job *j, uint64_t store_now_ms);
const char *run_end_name(enum run_end how);
const char *wait_reason_name(enum wait_reason w);

#endif
