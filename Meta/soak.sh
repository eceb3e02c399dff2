#!/usr/bin/env bash
# Runs the fault soak over a range of seeds, several in parallel. Exit code 1 if an invariant was violated.
# usage: soak.sh BUILD_DIRECTORY [--seed FIRST] [--seeds COUNT] [--minutes M] [--jobs J] [--seconds S] [SOAK ARGUMENTS]
set -euo pipefail

BIN="$1/bin"
shift
FIRST="" COUNT=1 MINUTES=0 JOBS=1 SECONDS_WITH_FAULTS=12
REST=()
while [ $# -gt 0 ]; do
    case "$1" in
        --seed) FIRST="$2"; shift 2 ;;
        --seeds) COUNT="$2"; shift 2 ;;
        --minutes) MINUTES="$2"; shift 2 ;;
        --jobs) JOBS="$2"; shift 2 ;;
        --seconds) SECONDS_WITH_FAULTS="$2"; shift 2 ;;
        *) REST+=("$1"); shift ;;
    esac
done
# Without --seed, the first seed is random.
FIRST="${FIRST:-$((RANDOM * 32768 + RANDOM))}"
# A run takes the time with faults plus about 17 s for start and end.
[ "$MINUTES" -eq 0 ] || COUNT=$((JOBS * (MINUTES * 60 / (SECONDS_WITH_FAULTS + 17) + 1)))

seq "$FIRST" $((FIRST + COUNT - 1)) | xargs -P "$JOBS" -I SEED \
    "$BIN/eelgrasshatch-soak" --entryd "$BIN/entryd" --seconds "$SECONDS_WITH_FAULTS" --seed SEED "${REST[@]}"
