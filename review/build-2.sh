#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, without a network: they use the standard library alone. The program
# itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
