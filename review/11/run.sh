#!/bin/bash
# Usage: run.sh; TROUBLE=0: without the burst.
CASE=$(cd "$(dirname "$0")" && pwd)
NET=${NET:-111}
. "$CASE/../standin-3/site.sh"

store=127.$NET.0.2:7100
behind=127.$NET.0.3:7100
large=24
[ "$TROUBLE" = 0 ] && large=1

start joint "$root/target/joint" $behind 127.$NET.1.1:7200 16
start limits "$root/target/review-3/storelimits" $store $behind 65536
sleep 0.3
curl -s -m 5 -o /dev/null -X POST "http://$behind/control" -d '{"lease_max_ms": 6000, "guarded": false}'
config 1 | put_row op config $store
for n in 1 2 3; do
	settings $n $store
	instance $n
done
for n in 1 2 3; do wait_ready $n; done
sleep 3

# Large jobs come at once: a pipeline of four steps that runs 1,000 times.
step='"count":1,"cpu":10,"memMb":10,"estimateMs":1000'
steps="{$step},{$step,\"after\":[0]},{$step,\"after\":[1]},{$step,\"after\":[2]}"
now=$(date +%s%3N)
accepted=
for i in $(seq $large); do
	call $((i % 3 + 1)) POST /b/$(id $((256 + i))) "{\"spec\":\"1000\",\"steps\":[$steps],\"repeatCount\":1000,\"intervalMs\":10,\"startAtMs\":$now}"
	[ "$status" = 200 ] && accepted="$accepted /b/$(id $((256 + i)))"
done
sleep 3
# Ordinary small jobs.
small=
for i in $(seq 6); do
	call $((i % 3 + 1)) POST /u/$(id $((16 + i))) '{"spec":"300","steps":[{"count":1,"cpu":1000,"memMb":1000,"gpu":1,"estimateMs":300}]}'
	[ "$status" = 200 ] && small="$small /u/$(id $((16 + i)))"
done
[ -z "$small" ] && finish 2 "no small job was accepted"

# finish_s after the end of the traffic: a job that is open and has nothing
# running for 3 s while the workers are idle is lost.
sleep 14
idle_since=
for i in $(seq 25); do
	r=$(curl -s -m 5 "http://$behind/record")
	running=$(echo "$r" | grep -o '"running": *[0-9]*' | grep -o '[0-9]*$')
	starts=$(echo "$r" | grep -o '"starts": *[0-9]*' | grep -o '[0-9]*$')
	open=0
	for p in $accepted $small; do
		call 1 GET $p
		[ "$answer" = '{"state":"completed"}' ] || open=$((open + 1))
	done
	note "workers: running $running starts $starts; jobs open: $open"
	[ $open = 0 ] && break
	now=$(date +%s%3N)
	[ "$running" = 0 ] || idle_since=
	[ "$running" = 0 ] && [ -z "$idle_since" ] && idle_since=$now
	[ -n "$idle_since" ] && [ $((now - idle_since)) -ge 4500 ] && break
	sleep 0.5
done
note "refused transactions: $(grep -c refused: "$work/limits.log")"
head -5 "$work/limits.log" >>"$record"
grep -h -o '"event":"leadership[^}]*' "$work"/front*.log | tail -20 >>"$record"
[ -n "$idle_since" ] && [ $((now - idle_since)) -ge 3000 ] &&
	finish 1 "LOST: $open accepted jobs have nothing running for $((now - idle_since)) ms on idle workers"
finish 0 "held: jobs open $open, running $running"
