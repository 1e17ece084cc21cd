#!/usr/bin/env bash
# Runs each fuzz target for the given time.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in $(grep -rl --include='*_test.go' '^func Fuzz' lib cmd platform); do
  for target in $(grep -o '^func Fuzz[A-Za-z]*' "$file" | cut -d' ' -f2); do
    (cd "$(dirname "$file")" && go test -run '^$' -fuzz "^$target\$" -fuzztime "${1:-10s}" -fuzzminimizetime 1s .)
  done
done
