#!/usr/bin/env bash
# Builds the stand-ins of all cases into build/review. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/*/case.cpp; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review "$source" -o "build/review/case-$name"
done
