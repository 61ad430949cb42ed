/// When the router ends an answer that has begun: no tokens come any more, or the client's deadline is near.
/// Free of I/O and clocks.
///
/// The policy's timeouts end with the first token; from there on the router itself watches the stream.
#pragma once

#include <algorithm>
#include <cstdint>

#include "policy/routing_policy.h"

namespace garnethook::routing {

/// Judges streams; holds no state of one.
class StreamGuard {
 public:
  /// Times in microseconds.
  struct Options {
    Micros stallTimeout = 10'000'000;  ///< Longest time between two tokens.
    Micros deadlineMargin = 50'000;    ///< A completion is sent this long before the client's deadline.
    bool enforcesDeadline = true;  ///< False: an answer that has begun is no longer bound by the deadline.
  };
  /// What is to be done about a stream.
  enum class Verdict {
    proceed,         ///< It goes on.
    stalled,         ///< It ends: no token came for too long.
    deadlineReached  ///< It ends: the deadline has come.
  };
  /// The result of a check.
  struct Check {
    Verdict verdict = Verdict::proceed;  ///< What is to be done.
    Micros nextCheckAt = 0;              ///< Of a stream that goes on: when to check again, at the latest.
  };
  /// Streams are judged by these options.
  explicit StreamGuard(const Options& options) : options_(options) {}

  /// The part of `remaining` that may be used: the margin, or a quarter of a very short time, is kept back.
  Micros usableTime(Micros remaining) const {
    return remaining - std::min(options_.deadlineMargin, remaining / kMarginPart);
  }

  /// Whether a stream that ends at the deadline had stalled by its own rhythm, so that its engine is to
  /// blame; one that still generated is merely long. `tokens` came between `firstTokenAt` and `lastTokenAt`.
  bool hasStalledByTokenInterval(Micros now, Micros firstTokenAt, Micros lastTokenAt,
                                 std::uint32_t tokens) const {
    const Micros interval = tokens > 1 ? (lastTokenAt - firstTokenAt) / (tokens - 1) : 0;
    return now - lastTokenAt > std::max(kStalledIntervals * interval, options_.stallTimeout / kStalledPart);
  }

  /// Checks a stream. `usableUntil`: its arrival plus usableTime().
  Check check(Micros now, Micros lastTokenAt, Micros usableUntil) const {
    if (options_.enforcesDeadline && now >= usableUntil) return {Verdict::deadlineReached, 0};
    const Micros stalledAt = lastTokenAt + options_.stallTimeout;
    if (now >= stalledAt) return {Verdict::stalled, 0};
    return {Verdict::proceed, options_.enforcesDeadline ? std::min(usableUntil, stalledAt) : stalledAt};
  }

 private:
  static constexpr Micros kMarginPart = 4;
  static constexpr Micros kStalledIntervals = 8;
  static constexpr Micros kStalledPart = 20;
  Options options_;
};

}  // namespace garnethook::routing
