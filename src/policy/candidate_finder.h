/// @file
/// Finds the endpoints that a request may be sent to.
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

/// Endpoints that a selector chooses from.
using Candidates = EndpointRegistry::Group;

/// Returns the candidate with the lowest score, or nullptr. Ties are broken by the rendezvous hash of
/// `tieKey`: either a key that is equal at all routers, or the router's own key, so that many routers without
/// observations do not all choose the same endpoint.
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
  /// Number of endpoints sampled from a large role for each request (the power of several choices).
  static constexpr std::size_t kSampleSize = 8;
  /// Number of endpoints sampled if the best of the usual candidates is late.
  static constexpr std::size_t kSampleSizeWhenLate = 128;

  /// Components that the finder uses.
  struct Collaborators {
    const EndpointRegistry& registry;      ///< All known endpoints.
    const OutlierDetector& outliers;       ///< Which endpoints are trusted.
    const SlowStart& slowStart;            ///< Which endpoints have budget.
    const RejectionEstimator& rejections;  ///< Which endpoints are backed off from.
    const PrefixCacheIndex& prefixes;      ///< Which endpoints cache the request's prefix.
  };
  /// `routerKey`: hash key of this router's own order of the endpoints.
  CandidateFinder(const Collaborators& collaborators, PrefixKey routerKey)
      : collaborators_(collaborators), routerKey_(routerKey) {}

  /// Returns whether an endpoint accepts requests now.
  bool isUsable(const Endpoint& endpoint) const {
    return endpoint.isListed && collaborators_.slowStart.hasBudget(endpoint) &&
           !collaborators_.rejections.isBackingOff(endpoint);
  }

  /// Returns the endpoints of a role that the request may be sent to: the trusted ones at which it has not
  /// failed; if there are none, all trusted ones; if there are none, all usable ones, so that requests are
  /// still served as usual when every endpoint is ejected. For a large role, only a bounded set is considered
  /// as long as it holds a trusted endpoint at which the request has not failed. `cell`: the set includes
  /// endpoints of this cell, unless nullptr; `sampleSize`: the number of endpoints sampled into the set for
  /// this request.
  Candidates find(const TrackedRequest& request, Role role, const std::uint64_t* cell = nullptr,
                  std::size_t sampleSize = kSampleSize) const;

 private:
  enum class Strictness { trustedAndNotFailed, trusted, usable };

  bool isEligible(const TrackedRequest& request, const Endpoint& endpoint, Strictness strictness) const;
  // Returns this router's own subset, the affinity endpoints, the endpoints that cache the request's
  // prefixes, and a sample drawn for the request. This prevents a scan of thousands of endpoints for each
  // request. The drawback: a better endpoint outside the set is missed.
  Candidates boundedCandidateSet(const TrackedRequest& request, Role role, const std::uint64_t* cell,
                                 std::size_t sampleSize) const;

  Collaborators collaborators_;
  PrefixKey routerKey_;
};

}  // namespace garnethook::policy
