#!/usr/bin/env bash
# Load runs against real processes; prints one JSON line per run.
# Usage: scripts/bench.sh [--deployment arkivhylse|tonewood] [--policy NAME,NAME]
#   [--load 0.5,0.8,0.95,1.3] [--seed N] [--seconds N] [--quick] [--throughput TASKS_PER_S]
#   [--idle-agents N,N]
set -euo pipefail
cd "$(dirname "$0")/.."

bash scripts/build.sh bench/load_tool
exec "${ZINNIAMUX_BUILD_DIR:-build}/bench/load_tool" "$@"
