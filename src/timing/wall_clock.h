/// @file
/// The wall clock, which may be stepped at any time. Only what is told as Unix time is read by it: the starts
/// of engines in lists (membership/start_dates.h), and those that stand-ins tell. Deadlines, windows, waits
/// and graces never are; tests/tree/wall_clock.sh keeps it so.
#pragma once

#include <chrono>
#include <cstdint>

namespace garnethook::timing {

/// Microseconds since 1970, as this machine believes.
inline std::int64_t unixNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace garnethook::timing
