/* Declarations shared by the commands of lacewingctl. */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <glib.h>
#include <stdbool.h>
#include <jansson.h>

#include "lib/http.h"
#include "lib/schema.h"

enum exit_code {
	EXIT_RAN = 0,
	EXIT_DID_NOT_RUN = 1,
	EXIT_USAGE = 2,
	EXIT_MAY_HAVE_RUN = 3,
	EXIT_UNREACHABLE = 4,
};

struct ctl {
	struct loop *loop;
	struct http_client *http;
	char *server;
	bool json;
	int timeout_ms;
};

struct reply {
	struct verdict verdict; /* whether the HTTP request was answered */
	int status;
	json_t *body;
};

struct column {
	const char *title;
	const char *name; /* JSON key of the rows */
};

/* call.c */
struct reply ctl_call(struct ctl *c, const char *server, const char *method,
		      const char *path, const json_t *body);
int ctl_call_and_print(struct ctl *c, const char *method, const char *path,
		       const json_t *body, const struct column *columns,
		       const char *list);
int ctl_exit_code(const struct reply *r);
void ctl_print_error(const struct ctl *c, const struct reply *r);
char *ctl_find_coordinator(struct ctl *c, const char *domain);
json_t *ctl_get_instances(struct ctl *c);

/* options.c */
bool ctl_parse_options(const char *prefix, GOptionContext *o,
		       const GOptionEntry *entries, int *argc, char ***argv);

/* table.c */
void table_print(const json_t *rows, const struct column *columns);
void record_print(const json_t *record);

/* Commands: argv[0] is the command's name; each returns an exit_code. */
int cmd_check(struct ctl *c, int argc, char **argv);
int cmd_submit(struct ctl *c, int argc, char **argv);
int cmd_get(struct ctl *c, int argc, char **argv);
int cmd_list(struct ctl *c, int argc, char **argv);
int cmd_watch(struct ctl *c, int argc, char **argv);
int cmd_cancel(struct ctl *c, int argc, char **argv);
int cmd_why(struct ctl *c, int argc, char **argv);
int cmd_stuck(struct ctl *c, int argc, char **argv);
int cmd_account(struct ctl *c, int argc, char **argv);
int cmd_config(struct ctl *c, int argc, char **argv);
int cmd_instances(struct ctl *c, int argc, char **argv);
int cmd_upstreams(struct ctl *c, int argc, char **argv);
int cmd_events(struct ctl *c, int argc, char **argv);
int cmd_drain(struct ctl *c, int argc, char **argv);
int cmd_report(struct ctl *c, int argc, char **argv);
int cmd_new(struct ctl *c, int argc, char **argv);

#endif
