#!/bin/sh
# Processes that were not killed send bookings to a server that has left. TROUBLE=0 kills no process.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/rig leaving review/1
