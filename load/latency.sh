#!/bin/sh
# Measure the latency of quick checks sent directly to a worker, through an
# instance, and through an instance while 95 % of the accelerators are leased.
# Prints one line per measurement, then the memory of each process.
set -eu
cd "$(dirname "$0")/.."
. fake/site.sh
logs=$(mktemp -d)
trap 'site_stop; rm -rf "$logs"' EXIT
trap 'exit 130' INT TERM
site_workers=50
rate=${1:-2000}

ctl() {
	out/lacewingctl --server 127.0.1.1:7400 "$@"
}

# Report whether at least COUNT jobs run: COUNT
has_running_jobs() {
	[ "$(ctl --json list running | grep -c '"job"')" -ge "$1" ]
}

site_domains=kolkata
site_start "$logs" out
sed -i '/durgapur/d; /siliguri/d; /"rupnarayan"/d' "$logs/config.json"
cat >"$logs/config.json" <<EOF
$(site_config | sed '/"accounts"/,$d')
 "accounts": [{"name": "damodar", "check_limit": 100000}]}
EOF
await 50 curl -sf -X POST --data-binary "@$logs/members.json" \
	http://127.0.0.10:7000/control
await 50 ctl instances
ctl config apply "$logs/config.json" >/dev/null
await 100 curl -sf http://127.0.1.1:7400/v1/upstreams
echo "rate $rate"
printf 'direct   '
out/load --to 127.1.1.1:9000 --direct --rate "$rate" --seconds 8
printf 'instance '
out/load --to 127.0.1.1:7400 --rate "$rate" --seconds 8
for n in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19; do
	ctl submit --account damodar --key "fill$n" --parts 20 \
		--accelerators 1 --run-ms 600000 >/dev/null
done
await 100 has_running_jobs 19
printf 'loaded95 '
out/load --to 127.0.1.1:7400 --rate "$rate" --seconds 8
for p in $site_pids; do
	awk -v p="$(tr '\0' ' ' <"/proc/$p/cmdline" | cut -d' ' -f1)" \
		'/VmRSS/ {print "rss_kb", $2, p}' "/proc/$p/status"
done
