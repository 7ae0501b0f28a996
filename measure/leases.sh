#!/bin/bash
# Measures leases on this machine alone: random worlds in virtual time, schedules of faults between real processes with a
# judge, baselines in which it has to find something, and figures. Exit 0 only where every "must" holds.
#   measure/leases.sh [--quick] [--seed N] [--runs K]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1000 runs=200 worlds=10000 changes=1000000 deep=7
while [ $# -gt 0 ]; do
	case "$1" in
	--quick) runs=6 worlds=200 changes=20000 deep=5 ;;
	--seed) seed=$2; shift ;;
	--runs) runs=$2; shift ;;
	*) echo "usage: measure/leases.sh [--quick] [--seed N] [--runs K]" >&2; exit 2 ;;
	esac
	shift
done
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go test -c -o "$bin/worlds" ./internal/fleet/council
go build -buildvcs=false -o "$bin/leases" ./measure/leases
lanes=$(nproc)
echo "== $worlds random worlds from seed $seed on, in virtual time (must: no two holders at once, tokens never fall, leases move again)"
pids=()
for ((i = 0; i < lanes; i++)); do
	"$bin/worlds" -test.run 'TestWorlds$' -test.v -test.timeout 30m -seed $((seed + i * (worlds / lanes))) -worlds $((worlds / lanes)) >"$bin/worlds.$i" 2>&1 &
	pids+=($!)
done
bad=0
for p in "${pids[@]}"; do wait "$p" || bad=1; done
grep -h 'worlds_test.go' "$bin"/worlds.[0-9]* | sed 's/^ *//'
[ $bad = 0 ] || { echo "worlds FAIL"; exit 1; }
echo "== the same worlds with clocks beyond the stated drift (must: the judge finds some)"
"$bin/worlds" -test.run 'TestWorlds$' -test.v -spoilt drift -seed "$seed" -worlds 40 | grep 'found bad'
echo "== the small world, explored whole (must: never both)"
go test -count=1 -run TestSmallWorld -v ./lease -deep "$deep" | grep 'small_test.go' | tail -1
echo "== every write of a member, each failed before and after"
"$bin/worlds" -test.run 'TestEveryPut' -test.v | grep 'writes,'
echo "== what a renewal costs"
go test -run - -bench . ./lease ./internal/fleet/wire | grep Benchmark
echo "== real processes"
"$bin/leases" -seed "$seed" -runs "$runs" -changes "$changes" -lanes $(( lanes > 4 ? lanes - 2 : 2 ))
echo "== searches beside the fleet"
"$bin/leases" -searches $(( changes >= 1000000 ? 24000 : 6000 ))
