#!/usr/bin/env bash
# Instructions that a node spends, by callgrind on seeded runs of a large fleet; the counts repeat.
# Usage: tests/load/profile.sh BUILD_DIR [leader|peers|takeover|start] [machines per pool] [seconds]
#   leader    reports, questions and the loops of the node that leads
#   peers     gossip to and from the peers, on all nodes
#   takeover  the twenty seconds after the leader has ended, with what the stand-ins spend: look at
#             the lines of the functions
#   start     the program's start until its settings are read; seconds and machines do not matter
set -euo pipefail
build=$1
mode=${2:-leader}
per_pool=${3:-25}
seconds=${4:-60}
out=$(mktemp -d)

profile() { # the toggled functions, then the program
  local toggles=()
  while [[ $1 != -- ]]; do
    toggles+=("--toggle-collect=$1")
    shift
  done
  shift
  local from_start=no
  [[ ${#toggles[@]} -eq 0 ]] && from_start=yes
  valgrind --tool=callgrind --callgrind-out-file="$out/cg" --collect-atstart=$from_start \
    ${toggles[@]+"${toggles[@]}"} "$@" 2>"$out/log"
  tail -3 "$out/log"
  callgrind_annotate --inclusive=yes "$out/cg" | grep -E 'asterstair::|PROGRAM' | head -45 | cut -c1-160
}

case $mode in
  leader)
    profile 'asterstair::Node::handle*' 'asterstair::leader::Term::tick*' \
      'asterstair::autoscale::Autoscaler::tick*' -- "$build/asterstair_leader_load" "$per_pool" "$seconds"
    ;;
  peers)
    profile 'asterstair::PeerGossip::publish*' 'asterstair::Node::peer_message*' \
      -- "$build/asterstair_leader_load" "$per_pool" "$seconds"
    ;;
  takeover)
    profile '*lose_leader*' -- "$build/asterstair_leader_load" "$per_pool" "$seconds" takeover
    ;;
  start)
    "$build/asterstair" --version
    profile -- "$build/asterstair" --check --config "$(dirname "$0")/settings.toml"
    ;;
  *)
    echo "unknown mode: $mode" >&2
    exit 2
    ;;
esac
