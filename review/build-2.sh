#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build/review-2/. The gateways come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/support-2/*.cpp; do
    g++ -std=c++20 -O1 -o "build/review-2/$(basename "$source" .cpp)" "$source" -lpthread
done
