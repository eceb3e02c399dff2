#!/usr/bin/env bash
# Runs real processes and the store's stand-in: changes under lost responses, outages, races, pauses and restarts. Checks
# only final states and exit codes; waits are bounded, and their length is not checked.
# usage: test-end-to-end.sh BUILD_DIRECTORY
set -euo pipefail

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
BIN="$1/bin"
DEPLOYMENT=midshires
source "$ROOT/Meta/demo-$DEPLOYMENT.sh"
WORK="$(mktemp -d)"
source "$ROOT/Meta/demo-configuration.sh"
source "$ROOT/Meta/demo-processes.sh"
trap stop_everything EXIT

PASSED=0
FAILED=0

# check NAME CONDITION...: counts the outcome of a command.
check() {
    local name="$1"
    shift
    if "$@"; then
        PASSED=$((PASSED + 1))
        echo "ok      $name"
    else
        FAILED=$((FAILED + 1))
        echo "FAILED  $name"
    fi
}

# exit_code ARGUMENTS...: prints the exit code of eelctl; its output goes to last.txt.
exit_code() {
    local code=0
    "$BIN/eelctl" --endpoint "${OPERATOR[0]}" --author tester --reason test "$@" >"$WORK/last.txt" 2>&1 || code=$?
    echo "$code"
}

gives() {
    local expected="$1" code
    shift
    code="$(exit_code "$@")"
    [ "$code" = "$expected" ] && return 0
    echo "        eelctl $* gave $code, expected $expected: $(tail -1 "$WORK/last.txt")"
    return 1
}

faults() {
    "$BIN/standin-storectl" --endpoint "$STORE" faults "$@"
}

# times_in_history REQUEST_ID
times_in_history() {
    "$BIN/eelctl" --endpoint "${OPERATOR[0]}" history --limit 100 | grep -c "$1" || true
}

is_equal() {
    [ "$1" = "$2" ] && return 0
    echo "        got '$1', expected '$2'"
    return 1
}

# eventually COMMAND...: retries the command until it succeeds, for at most 30 seconds.
eventually() {
    for _ in $(seq 300); do
        "$@" && return 0
        sleep 0.1
    done
    return 1
}

status_of() {
    "$BIN/eelctl" --endpoint "${OPERATOR[$1]}" status 2>/dev/null
}

serves_newest_from_peers() {
    status_of "$1" | grep -q "revision $2 (evidence peers"
}

newest_revision() {
    status_of 0 | awk '/^accepted revision/ { print $3 }'
}

start_platform
start_fabric
start_backend_servers
choose_addresses
for index in 0 1 2 3; do
    start_entry_vm "$index"
done
apply_configuration
check "a configuration comes into force everywhere" gives 0 wait --timeout-s 30

faults --lost-permille 1000
check "a change whose answers are all lost is accepted" gives 0 --request-id lost-1 backend-server weight rota rota-1 90
faults
check "and took effect once" is_equal "$(times_in_history lost-1)" 1
check "repeating its request id changes nothing" gives 0 --request-id lost-1 backend-server weight rota rota-1 90
check "and is in the history once" is_equal "$(times_in_history lost-1)" 1

faults --outage refusing
check "a change during an outage is unavailable" gives 6 --request-id outage-1 --retry-s 15 backend-server weight rota rota-1 80
faults
check "and nothing was changed" is_equal "$(times_in_history outage-1)" 0

faults --outage silent
code="$(exit_code --request-id silent-1 --retry-s 1 backend-server weight rota rota-1 70)"
check "a silent store never makes a change look accepted" test "$code" = 5 -o "$code" = 6
faults
check "the same request id settles it" gives 0 --request-id silent-1 backend-server weight rota rota-1 70
check "exactly once" is_equal "$(times_in_history silent-1)" 1

base="$(newest_revision)"
check "a change on the newest revision is accepted" gives 0 --base "$base" backend-server weight rota rota-2 60
check "a script with a stale revision is refused" gives 3 --base "$base" backend-server weight rota rota-2 10

base="$(newest_revision)"
codes="$(for index in 0 1; do
    ("$BIN/eelctl" --endpoint "${OPERATOR[index]}" --author "racer-$index" --reason race --base "$base" \
        backend-server weight rota rota-4 $((30 + index)) >"$WORK/race-$index.txt" 2>&1 && echo 0 || echo $?) &
done; wait)"
check "of two racing operators one wins and one is told" is_equal "$(echo "$codes" | sort | paste -sd' ')" "0 3"
check "the loser learns who won" grep -q "racer-" "$(grep -L "accepted as" "$WORK"/race-?.txt)"

check "a value can be protected" gives 0 protect service/rota/backend-server/rota-5/weight
check "a change that does not name the protection is refused" gives 4 backend-server weight rota rota-5 10
check "a change that names it is accepted" gives 0 --override service/rota/backend-server/rota-5/weight \
    backend-server weight rota rota-5 20

kill -STOP "$PID_balancer_2"
check "a change is accepted while a balancer is paused" gives 0 backend-server weight rota rota-7 40
check "waiting tells that a balancer lacks it" gives 7 wait --timeout-s 2
kill -CONT "$PID_balancer_2"
check "a balancer that was paused catches up" gives 0 wait --timeout-s 30

newest="$(newest_revision)"
faults --outage refusing
kill -KILL "$PID_balancer_1"
wait "$PID_balancer_1" 2>/dev/null || true
start_balancer 1
check "an empty balancer takes the newest revision from its peers while the store is down" \
    eventually serves_newest_from_peers 1 "$newest"
faults
check "after the outage changes are accepted again" gives 0 backend-server weight rota rota-8 30
check "and come into force everywhere" gives 0 wait --timeout-s 30

if ! kill -TERM "$PID_balancer_3"; then
    code=0
    wait "$PID_balancer_3" || code=$?
    echo "FAILED  balancer 3 exited by itself with code $code; its last lines:"
    tail -20 "$WORK/balancer-3.log" "$WORK/balancer-3.out"
    exit 1
fi
code=0
wait "$PID_balancer_3" || code=$?
check "a balancer that is told to stop exits cleanly" is_equal "$code" 0

echo "end to end: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
