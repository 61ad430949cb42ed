/// Divides the process's resource limits among its components. Free of I/O and clocks.
#pragma once

#include <cstddef>

#include "platform/config/platform_config.h"

namespace garnethook::platform {

/// Bounds on the connections and buffers of one router process.
struct ResourceBudget {
  std::size_t clientConnections = 0;    ///< Open client connections.
  std::size_t closingConnections = 0;   ///< Connections closed by the router but not yet by the client.
  std::size_t attemptConnections = 0;   ///< Engine connections that carry attempts or are idle.
  std::size_t controlConnections = 0;   ///< Engine connections for KV releases and probes.
  std::size_t requestBodyBytes = 0;     ///< Total size of the bodies of all open requests.
  std::size_t unsentResponseBytes = 0;  ///< Total size of what clients have not read of their responses.
};

/// Divides the limits. Some descriptors are reserved for the process itself: the loop, logs, the listener and
/// discovery. Of the rest, client connections get half, attempts a little over a third and control
/// connections a twelfth, because releases and probes must be sent even when all attempt connections are in
/// use. A twentieth is left for closing connections.
ResourceBudget makeResourceBudget(const Limits& limits);

}  // namespace garnethook::platform
