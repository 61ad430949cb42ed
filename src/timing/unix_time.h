/// Unix time as a type of its own, so that it is never taken for an instant of the monotonic clock.
#pragma once

#include <compare>
#include <cstdint>

namespace garnethook::timing {

/// An instant by somebody's wall clock. Instants of the process's monotonic clock are plain microsecond
/// counts
/// (`Micros`) and do not convert to or from it.
struct UnixTime {
  std::int64_t sinceEpoch = 0;  ///< Microseconds since 1970-01-01T00:00:00Z. 0: not known.

  /// Whether an instant is given at all.
  bool isKnown() const { return sinceEpoch != 0; }
  /// Earlier instants order first.
  friend auto operator<=>(const UnixTime&, const UnixTime&) = default;
};

}  // namespace garnethook::timing
