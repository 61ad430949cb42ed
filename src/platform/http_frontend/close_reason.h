/// @file
/// Why a client connection was closed. Performs no I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace garnethook::platform {

/// Why a client connection was closed; counted in the status summary and written to the log.
enum class CloseReason {
  clientClosed,      ///< The client closed or reset the connection.
  finalResponse,     ///< Closed after a response that announced the close.
  streamFailed,      ///< A streamed response failed; the client detects the missing last chunk.
  draining,          ///< The connection was idle while the router was draining.
  idleTimeout,       ///< The idle timeout expired.
  evicted,           ///< An idle connection was closed in favour of a new one.
  requestTimeout,    ///< No complete request arrived within the request timeout.
  badRequest,        ///< Closed after an error response to an invalid request.
  bodyBudgetFull,    ///< Closed after a 503: the bodies of open requests use up the body budget.
  pipelineOverflow,  ///< Input after the end of the connection exceeded a limit.
  unreadResponse,    ///< The client does not read its responses.
  stopped,           ///< Closed by the frontend itself.
  count_             ///< Number of reasons.
};

/// The reason's name in the log and in the status summary.
inline std::string_view name(CloseReason reason) {
  constexpr std::array<std::string_view, static_cast<std::size_t>(CloseReason::count_)> kNames{
      "client-closed",    "final-response",    "stream-failed",   "draining",
      "idle-timeout",     "evicted",           "request-timeout", "bad-request",
      "body-budget-full", "pipeline-overflow", "unread-response", "stopped"};
  return kNames[static_cast<std::size_t>(reason)];
}

/// Whether a connection closed for this reason may leave its open request without any response: only if the
/// client is gone or does not read, or if the frontend itself stops.
inline bool mayCloseWithoutResponse(CloseReason reason) {
  return reason == CloseReason::clientClosed || reason == CloseReason::unreadResponse ||
         reason == CloseReason::stopped;
}

}  // namespace garnethook::platform
