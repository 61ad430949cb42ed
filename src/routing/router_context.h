/// Objects that all components of a router share.
#pragma once

#include "routing/counters.h"
#include "routing/engine_client.h"
#include "routing/observer.h"
#include "routing/options.h"
#include "timing/timers.h"

namespace garnethook::routing {

/// References that are valid for the router's lifetime.
struct RouterContext {
  const Options& options;  ///< The router's settings.
  timing::Timers& timers;  ///< Timers, all cancelled when the router is destroyed.
  EngineClient& engines;   ///< Sends attempts, probes and release calls.
  Observer& observer;      ///< Receives notifications.
  Counters& counters;      ///< The router's counters.
};

}  // namespace garnethook::routing
