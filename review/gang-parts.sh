#!/bin/sh
# No case: shows the fault of the product's own interface that REPORT.md names
# under "After the first hand-in". Needs the programs of make all. A job of two
# parts that fail must be parked. Prints the state of one with a part on each
# of two upstreams and of one with both parts on one, 20 s after they were
# sent; exits with 1 if one of them is not parked.
set -eu
cd "$(dirname "$0")/.."
. fake/site.sh
site_files=$(mktemp -d)
trap 'site_stop; rm -rf "$site_files"' EXIT
trap 'exit 130' INT TERM
export LACEWING_SERVER=127.0.1.1:7400

# usage: submit KEY ACCELERATORS
submit() {
	out/lacewingctl submit --account rupnarayan --key "$1" --parts 2 \
		--accelerators "$2" --run-ms 500 --payload fail >/dev/null
}

# usage: state KEY
state() {
	out/lacewingctl --json get "$1" |
		sed -n 's/.*"state": *"\([a-z]*\)".*/\1/p'
}

site_start "$site_files" out
await 50 curl -sf -X POST --data-binary "@$site_files/members.json" \
	http://127.0.0.10:7000/control
await 50 out/lacewingctl instances
out/lacewingctl config apply "$site_files/config.json" >/dev/null
await 100 submit apart 8
await 100 submit together 4
sleep 20
apart=$(state apart)
together=$(state together)
echo "apart: $apart, together: $together"
[ "$apart" = parked ] && [ "$together" = parked ]
