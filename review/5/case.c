/*
 * A job has two steps, which need not wait for each other. The first names its
 * image in a script of three bytes a letter. The job may be shown as completed
 * only when the tasks of both steps have ended `done`.
 */
#include <string.h>

#include "review/standin/site.h"

#define JOB "00000000000000e1"
#define WATCH_S 30
#define WORK_MS 1000
#define TASKS 2

#define IMAGE_PLAIN "registry/village-recon:11"
/* 71 bytes of UTF-8 */
#define IMAGE_LONG                                                             \
	"registry.1/"                                                          \
	"\u0997\u09cd\u09b0\u09be\u09ae\u09ae\u09bf\u09b2\u09be\u09a8"         \
	"\u0997\u09cd\u09b0\u09be\u09ae\u09ae\u09bf\u09b2\u09be\u09a8"

int main(int argc, char **argv)
{
	struct site_shape shape = {argc > 1 ? argv[1] : ".", 3, 8, 1};
	struct site *s = site_create(&shape);
	const char *state = "";
	int rc = CASE_NOT_RUN;

	if (site_submit(s, JOB,
			json_pack("[{s:i,s:i,s:i,s:i,s:s},{s:i,s:i,s:i,s:i}]",
				  "count", 1, "cpu", 1000, "memMb", 1000,
				  "estimateMs", WORK_MS, "image",
				  site_trouble() ? IMAGE_LONG : IMAGE_PLAIN,
				  "count", 1, "cpu", 1000, "memMb", 1000,
				  "estimateMs", WORK_MS),
			WORK_MS) != 200)
		goto out;
	for (int i = 0; i < WATCH_S && strcmp(state, "completed"); i++) {
		site_run_for(s, 1000);
		state = site_state(s, JOB);
	}
	site_record(s, "workers: %u tasks of %d have ended done",
		    site_ends_of(s, JOB, "done"), TASKS);
	rc = CASE_HELD;
	if (!strcmp(state, "completed") &&
	    site_ends_of(s, JOB, "done") < TASKS) {
		site_record(s, "BROKEN MIXED: %s is shown as completed", JOB);
		rc = CASE_BROKEN;
	} else if (strcmp(state, "completed")) {
		site_record(s, "BROKEN LOST: %s is not completed", JOB);
		rc = CASE_BROKEN;
	}
out:
	site_record(s, "exit %d", rc);
	site_destroy(s);
	return rc;
}
