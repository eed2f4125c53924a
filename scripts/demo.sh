#!/usr/bin/env bash
# Starts the platform stand-in, 8 nodes in 4 failure domains and the services of
# examples/resturi-clare.yaml. Runs load while one node is killed and one endpoint is stopped, and
# compares the outcomes that callers received with the execution logs of the endpoints. Exits 0 only
# if they agree. Usage: demo.sh BIN_DIR
set -euo pipefail
bin=$(cd "${1:?usage: demo.sh BIN_DIR}" && pwd)
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
port=22000
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT
start() { # log file, program, arguments
  local log=$1
  shift
  "$bin/$1" "${@:2}" >>"$dir/$log" 2>&1 &
  pids+=($!)
  disown $!
}
wait_for() { # seconds, description, command
  local end=$((SECONDS + $1)) description=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS > end)); then
      echo "timed out waiting: $description"
      exit 1
    fi
    sleep 0.2
  done
}

platform=127.0.0.1:$port
start platform.log berylspur-platform --listen "$platform"
wait_for 10 "the platform answers" curl -sf -m 2 "http://$platform/accounting"

nodes=8
declare -a caller admin announce node_pid
for i in $(seq 0 $((nodes - 1))); do
  base=$((port + 10 + 10 * i))
  caller[i]=127.0.0.1:$base
  announce[i]=127.0.0.1:$((base + 2))
  admin[i]=127.0.0.1:$((base + 3))
  {
    printf 'fleet: resturi-clare\nnode:\n  name: ro-%d\n  region: ro-buc\n  failure-domain: buc-%d\n' "$i" $((i % 4))
    printf 'addresses:\n  caller: %s\n  peer: 127.0.0.1:%d\n  announce: %s\n  admin: %s\n' \
      "${caller[i]}" $((base + 1)) "${announce[i]}" "${admin[i]}"
    printf 'platform: %s\npeers:\n' "$platform"
    for j in 0 1 2 3; do printf '  - 127.0.0.1:%d\n' $((port + 11 + 10 * j)); done
  } >"$dir/ro-$i.yaml"
  start "ro-$i.log" berylspur-node --settings "$dir/ro-$i.yaml"
  node_pid[i]=$!
done
# Waits until nodes grant keys: one that joins after the first apply grants none for the retention time.
grants() {
  for i in $(seq 0 $((nodes - 1))); do
    curl -sf -m 2 "http://${admin[i]}/state" | jq -e '.home.grants' || return 1
  done
}
wait_for 30 "every node grants keys" grants

# Endpoint counts per service are those of docs/design.md 1.4, spread over the nodes.
declare -A endpoint_pid
next=$((port + 200))
start_service() { # service, endpoint count, service time in ms, service time of long requests in ms
  for e in $(seq 0 $(($2 - 1))); do
    local host=$((e % nodes))
    start backends.log berylspur-backend --id "$1-$e" --service "$1" --listen "127.0.0.1:$next" \
      --announce "${announce[host]}" --slots 4 --service-time-ms "$3" --long-time-ms "$4" --jitter 0.3 \
      --seed "$next" --log-file "$dir/runs"
    endpoint_pid["$1-$e"]=$!
    next=$((next + 1))
  done
}
start_service cantar 11 10 10
start_service raport 8 25 25
start_service arhiva 8 20 800
start_service ridicare 8 15 15

"$bin/berylspurctl" apply examples/resturi-clare.yaml --platform "$platform" --node "${admin[0]}" --author demo
serves() { curl -sf -m 3 -H 'Host: raport.resturi-clare.example' "http://${caller[$1]}/demo"; }
for i in $(seq 0 $((nodes - 1))); do wait_for 20 "ro-$i serves" serves "$i"; done
echo "one response: $(serves 3)"
idle_kb=$(awk '/VmRSS/ {print $2}' "/proc/${node_pid[0]}/status")

"$bin/berylspur-load" --target "${caller[0]}" --target "${caller[1]}" --target "${caller[2]}" \
  --customer-header X-Hotel --customers 20 --rate 20-150:5,150:10 --seed 7 --long-share 0.02 \
  --non-idempotent-share 0.4 --short-path cantar.resturi-clare.example/bins \
  --short-path raport.resturi-clare.example/waste --long-path 'arhiva.resturi-clare.example/audit-bundles/long' \
  --post-path cantar.resturi-clare.example/weigh-ins --post-path ridicare.resturi-clare.example/tickets \
  --ids "$dir/ids" --max-seconds 60 >"$dir/report" &
load=$!
pids+=("$load")
started() { [ "$(grep -c '"start"' "$dir/runs")" -ge "$1" ]; }
wait_for 20 "load runs" started 200
kill -KILL "${node_pid[7]}"
wait_for 20 "load goes on without ro-7" started 600
kill -TERM "${endpoint_pid[cantar-4]}"
wait "$load"

echo "ro-7 was killed and endpoint cantar-4 was stopped during the load."
cat "$dir/report"
echo "resident memory of an idle node: $idle_kb KiB"
jq -sr '.' "$dir/runs" >"$dir/runs.json"
jq -s --slurpfile runs "$dir/runs.json" '
  ($runs[0] | map(select(.event == "start"))) as $starts
  | ($starts | group_by(.id) | map({key: .[0].id, value: length}) | from_entries) as $byId
  | ($starts | map(select(.key != "")) | group_by(.key) | map({key: .[0].key, value: length}) | from_entries) as $byKey
  | {sent: length,
     answered: map(select(.outcome == "answered")) | length,
     "not run": map(select(.outcome == "not-run")) | length,
     unknown: map(select(.outcome == "unknown")) | length,
     other: map(select(.outcome | IN("answered", "not-run", "unknown") | not)) | length,
     mismatched: map(select(.outcome == "mismatched")) | length,
     "run twice": map(select(.key != "" and ($byKey[.key] // 0) > 1)) | length,
     "told not run but ran": map(select(.outcome == "not-run"
        and (($byId[.id] // 0) > 0 or (.key != "" and ($byKey[.key] // 0) > 0)))) | length}
' "$dir/ids" | tee "$dir/summary"
if jq -e '."run twice" == 0 and ."told not run but ran" == 0 and .mismatched == 0 and .answered > 0' "$dir/summary" >/dev/null; then
  echo "The execution logs agree."
else
  echo "The execution logs do not agree."
  exit 1
fi
