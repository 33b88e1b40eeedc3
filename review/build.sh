#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. The project's programs are
# built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I. \
  -c review/standin/standin.cc -o review/bin/standin.o
for source in review/[1-9]/case.cc; do
  [ -e "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I. \
    "$source" review/bin/standin.o -o "review/bin/case-$number" -pthread
done
