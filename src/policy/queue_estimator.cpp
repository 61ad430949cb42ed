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
  const Micros busySince = std::max(firstSentAt, endpoint.queue.prefillDoneAt_);
  return std::max(EstimatedTime::zero(), total - collaborators_.context.elapsedSince(busySince));
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
  const EstimatedTime roleMean = collaborators_.slowStart.isWarmingUp(endpoint)
                                     ? EstimatedTime::zero()
                                     : meanDelay_[roleIndex(endpoint.role)] * (1 - evidence) * (1 - evidence);
  const QueueRecord& queueRecord = endpoint.queue;
  return roleMean + (queueRecord.delay_ - roleMean) *
                        collaborators_.context.freshness(queueRecord.observedAt_, kObservationLifetime);
}

void QueueEstimator::observeDelay(Endpoint& endpoint, EstimatedTime time) const {
  endpoint.queue.delay_ = std::max(EstimatedTime::zero(), time);
  endpoint.queue.observedAt_ = collaborators_.context.now();
}

// Each queued token takes the time by the cost model's slope, scaled by the share of reported delays that
// prefills actually waited, since many queued tokens may be cached or computed in parallel. Time per token
// from the mean prefill would include the cost of its cached prefix in every token.
void QueueEstimator::observeReport(Endpoint& endpoint, const LoadReport& report) const {
  const auto& queued = report.queuedKiloTokens ? report.queuedKiloTokens : report.queuedRequests;
  endpoint.queue.reportsQueue_ = queued.has_value();
  if (!queued) return;
  const EstimatedTime perKiloToken =
      collaborators_.costModel.predict(2000, 0) - collaborators_.costModel.predict(1000, 0);
  const EstimatedTime timePerUnit = report.queuedKiloTokens ? perKiloToken : meanPrefillTime_;
  observeDelay(endpoint, reportReliability() * *queued * timePerUnit - ownBacklog(endpoint));
}

void QueueEstimator::observeReportedWait(const Endpoint& endpoint, const InFlightAttempt& attempt,
                                         EstimatedTime waited) {
  if (!endpoint.queue.reportsQueue_) return;
  reportedDelaySum_ += attempt.reportedDelay - reportedDelaySum_ / PrefillCostModel::kMemorySamples;
  waitedDelaySum_ += std::clamp(waited, EstimatedTime::zero(), attempt.reportedDelay) -
                     waitedDelaySum_ / PrefillCostModel::kMemorySamples;
}

void QueueEstimator::observeUnreportedWait(Endpoint& endpoint, EstimatedTime waited) const {
  if (!endpoint.queue.reportsQueue_) observeDelay(endpoint, (1 - collaborators_.sample.evidence()) * waited);
}

void QueueEstimator::recordPrefillDone(Endpoint& endpoint, EstimatedTime ownTime) {
  meanPrefillTime_ += meanPrefillTime_ == EstimatedTime::zero()
                          ? ownTime
                          : kMeanPrefillSampleWeight * (ownTime - meanPrefillTime_);
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
    const QueueRecord& queueRecord = endpoint->queue;
    const double weight = collaborators_.context.freshness(queueRecord.observedAt_,
                                                           kMeanLifetimeObjectives * smallestObjective_);
    meanDelay_[roleIndex(endpoint->role)] += weight * queueRecord.delay_;
    weights[roleIndex(endpoint->role)] += weight;
  }
  for (std::size_t role = 0; role < kRoleCount; ++role) meanDelay_[role] /= weights[role];
}

}  // namespace garnethook::policy
