#!/usr/bin/env bash
# Runs clang-tidy on the sources of the product, the tools and the stand-ins. Usage: lint.sh BUILD_DIR
set -euo pipefail
build=$1
git ls-files 'src/*.cpp' 'platform/*.cpp' 'tools/*.cpp' 'tests/standin/*.cpp' |
  xargs -P 8 -n 3 clang-tidy -p "$build" --quiet 2> >(grep -v 'warnings\? generated' >&2)
