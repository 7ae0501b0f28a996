#!/bin/sh
# Builds the programs of the cases of the second review, each the test and its stand-ins in one, into review/bin. It needs no network
# once the deploy file's build has run: the cases use the modules of that build alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in 6 7 8 9 10; do
	go build -buildvcs=false -o "review/bin/case$case" "./review/$case"
done
