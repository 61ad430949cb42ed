/// Settings of a router.
#pragma once

#include <cstdint>
#include <string>

#include "policy/routing_policy.h"
#include "routing/kv_reservation_tracker.h"
#include "routing/stream_guard.h"

namespace garnethook::routing {

/// Settings of one router. Times in microseconds.
struct Options {
  Settings settings;                        ///< Settings of the routing policy.
  std::uint64_t seed = 1;                   ///< Seed of the routing policy's random generator.
  std::string instance;                     ///< Prefix of trace ids; unique among routers and their restarts.
  std::size_t maxPendingRequests = 20'000;  ///< Requests beyond this limit are rejected immediately.
  StreamGuard::Options streamGuard;         ///< When the router ends a response that has started.
  KvReservationTracker::Options kvReservations;  ///< When reservations are released.
  /// Retry-After time for requests that are rejected because of maxPendingRequests or the shutdown.
  Micros shutdownRetryAfter = 1'000'000;
};

}  // namespace garnethook::routing
