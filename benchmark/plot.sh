#!/usr/bin/env bash
# Draws a bar chart per benchmark from the rows with a target, and prints these rows as a table,
# numbered as in the charts. Usage: plot.sh PARTS_DIR OUT_DIR
set -euo pipefail
parts=$1
out=$2
mkdir -p "$out"
data=$(mktemp)
trap 'rm -f "$data"' EXIT
for part in "$parts"/*.json; do
  name=$(basename "$part" .json)
  # A logarithmic axis cannot show zero; such values are drawn as 0.001.
  jq -r '[.[] | select(.verdict != "reported")] | to_entries[]
    | (.key + 1) as $number | .value | [$number, ([.baseline, 0.001] | max), ([.figure, 0.001] | max), ([.target, 0.001] | max)] | @tsv' "$part" > "$data"
  [ -s "$data" ] || continue
  jq -r --arg family "${name#bench_}" '[.[] | select(.verdict != "reported")] | to_entries[]
    | "| \($family) \(.key + 1) | \(.value | "\(.name) | \(.baseline*1000|round/1000) | \(.figure*1000|round/1000) | \(.target) | \(.unit) | \(.verdict) | \(.seeds)") |"' "$part"
  gnuplot <<PLOT
set terminal svg size 900,360 font "sans,11"
set output "$out/$name.svg"
set datafile separator tab
set style data histogram
set style fill solid 0.8
set logscale y
set key outside
set title "$name: rows with a target, numbered as in the table" noenhanced
plot "$data" using 2:xtic(1) title "baseline", "" using 3 title "figure", "" using 4 title "target"
PLOT
done
