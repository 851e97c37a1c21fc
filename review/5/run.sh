#!/usr/bin/env bash
# Requests sent behind others during a planned stop. Exit code: 1 rule broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/wagtailmoor-router ] && [ -x target/review/pipelined_stop ] || exit 2
RECORD="review/5/record.txt" exec timeout --signal=KILL 110 target/review/pipelined_stop
