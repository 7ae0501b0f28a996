#!/bin/bash
# Measures budgets that the whole fleet shares, on this machine alone: random simulations in virtual time with exact sums,
# schedules of faults between real processes with a check of what all of them used, baselines in which that check has to find
# more than the whole budget, and what division gains, by a model at sizes that processes on one machine do not reach.
# Exits with 0 only where every "must" holds.
#   measure/budgets.sh [--quick] [--seed N] [--runs K]
set -euo pipefail
cd "$(dirname "$0")/.."
# Seed of the first simulation, of the random checks and of the first schedule.
seed=1000
# Number of schedules of faults between processes.
runs=200
# Number of simulations in virtual time.
simulations=2000
# Number of random cases of each property.
checks=20000
# Depth of the exhaustive test, in steps.
depth=6
# Option of the model that reduces the number of sizes.
small=
while [ $# -gt 0 ]; do
	case "$1" in
	--quick)
		runs=6
		simulations=60
		checks=2000
		depth=4
		small=-small
		;;
	--seed) seed=$2; shift ;;
	--runs) runs=$2; shift ;;
	*) echo "usage: measure/budgets.sh [--quick] [--seed N] [--runs K]" >&2; exit 2 ;;
	esac
	shift
done
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go test -c -o "$bin/council.test" ./internal/fleet/council
go test -c -o "$bin/budget.test" ./budget
go test -c -o "$bin/lease.test" ./lease
go build -buildvcs=false -o "$bin/budgets" ./measure/budgets
processors=$(nproc)
failed=0
# part COMMAND: runs one part of the measurement and goes on if it fails.
part() { "$@" || { echo "  this part FAILS"; failed=1; }; }
echo "== the properties of division, allowances and the agreed state, $checks random cases each, seed $seed"
division_properties() { "$bin/budget.test" -rapid.checks "$checks" -rapid.seed "$seed" | tail -1; }
pool_properties() { "$bin/lease.test" -test.run 'TestShareMovesOnlyOnceGivenUp|TestRandomReportsNeverOverallocate' -rapid.checks "$checks" -rapid.seed "$seed" | tail -1; }
exhaustive_pool() { "$bin/lease.test" -test.run 'TestExhaustivePool' -test.v -deep "$depth" | grep 'exhaustive_pool_test.go'; }
part division_properties
part pool_properties
echo "== two processes and one budget, all states (must: never more than there is)"
part exhaustive_pool
echo "== $simulations random simulations from seed $seed on, in virtual time: sums exact after every step, what was spent in every window (must: none bad)"
pids=()
for ((i = 0; i < processors; i++)); do
	GOMAXPROCS=1 "$bin/council.test" -test.run 'TestRandomSimulations$' -test.v -test.timeout 60m -seed $((seed + i * (simulations / processors))) -worlds $((simulations / processors)) >"$bin/simulations.$i" 2>&1 &
	pids+=($!)
done
bad=0
for pid in "${pids[@]}"; do wait "$pid" || bad=1; done
grep -h 'worlds_test.go' "$bin"/simulations.[0-9]* | sed 's/^ *//'
[ $bad = 0 ] || { echo "simulations FAIL"; failed=1; }
echo "== what division gains, in virtual time, beside an even share for each and one shared bucket; and real processes"
part "$bin/budgets" $small -seed "$seed" -runs "$runs" -lanes $(( processors > 4 ? processors - 2 : 2 ))
exit $failed
