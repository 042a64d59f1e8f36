#!/usr/bin/env bash
# Runs the case, after the build of the deploy file and review/build.sh. Ends with 1 if the rule was
# broken, 0 if it held and 2 if the case couldn't run; TROUBLE=0 leaves the trouble out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/dandelionrun ] && [ -x target/review/release/planned_stop ] || exit 2
exec target/review/release/planned_stop review/5/record.txt
