#!/usr/bin/env bash
# Builds the cases of REPORT-2.md and the stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -pthread)
for part in http proxy store executor deployment; do
  g++ "${flags[@]}" -c "review/rig-2/$part.cc" -o "$out/$part.o" &
done
wait
for folder in review/{6,7,8,9,10}; do
  [ -f "$folder/case.cc" ] || continue
  g++ "${flags[@]}" "$folder/case.cc" "$out"/{http,proxy,store,executor,deployment}.o \
    -o "$out/case-$(basename "$folder")" &
done
wait
