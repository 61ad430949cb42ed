// What of a router's limits goes to whom, and the times of its start and end. Free of I/O and clocks.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "platform/config/platform_config.h"

namespace garnethook::platform {

struct ResourceBudget {
  std::size_t clients = 0;    // connections of clients
  std::size_t lingering = 0;  // and of those that have ended here and wait for their clients to close
  std::size_t attempts = 0;   // connections to engines that carry attempts, or rest
  std::size_t controls = 0;   // connections to engines that carry releases and probes
  std::size_t bodies = 0;     // bytes of open requests' bodies
};

// Descriptors: some are the process's own (the loop, logs, the listener, discovery). Of the rest clients get
// half, attempts a little over a third, releases and probes a twelfth, since they must go out even when all
// attempts are. A twentieth is left for connections that end.
inline ResourceBudget share(const Limits& limits) {
  constexpr std::size_t kOwn = 24;
  const std::size_t free = limits.descriptors > 2 * kOwn ? limits.descriptors - kOwn : limits.descriptors / 2;
  ResourceBudget out;
  out.clients = std::max<std::size_t>(8, free / 2);
  out.lingering = std::max<std::size_t>(4, free / 20);
  out.attempts = std::max<std::size_t>(8, free * 36 / 100);
  out.controls = std::max<std::size_t>(4, free * 8 / 100);
  // A body is in memory up to three times for a moment: as read, as kept, as written.
  out.bodies = static_cast<std::size_t>(std::max<std::uint64_t>(1u << 20, limits.memory / 8));
  return out;
}

struct Times {
  // A router that knows engines from before is ready without discovery's word after this.
  Micros listWithin = 500'000;
  // From the signal to stop: new connections are taken for so long, as the platform's front may not know yet.
  Micros acceptAfterStop = 600'000;
  // Longest time between two events of an answer. Clients are held to wait up to five seconds.
  Micros streamSilence = 4'500'000;
  // Engines close idle connections at a time that they tell; ours end well before, since a request that
  // crosses the close may have run.
  static Micros idle(Micros told) {
    return told > 0 ? std::min<Micros>(30'000'000, told * 6 / 10) : 10'000'000;
  }
};

}  // namespace garnethook::platform
