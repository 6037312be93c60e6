#!/usr/bin/env bash
# A VM is stopped (SIGTERM) while clients rest inside transactions; they commit in the second half of the grace.
# Exits with 1 if a commit that was passed on to a database ends without an answer, 0 if none does, 2 if the case could not run.
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
STOPPED="${processOf[proxy-$network.1.2]},${processOf[control-$network.1.2]}" timeout 100 "$standin" commit-at-stop "$here"
result=$?
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
