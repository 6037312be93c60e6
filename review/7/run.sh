#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program=target/review-2/case$(basename "$folder")
if [ ! -x "$program" ]; then
    echo "build the program of the deploy file and review/build-2.sh first" >&2
    exit 2
fi
"$program" "$folder"
