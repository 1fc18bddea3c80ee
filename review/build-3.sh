#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases 11 to 15 into target/review-3, with the compiler
# and the headers that the deploy file's build needs anyway.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
jobs=()
for source in net world cases; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -c "review/rig-3/$source.cc" -o "target/review-3/$source.o" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
g++ -pthread -o target/review-3/rig target/review-3/{net,world,cases}.o
