#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linter need. Does nothing if all are installed.
set -euo pipefail
packages=(build-essential cmake ninja-build ccache pkg-config clang-format clang-tidy curl jq gnuplot-nox
  libsigc++-3.0-dev libevent-dev libnghttp2-dev libboost-dev libboost-test-dev libcli11-dev
  liblog4cxx-dev libyaml-cpp-dev libprotobuf-dev protobuf-compiler libxxhash-dev
  nlohmann-json3-dev librapidcheck-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
