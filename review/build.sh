#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into build/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[1-9]/*.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review/case-$(basename "$(dirname "$source")")" "$source"
done
