#!/usr/bin/env bash
# Runs clang-tidy over every source file. A file is checked again only when its preprocessed content
# or the configuration changed since it last passed.
# Usage: lint.sh BUILD_DIR [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."

build=$1
shift

# Names of the users' platform stand in platform/ only.
platform_names='"[^"]*(/zinniamux/|X-Deadline-Ms|X-Expect-Instance|X-Lease-Holder|X-Fence-Token|rows-tx|rows-get|rows-feed|blob-put|blob-get|run-start|run-stop)|"(until_ms|last_seen|clock_ms|mem_mb|data_rack|same_rack|required_label|max_per_server|best_effort|slo_ms|heartbeat_addr|upserts|has_more)"'
if grep -rnE "$platform_names" src --include='*.cc' --include='*.h' --exclude-dir=generated; then
  echo "lint: names of the platform outside of platform/"
  exit 1
fi
cache=${XDG_CACHE_HOME:-$HOME/.cache}/zinniamux-lint
mkdir -p "$cache"
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files '*.cc' | grep -v '/generated/')
fi

export build cache
config_hash=$(sha256sum .clang-tidy | cut -c1-16)
export config_hash

check_file() {
  local file=$1 key
  # The key covers the file and every header of this repository that it includes.
  key=$({ echo "$config_hash"; cat "$file"; git ls-files 'src/*.h' 'platform/*.h' 'tests/*.h' 'bench/*.h' 'model/*.h' \
    | grep -v '/generated/' | xargs cat; } | sha256sum | cut -c1-32)
  [ -e "$cache/$key" ] && return 0
  if ! clang-tidy --quiet -p "$build" "$file" 2>/dev/null; then
    echo "lint: $file failed"
    return 1
  fi
  touch "$cache/$key"
}
export -f check_file
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'check_file {}'
