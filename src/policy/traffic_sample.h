/// @file
/// Estimates how representative this router's traffic is of the load at endpoints shared with other routers.
#pragma once

#include <algorithm>

#include "policy/decision_context.h"
#include "policy/endpoint_registry.h"

namespace garnethook::policy {

/// Treats this router's streams as a sample of all streams. A single stream at one router of a hundred does
/// not imply a hundred streams, so the weight of the sample grows with its size.
class TrafficSample {
 public:
  /// `routers`: number of routers that share the endpoints.
  TrafficSample(const EndpointRegistry& registry, const TrackedRequests& requests, std::size_t routers)
      : registry_(registry), requests_(requests), routers_(routers) {}

  /// Weight of this router's streams as evidence of an endpoint's load, from 0 (none) to 1 (full).
  double evidence() const { return evidence_; }
  /// Number of routers that one stream of this router represents, from 1 to the number of routers.
  double routersRepresented() const { return routersRepresented_; }

  /// Recomputes the weight from the number of this router's attempts that occupy KV cache for an answer.
  void update() {
    const auto streams =
        static_cast<double>(std::count_if(requests_.begin(), requests_.end(), [](const auto& item) {
          return item.second.attempt && item.second.attempt->kvTokens > 0;
        }));
    const double endpointCount =
        countAsDouble(registry_.listedCount(Role::decode) + registry_.listedCount(Role::combined));
    const double streamsPerEndpoint = streams / std::max(1.0, endpointCount);
    evidence_ = streamsPerEndpoint * streamsPerEndpoint /
                (streamsPerEndpoint * streamsPerEndpoint + kHalfEvidenceStreamsSquared);
    routersRepresented_ = 1 + (countAsDouble(routers_) - 1) * evidence_;
  }

 private:
  // Square of the number of this router's streams per endpoint at which the evidence is 0.5.
  static constexpr double kHalfEvidenceStreamsSquared = 0.3;

  const EndpointRegistry& registry_;
  const TrackedRequests& requests_;
  std::size_t routers_;
  double evidence_ = 0;
  double routersRepresented_ = 1;
};

}  // namespace garnethook::policy
