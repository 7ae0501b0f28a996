#!/bin/sh
# Runs the case once. Exit status 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the disruption.
# The build of deploy/balancer.toml and review/build-2.sh have to be run before.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
export ROOT
for program in bin/brackenfront bin/brackenflight review/bin/case6; do
	[ -x "$ROOT/$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec timeout -k 5 110 "$ROOT/review/bin/case6" "$here/record.txt"
