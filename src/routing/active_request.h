/// A request between its arrival and the end of its last attempt.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "routing/completion.h"
#include "routing/endpoint_location.h"
#include "routing/engine_client.h"
#include "routing/execution_history.h"
#include "routing/request.h"
#include "timing/timer_wheel.h"

namespace garnethook::routing {

/// The attempt of a request that is in flight. Times on the monotonic clock.
struct InFlightAttempt {
  int number = 0;                     ///< Among the attempts of the request, from 0.
  EndpointId endpoint;                ///< Where it was sent.
  Phase phase = Phase::combined;      ///< What it does.
  Micros sentAt = 0;                  ///< When it was sent.
  Micros usefulUntil = 0;             ///< Until when the engine was told that its result is of use.
  bool mayNotHaveArrived = false;     ///< What it does not wait for is released beside it.
  bool hasStarted = false;            ///< The answer has begun.
  bool isConfirmedAlive = false;      ///< Its engine answered on another connection since.
  Micros firstTokenAt = 0;            ///< When the answer began.
  Micros lastTokenAt = 0;             ///< When its latest piece came.
  std::uint32_t tokens = 0;           ///< Tokens so far.
  timing::TimerKey timeoutTimer;      ///< Ends it where the answer does not begin.
  timing::TimerKey reservationTimer;  ///< Fires when the request's KV reservations are due for release.
};

/// A request that is not answered, or whose attempt is still in flight.
struct ActiveRequest {
  RequestId id;                                     ///< Number of the request in this router.
  Request request;                                  ///< What the client requests.
  Client* client = nullptr;                         ///< None once it has its completion, or has gone.
  Micros arrivedAt = 0;                             ///< On the monotonic clock.
  Micros usableUntil = 0;                           ///< When a completion has to be sent, at the latest.
  std::string traceId;                              ///< The name by which engines know it.
  int attemptCount = 0;                             ///< Attempts so far, those that were not made included.
  std::optional<InFlightAttempt> attempt;           ///< The one in flight.
  ExecutionHistory history;                         ///< Whether it may have been executed.
  std::optional<EndpointLocation> firstExecutedAt;  ///< Where it first may have been executed.
  std::string kvTransferParams;                     ///< Of the completed prefill, for a decode attempt.
  std::optional<EndpointId> kvEndpoint;             ///< Where the completed prefill left its KV cache state.
  std::string lastError;                            ///< Of an engine, for the completion's text.
  std::uint32_t nextTokenIndex = 0;                 ///< Tokens passed to the client so far.
  Usage usage;                                      ///< Token counts so far.
  timing::TimerKey streamTimer;                     ///< Next check of the stream.

  /// Whether the client has its completion, or has gone.
  bool isFinished() const { return client == nullptr; }
  /// Whether the answer has begun.
  bool hasAnswerBegun() const { return nextTokenIndex > 0; }
  /// Whether this attempt is in flight.
  bool isInFlight(int attemptNumber) const { return attempt && attempt->number == attemptNumber; }
  /// Whether a decode or combined attempt is in flight.
  bool isGenerating() const { return attempt && attempt->phase != Phase::prefill; }
};

}  // namespace garnethook::routing
