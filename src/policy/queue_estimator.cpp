#include "policy/queue_estimator.h"

namespace garnethook::policy {

EstimatedTime QueueEstimator::ownBacklog(const Endpoint& endpoint) const {
  EstimatedTime total = EstimatedTime::zero();
  Micros firstSentAt = collaborators_.context.now();
  for (const auto& [id, attempt] : endpoint.awaitingResponse) {
    if (collaborators_.timeouts.isStalled(attempt, AttemptTimeouts::kSilenceShare)) continue;
    total += attempt.prefillTime;
    if (attempt.prefillTime > EstimatedTime::zero()) firstSentAt = std::min(firstSentAt, attempt.sentAt);
  }
  const Micros workingSince = std::max(firstSentAt, endpoint.queue.prefillDoneAt_);
  return std::max(EstimatedTime::zero(), total - collaborators_.context.elapsedSince(workingSince));
}

EstimatedTime QueueEstimator::longestWait(const Endpoint& endpoint) const {
  EstimatedTime longest = EstimatedTime::zero();
  for (const auto& [id, attempt] : endpoint.awaitingResponse)
    if (!collaborators_.timeouts.isStalled(attempt, AttemptTimeouts::kSilenceShare))
      longest = std::max(longest, collaborators_.context.elapsedSince(attempt.sentAt));
  return longest;
}

EstimatedTime QueueEstimator::delay(const Endpoint& endpoint) const {
  const double evidence = collaborators_.sample.evidence();
  const EstimatedTime mean = collaborators_.slowStart.isWarmingUp(endpoint)
                                 ? EstimatedTime::zero()
                                 : meanDelay_[roleIndex(endpoint.role)] * (1 - evidence) * (1 - evidence);
  const QueueRecord& record = endpoint.queue;
  return mean +
         (record.delay_ - mean) * collaborators_.context.freshness(record.observedAt_, kObservationLifetime);
}

void QueueEstimator::observeDelay(Endpoint& endpoint, EstimatedTime time) const {
  endpoint.queue.delay_ = std::max(EstimatedTime::zero(), time);
  endpoint.queue.observedAt_ = collaborators_.context.now();
}

// Queued tokens cost the model's slope, as far as prefills sent there did wait for them: many may be cached
// or computed side by side. An average prefill would price a cached prefix into every token.
void QueueEstimator::observeReport(Endpoint& endpoint, const LoadReport& report) const {
  const auto& queued = report.queuedKiloTokens ? report.queuedKiloTokens : report.queuedRequests;
  endpoint.queue.reportsQueue_ = queued.has_value();
  if (!queued) return;
  const EstimatedTime perKiloToken =
      collaborators_.costModel.predict(2000, 0) - collaborators_.costModel.predict(1000, 0);
  const EstimatedTime timeEach = report.queuedKiloTokens ? perKiloToken : meanPrefillTime_;
  observeDelay(endpoint, believability() * *queued * timeEach - ownBacklog(endpoint));
}

void QueueEstimator::observeReportedWait(const Endpoint& endpoint, const InFlightAttempt& attempt,
                                         EstimatedTime waited) {
  if (!endpoint.queue.reportsQueue_) return;
  reported_ += attempt.reportedDelay - reported_ / PrefillCostModel::kMemory;
  waited_ +=
      std::clamp(waited, EstimatedTime::zero(), attempt.reportedDelay) - waited_ / PrefillCostModel::kMemory;
}

void QueueEstimator::observeUnreportedWait(Endpoint& endpoint, EstimatedTime waited) const {
  if (!endpoint.queue.reportsQueue_) observeDelay(endpoint, (1 - collaborators_.sample.evidence()) * waited);
}

void QueueEstimator::recordPrefillDone(Endpoint& endpoint, EstimatedTime ownTime) {
  meanPrefillTime_ +=
      meanPrefillTime_ == EstimatedTime::zero() ? ownTime : kMeanPrefillWeight * (ownTime - meanPrefillTime_);
  endpoint.queue.prefillDoneAt_ = collaborators_.context.now();
}

void QueueEstimator::reset(Endpoint& endpoint) {
  endpoint.queue.reportsQueue_ = false;
  endpoint.queue.observedAt_ = 0;
}

void QueueEstimator::update() {
  std::array<double, kRoleCount> weights{1, 1, 1};
  meanDelay_.fill(EstimatedTime::zero());
  for (const auto& [id, endpoint] : collaborators_.registry.contacted()) {
    if (!endpoint->isListed) continue;
    const QueueRecord& record = endpoint->queue;
    const double weight =
        collaborators_.context.freshness(record.observedAt_, kMeanLifetime * smallestObjective_);
    meanDelay_[roleIndex(endpoint->role)] += weight * record.delay_;
    weights[roleIndex(endpoint->role)] += weight;
  }
  for (std::size_t role = 0; role < kRoleCount; ++role) meanDelay_[role] /= weights[role];
}

}  // namespace garnethook::policy
