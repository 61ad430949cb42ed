#include "routing/attempt_runner.h"

#include <algorithm>
#include <utility>

#include "routing/completion_builder.h"

namespace garnethook::routing {
namespace {

// Returns whether the engine may still work on an attempt that has ended at the router because its response
// was lost or is unusable. A decode attempt that received a response no longer waits for KV state.
bool mayContinueAtEngine(const InFlightAttempt& attempt, const AttemptResult& result) {
  if (attempt.hasStarted || result.badRequest || provesNotExecuted(result.outcome)) return false;
  switch (result.outcome) {
    case Outcome::prefillDone:
    case Outcome::completed: return false;
    case Outcome::error: return attempt.phase == Phase::prefill;
    default: return true;
  }
}

}  // namespace

void AttemptRunner::start(ActiveRequest& active, const Send& send) {
  InFlightAttempt attempt{.number = active.attemptCount++,
                          .endpoint = send.endpoint,
                          .phase = deps_.endpoints.phaseAt(send.endpoint, active.kvEndpoint.has_value()),
                          .sentAt = context_.timers.now()};
  ++context_.counters.attempts;
  active.usage.attempts = static_cast<std::uint32_t>(active.attemptCount);
  const auto releaseDueAt = deps_.reservations.tracker().releaseDueAt(active.id);
  startTimers({active.id, attempt.number}, attempt, send.timeout, releaseDueAt);
  active.attempt = attempt;
  if (attempt.phase == Phase::prefill)
    deps_.reservations.onPrefillSent(active, attempt.endpoint, attempt.sentAt);
  const AttemptSpec spec = makeSpec(active, send.timeout, releaseDueAt.has_value());
  active.attempt->engineDeadline = attempt.sentAt + spec.timeout;
  context_.observer.onAttempt(spec);
  context_.engines.begin(spec);
}

void AttemptRunner::startTimers(AttemptId id, InFlightAttempt& attempt, Micros timeout,
                                const std::optional<Micros>& releaseDueAt) {
  if (timeout > 0) attempt.timeoutTimer = context_.timers.after(timeout, [this, id] { onTimeout(id); });
  if (releaseDueAt)
    attempt.reservationTimer = context_.timers.after(std::max<Micros>(0, *releaseDueAt - attempt.sentAt),
                                                     [this, id] { onReleaseDue(id); });
}

AttemptSpec AttemptRunner::makeSpec(const ActiveRequest& active, Micros timeout, bool isReleaseDue) const {
  const InFlightAttempt& attempt = *active.attempt;
  const RequestClass& requestClass = deps_.rules.classOf(active);
  const bool isPrefill = attempt.phase == Phase::prefill;
  AttemptSpec spec;
  spec.attempt = {active.id, attempt.number};
  spec.endpoint = attempt.endpoint;
  spec.phase = attempt.phase;
  spec.request = &active.request;
  spec.traceId = active.traceId;
  if (attempt.phase == Phase::decode) spec.kvTransferParams = active.kvTransferParams;
  spec.nonRepeatable = !isPrefill && !mayReject(requestClass, {.possiblyExecuted = true});
  // If this prefill does not reach its endpoint in time, the reservation of an earlier one is released. A new
  // connection is less likely to be dead than a reused one.
  spec.requiresNewConnection = isPrefill && isReleaseDue;
  spec.timeout = timeout > 0 ? timeout : active.completionDeadline - attempt.sentAt;
  spec.sendBy = retryUntil(requestClass, active.history);
  return spec;
}

void AttemptRunner::onTimeout(AttemptId id) {
  ActiveRequest* active = deps_.requests.findUnstarted(id);
  if (active != nullptr) end(*active, Outcome::timedOut, false);
}

// Rule 5: the request's reservations are due for release, and the attempt in flight may not have reached its
// endpoint.
// - If it is not fully written on an established connection, it ends. Before a prefill ends, all reservations
//   of the request are released.
// - If its connection, new or reused, has been silent since, it may be dead. The attempt continues, and the
//   state that it does not wait for is released. Neither an established connection nor a response of the
//   engine on another one proves that the request has arrived.
//
// Prevents reservations from outliving the release timeout when connections become silent, above all in a
// zone outage.
void AttemptRunner::onReleaseDue(AttemptId id) {
  ActiveRequest* active = deps_.requests.findUnstarted(id);
  if (active == nullptr) return;
  const DeliveryState delivery = context_.engines.deliveryState(id);
  context_.observer.onReleaseDue(id, active->attempt->endpoint, delivery);
  if (delivery == DeliveryState::confirmed) return;
  if (delivery == DeliveryState::written)
    return deps_.reservations.releaseDuringAttempt(id.request, *active->attempt);
  if (active->attempt->phase == Phase::prefill) deps_.reservations.release(id.request);
  end(*active, Outcome::connectFailed, false);
}

// Returns whether the attempt certainly reached its endpoint, so that the release timeout of the request's
// reservations restarts when the attempt ends.
bool AttemptRunner::hasReachedEndpoint(AttemptId id, const InFlightAttempt& attempt) const {
  return attempt.hasStarted || context_.engines.deliveryState(id) == DeliveryState::confirmed;
}

// Removes the attempt in flight from the request, cancels its timers and returns it.
InFlightAttempt AttemptRunner::takeAttempt(ActiveRequest& active) {
  const InFlightAttempt attempt = *std::exchange(active.attempt, std::nullopt);
  context_.timers.cancel(attempt.timeoutTimer);
  context_.timers.cancel(attempt.reservationTimer);
  context_.timers.cancel(active.streamTimer);
  return attempt;
}

void AttemptRunner::end(ActiveRequest& active, Outcome outcome, bool requestEnded) {
  const AttemptId id{active.id, active.attempt->number};
  const bool wasDelivered = hasReachedEndpoint(id, *active.attempt);
  const bool mayHaveBeenDelivered = context_.engines.deliveryState(id) != DeliveryState::undelivered;
  context_.engines.cancel(id);
  const InFlightAttempt attempt = takeAttempt(active);
  if (wasDelivered) deps_.reservations.tracker().onAttemptEnded(id.request, context_.timers.now());
  if (mayHaveBeenDelivered && !attempt.hasStarted) deps_.reservations.onAttemptAbandoned(id.request, attempt);
  ++context_.counters.outcomes[outcome];
  const bool isPossiblyExecuted =
      !provesNotExecuted(outcome) || (outcome == kNeutralOutcome && attempt.hasStarted);
  if (attempt.phase != Phase::prefill && isPossiblyExecuted)
    deps_.rules.recordPossibleExecution(active, attempt);
  context_.observer.onAttemptEnded(
      id, attempt.endpoint,
      {.outcome = outcome, .text = "ended by the router", .response = {.events = attempt.tokens}});
  deps_.events.enqueue(AttemptEnded{.id = id.request,
                                    .attempt = attempt.number,
                                    .endpoint = attempt.endpoint,
                                    .outcome = outcome,
                                    .requestEnded = requestEnded,
                                    .reachedEndpoint = wasDelivered});
}

void AttemptRunner::onAttemptEnded(AttemptId id, const AttemptResult& result) {
  ActiveRequest* active = deps_.requests.findInFlight(id);
  if (active == nullptr) {
    ++context_.counters.lateEvents;
    return;
  }
  const InFlightAttempt attempt = takeAttempt(*active);
  const bool wasDelivered = result.anyBytesReceived && result.outcome != Outcome::connectFailed;
  if (wasDelivered) deps_.reservations.tracker().onAttemptEnded(id.request, context_.timers.now());
  if (mayContinueAtEngine(attempt, result)) deps_.reservations.onAttemptAbandoned(id.request, attempt);
  ++context_.counters.outcomes[result.outcome];
  context_.observer.onAttemptEnded(id, attempt.endpoint, result);
  if (!result.text.empty()) active->lastError = result.text;
  if (attempt.phase != Phase::prefill && !provesNotExecuted(result.outcome))
    deps_.rules.recordPossibleExecution(*active, attempt);
  recordUsage(*active, attempt, result);
  AttemptEnded event{.id = id.request,
                     .attempt = id.number,
                     .endpoint = attempt.endpoint,
                     .outcome = result.outcome,
                     .cachedTokens = result.cachedTokens,
                     .kvStateMissing = result.kvStateMissing,
                     .reusedConnection = result.reusedConnection,
                     .reachedEndpoint = wasDelivered,
                     .report = result.report};
  applyResult(*active, attempt, result, event);
  deps_.events.enqueue(event);
}

void AttemptRunner::recordUsage(ActiveRequest& active, const InFlightAttempt& attempt,
                                const AttemptResult& result) {
  if (result.promptTokens > 0) {
    active.usage.promptTokens = result.promptTokens;
    if (attempt.phase != Phase::decode)
      context_.observer.onPromptTokensReported(attempt.endpoint, active.request, result.promptTokens);
  }
  if (result.cachedTokens > 0) active.usage.cachedTokens = static_cast<std::uint32_t>(result.cachedTokens);
}

// Applies the result to the request. May complete the request, and `active` may be erased afterwards.
void AttemptRunner::applyResult(ActiveRequest& active, const InFlightAttempt& attempt,
                                const AttemptResult& result, AttemptEnded& event) {
  switch (result.outcome) {
    case Outcome::prefillDone:
      active.kvEndpoint = attempt.endpoint;
      active.kvTransferParams = result.kvTransferParams;
      return;
    case Outcome::completed: event.requestEnded = true; return applyCompleted(active, attempt, result);
    default: return applyFailure(active, attempt, result, event);
  }
}

void AttemptRunner::applyCompleted(ActiveRequest& active, const InFlightAttempt& attempt,
                                   const AttemptResult& result) {
  if (attempt.phase == Phase::decode && active.kvEndpoint) {  // the response contained no tokens
    deps_.reservations.tracker().onTransferred(active.id, *active.kvEndpoint, context_.timers.now());
    active.kvEndpoint.reset();
  }
  active.usage.outputTokens = std::max(result.outputTokens, active.nextTokenIndex);
  if (active.isFinished()) return;
  deps_.completer.complete(
      active,
      {.disposition = Disposition::completed, .finishReason = result.finishReason, .usage = active.usage});
}

void AttemptRunner::applyFailure(ActiveRequest& active, const InFlightAttempt& attempt,
                                 const AttemptResult& result, AttemptEnded& event) {
  if (attempt.phase == Phase::prefill && provesNotExecuted(result.outcome))
    deps_.reservations.tracker().onNoReservation(active.id, attempt.endpoint);
  if (result.kvStateMissing) active.kvEndpoint.reset();
  if (!result.badRequest && !attempt.hasStarted) return;  // the policy decides whether to retry
  event.requestEnded = true;
  if (result.badRequest) event.outcome = kNeutralOutcome;
  if (active.isFinished()) return;
  deps_.completer.complete(
      active, result.badRequest ? badRequestCompletion(result.text) : streamBrokenCompletion(result.text));
}

}  // namespace garnethook::routing
