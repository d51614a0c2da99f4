#!/usr/bin/env bash
# Plays case 15 against the program that deploy/system.toml builds. TROUBLE=0 leaves the disruption out.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
for file in target/trefoilhead target/review-3/rig3; do
    [ -x "$file" ] || { echo "$file is missing"; exit 2; }
done
exec target/review-3/rig3 -case 15 -words review/rig3/words.json -program "$PWD/target/trefoilhead" -record review/15/record.txt -trouble="$trouble"
