#!/bin/sh
# Measure the resource use of the first instance, which leads its domain, by
# numbers of workers, tasks, accounts and instances, for the slopes in
# docs/CAPACITY.md.  Prints one line per point.  Everything runs against
# simulated workers and a simulated platform on loopback addresses; processes
# are ended by their pids.
set -eu
cd "$(dirname "$0")/.."
. fake/site.sh
pids=
logs=$(mktemp -d)
stop() {
	for p in $pids; do kill "$p" 2>/dev/null || true; done
	for p in $pids; do wait "$p" 2>/dev/null || true; done
	pids=
}
trap 'stop; rm -rf "$logs"' EXIT
trap 'exit 130' INT TERM
net=127.90
seconds=8

# Start a process with its log and keep its pid: LOG COMMAND...
start_process() {
	log=$1
	shift
	"$@" >"$logs/$log.log" 2>&1 &
	pids="$pids $!"
	last=$!
}

ctl() {
	out/lacewingctl --server "$net.1.1:7400" "$@"
}

metric() {
	curl -sf "http://$1/metrics" | awk -v m="$2" '$1 == m {print $2}'
}

# Print the CPU time of a process in clock ticks: PID
ticks() {
	awk '{print $14 + $15}' "/proc/$1/stat"
}

# Write the member list and the configuration: WORKERS ACCOUNTS INSTANCES
write_site() {
	awk -v w="$1" -v a="$2" -v n="$3" -v net="$net" -v dir="$logs" '
	function ip(i) { return sprintf("%s.%d.%d", net, 100 + int((i - 1) / 250), (i - 1) % 250 + 1) }
	BEGIN {
		m = dir "/members.json"; c = dir "/config.json"
		printf "{\"members\": [" > m
		printf "{\"limits\": {\"quick_slots\": 2}, \"upstreams\": [" > c
		for (i = 1; i <= w; i++) {
			sep = (i > 1) ? "," : ""
			printf "%s{\"name\": \"w%d\", \"role\": \"upstream\", \"domain\": \"d\", \"state\": \"live\"}", sep, i > m
			printf "%s{\"name\": \"w%d\", \"domain\": \"d\", \"rack\": \"r%d\", \"address\": \"%s:9000\", \"accelerators\": 8, \"slots\": 18}", sep, i, int((i - 1) / 8), ip(i) > c
		}
		for (i = 1; i <= n; i++)
			printf ",{\"name\": \"i%d\", \"role\": \"entry\", \"domain\": \"d\", \"state\": \"live\", \"address\": \"%s.1.%d:7500\"}", i, net, i > m
		printf "]}" > m
		printf "], \"accounts\": [" > c
		for (i = 1; i <= a; i++)
			printf "%s{\"name\": \"team%d\", \"queue_limit\": 100000}", (i > 1 ? "," : ""), i > c
		printf "]}" > c
	}'
}

# Measure one point: WORKERS TASKS ACCOUNTS INSTANCES
measure_point() {
	workers=$1 tasks=$2 accounts=$3 instances=$4
	write_site "$workers" "$accounts" "$instances"
	start_process platform out/platform --listen "$net.0.10:7000"
	remaining=$workers
	subnet=100
	while [ "$remaining" -gt 0 ]; do
		n=$((remaining > 250 ? 250 : remaining))
		start_process "workers$subnet" out/worker --first "$net.$subnet.1:9000" \
			--count "$n" --slots 18 --prefix w \
			--control "$net.$subnet.254:9900"
		remaining=$((remaining - n))
		subnet=$((subnet + 1))
	done
	await 50 curl -sf -X POST --data-binary "@$logs/members.json" \
		"http://$net.0.10:7000/control"
	i=0
	all=
	while [ "$i" -lt "$instances" ]; do
		i=$((i + 1))
		cat >"$logs/i$i.json" <<EOF
{"name": "i$i", "domain": "d", "http": "$net.1.$i:7400",
 "peer": "$net.1.$i:7500", "platform": ["$net.0.10:7000"],
 "seeds": ["$net.1.1:7500"], "limits": {"max_body_bytes": 4000000}}
EOF
		start_process "i$i" out/lacewingd --settings "$logs/i$i.json"
		all="$all $last"
	done
	await 50 ctl instances
	ctl config apply "$logs/config.json" >/dev/null
	await 200 curl -sf "http://$net.1.1:7400/v1/upstreams"
	submit_tasks "$tasks"
	first=${all# }
	first=${first%% *}
	start_ticks=$(ticks "$first")
	start_http=$(metric "$net.1.1:7400" lacewing_http_client_bytes)
	start_peer=$(metric "$net.1.1:7400" lacewing_peer_bytes_sent)
	sleep "$seconds"
	end_ticks=$(ticks "$first")
	end_http=$(metric "$net.1.1:7400" lacewing_http_client_bytes)
	end_peer=$(metric "$net.1.1:7400" lacewing_peer_bytes_sent)
	rss=$(awk '/VmRSS/ {print $2}' "/proc/$first/status")
	awk -v w="$workers" -v t="$tasks" -v a="$accounts" -v n="$instances" \
		-v s="$seconds" -v ticks=$((end_ticks - start_ticks)) \
		-v http=$((end_http - start_http)) \
		-v peer=$((${end_peer:-0} - ${start_peer:-0})) -v rss="$rss" \
		'BEGIN {printf "workers %d tasks %d accounts %d instances %d " \
			"core_percent %.2f rss_kb %d http_bytes_s %d " \
			"peer_bytes_s %d\n", w, t, a, n, ticks / s, rss, \
			http / s, peer / s}'
	stop
}

# Submit TASKS tasks as gangs of 100 parts without accelerators and wait
# until they run.
submit_tasks() {
	n=0
	while [ "$n" -lt "$1" ]; do
		n=$((n + 100))
		ctl submit --account team1 --key "t$n" --parts 100 --slots 1 \
			--run-ms 3600000 >/dev/null
	done
	n=0
	while [ "$n" -lt "$1" ]; do
		n=$((n + 100))
		await 100 is_running "t$n"
	done
}

is_running() {
	ctl get "$1" | grep -q '^state *running'
}

echo "# by workers"
for w in 25 50 100 200 400; do measure_point "$w" 0 4 2; done
echo "# by tasks"
for t in 400 800 1600; do measure_point 100 "$t" 4 2; done
echo "# by accounts"
for a in 90 360 1440; do measure_point 25 0 "$a" 2; done
echo "# by instances"
for n in 3 6 12; do measure_point 25 0 4 "$n"; done
echo "# cost of a decision, by upstreams with 13 tasks each"
for u in 100 610 2000 6100; do
	out/model cost --upstreams "$u" --tasks $((u * 13))
done
