/// Unix time as a distinct type, so that it cannot be confused with an instant of the monotonic clock.
#pragma once

#include <compare>
#include <cstdint>

namespace garnethook::timing {

/// An instant of a wall clock, local or remote. Instants of the process's monotonic clock are plain
/// microsecond counts (`Micros`) and do not convert to or from this type.
struct UnixTime {
  std::int64_t sinceEpoch = 0;  ///< Microseconds since 1970-01-01T00:00:00Z. 0: unknown.

  /// Whether the instant is known.
  bool isKnown() const { return sinceEpoch != 0; }
  /// Orders by time.
  friend auto operator<=>(const UnixTime&, const UnixTime&) = default;
};

}  // namespace garnethook::timing
