// The fitted read-cost curve.
#include "policy/prefill_cost_model.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace garnethook {
namespace {

double truth(double x, double y, double d, double c, double a) {
  const double k = x / 1000;
  return d + c * k * (1 - y) + a * k * k * (1 - y * y);
}

void teach(PrefillCostModel& curve, int samples, double d, double c, double a, double outlierEvery = 0) {
  std::mt19937 random(7);
  std::uniform_real_distribution<double> tokens(100, 12000);
  std::uniform_real_distribution<double> ratio(0, 0.95);
  for (int i = 1; i <= samples; ++i) {
    const double x = tokens(random);
    const double y = ratio(random);
    const bool outlier = outlierEvery > 0 && std::fmod(i, outlierEvery) == 0;
    curve.learn(x, y * x, truth(x, y, d, c, a) * (outlier ? 50 : 1));
  }
}

TEST(Curve, RecoversKnownCoefficients) {
  PrefillCostModel curve(1000, 20000);
  teach(curve, 3000, 8000, 60000, 900);
  for (const double x : {500.0, 2000.0, 8000.0})
    for (const double y : {0.0, 0.5, 0.9})
      EXPECT_NEAR(curve.predict(x, y * x), truth(x, y, 8000, 60000, 900),
                  0.03 * truth(x, y, 8000, 60000, 900) + 1500);
}

TEST(Curve, SurvivesOutliers) {
  PrefillCostModel curve(8000, 60000);
  teach(curve, 3000, 8000, 60000, 900, 20);
  const double expected = truth(4000, 0, 8000, 60000, 900);
  EXPECT_GT(curve.predict(4000, 0), 0.9 * expected);
  EXPECT_LT(curve.predict(4000, 0), 1.3 * expected);
}

TEST(Curve, NeverFallsBelowZero) {
  PrefillCostModel curve(1000, 20000);
  for (int i = 0; i < 500; ++i) curve.learn(1000 + 10 * i, 0, 1e6 / (1 + i));  // falls with length
  for (const double x : {0.0, 10.0, 5000.0, 60000.0}) {
    EXPECT_GE(curve.predict(x, 0), 0);
    EXPECT_GE(curve.predict(2 * x, 0), curve.predict(x, 0));
  }
}

TEST(Curve, FollowsAChange) {
  PrefillCostModel curve(8000, 60000);
  teach(curve, 1000, 8000, 60000, 0);
  teach(curve, 1500, 8000, 120000, 0);
  EXPECT_NEAR(curve.predict(4000, 0), truth(4000, 0, 8000, 120000, 0), 0.1 * truth(4000, 0, 8000, 120000, 0));
}

TEST(Curve, PrefixLongerThanPromptCountsAsWhole) {
  const PrefillCostModel curve(8000, 60000);
  EXPECT_DOUBLE_EQ(curve.predict(1000, 5000), curve.predict(1000, 1000));
  EXPECT_GE(curve.predict(0, 0), 0);
}

}  // namespace
}  // namespace garnethook
