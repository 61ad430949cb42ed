/// What all parts of a router share.
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
  timing::Timers& timers;  ///< Ends with the router.
  EngineClient& engines;   ///< Makes the attempts.
  Observer& observer;      ///< Is notified of everything.
  Counters& counters;      ///< Counts everything.
};

}  // namespace garnethook::routing
