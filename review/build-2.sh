#!/bin/sh
# Builds the stand-ins of cases 6 to 10 with the standard library only; the entry program is built by the
# command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in handed_on moved_store cut_reader one_way; do
    rustc --edition 2024 -O -o "target/review-2/$name" "review/standins-2/$name.rs"
done
