#!/usr/bin/env bash
# run.sh PROGRAM [TEXTS] [SEED]: fetches published tokenisers and vocabularies from npm and compares.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
program=$(realpath "$1")
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp "$here/package.json" "$work/"
(cd "$work" && npm install --no-audit --no-fund --ignore-scripts --loglevel=error >/dev/null)
node "$here/compare.mjs" "$program" "$work" "${2:-3000}" "${3:-1}"
