/// @file
/// Cost of a request's prefill at an endpoint: its own time, and the queue before it.
#pragma once

#include <algorithm>

#include "policy/prefill_cost_model.h"
#include "policy/prefix_cache_index.h"
#include "policy/queue_estimator.h"
#include "policy/speed_estimator.h"
#include "policy/traffic_sample.h"

namespace garnethook::policy {

/// Puts the estimates of one prefill together.
class PrefillEstimator {
 public:
  /// What the estimator works with.
  struct Collaborators {
    const PrefillCostModel& costModel;  ///< Time by tokens.
    const PrefixCacheIndex& prefixes;   ///< What is cached where.
    const QueueEstimator& queues;       ///< Queueing delay.
    const SpeedEstimator& speeds;       ///< Speed of endpoints.
    const TrafficSample& sample;        ///< Weight of own observations.
  };
  /// The collaborators must outlive the estimator.
  explicit PrefillEstimator(const Collaborators& collaborators) : collaborators_(collaborators) {}

  /// Time of the prefill itself at usual speed.
  EstimatedTime prefillTime(const TrackedRequest& request, const Endpoint& endpoint) const {
    const double weight = 1 - collaborators_.sample.evidence();
    return collaborators_.costModel.predict(
        request.promptTokensAt(endpoint.entry),
        collaborators_.prefixes.expectedCachedTokens(request, endpoint, weight));
  }
  /// Time until the prefill is complete: queue and prefill at the endpoint's speed. The longest wait of an
  /// own attempt there bounds the queue from below: where nobody reports, others' load shows in nothing else
  /// so early.
  EstimatedTime totalTime(const TrackedRequest& request, const Endpoint& endpoint) const {
    const double speed = collaborators_.speeds.factor(endpoint);
    const EstimatedTime queue =
        (collaborators_.queues.ownBacklog(endpoint) + collaborators_.queues.delay(endpoint)) * speed;
    return std::max(queue, collaborators_.queues.longestWait(endpoint)) +
           prefillTime(request, endpoint) * speed;
  }

 private:
  Collaborators collaborators_;
};

}  // namespace garnethook::policy
