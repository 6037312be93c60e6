#!/usr/bin/env bash
# Plays the case and writes what was sent, answered and run to record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
export TROUBLE=${TROUBLE:-1}
record=$folder/record.txt
program=target/review-2/case$(basename "$folder")
if [ ! -x "$program" ]; then
    echo "build the program of the deploy file and review/build-2.sh first" | tee "$record" >&2
    exit 2
fi
"$program" "$record"
