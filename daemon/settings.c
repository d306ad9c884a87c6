/* Defines the settings, their bounds and defaults, and reads them. */
#include <glib.h>

#include "daemon/settings.h"
#include "lib/http.h"
#include "lib/loop.h"

static const char *const log_levels[] = {"debug", "info", "warn", "error",
					 NULL};

static const struct field limit_fields[] = {
	{"max_body_bytes", FIELD_INTEGER, false, 1024, 16 << 20, "bytes"},
	{"max_checks", FIELD_INTEGER, false, 1, 100000, "checks"},
	{"upstream_connections", FIELD_INTEGER, false, 1, 1000, "connections"},
	{"drain_ms", FIELD_INTEGER, false, 0, 600000, "milliseconds"},
	{"stop_ms", FIELD_INTEGER, false, 0, 600000, "milliseconds"},
	{"scan_ms", FIELD_INTEGER, false, 10, 10000, "milliseconds"},
	{"events", FIELD_INTEGER, false, 16, 100000, "events"},
	{0}};

const struct field settings_fields[] = {
	{"name", FIELD_NAME, true, 1, 60, "characters"},
	{"domain", FIELD_NAME, true, 1, 60, "characters"},
	{"http", FIELD_ADDRESS, true},
	{"peer", FIELD_ADDRESS, true},
	{"platform", FIELD_ARRAY, true, 1, 16, "addresses",
	 .item = FIELD_ADDRESS},
	{"seeds", FIELD_ARRAY, false, 0, 64, "addresses",
	 .item = FIELD_ADDRESS},
	{"log_level", FIELD_CHOICE, .choices = log_levels},
	{"limits", FIELD_OBJECT, .fields = limit_fields},
	{0}};

static uint32_t parse_addresses(const json_t *list, struct sockaddr_in **out)
{
	uint32_t n = json_array_size(list);
	struct sockaddr_in *a = g_new0(struct sockaddr_in, n + 1);

	for (uint32_t i = 0; i < n; i++)
		address_parse(json_string_value(json_array_get(list, i)),
			      &a[i]);
	*out = a;
	return n;
}

static void read_limits(struct settings *s, const json_t *v)
{
	s->max_body_bytes = json_int_or(v, "max_body_bytes", 256 << 10);
	s->max_checks = json_int_or(v, "max_checks", 4000);
	s->upstream_connections = json_int_or(v, "upstream_connections", 20);
	s->drain_ms = json_int_or(v, "drain_ms", 2000);
	s->stop_ms = json_int_or(v, "stop_ms", 30000);
	s->scan_ms = json_int_or(v, "scan_ms", 250);
	s->events = json_int_or(v, "events", 4000);
}

static struct settings *read_settings(const json_t *v)
{
	struct settings *s = g_new0(struct settings, 1);

	g_strlcpy(s->name, json_str_or(v, "name", ""), sizeof(s->name));
	g_strlcpy(s->domain, json_str_or(v, "domain", ""), sizeof(s->domain));
	address_parse(json_str_or(v, "http", ""), &s->http);
	address_parse(json_str_or(v, "peer", ""), &s->peer);
	s->platform_len =
		parse_addresses(json_object_get(v, "platform"), &s->platform);
	s->seeds_len = parse_addresses(json_object_get(v, "seeds"), &s->seeds);
	log_level_parse(json_str_or(v, "log_level", "info"), &s->log_level);
	read_limits(s, json_object_get(v, "limits"));
	s->incarnation = clock_wall_ms();
	return s;
}

/* Read settings from file; NULL, with problems added to p, if invalid. */
struct settings *settings_load(const char *file, struct problems *p)
{
	json_t *v = schema_load(settings_fields, file, p);
	struct settings *s = v ? read_settings(v) : NULL;

	json_decref(v);
	return s;
}

/* Free s, which may be NULL. */
void settings_destroy(struct settings *s)
{
	if (!s)
		return;
	g_free(s->platform);
	g_free(s->seeds);
	g_free(s);
}
