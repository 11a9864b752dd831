#!/bin/sh
export CLIENTS=4
exec sh "$(dirname "$0")/../standins-3/run-case.sh" "$(dirname "$0")" crashing_request
