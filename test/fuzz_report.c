/*
 * Fuzz of the report. Each pair of input bytes becomes a plausible record, with
 * some bytes copied into it, or a raw line; whatever comes, the parts of each
 * job's time must add up.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "report/clocks.h"
#include "report/history.h"

static const char *const events[] = {
	"request_ended",   "job_known",	      "stage_waits",	"start_decided",
	"stop_decided",	   "run_ended",	      "job_state",	"leading",
	"leadership_lost", "store_lost",      "store_regained", "started",
	"upstream_pace",   "request_refused", "policy",		"start_failed"};
static const char *const texts[] = {"done",  "failed",	  "stopped",
				    "stops", "completed", "canceled",
				    "lost",  "submit"};

/* Add a record that is made of four bytes. */
static void add_record(struct record_set *s, const uint8_t *b, int64_t *ms)
{
	const char *text = texts[b[1] % G_N_ELEMENTS(texts)];
	char line[600];
	int n;

	*ms += b[3];
	n = snprintf(line, sizeof(line),
		     "{\"time_ms\":%" PRId64 ",\"mono_ms\":%" PRId64
		     ",\"instance\":\"i%d\",\"event\":\"%s\",\"job\":\"j%d\","
		     "\"task\":\"j%d.0.%d.%d\",\"run\":%d,\"how\":\"%s\","
		     "\"why\":\"%s\",\"state\":\"%s\",\"kind\":\"submit\","
		     "\"status\":%d,\"after_ms\":%d,\"confirmed_after_ms\":%d,"
		     "\"took_ms\":%d,\"tasks\":%d,\"counts\":[%d,1],"
		     "\"gang\":%s,\"table\":\"t\",\"version\":%d,"
		     "\"upstream\":\"u%d\",\"slow\":true,\"queue\":\"q%d\"}",
		     *ms, *ms - (b[0] & 3) * 1000, b[0] & 3,
		     events[b[0] % G_N_ELEMENTS(events)], b[1] & 3, b[1] & 3,
		     b[2] & 1, b[2] >> 6, b[2] & 7, text, text, text,
		     b[2] & 8 ? 200 : 503, b[3] * 8 - 300, b[3] - 20, b[3],
		     b[2] & 3, b[2] & 3, b[1] & 16 ? "true" : "false", b[3],
		     b[2] & 7, b[1] & 1);
	record_set_add_line(s, line, n);
}

/* Abort if the parts of a job's time do not add up. */
static void check_job(const struct job_history *j)
{
	int64_t at = j->first_ms, sum = 0;

	for (guint i = 0; i < j->spans->len; i++) {
		const struct span *s = &g_array_index(j->spans, struct span, i);

		if (s->from_ms != at || s->to_ms <= s->from_ms)
			abort();
		at = s->to_ms;
	}
	for (int c = 0; c < CAUSES_COUNT; c++)
		sum += j->by_cause_ms[c];
	if (sum != j->ended_ms - j->first_ms)
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct record_set *s = record_set_create();
	struct history *h;
	GArray *clocks;
	int64_t ms = 1000000;

	for (size_t i = 0; i + 4 <= len; i += 4)
		if (data[i] == 255)
			record_set_add_line(s, (const char *)data + i, len - i);
		else
			add_record(s, data + i, &ms);
	clocks = clocks_align(s);
	h = history_create(s);
	for (guint i = 0; i < h->jobs->len; i++)
		check_job(g_ptr_array_index(h->jobs, i));
	history_destroy(h);
	g_array_unref(clocks);
	record_set_destroy(s);
	return 0;
}
