#!/usr/bin/env bash
# Runs the whole system on loopback: a stand-in for the platform, two entries, three agents with
# executor stand-ins. Publishes the sample configuration, submits jobs of both deployments through
# both entries, and stops everything gracefully. The last line counts jobs as their callers saw them
# and task starts as the executors recorded them; the exit code is not 0 if a count is wrong.
# Usage: demo.sh [--hold]
# ZINNIAMUX_DEMO_PORTS, 271 by default, holds the first three of the five digits of all ports.
#   --hold  after the start, print the addresses and wait for Enter or a signal instead of submitting
set -euo pipefail
cd "$(dirname "$0")/.."

hold=no
if [ "${1:-}" = --hold ]; then hold=yes; fi

bash scripts/setup.sh
build=${ZINNIAMUX_BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target zinniamuxd zinniamuxctl platform_standin executor_standin

run=$(mktemp -d)
ctl=$build/src/zinniamuxctl
# Below the range that Linux gives to outgoing connections, so that none of them takes a port first.
ports=${ZINNIAMUX_DEMO_PORTS:-271}
caller_1=127.0.0.1:${ports}01
caller_2=127.0.0.1:${ports}11
admin_1=127.0.0.1:${ports}02
admin_2=127.0.0.1:${ports}12
export ZINNIAMUX_ADMIN=$admin_1
for file in samples/demo/{entry,agent}-*.yaml; do
  sed "s/127\.0\.0\.1:271/127.0.0.1:$ports/g" "$file" >"$run/${file##*/}"
done
config=(samples/demo/teams.zinniamux.yaml samples/arkivhylse/services samples/sundarban/services)

# Processes by name, started in this order.
declare -A pid_of=()

start() {
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>&1 &
  pid_of[$name]=$!
}

# Ends one process with SIGTERM and checks that it exits with 0 within 15 s.
stop() {
  local name=$1 pid=${pid_of[$1]} status=0
  unset "pid_of[$name]"
  kill -TERM "$pid" 2>/dev/null || true
  for _ in $(seq 150); do
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
  done
  if kill -0 "$pid" 2>/dev/null; then
    echo "demo: $name did not stop within 15 s"
    kill -KILL "$pid"
  fi
  wait "$pid" || status=$?
  if [ "$status" -ne 0 ]; then
    echo "demo: $name ended with status $status"
    tail -n 5 "$run/$name.out"
    return 1
  fi
}

clean_up() {
  local name
  for name in "${!pid_of[@]}"; do kill -KILL "${pid_of[$name]}" 2>/dev/null || true; done
  rm -rf "$run"
}
trap clean_up EXIT

# Waits up to 20 s until a command succeeds.
wait_for() {
  local what=$1
  shift
  for _ in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "demo: gave up waiting for $what"
  tail -n 3 "$run"/*.out
  exit 1
}

has_executors() {
  [ "$("$ctl" executors --json --server "$1" | jq '[.executors[] | select(.state == "available")] | length')" -eq 3 ]
}

echo "demo: starting processes"
start platform "$build/tests/platform_standin" --port "${ports}00"
for n in 1 2; do start "entry-$n" "$build/src/zinniamuxd" --settings "$run/entry-$n.yaml"; done
for n in 1 2 3; do
  start "agent-$n" "$build/src/zinniamuxd" --settings "$run/agent-$n.yaml"
  start "executor-$n" "$build/tests/executor_standin" --id "executor-$n" --port "${ports}3$n" \
    --agent "127.0.0.1:${ports}2$n" --record "$run/executor-$n.record"
done
wait_for "entry 1" curl -fsS "http://$admin_1/healthz"
wait_for "entry 2" curl -fsS "http://$admin_2/healthz"

echo "demo: publishing the configuration"
"$ctl" publish --author demo "${config[@]}"
wait_for "readiness of entry 1" curl -fsS "http://$admin_1/readyz"
wait_for "readiness of entry 2" curl -fsS "http://$admin_2/readyz"
wait_for "three executors at entry 1" has_executors "$admin_1"
wait_for "three executors at entry 2" has_executors "$admin_2"
"$ctl" executors

if [ "$hold" = yes ]; then
  echo "demo: callers at $caller_1 and $caller_2, operators at $admin_1 and $admin_2"
  echo "demo: press Enter to stop"
  read -r _ || true
else
  echo "demo: submitting jobs through both entries"
  # submit ENTRY ID FILE: sends a job in the background; its answer goes to a file named after it.
  declare -a callers=()
  submit() {
    "$ctl" submit --json --caller "$1" --id "$2" "$3" >"$run/$2.answer" 2>"$run/$2.error" &
    callers+=($!)
  }
  for n in 1 2 3 4 5; do
    submit $caller_1 "stock-$n" samples/arkivhylse/services/stock/lookup.json
    submit $caller_2 "price-$n" samples/arkivhylse/services/pricing/confirm.json
    submit $caller_2 "certificate-$n" samples/sundarban/services/certificates/certificate.json
    jq ".request_key = \"hold-$n\"" samples/sundarban/services/reservations/hold.json \
      >"$run/hold-$n.json"
    submit $caller_1 "hold-$n" "$run/hold-$n.json"
  done
  jq '.tasks[0].memory_mb = 10000000' samples/arkivhylse/services/stock/lookup.json \
    >"$run/too-large.json"
  submit $caller_2 too-large "$run/too-large.json"
  for caller in "${callers[@]}"; do wait "$caller" || true; done

  echo "demo: sending hold-1 again, through the other entry"
  "$ctl" submit --json --caller $caller_2 --id hold-1 "$run/hold-1.json" >"$run/hold-1.again"
  if ! diff "$run/hold-1.answer" "$run/hold-1.again"; then
    echo "demo: the repeated submission got another answer"
    touch "$run/wrong"
  fi
  "$ctl" explain --caller $caller_1 certificate-1 || "$ctl" explain --caller $caller_2 certificate-1
fi

echo "demo: stopping"
for n in 1 2 3; do stop "executor-$n" || touch "$run/wrong"; done
for n in 1 2 3; do stop "agent-$n" || touch "$run/wrong"; done
for n in 1 2; do stop "entry-$n" || touch "$run/wrong"; done
stop platform || touch "$run/wrong"
[ "$hold" = no ] || exit 0

count() { jq -s "[.[] | select($1)] | length" "$run"/*.answer; }
submitted=${#callers[@]}
complete=$(count '.state == "complete"')
refused=$(count '.error.not_run == true')
failed=$(count '.error != null and .error.not_run != true')
lost=$((submitted - complete - refused - failed))
duplicate_starts=$(cat "$run"/*.record | awk '$1 == "start" {print $2, $3}' | sort | uniq -d | wc -l)
cat "$run"/*.error | sed 's/^/demo: caller: /'
echo "demo: submitted=$submitted complete=$complete refused=$refused failed=$failed lost=$lost" \
  "duplicate_starts=$duplicate_starts"
[ "$submitted" -eq 21 ] && [ "$complete" -eq 20 ] && [ "$refused" -eq 1 ] && [ "$failed" -eq 0 ] \
  && [ "$lost" -eq 0 ] && [ "$duplicate_starts" -eq 0 ] && [ ! -e "$run/wrong" ]
