/// @file
/// Estimates the speed of each endpoint relative to the cost model's prediction.
#pragma once

#include <algorithm>
#include <cmath>

#include "policy/decision_context.h"
#include "policy/endpoint.h"

namespace garnethook::policy {

/// Keeps a factor for each endpoint, as a single cost model cannot predict the times of slow or crowded
/// endpoints.
class SpeedEstimator {
 public:
  /// Largest factor; it is also recorded for an attempt that timed out.
  static constexpr double kMaxFactor = 8;

  /// `context` provides the current time.
  explicit SpeedEstimator(const DecisionContext& context) : context_(context) {}

  /// Returns the ratio of observed to predicted time, which decays to 1 without new observations.
  double factor(const Endpoint& endpoint) const {
    const SpeedRecord& record = endpoint.speed;
    return 1 + (record.factor_ - 1) * std::exp(-context_.elapsedSince(record.observedAt_) / kLifetime);
  }
  /// Records the ratio of an observed to a predicted time.
  void learn(Endpoint& endpoint, double ratio) const {
    const double clampedRatio = std::clamp(ratio, kMinFactor, kMaxFactor);
    const double previousFactor = factor(endpoint);
    endpoint.speed.factor_ =
        std::clamp(previousFactor + kSampleWeight * (clampedRatio - previousFactor), kMinFactor, kMaxFactor);
    endpoint.speed.observedAt_ = context_.now();
  }
  /// Resets the factor of an endpoint that restarted.
  static void reset(Endpoint& endpoint) { endpoint.speed.factor_ = 1; }

 private:
  static constexpr double kSampleWeight = 0.2;
  static constexpr double kMinFactor = 0.5;
  static constexpr EstimatedTime kLifetime = std::chrono::seconds(8);

  const DecisionContext& context_;
};

}  // namespace garnethook::policy
