#!/bin/sh
# Builds the stand-ins of cases 11 to 15 with the standard library only; the entry program is built by the
# command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in crashing_request late_heartbeat foreign_row silent_readers; do
    rustc --edition 2024 -O -o "target/review-3/$name" "review/standins-3/$name.rs"
done
