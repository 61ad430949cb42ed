#include "policy/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace garnethook::policy {
namespace {

struct FailureDetails {
  double score;
  const char* text;
};

FailureDetails detailsOf(FailureReason reason) {
  switch (reason) {
    case FailureReason::connectionFailed: return {1, "connection failed"};
    case FailureReason::connectionReset: return {0.6, "connection reset"};
    case FailureReason::error: return {0.4, "error"};
    case FailureReason::noResponse: return {0.6, "no response"};
    case FailureReason::healthCheckFailed: return {1, "health check failed"};
  }
  return {0, ""};
}

}  // namespace

void OutlierDetector::recordFailure(EndpointId id, FailureReason reason) {
  const FailureDetails failure = detailsOf(reason);
  Endpoint& endpoint = collaborators_.registry.at(id);
  collaborators_.registry.markContacted(id, endpoint);
  invalidateOutages();
  const Micros now = collaborators_.context.now();
  HealthRecord& health = endpoint.health;
  health.failureScore_ =
      health.failureScore_ *
          std::exp(-collaborators_.context.elapsedSince(health.failureScoreAt_) / kScoreLifetime) +
      failure.score;
  health.failureScoreAt_ = now;
  if (health.failureScore_ < kScoreToEject) return;
  if (!health.ejected_) log(id, "ejected", failure.text);
  health.trialDelay_ = std::max(health.trialDelay_, kMinTrialDelay);
  if (health.ejected_ && now >= health.nextTrialAt_)
    health.trialDelay_ = std::min(2 * health.trialDelay_, kMaxTrialDelay);
  health.ejected_ = true;
  ejected_.insert(id);
  health.probeSucceeded_ = false;
  health.nextTrialAt_ =
      now + health.trialDelay_ +
      toMicros(toEstimate(health.trialDelay_) * kTrialDelayJitter * collaborators_.context.uniform());
}

void OutlierDetector::recordResponse(Endpoint& endpoint, RequestId request) {
  recordEnd(endpoint, request);
  recordActivity(endpoint);
  reinstate(endpoint);
}

void OutlierDetector::recordSend(Endpoint& endpoint, RequestId request) {
  if (endpoint.health.ejected_) endpoint.health.trialRequest_ = request;
  invalidateOutages();
}

void OutlierDetector::recordEnd(Endpoint& endpoint, RequestId request) {
  invalidateOutages();
  if (endpoint.health.trialRequest_ == request) endpoint.health.trialRequest_.reset();
}

void OutlierDetector::recordProbe(EndpointId id, Endpoint& endpoint, bool ok) {
  endpoint.health.probeInFlight_ = false;
  endpoint.health.probeSucceeded_ = ok;
  if (!ok) recordFailure(id, FailureReason::healthCheckFailed);
}

void OutlierDetector::reinstate(Endpoint& endpoint) {
  HealthRecord& health = endpoint.health;
  if (health.ejected_) log(endpoint.entry.id, "reinstated", "it answered");
  invalidateOutages();
  ejected_.erase(endpoint.entry.id);
  health.ejected_ = false;
  health.failureScore_ = 0;
  health.trialDelay_ = kMinTrialDelay;
}

void OutlierDetector::sendProbes() {
  if (!collaborators_.settings.canProbe) return;
  for (const auto& [id, endpoint] : collaborators_.registry.contacted()) {
    if (!needsProbe(*endpoint)) continue;
    endpoint->health.probeInFlight_ = true;
    collaborators_.context.emit(Probe{id});
  }
}

void OutlierDetector::eraseRemoved() {
  std::erase_if(ejected_, [this](EndpointId id) { return collaborators_.registry.find(id) == nullptr; });
}

bool OutlierDetector::isTrialAllowed(const Endpoint& endpoint, const TrackedRequest& request) const {
  const HealthRecord& health = endpoint.health;
  const bool isProbed = !collaborators_.settings.canProbe || health.probeSucceeded_;
  return isProbed && !health.trialRequest_ && collaborators_.context.now() >= health.nextTrialAt_ &&
         request.requestClass.idempotency == Idempotency::idempotent && request.attempts == 0;
}

bool OutlierDetector::isUnresponsive(const Endpoint& endpoint) const {
  const DecisionContext& context = collaborators_.context;
  const Micros activeAt = endpoint.health.lastActivityAt_;
  const auto& awaitingAttempts = endpoint.awaitingResponse;
  constexpr double kSilenceTimeoutShare = AttemptTimeouts::kSilenceShare;
  if (awaitingAttempts.empty() ||
      context.elapsedSince(activeAt) <= kSilenceTimeoutShare * collaborators_.timeouts.baseTimeout())
    return false;
  return std::any_of(awaitingAttempts.begin(), awaitingAttempts.end(), [&](const auto& item) {
    const InFlightAttempt& attempt = item.second;
    return activeAt <= attempt.sentAt &&
           context.elapsedSince(attempt.sentAt) >
               kSilenceTimeoutShare * collaborators_.timeouts.usualTimeout(attempt);
  });
}

bool OutlierDetector::hasOutage(std::size_t zone) const {
  if (zone == collaborators_.settings.ownZone || collaborators_.settings.zones < 2) return false;
  const auto [cached, isNew] = outages_.try_emplace(zone, false);
  if (isNew) cached->second = detectOutage(zone);
  return cached->second;
}

bool OutlierDetector::detectOutage(std::size_t zone) const {
  const double minFailing = kMinOutageShare * countAsDouble(collaborators_.registry.listedCountInZone(zone));
  // An unresponsive endpoint has an attempt in flight, so this is an upper bound of the failing endpoints.
  const double maxFailing = countAsDouble(ejected_.size() + collaborators_.requests.size());
  if (maxFailing < std::max(static_cast<double>(kMinOutageEndpoints), minFailing)) return false;
  int failing = 0;
  for (const auto& [id, endpoint] : collaborators_.registry.contacted())
    if (endpoint->isListed && endpoint->entry.zone == zone)
      failing += endpoint->health.ejected_ || isUnresponsive(*endpoint) ? 1 : 0;
  return failing >= kMinOutageEndpoints && failing >= minFailing;
}

bool OutlierDetector::needsProbe(const Endpoint& endpoint) const {
  const HealthRecord& health = endpoint.health;
  return health.ejected_ && endpoint.isListed && !health.probeInFlight_ && !health.probeSucceeded_ &&
         collaborators_.context.now() >= health.nextTrialAt_;
}

void OutlierDetector::log(EndpointId id, const char* change, const char* reason) {
  collaborators_.context.emit(Log{"endpoint " + std::to_string(id.value) + " " + change + ": " + reason});
}

}  // namespace garnethook::policy
