#!/bin/sh
# Builds the stand-ins of all cases. Needs the Rust toolchain only: no dependency, no network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir review/standins/target
