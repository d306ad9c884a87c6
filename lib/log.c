/*
 * The logger.  A record has a time, level, program, instance, event name,
 * and text or fields.  Each event name is limited to
 * LOG_EVENT_RECORDS_PER_S_MAX records per second; its next record after
 * that second gives the number of dropped ones.  Records go to standard
 * output.  When that is a full pipe, a record is lost, so that a stalled
 * reader cannot block the program.
 */
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <glib.h>
#include <jansson.h>

#include "lib/log.h"
#include "lib/loop.h"

#define LOG_EVENT_RECORDS_PER_S_MAX 400
#define LOG_RATE_COUNT 64
#define LOG_LINE_BYTES 4096 /* PIPE_BUF */
/*
 * Texts of a record that is too long for a line are shortened to this, and then
 * to half of it, until the record fits.
 */
#define LOG_FIELD_MAX_BYTES 512
#define LOG_FIELD_MIN_BYTES 16
/* Digits of the digest that tells shortened texts apart. */
#define LOG_DIGEST_DIGITS 16

/*
 * Rate limit of one event name.  Names with the same hash share an entry
 * and reset each other's counts.
 */
struct log_rate {
	char event[32];
	uint64_t second;
	uint32_t written;
	uint32_t dropped;
};

static const char *const level_names[] = {"debug", "info", "warn", "error"};
static char program_name[32];
static char instance_name[INSTANCE_NAME_BYTES];
static enum log_level min_level = LOG_INFO;
static struct log_rate rates[LOG_RATE_COUNT];
static uint64_t lost_count;
static uint64_t shortened_count;

/* Set the program, instance and minimum level of later records. */
void log_open(const char *program, const char *instance, enum log_level min)
{
	snprintf(program_name, sizeof(program_name), "%s", program);
	snprintf(instance_name, sizeof(instance_name), "%s", instance);
	min_level = min;
}

/* Parse a level's name into *lv; return false when it is unknown. */
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

/* Return the entry of an event name, reset when another name used it. */
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

/*
 * Count one more record of k's event; return false when it exceeds the
 * rate limit.  At the first record of a second, *dropped is set to the
 * count dropped in the last second that had records, otherwise to 0.
 */
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

/* Return the first bytes of s, at most max, and a digest of all of it. */
static json_t *shorten_text(const char *s, size_t max)
{
	char *digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, s, -1);
	char *head = g_strndup(s, max), *valid = g_utf8_make_valid(head, -1);
	json_t *v =
		json_sprintf("%s...#%.*s", valid, LOG_DIGEST_DIGITS, digest);

	g_free(valid);
	g_free(head);
	g_free(digest);
	return v;
}

/* Shorten the texts of r that are longer than max bytes. */
static void shorten_record(json_t *r, size_t max)
{
	const char *name;
	json_t *v;
	void *next;

	json_object_foreach_safe(r, next, name, v)
	{
		if (json_string_length(v) > max)
			json_object_set_new(
				r, name,
				shorten_text(json_string_value(v), max));
	}
}

/*
 * Return r as a text that fits into a line; release with free(). Texts of a
 * longer record are shortened, which shortened_count tells.
 */
static char *encode_record(json_t *r)
{
	char *s = json_dumps(r, JSON_COMPACT | JSON_PRESERVE_ORDER);

	if (s && strlen(s) > LOG_LINE_BYTES - 1)
		shortened_count++;
	for (size_t max = LOG_FIELD_MAX_BYTES;
	     s && strlen(s) > LOG_LINE_BYTES - 1 && max >= LOG_FIELD_MIN_BYTES;
	     max /= 2) {
		shorten_record(r, max);
		free(s);
		s = json_dumps(r, JSON_COMPACT | JSON_PRESERVE_ORDER);
	}
	return s;
}

/*
 * Write r as one line and release it.  A writable pipe accepts PIPE_BUF
 * bytes without blocking. A record that cannot be made to fit is lost.
 */
static void write_record(json_t *r)
{
	char *s = encode_record(r);
	struct pollfd p = {.fd = STDOUT_FILENO, .events = POLLOUT};
	char line[LOG_LINE_BYTES];
	int n;

	json_decref(r);
	if (!s || strlen(s) > sizeof(line) - 1) {
		free(s);
		lost_count++;
		return;
	}
	n = strlen(s);
	memcpy(line, s, n);
	line[n++] = '\n';
	free(s);
	if (poll(&p, 1, 0) != 1 || !(p.revents & POLLOUT) ||
	    write(STDOUT_FILENO, line, n) != n)
		lost_count++;
}

/* Return the number of records whose texts were shortened. */
uint64_t log_shortened(void)
{
	return shortened_count;
}

/* Return the number of records lost because the output was not read. */
uint64_t log_lost(void)
{
	return lost_count;
}

/*
 * Write one record of the event at level lv with a formatted text. What is not
 * valid UTF-8 in it, as where a text was cut, is replaced.
 */
void log_line(enum log_level lv, const char *event, const char *fmt, ...)
{
	char *text, *valid;
	uint32_t dropped;
	va_list ap;
	json_t *r;

	if (lv < min_level || !rate_admit(rate_find(event), &dropped))
		return;
	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	r = create_record(lv, event, dropped);
	valid = g_utf8_make_valid(text, -1);
	json_object_set_new(r, "text", json_string(valid));
	g_free(valid);
	g_free(text);
	write_record(r);
}

/*
 * Write one record of the event at level lv with the object that fmt
 * describes, as for json_pack. The record says so if a field is not valid UTF-8.
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
	else
		json_object_set_new(r, "text",
				    json_string("fields are not UTF-8"));
	json_decref(fields);
	write_record(r);
}
