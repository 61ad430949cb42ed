/// @file
/// Selects the endpoint that executes a request's prefill.
#pragma once

#include "policy/candidate_finder.h"
#include "policy/decision_context.h"
#include "policy/prefill_estimator.h"
#include "policy/prefix_cache_index.h"
#include "policy/rejection_estimator.h"

namespace garnethook::policy {

/// Selects the endpoint with the shortest predicted time for queue and prefill together. A request whose
/// prefix is not known to be cached goes to an affinity endpoint, where other routers send the prefix as
/// well, unless the queue there is long.
class PrefillSelector {
 public:
  /// Components that the selector uses.
  struct Collaborators {
    const DecisionContext& context;        ///< Current time.
    const EndpointRegistry& registry;      ///< All known endpoints.
    const CandidateFinder& candidates;     ///< Which endpoints may be selected.
    const PrefillEstimator& prefills;      ///< Prefill and queueing times.
    const PrefixCacheIndex& prefixes;      ///< Which prefixes are cached where.
    const RejectionEstimator& rejections;  ///< Expected time lost to rejections.
  };
  /// `routerKey`: hash key of this router's own order of the endpoints; `smallestObjective`: the smallest
  /// TTFT objective of all classes.
  PrefillSelector(const Collaborators& collaborators, PrefixKey routerKey, EstimatedTime smallestObjective)
      : collaborators_(collaborators), routerKey_(routerKey), smallestObjective_(smallestObjective) {}

  /// Returns the endpoint of a role that should execute the prefill, or nullptr.
  const Endpoint* select(const TrackedRequest& request, Role role) const {
    const Endpoint* selected = selectFrom(request, collaborators_.candidates.find(request, role));
    // If the best of the usual candidates of a large role is late, a larger sample is considered.
    if (!selected || !collaborators_.registry.isLarge(role) || hasTimeMargin(request, *selected))
      return selected;
    return selectFrom(request, collaborators_.candidates.find(request, role, nullptr,
                                                              CandidateFinder::kSampleSizeWhenLate));
  }

 private:
  // Share of the time left to the TTFT objective that queue and prefill at an affinity endpoint may take.
  static constexpr double kAffinityTimeShare = 0.6;
  // Share of the smallest TTFT objective. An affinity endpoint whose rejections are expected to cost more
  // time gets no preference over the other candidates.
  static constexpr double kAffinityRejectionShare = 0.1;

  bool hasTimeMargin(const TrackedRequest& request, const Endpoint& endpoint) const {
    const EstimatedTime left = toEstimate(request.objectiveAt - collaborators_.context.now());
    return collaborators_.prefills.totalTime(request, endpoint) <= kAffinityTimeShare * left;
  }
  const Endpoint* selectFrom(const TrackedRequest& request, const Candidates& candidates) const;

  Collaborators collaborators_;
  PrefixKey routerKey_;
  EstimatedTime smallestObjective_;
};

}  // namespace garnethook::policy
