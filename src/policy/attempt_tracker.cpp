#include "policy/attempt_tracker.h"

#include <algorithm>

namespace garnethook::policy {

void AttemptTracker::recordSend(TrackedRequest& request, InFlightAttempt attempt) {
  const RequestId id = request.arrival.id;
  Endpoint& endpoint = collaborators_.registry.at(attempt.endpoint);
  collaborators_.registry.markContacted(attempt.endpoint, endpoint);
  attempt.number = request.attempts++;
  attempt.sentAt = collaborators_.context.now();
  KvMemoryEstimator::add(endpoint, attempt.kvTokens);
  endpoint.awaitingResponse.set(id, attempt);
  collaborators_.outliers.recordSend(endpoint, id);
  collaborators_.slowStart.recordSend(endpoint);
  collaborators_.affinity.recordSend(request, attempt.prefillTime);
  request.attempt = attempt;
}

void AttemptTracker::recordStart(TrackedRequest& request) {
  InFlightAttempt& attempt = *request.attempt;
  attempt.started = true;
  attempt.startedAt = collaborators_.context.now();
  request.kvStateAt.reset();
  Endpoint& endpoint = collaborators_.registry.at(attempt.endpoint);
  recordResponse(endpoint, request.arrival.id, attempt);
  const EstimatedTime elapsed = collaborators_.context.elapsedSince(attempt.sentAt);
  collaborators_.speeds.learn(endpoint, elapsed / std::max(EstimatedTime(1), attempt.predictedTime));
  if (attempt.phase == Phase::combined) {
    const EstimatedTime unqueuedTime = attempt.prefillTime + collaborators_.firstTokens.baselineTime();
    collaborators_.queues.observeDelay(endpoint,
                                       elapsed - unqueuedTime * collaborators_.speeds.factor(endpoint));
  }
  if (attempt.phase == Phase::decode) collaborators_.firstTokens.observe(endpoint, elapsed);
}

void AttemptTracker::recordEnd(TrackedRequest& request, const AttemptEnded& event) {
  const RequestId id = request.arrival.id;
  const InFlightAttempt attempt = *request.attempt;
  request.attempt.reset();
  Endpoint& endpoint = collaborators_.registry.at(attempt.endpoint);
  if (event.report) recordReport(endpoint, *event.report);
  KvMemoryEstimator::remove(endpoint, attempt.kvTokens);
  handleOutcome(request, endpoint, attempt, event);
  endpoint.awaitingResponse.erase(id);
  collaborators_.outliers.recordEnd(endpoint, id);
  if (event.reachedEndpoint) request.kvStateSince = collaborators_.context.now();
  if (event.outcome == Outcome::prefillDone || event.outcome == Outcome::completed)
    collaborators_.slowStart.recordCompletion(endpoint, request);
}

void AttemptTracker::recordReport(Endpoint& endpoint, const LoadReport& report) {
  collaborators_.memory.observeReport(endpoint, report);
  collaborators_.queues.observeReport(endpoint, report);
}

void AttemptTracker::recordResponse(Endpoint& endpoint, RequestId id, const InFlightAttempt& attempt) {
  const bool isFirstResponse = !attempt.started || attempt.startedAt == collaborators_.context.now();
  if (isFirstResponse) collaborators_.rejections.recordAcceptance(endpoint);
  endpoint.awaitingResponse.erase(id);
  endpoint.awaitingResponse.recordOvertaking(attempt);
  collaborators_.outliers.recordResponse(endpoint, id);
}

void AttemptTracker::handleOutcome(TrackedRequest& request, Endpoint& endpoint,
                                   const InFlightAttempt& attempt, const AttemptEnded& event) {
  OutlierDetector& outliers = collaborators_.outliers;
  switch (event.outcome) {
    case Outcome::prefillDone: return handlePrefillDone(request, endpoint, attempt, event.cachedTokens);
    case Outcome::completed: return handleCompletion(request, endpoint, attempt, event.cachedTokens);
    case Outcome::rejected: return handleRejection(request, endpoint, attempt, event);
    case Outcome::notSent: return;
    case Outcome::connectFailed:
      outliers.recordFailure(attempt.endpoint, FailureReason::connectionFailed);
      break;
    case Outcome::connectionReset:
      // The reset of a reused connection does not imply a failing endpoint, so a prefill may be retried
      // there.
      if (event.reusedConnection && attempt.phase == Phase::prefill) return;
      if (!event.reusedConnection) outliers.recordFailure(attempt.endpoint, FailureReason::connectionReset);
      break;
    case Outcome::error: outliers.recordFailure(attempt.endpoint, FailureReason::error); break;
    case Outcome::cancelled:
      // An early cancellation by the client is no evidence about the endpoint's speed.
      if (request.cancelled && collaborators_.context.elapsedSince(attempt.sentAt) <
                                   AttemptTimeouts::kPrefillMultiple * attempt.predictedTime)
        return;
      handleTimeout(request, endpoint, attempt);
      break;
    case Outcome::timedOut: handleTimeout(request, endpoint, attempt); break;
  }
  recordFailedAttempt(request, attempt, event.outcome);
}

void AttemptTracker::handlePrefillDone(TrackedRequest& request, Endpoint& endpoint,
                                       const InFlightAttempt& attempt, double cachedTokens) {
  const double tokens = request.promptTokensAt(endpoint.entry);
  const double speed = collaborators_.speeds.factor(endpoint);
  const EstimatedTime elapsed = collaborators_.context.elapsedSince(attempt.sentAt);
  const EstimatedTime prefillDuration = collaborators_.queues.ownPrefillTime(endpoint, attempt);
  collaborators_.queues.observeReportedWait(
      endpoint, attempt, elapsed - collaborators_.costModel.predict(tokens, cachedTokens) * speed);
  collaborators_.costModel.learn(tokens, cachedTokens, prefillDuration / speed);
  collaborators_.queues.observeUnreportedWait(
      endpoint, prefillDuration - collaborators_.costModel.predict(tokens, cachedTokens) * speed);
  collaborators_.speeds.learn(endpoint, elapsed / std::max(EstimatedTime(1), attempt.predictedTime / speed));
  collaborators_.queues.recordPrefillDone(endpoint, prefillDuration);
  recordResponse(endpoint, request.arrival.id, attempt);
  collaborators_.prefixes.recordPrefill(request, endpoint, attempt, cachedTokens);
  request.kvStateAt = endpoint.entry;
}

void AttemptTracker::handleCompletion(const TrackedRequest& request, Endpoint& endpoint,
                                      const InFlightAttempt& attempt, double cachedTokens) {
  recordResponse(endpoint, request.arrival.id, attempt);
  if (attempt.started)
    collaborators_.firstTokens.observeStream(endpoint.role,
                                             collaborators_.context.elapsedSince(attempt.startedAt));
  if (attempt.phase == Phase::combined)
    collaborators_.prefixes.recordPrefill(request, endpoint, attempt, cachedTokens);
}

// A rejection counts as activity, since the endpoint responded. If the endpoint found no KV state, that state
// was lost because its prefill endpoint stopped, an outage made it unreachable or it was released. The
// prefill endpoint is then recorded as failed instead of the rejecting one, and the prompt is prefilled again
// elsewhere.
void AttemptTracker::handleRejection(TrackedRequest& request, Endpoint& endpoint,
                                     const InFlightAttempt& attempt, const AttemptEnded& event) {
  if (request.uncountedRejections < collaborators_.settings.maxUncountedRejections)
    ++request.uncountedRejections;
  if (event.reachedEndpoint) collaborators_.outliers.recordActivity(endpoint);
  collaborators_.outliers.invalidateOutages();
  if (event.kvStateMissing && request.kvStateAt) {
    request.failedEndpoints.push_back(request.kvStateAt->id);
    request.kvStateAt.reset();
    return;
  }
  collaborators_.rejections.recordRejection(endpoint, attempt, collaborators_.firstTokens.baselineTime());
  request.failedEndpoints.push_back(endpoint.entry.id);
}

void AttemptTracker::handleTimeout(TrackedRequest& request, Endpoint& endpoint,
                                   const InFlightAttempt& attempt) {
  // An endpoint that was active after the send is slow, not failing.
  if (!OutlierDetector::wasActiveAfter(endpoint, attempt.sentAt))
    collaborators_.outliers.recordFailure(attempt.endpoint, FailureReason::noResponse);
  const InFlightAttempt* awaitingAttempt = endpoint.awaitingResponse.find(request.arrival.id);
  if (awaitingAttempt && collaborators_.timeouts.isStalled(*awaitingAttempt, AttemptTimeouts::kSilenceShare))
    return;
  collaborators_.speeds.learn(endpoint, SpeedEstimator::kMaxFactor);
  const EstimatedTime waited = collaborators_.context.elapsedSince(attempt.sentAt);
  if (attempt.phase == Phase::decode) {
    collaborators_.firstTokens.observeFleet(waited);  // a lower bound of the time to first token
    request.slowCells.push_back(endpoint.entry.cell);
  } else {
    collaborators_.queues.observeDelay(endpoint,
                                       waited - attempt.prefillTime * collaborators_.speeds.factor(endpoint));
  }
}

void AttemptTracker::recordFailedAttempt(TrackedRequest& request, const InFlightAttempt& attempt,
                                         Outcome outcome) {
  request.failedEndpoints.push_back(attempt.endpoint);
  const bool possiblyExecuted = attempt.phase != Phase::prefill && outcome != Outcome::connectFailed;
  if (!possiblyExecuted || request.possiblyExecutedAt) return;
  request.possiblyExecutedAt = collaborators_.registry.at(attempt.endpoint).entry;
  request.possiblyExecutedSince = attempt.sentAt;
}

}  // namespace garnethook::policy
