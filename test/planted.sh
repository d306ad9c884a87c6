#!/bin/sh
# Mutation tests: apply one fault of test/planted.txt at a time to a scratch
# copy and run the test that must detect it.  This shows that each test fails
# without the mechanism that it covers.  NAME selects one fault.
#	test/planted.sh [NAME]
set -u
cd "$(dirname "$0")/.."
only=${1:-}
top=$PWD
caught=0
missed=0
while IFS='|' read -r name file expr program filter; do
	[ -z "$only" ] || [ "$only" = "$name" ] || continue
	copy=$top/out/planted/$name
	rm -rf "$copy"
	mkdir -p "$copy"
	cp -r Makefile lib sched config daemon ctl entry fake lead load peer \
		platform proto report test "$copy"
	planted=no
	for f in $file; do
		sed -i "$expr" "$copy/$f"
		cmp -s "$f" "$copy/$f" || planted=yes
	done
	if [ "$planted" = no ]; then
		echo "$name: NOT PLANTED"
		missed=$((missed + 1))
		continue
	fi
	log=$top/out/planted/$name.log
	if ! make -C "$copy" -j8 EXTRA=-Wno-error all "out/$program" >"$log" 2>&1; then
		echo "$name: DOES NOT BUILD"
		missed=$((missed + 1))
		continue
	fi
	(cd "$copy" && TEST_FILTER=$filter "out/$program") >"$log" 2>&1
	if grep -q "^\[  FAILED  \] $filter" "$log"; then
		why=$(grep -E '^ERROR: |--- .* != |not within|^\[  ERROR' "$log" |
			head -n 1 | cut -c1-110)
		echo "$name: caught by $filter: $why"
		caught=$((caught + 1))
	else
		echo "$name: MISSED by $filter"
		missed=$((missed + 1))
	fi
	rm -rf "$copy"
done <test/planted.txt
echo "$caught caught, $missed missed"
[ "$missed" = 0 ]
