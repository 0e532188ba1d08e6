#!/usr/bin/env bash
# Plays a case: run-case.sh FOLDER PROGRAM. Called by each case's run.sh. Starts the controllers with
# the run command of the deploy file, with settings and logs in a temporary folder.
set -u
folder=$(cd "$1" && pwd)
program=target/review-2/$2
cd "$folder/../.."
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
if [ -z "$command" ] || [ ! -x "$program" ] || [ ! -x "${command%% *}" ]; then
  echo "run the build of deploy/service.toml and review/build-2.sh first" >&2
  exit 2
fi
# The controllers die with the program that has started them.
read -r -a words <<<"$command"
timeout -s KILL 118 "$program" "$directory" "$folder/record.txt" "${words[@]}"
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp "$directory"/*.log "$KEEP_LOGS"; fi
[ "$status" -le 1 ] || status=2
exit "$status"
