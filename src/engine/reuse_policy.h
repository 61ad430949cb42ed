/// @file
/// Decides whether an idle connection may carry the next request, from the recent outcomes of reusing
/// connections with a similar idle time. Performs no I/O and reads no clock.
///
/// Engines and the proxies in front of them close idle connections earlier than they announce, some of them
/// silently. A request written to such a connection ends in a reset and is possibly executed. A repeatable
/// request then costs one more attempt. A non-repeatable request is lost, so it is sent on a new connection
/// unless reuse after that idle time has proven safe.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "policy/routing_policy.h"

namespace garnethook::engine {

/// Whether a request may be sent on an idle connection.
enum class ConnectionReuse {
  allowed,       ///< An idle connection may be used, unless such connections were often dead.
  onlyIfProven,  ///< Only a connection with an idle time after which reuse has proven safe.
  never          ///< The request needs a new connection.
};

/// Tracks the outcomes of requests on reused connections, grouped by idle time.
class ReusePolicy {
 public:
  /// Records the outcome of a request on a reused connection.
  /// @param idleTime microseconds for which the connection had been idle
  /// @param wasDead whether the connection was reset without any response
  /// @param now the current time
  void record(Micros idleTime, bool wasDead, Micros now) {
    IdleTimeGroup& group = groups_[groupIndex(idleTime)];
    decay(group, now);
    group.requests += 1;
    if (wasDead) {
      group.dead += 1;
      lastDeadAt_ = now;
    }
  }
  /// Returns whether an unsolicited second response may still follow the last response on the connection. It
  /// would be taken for the response to the next request. Such responses arrive some milliseconds later; one
  /// that arrives while the connection is idle closes it.
  static bool mayReceiveStrayResponse(Micros idleTime) { return idleTime < kStrayResponseWindow; }
  /// Returns whether a connection with this idle time may carry a request.
  /// @param idleTime microseconds for which the connection has been idle
  /// @param nonRepeatable whether the request must not be sent again once it is possibly executed
  /// @param now the current time
  bool mayReuse(Micros idleTime, bool nonRepeatable, Micros now) const {
    if (lastDeadAt_ == 0 || now - lastDeadAt_ > kHistoryWindow) return true;
    IdleTimeGroup group = groups_[groupIndex(idleTime)];
    decay(group, now);
    // The prior makes a group without recent requests count as having a dead share of one half.
    const double deadShare = (group.dead + kPriorRequests / 2) / (group.requests + kPriorRequests);
    return deadShare < (nonRepeatable ? kMaxDeadShareNonRepeatable : kMaxDeadShare);
  }

 private:
  static constexpr Micros kStrayResponseWindow = 20'000;
  static constexpr Micros kHistoryWindow = 20'000'000;
  static constexpr double kPriorRequests = 0.5;
  static constexpr double kMaxDeadShareNonRepeatable = 0.01;
  static constexpr double kMaxDeadShare = 0.3;
  static constexpr std::size_t kGroupCount = 16;
  struct IdleTimeGroup {
    double requests = 0;
    double dead = 0;
    Micros updatedAt = 0;
  };

  // Groups are powers of two of the idle time in milliseconds.
  static std::size_t groupIndex(Micros idleTime) {
    const auto milliseconds = static_cast<std::uint64_t>(std::max<Micros>(0, idleTime) / 1000);
    return std::min<std::size_t>(static_cast<std::size_t>(std::bit_width(milliseconds)), kGroupCount - 1);
  }
  static void decay(IdleTimeGroup& group, Micros now) {
    const double factor =
        std::exp(-static_cast<double>(now - group.updatedAt) / static_cast<double>(kHistoryWindow));
    group.requests *= factor;
    group.dead *= factor;
    group.updatedAt = now;
  }

  std::array<IdleTimeGroup, kGroupCount> groups_{};
  Micros lastDeadAt_ = 0;
};

}  // namespace garnethook::engine
