/// @file
/// The time that a prefill takes by the length of the prompt and its cached part, fitted online.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

#include "policy/estimated_time.h"

namespace garnethook::policy {

/// time(x, y) = d + c x (1 - y) + a x^2 (1 - y^2), with x in thousands of tokens, y the cached share and the
/// coefficients in microseconds. Fitted online by least squares with forgetting; coordinate descent keeps
/// every coefficient at 0 or above.
class PrefillCostModel {
 public:
  /// Samples that still count.
  static constexpr double kMemory = 300;
  /// Weight of the initial coefficients, in samples.
  static constexpr double kPriorWeight = 3;
  /// How far from its prediction a sample may pull, as a factor.
  static constexpr double kMaxDeviation = 3;

  /// Initial coefficients: a fixed time, and the time for 1,000 tokens.
  PrefillCostModel(EstimatedTime fixedTime, EstimatedTime timePerKiloToken)
      : prior_{fixedTime.count(), timePerKiloToken.count(), 0}, coefficients_(prior_) {}

  /// Predicted time of a prefill; tokens beyond the prompt's do not count as cached.
  EstimatedTime predict(double tokens, double cachedTokens) const {
    const Triple x = features(tokens, cachedTokens);
    return EstimatedTime(coefficients_[0] * x[0] + coefficients_[1] * x[1] + coefficients_[2] * x[2]);
  }

  /// Takes in the observed time of a prefill.
  void learn(double tokens, double cachedTokens, EstimatedTime time) {
    const Triple x = features(tokens, cachedTokens);
    const EstimatedTime expected = predict(tokens, cachedTokens);
    time = std::clamp(time, expected / kMaxDeviation, expected * kMaxDeviation);
    for (std::size_t i = 0; i < 3; ++i) {
      for (std::size_t j = 0; j < 3; ++j) normal_[i][j] += x[i] * x[j] - normal_[i][j] / kMemory;
      right_[i] += x[i] * time.count() - right_[i] / kMemory;
    }
    for (int sweep = 0; sweep < kSweeps; ++sweep) descend();
  }

 private:
  using Triple = std::array<double, 3>;
  static constexpr int kSweeps = 8;

  static Triple features(double tokens, double cachedTokens) {
    const double x = tokens / 1000;
    const double y = tokens > 0 ? std::clamp(cachedTokens / tokens, 0.0, 1.0) : 0;
    return {1, x * (1 - y), x * x * (1 - y * y)};
  }
  void descend() {
    for (std::size_t i = 0; i < 3; ++i) {
      double rest = right_[i] + kPriorWeight * prior_[i];
      for (std::size_t j = 0; j < 3; ++j) rest -= j == i ? 0 : normal_[i][j] * coefficients_[j];
      coefficients_[i] = std::max(0.0, rest / (normal_[i][i] + kPriorWeight));
    }
  }

  Triple prior_;
  Triple coefficients_;
  std::array<Triple, 3> normal_{};
  Triple right_{};
};

}  // namespace garnethook::policy
