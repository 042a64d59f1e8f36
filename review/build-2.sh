#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10. Needs nothing from a network that the build of
# the deploy file doesn't need.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
