#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program="target/review-2/case-$(basename "$folder")"
[ -x "$program" ] || { echo "run review/build-2.sh first"; exit 2; }
# The program reads it, too.
export TROUBLE="${TROUBLE:-1}"
if [ "$TROUBLE" = 0 ]; then
  echo "without the disruption"
else
  echo "with the disruption"
fi
timeout 118 "$program" "$folder"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
