/// @file
/// Selects the endpoint that decodes a request whose KV state is held by a prefill endpoint.
#pragma once

#include <cstdint>

#include "policy/candidate_finder.h"
#include "policy/kv_memory_estimator.h"
#include "policy/rejection_estimator.h"
#include "policy/speed_estimator.h"

namespace garnethook::policy {

/// Selects the endpoint with the lowest KV cache occupancy, adjusted for its speed and its rejections,
/// preferably in the cell of the KV state.
///
/// The decode endpoints of a cell take their KV states from the same prefill endpoints and are busy at the
/// same time. A request that gets no first token in time from one of them therefore moves to another cell.
/// This prevents attempts at each decode endpoint of a busy cell in turn. The drawback: where only one
/// endpoint is slow, the KV state crosses a link between cells needlessly.
class DecodeSelector {
 public:
  /// Occupancy, as a share of the KV cache, up to which an endpoint has room.
  static constexpr double kMaxOccupancy = 0.95;
  /// Occupancy up to which new requests are admitted; above it at every endpoint, they are rejected.
  static constexpr double kMaxOccupancyToAdmit = 0.9;
  /// No limit on the occupancy; the endpoint may reject the request.
  static constexpr double kAnyOccupancy = 1e9;

  /// Components that the selector uses.
  struct Collaborators {
    const CandidateFinder& candidates;     ///< Which endpoints may be selected.
    const KvMemoryEstimator& memory;       ///< KV cache occupancy of endpoints.
    const RejectionEstimator& rejections;  ///< Expected time lost to rejections.
    const SpeedEstimator& speeds;          ///< Speed of endpoints.
  };
  /// `routerKey`: hash key of this router's own order of the endpoints; `smallestObjective`: the smallest
  /// TTFT objective of all classes.
  DecodeSelector(const Collaborators& collaborators, PrefixKey routerKey, EstimatedTime smallestObjective)
      : collaborators_(collaborators), routerKey_(routerKey), smallestObjective_(smallestObjective) {}

  /// Returns the endpoint that should decode a KV state held in `cell`, among those whose occupancy including
  /// the request is at most `maxOccupancy`; nullptr if there is none.
  const Endpoint* select(const TrackedRequest& request, std::uint64_t cell, double maxOccupancy) const;

 private:
  double occupancyWith(const TrackedRequest& request, const Endpoint& endpoint) const {
    return collaborators_.memory.occupancy(endpoint, KvMemoryEstimator::tokensNeeded(request, endpoint));
  }

  Collaborators collaborators_;
  PrefixKey routerKey_;
  EstimatedTime smallestObjective_;
};

}  // namespace garnethook::policy
