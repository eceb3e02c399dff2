# Functions of demo.sh: the plan of the backend servers and the configuration that the operator applies. Backend servers are
# assigned to the domains in turn; the last one of the first service is added during the run.

# each_backend_server: prints "name service domain" for every backend server, including the one added during the run.
each_backend_server() {
    local entry service count index
    for entry in "${SERVICES[@]}"; do
        service="${entry%%:*}"
        count="${entry##*:}"
        for ((index = 1; index <= count; index++)); do
            echo "$service-$index $service ${DOMAINS[index % ${#DOMAINS[@]}]}"
        done
    done
}

backend_plan() {
    local separator="[" name service domain
    while read -r name service domain; do
        printf '%s{ "name": "%s", "service": "%s", "failure_domain": "%s" }\n' "$separator" "$name" "$service" "$domain"
        separator=","
    done < <(each_backend_server)
    echo "]"
}

backend_server_json() {
    printf '{ "name": "%s", "failure_domain": "%s", "tunnel": "%s", "management": "%s", "weight": 100, "slots": 2, "connections": 2000, "warm_up_ms": 3000 }' \
        "$1" "$2" "$(endpoint_of "$1" tunnel)" "$(endpoint_of "$1" management)"
}

service_json() {
    local wanted="$1" separator="" name service domain
    printf '{ "name": "%s", "addresses": ["%s"], "port_classes": %s, "backend_servers": [' "$wanted" "$(service_address "$wanted")" "$(port_classes "$wanted")"
    while read -r name service domain; do
        [ "$service" = "$wanted" ] && [ "$name" != "$ADDED" ] || continue
        printf '%s\n%s' "$separator" "$(backend_server_json "$name" "$domain")"
        separator=","
    done < <(each_backend_server)
    echo "] }"
}

desired_configuration() {
    local separator="" entry domain
    echo '{ "failure_domains": ['
    for domain in "${DOMAINS[@]}"; do
        printf '%s{ "name": "%s", "region": "%s" }' "$separator" "$domain" "$REGION"
        separator=","
    done
    echo '], "services": ['
    separator=""
    for entry in "${SERVICES[@]}"; do
        echo "$separator"
        service_json "${entry%%:*}"
        separator=","
    done
    echo '] }'
}

add_backend_server() {
    local domain
    domain="$(each_backend_server | awk -v name="$ADDED" '$1 == name { print $3 }')"
    operate backend-server add "$DRAINED_SERVICE" "$ADDED" --failure-domain "$domain" --warm-up-ms 3000 \
        --tunnel "$(endpoint_of "$ADDED" tunnel)" --management "$(endpoint_of "$ADDED" management)"
}
