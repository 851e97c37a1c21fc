#!/bin/sh
# Builds the stand-ins of cases 6 to 10. Needs no network: they use the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
