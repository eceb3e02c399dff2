#!/usr/bin/env bash
# Runs the soak's CI seeds in parallel.
# usage: test-soak.sh BUILD_DIRECTORY
set -euo pipefail

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
grep -v '^#' "$ROOT/Tests/Soak/seeds.txt" | while read -r seed seconds _; do echo "$seed $seconds"; done \
    | xargs -P 2 -L 1 bash -c '"$0/bin/eelgrasshatch-soak" --entryd "$0/bin/entryd" --seed "$1" --seconds "$2"' "$1"
