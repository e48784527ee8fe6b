#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 in target/review-2. Needs only the C++ compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    [ -f "review/$number/case.cc" ] || continue
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o "target/review-2/case$number" \
        "review/$number/case.cc" -pthread
done
