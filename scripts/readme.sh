#!/usr/bin/env bash
# Types what the README shows under "By hand", line by line, and looks for what a newcomer would.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
finish() {
  for process in $(jobs -p); do kill "$process" 2>/dev/null || true; done
  wait || true
  rm -rf "$dir"
}
trap finish EXIT
sed -n '/^By hand/,/^## /p' README.md | sed -n 's/^    //p' >"$dir/typed"
test -s "$dir/typed"
set +e
# shellcheck disable=SC1091
source "$dir/typed" >"$dir/out" 2>"$dir/err"
status=$?
set -e
if [ "$status" -ne 0 ] || ! grep -q 'data: \[DONE\]' "$dir/out" || ! grep -q 'router-1' "$dir/out"; then
  cat "$dir/out" "$dir/err" >&2
  echo "readme: failed with status $status" >&2
  exit 1
fi
echo "readme: passed"
