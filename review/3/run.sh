#!/bin/sh
# Runs the case once: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not be run. With TROUBLE=0 it leaves out
# the disruption. The deploy file's build and review/build.sh have to be run before.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case3 ] || exit 2
exec review/bin/case3 review/3/record.txt
