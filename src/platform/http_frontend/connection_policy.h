/// @file
/// How long a client connection may stay open without a request, and which connections may be evicted at the
/// connection limit. Performs no I/O and reads no clock.
#pragma once

#include <algorithm>
#include <cstddef>

#include "policy/routing_policy.h"

namespace garnethook::platform {

/// Limits on the number of client connections and on how long they may be idle.
class ConnectionPolicy {
 public:
  /// Limits and timeouts; all times are in microseconds.
  struct Options {
    /// Maximum number of open connections.
    std::size_t maxConnections = 512;
    /// Time from accepting a connection, or from a request's first byte, to that request's last byte.
    Micros requestTimeout = 2'500'000;
    /// Idle timeout after a response while few connections are open.
    Micros maxIdleTimeout = 20'000'000;
    /// Idle timeout near the connection limit; clients rely on at least two seconds.
    Micros minIdleTimeout = 2'100'000;
    /// Minimum idle time before a connection may be evicted for a new one. A client whose request crosses the
    /// close repeats it on a new connection, whereas clients in the accept queue lose time.
    Micros minIdleBeforeEviction = 100'000;
    /// Minimum age of a connection without any request so far before it may be evicted: a client that has a
    /// request sends it immediately after connecting.
    Micros minUnusedBeforeEviction = 20'000;
    /// Interval between attempts to evict a connection while none may be evicted; meanwhile new connections
    /// stay in the kernel's accept queue.
    Micros capacityRetryInterval = 10'000;
  };
  /// State of a connection with regard to requests.
  enum class Activity {
    unused,  ///< It has not received a request yet.
    idle,    ///< It is between two requests.
    busy     ///< A request is being received or answered.
  };

  /// @param options limits and timeouts
  explicit ConnectionPolicy(const Options& options) : options_(options) {}
  /// The limits and timeouts in use.
  const Options& options() const { return options_; }

  /// The idle timeout at this number of open connections: the maximum up to 25 % of the connection limit, the
  /// minimum from 55 % of it, linear in between.
  Micros idleTimeout(std::size_t openConnections) const {
    const double used = static_cast<double>(openConnections) /
                        static_cast<double>(std::max<std::size_t>(1, options_.maxConnections));
    const double scarcity = std::clamp((used - 0.25) / 0.3, 0.0, 1.0);
    return options_.maxIdleTimeout -
           static_cast<Micros>(scarcity *
                               static_cast<double>(options_.maxIdleTimeout - options_.minIdleTimeout));
  }
  /// Whether the connection limit is reached.
  bool isFull(std::size_t openConnections) const { return openConnections >= options_.maxConnections; }
  /// Whether a connection may be closed in favour of a new one.
  /// @param activity the connection's current activity
  /// @param inactiveFor microseconds since it was accepted or sent its latest response
  bool mayEvict(Activity activity, Micros inactiveFor) const {
    if (activity == Activity::unused) return inactiveFor >= options_.minUnusedBeforeEviction;
    return activity == Activity::idle && inactiveFor >= options_.minIdleBeforeEviction;
  }

 private:
  Options options_;
};

}  // namespace garnethook::platform
