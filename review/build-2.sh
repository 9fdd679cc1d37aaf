#!/bin/sh
# Builds the programs that the scripts of review/6 to review/10 start, the stand-ins included.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/build-review-2"
for number in 6 7 8 9 10; do
    source="$root/review/$number/case.cpp"
    [ -f "$source" ] || continue
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -I "$root/review/common-2" "$source" \
        -o "$root/build-review-2/case$number"
done
