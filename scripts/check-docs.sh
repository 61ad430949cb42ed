#!/usr/bin/env bash
# Every public item of the finished packages' headers has a doc comment; doxygen's warnings are errors.
# Usage: check-docs.sh [PATH...]
set -euo pipefail
cd "$(dirname "$0")/.."
paths=("$@")
((${#paths[@]})) || paths=(src/config src/log src/policy src/routing src/membership src/deployment_config src/simulator_adapter src/platform src/engine src/net src/timing src/common src/http1)
output=$(mktemp -d)
trap 'rm -rf "$output"' EXIT
warnings=$({
  cat scripts/doxygen-check.conf
  echo "OUTPUT_DIRECTORY = $output"
  echo "INPUT = ${paths[*]}"
} | doxygen - 2>&1 >/dev/null)
if [ -n "$warnings" ]; then
  printf '%s\n' "$warnings" | sed "s|$PWD/||"
  exit 1
fi
echo "doc comments: complete in ${paths[*]}"
