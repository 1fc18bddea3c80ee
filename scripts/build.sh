#!/usr/bin/env bash
# Builds everything, unless the program named has been built already.
# Usage: build.sh [PROGRAM]   (a path below the build folder)
set -euo pipefail
cd "$(dirname "$0")/.."

build=${ZINNIAMUX_BUILD_DIR:-build}
if [ $# -gt 0 ] && [ -x "$build/$1" ]; then exit 0; fi
bash scripts/setup.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" >/dev/null
