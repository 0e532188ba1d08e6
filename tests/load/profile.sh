#!/usr/bin/env bash
# What a node spends on reports and on its loop, by callgrind on a seeded run of a grown fleet.
# Usage: tests/load/profile.sh BUILD_DIR [machines per pool] [seconds]
set -euo pipefail
build=$1
out=$(mktemp -d)
valgrind --tool=callgrind --callgrind-out-file="$out/cg" --collect-atstart=no \
  --toggle-collect='asterstair::Node::handle*' --toggle-collect='asterstair::fleet::Fleet::tick*' \
  --toggle-collect='asterstair::autoscale::Autoscaler::tick*' \
  "$build/asterstair_load" "${2:-25}" "${3:-60}" 2>"$out/log"
tail -3 "$out/log"
callgrind_annotate --inclusive=yes "$out/cg" | grep -E 'asterstair::|PROGRAM' | head -45 | cut -c1-160
