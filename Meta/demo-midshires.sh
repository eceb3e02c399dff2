# The first deployment: a rota service with 14 backend servers and a floor-sheet service with 4, over three domains.

REGION=midlands
DOMAINS=(brum notts leic)
VM_DOMAIN=(brum brum notts leic)
LOAD_SECONDS=40
DRAINED_SERVICE=rota
DRAINED=rota-3
ADDED=rota-14
REWEIGHTED=rota-6
MOVED_DOMAIN=leic
SERVICES=(rota:14 sheets:4)

port_classes() {
    case "$1" in
        rota) cat <<'JSON'
[{ "name": "claims", "port": 7001, "weight": 2, "priority": 0, "idempotent": false, "slot_use": "per-request", "deadline_ms": 2000 },
 { "name": "views", "port": 7002, "weight": 1, "priority": 1, "idempotent": true, "slot_use": "per-request", "deadline_ms": 2000 }]
JSON
            ;;
        sheets) cat <<'JSON'
[{ "name": "floor-sheets", "port": 7101, "weight": 1, "priority": 2, "idempotent": true, "slot_use": "per-request", "deadline_ms": 5000 }]
JSON
            ;;
    esac
}

service_address() {
    case "$1" in
        rota) echo 10.200.0.1 ;;
        sheets) echo 10.200.0.2 ;;
    esac
}

callers_plan() {
    cat <<'JSON'
[{ "service": "rota", "class": "claims", "endpoint": "10.200.0.1:7001", "flows_per_second": 60, "long_lived_share": 0.4, "long_lived_requests": 25, "pause_ms": 400, "deadline_ms": 2000 },
 { "service": "rota", "class": "views", "endpoint": "10.200.0.1:7002", "flows_per_second": 120, "long_lived_share": 0.2, "long_lived_requests": 15, "pause_ms": 500, "idempotent": true, "deadline_ms": 2000 },
 { "service": "sheets", "class": "floor-sheets", "endpoint": "10.200.0.2:7101", "flows_per_second": 20, "long_lived_share": 0.2, "long_lived_requests": 10, "pause_ms": 500, "idempotent": true, "deadline_ms": 5000 }]
JSON
}
