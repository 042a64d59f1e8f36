#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. Needs nothing from a network that the build of
# the deploy file doesn't need.
set -eu
cd "$(dirname "$0")/.."
for standins in 2 3; do
    cargo build --release --locked --manifest-path "review/standins-$standins/Cargo.toml" \
        --target-dir target/review-2
done
