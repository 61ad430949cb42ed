/// Timeouts of a router process that no setting gives. All in microseconds.
#pragma once

#include <algorithm>

#include "policy/routing_policy.h"

namespace garnethook::platform {

/// A router that begins with a stored list is ready without any word of discovery after this.
inline constexpr Micros kInitialListTimeout = 500'000;

/// New connections are accepted for so long after the signal to stop, as the load balancer in front may not
/// know of it yet.
inline constexpr Micros kAcceptAfterStop = 600'000;

/// For how long a shutdown waits for repeats of confirmed KV releases. The platform kills a process that was
/// told to stop after the longest deadline, or 3 s where that is longer, and 0.7 s.
inline Micros shutdownRepeatLimit(Micros longestDeadline) {
  constexpr Micros kMaxDeadline = 3'000'000;
  constexpr Micros kBeforeKill = 500'000;
  return std::min(longestDeadline, kMaxDeadline) + kBeforeKill;
}

/// Longest time between two events of a response. Clients are known to wait up to five seconds.
inline constexpr Micros kStreamSilenceTimeout = 4'500'000;

/// Connect timeout to engines where the settings give none.
inline constexpr Micros kDefaultConnectTimeout = 250'000;

/// KV release timeout where the settings give none.
inline constexpr Micros kDefaultKvReleaseTimeout = 500'000;

/// When this side closes an idle connection to an engine. `advertised`: when the engine does, 0 where that is
/// not known. This side is well ahead, since a request that crosses the engine's close may have been
/// executed.
inline Micros engineIdleTimeout(Micros advertised) {
  constexpr Micros kMaxIdleTimeout = 30'000'000;
  constexpr Micros kDefaultIdleTimeout = 10'000'000;
  return advertised > 0 ? std::min(kMaxIdleTimeout, advertised * 6 / 10) : kDefaultIdleTimeout;
}

}  // namespace garnethook::platform
