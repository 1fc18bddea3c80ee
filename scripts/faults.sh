#!/usr/bin/env bash
# Runs drawn fault rounds with real processes; prints one JSON line per round.
# Usage: scripts/faults.sh --seed N --rounds N [--skip N] [--parallel N] [--faults NAME,NAME] [--entries N]
#        scripts/faults.sh --roles leased --seed N --rounds N [--skip N] [--parallel N] [--daemon FILE]
# The roles are entry and agent, or dispatcher and supervisor with executors that keep leases. Exits
# with 1 if a round broke a rule; logs and records of such a round are kept in its "directory", those
# of the others with ZINNIAMUX_KEEP_LOGS=1. "--skip 5 --rounds 1" plays the sixth round of a seed.
set -euo pipefail
cd "$(dirname "$0")/.."

bash scripts/build.sh tests/fault_rounds
exec "${ZINNIAMUX_BUILD_DIR:-build}/tests/fault_rounds" "$@"
