/// @file
/// Which endpoints a request may be sent to.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "policy/endpoint_registry.h"
#include "policy/outlier_detector.h"
#include "policy/prefix_cache_index.h"
#include "policy/rejection_estimator.h"
#include "policy/retry_policy.h"
#include "policy/slow_start.h"

namespace garnethook::policy {

/// Some endpoints that a selector chooses from.
using Candidates = EndpointRegistry::Group;

/// The candidate with the lowest score, or nullptr. Ties go by rendezvous hash of `tieKey`: a key that is
/// equal at all routers, or a router's own order, so that many routers that know nothing don't choose alike.
template <class Score>
const Endpoint* lowestScore(const Candidates& candidates, PrefixKey tieKey, Score score) {
  const Endpoint* best = nullptr;
  std::pair<decltype(score(std::declval<const Endpoint&>())), std::uint64_t> lowest;
  for (const Endpoint* endpoint : candidates) {
    const std::pair rank{score(*endpoint), ~rendezvousHash(tieKey, endpoint->entry.id)};
    if (best && rank >= lowest) continue;
    lowest = rank;
    best = endpoint;
  }
  return best;
}

/// Finds the candidates of a request.
class CandidateFinder {
 public:
  /// Endpoints drawn for each request of a large role (the power of several choices).
  static constexpr std::size_t kSampled = 8;
  /// Endpoints drawn where the best of the usual candidates is late.
  static constexpr std::size_t kSampledWhenLate = 128;

  /// What the finder works with.
  struct Collaborators {
    const EndpointRegistry& registry;      ///< Endpoints.
    const OutlierDetector& outliers;       ///< Which are trusted.
    const SlowStart& slowStart;            ///< Which have budget.
    const RejectionEstimator& rejections;  ///< Which are left alone.
    const PrefixCacheIndex& prefixes;      ///< Which cache the request's prefix.
  };
  /// `routerHashKey`: this router's own order of the endpoints.
  CandidateFinder(const Collaborators& collaborators, PrefixKey routerHashKey)
      : collaborators_(collaborators), routerHashKey_(routerHashKey) {}

  /// Whether an endpoint takes requests now.
  bool isUsable(const Endpoint& endpoint) const {
    return endpoint.isListed && collaborators_.slowStart.hasBudget(endpoint) &&
           !collaborators_.rejections.isBackingOff(endpoint);
  }

  /// The endpoints of a role that may take the request: trusted ones where it has not failed; without those,
  /// trusted ones; without those, any that are usable, so that with everything ejected requests are served as
  /// if nothing were. Of a large role only a bounded set is considered while it has any of the first kind;
  /// `cell`: whose endpoints belong to that set; `sampled`: how many that are drawn for this request do.
  Candidates find(const TrackedRequest& request, Role role, const std::uint64_t* cell = nullptr,
                  std::size_t sampled = kSampled) const;

 private:
  enum class Strictness { trustedAndNotFailed, trusted, usable };

  bool fits(const TrackedRequest& request, const Endpoint& endpoint, Strictness strictness) const;
  // This router's own subset, the affinity endpoints, those that cache its prefixes, and some that are drawn
  // for the request. This guards against walking thousands of endpoints for each request; a better endpoint
  // outside of the set is passed over.
  Candidates boundedSet(const TrackedRequest& request, Role role, const std::uint64_t* cell,
                        std::size_t sampled) const;

  Collaborators collaborators_;
  PrefixKey routerHashKey_;
};

}  // namespace garnethook::policy
