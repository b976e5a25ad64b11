#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standin-2/main.rs -o target/review-2/standin-2
