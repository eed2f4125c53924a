#!/usr/bin/env bash
# Starts the platform stand-in, two nodes and one endpoint on loopback and measures the overhead of the
# fleet against the direct path. Usage: price.sh BUILD_DIR [bench_price options]
set -euo pipefail
build=$(cd "$1" && pwd)
shift
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$work"
}
trap cleanup EXIT

"$build/bin/berylspur-platform" --listen 127.0.0.1:19000 > "$work/platform.log" 2>&1 & pids+=($!)
for n in 1 2; do
  cat > "$work/n$n.yaml" <<YAML
fleet: price
node: {name: n$n, region: bench, failure-domain: fd$n}
addresses: {caller: "127.0.0.1:1910$n", peer: "127.0.0.1:1920$n", announce: "127.0.0.1:1930$n", admin: "127.0.0.1:1940$n"}
platform: 127.0.0.1:19000
peers: ["127.0.0.1:19201", "127.0.0.1:19202"]
log: {level: warn}
YAML
  "$build/bin/berylspur-node" --settings "$work/n$n.yaml" 2> "$work/n$n.log" & pids+=($!)
done
"$build/bin/berylspur-backend" --id price-1 --service price --listen 127.0.0.1:19501 \
  --announce 127.0.0.1:19301 --slots 64 --service-time-ms 0 --jitter 0 --connection-ms 0 \
  > "$work/backend.log" 2>&1 & pids+=($!)
cat > "$work/manifest.yaml" <<'YAML'
fleet: price
services:
  - name: price
    endpoints: 1
    slots: 64
    routes:
      - {path-prefix: /price, methods: [GET], idempotent: true}
YAML
until curl -sf 127.0.0.1:19401/state > /dev/null && curl -sf 127.0.0.1:19402/state > /dev/null; do sleep 0.1; done
"$build/bin/berylspurctl" apply "$work/manifest.yaml" --platform 127.0.0.1:19000 \
  --node 127.0.0.1:19401 --node 127.0.0.1:19402 > "$work/apply.log"
for gate in 19101 19102; do
  for _ in $(seq 100); do
    curl -sf "127.0.0.1:$gate/price/x" > /dev/null && break
    sleep 0.1
  done
done
"$build/bench/bench_price" --direct 127.0.0.1:19501 --local 127.0.0.1:19101 \
  --remote 127.0.0.1:19102 --local-pid "${pids[1]}" --gate-pid "${pids[2]}" "$@"
