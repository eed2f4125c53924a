#!/usr/bin/env bash
# Builds the stand-ins of the review cases 11 to 15 into target/review/. Usage: build-3.sh [N...]
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -gt 0 ] || set -- 11 12 13 14 15
mkdir -p target/review
for n in "$@"; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "review/$n/case.cpp" -o "target/review/case-$n"
done
