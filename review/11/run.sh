#!/bin/bash
# Usage: run.sh; TROUBLE=0: nothing is disturbed.
CASE=$(cd "$(dirname "$0")" && pwd)
NET=${NET:-111}
. "$CASE/../standin-3/site.sh"

store=127.$NET.0.2:7100
worker() {
	start w$1 "$root/target/review-3/worker" 127.$NET.1.$1:7200 $store w$1 r0 $2
}

# joint serves as the store alone; each worker is a process.
start joint "$root/target/joint" $store 127.$NET.3.1:7200 0
start cutter "$root/target/cutter" -c 127.$NET.0.4:7100 -f 127.$NET.2.1:7100 -t $store -n 1
sleep 0.3
slow() {
	curl -s -m 5 -o /dev/null -X POST "http://127.$NET.0.4:7100/control" -d "{\"link\": 0, \"mode\": \"pass\", \"delay_ms\": $1}"
	note "store: $1 ms each way"
}
config 1 | put_row op config $store
for n in $(seq 8); do worker $n; done
for n in 1 2 3; do
	settings $n 127.$NET.2.1:7100
	instance $n
done
for n in 1 2 3; do wait_ready $n; done
sleep 3
next=0
# Jobs of 16 tasks with run times of 0.3 to 1.5 s.
submit() {
	for i in $(seq $1); do
		next=$((next + 1))
		call $((next % 3 + 1)) POST /b/$(id $((256 + next))) "{\"spec\":\"$((300 + next * 337 % 1200))\",\"steps\":[{\"count\":16,\"cpu\":4000,\"memMb\":100,\"antiAffinity\":2,\"estimateMs\":1000}]}"
	done
}
submit 90
for round in $(seq ${ROUNDS:-7}); do
	submit 60
	sleep 4
	submit 50
	[ "$TROUBLE" = 0 ] && continue
	# One worker of eight crashes and starts again; its first call of /-/hold
	# has no answer and is carried out 3.5 s later, while the store is slow.
	kill -KILL $pid_w1
	note "kill w1"
	sleep 0.3
	worker 1 3500
	sleep 1.5
	[ -z "$FAST" ] && slow 120
	sleep 4
	slow 0
done
sleep 8
cat "$work"/w*.log | sort -n >"$work/all"
awk '
$3 == "lapsed" { lapsed[$2] = $1 }
$3 == "done" { done[$4] = $5; on[$4] = $2; at[$4] = $1 }
$3 == "note" && done[$4] == $5 && on[$4] == $2 && !(lapsed[$2] > at[$4]) { noted[$4] = 1 }
$3 == "start" {
	if (done[$4] && done[$4] < $5 && !(lapsed[on[$4]] > at[$4])) { again[$4] = 1; line[$4] = $0 }
	n++
}
END {
	for (t in again) if (noted[t]) { twice++; print "TWICE", t, "was done in run", done[t], "on", on[t], "at", at[t], "again:", line[t] }
	print "starts", n, "twice", twice + 0
}' "$work/all" >"$work/result"
for t in $(awk '$1 == "TWICE" { print $2 }' "$work/result" | head -3); do grep -F " $t " "$work/all"; done >>"$record"
cat "$work/result" >>"$record"
grep " late " "$work/all" >>"$record"
twice=$(tail -1 "$work/result" | sed 's/.*twice //')
[ "$twice" -gt 0 ] && finish 1 "TWICE: $twice tasks were started again after a run had ended done and was taken note of"
finish 0 "held: $(tail -1 "$work/result")"
