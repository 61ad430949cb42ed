/// Restarts of endpoints, as derived from the endpoint list.
#pragma once

#include <cstddef>
#include <optional>

#include "policy/ids.h"

namespace garnethook::routing {

/// The endpoint list reported a start of an endpoint that was not known before.
struct EndpointRestart {
  EndpointId endpoint;           ///< The endpoint.
  Micros startedAt = 0;          ///< When it started at the latest, on the monotonic clock.
  Micros previousStartedAt = 0;  ///< The same for the start that was known before; 0: long ago.
};

/// A restart and its consequences, for logs.
struct EndpointRestartEvent {
  EndpointId endpoint;                     ///< The endpoint.
  Micros startAge = 0;                     ///< Minimum time since its start.
  std::optional<Micros> previousStartAge;  ///< The same for the start known before; none: it was long ago.
  std::size_t keptReservations = 0;  ///< KV reservations and releases of the endpoint that stay tracked.
};

}  // namespace garnethook::routing
