# Sourced by the scripts that run a whole deployment of etc/ as processes of its own on 127.x addresses.
# In the environment: BINARY.

# openDeployment NAME: reads etc/NAME, and enters a folder of its own that ends with the script, and with it all that was started.
openDeployment() {
    deployment=$1
    binary=${BINARY:-$PWD/build/tools/sapphirespool/sapphirespool}
    settings=$PWD/etc/$deployment
    mapfile -t services < <(sed -n 's/^  \([a-z]*\):$/\1/p' "$settings/services.yaml")
    mapfile -t proxies < <(sed -n 's/^callers: //p' "$settings"/*-[0-9].yaml)
    mapfile -t zones < <(sed -n 's/^zone: //p' "$settings"/*-[0-9].yaml | sort -u)
    slots=5 connections=35
    [ "$deployment" = ash-wednesday ] && slots=2 connections=40
    work=$(mktemp -d)
    declare -gA processes
    trap closeDeployment EXIT
    cd "$work"
    # Each member announces itself to one proxy of each zone.
    announceTo=()
    local zone
    for zone in "${zones[@]}"; do
        announceTo+=(--proxy "$(sed -n 's/^callers: //p' "$settings/$zone-1.yaml")")
    done
}

closeDeployment() {
    kill -CONT "${processes[@]}" 2>/dev/null || true
    kill "${processes[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    [ -n "${KEEP_LOGS:-}" ] || rm -rf "$work"
}

startVm() {
    # The whole system starts for the first time, so that no proxy can have forgotten a key.
    (cat "$settings/$1.yaml"; echo "key_warmup: 0s") >"$1.yaml"
    "$binary" serve --settings "$1.yaml" 2>>"$1.log" &
    processes[$1]=$!
}

addressOf() { # SERVICE PLACE
    local index
    for index in "${!services[@]}"; do
        [ "${services[$index]}" = "$1" ] && echo "127.20.$(($2 + 1)).$((index + 1)):5000"
    done
}

startMember() { # SERVICE PLACE
    "$binary" standin --group "$1" --id "$1-$2" --zone "${zones[$2]}" --slots $slots --connections $connections --lag 100 \
        --listen "$(addressOf "$1" "$2")" --data "$1-$2" "${announceTo[@]}" >>"$1-$2.log" 2>&1 &
    processes[$1-$2]=$!
}

disturb() { # PLACE FAULT MILLISECONDS: at the member of $service
    curl -s -m 1 "http://$(addressOf "$service" "$1")/standin/faults" -d "{\"member\":\"$2\",\"forMs\":$3}" >/dev/null || true
}

primaryPlace() {
    grep -h "SP2402.*group=$service " ./*.log | sort | tail -1 | sed 's/.*upstream=[a-z]*-\([0-9]\).*/\1/'
}

# Starts all VMs and members, applies the first text, and waits for a primary of $service.
startDeployment() {
    local file each place
    for file in "$settings"/*-[0-9].yaml; do
        startVm "$(basename "$file" .yaml)"
    done
    for each in "${services[@]}"; do
        for place in 0 1 2; do
            startMember "$each" "$place"
        done
    done
    for _ in $(seq 100); do
        "$binary" apply "$settings/services.yaml" --base 0 --change first --wait --server "${proxies[0]}" >apply.out 2>&1 && break
        sleep 0.1
    done
    cat apply.out
    for _ in $(seq 100); do
        [ -n "$(primaryPlace)" ] && break
        sleep 0.1
    done
}
