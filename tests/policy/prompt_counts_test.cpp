// Tests prompts whose token count differs by endpoint tokeniser: the prefill time at each endpoint is
// estimated from the count of its own tokeniser.
#include <gtest/gtest.h>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

EndpointEntry withTokeniser(EndpointEntry entry, std::uint64_t tokeniser, double factor = 1) {
  entry.tokeniser = tokeniser;
  entry.promptFactor = factor;
  return entry;
}

// Serves requests from which the policy estimates that a prefill takes 60 us per token.
void learnPrefillCost(PolicyDriver& driver) {
  for (std::uint64_t id = 100; id < 140; ++id) {
    auto request = driver.newRequest(id);
    request.promptTokens = 500 + 200 * static_cast<double>(id % 40);
    driver.serve(request, static_cast<Micros>(request.promptTokens * 60));
    driver.advanceTime(100 * kMs);
  }
}

// Returns which of two idle prefill endpoints a prompt is sent to.
std::uint64_t chosenEndpoint(const std::vector<PromptCount>& counts, double factor1, double factor2) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill, 0), endpoint(2, kPrefill, 0), endpoint(11, kDecode, 0)});
  learnPrefillCost(driver);
  driver.setEndpoints({withTokeniser(endpoint(1, kPrefill, 0), 7, factor1),
                       withTokeniser(endpoint(2, kPrefill, 0), 8, factor2), endpoint(11, kDecode, 0)});
  auto request = driver.newRequest(1);
  request.promptTokens = 4000;
  request.counts = counts;
  driver.deliver(request);
  return driver.lastEndpoint(1);
}

TEST(PromptCounts, DetermineTheCostAtAnEndpointByItsOwnCount) {
  EXPECT_EQ(chosenEndpoint({{7, 40'000, 0}, {8, 3000, 0}}, 1, 1), 2U);
  EXPECT_EQ(chosenEndpoint({{7, 3000, 0}, {8, 40'000, 0}}, 1, 1), 1U);
}

TEST(PromptCounts, DetermineTheCostAtAnEndpointByItsFactorWithoutACount) {
  EXPECT_EQ(chosenEndpoint({}, 10, 1), 2U);
  EXPECT_EQ(chosenEndpoint({}, 1, 10), 1U);
  EXPECT_EQ(chosenEndpoint({{7, 4000, 0}}, 1, 10), 1U);  // a count for one of the two only
  EXPECT_EQ(chosenEndpoint({{8, 4000, 0}}, 10, 1), 2U);
}

// Between two attempts, the other endpoints change their tokenisers and the request receives new counts.
TEST(PromptCounts, ApplyToARetryWhenTheyChange) {
  for (const bool swapped : {false, true}) {
    PolicyDriver driver(settings());
    const std::vector<EndpointEntry> before{endpoint(1, kPrefill, 0), endpoint(2, kPrefill, 0),
                                            endpoint(3, kPrefill, 0), endpoint(11, kDecode, 0)};
    driver.setEndpoints(before);
    learnPrefillCost(driver);
    auto request = driver.newRequest(1);
    request.promptTokens = 4000;
    request.counts = {{7, 4000, 0}};
    driver.deliver(request);
    const auto first = driver.lastEndpoint(1);
    ASSERT_NE(first, 0U);
    std::vector<std::uint64_t> others;
    auto after = before;
    for (EndpointEntry& entry : after) {
      if (entry.id.value == first || entry.id.value == 11) continue;
      entry.tokeniser = 8 + others.size();
      others.push_back(entry.id.value);
    }
    driver.setEndpoints(after);
    driver.deliver(PromptCounted{request.id,
                                 {{8, swapped ? 3000.0 : 40'000.0, 0}, {9, swapped ? 40'000.0 : 3000.0, 0}}});
    driver.endAttempt(1, Outcome::error);
    driver.advanceTime(100 * kMs);
    EXPECT_EQ(driver.lastEndpoint(1), others[swapped ? 0 : 1]);
  }
  PolicyDriver driver(settings());
  driver.deliver(PromptCounted{{99}, {{8, 9000, 0}}});
  EXPECT_EQ(driver.lastEndpoint(99), 0U) << "counts of an unknown request caused a send";
}

}  // namespace
}  // namespace garnethook::test
