#!/bin/sh
# Run test programs, at most JOBS at a time, and print the result of each
# test.  A failure that KNOWN-RED.txt lists is printed but does not fail the
# run; any other failure does.  proc_crowd runs alone, after the others.
#	test/run.sh JOBS PROGRAM...
set -u
cd "$(dirname "$0")/.."
jobs=$1
shift
logs=out/test-logs
mkdir -p "$logs"
rm -f "$logs"/*.log "$logs"/*.rc
run() {
	xargs -P "$1" -I {} sh -c '
		name=$(basename "$1")
		"$1" >"$2/$name.log" 2>&1
		echo $? >"$2/$name.rc"' _ {} "$logs"
}
# a crowd of clients needs the machine for itself
printf '%s\n' "$@" | grep -v '/proc_crowd$' | run "$jobs"
printf '%s\n' "$@" | grep '/proc_crowd$' | run 1
passed=0
failed=0
known=0
for program in "$@"; do
	name=$(basename "$program")
	log=$logs/$name.log
	n=$(grep -c '^\[       OK \]' "$log")
	passed=$((passed + n))
	grep '^\[       OK \]' "$log" | sed "s/^/$name: /"
	bad=$(sed -n 's/^\[  FAILED  \] \([a-z0-9_]*\)$/\1/p' "$log" | sort -u)
	if [ "$(cat "$logs/$name.rc")" != 0 ] && [ -z "$bad" ]; then
		bad=$name
	fi
	for t in $bad; do
		if grep -qs "^test: $t\$" KNOWN-RED.txt; then
			known=$((known + 1))
			echo "$name: KNOWN RED: $t"
			continue
		fi
		failed=$((failed + 1))
		echo "$name: FAILED: $t"
		grep -v '^\[       OK \]' "$log" | tail -n 40
	done
done
[ "$known" = 0 ] || { echo "passed over, see KNOWN-RED.txt:"; cat KNOWN-RED.txt; }
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
