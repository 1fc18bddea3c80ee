#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
rm -f target/review/*
objects=()
for source in review/rig/*.cc; do
  object=target/review/$(basename "$source" .cc).o
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for object in "${objects[@]}"; do [ -s "$object" ]; done
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers "$source" \
    "${objects[@]}" -pthread -o "target/review/case$number"
done
