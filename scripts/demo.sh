#!/usr/bin/env bash
# Installs what is missing, builds the router, and runs it with stand-in engines. With a text: asks it, prints
# the streamed answer and ends.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake -S . -B build-run -G Ninja -DCMAKE_BUILD_TYPE=Release -DGARNETHOOK_BUILD_PROGRAM=ON >/dev/null
cmake --build build-run
if [ $# -gt 0 ]; then
  exec build-run/bin/garnethook demo --listen 127.0.0.1:0 --once "$*"
fi
exec build-run/bin/garnethook demo
