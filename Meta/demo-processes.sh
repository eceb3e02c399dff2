# Functions of demo.sh: starting, stopping and driving the processes. Needs BIN, WORK and the deployment's variables.

PIDS=()
PEER_KEY="demo-key-shared-by-all-entry-vms"
SPRAY_LIST="$WORK/balancers.txt"

say() {
    printf '%6.1f s  %s\n' "$(seconds_since_start)" "$*" >&2
}

seconds_since_start() {
    awk -v now="$(date +%s%3N)" -v start="${START_MS:-$(date +%s%3N)}" 'BEGIN { printf "%.1f", (now - start) / 1000 }'
}

# wait_for FILE PATTERN: waits until a line of the file matches; fails after ten seconds.
wait_for() {
    for _ in $(seq 200); do
        grep -qE "$2" "$1" 2>/dev/null && return 0
        sleep 0.05
    done
    echo "demo: $1 never showed '$2'" >&2
    tail -5 "${1%.out}.log" >&2 || true
    return 1
}

# start NAME PROGRAM ARGUMENTS...: starts a program in the background; output in NAME.out, log in NAME.log, process id in PID_NAME.
start() {
    local name="$1"
    shift
    "$@" >"$WORK/$name.out" 2>>"$WORK/$name.log" &
    PIDS+=($!)
    printf -v "PID_${name//-/_}" '%s' $!
}

listening() {
    awk -v name="$2" '$1 == "LISTENING" && $2 == name { print $3; exit }' "$WORK/$1.out"
}

start_platform() {
    START_MS="$(date +%s%3N)"
    start store "$BIN/standin-store"
    wait_for "$WORK/store.out" 'LISTENING store'
    STORE="$(listening store store)"
}

start_fabric() {
    : >"$SPRAY_LIST"
    : >"$WORK/events.txt"
    start fabric "$BIN/standin-fabric" --balancers "$SPRAY_LIST"
    wait_for "$WORK/fabric.out" 'LISTENING balancers'
    FABRIC_CALLERS="$(listening fabric callers)"
    FABRIC_BALANCERS="$(listening fabric balancers)"
}

start_backend_servers() {
    backend_plan >"$WORK/backend-plan.json"
    start backends "$BIN/standin-backends" --plan "$WORK/backend-plan.json" --balancers "$SPRAY_LIST" \
        --endpoints "$WORK/endpoints.json" --report "$WORK/backends.json"
    wait_for "$WORK/endpoints.json" 'management'
}

# endpoint_of NAME KIND: prints the tunnel or management endpoint assigned to a backend server.
endpoint_of() {
    awk -F'"' -v name="$1" -v kind="$2" '
        $2 == "management" { management = $4 }
        $2 == "name" { found = $4 }
        $2 == "tunnel" && found == name { print kind == "tunnel" ? $4 : management; exit }' "$WORK/endpoints.json"
}

choose_addresses() {
    mapfile -t PORTS < <("$BIN/standin-free-ports" --count 20)
    CONTROL=() DATA=() METRICS_ENDPOINT=() OPERATOR=()
    for index in 0 1 2 3; do
        CONTROL+=("127.0.0.1:${PORTS[index * 5]}")
        DATA+=("127.0.0.1:${PORTS[index * 5 + 1]}")
        METRICS_ENDPOINT+=("127.0.0.1:${PORTS[index * 5 + 2]}")
        OPERATOR+=("127.0.0.1:${PORTS[index * 5 + 3]}")
    done
}

balancer_settings() {
    local index="$1" seeds=""
    for other in 0 1 2 3; do
        [ "$other" = "$index" ] || seeds+="${seeds:+, }\"${CONTROL[other]}\""
    done
    cat <<SETTINGS
{
    "failure_domain": "${VM_DOMAIN[index]}",
    "region": "$REGION",
    "control": { "endpoint": "${CONTROL[index]}", "seeds": [$seeds], "keys": ["$PEER_KEY"] },
    "data": { "endpoint": "${DATA[index]}", "fabric": "$FABRIC_BALANCERS", "threads": 1 },
    "store": { "endpoint": "$STORE" },
    "metrics": { "endpoint": "${METRICS_ENDPOINT[index]}" }
}
SETTINGS
}

prober_settings() {
    cat <<SETTINGS
{
    "balancer": { "endpoint": "${CONTROL[$1]}", "keys": ["$PEER_KEY"] },
    "probe": { "interval_ms": 250 },
    "metrics": { "endpoint": "127.0.0.1:0" }
}
SETTINGS
}

