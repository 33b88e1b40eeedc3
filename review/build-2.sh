#!/usr/bin/env bash
# Builds the stand-ins of review/6 and later into review/standin-2/build/.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p build
compiler=${CXX:-g++}
for source in lab net executors; do
  "$compiler" -std=c++20 -O1 -g -pthread -c "$source.cc" -o "build/$source.o" &
done
wait
for name in leaving_caller replaced_replica; do
  "$compiler" -std=c++20 -O1 -g -pthread "$name.cc" build/lab.o build/net.o \
    build/executors.o -o "build/$name"
done
