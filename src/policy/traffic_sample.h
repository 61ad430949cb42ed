/// @file
/// How much this router's own traffic says about endpoints that other routers use as well.
#pragma once

#include <algorithm>

#include "policy/decision_context.h"
#include "policy/endpoint_registry.h"

namespace garnethook::policy {

/// Own streams are a sample of all streams. One stream of one router in a hundred is no sign of a hundred, so
/// the sample counts only as far as it is large enough.
class TrafficSample {
 public:
  /// `routers`: number of routers over the same endpoints.
  TrafficSample(const EndpointRegistry& registry, const TrackedRequests& requests, std::size_t routers)
      : registry_(registry), requests_(requests), routers_(routers) {}

  /// 0: own streams say nothing of an endpoint's load; 1: everything.
  double evidence() const { return evidence_; }
  /// Routers that one own stream stands for, from 1 to their number.
  double routersRepresented() const { return routersRepresented_; }

  /// Measures anew, by the number of own attempts that take KV cache for an answer.
  void update() {
    const auto streams =
        static_cast<double>(std::count_if(requests_.begin(), requests_.end(), [](const auto& item) {
          return item.second.attempt && item.second.attempt->kvTokens > 0;
        }));
    const double endpoints =
        countAsDouble(registry_.listedCount(Role::decode) + registry_.listedCount(Role::combined));
    const double perEndpoint = streams / std::max(1.0, endpoints);
    evidence_ = perEndpoint * perEndpoint / (perEndpoint * perEndpoint + kHalfEvidenceStreamsSquared);
    routersRepresented_ = 1 + (countAsDouble(routers_) - 1) * evidence_;
  }

 private:
  // Square of the own streams at an endpoint that are half of full evidence.
  static constexpr double kHalfEvidenceStreamsSquared = 0.3;

  const EndpointRegistry& registry_;
  const TrackedRequests& requests_;
  std::size_t routers_;
  double evidence_ = 0;
  double routersRepresented_ = 1;
};

}  // namespace garnethook::policy
