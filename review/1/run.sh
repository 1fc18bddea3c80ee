#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case1 ] && [ -x target/src/zinniamuxd ] || exit 2
target/review/case1 review/1/record.txt
