#!/bin/sh
# Mutation tests of the fuzz oracles: apply one fault of test/planted_fuzz.txt
# at a time to a copy of the sources and run the fuzzer, which must find it.
# This shows that each invariant of an oracle can fail.  NAME selects one fault.
#	test/planted_fuzz.sh [NAME]
set -u
cd "$(dirname "$0")/.."
only=${1:-}
missed=0
while IFS='|' read -r name program runs file expr want; do
	[ -z "$only" ] || [ "$only" = "$name" ] || continue
	copy=out/planted/fuzz-$name
	rm -rf "$copy"
	mkdir -p "$copy"
	cp -r Makefile config lead lib peer platform sched test "$copy"
	sed -i "$expr" "$copy/$file"
	if cmp -s "$file" "$copy/$file"; then
		echo "$name: NOT PLANTED"
		missed=$((missed + 1))
		continue
	fi
	make -C "$copy" FUZZ_CFLAGS=-w "out/$program" >"$copy.log" 2>&1 &&
		(cd "$copy" && "out/$program" -seed=7 -runs="$runs" \
			-max_len=600 -len_control=0) >>"$copy.log" 2>&1
	if grep -q "oracle: $want" "$copy.log"; then
		echo "$name: found: $want"
	else
		echo "$name: MISSED: $(grep 'oracle:' "$copy.log" | head -n 1)"
		missed=$((missed + 1))
	fi
	rm -rf "$copy"
done <test/planted_fuzz.txt
[ "$missed" = 0 ]
