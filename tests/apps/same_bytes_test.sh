#!/bin/sh
# Two processes, whose hash tables and addresses are in another order each time, play one seed to the same bytes.
#   same_bytes_test.sh LAB FOLDER SCENARIO...
set -eu
lab=$1
folder=$2
shift 2
mkdir -p "$folder"
for scenario in "$@"; do
    sed 's/^length .*/length "6s"/' "$scenario" > "$folder/scenario.kdl"
    for n in 1 2; do
        "$lab" run --virtual "$folder/scenario.kdl" --wire "$folder/$n.jsonl" > "$folder/$n.out" 2> /dev/null
    done
    cmp "$folder/1.jsonl" "$folder/2.jsonl"
    cmp "$folder/1.out" "$folder/2.out"
    test "$(wc -l < "$folder/1.jsonl")" -gt 1000
    "$lab" run --virtual "$folder/scenario.kdl" --seed 99 --wire "$folder/2.jsonl" > /dev/null 2>&1
    if cmp -s "$folder/1.jsonl" "$folder/2.jsonl"; then
        echo "another seed gave the same bytes" >&2
        exit 1
    fi
done
