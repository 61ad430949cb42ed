/// @file
/// Selection of the endpoint that executes a request's prefill.
#pragma once

#include "policy/candidate_finder.h"
#include "policy/decision_context.h"
#include "policy/prefill_estimator.h"
#include "policy/prefix_cache_index.h"
#include "policy/rejection_estimator.h"

namespace garnethook::policy {

/// Selects where queue and prefill together take least. A prefix that is cached nowhere goes to an affinity
/// endpoint, where other routers send it as well, unless the queue there is long.
class PrefillSelector {
 public:
  /// What the selector works with.
  struct Collaborators {
    const DecisionContext& context;        ///< The time.
    const EndpointRegistry& registry;      ///< Endpoints.
    const CandidateFinder& candidates;     ///< Which may be chosen.
    const PrefillEstimator& prefills;      ///< What a prefill costs.
    const PrefixCacheIndex& prefixes;      ///< What is cached where.
    const RejectionEstimator& rejections;  ///< What rejections cost.
  };
  /// `routerHashKey`: this router's own order of the endpoints; `smallestObjective`: the smallest TTFT
  /// objective of all classes.
  PrefillSelector(const Collaborators& collaborators, PrefixKey routerHashKey,
                  EstimatedTime smallestObjective)
      : collaborators_(collaborators), routerHashKey_(routerHashKey), smallestObjective_(smallestObjective) {}

  /// The endpoint of a role that should execute the prefill, or nullptr.
  const Endpoint* select(const TrackedRequest& request, Role role) const {
    const Endpoint* selected = selectFrom(request, collaborators_.candidates.find(request, role));
    // Where the usual candidates of a large role are late, more of them are considered.
    if (!selected || !collaborators_.registry.isLarge(role) || isQuick(request, *selected)) return selected;
    return selectFrom(
        request, collaborators_.candidates.find(request, role, nullptr, CandidateFinder::kSampledWhenLate));
  }

 private:
  // Of the time left to the objective: what queue and prefill at an affinity endpoint may take.
  static constexpr double kAffinityTimeShare = 0.6;
  // Smallest objectives: an affinity endpoint that rejects for longer is one candidate among others.
  static constexpr double kAffinityRejectionShare = 0.1;

  bool isQuick(const TrackedRequest& request, const Endpoint& endpoint) const {
    const EstimatedTime left = toEstimate(request.objectiveAt - collaborators_.context.now());
    return collaborators_.prefills.totalTime(request, endpoint) <= kAffinityTimeShare * left;
  }
  const Endpoint* selectFrom(const TrackedRequest& request, const Candidates& candidates) const;

  Collaborators collaborators_;
  PrefixKey routerHashKey_;
  EstimatedTime smallestObjective_;
};

}  // namespace garnethook::policy
