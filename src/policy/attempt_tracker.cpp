#include "policy/attempt_tracker.h"

#include <algorithm>

namespace garnethook::policy {

void AttemptTracker::recordSend(TrackedRequest& request, InFlightAttempt attempt) {
  const RequestId id = request.arrival.id;
  Endpoint& endpoint = with_.registry.at(attempt.endpoint);
  with_.registry.markContacted(attempt.endpoint, endpoint);
  attempt.number = request.attempts++;
  attempt.sentAt = with_.context.now();
  KvMemoryEstimator::add(endpoint, attempt.kvTokens);
  endpoint.awaiting.set(id, attempt);
  with_.outliers.recordSend(endpoint, id);
  with_.slowStart.recordSend(endpoint);
  with_.affinity.recordSend(request, attempt.prefillTime);
  request.attempt = attempt;
}

void AttemptTracker::recordStart(TrackedRequest& request) {
  InFlightAttempt& attempt = *request.attempt;
  attempt.started = true;
  attempt.startedAt = with_.context.now();
  request.kvStateAt.reset();
  Endpoint& endpoint = with_.registry.at(attempt.endpoint);
  recordResponse(endpoint, request.arrival.id, attempt);
  const double took = with_.context.elapsedSince(attempt.sentAt);
  with_.speeds.learn(endpoint, took / std::max(1.0, attempt.predictedTime));
  if (attempt.phase == Phase::combined) {
    const double alone = attempt.prefillTime + with_.firstTokens.baselineTime();
    with_.queues.observeDelay(endpoint, took - alone * with_.speeds.factor(endpoint));
  }
  if (attempt.phase == Phase::decode) with_.firstTokens.observe(endpoint, took);
}

void AttemptTracker::recordEnd(TrackedRequest& request, const AttemptEnded& event) {
  const RequestId id = request.arrival.id;
  const InFlightAttempt attempt = *request.attempt;
  request.attempt.reset();
  Endpoint& endpoint = with_.registry.at(attempt.endpoint);
  if (event.report) recordReport(endpoint, *event.report);
  KvMemoryEstimator::remove(endpoint, attempt.kvTokens);
  evaluate(request, endpoint, attempt, event);
  endpoint.awaiting.erase(id);
  with_.outliers.recordEnd(endpoint, id);
  if (event.reachedEndpoint) request.kvStateSince = with_.context.now();
  if (event.outcome == Outcome::prefillDone || event.outcome == Outcome::completed)
    with_.slowStart.recordCompletion(endpoint, request);
}

void AttemptTracker::recordReport(Endpoint& endpoint, const LoadReport& report) {
  with_.memory.observeReport(endpoint, report);
  with_.queues.observeReport(endpoint, report);
}

void AttemptTracker::recordResponse(Endpoint& endpoint, RequestId id, const InFlightAttempt& attempt) {
  const bool isFirstResponse = !attempt.started || attempt.startedAt == with_.context.now();
  if (isFirstResponse) with_.rejections.recordAcceptance(endpoint);
  endpoint.awaiting.erase(id);
  endpoint.awaiting.recordOvertaking(attempt);
  with_.outliers.recordResponse(endpoint, id);
}

void AttemptTracker::evaluate(TrackedRequest& request, Endpoint& endpoint, const InFlightAttempt& attempt,
                              const AttemptEnded& event) {
  OutlierDetector& outliers = with_.outliers;
  switch (event.outcome) {
    case Outcome::prefillDone: return evaluatePrefill(request, endpoint, attempt, event.cachedTokens);
    case Outcome::completed: return evaluateAnswer(request, endpoint, attempt, event.cachedTokens);
    case Outcome::rejected: return evaluateRejection(request, endpoint, attempt, event);
    case Outcome::notSent: return;
    case Outcome::connectFailed:
      outliers.recordFailure(attempt.endpoint, FailureReason::connectionFailed);
      break;
    case Outcome::connectionReset:
      // A prefill on a kept connection may go to the same endpoint again.
      if (event.reusedConnection && attempt.phase == Phase::prefill) return;
      if (!event.reusedConnection) outliers.recordFailure(attempt.endpoint, FailureReason::connectionReset);
      break;
    case Outcome::error: outliers.recordFailure(attempt.endpoint, FailureReason::error); break;
    case Outcome::cancelled:
      // A client that cancelled early tells nothing of the endpoint that had its request.
      if (request.cancelled && with_.context.elapsedSince(attempt.sentAt) <
                                   AttemptTimeouts::kPrefillMultiple * attempt.predictedTime)
        return;
      evaluateTimeout(request, endpoint, attempt);
      break;
    case Outcome::timedOut: evaluateTimeout(request, endpoint, attempt); break;
  }
  noteFailure(request, attempt, event.outcome);
}

void AttemptTracker::evaluatePrefill(TrackedRequest& request, Endpoint& endpoint,
                                     const InFlightAttempt& attempt, double cachedTokens) {
  const double tokens = request.promptTokensAt(endpoint.entry);
  const double speed = with_.speeds.factor(endpoint);
  const double took = with_.context.elapsedSince(attempt.sentAt);
  const double ownTime = with_.queues.ownPrefillTime(endpoint, attempt);
  with_.queues.observeReportedWait(endpoint, attempt,
                                   took - with_.costModel.predict(tokens, cachedTokens) * speed);
  with_.costModel.learn(tokens, cachedTokens, ownTime / speed);
  with_.queues.observeUnreportedWait(endpoint,
                                     ownTime - with_.costModel.predict(tokens, cachedTokens) * speed);
  with_.speeds.learn(endpoint, took / std::max(1.0, attempt.predictedTime / speed));
  with_.queues.recordPrefillDone(endpoint, ownTime);
  recordResponse(endpoint, request.arrival.id, attempt);
  with_.prefixes.recordPrefill(request, endpoint, attempt, cachedTokens);
  request.kvStateAt = endpoint.entry;
}

void AttemptTracker::evaluateAnswer(const TrackedRequest& request, Endpoint& endpoint,
                                    const InFlightAttempt& attempt, double cachedTokens) {
  recordResponse(endpoint, request.arrival.id, attempt);
  if (attempt.started)
    with_.firstTokens.observeStream(endpoint.role, with_.context.elapsedSince(attempt.startedAt));
  if (attempt.phase == Phase::combined)
    with_.prefixes.recordPrefill(request, endpoint, attempt, cachedTokens);
}

// A rejection is an answer: the endpoint lives. Where it found no KV state, that state has failed, by the end
// of its prefill endpoint, an outage or a release, so the rejecting endpoint is not blamed and the prompt is
// prefilled anew elsewhere.
void AttemptTracker::evaluateRejection(TrackedRequest& request, Endpoint& endpoint,
                                       const InFlightAttempt& attempt, const AttemptEnded& event) {
  if (event.reachedEndpoint) with_.outliers.recordActivity(endpoint);
  with_.outliers.invalidateOutages();
  if (event.kvStateMissing && request.kvStateAt) {
    request.failedEndpoints.push_back(request.kvStateAt->id);
    request.kvStateAt.reset();
    return;
  }
  with_.rejections.recordRejection(endpoint, attempt, with_.firstTokens.baselineTime());
  request.failedEndpoints.push_back(endpoint.entry.id);
}

void AttemptTracker::evaluateTimeout(TrackedRequest& request, Endpoint& endpoint,
                                     const InFlightAttempt& attempt) {
  // An endpoint that gave a sign since is slow, not failing.
  if (!OutlierDetector::wasActiveAfter(endpoint, attempt.sentAt))
    with_.outliers.recordFailure(attempt.endpoint, FailureReason::noResponse);
  const InFlightAttempt* awaiting = endpoint.awaiting.find(request.arrival.id);
  if (awaiting && with_.timeouts.isStalled(*awaiting, AttemptTimeouts::kSilenceShare)) return;
  with_.speeds.learn(endpoint, SpeedEstimator::kMaxFactor);
  const double waited = with_.context.elapsedSince(attempt.sentAt);
  if (attempt.phase == Phase::decode) {
    with_.firstTokens.observeFleet(waited);  // a bound from below
    request.slowCells.push_back(endpoint.entry.cell);
  } else {
    with_.queues.observeDelay(endpoint, waited - attempt.prefillTime * with_.speeds.factor(endpoint));
  }
}

void AttemptTracker::noteFailure(TrackedRequest& request, const InFlightAttempt& attempt, Outcome outcome) {
  request.failedEndpoints.push_back(attempt.endpoint);
  const bool possiblyExecuted = attempt.phase != Phase::prefill && outcome != Outcome::connectFailed;
  if (!possiblyExecuted || request.possiblyExecutedAt) return;
  request.possiblyExecutedAt = with_.registry.at(attempt.endpoint).entry;
  request.possiblyExecutedSince = attempt.sentAt;
}

}  // namespace garnethook::policy
