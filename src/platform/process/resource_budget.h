/// How the process's resource limits are divided among its parts. Free of I/O and clocks.
#pragma once

#include <cstddef>

#include "platform/config/platform_config.h"

namespace garnethook::platform {

/// Bounds for the parts of one router process.
struct ResourceBudget {
  std::size_t clientConnections = 0;   ///< Open connections of clients.
  std::size_t closingConnections = 0;  ///< Connections closed here whose clients have not closed theirs yet.
  std::size_t attemptConnections = 0;  ///< Connections to engines that carry attempts, or are idle.
  std::size_t controlConnections = 0;  ///< Connections to engines that carry KV releases and probes.
  std::size_t requestBodyBytes = 0;    ///< Bodies of all open requests together.
};

/// Divides the limits. Some descriptors are the process's own: the loop, logs, the listener, discovery. Of
/// the rest clients get half, attempts a little over a third, and control connections a twelfth, since
/// releases and probes have to go out even when all attempts are out. A twentieth is left for closing
/// connections.
ResourceBudget divideLimits(const Limits& limits);

}  // namespace garnethook::platform
