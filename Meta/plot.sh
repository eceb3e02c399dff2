#!/usr/bin/env bash
# Runs one measurement with plots: writes the data and gnuplot files into a folder and draws them there.
# usage: plot.sh MEASUREMENT DIRECTORY [SEED]
set -euo pipefail

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
BUILD="${EELGRASSHATCH_BUILD:-$ROOT/Build}"
MEASUREMENT="${1:?usage: plot.sh MEASUREMENT DIRECTORY [SEED]}"
DIRECTORY="${2:?usage: plot.sh MEASUREMENT DIRECTORY [SEED]}"
SEED="${3:-1}"

mkdir -p "$DIRECTORY"
status=0
"$BUILD/bin/eelgrasshatch-measure" "$MEASUREMENT" --seed "$SEED" --plot "$DIRECTORY" || status=$?
cd "$DIRECTORY"
for script in "$MEASUREMENT"*.gnuplot; do
    [ -f "$script" ] && gnuplot "$script"
done
exit "$status"
