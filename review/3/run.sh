#!/usr/bin/env bash
# A key is taken away (an acknowledged configuration) from a client that has begun a transaction; 6 s later the client goes on.
# Exits with 1 if a request of that client runs then, 0 if none does, 2 if the case could not run.
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
timeout 100 "$standin" revoked-key "$here" "$disruption"
result=$?
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
