#!/usr/bin/env bash
# The primary is replaced; its successor crashes while two replicas receive nothing; the old primary leaves while the next one is chosen; a
# core VM that does not lead loses its disk (final fault).
# Exits with 1 if less than a quarter of the requests is served recoveryS later, 0 if more is, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption; then it must exit with 0.
set -uo pipefail
case ${TROUBLE:-1} in
0) disruption=without-disruption ;;
*) disruption=with-disruption ;;
esac
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
standin=$root/review/bin/standin
source "$root/review/deployment.sh"
trap endProcesses EXIT

if [ ! -x "$standin" ] || [ ! -x "$root/target/tools/sapphirespool/sapphirespool" ] || ! chooseNetwork; then
    exit 2
fi
startDeployment
export WIPE=$work/wipe
timeout 110 "$standin" left-while-choosing "$here" "$disruption" &
standinProcess=$!
processes+=("$standinProcess")
while kill -0 "$standinProcess" 2>/dev/null && [ ! -s "$WIPE" ]; do
    sleep 0.05
done
if [ -s "$WIPE" ]; then
    place=$(cat "$WIPE")
    ip=$network.$place.1
    kill -KILL "${processOf[control-$ip]}" "${processOf[proxy-$ip]}"
    rm -rf "${work:?}/data-$place"
    sleep 0.7
    startVm control "$ip" "${zones[$((place - 1))]}" false "$work/data-$place"
    startVm proxy "$ip" "${zones[$((place - 1))]}" false
fi
wait "$standinProcess"
result=$?
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
