// Online fitting of the prefill cost model.
#include "policy/prefill_cost_model.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace garnethook::policy {
namespace {

// The cost that a model must fit, given by the coefficients of its formula in microseconds.
struct TrueCost {
  double fixed = 0;
  double linear = 0;
  double quadratic = 0;

  double time(double tokens, double cachedShare) const {
    const double kiloTokens = tokens / 1000;
    return fixed + linear * kiloTokens * (1 - cachedShare) +
           quadratic * kiloTokens * kiloTokens * (1 - cachedShare * cachedShare);
  }
};

PrefillCostModel initialModel(double fixedTime, double timePerKiloToken) {
  return {EstimatedTime(fixedTime), EstimatedTime(timePerKiloToken)};
}

// Predicted time in microseconds.
double predictedMicros(const PrefillCostModel& model, double tokens, double cachedTokens) {
  return model.predict(tokens, cachedTokens).count();
}

void trainModel(PrefillCostModel& model, int samples, const TrueCost& cost, double outlierEvery = 0) {
  std::mt19937 random(7);
  std::uniform_real_distribution<double> drawTokens(100, 12000);
  std::uniform_real_distribution<double> drawShare(0, 0.95);
  for (int i = 1; i <= samples; ++i) {
    const double tokens = drawTokens(random);
    const double cachedShare = drawShare(random);
    const bool isOutlier = outlierEvery > 0 && std::fmod(i, outlierEvery) == 0;
    model.learn(tokens, cachedShare * tokens,
                EstimatedTime(cost.time(tokens, cachedShare) * (isOutlier ? 50 : 1)));
  }
}

TEST(PrefillCostModel, RecoversKnownCoefficients) {
  const TrueCost cost{8000, 60000, 900};
  PrefillCostModel model = initialModel(1000, 20000);
  trainModel(model, 3000, cost);
  for (const double tokens : {500.0, 2000.0, 8000.0})
    for (const double cachedShare : {0.0, 0.5, 0.9}) {
      const double expected = cost.time(tokens, cachedShare);
      EXPECT_NEAR(predictedMicros(model, tokens, cachedShare * tokens), expected, 0.03 * expected + 1500);
    }
}

TEST(PrefillCostModel, StaysAccurateWhenSomeSamplesAreOutliers) {
  const TrueCost cost{8000, 60000, 900};
  PrefillCostModel model = initialModel(8000, 60000);
  trainModel(model, 3000, cost, 20);
  const double expected = cost.time(4000, 0);
  EXPECT_GT(predictedMicros(model, 4000, 0), 0.9 * expected);
  EXPECT_LT(predictedMicros(model, 4000, 0), 1.3 * expected);
}

TEST(PrefillCostModel, NeverPredictsNegativeOrDecreasingTimes) {
  PrefillCostModel model = initialModel(1000, 20000);
  for (int i = 0; i < 500; ++i)
    model.learn(1000 + 10 * i, 0, EstimatedTime(1e6 / (1 + i)));  // decreases with length
  for (const double tokens : {0.0, 10.0, 5000.0, 60000.0}) {
    EXPECT_GE(predictedMicros(model, tokens, 0), 0);
    EXPECT_GE(predictedMicros(model, 2 * tokens, 0), predictedMicros(model, tokens, 0));
  }
}

TEST(PrefillCostModel, AdaptsToAChangeOfSpeed) {
  const TrueCost slower{8000, 120000, 0};
  PrefillCostModel model = initialModel(8000, 60000);
  trainModel(model, 1000, {8000, 60000, 0});
  trainModel(model, 1500, slower);
  EXPECT_NEAR(predictedMicros(model, 4000, 0), slower.time(4000, 0), 0.1 * slower.time(4000, 0));
}

TEST(PrefillCostModel, TreatsAPrefixLongerThanThePromptAsTheWholePrompt) {
  const PrefillCostModel model = initialModel(8000, 60000);
  EXPECT_DOUBLE_EQ(predictedMicros(model, 1000, 5000), predictedMicros(model, 1000, 1000));
  EXPECT_GE(predictedMicros(model, 0, 0), 0);
}

}  // namespace
}  // namespace garnethook::policy
