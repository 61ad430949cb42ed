/// Settings of the router.
#pragma once

#include <cstdint>
#include <string>

#include "policy/routing_policy.h"
#include "routing/kv_reservation_tracker.h"
#include "routing/stream_guard.h"

namespace garnethook::routing {

/// Settings of one router. Times in microseconds.
struct Options {
  Settings settings;       ///< Of the routing policy.
  std::uint64_t seed = 1;  ///< Of the routing policy's random generator.
  std::string instance;    ///< Beginning of trace ids; unique among routers and their restarts.
  std::size_t maxPendingRequests = 20'000;       ///< Requests beyond it are rejected at once.
  StreamGuard::Options streamGuard;              ///< When an answer that has begun is ended.
  KvReservationTracker::Options kvReservations;  ///< When reservations are released.
  Micros shutdownRetryAfter = 1'000'000;         ///< For clients rejected by the limit or by the shutdown.
};

}  // namespace garnethook::routing
