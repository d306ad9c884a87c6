#!/bin/sh
# Demonstrates the scheduler on loopback addresses: three failure domains with
# two instances each and 51 workers run quick checks, batch jobs and a gang of
# 16 accelerators. Prints the results and the events of the gang. All started
# processes are ended by PID, also after an interrupt.
set -eu
cd "$(dirname "$0")/.."
. fake/site.sh
site_files=$(mktemp -d)
trap 'site_stop; rm -rf "$site_files"' EXIT
trap 'exit 130' INT TERM

ctl() {
	out/lacewingctl "$@"
}

# usage: post URL FILE
post() {
	curl -sf -X POST --data-binary "@$2" "$1"
}

# Whether one instance per domain decides (column DECIDES).
leaders_elected() {
	[ "$(ctl instances | awk '$7 == "yes"' | wc -l)" -eq 3 ]
}

echo "== a site of 3 domains, 6 instances, 51 workers"
site_start "$site_files" out
export LACEWING_SERVER=127.0.1.1:7400
await 50 post http://127.0.0.10:7000/control "$site_files/members.json"
await 50 ctl instances
ctl config apply "$site_files/config.json"
await 100 leaders_elected
ctl instances

echo
echo "== quick checks"
ctl check --account damodar --payload "household 4711" --run-ms 5
ctl check --account damodar --payload "payout 4711" --run-ms 5 --once pay-4711
echo "   the same payout again, through another domain:"
ctl --server 127.0.3.1:7400 check --account damodar \
	--payload "payout 4711" --run-ms 5 --once pay-4711

echo
echo "== a gang of 16 accelerators on two adjacent upstreams, and batch jobs"
ctl submit --account gangasagar --key gang --parts 4 --accelerators 4 \
	--run-ms 2000 >/dev/null
for n in 1 2 3 4; do
	ctl submit --account rupnarayan --key "batch$n" --accelerators 2 \
		--run-ms 500 >/dev/null
done
ctl why gang
ctl watch gang
for n in 1 2 3 4; do
	ctl watch "batch$n" >/dev/null
done
ctl list

echo
echo "== the events of the gang, from all instances"
ctl events --job gang

echo
echo "== accounts, and what an operator should look at"
ctl account
ctl stuck
