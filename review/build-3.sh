#!/bin/sh
# Builds the stand-ins of review/11 to review/15, with the compiler's standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand3 review/stand3/main.rs
