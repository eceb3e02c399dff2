#!/usr/bin/env bash
# Prints a reference page generated from the programs' own output; a test compares it with the one in docs/.
# usage: reference.sh BUILD_DIRECTORY settings|events
set -euo pipefail

BIN="$1/bin"
PAGE="$2"

settings_page() {
    cat <<'TEXT'
# Settings

Each daemon reads one file, `--settings FILE`, in JSON with comments. `--check-settings` checks it and starts nothing. A
wrong file gives one line, `FILE: key.path: expected ...`, and exit code 2. Keys with dots are nested objects:
`control.endpoint` is written `{ "control": { "endpoint": "10.0.0.1:4100" } }`. Port 0, where the daemon listens, lets the
kernel choose; the daemon prints `LISTENING <name> <address:port>` for each.

This page is made by `Meta/reference.sh BUILD settings`.
TEXT
    for program in balancerd proberd operatord entryd; do
        printf '\n## %s\n\n' "$program"
        "$BIN/$program" --settings-reference
    done
}

events_page() {
    cat <<'TEXT'
# Log events

Daemons log to standard output only, one JSON object a line: `time`, `program`, `level`, `event` (the number), `name`,
then the event's own fields. Numbers and names never change their meaning. Debug events are written after SIGHUP, until
the next one; entryd reads its settings again instead (`log.debug`). Lines beyond an event's limit a second, and lines
that standard output does not take in time, are left out and counted (EH9007).

This page is made by `Meta/reference.sh BUILD events`.

## All daemons

TEXT
    "$BIN/balancerd" --frame-events-reference
    for program in balancerd proberd operatord entryd; do
        printf '\n## %s\n\n' "$program"
        "$BIN/$program" --events-reference
    done
}

case "$PAGE" in
    settings) settings_page ;;
    events) events_page ;;
    *)
        echo "reference.sh: unknown page '$PAGE'; expected settings or events" >&2
        exit 2
        ;;
esac
