# A small site on loopback for the cases 6 to 10; read by run.sh of each case.
# Uses the programs of the deploy file and of review/build-2.sh.
#
# site_begin CASE_DIR      addresses, temporary folder, clean-up
# site_store               the store
# site_config              the operator's configuration, version 1
# site_worker N KIND CLOCK one worker: w1, w2, ... with CPU thousandths of cores
# site_instance N          one instance; site_ready waits for it
# submit KEY QUEUE ID BODY, state KEY QUEUE ID: one call of a client
# note TEXT                a line of record.txt

CPU=128000
TOKEN_A=key-a
TOKEN_B=key-b

site_begin() {
	case_dir=$1
	record=$case_dir/record.txt
	tmp=$(mktemp -d) || exit 2
	: >"$record"
	pids=
	trap 'site_end' EXIT
	trap 'exit 2' INT TERM HUP
	# every address is in a loopback network of this process's own
	net=127.$((60 + $$ % 150)).$((1 + $$ / 150 % 250))
	store=$net.1:7100
	events=$tmp/events
	: >"$events"
	for p in target/lacewingd target/review-2/store target/review-2/worker; do
		[ -x "$p" ] || { note "cannot run: $p is not built"; exit 2; }
	done
}

site_end() {
	rc=$?
	for p in $pids; do kill -CONT "$p" 2>/dev/null; kill -KILL "$p" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$tmp"
	exit $rc
}

now_ms() { date +%s%3N; }

note() { printf '%s %s\n' "$(now_ms)" "$*" >>"$record"; }

site_store() {
	target/review-2/store $store 65536 >"$tmp/store.log" 2>&1 &
	store_pid=$!
	pids="$pids $store_pid"
	for i in $(seq 50); do
		curl -s -m 1 -o "$tmp/control" "http://$store/control" && return
		sleep 0.1
	done
	note "cannot run: the store does not answer"
	exit 2
}

# The text of the configuration; a case may define another one.
config_text() {
	cat <<-EOF
	{"version": 3, "routes": [
	 {"name": "plain", "host": "desk.example", "pathPrefix": "/p/",
	  "service": "desk", "priority": 1, "maxAttempts": 3,
	  "slackFactor": 1.5, "targetRuntimeMs": 250, "timeoutMs": 3000},
	 {"name": "quick", "host": "desk.example", "pathPrefix": "/q/",
	  "service": "desk", "priority": 0, "maxAttempts": 3,
	  "slackFactor": 1.5, "targetRuntimeMs": 250, "timeoutMs": 3000}],
	 "services": [{"name": "desk", "enforcesCapacity": true}],
	 "limits": {"maxBodyBytes": 262144}, "tenants": [
	 {"name": "tenant-a", "apiKeys": ["$TOKEN_A"], "guaranteed": {"gpu": 8}},
	 {"name": "tenant-b", "apiKeys": ["$TOKEN_B"], "guaranteed": {"gpu": 8}}]}
	EOF
}

site_config() {
	b64=$(config_text | base64 -w 0)
	printf '{"expected":[],"remove":[],"puts":[{"table":"op","part":"","key":"config","value":"%s"}]}' \
		"$b64" >"$tmp/config.json"
	code=$(curl -s -m 3 -o "$tmp/config.out" -w '%{http_code}' \
		--data-binary @"$tmp/config.json" "http://$store/operator/rows-tx")
	[ "$code" = 200 ] || { note "cannot run: configuration: $code"; exit 2; }
}

# Start worker wN of a kind on its own address; its pid is in worker_N.
site_worker() {
	target/review-2/worker w$1 $net.$((100 + $1)):7200 $store desk $2 \
		${RACK:-r1} $CPU ${3:-0} "$events" ${BEAT:-0} >>"$tmp/w$1.log" 2>&1 &
	eval "worker_$1=$!"
	pids="$pids $!"
}

