#!/bin/bash
# Measures what happens when zones are lost and come back, on this machine alone: random simulations of the guard on zones by
# itself, what the guard costs, then scenarios of real brokers with stand-in workers, with the guard, without it and with random
# choice of workers. Exits with 0 only where every rule and every "must" holds.
#   measure/halls.sh [--quick]
set -euo pipefail
cd "$(dirname "$0")/.."
simulations=1000
[ "${1:-}" = --quick ] && simulations=100
echo "== $simulations random simulations in virtual time (must: no zone over its cap, no cold node of a lost zone fails under overload)"
go test -count=1 -v -run 'TestRandomSimulations|TestNodesOverloadedWithoutGuard' ./zones -worlds $simulations | grep -v 'draw\|^=== '
echo "== searches while all zones are healthy, with and without the guard (must: the same attempts), and what a part costs"
go test -count=1 -run 'TestZoneGuardChangesNothingWhileNoZoneIsLost|TestSearchIsRejectedIfOnlyHolderIsInLostZone|TestPartFailingInLostZoneEndsItsSearch|TestLowUtilityIsShedFirstWhileZoneIsLost' ./balance
go test -run - -bench . ./zones | grep Benchmark
echo "== scenarios on loopback (aim: service back within 0.02 of before in 20 s; leaf and spill must not pass 1)"
mkdir -p bin && go build -buildvcs=false -o bin/ ./cmd/brackenfront
go run ./measure/halls bin/brackenfront "$@"
