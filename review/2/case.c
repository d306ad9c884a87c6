/*
 * The store leaves the writes of a new job unanswered and carries one out late,
 * as the pages allow. The client gets no 2xx, cancels the job and is told that
 * there is no such job. No task of it may start later than cancel_ms after that.
 */
#include <string.h>

#include "review/standin/site.h"

#define JOB "00000000000000f1"
#define WORK_MS 2000
#define CLIENT_DEADLINE_MS 2000
#define LOST_WRITES 3
#define LATE_MS 6000
/* The largest share of lost writes that the site file names. */
#define LOST_SHARE_MAX 0.442
#define LOST_FOR_MS 4500
#define CANCEL_MS 3000
#define WATCH_MS 12000

int main(int argc, char **argv)
{
	struct site_shape shape = {argc > 1 ? argv[1] : ".", 3, 8, 1};
	struct site *s = site_create(&shape);
	uint64_t cancelled_ms, started_ms;
	int rc = CASE_NOT_RUN, status;

	if (site_trouble()) {
		site_lose_submissions(s, LOST_WRITES, LATE_MS);
		site_run_for(s, LOST_FOR_MS - CLIENT_DEADLINE_MS);
	}
	status = site_submit_once(s, JOB,
				  json_pack("[{s:i,s:i,s:i,s:i}]", "count", 1,
					    "cpu", 1000, "memMb", 1000,
					    "estimateMs", WORK_MS),
				  WORK_MS, CLIENT_DEADLINE_MS);
	if (site_trouble() && (status == 200 || status == 503))
		goto out;
	status = site_cancel(s, JOB);
	cancelled_ms = site_now_ms(s);
	if (site_trouble())
		site_record(s,
			    "store: %.0f%% of the writes were lost, the last "
			    "one in this case",
			    100 * site_lost_share(s));
	if ((status != 200 && status != 410) ||
	    site_lost_share(s) > LOST_SHARE_MAX)
		goto out;
	site_run_for(s, WATCH_MS);
	site_state(s, JOB);
	started_ms = site_last_start_ms(s, JOB);
	rc = CASE_HELD;
	if (started_ms > cancelled_ms + CANCEL_MS) {
		site_record(s,
			    "BROKEN UNASKED: a task of %s started %u ms after "
			    "its cancelling was acknowledged with %d; %u runs "
			    "ended done",
			    JOB, (unsigned)(started_ms - cancelled_ms), status,
			    site_ends_of(s, JOB, "done"));
		rc = CASE_BROKEN;
	}
out:
	site_record(s, "exit %d", rc);
	site_destroy(s);
	return rc;
}