# End worker wN as a crash does.
kill_worker() {
	eval "p=\$worker_$1"
	kill -KILL "$p"
	wait "$p" 2>/dev/null
	pids=$(printf ' %s ' "$pids" | sed "s/ $p / /")
	note "disruption: worker w$1 killed"
}

site_settings() {
	cat >"$tmp/i$1.json" <<-EOF
	{"instance": "front-$1", "domain": "kolkata", "joint": {
	 "callers": "$net.$((10 + $1)):8521", "readiness": "$net.$((10 + $1)):8523",
	 "metrics": "$net.$((10 + $1)):7015", "peers": "$net.$((10 + $1)):7000",
	 "store": "$store", "processor_share": 0.25, "link_mbps": 200,
	 "lease_ms": 6000, "heartbeat_ms": 1500, "stop_ms": 200,
	 "reclaim_ms": 2700, "gang_wait_ms": 4000, "checkpoint_s": 2,
	 "remote_factor": 3, "keep_ended_s": 120, "drain_ms": 3000,
	 "grace_s": 6, "history_s": 20, "row_bytes": 65536}}
	EOF
}

site_instance() {
	site_settings $1
	target/lacewingd --settings "$tmp/i$1.json" >>"$tmp/i$1.log" 2>&1 &
	eval "instance_$1=$!"
	pids="$pids $!"
}

# Run instance N as the platform does: it is killed when it exceeds the memory of
# its machine, MEMORY_KB, and started again. Kills are lines in the file killed.
site_kept_instance() {
	site_settings $1
	target/review-2/keeper $1 $MEMORY_KB target/lacewingd --settings "$tmp/i$1.json" \
		>>"$tmp/kept$1.log" 2>&1 &
	pids="$pids $!"
}

site_ready() {
	for i in $(seq 100); do
		code=$(curl -s -m 1 -o /dev/null -w '%{http_code}' \
			"http://$net.$((10 + $1)):8523/-/ready")
		[ "$code" = 200 ] && return
		sleep 0.1
	done
	note "cannot run: instance $1 is not ready"
	exit 2
}

# Print the status and the body of one call to instance ${FRONT:-1}.
call() {
	method=$1 key=$2 path=$3 body=$4
	printf '%s' "$body" >"$tmp/body"
	code=$(curl -s -m 3 -o "$tmp/out" -w '%{http_code}' -X "$method" \
		-H 'Host: desk.example' -H "Authorization: Bearer $key" \
		-H 'Content-Type: application/json' \
		-H 'Lacewingspur-Deadline-Ms: 3000' ${body:+--data-binary @"$tmp/body"} \
		"http://$net.$((10 + ${FRONT:-1})):8521$path")
	echo "$code $(cat "$tmp/out" 2>/dev/null)"
}

submit() {
	a=$(call POST "$1" "/$2/$3" "$4")
	note "client: POST /$2/$3 $(printf %.160s "$4") -> $a"
	echo "$a"
}

state() { call GET "$1" "/$2/$3" ''; }

# Print the worker on which TASK was started last.
last_worker() { awk -v t="$1" '$2 == "start" && $4 == t {w = $3} END {print w}' "$events"; }

started() { awk -v t="$1" '$2 == "start" && $4 == t {n++} END {print n + 0}' "$events"; }

# Append what workers and store have seen.
site_record() {
	note "workers (time, what, worker, task, run, text):"
	if [ "$(wc -l <"$events")" -gt 400 ]; then
		awk '{n[$2 " " $3 " " ($2 == "end" ? $6 : "")]++} END {for (k in n) print "  counted:", n[k], k}' \
			"$events" | sort >>"$record"
	else
		sed 's/^/  /' "$events" >>"$record"
	fi
	note "store:"
	sed 's/^/  /' "$tmp/store.log" | tail -n 5 >>"$record"
	for f in "$tmp"/i*.log; do
		[ -n "$KEEP" ] && cp "$f" "$KEEP/"
	done
	[ -n "$KEEP" ] && cp "$events" "$KEEP/"
	:
}
