/// @file
/// Predicts the time of a prefill from the length of the prompt and its cached part.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

#include "policy/estimated_time.h"

namespace garnethook::policy {

/// Models the prefill time as time(x, y) = d + c x (1 - y) + a x^2 (1 - y^2), with x the prompt length in
/// thousands of tokens, y the cached share, and the coefficients in microseconds. The model is fitted online
/// by least squares with exponential forgetting. Coordinate descent keeps every coefficient non-negative.
class PrefillCostModel {
 public:
  /// Effective number of past samples that the fit takes into account.
  static constexpr double kMemorySamples = 300;
  /// Weight of the initial coefficients, in samples.
  static constexpr double kPriorWeightSamples = 3;
  /// Largest ratio between a sample and its prediction; samples beyond it are clamped.
  static constexpr double kMaxDeviationFactor = 3;

  /// The initial coefficients are a fixed time and a time per 1,000 tokens.
  PrefillCostModel(EstimatedTime fixedTime, EstimatedTime timePerKiloToken)
      : prior_{fixedTime.count(), timePerKiloToken.count(), 0}, coefficients_(prior_) {}

  /// Returns the predicted time of a prefill; cached tokens beyond the prompt's length are ignored.
  EstimatedTime predict(double tokens, double cachedTokens) const {
    const Vector3 sample = features(tokens, cachedTokens);
    return EstimatedTime(coefficients_[0] * sample[0] + coefficients_[1] * sample[1] +
                         coefficients_[2] * sample[2]);
  }

  /// Updates the model with the observed time of a prefill.
  void learn(double tokens, double cachedTokens, EstimatedTime time) {
    const Vector3 sample = features(tokens, cachedTokens);
    const EstimatedTime expected = predict(tokens, cachedTokens);
    time = std::clamp(time, expected / kMaxDeviationFactor, expected * kMaxDeviationFactor);
    for (std::size_t row = 0; row < 3; ++row) {
      for (std::size_t column = 0; column < 3; ++column)
        normalMatrix_[row][column] +=
            sample[row] * sample[column] - normalMatrix_[row][column] / kMemorySamples;
      rightHandSide_[row] += sample[row] * time.count() - rightHandSide_[row] / kMemorySamples;
    }
    for (int pass = 0; pass < kDescentSweeps; ++pass) runDescentSweep();
  }

 private:
  using Vector3 = std::array<double, 3>;
  static constexpr int kDescentSweeps = 8;

  static Vector3 features(double tokens, double cachedTokens) {
    const double kiloTokens = tokens / 1000;
    const double cachedShare = tokens > 0 ? std::clamp(cachedTokens / tokens, 0.0, 1.0) : 0;
    return {1, kiloTokens * (1 - cachedShare), kiloTokens * kiloTokens * (1 - cachedShare * cachedShare)};
  }
  void runDescentSweep() {
    for (std::size_t row = 0; row < 3; ++row) {
      double residual = rightHandSide_[row] + kPriorWeightSamples * prior_[row];
      for (std::size_t column = 0; column < 3; ++column)
        residual -= column == row ? 0 : normalMatrix_[row][column] * coefficients_[column];
      coefficients_[row] = std::max(0.0, residual / (normalMatrix_[row][row] + kPriorWeightSamples));
    }
  }

  Vector3 prior_;
  Vector3 coefficients_;
  std::array<Vector3, 3> normalMatrix_{};
  Vector3 rightHandSide_{};
};

}  // namespace garnethook::policy
