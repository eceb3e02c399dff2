#!/usr/bin/env bash
# The main job: four balancers under load on loopback while an operator changes the configuration, a failure domain goes
# out of service and returns, and a balancer is killed and replaced. Prints a table; exit code 1 if an invariant broke.
# usage: demo.sh BUILD_DIRECTORY [midshires|kiprono] [--json]
set -euo pipefail

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
BIN="$1/bin"
shift
DEPLOYMENT=midshires
JSON=()
for argument in "$@"; do
    case "$argument" in
        midshires | kiprono) DEPLOYMENT="$argument" ;;
        --json) JSON=(--json) ;;
        *)
            echo "demo: unknown argument '$argument'; expected midshires, kiprono or --json" >&2
            exit 2
            ;;
    esac
done

source "$ROOT/Meta/demo-$DEPLOYMENT.sh"
WORK="$(mktemp -d)"
source "$ROOT/Meta/demo-configuration.sh"
source "$ROOT/Meta/demo-processes.sh"

trap stop_everything EXIT

say "starting the store, the fabric and the backend servers"
start_platform
start_fabric
start_backend_servers
say "starting four entry VMs"
choose_addresses
for index in 0 1 2 3; do
    start_entry_vm "$index"
done
publish_spray_list 0 1 2 3
say "accepting the configuration"
apply_configuration
wait_in_force
say "callers start"
start_callers "$LOAD_SECONDS"

pause_until 4
say "an operator drains $DRAINED"
record_event touched "$DRAINED"
operate backend-server drain "$DRAINED_SERVICE" "$DRAINED"
pause_until 8
say "an operator adds $ADDED"
record_event touched "$ADDED"
add_backend_server
pause_until 11
say "an operator changes the weight of $REWEIGHTED"
record_event touched "$REWEIGHTED"
operate backend-server weight "$DRAINED_SERVICE" "$REWEIGHTED" 50
pause_until 15
say "the failure domain $MOVED_DOMAIN is taken out"
record_event domain_out "$MOVED_DOMAIN"
operate domain out "$MOVED_DOMAIN"
pause_until 22
say "the failure domain $MOVED_DOMAIN comes back"
record_event domain_in "$MOVED_DOMAIN"
operate domain in "$MOVED_DOMAIN"
pause_until 29
say "balancer 4 is killed"
record_event balancer_killed 4
kill_balancer 3
pause_until 34
say "balancer 4 is replaced by an empty one"
record_event balancer_returned 4
replace_balancer 3
pause_until "$LOAD_SECONDS"
say "callers finish"
wait_callers
collect_metrics
show_status
stop_backend_servers

"$BIN/eelgrasshatch-demo-report" --callers "$WORK/callers.json" --backends "$WORK/backends.json" \
    --events "$WORK/events.txt" "${METRICS[@]}" "${JSON[@]}"
