#!/bin/bash
# Applies each patch of measure/spoilt, which breaks one safeguard, to a clean copy of the tree and runs the test that has to find
# it. A patch that the test does not find is a failure.
#   measure/spoil.sh [NAME of one patch]
set -euo pipefail
cd "$(dirname "$0")/.."
top=$PWD
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
failed=0
for patch in measure/spoilt/${1:-*}.patch; do
	name=$(basename "$patch" .patch)
	rm -rf "$copy/tree"
	mkdir "$copy/tree"
	git archive HEAD -- . ':!journal' | tar -x -C "$copy/tree"
	grep -v '^# ' "$patch" >"$copy/patch"
	if ! (cd "$copy/tree" && patch -s -p1 <"$copy/patch"); then
		echo "$name: does not apply"
		failed=1
		continue
	fi
	read -r -a test_command <<<"$(sed -n 's/^# found by: //p' "$patch")"
	if (cd "$copy/tree" && "${test_command[@]}" -count=1 -timeout 10m) >"$copy/out" 2>&1; then
		echo "$name: NOT FOUND by ${test_command[*]}"
		failed=1
	elif grep -q 'build failed\|no test files\|no tests to run' "$copy/out"; then
		echo "$name: does not build"
		tail -5 "$copy/out"
		failed=1
	else
		echo "$name: found by ${test_command[*]}: $(grep -m1 -o 'seed [0-9]*.*\|_test.go:[0-9]*: .*' "$copy/out" | cut -c1-150)"
	fi
done
exit $failed
