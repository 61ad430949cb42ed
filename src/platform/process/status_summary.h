/// Formats the counters of a router process as one line of text for its log.
#pragma once

#include <cstdint>
#include <string>

#include "platform/engine/platform_engine_client.h"
#include "platform/http_frontend/http_frontend.h"
#include "routing/router.h"

namespace garnethook::platform {

/// Sources of the summary. The references must remain valid during the call.
struct StatusSources {
  const routing::Router& router;             ///< Requests, attempts, KV reservations, violations.
  const HttpFrontend& frontend;              ///< Client connections.
  const PlatformEngineClient& engineClient;  ///< Engine connections.
  std::uint64_t failedTasks = 0;             ///< Tasks of the loop that threw.
  Micros now = 0;                            ///< The current time on the monotonic clock.
};

/// Returns the counters since the start. The labels are explained in docs/platform.md.
std::string summarizeStatus(const StatusSources& sources);

}  // namespace garnethook::platform
