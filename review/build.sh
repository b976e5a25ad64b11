#!/bin/sh
# Builds the stand-ins of the scripts. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=1 -o target/review/standin review/standin/main.rs
