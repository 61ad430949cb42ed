/// @file
/// The wall clock, which may be stepped at any time. It is read only for values that are reported as Unix
/// time: the start times of engines in lists (membership/start_times.h) and those that fake engines report.
/// Deadlines, timeouts and intervals never use it; tests/tree/wall_clock.sh checks which files read it.
#pragma once

#include <chrono>

#include "timing/unix_time.h"

namespace garnethook::timing {

/// Current time of this machine's wall clock.
inline UnixTime unixNow() {
  return {std::chrono::duration_cast<std::chrono::microseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count()};
}

}  // namespace garnethook::timing
