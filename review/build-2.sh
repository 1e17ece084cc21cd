#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. It needs Go alone: there are no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
export GOWORK=off GOTOOLCHAIN=local
go -C review/rig-2 build -buildvcs=false -o ../../target/review-rig-2 .
