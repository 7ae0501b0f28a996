#!/bin/bash
# Measures leases and what builds on them, on this machine alone: random simulations in virtual time, small cases explored
# exhaustively, schedules of faults between real processes with a checker, rolling restarts of the program's own processes,
# baselines in which the checkers have to find violations, and figures. Exits with 0 only where every "must" holds.
#   measure/leases.sh [--quick] [--seed N] [--runs K]
set -euo pipefail
cd "$(dirname "$0")/.."
# Seed of the first simulation and of the first schedule.
seed=1000
# Number of schedules of faults between processes.
runs=200
# Number of simulations in virtual time.
simulations=10000
# Number of changes of leases in the load on one council.
changes=1000000
# Depth of the exhaustive test of one agreed state, in steps.
depth=7
# Depth of the exhaustive test of a council, in steps.
council_depth=4
# Number of rolling restarts with faults.
restarts=20
# How long the whole council is down.
council_outage=60s
# Number of searches in each state of the fleet.
searches=24000
# Number of failed calls of each kind.
calls=40
# How long a node is unavailable.
node_outage=40s
while [ $# -gt 0 ]; do
	case "$1" in
	--quick)
		runs=4
		simulations=60
		changes=20000
		depth=4
		council_depth=2
		restarts=1
		council_outage=3s
		searches=2400
		calls=2
		node_outage=6s
		;;
	--seed) seed=$2; shift ;;
	--runs) runs=$2; shift ;;
	*) echo "usage: measure/leases.sh [--quick] [--seed N] [--runs K]" >&2; exit 2 ;;
	esac
	shift
done
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go test -c -o "$bin/council.test" ./internal/fleet/council
go test -c -o "$bin/lease.test" ./lease
go test -c -o "$bin/fleet.test" ./internal/fleet
go build -buildvcs=false -o "$bin/leases" ./measure/leases
processors=$(nproc)
failed=0
# part COMMAND: runs one part of the measurement and goes on if it fails.
part() { "$@" || { echo "  this part FAILS"; failed=1; }; }
echo "== $simulations random simulations from seed $seed on, in virtual time: crashes, partitions, lost disks, new members (must: none bad)"
pids=()
for ((i = 0; i < processors; i++)); do
	GOMAXPROCS=1 "$bin/council.test" -test.run 'TestRandomSimulations$' -test.v -test.timeout 30m -seed $((seed + i * (simulations / processors))) -worlds $((simulations / processors)) -budgets=false >"$bin/simulations.$i" 2>&1 &
	pids+=($!)
done
bad=0
for pid in "${pids[@]}"; do wait "$pid" || bad=1; done
grep -h 'worlds_test.go' "$bin"/simulations.[0-9]* | sed 's/^ *//'
[ $bad = 0 ] || { echo "simulations FAIL"; failed=1; }
echo "== the same simulations with clocks beyond the stated drift (must: the checker finds some)"
drifting_clocks() { "$bin/council.test" -test.run 'TestRandomSimulations$' -test.v -spoilt drift -seed "$seed" -worlds 40 -budgets=false | grep 'found bad'; }
part drifting_clocks
echo "== a council of three members, two processes, two leases, all states to depth $council_depth (must: never two holders)"
pids=()
for ((i = 0; i < processors; i++)); do
	GOMAXPROCS=1 "$bin/council.test" -test.run 'TestExhaustiveSmallCouncil' -test.v -test.timeout 30m -deep "$council_depth" -share "$i" -of "$processors" >"$bin/exhaustive.$i" 2>&1 &
	pids+=($!)
done
bad=0
for pid in "${pids[@]}"; do wait "$pid" || bad=1; done
grep -h 'small_test.go' "$bin"/exhaustive.[0-9]* | sed 's/^ *//'
[ $bad = 0 ] || { echo "the exhaustive test of a council FAILS"; failed=1; }
echo "== one agreed state and two processes, all states to depth $depth (must: never two holders)"
exhaustive_lease() { "$bin/lease.test" -test.run TestExhaustiveLease -test.v -deep "$depth" | grep 'exhaustive_test.go' | tail -1; }
part exhaustive_lease
echo "== every write of a member, every call of a client, $calls of each kind of a member's failed, one at a time"
every_write() { "$bin/council.test" -test.run 'TestAnswersHoldAfterFailedWrite' -test.v | grep 'writes,'; }
every_call() { "$bin/fleet.test" -test.run 'TestRecoversFromEachFailedCall' -test.v -calls "$calls" | grep 'runs,'; }
part every_write
part every_call
echo "== health probes of nodes that are unavailable"
part "$bin/leases" -trials "$node_outage" -seed "$seed"
echo "== real processes"
part "$bin/leases" -seed "$seed" -runs "$runs" -changes "$changes" -lanes $(( processors > 4 ? processors - 2 : 2 ))
echo "== rolling restarts of the program's own processes"
part "$bin/leases" -rolls "$restarts" -seed "$seed"
echo "== searches beside the fleet"
part "$bin/leases" -searches "$searches"
part "$bin/leases" -down "$council_outage"
exit $failed
