/// @file
/// Estimates the time of a request's prefill at an endpoint, with and without the queueing delay.
#pragma once

#include <algorithm>

#include "policy/prefill_cost_model.h"
#include "policy/prefix_cache_index.h"
#include "policy/queue_estimator.h"
#include "policy/speed_estimator.h"
#include "policy/traffic_sample.h"

namespace garnethook::policy {

/// Combines the estimates that apply to one prefill.
class PrefillEstimator {
 public:
  /// Components that the estimator uses.
  struct Collaborators {
    const PrefillCostModel& costModel;  ///< Prefill times by tokens.
    const PrefixCacheIndex& prefixes;   ///< Which prefixes are cached where.
    const QueueEstimator& queues;       ///< Queueing delay.
    const SpeedEstimator& speeds;       ///< Speed of endpoints.
    const TrafficSample& sample;        ///< Weight of this router's own observations.
  };
  /// The collaborators must outlive the estimator.
  explicit PrefillEstimator(const Collaborators& collaborators) : collaborators_(collaborators) {}

  /// Returns the time of the prefill alone at usual speed.
  EstimatedTime prefillTime(const TrackedRequest& request, const Endpoint& endpoint) const {
    const double weight = 1 - collaborators_.sample.evidence();
    return collaborators_.costModel.predict(
        request.promptTokensAt(endpoint.entry),
        collaborators_.prefixes.expectedCachedTokens(request, endpoint, weight));
  }
  /// Returns the time until the prefill is complete: queue and prefill, at the endpoint's speed. The longest
  /// wait of an attempt of this router is a lower bound of the queueing delay: where endpoints do not report
  /// their load, it is the earliest sign of the load of other routers.
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
