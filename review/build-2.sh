#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

output=target/review-2
mkdir -p "$output"
options=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview)
g++ "${options[@]}" -c review/rig-2/rig.cpp -o "$output/rig.o"
for source in review/[4-8]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "${options[@]}" "$source" "$output/rig.o" -o "$output/case$number"
done
