// Selection of the prefill endpoint by cached prefixes, the cost model and the queue.
#include <gtest/gtest.h>

#include <set>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

std::vector<EndpointEntry> fleet() {
  return {endpoint(1, kPrefill, 0), endpoint(2, kPrefill, 0), endpoint(3, kPrefill, 1),
          endpoint(11, kDecode, 0), endpoint(12, kDecode, 0), endpoint(13, kDecode, 1)};
}

TEST(PrefillSelection, SendsAnUncachedPrefixToTheSameEndpointForEverySeed) {
  std::set<std::uint64_t> prefillEndpoints;
  for (std::uint64_t key = 1; key <= 20; ++key) {
    PolicyDriver firstRouter(settings(), 1);
    PolicyDriver secondRouter(settings(), 99);
    for (PolicyDriver* driver : {&firstRouter, &secondRouter}) {
      driver->setEndpoints(fleet());
      auto request = driver->newRequest(1);
      request.sharedPrefix = {key};
      request.sharedPrefixTokens = 800;
      driver->deliver(request);
    }
    EXPECT_EQ(firstRouter.lastEndpoint(1), secondRouter.lastEndpoint(1));
    prefillEndpoints.insert(firstRouter.lastEndpoint(1));
  }
  EXPECT_EQ(prefillEndpoints, (std::set<std::uint64_t>{1, 2, 3}));
}

TEST(PrefillSelection, SendsASessionToTheEndpointThatCachesIt) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  auto first = driver.newRequest(1);
  first.promptTokens = 4000;
  const auto endpointOfFirst = driver.serve(first, 240 * kMs);
  auto next = driver.newRequest(2);
  next.session = first.session;
  next.promptTokens = 4400;
  driver.deliver(next);
  EXPECT_EQ(driver.lastEndpoint(2), endpointOfFirst);
}

TEST(PrefillSelection, ReusesASharedPrefixForOtherSessions) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  auto first = driver.newRequest(1);
  first.sharedPrefix = {5};
  first.sharedPrefixTokens = 3500;
  first.promptTokens = 4000;
  const auto endpointOfFirst = driver.serve(first, 240 * kMs);
  auto other = driver.newRequest(2);
  other.sharedPrefix = first.sharedPrefix;
  other.sharedPrefixTokens = 3500;
  other.promptTokens = 3900;
  driver.deliver(other);
  EXPECT_EQ(driver.lastEndpoint(2), endpointOfFirst);
}

TEST(PrefillSelection, PrefersAnotherEndpointWhenTheQueueOutweighsTheCache) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  auto first = driver.newRequest(1);
  first.promptTokens = 4000;
  const auto endpointOfFirst = driver.serve(first, 240 * kMs);
  for (std::uint64_t id = 2; id <= 3; ++id) {  // two long prefills of the session queue at its endpoint
    auto longRequest = driver.newRequest(id);
    longRequest.session = first.session;
    longRequest.promptTokens = 9000;
    driver.deliver(longRequest);
  }
  auto next = driver.newRequest(9);
  next.session = first.session;
  next.promptTokens = 4100;
  driver.deliver(next);
  EXPECT_NE(driver.lastEndpoint(9), endpointOfFirst);
}

TEST(PrefillSelection, DropsACachedPrefixAfterItsLifetime) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  auto request = driver.newRequest(1);
  request.promptTokens = 4000;
  request.session = {77};
  driver.deliver(request);
  const auto affinityEndpoint = driver.lastEndpoint(1);
  driver.endAttempt(
      1, Outcome::connectFailed);  // the prefill moves, so the index lists another endpoint than the hash
  const auto other = driver.lastEndpoint(1);
  ASSERT_NE(affinityEndpoint, other);
  driver.advanceTime(240 * kMs);
  driver.endAttempt(1, Outcome::prefillDone);
  driver.endAttempt(1, Outcome::completed);
  driver.advanceTime(2 * kSec);
  auto withinLifetime = driver.newRequest(2);
  withinLifetime.session = {77};
  driver.serve(withinLifetime);
  driver.advanceTime(11 * kSec);
  auto afterLifetime = driver.newRequest(3);
  afterLifetime.session = {77};
  driver.deliver(afterLifetime);
  EXPECT_EQ(driver.lastEndpoint(3), affinityEndpoint);
}

TEST(PrefillSelection, InvalidatesTheCachedPrefixesOfAnEndpointThatRestarts) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  auto request = driver.newRequest(1);
  request.session = {77};
  request.promptTokens = 6000;
  const auto endpointOfFirst = driver.serve(request, 300 * kMs);
  auto restarted = fleet();
  for (EndpointEntry& entry : restarted)
    if (entry.id.value == endpointOfFirst) entry.startedAt = driver.now;
  driver.setEndpoints(restarted);
  auto filler =
      driver.newRequest(2);  // uses up the slow-start budget, so that only a cached prefix could attract
  filler.session = {77};
  driver.deliver(filler);
  auto next = driver.newRequest(3);
  next.session = {77};
  driver.deliver(next);
  EXPECT_NE(driver.lastEndpoint(3), endpointOfFirst);
}

