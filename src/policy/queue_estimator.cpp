#include "policy/queue_estimator.h"

namespace garnethook::policy {

double QueueEstimator::ownBacklog(const Endpoint& endpoint) const {
  double total = 0;
  Micros firstSentAt = with_.context.now();
  for (const auto& [id, attempt] : endpoint.awaiting) {
    if (with_.timeouts.isStalled(attempt, AttemptTimeouts::kSilenceShare)) continue;
    total += attempt.prefillTime;
    if (attempt.prefillTime > 0) firstSentAt = std::min(firstSentAt, attempt.sentAt);
  }
  const Micros workingSince = std::max(firstSentAt, endpoint.queue.prefillDoneAt_);
  return std::max(0.0, total - with_.context.elapsedSince(workingSince));
}

double QueueEstimator::longestWait(const Endpoint& endpoint) const {
  double longest = 0;
  for (const auto& [id, attempt] : endpoint.awaiting)
    if (!with_.timeouts.isStalled(attempt, AttemptTimeouts::kSilenceShare))
      longest = std::max(longest, with_.context.elapsedSince(attempt.sentAt));
  return longest;
}

double QueueEstimator::delay(const Endpoint& endpoint) const {
  const double evidence = with_.sample.evidence();
  const double mean = with_.slowStart.isWarmingUp(endpoint)
                          ? 0
                          : meanDelay_[roleIndex(endpoint.role)] * (1 - evidence) * (1 - evidence);
  const QueueRecord& record = endpoint.queue;
  return mean + (record.delay_ - mean) * with_.context.freshness(record.observedAt_, kObservationLifetime);
}

void QueueEstimator::observeDelay(Endpoint& endpoint, double time) const {
  endpoint.queue.delay_ = std::max(0.0, time);
  endpoint.queue.observedAt_ = with_.context.now();
}

// Queued tokens cost the model's slope, as far as prefills sent there did wait for them: many may be cached
// or computed side by side. An average prefill would price a cached prefix into every token.
void QueueEstimator::observeReport(Endpoint& endpoint, const LoadReport& report) const {
  const auto& queued = report.queuedKiloTokens ? report.queuedKiloTokens : report.queuedRequests;
  endpoint.queue.reportsQueue_ = queued.has_value();
  if (!queued) return;
  const double perKiloToken = with_.costModel.predict(2000, 0) - with_.costModel.predict(1000, 0);
  const double timeEach = report.queuedKiloTokens ? perKiloToken : meanPrefillTime_;
  observeDelay(endpoint, believability() * *queued * timeEach - ownBacklog(endpoint));
}

void QueueEstimator::observeReportedWait(const Endpoint& endpoint, const InFlightAttempt& attempt,
                                         double waited) {
  if (!endpoint.queue.reportsQueue_) return;
  reported_ += attempt.reportedDelay - reported_ / PrefillCostModel::kMemory;
  waited_ += std::clamp(waited, 0.0, attempt.reportedDelay) - waited_ / PrefillCostModel::kMemory;
}

void QueueEstimator::observeUnreportedWait(Endpoint& endpoint, double waited) const {
  if (!endpoint.queue.reportsQueue_) observeDelay(endpoint, (1 - with_.sample.evidence()) * waited);
}

void QueueEstimator::recordPrefillDone(Endpoint& endpoint, double ownTime) {
  meanPrefillTime_ += meanPrefillTime_ == 0 ? ownTime : kMeanPrefillWeight * (ownTime - meanPrefillTime_);
  endpoint.queue.prefillDoneAt_ = with_.context.now();
}

void QueueEstimator::reset(Endpoint& endpoint) {
  endpoint.queue.reportsQueue_ = false;
  endpoint.queue.observedAt_ = 0;
}

void QueueEstimator::update() {
  std::array<double, kRoles> weights{1, 1, 1};
  meanDelay_ = {};
  for (const auto& [id, endpoint] : with_.registry.contacted()) {
    if (!endpoint->isListed) continue;
    const QueueRecord& record = endpoint->queue;
    const double weight = with_.context.freshness(record.observedAt_, kMeanLifetime * smallestObjective_);
    meanDelay_[roleIndex(endpoint->role)] += weight * record.delay_;
    weights[roleIndex(endpoint->role)] += weight;
  }
  for (std::size_t role = 0; role < kRoles; ++role) meanDelay_[role] /= weights[role];
}

}  // namespace garnethook::policy
