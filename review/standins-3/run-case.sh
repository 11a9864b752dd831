#!/bin/sh
# Runs a case: run-case.sh FOLDER PROGRAM. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
CASE_FOLDER=$(cd "$1" && pwd) || exit 2
ROOT=$(cd "$CASE_FOLDER/../.." && pwd)
PROGRAM="$ROOT/target/review-3/$2"
[ -x "$PROGRAM" ] && [ -x "$ROOT/target/release/damaskloom-entry" ] || {
    echo "build first: the command of deploy/system.toml, then review/build-3.sh" >&2
    exit 2
}
WORK_FOLDER=$(mktemp -d) || exit 2
export CASE_FOLDER ROOT WORK_FOLDER
timeout 110 "$PROGRAM"
code=$?
if [ -f "$WORK_FOLDER/pids" ]; then
    while read -r pid; do
        # Only processes that the case started and that still run its program.
        if [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = damaskloom-entr ]; then kill -9 "$pid"; fi
    done < "$WORK_FOLDER/pids"
fi
[ -n "$KEEP" ] && echo "logs: $WORK_FOLDER" || rm -rf "$WORK_FOLDER"
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
