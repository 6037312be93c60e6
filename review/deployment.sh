# Sourced by the scripts of the cases: starts a small deployment of three zones with the commands and templates of the deploy folder.
# Each zone has a VM with a disk (proxy and control) and one without (proxy and operators).
# The caller sets `root` (the repository) and `standin` (the program that review/build.sh built).

work=$(mktemp -d)
processes=()
declare -A processOf=()
zones=(hobart launceston devonport)

# An address range of this run's own: 127.N.*.
chooseNetwork() {
    local try
    for try in $(seq 1 50); do
        network=127.$((20 + (RANDOM + $$) % 230))
        if ! (exec 3<>"/dev/tcp/$network.1.1/8784") 2>/dev/null; then
            return 0
        fi
    done
    return 1
}

endProcesses() {
    local pid
    for pid in "${processes[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}

# startVm ROLE ADDRESS ZONE FIRST_START [DATA]
startVm() {
    local role=$1 ip=$2 zone=$3 first=$4 data=${5:-}
    local name=$role-$ip
    local values=(ip="$ip" zone="$zone" bootstrap="$first" listen.frontend="$ip:8784" listen.readiness="$ip:8785" listen.control="$ip:8782"
        portRange.0=7440 portRange.1=7455 seeds="$network.1.1:8782,$network.2.1:8782,$network.3.1:8782" bounds.graceS=6 bounds.quotaSlack=
        faultTolerance.machines=1 cloudApi.address="$network.9.1:8783" heartbeatMs=1200)
    [ -n "$data" ] && mkdir -p "$data" && values+=(dataDir="$data")
    "$standin" render "$root/deploy/$role.yaml" "${values[@]}" >"$work/$name.yaml"
    "$root/target/tools/sapphirespool/sapphirespool" serve-platform --settings "$work/$name.yaml" >>"$work/$name.log" 2>&1 &
    processes+=($!)
    processOf[$name]=$!
}

startDeployment() {
    local place zone
    for place in 1 2 3; do
        zone=${zones[$((place - 1))]}
        startVm control "$network.$place.1" "$zone" true "$work/data-$place"
        startVm control "$network.$place.2" "$zone" true
        startVm proxy "$network.$place.1" "$zone" true
        startVm proxy "$network.$place.2" "$zone" true
    done
    export NETWORK=$network PROXIES="" READY="" CONTROLS=""
    for place in 1 2 3; do
        PROXIES+="$network.$place.1:8784,$network.$place.2:8784,"
        READY+="$network.$place.1:8785,$network.$place.2:8785,"
        CONTROLS+="$network.$place.1:8782,$network.$place.2:8782,"
    done
    PROXIES=${PROXIES%,} READY=${READY%,} CONTROLS=${CONTROLS%,}
}
