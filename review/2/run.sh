#!/usr/bin/env bash
# A former leader acts on owners that it read before others led. Exit code: 1 rule broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/wagtailmoor-router ] && [ -x target/review/stale_leader ] || exit 2
RECORD="review/2/record.txt" exec timeout --signal=KILL 110 target/review/stale_leader
