#!/usr/bin/env bash
# Measures the series in benchmark/capacity.json: in-process parts with bench_capacity, the part
# "processes" with node processes on loopback ports from 20000. Then writes docs/CAPACITY.md.
# Usage: capacity.sh BUILD_DIR [PART...]
# Given parts (state traffic rest events heard connections tasks processes), measures only these again.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
parts=("$@")
[ ${#parts[@]} -gt 0 ] || parts=(state connections traffic rest events heard tasks processes)
out=build/capacity
mkdir -p "$out"

started=()
stop_all() {
  for pid in "${started[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
  started=()
}
trap stop_all EXIT

apply() { # revision; status 7 of berylspurctl: not in force on all nodes yet
  cat >"$out/manifest.yaml" <<YAML
fleet: capacity
customer-header: X-Customer
services:
  - name: scan
    endpoints: 8
    slots: 4
    floor-percent: 50
    routes:
      - {path-prefix: /scan, methods: [GET], idempotent: true, deadline-ms: $((5000 + $1))}
YAML
  "$build/bin/berylspurctl" apply "$out/manifest.yaml" \
    --platform 127.0.0.1:20000 --node 127.0.0.1:20103 --wait 0 >"$out/apply.log" || [ $? -eq 7 ]
}

start_fleet() { # nodes
  "$build/bin/berylspur-platform" --listen 127.0.0.1:20000 >"$out/platform.log" 2>&1 &
  started+=($!)
  nodes=()
  for ((i = 0; i < $1; i++)); do
    port=$((20100 + 4 * i))
    cat >"$out/node-$i.yaml" <<YAML
fleet: capacity
node: {name: node-$i, region: region, failure-domain: domain-$((i % 4))}
addresses:
  caller: 127.0.0.1:$port
  peer: 127.0.0.1:$((port + 1))
  announce: 127.0.0.1:$((port + 2))
  admin: 127.0.0.1:$((port + 3))
platform: 127.0.0.1:20000
peers: ["127.0.0.1:20101"]
log: {level: error}
YAML
    "$build/bin/berylspur-node" --settings "$out/node-$i.yaml" >>"$out/nodes.log" 2>&1 &
    started+=($!)
    nodes+=($!)
    [ "$i" -gt 0 ] || sleep 5
  done
}

cpu_ticks() { # user and system time of all nodes, in clock ticks
  local sum=0 fields
  for pid in "${nodes[@]}"; do
    read -r -a fields <"/proc/$pid/stat"
    sum=$((sum + fields[13] + fields[14]))
  done
  echo "$sum"
}
resident_kb() {
  for pid in "${nodes[@]}"; do grep VmRSS "/proc/$pid/status"; done | awk '{s += $2} END {print s}'
}
counter() { # metric name; prints the sum over all nodes
  for ((n = 0; n < ${#nodes[@]}; n++)); do curl -sf "http://127.0.0.1:$((20103 + 4 * n))/metrics"; done |
    awk -v name="$1" '$1 == name {s += $2} END {printf "%d\n", s}'
}
revisions() { # number of nodes at revision $1
  for ((n = 0; n < ${#nodes[@]}; n++)); do curl -sf "http://127.0.0.1:$((20103 + 4 * n))/state" | jq .revision; done |
    grep -cx "$1" || true
}
point() { # series, per, unit, x, y
  jq -cn --arg name "$1" --arg per "$2" --arg unit "$3" --argjson x "$4" --argjson y "$5" \
    '{name: $name, per: $per, unit: $unit, x: $x, y: $y}' | tee -a "$out/processes.points"
}
ratio() { awk -v a="$1" -v b="$2" 'BEGIN {printf "%.4f", a / b}'; }

measure_processes() { # nodes
  local n=$1 rest=30 changes=10 cpu bytes calls
  start_fleet "$n"
  sleep 10
  apply 1
  for ((try = 0; try < 30; try++)); do
    [ "$(revisions 1)" -eq "$n" ] && break
    sleep 1
  done
  [ "$(revisions 1)" -eq "$n" ] || { echo "only $(revisions 1) of $n nodes have revision 1" >&2; return 1; }
  sleep 10
  cpu=$(cpu_ticks) bytes=$(counter berylspur_gossip_bytes_total) calls=$(counter berylspur_platform_calls_total)
  sleep "$rest"
  cpu=$(($(cpu_ticks) - cpu))
  bytes=$(($(counter berylspur_gossip_bytes_total) - bytes))
  calls=$(($(counter berylspur_platform_calls_total) - calls))
  point "processes at rest, CPU per node" node "percent of a core" "$n" "$(ratio "$cpu" $((rest * n)))"
  point "processes at rest, gossip bytes/s per node" node "bytes/s" "$n" "$(ratio "$bytes" $((rest * n)))"
  point "processes at rest, platform calls/s" node "calls/s" "$n" "$(ratio "$calls" "$rest")"
  point "processes at rest, resident memory per node" node "KiB" "$n" "$(ratio "$(resident_kb)" "$n")"
  cpu=$(cpu_ticks) calls=$(counter berylspur_platform_calls_total)
  local begin=$SECONDS
  for ((c = 2; c < 2 + changes; c++)); do
    apply "$c"
    sleep 1
  done
  local took=$((SECONDS - begin))
  point "processes, nodes with a change 1 s after it" node "percent" "$n" \
    "$(ratio $((100 * $(revisions $((changes + 1))))) "$n")"
  point "processes at 1 change/s, CPU per node" node "percent of a core" "$n" \
    "$(ratio $(($(cpu_ticks) - cpu)) $((took * n)))"
  point "processes at 1 change/s, platform calls/s" node "calls/s" "$n" \
    "$(ratio $(($(counter berylspur_platform_calls_total) - calls)) "$took")"
  point "processes after 10 changes, resident memory per node" node "KiB" "$n" "$(ratio "$(resident_kb)" "$n")"
  stop_all
}

for part in "${parts[@]}"; do
  if [ "$part" = processes ]; then
    rm -f "$out/processes.points"
    for n in 4 16 64; do measure_processes "$n"; done
    jq -s 'group_by(.name) | map({key: .[0].name, value: {per: .[0].per, unit: .[0].unit,
      command: "benchmark/capacity.sh build/release processes", points: map([.x, .y])}}) | from_entries' \
      "$out/processes.points" >"$out/processes.json"
  else
    "$build/bench/bench_capacity" --part "$part" --json "$out/$part.json"
  fi
done
jq -s 'add' "$out"/*.json >benchmark/capacity.json
python3 benchmark/capacity_page.py benchmark/capacity.json docs/CAPACITY.md
