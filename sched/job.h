/*
 * Work: jobs, their steps, the stages that have to run and the runs of
 * their tasks.  A stage is one occurrence of one step.  Nothing here does
 * I/O; times are monotonic milliseconds of the caller unless they say
 * otherwise.
 */
#ifndef SCHED_JOB_H
#define SCHED_JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define JOB_ID_BYTES 24
#define LABEL_BYTES 64
#define TASK_NAME_BYTES 64
#define JOB_STEPS_MAX 64

struct upstream;

/* What a task needs, or an upstream has. */
struct resources {
	int64_t cpu_milli;
	int64_t memory_mb;
	int64_t accelerators;
};

struct step {
	uint32_t count;
	struct resources need;
	uint32_t estimate_ms;
	uint32_t after_len;
	uint32_t *after;
	bool checkpoints;
	bool gang;
	bool rack_sensitive;  /* slower when its tasks span racks */
	bool speculative;     /* may run more than once at a time */
	bool long_running;    /* runs until the job is cancelled */
	bool best_effort_cpu; /* takes only the processor that others leave */
	uint32_t spread;      /* tasks on one upstream at most; 0: any */
	uint32_t max_unavailable;
	uint32_t target_ms;
	char label[LABEL_BYTES];
	char data_rack[LABEL_BYTES];
	char image[LABEL_BYTES];
	GQuark label_quark; /* of label and data_rack, for comparisons */
	GQuark data_rack_quark;
	uint64_t expected_ms; /* as estimator_duration_ms has found it ... */
	uint64_t expected_version; /* ... in this version of what is learned */
};

enum task_state {
	TASK_WAITING,
	TASK_PLACED,   /* chosen and recorded; not yet confirmed */
	TASK_RUNNING,  /* the upstream has confirmed it */
	TASK_STOPPING, /* a stop is wanted; its end is awaited */
	TASK_DONE,
};

enum run_end {
	RUN_DONE,
	RUN_FAILED,
	RUN_STOPPED,
	RUN_LEASE_EXPIRED,   /* the lease ended */
	RUN_GANG_BROKEN,     /* another member of the gang ended */
	RUN_GANG_INCOMPLETE, /* the other members did not come in time */
	RUN_NEVER_STARTED,   /* it is certain that it has not started */
	RUN_UPSTREAM_GONE,   /* its upstream has gone */
};

struct stage;

/* How fast a run goes. */
struct run_rate {
	uint32_t percent;  /* at the start of the present window ... */
	uint64_t since_ms; /* ... on its upstream's clock; 0: none yet */
	uint64_t
		full_run_ms; /* all of it at the last window's pace; 0: unknown */
	bool from_checkpoint; /* the run has begun from a checkpoint */
};

struct task {
	struct stage *stage;
	uint32_t index; /* within the stage */
	enum task_state state;
	uint32_t run; /* number of the newest run, 0: none yet */
	uint32_t failures;
	struct upstream *at;	    /* while it occupies room */
	char *checkpoint;	    /* NULL: none */
	uint32_t percent;	    /* of the whole work, as last listed */
	uint64_t percent_listed_ms; /* when it was listed */
	uint32_t first_percent;	    /* of this run, as first listed ... */
	uint64_t first_percent_ms;  /* ... then; 0: not listed yet */
	struct run_rate run_rate;
	uint64_t placed_ms;
	uint64_t confirmed_ms;
	uint64_t ended_ms;
	bool inherited; /* placed by an earlier leader, not seen yet */
	bool sent;	/* an order to start the newest run has gone out */
	bool uncertain; /* such an order was not answered */
	bool retry;	/* its order has to be sent again */
	bool earlier_run_done;	   /* an earlier run has ended as done */
	uint64_t stop_answered_ms; /* 0: no stop of it was answered */
	const struct upstream *last_failed_on; /* the last one; not followed */
};

struct job;

/* What a pass of the scheduler has worked out; it is valid for that pass. */
struct stage_value {
	uint64_t pass;
	uint64_t run_ms; /* of a task */
	uint64_t
		objective_ms; /* from its submission the job should take so long */
	uint64_t
		critical_path_ms; /* from the start of the stage to the job's end */
	int64_t slack_ms;	  /* it can wait so long and end in time */
	double value_in_time;	  /* worth of the job then ... */
	double value_late;	  /* ... and when it ends late */
	double upstream_share; /* of a mean upstream that a task takes */
	double gang_stop_loss; /* of stopping a gang; negative: not known */
};

struct stage {
	struct job *job;
	const struct step *step;
	uint32_t step_index;
	uint32_t occurrence;
	uint32_t done;	     /* tasks */
	uint32_t failures;   /* of the gang as a whole */
	uint32_t failed_run; /* the gang's newest run that failed */
	uint64_t since_ms;   /* its turn has come; 0: not yet */
	struct task *tasks;
	GQuark reserved_rack;  /* where room was made for it last; 0: nowhere */
	bool earlier_run_done; /* an earlier run of active tasks is done */
	bool rack_relaxed;     /* may span racks though that is slower */
	bool rack_can_hold;    /* a rack could hold it if it were empty ... */
	uint64_t rack_layout;  /* ... when the racks had this shape */
	struct stage_value value;
	uint64_t next_plan_ms; /* no plan to make room is tried before then */
	uint64_t plan_id;      /* the last plan that gives tasks of it up ... */
	uint32_t plan_stop_count; /* ... and how many */
};

enum job_state {
	JOB_QUEUED,
	JOB_RUNNING,
	JOB_COMPLETED,
	JOB_FAILED,
	JOB_CANCELLED,
};

struct job {
	char id[JOB_ID_BYTES];
	char queue[LABEL_BYTES];
	char account[LABEL_BYTES];
	char *payload;
	uint32_t steps_len;
	struct step *steps;
	uint64_t start_at_wall_ms; /* of occurrence 0; 0: at once */
	uint64_t interval_ms;
	uint32_t repeat;      /* occurrences; 0 counts as one, without a time */
	uint64_t received_ms; /* on the store's clock */
	/* the state */
	enum job_state state;
	bool cancel_wanted;
	bool dirty;	   /* differs from its rows */
	bool rows_removed; /* its rows, but for the state, are removed */
	enum job_state recorded_state; /* the state in the rows */
	uint64_t since_ms;	       /* received_ms on our clock */
	uint64_t ended_ms;	       /* on the store's clock */
	uint32_t stages_len;
	struct stage *stages;
	/* of its queue, refreshed with each configuration */
	bool queue_known;
	char service[LABEL_BYTES];
	GQuark service_quark;
	uint32_t rank; /* in the present pass of the scheduler */
	uint32_t priority;
	uint32_t max_attempts;
	double slack_factor;
	uint64_t target_ms;
};

struct job *job_create(const char *id);
void job_destroy(struct job *j);
struct step *job_add_step(struct job *j);
bool job_validate(const struct job *j, char **why);
void job_create_stages(struct job *j);
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

bool stage_is_ready(const struct stage *st, uint64_t wall_ms);
bool stage_is_idle(const struct stage *st);
bool stage_has_started(const struct stage *st);
uint32_t stage_waiting_count(const struct stage *st);
uint32_t stage_next_run_number(const struct stage *st);
uint64_t stage_due_wall_ms(const struct stage *st);

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

#endif
