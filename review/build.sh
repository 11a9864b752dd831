#!/bin/sh
# Builds the stand-ins that the review's scripts start. Needs no network and no further dependency.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p damaskloom-testutils --bins
mkdir -p target/review
rustc --edition 2021 -O review/standins/rig.rs -o target/review/rig