operator_settings() {
    cat <<SETTINGS
{
    "listen": "${OPERATOR[$1]}",
    "store": { "endpoint": "$STORE" },
    "balancer": { "endpoint": "${CONTROL[$1]}", "keys": ["$PEER_KEY"] }
}
SETTINGS
}

start_balancer() {
    balancer_settings "$1" >"$WORK/balancer-$1.json"
    "$BIN/standin-storectl" --endpoint "$STORE" vm put "${CONTROL[$1]}" "${VM_DOMAIN[$1]}" "$REGION"
    start "balancer-$1" "$BIN/balancerd" --settings "$WORK/balancer-$1.json"
}

start_entry_vm() {
    start_balancer "$1"
    prober_settings "$1" >"$WORK/prober-$1.json"
    operator_settings "$1" >"$WORK/operator-$1.json"
    start "prober-$1" "$BIN/proberd" --settings "$WORK/prober-$1.json"
    start "operator-$1" "$BIN/operatord" --settings "$WORK/operator-$1.json"
}

# publish_spray_list INDEX...: publishes the balancers to which the fabric sends packets.
publish_spray_list() {
    for index in "$@"; do
        echo "${DATA[index]}"
    done >"$SPRAY_LIST.new"
    mv "$SPRAY_LIST.new" "$SPRAY_LIST"
}

operate() {
    "$BIN/eelctl" --endpoint "${OPERATOR[0]}" --endpoint "${OPERATOR[1]}" --author demo --reason "demo" "$@" \
        >>"$WORK/eelctl.out" 2>&1 || {
        echo "demo: eelctl $* failed:" >&2
        tail -3 "$WORK/eelctl.out" >&2
        return 1
    }
}

apply_configuration() {
    desired_configuration >"$WORK/configuration.json"
    for _ in $(seq 20); do
        operate apply "$WORK/configuration.json" 2>/dev/null && return 0
        sleep 0.25
    done
    operate apply "$WORK/configuration.json"
}

wait_in_force() {
    operate wait --timeout-s 15
}

start_callers() {
    callers_plan >"$WORK/callers-plan.json"
    LOAD_START_MS="$(date +%s%3N)"
    start callers "$BIN/standin-callers" --plan "$WORK/callers-plan.json" --fabric "$FABRIC_CALLERS" \
        --report "$WORK/callers.json" --seconds "$1" --drain-seconds 8
}

# pause_until SECONDS: sleeps until the given number of seconds after the callers started.
pause_until() {
    local wait_ms=$((LOAD_START_MS + $1 * 1000 - $(date +%s%3N)))
    [ "$wait_ms" -le 0 ] || sleep "$(awk -v ms="$wait_ms" 'BEGIN { print ms / 1000 }')"
}

record_event() {
    echo "$(date +%s%3N) $*" >>"$WORK/events.txt"
}

# Simulates a fabric that detects a dead balancer after one second.
kill_balancer() {
    local pid="PID_balancer_$1"
    kill -KILL "${!pid}"
    wait "${!pid}" 2>/dev/null || true
    sleep 1
    publish_spray_list 0 1 2
}

replace_balancer() {
    start_balancer "$1"
    wait_for "$WORK/balancer-$1.out" 'LISTENING'
    sleep 1
    publish_spray_list 0 1 2 3
}

wait_callers() {
    wait "$PID_callers"
}

collect_metrics() {
    METRICS=()
    for index in 0 1 2 3; do
        if curl -sf "http://${METRICS_ENDPOINT[index]}/metrics" >"$WORK/metrics-$index.txt"; then
            METRICS+=(--metrics "$WORK/metrics-$index.txt")
        fi
    done
}

show_status() {
    "$BIN/eelctl" --endpoint "${OPERATOR[0]}" status >&2 || true
}

stop_backend_servers() {
    kill -TERM "$PID_backends"
    wait "$PID_backends" 2>/dev/null || true
}

stop_everything() {
    local code=$?
    for pid in "${PIDS[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    sleep 0.3
    for pid in "${PIDS[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [ -n "${EELGRASSHATCH_KEEP:-}" ]; then
        echo "demo: files kept in $WORK" >&2
    else
        rm -rf "$WORK"
    fi
    exit "$code"
}
