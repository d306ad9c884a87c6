/*
 * Which occurrences of a job are open: those that are due, from the first that
 * is not complete on. Others take no memory.
 */
#include <string.h>

#include "sched/job.h"

/* Return the number of the first occurrence after the open ones. */
uint32_t job_open_end(const struct job *j)
{
	return j->first_occurrence + j->stages_len / j->steps_len;
}

/* Point the tasks of all open stages at the stages, which were moved. */
static void relink_tasks(struct job *j)
{
	for (uint32_t i = 0; i < j->stages_len; i++)
		for (uint32_t t = 0; t < j->stages[i].step->count; t++)
			j->stages[i].tasks[t].stage = &j->stages[i];
}

/* Open the occurrences of j up to number end, which is not included. */
void job_open_occurrences(struct job *j, uint32_t end)
{
	uint32_t from = job_open_end(j), n = j->stages_len;

	end = MIN(end, job_occurrences(j));
	if (from >= end)
		return;
	j->stages_len += (end - from) * j->steps_len;
	j->stages = g_renew(struct stage, j->stages, j->stages_len);
	memset(&j->stages[n], 0, (j->stages_len - n) * sizeof(*j->stages));
	for (uint32_t k = from; k < end; k++) {
		for (uint32_t i = 0; i < j->steps_len; i++) {
			struct stage *st = &j->stages[n++];

			st->job = j;
			st->step = &j->steps[i];
			st->step_index = i;
			st->occurrence = k;
			st->tasks = g_new0(struct task, st->step->count);
			for (uint32_t t = 0; t < st->step->count; t++)
				st->tasks[t].index = t;
		}
	}
	relink_tasks(j);
}

/*
 * Create the stages and tasks of the first occurrence of a job that
 * job_validate has passed. Those of later occurrences are created when they are
 * due: a job of 1,000 occurrences of four tasks would take 1.5 MB.
 */
void job_create_stages(struct job *j)
{
	job_open_occurrences(j, 1);
}

/* Open the occurrences of j that are due at wall_ms. */
void job_open_due(struct job *j, uint64_t wall_ms)
{
	uint32_t end = job_open_end(j);

	while (end < job_occurrences(j) &&
	       j->start_at_wall_ms + end * j->interval_ms <= wall_ms)
		end++;
	job_open_occurrences(j, end);
}

/*
 * Report whether the stages of the first open occurrence of j are complete, its
 * last run ended before ended_before_ms, and none is active.
 */
static bool first_is_over(const struct job *j, uint64_t ended_before_ms)
{
	for (uint32_t i = 0; i < j->steps_len; i++) {
		const struct stage *st = &j->stages[i];

		if (!stage_is_complete(st) || !stage_is_idle(st))
			return false;
		for (uint32_t t = 0; t < st->step->count; t++)
			if (st->tasks[t].ended_ms >= ended_before_ms)
				return false;
	}
	return true;
}

/*
 * Release the stages of the first occurrences of j that are complete and whose
 * last run ended before ended_before_ms. One occurrence always remains.
 */
void job_release_complete(struct job *j, uint64_t ended_before_ms)
{
	bool released = false;

	while (j->stages_len > j->steps_len &&
	       first_is_over(j, ended_before_ms)) {
		for (uint32_t i = 0; i < j->steps_len; i++)
			stage_free_tasks(&j->stages[i]);
		j->stages_len -= j->steps_len;
		memmove(j->stages, &j->stages[j->steps_len],
			j->stages_len * sizeof(*j->stages));
		j->first_occurrence++;
		released = true;
	}
	if (!released)
		return;
	j->stages = g_renew(struct stage, j->stages, j->stages_len);
	relink_tasks(j);
}
