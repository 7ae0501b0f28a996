#!/bin/sh
# Builds what the cases of the second review start besides the project's own programs. It needs no network once the deploy file's
# build has run.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/kit-2/bin
go build -buildvcs=false -o review/kit-2/bin/ ./review/kit-2
