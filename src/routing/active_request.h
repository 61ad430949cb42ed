/// A request between its arrival and the end of its last attempt.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "routing/completion.h"
#include "routing/endpoint_location.h"
#include "routing/engine_client.h"
#include "routing/execution_history.h"
#include "routing/request.h"
#include "timing/timer_wheel.h"

namespace garnethook::routing {

/// The attempt of a request that is in flight. Times on the monotonic clock.
struct InFlightAttempt {
  int number = 0;                     ///< Number among the attempts of the request, from 0.
  EndpointId endpoint;                ///< The endpoint that it was sent to.
  Phase phase = Phase::combined;      ///< The phase that it runs.
  Micros sentAt = 0;                  ///< When it was sent.
  Micros engineDeadline = 0;          ///< End of the timeout that was sent to the engine.
  bool isDeliveryUncertain = false;   ///< It may not have reached its endpoint; see releaseDuringAttempt().
  bool hasStarted = false;            ///< Its response has started.
  Micros firstTokenAt = 0;            ///< When its first token arrived.
  Micros lastTokenAt = 0;             ///< When its latest tokens arrived.
  Micros lastProgressAt = 0;          ///< When part of further tokens, or a comment, arrived.
  bool isReadingPaused = false;       ///< Its client has to read first, so its engine is not listened to.
  std::uint32_t tokens = 0;           ///< Tokens received so far.
  timing::TimerKey timeoutTimer;      ///< Ends it if its response does not start in time.
  timing::TimerKey reservationTimer;  ///< Fires when the request's KV reservations are due for release.
};

/// A request that is pending, or whose attempt is still in flight.
struct ActiveRequest {
  RequestId id;                                     ///< Number of the request in this router.
  Request request;                                  ///< The client's request.
  Client* client = nullptr;                         ///< Null once the request is completed or cancelled.
  Micros arrivedAt = 0;                             ///< Arrival time on the monotonic clock.
  Micros completionDeadline = 0;                    ///< Latest time to send a completion.
  std::string traceId;                              ///< Id by which engines and logs identify the request.
  int attemptCount = 0;                             ///< Attempts so far, including those that were not sent.
  std::optional<InFlightAttempt> attempt;           ///< The attempt in flight.
  ExecutionHistory history;                         ///< Whether the request was possibly executed.
  std::optional<EndpointLocation> firstExecutedAt;  ///< Location of the first possible execution.
  std::string kvTransferParams;                     ///< KV transfer parameters of the completed prefill.
  std::optional<EndpointId> kvEndpoint;        ///< Endpoint at which the completed prefill left its KV state.
  std::string lastError;                       ///< Latest error text of an engine, for the completion's text.
  std::uint32_t nextTokenIndex = 0;            ///< Tokens passed to the client so far.
  Usage usage;                                 ///< Token counts so far.
  timing::TimerKey streamTimer;                ///< Timer of the next stream check.
  std::vector<timing::TimerKey> policyTimers;  ///< Timers that the policy set for it, including expired ones.

  /// Whether the request is completed or cancelled.
  bool isFinished() const { return client == nullptr; }
  /// Whether the client has received tokens.
  bool hasResponseStarted() const { return nextTokenIndex > 0; }
  /// Whether this attempt is in flight.
  bool isInFlight(int attemptNumber) const { return attempt && attempt->number == attemptNumber; }
  /// Whether a decode or combined attempt is in flight.
  bool isGenerating() const { return attempt && attempt->phase != Phase::prefill; }
};

}  // namespace garnethook::routing
