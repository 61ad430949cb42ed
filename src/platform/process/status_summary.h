/// The counters of a router process as one line of text, for its log.
#pragma once

#include <cstdint>
#include <string>

#include "platform/engine/platform_engine_client.h"
#include "platform/http_frontend/http_frontend.h"
#include "routing/router.h"

namespace garnethook::platform {

/// What the summary is made of. The references must be valid for the call.
struct StatusSources {
  const routing::Router& router;        ///< Requests, attempts, KV reservations, violations.
  const HttpFrontend& frontend;         ///< Clients' connections.
  const PlatformEngineClient& engines;  ///< Connections to engines.
  std::uint64_t failedTasks = 0;        ///< Tasks of the loop that threw.
  Micros now = 0;                       ///< The current time on the monotonic clock.
};

/// The counters since the start. docs/platform.md explains the words.
std::string summarizeStatus(const StatusSources& sources);

}  // namespace garnethook::platform
