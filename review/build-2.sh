#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and the following ones start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -tags review -o target/rig2 ./review/rig2
