/// @file
/// How long a client's connection may stay without an open request, and which one is closed when there are
/// too many. Free of I/O and clocks.
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
    /// Connections that may be open at the same time.
    std::size_t maxConnections = 512;
    /// From accepting a connection, or from a request's first byte, to that request's last byte.
    Micros requestTimeout = 2'500'000;
    /// Idle timeout after a response while there is plenty of room.
    Micros maxIdleTimeout = 20'000'000;
    /// Idle timeout when there is little room left; clients count on two seconds.
    Micros minIdleTimeout = 2'100'000;
    /// How long a connection must have been idle before it may be evicted for a new one. Its client repeats a
    /// request that crosses the close on a new connection, whereas clients in the accept queue lose time.
    Micros minIdleBeforeEviction = 100'000;
    /// How long a connection without any request so far must have been open before it may be evicted: a
    /// client that has a request to send does so at once.
    Micros minUnusedBeforeEviction = 20'000;
    /// Where no connection may be evicted, new ones stay in the system's accept queue for this long before
    /// the next try.
    Micros capacityRetryInterval = 10'000;
  };
  /// What a connection is doing.
  enum class Activity {
    unused,  ///< It has not had a request yet.
    idle,    ///< It is between two requests.
    busy     ///< A request is being received or answered.
  };

  /// @param options limits and timeouts
  explicit ConnectionPolicy(const Options& options) : options_(options) {}
  /// The limits and timeouts in use.
  const Options& options() const { return options_; }

  /// The idle timeout with this many connections open: the longest up to a quarter of the limit, the shortest
  /// from a little over half of it, and linear in between.
  Micros idleTimeout(std::size_t openConnections) const {
    const double used = static_cast<double>(openConnections) /
                        static_cast<double>(std::max<std::size_t>(1, options_.maxConnections));
    const double scarcity = std::clamp((used - 0.25) / 0.3, 0.0, 1.0);
    return options_.maxIdleTimeout -
           static_cast<Micros>(scarcity *
                               static_cast<double>(options_.maxIdleTimeout - options_.minIdleTimeout));
  }
  /// Whether no further connection may be accepted.
  bool isFull(std::size_t openConnections) const { return openConnections >= options_.maxConnections; }
  /// Whether a connection may be closed in favour of a new one.
  /// @param activity what the connection is doing
  /// @param inactiveFor microseconds since it was accepted or had its latest response
  bool mayEvict(Activity activity, Micros inactiveFor) const {
    if (activity == Activity::unused) return inactiveFor >= options_.minUnusedBeforeEviction;
    return activity == Activity::idle && inactiveFor >= options_.minIdleBeforeEviction;
  }

 private:
  Options options_;
};

}  // namespace garnethook::platform
