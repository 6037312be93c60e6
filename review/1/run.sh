#!/usr/bin/env bash
# A replica is replaced, two other replicas receive nothing for a while, and the primary crashes meanwhile (syncReplicas 1).
# Exits with 1 if an acknowledged write is missing at the database that is promoted, 0 if none is, 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
standin=$root/review/bin/standin
source "$root/review/deployment.sh"
trap endProcesses EXIT

if [ ! -x "$standin" ] || [ ! -x "$root/target/tools/sapphirespool/sapphirespool" ] || ! chooseNetwork; then
    exit 2
fi
startDeployment
timeout 100 "$standin" drain-behind-deaf "$here"
result=$?
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
