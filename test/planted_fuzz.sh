#!/bin/sh
# Mutation tests of the fuzz oracle: apply one fault of test/planted_fuzz.txt
# at a time to a copy of the scheduler and run the fuzzer, which must find it.
# This shows that each invariant of the oracle can fail.
set -u
cd "$(dirname "$0")/.."
missed=0
while IFS='|' read -r name file expr want; do
	copy=out/planted/fuzz-$name
	rm -rf "$copy"
	mkdir -p "$copy"
	cp -r sched test "$copy"
	sed -i "$expr" "$copy/sched/$file"
	if cmp -s "sched/$file" "$copy/sched/$file"; then
		echo "$name: NOT PLANTED"
		missed=$((missed + 1))
		continue
	fi
	(cd "$copy" && clang-14 -std=gnu11 -O1 -g -w -I. \
		-fsanitize=fuzzer -o fuzz test/fuzz_sched.c sched/*.c &&
		./fuzz -seed=7 -runs=60000 -max_len=600 -len_control=0) \
		>"$copy.log" 2>&1
	if grep -q "oracle: $want" "$copy.log"; then
		echo "$name: found: $want"
	else
		echo "$name: MISSED: $(grep 'oracle:' "$copy.log" | head -n 1)"
		missed=$((missed + 1))
	fi
done <test/planted_fuzz.txt
[ "$missed" = 0 ]
