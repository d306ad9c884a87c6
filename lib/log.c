/*
 * The logger.  A record has a time, level, program, instance, an event
 * name and a text.  The same event name is written at most LOG_EVENT_RECORDS_PER_S_MAX
 * times a second; the next record then says how many were dropped.
 * Records go to standard output, and are lost rather than waited for
 * when it is a pipe that nobody reads.
 */
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <jansson.h>

#include "lib/log.h"
#include "lib/loop.h"

#define LOG_EVENT_RECORDS_PER_S_MAX 400
#define LOG_RATE_COUNT 64
#define LOG_TEXT_BYTES 512
#define LOG_LINE_BYTES 4096 /* PIPE_BUF */

struct log_rate {
	char event[32];
	uint64_t second;
	uint32_t written;
	uint32_t dropped;
};

static const char *const level_names[] = {"debug", "info", "warn", "error"};
static char program_name[32];
static char instance_name[64];
static enum log_level min_level = LOG_INFO;
static struct log_rate rates[LOG_RATE_COUNT];
static uint64_t lost_count;

/* Name the program and instance of every later record. */
void log_open(const char *program, const char *instance, enum log_level min)
{
	snprintf(program_name, sizeof(program_name), "%s", program);
	snprintf(instance_name, sizeof(instance_name), "%s", instance);
	min_level = min;
}

/* Read a level's name into *lv; false when there is no such level. */
bool log_level_parse(const char *s, enum log_level *lv)
{
	for (int i = LOG_DEBUG; i <= LOG_ERROR; i++) {
		if (!strcmp(s, level_names[i])) {
			*lv = i;
			return true;
		}
	}
	return false;
}

static struct log_rate *rate_find(const char *event)
{
	uint32_t h = 5381;
	struct log_rate *k;

	for (const char *p = event; *p; p++)
		h = h * 33 + (unsigned char)*p;
	k = &rates[h % LOG_RATE_COUNT];
	if (strncmp(k->event, event, sizeof(k->event) - 1)) {
		memset(k, 0, sizeof(*k));
		snprintf(k->event, sizeof(k->event), "%s", event);
	}
	return k;
}

/* Count one more record of kind k; false when it is over the rate. */
static bool rate_admit(struct log_rate *k, uint32_t *dropped)
{
	uint64_t s = clock_mono_ms() / 1000;

	*dropped = 0;
	if (k->second != s) {
		*dropped = k->dropped;
		k->second = s;
		k->written = 0;
		k->dropped = 0;
	}
	if (k->written >= LOG_EVENT_RECORDS_PER_S_MAX) {
		k->dropped++;
		return false;
	}
	k->written++;
	return true;
}

static json_t *create_record(enum log_level lv, const char *event,
			     uint32_t dropped)
{
	json_t *r = json_pack("{s:I,s:I,s:s,s:s,s:s,s:s}", "time_ms",
			      (json_int_t)clock_wall_ms(), "mono_ms",
			      (json_int_t)clock_mono_ms(), "level",
			      level_names[lv], "program", program_name,
			      "instance", instance_name, "event", event);

	if (dropped)
		json_object_set_new(r, "dropped", json_integer(dropped));
	return r;
}

/*
 * Write r, which is taken, as one line.  A pipe that is writable takes
 * PIPE_BUF bytes without blocking; longer records are cut to that.
 */
static void write_record(json_t *r)
{
	char *s = json_dumps(r, JSON_COMPACT | JSON_PRESERVE_ORDER);
	struct pollfd p = {.fd = STDOUT_FILENO, .events = POLLOUT};
	char line[LOG_LINE_BYTES];
	int n;

	json_decref(r);
	if (!s)
		return;
	n = snprintf(line, sizeof(line) - 1, "%s", s);
	if (n > (int)sizeof(line) - 2)
		n = sizeof(line) - 2;
	line[n++] = '\n';
	free(s);
	if (poll(&p, 1, 0) != 1 || !(p.revents & POLLOUT) ||
	    write(STDOUT_FILENO, line, n) != n)
		lost_count++;
}

/* Return how many records were lost because nobody read the output. */
uint64_t log_lost(void)
{
	return lost_count;
}

/* Write one record of event what at level lv. */
void log_line(enum log_level lv, const char *event, const char *fmt, ...)
{
	char text[LOG_TEXT_BYTES];
	uint32_t dropped;
	va_list ap;
	json_t *r;

	if (lv < min_level || !rate_admit(rate_find(event), &dropped))
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	r = create_record(lv, event, dropped);
	json_object_set_new(r, "text", json_string(text));
	write_record(r);
}

/*
 * Write one record of event what at level lv with the fields that fmt
 * packs, as json_pack does.
 */
void log_fields(enum log_level lv, const char *event, const char *fmt, ...)
{
	uint32_t dropped;
	va_list ap;
	json_t *r, *fields;

	if (lv < min_level || !rate_admit(rate_find(event), &dropped))
		return;
	va_start(ap, fmt);
	fields = json_vpack_ex(NULL, 0, fmt, ap);
	va_end(ap);
	r = create_record(lv, event, dropped);
	if (fields)
		json_object_update(r, fields);
	json_decref(fields);
	write_record(r);
}
