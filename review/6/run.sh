#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
# 0: without the disruption.
export TROUBLE=${TROUBLE:-1}
program=review/standin-2/build/replaced_replica
[ -x "$program" ] || exit 2
"$program" "$here"
case $? in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac
