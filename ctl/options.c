/* The options of a command. */
#include <stdio.h>

#include "ctl/ctl.h"

/*
 * Parse the options of a command, described by o, which is freed. An error is
 * printed after prefix; returns false then.
 */
bool ctl_parse_options(const char *prefix, GOptionContext *o,
		       const GOptionEntry *entries, int *argc, char ***argv)
{
	GError *err = NULL;
	bool ok;

	g_option_context_add_main_entries(o, entries, NULL);
	ok = g_option_context_parse(o, argc, argv, &err);
	if (!ok) {
		fprintf(stderr, "%s: %s\n", prefix, err->message);
		g_error_free(err);
	}
	g_option_context_free(o);
	return ok;
}
