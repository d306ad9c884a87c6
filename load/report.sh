#!/bin/sh
# Measures `lacewingctl report` on generated records: time and peak memory.
#	load/report.sh [RECORDS]
set -eu
cd "$(dirname "$0")/.."
n=${1:-1000000}
log=$(mktemp)
trap 'rm -f "$log"' EXIT
awk -v n="$n" 'BEGIN {
	p = "{\"time_ms\":%d,\"mono_ms\":%d,\"level\":\"info\"," \
	    "\"program\":\"lacewingd\",\"instance\":\"i%d\",\"event\":"
	for (i = 0; i < n; i += 10) {
		t = 1700000000000 + i
		j = sprintf("\"job\":\"%016x\"", i)
		printf p "\"request_ended\",%s,\"kind\":\"submit\"," \
			"\"status\":200,\"took_ms\":9}\n", t, i, i / 10 % 40, j
		printf p "\"job_known\",%s,\"queue\":\"q%d\"," \
			"\"account\":\"a%d\",\"priority\":0,\"counts\":[3]," \
			"\"tasks\":3,\"accelerators\":2,\"cpu_milli\":7500," \
			"\"gang\":true,\"estimate_ms\":2500," \
			"\"slack_factor\":1.5,\"target_ms\":250}\n",
			t + 10, i + 10, 0, j, i % 3, i % 7
		printf p "\"stage_waits\",%s,\"why\":\"loss\"}\n",
			t + 11, i + 11, 0, j
		for (k = 0; k < 3; k++)
			printf p "\"start_decided\",%s,\"task\":" \
				"\"%016x.0.0.%d\",\"run\":1}\n",
				t + 600 + k, i + 600 + k, 0, j, i, k
		for (k = 0; k < 3; k++)
			printf p "\"run_ended\",%s,\"task\":" \
				"\"%016x.0.0.%d\",\"run\":1,\"how\":" \
				"\"done\",\"after_ms\":2400}\n",
				t + 3000 + k, i + 3000 + k, 0, j, i, k
		printf p "\"job_state\",%s,\"state\":\"completed\"}\n",
			t + 3010, i + 3010, 0, j
	}
}' >"$log"
/usr/bin/time -f "%e s, %M KB peak" out/lacewingctl report "$log" | tail -n 3
