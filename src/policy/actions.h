/// @file
/// Actions that the routing policy emits in response to an event; the caller must execute them in order.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "policy/ids.h"

namespace garnethook {

/// Send an attempt of a request to an endpoint.
struct Send {
  RequestId id;         ///< The request.
  EndpointId endpoint;  ///< The endpoint to send it to.
  Micros timeout = 0;   ///< Timeout of the attempt; 0: until the client gives up.
};
/// Cancel an attempt that is in flight.
struct Cancel {
  RequestId id;     ///< The request.
  int attempt = 0;  ///< Number of the attempt, from 0.
};
/// Why the policy rejects a request.
enum class RejectionReason {
  overloaded,     ///< No endpoint is expected to respond in time.
  noAttemptsLeft  ///< All attempts that the request may have were rejected or failed.
};
/// Reject a request; a retry by the client is harmless.
struct Reject {
  RequestId id;           ///< The request.
  Micros retryAfter = 0;  ///< Delay after which the client should retry; 0: unknown.
  RejectionReason reason = RejectionReason::overloaded;  ///< Why it is rejected.
};
/// Fail a request that was possibly executed.
struct Fail {
  RequestId id;  ///< The request.
};
/// Release the KV state that endpoints hold for a request.
struct Release {
  RequestId id;  ///< The request.
};
/// Set a timer.
struct SetTimer {
  TimerId id;        ///< Identifier to pass in TimerFired.
  Micros delay = 0;  ///< Time until it fires.
  /// The request that it belongs to, if any. Such a timer has no effect once the request has ended, so it may
  /// be cancelled then.
  std::optional<RequestId> request{};
};
/// Probe an endpoint's health.
struct Probe {
  EndpointId endpoint;  ///< The endpoint.
};
/// Subscribe to the endpoint list.
struct Subscribe {};
/// Write a line to the log.
struct Log {
  std::string text;  ///< The line, in which identifiers are separate words.
};

/// Any action.
using Action = std::variant<Send, Cancel, Reject, Fail, Release, SetTimer, Probe, Subscribe, Log>;

}  // namespace garnethook
