/// A numbered call that requests an endpoint to release its reservations for a request.
#pragma once

#include <cstdint>

#include "policy/ids.h"

namespace garnethook::routing {

/// A release call. Calls for the same request and endpoint differ by their number, so that a late result of
/// an earlier call is not mistaken for the result of the latest one.
struct ReleaseCall {
  EndpointId endpoint;       ///< The endpoint that holds, or may hold, the reservation.
  RequestId request;         ///< The request that the reservation is for.
  std::uint64_t number = 0;  ///< Sequence number among the calls of a router, from 1.
  bool isRetry = false;      ///< An earlier call of the same release failed.
};

}  // namespace garnethook::routing
