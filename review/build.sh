#!/bin/sh
# Builds the stand-ins of all cases into review/bin. Needs the compiler of the deploy file's build and nothing else.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for n in 1 2 3; do
    [ -f "$n/case.cpp" ] || continue
    ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread -o "bin/case$n" "$n/case.cpp"
done
