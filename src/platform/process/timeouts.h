/// Timeouts of a router process that are not configurable, and defaults for those that are. All in
/// microseconds.
#pragma once

#include <algorithm>

#include "policy/routing_policy.h"

namespace garnethook::platform {

/// A router that starts with a stored list uses it after this time even if discovery has not confirmed it.
/// The platform takes a router that is not ready 30 s after its start for crashed.
inline constexpr Micros kUnconfirmedListTimeout = 28'000'000;

/// How long new connections are accepted after the signal to stop, since the load balancer may still send
/// some until it notices that the router is not ready.
inline constexpr Micros kAcceptTimeAfterStop = 600'000;

/// How long a shutdown waits for repeats of confirmed KV releases. After the signal to stop, the platform
/// kills the process once the longest deadline, but at most 3 s, plus 0.7 s have passed.
inline Micros shutdownReleaseRepeatLimit(Micros longestDeadline) {
  constexpr Micros kMaxDeadlineWait = 3'000'000;
  constexpr Micros kWaitAfterDeadline = 500'000;
  return std::min(longestDeadline, kMaxDeadlineWait) + kWaitAfterDeadline;
}

/// Longest time between two events of a response. Clients wait up to five seconds.
inline constexpr Micros kStreamStallTimeout = 4'500'000;

/// Connect timeout for engines if none is configured.
inline constexpr Micros kDefaultConnectTimeout = 250'000;

/// KV release timeout if none is configured.
inline constexpr Micros kDefaultKvReleaseTimeout = 500'000;

/// Idle time after which the router closes a connection to an engine. `advertised`: the engine's own idle
/// timeout, 0 if unknown. The router closes well before the engine, since a request that is in flight when
/// the engine closes the connection is possibly executed.
inline Micros engineIdleTimeout(Micros advertised) {
  constexpr Micros kMaxIdleTimeout = 30'000'000;
  constexpr Micros kDefaultIdleTimeout = 10'000'000;
  return advertised > 0 ? std::min(kMaxIdleTimeout, advertised * 6 / 10) : kDefaultIdleTimeout;
}

}  // namespace garnethook::platform
