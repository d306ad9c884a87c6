# Functions that run a test site on loopback addresses, to be sourced: three
# failure domains with two instances each, workers in racks of eight, and the
# simulated platform. The PIDs of all started programs are recorded, and
# site_stop ends only these processes.

site_dir=
site_pids=
site_domains="kolkata durgapur siliguri"
site_workers=17

site_log() {
	echo "$site_dir/$1.log"
}

# Start a program in the background and log its output under NAME.
# usage: site_run NAME PROGRAM ARGUMENT...
site_run() {
	name=$1
	shift
	"$@" >"$(site_log "$name")" 2>&1 &
	site_pids="$site_pids $!"
}

# Print the settings of an instance.
# usage: site_settings DOMAIN-NUMBER INSTANCE-NUMBER DOMAIN-NAME
site_settings() {
	cat <<EOF
{"name": "$3-$2", "domain": "$3",
 "http": "127.0.$1.$2:7400", "peer": "127.0.$1.$2:7500",
 "platform": ["127.0.0.10:7000"],
 "seeds": ["127.0.1.1:7500", "127.0.2.1:7500", "127.0.3.1:7500"],
 "limits": {"drain_ms": 500}}
EOF
}

# Print the configuration: the upstreams of all domains and four accounts.
site_config() {
	printf '{"limits": {"quick_slots": 2},\n "upstreams": ['
	comma=
	d=0
	for domain in $site_domains; do
		d=$((d + 1))
		for w in $(seq 1 "$site_workers"); do
			printf '%s\n  {"name": "%s-w%d", "domain": "%s", ' \
				"$comma" "$domain" "$w" "$domain"
			printf '"rack": "%s-r%d", ' "$domain" $(((w - 1) / 8 + 1))
			printf '"address": "127.1.%d.%d:9000", ' "$d" "$w"
			printf '"accelerators": 8, "slots": 8}'
			comma=,
		done
	done
	cat <<EOF
],
 "accounts": [
  {"name": "gangasagar", "guarantee": [
   {"cell": "upstream", "count": 4, "domain": "kolkata"}]},
  {"name": "damodar", "guarantee": [
   {"cell": "upstream", "count": 2, "domain": "durgapur"},
   {"cell": "half", "count": 2, "domain": "kolkata"}]},
  {"name": "teesta", "guarantee": [
   {"cell": "rack", "count": 1, "domain": "siliguri"}]},
  {"name": "rupnarayan"}]}
EOF
}

# Print the platform's list of members, as the body of its /control.
site_members() {
	printf '{"members": ['
	comma=
	d=0
	for domain in $site_domains; do
		d=$((d + 1))
		for i in 1 2; do
			printf '%s{"name": "%s-%d", "role": "entry", ' \
				"$comma" "$domain" "$i"
			printf '"domain": "%s", "state": "live", ' "$domain"
			printf '"address": "127.0.%d.%d:7500"}' "$d" "$i"
			comma=,
		done
		for w in $(seq 1 "$site_workers"); do
			printf ',{"name": "%s-w%d", "role": "upstream", ' \
				"$domain" "$w"
			printf '"domain": "%s", "state": "live"}' "$domain"
		done
	done
	printf ']}'
}

# Start the platform, the workers and the instances. DIRECTORY is created for
# logs, settings, members.json and config.json; PROGRAMS holds the programs.
# usage: site_start DIRECTORY PROGRAMS
site_start() {
	site_dir=$1
	bin=$2
	mkdir -p "$site_dir"
	site_run platform "$bin/platform" --listen 127.0.0.10:7000
	d=0
	for domain in $site_domains; do
		d=$((d + 1))
		site_run "workers-$domain" "$bin/worker" --record \
			--first "127.1.$d.1:9000" --count "$site_workers" \
			--prefix "$domain-w" --control "127.1.$d.200:9900"
	done
	site_members >"$site_dir/members.json"
	site_config >"$site_dir/config.json"
	d=0
	for domain in $site_domains; do
		d=$((d + 1))
		for i in 1 2; do
			site_settings "$d" "$i" "$domain" \
				>"$site_dir/$domain-$i.json"
			site_run "$domain-$i" "$bin/lacewingd" \
				--settings "$site_dir/$domain-$i.json"
		done
	done
}

# End all started processes and wait for them.
site_stop() {
	for pid in $site_pids; do
		kill "$pid" 2>/dev/null
	done
	for pid in $site_pids; do
		wait "$pid" 2>/dev/null
	done
	site_pids=
}

# Run a command every 0.1 s until it succeeds; exit after TRIES failures.
# usage: await TRIES COMMAND ARGUMENT...
await() {
	tries=$1
	shift
	until "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ "$tries" -gt 0 ] || { echo "command kept failing: $*" >&2; exit 1; }
		sleep 0.1
	done
}
