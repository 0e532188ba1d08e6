#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's cases into target/review/, after the build of
# deploy/service.toml. Needs no package beyond those that deploy/service.toml lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -Wno-restrict -Isrc -Ireview/world)
libraries=(target/libasterstair_lib.a -luv -lhttp_parser -lspdlog -lfmt -pthread)
g++ "${flags[@]}" -c review/world/world.cpp -o target/review/world.o
for case in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ "${flags[@]}" "$case" target/review/world.o "${libraries[@]}" -o "target/review/case-$number" &
done
wait
for case in review/[0-9]*/case.cpp; do
  test -x "target/review/case-$(basename "$(dirname "$case")")"
done
