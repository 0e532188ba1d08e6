#!/usr/bin/env bash
# Builds the stand-ins of review/4 and later into target/review-2/. Needs no more than the build of
# the deploy file does.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra)
g++ "${flags[@]}" -c review/stage-2/world.cpp -o "$out/world.o"
for source in review/stage-2/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = world ] && continue
  g++ "${flags[@]}" "$source" "$out/world.o" -o "$out/$name"
done