TEST(PrefillSelection, ServesARequestAfterRepeatedCacheMisses) {
  Settings customSettings = settings();
  PolicyDriver driver(customSettings);
  driver.setEndpoints(fleet());
  for (std::uint64_t id = 1; id <= 3; ++id) {
    auto request = driver.newRequest(id);
    request.session = {id};
    request.sharedPrefix = {500};
    request.sharedPrefixTokens = 3000;
    request.promptTokens = 3200;
    driver.serve(request, 200 * kMs, 0);  // nothing is cached although the index lists the prefix
  }
  auto next = driver.newRequest(9);
  next.sharedPrefix = {500};
  next.sharedPrefixTokens = 3000;
  next.promptTokens = 3200;
  driver.deliver(next);
  EXPECT_NE(driver.lastEndpoint(9), 0u);  // served by the hash, as for an uncached prefix
}

TEST(PrefillSelection, AvoidsAnEndpointThatReportsALongQueue) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  auto request = driver.newRequest(1);
  request.session = {77};
  driver.deliver(request);
  const auto endpointOfFirst = driver.lastEndpoint(1);
  driver.advanceTime(60 * kMs);
  AttemptEnded done{.id = {1}, .attempt = 0, .endpoint = {endpointOfFirst}, .outcome = Outcome::prefillDone};
  done.report = LoadReport{.memoryShare = 0.5, .queuedKiloTokens = 60};
  driver.deliver(done);
  auto next = driver.newRequest(2);
  next.session = {77};
  driver.deliver(next);
  EXPECT_NE(driver.lastEndpoint(2), endpointOfFirst);
}

TEST(PrefillSelection, SendsAShareOfRequestsWholeToCombinedEndpoints) {
  PolicyDriver driver(settings());
  auto endpoints = fleet();
  endpoints.push_back(endpoint(21, kCombined, 0));
  driver.setEndpoints(endpoints);
  int sentWhole = 0;
  for (std::uint64_t id = 1; id <= 200; ++id) {
    driver.deliver(driver.newRequest(id));
    if (driver.lastEndpoint(id) == 21) {
      ++sentWhole;
      driver.deliver(StreamStarted{{id}, 0});
    } else {
      driver.advanceTime(50 * kMs);
      driver.endAttempt(id, Outcome::prefillDone);
      driver.deliver(StreamStarted{{id}, 1});
    }
    driver.advanceTime(500 * kMs);
    driver.endAttempt(id, Outcome::completed);
  }
  EXPECT_GT(sentWhole, 5);
  EXPECT_LT(sentWhole, 60);
}

TEST(PrefillSelection, UsesDecodeEndpointsWhenAllowedAndNoPrefillEndpointIsLeft) {
  Settings customSettings = settings();
  customSettings.decodeEndpointsPrefill = true;
  PolicyDriver driver(customSettings);
  driver.setEndpoints({endpoint(11, kDecode)});
  driver.deliver(driver.newRequest(1));
  EXPECT_EQ(driver.lastEndpoint(1), 11u);
}

TEST(PrefillSelection, RejectsWhenAnEarlierPrefillHasWaitedLong) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  driver.deliver(driver.newRequest(1));
  driver.advanceTime(50 * kMs);
  driver.deliver(
      driver.newRequest(2));  // completes in between, so that the endpoint is busy, not unresponsive
  driver.advanceTime(850 * kMs);
  driver.endAttempt(2, Outcome::prefillDone);
  driver.deliver(driver.newRequest(3));  // the first prefill has waited for 900 ms
  EXPECT_EQ(driver.count<Send>(3), 0);
  EXPECT_EQ(driver.count<Reject>(3), 1);
}

TEST(PrefillSelection, RejectsWhenAFirstTokenIsLate) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  driver.deliver(driver.newRequest(1));
  driver.advanceTime(50 * kMs);
  driver.endAttempt(1, Outcome::prefillDone);
  ASSERT_EQ(driver.lastEndpoint(1), 11u);
  driver.advanceTime(950 * kMs);
  driver.deliver(driver.newRequest(2));
  EXPECT_EQ(driver.count<Reject>(2), 1);
}

