// How long a client's connection may go without an open request, and which one goes when there are too many.
// Free of I/O and clocks.
#pragma once

#include <algorithm>
#include <cstddef>

#include "policy/routing_policy.h"

namespace garnethook::platform {

class ConnectionPolicy {
 public:
  struct Options {
    std::size_t connections = 512;     // at once
    Micros requestWithin = 2'500'000;  // from its connection, or its first byte, to a request's last
    Micros idleMost = 20'000'000;      // after an answer, where there is room
    Micros idleLeast = 2'100'000;      // and where there is none; clients count on two seconds
    // Of a connection between requests, while new ones wait for room. Its client sends a request that crosses
    // the close once more, on a new connection; those that wait in the queue lose their time.
    Micros idleCrowded = 100'000;
    // A new connection may be closed for another's sake after it: a client that means to ask does so at once.
    Micros silentLeast = 20'000;
    Micros retryPause = 10'000;  // where none may be closed, new ones wait in the system's queue so long
  };
  enum class Standing { fresh, idle, busy };  // no request yet; between requests; in one

  explicit ConnectionPolicy(const Options& options) : options_(options) {}
  const Options& options() const { return options_; }

  // Full length while three quarters of the room are free, least from a little over half taken on, in a line
  // between.
  Micros idleLimit(std::size_t open) const {
    const double taken =
        static_cast<double>(open) / static_cast<double>(std::max<std::size_t>(1, options_.connections));
    const double scarce = std::clamp((taken - 0.25) / 0.3, 0.0, 1.0);
    return options_.idleMost -
           static_cast<Micros>(scarce * static_cast<double>(options_.idleMost - options_.idleLeast));
  }
  bool full(std::size_t open) const { return open >= options_.connections; }
  // Whether a connection that has stood so since then may go for another one that comes.
  bool mayEvict(Standing standing, Micros stood) const {
    if (standing == Standing::fresh) return stood >= options_.silentLeast;
    return standing == Standing::idle && stood >= options_.idleCrowded;
  }

 private:
  Options options_;
};

}  // namespace garnethook::platform
