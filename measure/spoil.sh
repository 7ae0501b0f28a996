#!/bin/bash
# Takes out one guard at a time in a clean copy and runs the test that has to find it: one that nothing finds is a failure.
#   measure/spoil.sh [NAME]
set -euo pipefail
cd "$(dirname "$0")/.."
top=$PWD
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
missed=0
for patch in measure/spoilt/${1:-*}.patch; do
	name=$(basename "$patch" .patch)
	rm -rf "$copy/tree"
	mkdir "$copy/tree"
	git archive HEAD -- . ':!journal' | tar -x -C "$copy/tree"
	grep -v '^# ' "$patch" >"$copy/patch"
	if ! (cd "$copy/tree" && patch -s -p1 <"$copy/patch"); then
		echo "$name: does not apply"
		missed=1
		continue
	fi
	read -r -a found <<<"$(sed -n 's/^# found by: //p' "$patch")"
	if (cd "$copy/tree" && "${found[@]}" -count=1 -timeout 10m) >"$copy/out" 2>&1; then
		echo "$name: NOT FOUND by ${found[*]}"
		missed=1
	elif grep -q 'build failed\|no test files\|no tests to run' "$copy/out"; then
		echo "$name: does not build"
		tail -5 "$copy/out"
		missed=1
	else
		echo "$name: found by ${found[*]}: $(grep -m1 -o 'seed [0-9]*.*\|_test.go:[0-9]*: .*' "$copy/out" | cut -c1-150)"
	fi
done
exit $missed
