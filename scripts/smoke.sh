#!/usr/bin/env bash
# The README's trial by hand with separate processes: stand-ins, two routers, a document, requests, a graceful stop.
set -euo pipefail
bin=$1
dir=$(mktemp -d)
processes=()
finish() {
  for process in "${processes[@]}"; do kill "$process" 2>/dev/null || true; done
  wait || true
  rm -rf "$dir"
}
trap finish EXIT

"$bin/hickorywick-standin" platform --routers 2 >"$dir/platform" &
processes+=($!)
export HICKORYWICK_STORE=http://127.0.0.1:17000 HICKORYWICK_OPERATOR_KEY=operators
router() {
  "$bin/hickorywick-router" --instance "router-$1" --zone zone-a --environment trial \
    --callers-address "127.0.0.1:1900$1" --peers-address "127.0.0.1:1800$1" --operators-address "127.0.0.1:1910$1" \
    --instance-list http://127.0.0.1:17001/instances --drain-grace 200ms 2>"$dir/router-$1" &
  processes+=($!)
}
wait_for() {
  for _ in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "gave up waiting for: $*" >&2
  cat "$dir"/router-* >&2
  return 1
}
wait_for curl -fs http://127.0.0.1:17001/instances
router 1
router 2
"$bin/hickorywickctl" put examples/trial.yaml
wait_for curl -fs http://127.0.0.1:19101/readyz
wait_for curl -fs http://127.0.0.1:19102/readyz

curl -fsS http://127.0.0.1:19001/v1/chat/completions -H 'Authorization: Bearer cellar-key' -H 'X-Request-Id: first-ale' \
  -d '{"model":"standin-model","stream":true,"messages":[{"role":"user","content":"which ale is on?"}]}' >"$dir/stream"
grep -q 'data: \[DONE\]' "$dir/stream"
curl -fsS http://127.0.0.1:19002/services/desk/orders -H 'Authorization: Bearer bar-key' \
  -H 'Idempotency-Key: order-1' -d 'two tokens' | grep -q 'done POST order-1'
"$bin/hickorywickctl" --operators 127.0.0.1:19101 --operators 127.0.0.1:19102 status
"$bin/hickorywickctl" --operators 127.0.0.1:19101 --operators 127.0.0.1:19102 fairness
"$bin/hickorywickctl" --operators 127.0.0.1:19101 --operators 127.0.0.1:19102 report burn --output csv | grep 'cellar-stewards.*,100.0 %'
"$bin/hickorywickctl" --operators 127.0.0.1:19101 --operators 127.0.0.1:19102 upstreams | grep -q '127.0.0.1:17002'
"$bin/hickorywickctl" --operators 127.0.0.1:19101 --operators 127.0.0.1:19102 explain first-ale | grep -q 'ended: answered, execution ran'
"$bin/hickorywickctl" --operators 127.0.0.1:19101 order --upstream 127.0.0.1:17002 --model standin-model --version 2 | grep -q 'ordered state'
sed 's/share: 2/share: 3/' examples/trial.yaml >"$dir/changed.yaml"
"$bin/hickorywickctl" diff "$dir/changed.yaml" | grep -q '+ account cellar-stewards'
"$bin/hickorywickctl" put "$dir/changed.yaml"
"$bin/hickorywickctl" promote --from trial --to production
"$bin/hickorywickctl" rollback-forward trial --version 1
"$bin/hickorywickctl" history trial

# A graceful stop lets a request in flight finish.
curl -fsS http://127.0.0.1:19001/v1/chat/completions -H 'Authorization: Bearer cellar-key' -H 'X-Standin-Tokens: 100' \
  -d '{"model":"standin-model","stream":true,"messages":[{"role":"user","content":"a long one"}]}' >"$dir/long" &
request=$!
wait_for grep -q data: "$dir/long"
kill -TERM "${processes[1]}"
wait "$request"
grep -q 'data: \[DONE\]' "$dir/long"
wait "${processes[1]}"

# The router that stopped has brought its usage to the store.
"$bin/hickorywickctl" report usage --environment trial --output csv | grep 'cellar-stewards'
"$bin/hickorywickctl" report forecast --environment trial --output csv | grep 'pool,account'
echo "smoke: passed"
