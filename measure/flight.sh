#!/bin/bash
# Measures searches over Flight on this machine alone: the same faults over both transports, then a table of figures beside HTTP
# with frames and beside a bare relay, with the aims. Exits with 0 only where every rule and every "must" holds.
#   measure/flight.sh [--quick]
set -euo pipefail
cd "$(dirname "$0")/.."
echo "== the same faults over both transports, with the rules checked by what the stand-ins recorded"
go test -count=1 -run 'TestSameOutcomes|TestSwappedFaultsDiffer|TestClientsCancelSearches|TestDrainingNode|TestAnswerMemoryBound' ./internal/program/withflight
echo "== cost of a program that carries Flight and does not use it"
mkdir -p bin && go build -buildvcs=false -o bin/ ./cmd/brackenfront ./cmd/brackenflight
for program in brackenfront brackenflight; do
	printf '%-14s binary %5.1f MB, ' $program "$(stat -c %s bin/$program | awk '{print $1/1e6}')"
	ROUTER_LISTEN=127.0.0.1:0 ROUTER_CONFIG=<(sed 's/"listen": "[^"]*"/"listen": "127.0.0.1:0"/' docs/sample.json) bin/$program 2>/dev/null &
	pid=$!
	sleep 1
	awk '/VmRSS/ {printf "resident at idle %5.1f MB\n", $2/1e3}' /proc/$pid/status
	kill $pid
	wait $pid || true
done
echo "== figures"
go run ./measure/flight "$@"
