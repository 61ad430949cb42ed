#!/usr/bin/env bash
# Who may read the wall clock: nobody but the readers that are listed here. Usage: wall_clock.sh SOURCES
# Fails where another file reads it, and where a listed one does not any more.
set -euo pipefail
cd "$1"
clocks='system_clock|utc_clock|file_clock|high_resolution_clock|CLOCK_REALTIME|CLOCK_TAI|gettimeofday|\btime\((nullptr|NULL|0|&)'
clocks+='|Poco::(Timestamp|Clock|DateTime|LocalDateTime|Timer|Stopwatch)\b|unixNow\(\)'
readers="fake_engine/engine.cpp platform/process/endpoint_publisher.cpp server/router_server.cpp timing/wall_clock.h"
found=$(grep -rlE "$clocks" --include='*.cpp' --include='*.h' . | sed 's|^\./||' | sort | tr '\n' ' ')
if [ "${found% }" != "$readers" ]; then
  echo "the wall clock is read in: $found"
  echo "allowed: $readers"
  exit 1
fi
