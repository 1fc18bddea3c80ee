#!/usr/bin/env bash
# Runs drawn fault rounds with real processes; prints one JSON line per round.
# Usage: scripts/faults.sh --seed N --rounds N [--parallel N] [--faults NAME,NAME] [--entries N]
set -euo pipefail
cd "$(dirname "$0")/.."

build=${ZINNIAMUX_BUILD_DIR:-build}
if [ ! -x "$build/tests/fault_rounds" ]; then
  bash scripts/setup.sh
  cmake -S . -B "$build" -G Ninja >/dev/null
  cmake --build "$build" >/dev/null
fi
exec "$build/tests/fault_rounds" "$@"