TEST(PrefillSelection, EstimatesReportedTokensByTheCostModelsSlope) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  for (std::uint64_t id = 100; id < 190; ++id) {  // nearly all cached: 30 ms for 100 new tokens
    auto request = driver.newRequest(id);
    request.session = {7};
    request.promptTokens = 3000;
    driver.serve(request, 30 * kMs, 2900);
  }
  auto request = driver.newRequest(50);
  request.session = {7};
  request.promptTokens = 3000;
  driver.deliver(request);
  driver.advanceTime(30 * kMs);
  AttemptEnded done{
      .id = {50}, .attempt = 0, .endpoint = {1}, .outcome = Outcome::prefillDone, .cachedTokens = 2900};
  done.report = LoadReport{.memoryShare = 0.3, .queuedKiloTokens = 4};
  driver.deliver(done);
  request.id = {51};
  driver.deliver(request);  // at the mean prefill's time per token, the 4,000 would take 0.9 s
  EXPECT_EQ(driver.lastEndpoint(51), 1u);
}

TEST(PrefillSelection, RejectsRequestsThatCannotBeInTime) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  std::uint64_t id = 1;
  for (; id < 200 && driver.count<Reject>(id - 1) == 0; ++id) {
    auto request = driver.newRequest(id);
    request.promptTokens = 5000;
    driver.deliver(request);
  }
  EXPECT_GT(id, 3u);
  EXPECT_LT(id, 20u);
}

// Prevents a cell with one decode endpoint for many prefill endpoints from producing more KV states than it
// can decode.
TEST(PrefillSelection, SendsFewerRequestsToCellsWithLittleDecodeMemory) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill, 0), endpoint(2, kPrefill, 0), endpoint(3, kPrefill, 0),
                       endpoint(4, kPrefill, 1), endpoint(5, kPrefill, 1), endpoint(11, kDecode, 0),
                       endpoint(12, kDecode, 1), endpoint(13, kDecode, 1), endpoint(14, kDecode, 1)});
  int sentToCellWithLittleDecode = 0;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    sentToCellWithLittleDecode +=
        driver.serve(driver.newRequest(id)) <= 3 ? 1 : 0;  // 60 of 100 with unweighted hashes
    driver.advanceTime(kSec);
  }
  EXPECT_GT(sentToCellWithLittleDecode, 0);
  EXPECT_LT(sentToCellWithLittleDecode, 45);
}

// Prevents prefills that continue after a cancellation from keeping the decode endpoints busy permanently
// when every prefill endpoint is gone.
TEST(PrefillSelection, PrefillsAtDecodeEndpointsOnlyInTimeAndOnTheFirstAttempt) {
  Settings customSettings = settings();
  customSettings.decodeEndpointsPrefill = true;
  PolicyDriver driver(customSettings);
  driver.setEndpoints({endpoint(11, kDecode)});
  int sends = 0;
  for (std::uint64_t id = 1; id <= 40; ++id) {
    driver.deliver(driver.newRequest(id));
    sends += driver.count<Send>(id);
  }
  EXPECT_GT(sends, 0);
  EXPECT_LT(sends, 30);
  driver.endAttempt(1, Outcome::error);
  EXPECT_EQ(driver.count<Send>(1), 1);
}

// Prevents idle prefill endpoints in cells without decode endpoints, where there are fewer decode endpoints
// than cells. They get fewer requests than others, as their KV states cross links, but a substantial share.
TEST(PrefillSelection, SendsAShareOfRequestsToACellWithoutDecodeEndpoints) {
  PolicyDriver driver(settings());
  std::vector<EndpointEntry> fleet;
  for (std::uint64_t id = 1; id <= 4; ++id) fleet.push_back(endpoint(id, kPrefill, 0));
  for (std::uint64_t id = 5; id <= 8; ++id) fleet.push_back(endpoint(id, kPrefill, 1));
  fleet.push_back(endpoint(11, kDecode, 0));
  driver.setEndpoints(fleet);
  int sentToCellWithoutDecode = 0;
  for (std::uint64_t id = 1; id <= 200; ++id) {
    sentToCellWithoutDecode += driver.serve(driver.newRequest(id)) >= 5 ? 1 : 0;
    driver.advanceTime(500 * kMs);
  }
  EXPECT_GT(sentToCellWithoutDecode, 200 * 0.2);  // 200 * 0.6 / 2.0 = 60 expected; weight 0.1 gave 13
  EXPECT_LT(sentToCellWithoutDecode, 200 * 0.45);
}

// Prevents rejections of long prompts at an idle endpoint: the margin applies to the wait, not to the
// request's own prefill, and a long prompt has a later objective.
TEST(PrefillSelection, DoesNotRejectALongPromptForItsOwnPrefillAlone) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  auto request = driver.newRequest(1);
  request.promptTokens = 45'000;  // its prefill takes 2.7 s of the 3.7 s until its objective
  driver.deliver(request);
  EXPECT_EQ(driver.lastEndpoint(1), 1u);
  auto second = driver.newRequest(2);  // waits for the first
  second.promptTokens = 45'000;
  driver.deliver(second);
  EXPECT_EQ(driver.count<Reject>(2), 1);
}

}  // namespace
}  // namespace garnethook::test
