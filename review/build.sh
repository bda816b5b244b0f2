#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-in review/stand_in.rs
