#!/usr/bin/env bash
# Builds the stand-in that the scripts start; needs g++ and the Boost headers of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -o bin/standin standin/standin.cpp -lpthread
