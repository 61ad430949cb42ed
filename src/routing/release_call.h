/// A numbered call that asks an endpoint to release what it reserves for a request.
#pragma once

#include <cstdint>

#include "policy/ids.h"

namespace garnethook::routing {

/// One release call. Calls for the same request and endpoint differ by their number, so that a late answer to
/// an earlier one is not taken for the answer to the latest.
struct ReleaseCall {
  EndpointId endpoint;       ///< The endpoint that holds, or may hold, the reservation.
  RequestId request;         ///< The request that the reservation is for.
  std::uint64_t number = 0;  ///< Counts the calls of one router, from 1.
  bool isRetry = false;      ///< No endpoint has taken the call before it.
};

}  // namespace garnethook::routing
