#!/usr/bin/env bash
# Runs drawn fault rounds with real processes; prints one JSON line per round.
# Usage: scripts/faults.sh --seed N --rounds N [--parallel N] [--faults NAME,NAME] [--entries N]
set -euo pipefail
cd "$(dirname "$0")/.."

bash scripts/build.sh tests/fault_rounds
exec "${ZINNIAMUX_BUILD_DIR:-build}/tests/fault_rounds" "$@"
