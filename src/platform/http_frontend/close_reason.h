/// @file
/// Why a client's connection ended. Free of I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace garnethook::platform {

/// Why a client's connection ended; counted for the status line and named in the log.
enum class CloseReason {
  clientClosed,      ///< The client closed or reset it.
  finalResponse,     ///< After a response that announced the end.
  streamFailed,      ///< A stream failed midway; the client sees that its last chunk is missing.
  draining,          ///< It was idle while the router drained.
  idleTimeout,       ///< It was idle for too long.
  evicted,           ///< It was idle, and a new connection needed its place.
  requestTimeout,    ///< No complete request arrived in time.
  badRequest,        ///< After an error response that blames the request.
  bodyBudgetFull,    ///< After a 503, because the bodies of open requests use all memory meant for them.
  pipelineOverflow,  ///< The client pipelined more than is buffered; what was buffered has been answered.
  unreadResponse,    ///< The client does not read what is sent.
  stopped,           ///< The frontend itself ended it.
  count_             ///< Number of reasons.
};

/// The reason as it stands in the log and in the status line.
inline std::string_view name(CloseReason reason) {
  constexpr std::array<std::string_view, static_cast<std::size_t>(CloseReason::count_)> kNames{
      "client-closed",    "final-response",    "stream-failed",   "draining",
      "idle-timeout",     "evicted",           "request-timeout", "bad-request",
      "body-budget-full", "pipeline-overflow", "unread-response", "stopped"};
  return kNames[static_cast<std::size_t>(reason)];
}

/// Whether a connection that ends for this reason may leave its open request without any response: only
/// where the client is gone or does not read, or where the frontend itself stops.
inline bool mayLeaveUnanswered(CloseReason reason) {
  return reason == CloseReason::clientClosed || reason == CloseReason::unreadResponse ||
         reason == CloseReason::stopped;
}

}  // namespace garnethook::platform
