#!/usr/bin/env bash
# Runs all tests of the given packages under the race detector, but those that KNOWN-RED.txt says to skip. The longest models of lib/hwfollow run one after the other in a process of their own, beside all others: in one process they would take longer than the rest together.
set -euo pipefail
cd "$(dirname "$0")/.."
longest='TestUpstreamRemovedBeforeAnOutageIsDroppedInTime|TestStoreSilentForEightSecondsUnder88Routers|TestAReaderThatStartsAfterAnOutageDropsNoUpstreamThatExpiredInIt'
skipped=$(bash scripts/known-red.sh)
go test -race -run "^($longest)\$" -skip "${skipped:-^\$}" ./lib/hwfollow &
models=$!
code=0
go test -race -skip "${skipped:+$skipped|}^($longest)\$" "$@" || code=$?
wait "$models" || code=$?
exit "$code"
