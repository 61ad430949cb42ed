/// @file
/// Selection of the endpoint that decodes a request whose KV state lies at a prefill endpoint.
#pragma once

#include <cstdint>

#include "policy/candidate_finder.h"
#include "policy/kv_memory_estimator.h"
#include "policy/rejection_estimator.h"
#include "policy/speed_estimator.h"

namespace garnethook::policy {

/// Selects the endpoint with most room, first in the cell of the KV state.
///
/// A cell's decode endpoints take the KV states of the same prefill endpoints and are busy together: a
/// request that one of them kept waiting leaves the cell. This guards against attempts at all decode
/// endpoints of a cell, one after the other; a KV state crosses a link where one endpoint alone is slow.
class DecodeSelector {
 public:
  /// Share of the KV cache up to which an endpoint has room.
  static constexpr double kMaxOccupancy = 0.95;
  /// Share beyond which, at every endpoint, nothing new is admitted.
  static constexpr double kMaxOccupancyToAdmit = 0.9;
  /// No limit: the endpoint may reject.
  static constexpr double kAnyOccupancy = 1e9;

  /// What the selector works with.
  struct Collaborators {
    const CandidateFinder& candidates;     ///< Which may be chosen.
    const KvMemoryEstimator& memory;       ///< Which have room.
    const RejectionEstimator& rejections;  ///< What rejections cost.
    const SpeedEstimator& speeds;          ///< Speed of endpoints.
  };
  /// `routerHashKey`: this router's own order of the endpoints; `smallestObjective`: the smallest TTFT
  /// objective of all classes.
  DecodeSelector(const Collaborators& collaborators, PrefixKey routerHashKey, EstimatedTime smallestObjective)
      : collaborators_(collaborators), routerHashKey_(routerHashKey), smallestObjective_(smallestObjective) {}

  /// The endpoint that should decode, for a KV state of that cell, of those that stay within the occupancy;
  /// or nullptr.
  const Endpoint* select(const TrackedRequest& request, std::uint64_t cell, double maxOccupancy) const;

 private:
  double occupancyWith(const TrackedRequest& request, const Endpoint& endpoint) const {
    return collaborators_.memory.occupancy(endpoint, KvMemoryEstimator::tokensNeeded(request, endpoint));
  }

  Collaborators collaborators_;
  PrefixKey routerHashKey_;
  EstimatedTime smallestObjective_;
};

}  // namespace garnethook::policy
