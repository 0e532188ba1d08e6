#!/usr/bin/env bash
# Counts the instructions that a node executes, with callgrind on seeded simulations of a large fleet.
# The counts are reproducible.
# Usage: tests/load/profile.sh BUILD_DIR [leader|peers|takeover|start] [machines per pool] [seconds]
#   leader    heartbeats, queries and the periodic work of the leader
#   peers     sending and receiving gossip, on all nodes
#   takeover  the twenty seconds after the leader's crash. The total includes the simulated services:
#             read the lines of the single functions
#   start     the program's start until its settings are read; ignores machines and seconds
set -euo pipefail
build=$1
mode=${2:-leader}
per_pool=${3:-25}
seconds=${4:-60}
out=$(mktemp -d)

profile() { # arguments: functions to count, --, command; without functions it counts everything
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
