#!/usr/bin/env bash
# Runs every test under ctest. Tests named in KNOWN-RED.txt run separately: their result is printed but does not affect the exit code.
# usage: run-tests.sh BUILD_DIRECTORY JOBS [CTEST ARGUMENTS]
set -euo pipefail

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
BUILD="$1"
JOBS="$2"
shift 2

known_red="$(sed -n 's/^TEST \([A-Za-z0-9_.-]*\).*/\1/p' "$ROOT/KNOWN-RED.txt" 2>/dev/null | paste -sd'|' -)"
if [ -n "$known_red" ]; then
    echo "Known red (KNOWN-RED.txt), reported and not decisive:"
    ctest --test-dir "$BUILD" -j "$JOBS" -R "^($known_red)\$" --output-on-failure || true
    exec ctest --test-dir "$BUILD" -j "$JOBS" --output-on-failure -E "^($known_red)\$" "$@"
fi
exec ctest --test-dir "$BUILD" -j "$JOBS" --output-on-failure "$@"
