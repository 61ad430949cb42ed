/// @file
/// Speed of each endpoint relative to what the cost model predicts.
#pragma once

#include <algorithm>
#include <cmath>

#include "policy/decision_context.h"
#include "policy/endpoint.h"

namespace garnethook::policy {

/// One cost model can't price slow or crowded endpoints; a factor for each endpoint does.
class SpeedEstimator {
 public:
  /// Largest factor; counted for an attempt that timed out.
  static constexpr double kMaxFactor = 8;

  /// Takes the time from `context`.
  explicit SpeedEstimator(const DecisionContext& context) : context_(context) {}

  /// Observed over predicted time, fading to 1 without news.
  double factor(const Endpoint& endpoint) const {
    const SpeedRecord& record = endpoint.speed;
    return 1 + (record.factor_ - 1) * std::exp(-context_.elapsedSince(record.observedAt_) / kLifetime);
  }
  /// Takes in the ratio of an observed to a predicted time.
  void learn(Endpoint& endpoint, double ratio) const {
    const double sample = std::clamp(ratio, kMinFactor, kMaxFactor);
    const double before = factor(endpoint);
    endpoint.speed.factor_ = std::clamp(before + kSampleWeight * (sample - before), kMinFactor, kMaxFactor);
    endpoint.speed.observedAt_ = context_.now();
  }
  /// Forgets the factor of an endpoint that restarted.
  static void reset(Endpoint& endpoint) { endpoint.speed.factor_ = 1; }

 private:
  static constexpr double kSampleWeight = 0.2;
  static constexpr double kMinFactor = 0.5;
  static constexpr EstimatedTime kLifetime = std::chrono::seconds(8);

  const DecisionContext& context_;
};

}  // namespace garnethook::policy
