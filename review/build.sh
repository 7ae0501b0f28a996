#!/bin/sh
# Builds the programs of the cases, each the test and its stand-ins in one, into review/bin. It needs no network: the cases use the
# modules of go.mod alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/[0-9]; do
	go build -buildvcs=false -o "review/bin/case${folder#review/}" "./$folder"
done
