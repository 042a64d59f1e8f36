#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The daemons come from the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
