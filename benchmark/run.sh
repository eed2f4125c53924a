#!/usr/bin/env bash
# Runs all benchmarks, prints their tables, writes build/bench/results.json and draws the plots of
# docs/measurements.md. Usage: run.sh BUILD_DIR
set -euo pipefail
build=$1
out=build/bench
mkdir -p "$out/parts"
rm -f "$out"/parts/*.json
for program in "$build"/bench/bench_*; do
  name=$(basename "$program")
  echo "== $name"
  case "$name" in
    bench_capacity) echo "see benchmark/capacity.sh"; continue ;;
    bench_price) bash benchmark/price.sh "$build" --json "$PWD/$out/parts/$name.json"; continue ;;
  esac
  "$program" --json "$out/parts/$name.json"
done
jq -s 'add' "$out"/parts/*.json > "$out/results.json"
echo "rows: $(jq length "$out/results.json"), below target: $(jq '[.[] | select(.verdict == "fails")] | length' "$out/results.json")"
bash benchmark/plot.sh "$out/parts" docs/plots
