#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the disruption is left out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/trefoilhead ] && [ -x target/rig2 ] || exit 2
exec target/rig2 pair review/7/record.txt
