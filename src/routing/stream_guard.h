// When a running answer is ended by the router: it went quiet, or the client's deadline is near. Free of I/O
// and clocks.
//
// The decision module's time-outs end with the first token (on its bench a stream has no deadline). A gRPC
// call has one, so the router keeps watch from there on.
#pragma once

#include <algorithm>

#include "routing/types.h"

namespace garnethook::routing {

class StreamGuard {
 public:
  struct Options {
    Micros silence = 10'000'000;  // longest time between two tokens
    Micros margin = 50'000;       // a final answer is sent this long before the client's deadline
    bool deadlineEnds = true;     // false: an answer that has begun is no longer bound by the deadline
  };
  enum class Verdict { go, stalled, deadline };
  struct Look {
    Verdict verdict = Verdict::go;
    Micros again = 0;  // when to look again, at the latest
  };
  explicit StreamGuard(const Options& options) : options_(options) {}

  // The part of `remaining` that may be used: a quarter of a very short one is kept back.
  Micros usable(Micros remaining) const { return remaining - std::min(options_.margin, remaining / 4); }

  // Whether a stream that is cut at the deadline had gone quiet by its own rhythm, so that its engine is to
  // blame; one that was still writing is merely long. `tokens` came between `first` and `last`.
  bool wentQuiet(Micros now, Micros first, Micros last, std::uint32_t tokens) const {
    const Micros gap = tokens > 1 ? (last - first) / (tokens - 1) : 0;
    return now - last > std::max(kQuietGaps * gap, options_.silence / kQuietPart);
  }

  // `usableUntil`: as from usable(); `lastToken`: time of the latest token.
  Look look(Micros now, Micros lastToken, Micros usableUntil) const {
    if (options_.deadlineEnds && now >= usableUntil) return {Verdict::deadline, 0};
    const Micros quiet = lastToken + options_.silence;
    if (now >= quiet) return {Verdict::stalled, 0};
    return {Verdict::go, options_.deadlineEnds ? std::min(usableUntil, quiet) : quiet};
  }

 private:
  static constexpr Micros kQuietGaps = 8;
  static constexpr Micros kQuietPart = 20;
  Options options_;
};

}  // namespace garnethook::routing
