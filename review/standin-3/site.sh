# Sourced by the scripts of review/11 to 15: a small deployment on loopback.
# Sets up addresses 127.NET.0.x; the caller sets NET and CASE (its folder).

root=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
record=$CASE/record.txt
pids=

: >"$record"

note() {
	echo "$(date +%s.%3N) $*" >>"$record"
}

# Start a process of its own; its output goes to $work/NAME.log.
start() {
	name=$1
	shift
	"$@" >>"$work/$name.log" 2>&1 &
	last=$!
	pids="$pids $last"
	eval "pid_$name=$last"
	note "start $name: pid $last: $*"
}

finish() {
	for p in $pids; do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	note "result $1: $2"
	echo "$2"
	[ -n "$KEEP" ] && echo "kept $work" || rm -rf "$work"
	exit "$1"
}

# Write the settings of instance N, as the template of the deploy file does for
# a small deployment; the store is at the address STORE.
settings() {
	cat >"$work/front-$1.json" <<-END
	{"instance": "front-$1", "domain": "${3:-kolkata}", "joint": {
	 "callers": "127.$NET.0.1$1:7000", "readiness": "127.$NET.0.1$1:7001",
	 "metrics": "127.$NET.0.1$1:7002", "peers": "127.$NET.0.1$1:7003",
	 "store": "$2", "processor_share": 0.25, "memory_mb": 260,
	 "descriptors": 4100, "link_mbps": 1000, "lease_ms": 6000,
	 "heartbeat_ms": 1500, "stop_ms": 200, "reclaim_ms": 2700,
	 "gang_wait_ms": 3000, "checkpoint_s": 2, "remote_factor": 3,
	 "keep_ended_s": 120, "drain_ms": 2000, "grace_s": 6,
	 "history_s": 20, "row_bytes": 65536}}
	END
}

instance() {
	start "front$1" "$root/target/lacewingd" --settings "$work/front-$1.json"
}

# Store row TABLE KEY with the value on standard input, at the address STORE.
put_row() {
	curl -s -m 5 -o /dev/null -X POST "http://$3/-/rows-tx" -d "{\"expected\":[],
	 \"remove\":[], \"puts\":[{\"table\":\"$1\",\"part\":\"\",\"key\":\"$2\",
	 \"value\":\"$(base64 -w0)\"}]}"
}

# The configuration VERSION: queues urgent (/u/) and batch (/b/).
config() {
	cat <<-END
	{"version": $1, "routes": [
	 {"name": "urgent", "host": "jobs.example", "pathPrefix": "/u/",
	  "service": "service", "priority": 0, "maxAttempts": 3,
	  "slackFactor": 1.5, "targetRuntimeMs": 250, "timeoutMs": 3000},
	 {"name": "batch", "host": "jobs.example", "pathPrefix": "/b/",
	  "service": "service", "priority": 2, "maxAttempts": 3,
	  "slackFactor": 3, "targetRuntimeMs": 3000, "timeoutMs": 3000}],
	 "services": [{"name": "service", "enforcesCapacity": true}],
	 "limits": {"maxBodyBytes": 262144},
	 "tenants": [{"name": "team", "apiKeys": ["key"], "guaranteed": {"gpu": 16}}]}
	END
}

# call INSTANCE METHOD PATH [BODY]: sets status and answer.
call() {
	answer=$(curl -s -m 4 -w '\n%{http_code}' -X "$2" -H 'Host: jobs.example' \
		-H 'Authorization: Bearer key' -H 'Lacewingspur-Deadline-Ms: 3000' \
		-H 'Content-Type: application/json' ${4:+-d "$4"} \
		"http://127.$NET.0.1$1:7000$3")
	status=${answer##*
}
	answer=${answer%
*}
	note "call front-$1 $2 $3 ${4:+$(echo "$4" | head -c 300)} -> $status $answer"
}

wait_ready() {
	for i in $(seq 100); do
		[ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' \
			"http://127.$NET.0.1$1:7001/-/ready")" = 200 ] && return
		sleep 0.1
	done
	finish 2 "instance $1 is not ready"
}

id() {
	printf '%016x' "$1"
}

trap 'finish 2 "interrupted"' INT TERM
