#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in large_bodies pipelined_stop stale_leader repeated_answer; do
  rustc --edition 2021 -O -o "target/review/$name" "review/standin/$name.rs"
done
