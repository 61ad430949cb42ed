// Selection of the decode endpoint: one with room in the cell of the KV state, then one in another cell; a
// request waits if no endpoint has room.
#include <gtest/gtest.h>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

std::vector<EndpointEntry> fleet() {
  return {endpoint(1, kPrefill, 0), endpoint(11, kDecode, 0), endpoint(12, kDecode, 0),
          endpoint(13, kDecode, 1)};
}

void executePrefill(PolicyDriver& driver, std::uint64_t id, double tokens = 1000) {
  auto request = driver.newRequest(id);
  request.promptTokens = tokens;
  driver.deliver(request);
  driver.advanceTime(50 * kMs);
  driver.endAttempt(id, Outcome::prefillDone);
}

TEST(DecodeSelection, PrefersTheEmptierEndpointOfTheCell) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  executePrefill(driver, 1, 5000);
  const auto first = driver.lastEndpoint(1);
  EXPECT_TRUE(first == 11 || first == 12);
  executePrefill(driver, 2);
  EXPECT_EQ(driver.lastEndpoint(2), first == 11 ? 12u : 11u);
}

TEST(DecodeSelection, FollowsReportedMemoryOccupancy) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  for (std::uint64_t id = 1; id <= 2; ++id) {
    executePrefill(driver, id);
    AttemptEnded completion{
        .id = {id}, .attempt = 1, .endpoint = {driver.lastEndpoint(id)}, .outcome = Outcome::completed};
    completion.requestEnded = true;
    completion.report = LoadReport{.memoryShare = driver.lastEndpoint(id) == 11 ? 0.8 : 0.2};
    driver.deliver(completion);
  }
  executePrefill(driver, 3);
  EXPECT_EQ(driver.lastEndpoint(3), 12u);
}

TEST(DecodeSelection, SelectsAnotherCellWhenTheCellIsFull) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  for (std::uint64_t id = 1; id <= 2; ++id) {
    executePrefill(driver, id);
    AttemptEnded completion{
        .id = {id}, .attempt = 1, .endpoint = {driver.lastEndpoint(id)}, .outcome = Outcome::completed};
    completion.requestEnded = true;
    completion.report = LoadReport{.memoryShare = 0.99};
    driver.deliver(completion);
  }
  executePrefill(driver, 3);
  EXPECT_EQ(driver.lastEndpoint(3), 13u);
}

TEST(DecodeSelection, KeepsTheKvStateWithinTheReleaseTimeoutWhenThereIsNoRoom) {
  Settings customSettings = settings();
  PolicyDriver driver(customSettings);
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  executePrefill(driver, 1);
  driver.deliver(driver.newRequest(2));
  AttemptEnded completion{.id = {1}, .attempt = 1, .endpoint = {11}, .outcome = Outcome::completed};
  completion.requestEnded = true;
  completion.report = LoadReport{.memoryShare = 1};
  driver.deliver(completion);
  driver.advanceTime(50 * kMs);
  driver.endAttempt(2, Outcome::prefillDone);
  EXPECT_EQ(driver.count<Send>(2), 1);
  driver.advanceTime(customSettings.kvReleaseTimeout);
  EXPECT_EQ(driver.count<Send>(2), 2);  // sent without room, as the release timeout is near
}

TEST(DecodeSelection, AdmitsNoNewRequestWhenNoEndpointHasRoom) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  executePrefill(driver, 1);
  AttemptEnded completion{.id = {1}, .attempt = 1, .endpoint = {11}, .outcome = Outcome::completed};
  completion.requestEnded = true;
  completion.report = LoadReport{.memoryShare = 0.97};
  driver.deliver(completion);
  driver.deliver(driver.newRequest(2));
  EXPECT_EQ(driver.count<Send>(2), 0);
  EXPECT_EQ(driver.count<Reject>(2), 1);
}

