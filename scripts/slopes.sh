#!/usr/bin/env bash
# Runs the slope benchmarks and fits their lines. The page docs/CAPACITY.md is worked out from this output.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -run '^$' -bench Slope -benchtime "${1:-200ms}" ./lib/... | tee /dev/stderr | go run ./cmd/hickorywick-standin slopes
