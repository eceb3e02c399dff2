#!/usr/bin/env bash
# Runs clang-tidy over the named files. A file that was found clean is skipped until it, a project header that it
# includes (by the build's own records) or the lint settings change. A file that was never built depends on all headers.
# usage: run-clang-tidy.sh BUILD_DIRECTORY JOBS FILE...
set -euo pipefail

BUILD="$1"
JOBS="$2"
shift 2
STAMPS="${EELGRASSHATCH_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/eelgrasshatch-lint}"
mkdir -p "$STAMPS"
ROOT="$(git rev-parse --show-toplevel)"
# One line per source: its path, then the digests of its inputs.
MADE_FROM="$(mktemp)"
trap 'rm -f "$MADE_FROM"' EXIT
ninja -C "$BUILD" -t deps 2>/dev/null | awk -v root="$ROOT/" '
    BEGIN {
        command = "cd " root " && git ls-files -z --cached --others --exclude-standard | xargs -0 sha256sum 2>/dev/null"
        while ((command | getline line) > 0) {
            digest = substr(line, 1, 64)
            digests[substr(line, 67)] = digest
        }
    }
    function finish() { if (source != "") print source, parts; source = ""; parts = "" }
    /^[^ ]/ { finish(); next }
    /^ / {
        path = $1
        if (index(path, root) != 1) next
        path = substr(path, length(root) + 1)
        if (!(path in digests)) next
        if (source == "") source = path
        parts = parts " " digests[path]
    }
    END { finish() }' >"$MADE_FROM"
SETTINGS_DIGEST="$(cat .clang-tidy | sha256sum | cut -d' ' -f1)"
HEADERS_DIGEST="$(git ls-files --cached --others --exclude-standard -- '*.h' | sort | xargs cat | sha256sum | cut -d' ' -f1)"
export BUILD STAMPS MADE_FROM SETTINGS_DIGEST HEADERS_DIGEST

lint_one() {
    local digest made_from
    made_from="$(awk -v source="$1" '$1 == source { print; exit }' "$MADE_FROM")"
    [ -n "$made_from" ] || made_from="$1 $HEADERS_DIGEST $(sha256sum <"$1")"
    digest="$(echo "$SETTINGS_DIGEST $made_from" | sha256sum | cut -d' ' -f1)"
    [ -f "$STAMPS/$digest" ] && return 0
    if clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$BUILD" "$1" 2>/dev/null; then
        touch "$STAMPS/$digest"
    else
        echo "lint: findings in $1" >&2
        return 1
    fi
}
export -f lint_one

printf '%s\0' "$@" | xargs -0 -n 1 -P "$JOBS" bash -c 'lint_one "$1"' lint_one
