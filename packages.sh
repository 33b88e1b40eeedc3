#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need, unless all
# are there.
set -euo pipefail
packages=(g++ cmake ninja-build make git clang-format clang-tidy pkg-config
  libev-dev libmicrohttpd-dev libcurl4-openssl-dev libgrpc++-dev libabsl-dev
  libprotobuf-dev protobuf-compiler protobuf-compiler-grpc
  nlohmann-json3-dev libfmt-dev libboost-dev libssl-dev zlib1g-dev
  libgtest-dev libgmock-dev librapidcheck-dev)
if dpkg-query -W -f='${Status}\n' "${packages[@]}" 2>/dev/null |
  grep -cx 'install ok installed' | grep -qx "${#packages[@]}"; then
  exit 0
fi
run=()
[ "$(id -u)" = 0 ] || run=(sudo)
"${run[@]}" apt-get update
"${run[@]}" env DEBIAN_FRONTEND=noninteractive \
  apt-get install -y --no-install-recommends "${packages[@]}"
