#!/usr/bin/env bash
# Builds the programs of the review cases, with the compiler and the C++ library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cc; do
    name="$(dirname "$source")"
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I support "$source" -o "bin/case-$name"
done
