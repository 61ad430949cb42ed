/// @file
/// Whether an idle connection may carry the next request, judged by how idle connections of its age fared
/// recently. Free of I/O and clocks.
///
/// Engines and the proxies in front of them close idle connections earlier than they announce, some without a
/// sign: a request that is written to such a connection comes back as a reset, and may have been executed.
/// Where it can be sent again, that costs one attempt; where it can't, the request is lost, so it gets a new
/// connection unless idle ones of that age are known to be good.
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
  allowed,       ///< An idle connection will do unless such connections have often been dead.
  onlyIfProven,  ///< Only one of an age at which idle connections are known to be good.
  never          ///< The request needs a new connection.
};

/// Remembers how requests on reused connections fared, by how long the connection had been idle.
class ReusePolicy {
 public:
  /// Records how a request on a reused connection fared.
  /// @param idleTime microseconds for which the connection had been idle
  /// @param wasDead it was reset without any response
  /// @param now the current time
  void record(Micros idleTime, bool wasDead, Micros now) {
    AgeGroup& group = groups_[groupOf(idleTime)];
    decay(group, now);
    group.requests += 1;
    if (wasDead) {
      group.dead += 1;
      lastDeadAt_ = now;
    }
  }
  /// Whether a second, unsolicited response may still follow the one that the connection had before it became
  /// idle: it would be taken for the response to the next request. Such responses come some milliseconds
  /// later; one that comes while the connection is idle closes it.
  static bool mayReceiveStrayResponse(Micros idleTime) { return idleTime < kStrayResponseWindow; }
  /// Whether a connection that has been idle for this long may carry a request.
  /// @param idleTime microseconds for which the connection has been idle
  /// @param nonRepeatable the request can't be sent again once it may have been executed
  /// @param now the current time
  bool mayReuse(Micros idleTime, bool nonRepeatable, Micros now) const {
    if (lastDeadAt_ == 0 || now - lastDeadAt_ > kMemory) return true;
    AgeGroup group = groups_[groupOf(idleTime)];
    decay(group, now);
    // A group without recent requests counts as half a dead connection in one request.
    const double deadShare = (group.dead + kPriorRequests / 2) / (group.requests + kPriorRequests);
    return deadShare < (nonRepeatable ? kMaxDeadShareNonRepeatable : kMaxDeadShare);
  }

 private:
  static constexpr Micros kStrayResponseWindow = 20'000;
  static constexpr Micros kMemory = 20'000'000;
  static constexpr double kPriorRequests = 0.5;
  static constexpr double kMaxDeadShareNonRepeatable = 0.01;
  static constexpr double kMaxDeadShare = 0.3;
  static constexpr std::size_t kGroups = 16;
  struct AgeGroup {
    double requests = 0;
    double dead = 0;
    Micros updatedAt = 0;
  };

  // By powers of two of milliseconds.
  static std::size_t groupOf(Micros idleTime) {
    const auto milliseconds = static_cast<std::uint64_t>(std::max<Micros>(0, idleTime) / 1000);
    return std::min<std::size_t>(static_cast<std::size_t>(std::bit_width(milliseconds)), kGroups - 1);
  }
  static void decay(AgeGroup& group, Micros now) {
    const double factor =
        std::exp(-static_cast<double>(now - group.updatedAt) / static_cast<double>(kMemory));
    group.requests *= factor;
    group.dead *= factor;
    group.updatedAt = now;
  }

  std::array<AgeGroup, kGroups> groups_{};
  Micros lastDeadAt_ = 0;
};

}  // namespace garnethook::engine
