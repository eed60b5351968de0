#!/usr/bin/env bash
# Builds the cases of this review with their stand-ins, in build-review-2/. The build of the deploy file comes first:
# the cases start its gateway.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
compiler=${CXX:-g++}
flags=(-std=c++20 -O2 -Wall -Wextra)
"$compiler" "${flags[@]}" -c review/stand-in-2/world.cpp -o "$out/world.o"
for number in 6 7 8 9 10; do
    source=review/$number/scenario.cpp
    if [ -f "$source" ]; then "$compiler" "${flags[@]}" "$source" "$out/world.o" -o "$out/case-$number"; fi
done
