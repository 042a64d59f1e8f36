#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15. They use the packages of the platform and the protocol, and no others than the daemon does.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins-4/Cargo.toml --target-dir target/review-3
