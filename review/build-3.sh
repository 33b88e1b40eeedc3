#!/usr/bin/env bash
# Builds the stand-ins and the cases of REPORT-3.md that are scripts, into
# target/review-3/. Needs the packages of the deploy file and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
compile() {
  g++ -std=c++20 -O2 -Wall -I. -pthread "$@"
}
compile -c review/standin-3/net.cc -o target/review-3/net.o
compile -c review/standin-3/lab.cc -o target/review-3/lab.o
for source in review/1[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  compile "$source" target/review-3/net.o target/review-3/lab.o \
    -o "target/review-3/case-$number"
done