TEST(DecodeSelection, PrefillsAgainWithoutPenalisingTheDecodeEndpointWhenTheKvStateIsMissing) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(11, kDecode)});
  driver.deliver(driver.newRequest(1));
  const auto endpointOfFirst = driver.lastEndpoint(1);
  driver.endAttempt(1, Outcome::prefillDone);
  EXPECT_EQ(driver.lastEndpoint(1), 11u);
  driver.endAttempt(1, Outcome::rejected, 0, true);
  EXPECT_EQ(driver.lastEndpoint(1), endpointOfFirst == 1 ? 2u : 1u);
  driver.endAttempt(1, Outcome::prefillDone);
  EXPECT_EQ(driver.lastEndpoint(1), 11u);  // still selected
}

TEST(DecodeSelection, TriesAnotherEndpointWhenOneIsFull) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  executePrefill(driver, 1);
  const auto first = driver.lastEndpoint(1);
  driver.endAttempt(1, Outcome::rejected);
  EXPECT_NE(driver.lastEndpoint(1), first);
  EXPECT_EQ(driver.count<Send>(1), 3);
}

// Prevents overload of one decode endpoint when a hundred routers without observations choose among equal
// ones.
TEST(DecodeSelection, SpreadsRoutersWithoutObservationsOverEqualEndpoints) {
  Settings customSettings = settings();
  customSettings.routers = 100;
  std::map<std::uint64_t, int> chosen;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    PolicyDriver driver(customSettings, seed);
    driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode), endpoint(12, kDecode),
                         endpoint(13, kDecode), endpoint(14, kDecode)});
    executePrefill(driver, 1);
    ++chosen[driver.lastEndpoint(1)];
  }
  for (std::uint64_t id = 11; id <= 14; ++id) EXPECT_LE(chosen[id], 40) << id;
}

// Prevents a router from leaving the cell because it takes its single stream at an endpoint for one from each
// of a hundred routers.
TEST(DecodeSelection, DoesNotExtrapolateOneOwnStreamToAllRouters) {
  Settings customSettings = settings();
  customSettings.routers = 100;
  PolicyDriver driver(customSettings);
  driver.setEndpoints({endpoint(1, kPrefill, 0), endpoint(11, kDecode, 0), endpoint(12, kDecode, 1),
                       endpoint(13, kDecode, 1), endpoint(14, kDecode, 1), endpoint(15, kDecode, 1)});
  for (std::uint64_t id = 1; id <= 2; ++id) {
    executePrefill(driver, id, 2000);
    EXPECT_EQ(driver.lastEndpoint(id), 11u);
    driver.advanceTime(20 * kMs);
    driver.deliver(StreamStarted{{id}, 1});
    driver.advanceTime(kSec);
  }
}

// Prevents prefills from slowing the streams at combined endpoints: where answers stream longer, fewer
// requests are executed whole.
TEST(CombinedShare, IsSmallerWhenAnswersOfCombinedEndpointsStreamLonger) {
  const auto sentWhole = [](Micros streamTimeAtCombined) {
    PolicyDriver driver(settings());
    driver.setEndpoints(
        {endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(11, kDecode), endpoint(21, kCombined)});
    int count = 0;
    for (std::uint64_t id = 1; id <= 200; ++id) {
      driver.deliver(driver.newRequest(id));
      const bool isCombined = driver.lastEndpoint(id) == 21;
      count += isCombined && id > 100 ? 1 : 0;
      driver.advanceTime(50 * kMs);
      if (!isCombined) driver.endAttempt(id, Outcome::prefillDone);
      driver.deliver(StreamStarted{{id}, driver.count<Send>(id) - 1});
      driver.advanceTime(driver.lastEndpoint(id) == 21 ? streamTimeAtCombined : 500 * kMs);
      driver.endAttempt(id, Outcome::completed);
    }
    return count;
  };
  const int sentAtEqualSpeed = sentWhole(500 * kMs);
  const int sentWhenSlow = sentWhole(3 * kSec);
  EXPECT_GT(sentAtEqualSpeed, 30);  // the combined endpoint has half of the decode memory
  EXPECT_GT(sentWhenSlow, 0);
  EXPECT_LT(2 * sentWhenSlow, sentAtEqualSpeed);
}

}  // namespace
}  // namespace garnethook::test
