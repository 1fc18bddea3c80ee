#!/usr/bin/env bash
# Installs packages, builds with warnings as errors, checks format and lint, and runs all tests.
# The last line is "N passed, N failed".
set -euo pipefail
cd "$(dirname "$0")/.."

bash scripts/setup.sh

build=${ZINNIAMUX_BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build"

mapfile -t sources < <(git ls-files '*.cc' '*.h' | grep -v '/generated/')
clang-format --dry-run --Werror "${sources[@]}"
bash scripts/lint.sh "$build"

# Criterion prints one summary per program; add them up. Failures that KNOWN-RED.txt lists, one test at
# the start of a line, are printed and not counted.
passed=0
failed=0
known_red=0
known_tests=$(grep -oE '^[a-z_]+::[a-z0-9_]+' KNOWN-RED.txt 2>/dev/null || true)
for program in unit_tests property_tests integration_tests input_limits_tests; do
  executable="$build/tests/$program"
  [ -x "$executable" ] || continue
  log="$build/$program.log"
  jobs=4
  # Its tests measure memory and run one at a time.
  [ "$program" != input_limits_tests ] || jobs=1
  "$executable" --short-filename "-j$jobs" >"$log" 2>&1 || true
  summary=$(grep -o 'Tested: [0-9]* | Passing: [0-9]* | Failing: [0-9]* | Crashing: [0-9]*' "$log" \
    | tail -n 1 || true)
  if [ -z "$summary" ]; then
    echo "$program: no summary"
    tail -n 20 "$log"
    failed=$((failed + 1))
    continue
  fi
  read -r tested ok < <(sed -E 's/Tested: ([0-9]+) \| Passing: ([0-9]+) .*/\1 \2/' <<<"$summary")
  echo "$program: $summary"
  [ "$tested" -eq "$ok" ] || cat "$log"
  passed=$((passed + ok))
  failed=$((failed + tested - ok))
  for test in $known_tests; do
    grep -qE "^\[FAIL\] $test:" "$log" || continue
    echo "known red: $test"
    known_red=$((known_red + 1))
    failed=$((failed - 1))
  done
done
[ "$known_red" -eq 0 ] || echo "known red, not counted: $known_red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
