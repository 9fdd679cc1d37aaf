#!/bin/sh
# Builds the programs that the scripts of review/6 to review/10 start, the stand-ins included.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/build-review-2"
build() {  # source, program
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -I "$root/review/common-2" "$root/review/$1" \
        -o "$root/build-review-2/$2"
}
for number in 6 7 8 9 10; do
    build "$number/case.cpp" "case$number"
done
build common-2/zone_returns.cpp zone_returns
