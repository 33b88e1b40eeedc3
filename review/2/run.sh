#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: without the disruption.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
case="review/bin/case-$(basename "$folder")"
for program in "$case" target/cyclamenwood-entryd target/cyclamenwood-replicad; do
  [ -x "$program" ] || { echo "missing: $program" >&2; exit 2; }
done
timeout --signal=KILL 115 "$case" "$folder"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
