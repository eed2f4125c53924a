#!/usr/bin/env bash
# Regenerates the committed code in generated/ from schema/. Needs protoc 3.21 (package protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -Ischema --cpp_out=generated schema/berylspur/*.proto
