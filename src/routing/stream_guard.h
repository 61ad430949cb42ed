/// Determines when the router ends a response that has started: when no more tokens arrive, or when the
/// client's deadline is near. Performs no I/O and reads no clock.
///
/// The policy's timeouts apply until the first token; after it, the router itself monitors the stream.
#pragma once

#include <algorithm>
#include <cstdint>

#include "policy/routing_policy.h"

namespace garnethook::routing {

/// Checks streams; stores no state of individual streams.
class StreamGuard {
 public:
  /// Times in microseconds.
  struct Options {
    Micros stallTimeout = 10'000'000;  ///< Maximum time without tokens or progress.
    /// Maximum time between two signs of progress once stallTimeout has passed without tokens.
    Micros progressTimeout = 2'000'000;
    Micros tokenTimeout = 30'000'000;  ///< Maximum time without tokens, whatever progress there is.
    Micros deadlineMargin = 50'000;    ///< A completion is sent this long before the client's deadline.
    bool enforcesDeadline = true;      ///< False: the deadline does not apply once the response has started.
  };
  /// When an engine was last heard of.
  struct LastSigns {
    Micros tokenAt = 0;     ///< Its latest tokens.
    Micros progressAt = 0;  ///< Part of further tokens, or a comment.
  };
  /// The action to take on a stream.
  enum class Decision {
    proceed,         ///< Continue it.
    stalled,         ///< End it: no token arrived for too long.
    deadlineReached  ///< End it: the deadline has been reached.
  };
  /// The result of a check.
  struct Check {
    Decision decision = Decision::proceed;  ///< The action to take.
    Micros nextCheckAt = 0;                 ///< With proceed: latest time of the next check.
  };
  /// Creates a guard that checks streams against `options`.
  explicit StreamGuard(const Options& options) : options_(options) {}

  /// Returns the part of `remaining` that the router may use: all but deadlineMargin, or all but a quarter if
  /// `remaining` is very short.
  Micros usableTime(Micros remaining) const {
    return remaining - std::min(options_.deadlineMargin, remaining / kMarginDivisor);
  }

  /// Returns whether a stream that ends at the deadline had stalled in comparison with its own average token
  /// interval, which indicates a fault of its engine; otherwise the response was merely long. `tokens` is the
  /// number of tokens that arrived from `firstTokenAt` to `lastTokenAt`.
  bool hasStalledByTokenInterval(Micros now, Micros firstTokenAt, Micros lastTokenAt,
                                 std::uint32_t tokens) const {
    const Micros interval = tokens > 1 ? (lastTokenAt - firstTokenAt) / (tokens - 1) : 0;
    return now - lastTokenAt >
           std::max(kStalledIntervals * interval, options_.stallTimeout / kMinStallDivisor);
  }

  /// Checks a stream. `completionDeadline`: arrival time of its request plus usableTime().
  Check check(Micros now, const LastSigns& last, Micros completionDeadline) const {
    if (options_.enforcesDeadline && now >= completionDeadline) return {Decision::deadlineReached, 0};
    const Micros quietUntil =
        std::max(last.tokenAt + options_.stallTimeout, last.progressAt + options_.progressTimeout);
    const Micros stalledAt =
        std::min(quietUntil, last.tokenAt + std::max(options_.tokenTimeout, options_.stallTimeout));
    if (now >= stalledAt) return {Decision::stalled, 0};
    return {Decision::proceed,
            options_.enforcesDeadline ? std::min(completionDeadline, stalledAt) : stalledAt};
  }

 private:
  static constexpr Micros kMarginDivisor = 4;
  static constexpr Micros kStalledIntervals = 8;
  static constexpr Micros kMinStallDivisor = 20;
  Options options_;
};

}  // namespace garnethook::routing
