/* Counted references to texts; equal texts share one copy. */
#include <glib.h>
#include <stdarg.h>

#include "sched/text.h"

/*
 * Hold s in place of what *to holds, which is NULL or was set before. s may be
 * the text that *to holds.
 */
void text_set(const char **to, const char *s)
{
	char *held = g_ref_string_new_intern(s);

	text_clear(to);
	*to = held;
}

/* Hold a formatted text in place of what *to holds. */
void text_set_format(const char **to, const char *fmt, ...)
{
	va_list ap;
	char *s;

	va_start(ap, fmt);
	s = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	text_set(to, s);
	g_free(s);
}

/* Let go of what *t holds, if anything; *t is NULL then. */
void text_clear(const char **t)
{
	if (*t)
		g_ref_string_release((char *)*t);
	*t = NULL;
}
