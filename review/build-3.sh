#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. They need the compiler and the C++ library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for number in 11 12 13 14 15; do
    [ -f "review/$number/case.cpp" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "review/$number/case.cpp" -o "target/review-3/$number"
done
