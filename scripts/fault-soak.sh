#!/usr/bin/env bash
# Builds the program as operators do and plays days of faults against it: processes on loopback, failing system
# calls, stepped clocks, signals. Usage: scripts/fault-soak.sh [FIRST_SEED [DAYS [SECONDS_A_DAY]]]
# The verdict is the exit status; folders of days that failed stay in build-soak/days.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-soak -DCMAKE_BUILD_TYPE=RelWithDebInfo -DGARNETHOOK_BUILD_TESTS=ON -DGARNETHOOK_BUILD_PROGRAM=ON
cmake --build build-soak -j4 --target garnethook_program fault_soak fault_shim
build-soak/tests/fault_soak --program "$PWD/build-soak/bin/garnethook" --shim "$PWD/build-soak/tests/libfault_shim.so" \
  --folder "$PWD/build-soak/days" --seed "${1:-1}" --seeds "${2:-8}" --seconds "${3:-12}"
