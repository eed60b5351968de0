#!/usr/bin/env bash
# Builds the stand-ins of the review's cases, with the compiler alone. The gateway comes from the deploy
# file's `build`.
set -euo pipefail
cd "$(dirname "$0")"
for source in [0-9]/case.cpp; do
    folder=$(dirname "$source")
    mkdir -p "../build-review/$folder"
    ${CXX:-c++} -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "../build-review/$folder/case"
done
