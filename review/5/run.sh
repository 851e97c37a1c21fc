#!/usr/bin/env bash
# Requests sent behind others during a planned stop. Exit code: 1 rule broken, 0 held, 2 could not run.
# TROUBLE=0 runs the same without the disruption; the stand-in reads the variable.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/wagtailmoor-router ] && [ -x target/review/pipelined_stop ] || exit 2
RECORD="review/5/record.txt" exec timeout --signal=KILL 110 target/review/pipelined_stop
