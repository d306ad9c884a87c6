/* Adds up the time that jobs lost in each window, and what happened there. */
#include "report/window.h"

/* Report whether an event may explain lost time. */
bool event_is_notable(enum event_kind k)
{
	switch (k) {
	case EVENT_LEADING:
	case EVENT_LEADERSHIP_LOST:
	case EVENT_STORE_LOST:
	case EVENT_STORE_REGAINED:
	case EVENT_STARTED:
	case EVENT_STOPPING:
	case EVENT_STOOD_STILL:
	case EVENT_POLICY:
	case EVENT_UPSTREAM_PACE:
	case EVENT_UPSTREAM_SILENT:
	case EVENT_UPSTREAM_LOST:
	case EVENT_UPSTREAM_STATE:
	case EVENT_START_FAILED:
		return true;
	case EVENT_OTHER:
	case EVENT_UPSTREAM_SPEED:
	case EVENT_REQUEST_ENDED:
	case EVENT_REQUEST_REFUSED:
	case EVENT_JOB_KNOWN:
	case EVENT_STAGE_WAITS:
	case EVENT_START_DECIDED:
	case EVENT_STOP_DECIDED:
	case EVENT_RUN_ENDED:
	case EVENT_JOB_STATE:
	case EVENT_KINDS_COUNT:
		break;
	}
	return false;
}

/* Add the part of each span that lies in each window. */
static void add_spans(GArray *windows, const struct job_history *j,
		      int64_t first_ms)
{
	for (guint i = 0; i < j->spans->len; i++) {
		const struct span *s = &g_array_index(j->spans, struct span, i);

		if (s->cause == CAUSE_RUNNING)
			continue;
		for (int64_t t = MAX(s->from_ms, first_ms); t < s->to_ms;) {
			guint k = (t - first_ms) / WINDOW_MS;
			int64_t end =
				MIN(s->to_ms, first_ms + (k + 1) * WINDOW_MS);
			struct window *w;

			if (k >= windows->len)
				break;
			w = &g_array_index(windows, struct window, k);
			w->by_cause_ms[s->cause] += end - t;
			w->lost_ms += end - t;
			t = end;
		}
	}
}

/*
 * Return the windows of the time line (struct window, by time), to be freed
 * with g_array_unref. Lost time is that in which a job that was not served in
 * time did not run.
 */
GArray *windows_create(const struct report *r)
{
	const struct history *h = r->history;
	GArray *a = g_array_new(FALSE, TRUE, sizeof(struct window));

	if (!r->set->records->len)
		return a;
	g_array_set_size(a, (h->last_ms - h->first_ms) / WINDOW_MS + 1);
	for (guint i = 0; i < a->len; i++)
		g_array_index(a, struct window, i).from_ms =
			h->first_ms + (int64_t)i * WINDOW_MS;
	for (guint i = 0; i < h->jobs->len; i++) {
		const struct job_history *j = g_ptr_array_index(h->jobs, i);

		if (job_history_missed(j) && report_includes(r, j))
			add_spans(a, j, h->first_ms);
	}
	for (guint i = 0; i < r->set->records->len; i++) {
		const struct record *x =
			&g_array_index(r->set->records, struct record, i);
		guint k = (x->time_ms - h->first_ms) / WINDOW_MS;

		g_array_index(a, struct window, k).events[x->kind]++;
	}
	return a;
}
