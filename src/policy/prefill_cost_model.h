// The time that a reader takes for a prompt, by its length and the part that it has kept: fitted online.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace garnethook {

// exec(x, y) = d + c x (1 - y) + a x^2 (1 - y^2), x in tokens, time in microseconds. Fitted online by
// least squares with forgetting; coordinate descent keeps every coefficient at 0 or above.
class PrefillCostModel {
 public:
  static constexpr double kMemory = 300;  // samples that still count
  static constexpr double kPrior = 3;     // weight of the starting guess, in samples
  static constexpr double kOutlier = 3;   // how far from its prediction a sample may pull, as a factor

  // Starting guess: a fixed part, and the time for 1,000 tokens.
  PrefillCostModel(double delay, double perKiloToken)
      : prior_{delay, perKiloToken, 0}, coefficient_(prior_) {}

  double predict(double tokens, double cached) const {
    const auto f = features(tokens, cached);
    return coefficient_[0] * f[0] + coefficient_[1] * f[1] + coefficient_[2] * f[2];
  }

  void learn(double tokens, double cached, double time) {
    const auto f = features(tokens, cached);
    const double expected = predict(tokens, cached);
    time = std::clamp(time, expected / kOutlier, expected * kOutlier);
    for (std::size_t i = 0; i < 3; ++i) {
      for (std::size_t j = 0; j < 3; ++j) normal_[i][j] += f[i] * f[j] - normal_[i][j] / kMemory;
      right_[i] += f[i] * time - right_[i] / kMemory;
    }
    for (int sweep = 0; sweep < 8; ++sweep) descend();
  }

 private:
  using Triple = std::array<double, 3>;
  static Triple features(double tokens, double cached) {
    const double x = tokens / 1000;
    const double y = tokens > 0 ? std::clamp(cached / tokens, 0.0, 1.0) : 0;
    return {1, x * (1 - y), x * x * (1 - y * y)};
  }
  void descend() {
    for (std::size_t i = 0; i < 3; ++i) {
      double rest = right_[i] + kPrior * prior_[i];
      for (std::size_t j = 0; j < 3; ++j) rest -= j == i ? 0 : normal_[i][j] * coefficient_[j];
      coefficient_[i] = std::max(0.0, rest / (normal_[i][i] + kPrior));
    }
  }

  Triple prior_;
  Triple coefficient_;
  std::array<Triple, 3> normal_{};
  Triple right_{};
};

}  // namespace garnethook
