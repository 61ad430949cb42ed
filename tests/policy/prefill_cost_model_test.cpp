// The fitted model of prefill cost.
#include "policy/prefill_cost_model.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace garnethook::policy {
namespace {

double trueTime(double x, double y, double d, double c, double a) {
  const double k = x / 1000;
  return d + c * k * (1 - y) + a * k * k * (1 - y * y);
}

void train(PrefillCostModel& model, int samples, double d, double c, double a, double outlierEvery = 0) {
  std::mt19937 random(7);
  std::uniform_real_distribution<double> tokens(100, 12000);
  std::uniform_real_distribution<double> ratio(0, 0.95);
  for (int i = 1; i <= samples; ++i) {
    const double x = tokens(random);
    const double y = ratio(random);
    const bool outlier = outlierEvery > 0 && std::fmod(i, outlierEvery) == 0;
    model.learn(x, y * x, trueTime(x, y, d, c, a) * (outlier ? 50 : 1));
  }
}

TEST(PrefillCostModel, RecoversKnownCoefficients) {
  PrefillCostModel model(1000, 20000);
  train(model, 3000, 8000, 60000, 900);
  for (const double x : {500.0, 2000.0, 8000.0})
    for (const double y : {0.0, 0.5, 0.9})
      EXPECT_NEAR(model.predict(x, y * x), trueTime(x, y, 8000, 60000, 900),
                  0.03 * trueTime(x, y, 8000, 60000, 900) + 1500);
}

TEST(PrefillCostModel, StaysCloseWhenSomeSamplesAreOutliers) {
  PrefillCostModel model(8000, 60000);
  train(model, 3000, 8000, 60000, 900, 20);
  const double expected = trueTime(4000, 0, 8000, 60000, 900);
  EXPECT_GT(model.predict(4000, 0), 0.9 * expected);
  EXPECT_LT(model.predict(4000, 0), 1.3 * expected);
}

TEST(PrefillCostModel, NeverPredictsBelowZeroOrFallingWithLength) {
  PrefillCostModel model(1000, 20000);
  for (int i = 0; i < 500; ++i) model.learn(1000 + 10 * i, 0, 1e6 / (1 + i));  // falls with length
  for (const double x : {0.0, 10.0, 5000.0, 60000.0}) {
    EXPECT_GE(model.predict(x, 0), 0);
    EXPECT_GE(model.predict(2 * x, 0), model.predict(x, 0));
  }
}

TEST(PrefillCostModel, FollowsAChangeOfSpeed) {
  PrefillCostModel model(8000, 60000);
  train(model, 1000, 8000, 60000, 0);
  train(model, 1500, 8000, 120000, 0);
  EXPECT_NEAR(model.predict(4000, 0), trueTime(4000, 0, 8000, 120000, 0),
              0.1 * trueTime(4000, 0, 8000, 120000, 0));
}

TEST(PrefillCostModel, CountsAPrefixLongerThanThePromptAsTheWholePrompt) {
  const PrefillCostModel model(8000, 60000);
  EXPECT_DOUBLE_EQ(model.predict(1000, 5000), model.predict(1000, 1000));
  EXPECT_GE(model.predict(0, 0), 0);
}

}  // namespace
}  // namespace garnethook::policy
