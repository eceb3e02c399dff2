# The second deployment: a shim-desk service with 14 backend servers and a guide-vault service with 4, over three domains.

REGION=nyeri
DOMAINS=(nyeri-a nyeri-b nyeri-c)
VM_DOMAIN=(nyeri-a nyeri-a nyeri-b nyeri-c)
LOAD_SECONDS=40
DRAINED_SERVICE=shim-desk
DRAINED=shim-desk-3
ADDED=shim-desk-14
REWEIGHTED=shim-desk-6
MOVED_DOMAIN=nyeri-c
SERVICES=(shim-desk:14 guide-vault:4)

port_classes() {
    case "$1" in
        shim-desk) cat <<'JSON'
[{ "name": "wobble-logs", "port": 7201, "weight": 3, "priority": 0, "idempotent": false, "slot_use": "per-request", "deadline_ms": 2000 },
 { "name": "shim-charts", "port": 7202, "protocol": "udp", "weight": 2, "priority": 1, "idempotent": true, "slot_use": "per-request", "deadline_ms": 2000 }]
JSON
            ;;
        guide-vault) cat <<'JSON'
[{ "name": "guides", "port": 7301, "weight": 1, "priority": 2, "idempotent": true, "slot_use": "per-request", "deadline_ms": 5000 }]
JSON
            ;;
    esac
}

service_address() {
    case "$1" in
        shim-desk) echo 10.201.0.1 ;;
        guide-vault) echo 10.201.0.2 ;;
    esac
}

callers_plan() {
    cat <<'JSON'
[{ "service": "shim-desk", "class": "wobble-logs", "endpoint": "10.201.0.1:7201", "flows_per_second": 60, "long_lived_share": 0.4, "long_lived_requests": 25, "pause_ms": 400, "deadline_ms": 2000 },
 { "service": "shim-desk", "class": "shim-charts", "endpoint": "10.201.0.1:7202", "transport": "udp", "flows_per_second": 150, "long_lived_share": 0.1, "long_lived_requests": 10, "pause_ms": 500, "idempotent": true, "deadline_ms": 2000 },
 { "service": "guide-vault", "class": "guides", "endpoint": "10.201.0.2:7301", "flows_per_second": 20, "long_lived_share": 0.2, "long_lived_requests": 10, "pause_ms": 500, "idempotent": true, "deadline_ms": 5000 }]
JSON
}
