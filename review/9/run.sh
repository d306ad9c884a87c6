#!/bin/sh
# Case 9: a worker crashes and comes up again under its id as another kind. A
# start that was refused while it was down is sent again, and runs on a worker
# without the label that the step requires. TROUBLE=0: without the crashes.
cd "$(dirname "$0")/../.." || exit 2
. review/standin-2/site.sh
site_begin review/9
WORKERS=8
ROUNDS=6

site_store
site_config
for n in $(seq 2 $WORKERS); do site_worker $n a; done
site_worker 1 b
site_instance 1
site_instance 2
site_ready 1
site_ready 2
sleep 2

for r in $(seq $ROUNDS); do
	[ "${TROUBLE:-1}" != 0 ] && kill_worker 1
	# jobs that require kind b come all the time
	for k in 1 2 3 4; do
		submit $TOKEN_A p 00000000000000$r$k '{"spec":"ms=500 cpu=1000","steps":[{"count":1,"cpu":1000,"memMb":10,"estimateMs":500,"requires":"b"}]}' >/dev/null
		sleep 0.17
	done
	if [ "${TROUBLE:-1}" != 0 ]; then
		BEAT=1000 site_worker 1 a
		printf '%s kind w1 a\n' "$(now_ms)" >>"$events"
		note "worker w1 is up again, as kind a"
	fi
	sleep 3
	if [ "${TROUBLE:-1}" != 0 ]; then
		kill_worker 1
		sleep 1
		printf '%s kind w1 b\n' "$(now_ms)" >>"$events"
		BEAT=1000 site_worker 1 b
		note "worker w1 is up again, as kind b"
	fi
	sleep 4
done
# all jobs require b; w1 alone has it, while it is of that kind
wrong=$(awk '$2 == "kind" {k = $4} $2 == "start" && ($3 != "w1" || k == "a") {n++} END {print n + 0}' "$events")
site_record
if [ "$wrong" = 0 ]; then
	note "held"
	exit 0
fi
note "BROKEN: ROUTE: $wrong starts on a worker without the label in requires"
exit 1
