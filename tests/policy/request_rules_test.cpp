// Tests the five rules that apply to every request: one final response by the deadline, retries according to
// idempotency, the attempt limit, endpoint states and slow-start budgets, and release of KV state. Also tests
// late and stray events and the validation of settings.
#include <gtest/gtest.h>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

std::vector<EndpointEntry> fleet() {
  return {endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(11, kDecode), endpoint(12, kDecode)};
}
int finalResponses(const PolicyDriver& driver, std::uint64_t id) {
  return driver.count<Reject>(id) + driver.count<Fail>(id);
}

void completePrefill(PolicyDriver& driver, std::uint64_t id, ClassIndex classIndex) {
  driver.deliver(driver.newRequest(id, classIndex));
  driver.advanceTime(50 * kMs);
  driver.endAttempt(id, Outcome::prefillDone);
}

class IncompleteFleet : public testing::TestWithParam<std::vector<EndpointEntry>> {};
TEST_P(IncompleteFleet, GivesEachRequestOneFinalResponseInTime) {
  PolicyDriver driver(settings());
  driver.setEndpoints(GetParam());
  for (const auto classIndex : {kIdempotent, kIdempotentWithKey, kNonIdempotent})
    driver.deliver(driver.newRequest(10 + classIndex, classIndex));
  driver.advanceTime(100 * kMs);
  for (std::uint64_t id = 10; id <= 12; ++id)
    if (driver.count<Send>(id) == 1 && driver.lastEndpoint(id) == 1)
      driver.endAttempt(id, Outcome::prefillDone);
  driver.advanceTime(5 * kSec);
  for (std::uint64_t id = 10; id <= 12; ++id) {
    EXPECT_EQ(finalResponses(driver, id), 1);
    EXPECT_GE(driver.count<Release>(id), 1);
  }
}
EndpointEntry draining(EndpointEntry entry) {
  entry.state = EndpointState::draining;
  return entry;
}
INSTANTIATE_TEST_SUITE_P(Lists, IncompleteFleet,
                         testing::Values(std::vector<EndpointEntry>{}, std::vector{endpoint(1, kPrefill)},
                                         std::vector{endpoint(11, kDecode)},
                                         std::vector{draining(endpoint(1, kPrefill)),
                                                     draining(endpoint(11, kDecode))}));

TEST(FinalResponse, IsGivenAtTheDeadlineWhenAnAttemptIsInFlight) {
  for (const auto classIndex : {kIdempotent, kIdempotentWithKey, kNonIdempotent}) {
    Settings custom = settings();
    custom.canCancel = false;
    PolicyDriver driver(custom);
    driver.setEndpoints(fleet());
    completePrefill(driver, 1, classIndex);
    ASSERT_EQ(driver.count<Send>(1), 2);
    driver.advanceTime(5 * kSec);
    EXPECT_EQ(finalResponses(driver, 1), 1);
    EXPECT_EQ(driver.count<Fail>(1), classIndex == kIdempotent ? 0 : 1);
    const int releasesAtDeadline = driver.count<Release>(1);
    driver.endAttempt(1, Outcome::timedOut);  // the endpoint may still hold KV state
    EXPECT_GT(driver.count<Release>(1), releasesAtDeadline);
    EXPECT_EQ(driver.count<Send>(1), 2);
  }
}

TEST(FinalResponse, IsNotGivenWhenTheStreamHasStarted) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  completePrefill(driver, 1, kIdempotent);
  driver.deliver(StreamStarted{{1}, 1});
  driver.advanceTime(20 * kSec);
  EXPECT_EQ(finalResponses(driver, 1), 0);
  driver.endAttempt(1, Outcome::completed);
  EXPECT_EQ(finalResponses(driver, 1), 0);
}

TEST(FinalResponse, IsAnImmediateFailureWhenTheClassIsUnknown) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  auto request = driver.newRequest(1);
  request.requestClass.reset();
  driver.deliver(request);
  EXPECT_EQ(driver.count<Fail>(1), 1);
  EXPECT_EQ(driver.count<Send>(1), 0);
}

class PossiblyExecuted : public testing::TestWithParam<Outcome> {};
TEST_P(PossiblyExecuted, FailsANonIdempotentRequestWithoutRetryOrRejection) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  completePrefill(driver, 1, kNonIdempotent);
  ASSERT_GE(driver.lastEndpoint(1), 11u);
  driver.endAttempt(1, GetParam());
  EXPECT_EQ(driver.count<Send>(1), 2);
  EXPECT_EQ(driver.count<Fail>(1), 1);
  EXPECT_EQ(driver.count<Reject>(1), 0);
}
INSTANTIATE_TEST_SUITE_P(Outcomes, PossiblyExecuted,
                         testing::Values(Outcome::error, Outcome::timedOut, Outcome::connectionReset,
                                         Outcome::cancelled));

class NotExecuted : public testing::TestWithParam<Outcome> {};
TEST_P(NotExecuted, RetriesANonIdempotentRequestElsewhere) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  completePrefill(driver, 1, kNonIdempotent);
  const auto first = driver.lastEndpoint(1);
  driver.endAttempt(1, GetParam());
  EXPECT_EQ(driver.count<Send>(1), 3);
  EXPECT_NE(driver.lastEndpoint(1), first);
}
INSTANTIATE_TEST_SUITE_P(Outcomes, NotExecuted, testing::Values(Outcome::rejected, Outcome::connectFailed));

class FailedPrefill : public testing::TestWithParam<Outcome> {};
TEST_P(FailedPrefill, IsRetriedInEveryClass) {
  for (const auto classIndex : {kIdempotent, kIdempotentWithKey, kNonIdempotent}) {
    PolicyDriver driver(settings());
    driver.setEndpoints(fleet());
    driver.deliver(driver.newRequest(1, classIndex));
    const auto first = driver.lastEndpoint(1);
    driver.endAttempt(1, GetParam());
    EXPECT_EQ(driver.count<Send>(1), 2);
    EXPECT_NE(driver.lastEndpoint(1), first);
  }
}
INSTANTIATE_TEST_SUITE_P(Outcomes, FailedPrefill,
                         testing::Values(Outcome::error, Outcome::timedOut, Outcome::connectionReset,
                                         Outcome::rejected, Outcome::connectFailed));

TEST(IdempotencyKey, KeepsRetriesInTheDeduplicationScopeAndWindow) {
  PolicyDriver driver(settings());
  driver.setEndpoints(
      {endpoint(1, kPrefill, 0, 0), endpoint(11, kDecode, 0, 0), endpoint(12, kDecode, 0, 1)});
  completePrefill(driver, 1, kIdempotentWithKey);
  const auto first = driver.lastEndpoint(1);
  driver.endAttempt(1, Outcome::connectionReset);
  driver.advanceTime(5 * kSec);  // until the deadline, with a retry in flight at the first endpoint
  for (const auto& [at, action] : driver.log)
    if (const auto* send = std::get_if<Send>(&action); send && send->endpoint.value >= 11) {
      EXPECT_EQ(send->endpoint.value, first);  // the other endpoint is in another zone
    }
  EXPECT_EQ(driver.count<Reject>(1), 0);
  EXPECT_EQ(finalResponses(driver, 1), 1);
}

// A repeated prefill is limited to the deduplication scope as well, since the decode that follows it would
// not be deduplicated elsewhere.
TEST(IdempotencyKey, KeepsRepeatedPrefillsInTheDeduplicationScope) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    PolicyDriver driver(settings(), seed);
    driver.setEndpoints({endpoint(1, kPrefill, 0, 0), endpoint(2, kPrefill, 1, 1),
                         endpoint(11, kDecode, 0, 0), endpoint(12, kDecode, 1, 1)});
    completePrefill(driver, 1, kIdempotentWithKey);
    const bool isFirstZone = driver.lastEndpoint(1) == 11;
    ASSERT_TRUE(isFirstZone || driver.lastEndpoint(1) == 12);
    const auto logSizeBefore = driver.log.size();
    driver.endAttempt(1, Outcome::connectionReset);
    // The KV state is missing, so the prompt must be prefilled again.
    driver.endAttempt(1, Outcome::rejected, 0, true);
    driver.advanceTime(5 * kSec);
    for (auto index = logSizeBefore; index < driver.log.size(); ++index)
      if (const auto* send = std::get_if<Send>(&driver.log[index].second)) {
        EXPECT_EQ(send->endpoint.value == 1 || send->endpoint.value == 11, isFirstZone);
      }
    EXPECT_GE(driver.count<Send>(1), 4);  // includes a second prefill
    EXPECT_EQ(driver.count<Reject>(1), 0);
    EXPECT_EQ(finalResponses(driver, 1), 1);
  }
}

// After the window, endpoints no longer recognise the first attempt and would execute the retry as a new
// request.
TEST(IdempotencyKey, AllowsNoRetryAfterTheDeduplicationWindow) {
  for (const bool isLate : {false, true}) {
    PolicyDriver driver(settings());
    driver.setEndpoints(
        {endpoint(1, kPrefill, 0, 0), endpoint(11, kDecode, 0, 0), endpoint(12, kDecode, 0, 0)});
    completePrefill(driver, 1, kIdempotentWithKey);
    const int sendsBefore = driver.count<Send>(1);
    driver.advanceTime(settings().classes[kIdempotentWithKey].deduplicationWindow +
                       (isLate ? 10 * kMs : -10 * kMs));
    driver.endAttempt(1, Outcome::connectionReset);
    EXPECT_EQ(driver.count<Send>(1), isLate ? sendsBefore : sendsBefore + 1);
    driver.advanceTime(5 * kSec);
    EXPECT_EQ(driver.count<Reject>(1), 0);
    EXPECT_EQ(finalResponses(driver, 1), 1);
  }
}

TEST(Attempts, DoNotExceedTheLimit) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  driver.deliver(driver.newRequest(1));
  for (int i = 0; i < 10 && finalResponses(driver, 1) == 0; ++i) driver.endAttempt(1, Outcome::error);
  EXPECT_EQ(driver.count<Send>(1), settings().maxAttempts);
  EXPECT_EQ(finalResponses(driver, 1), 1);
}

TEST(EndpointUpdate, StopsSendsImmediatelyWhenAnEndpointDrains) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  driver.setEndpoints({draining(endpoint(1, kPrefill)), draining(endpoint(11, kDecode))},
                      EndpointUpdate::Kind::delta);
  for (std::uint64_t id = 1; id <= 20; ++id) {
    completePrefill(driver, id, kIdempotent);
    EXPECT_EQ(driver.lastEndpoint(id), 12u);
    driver.endAttempt(id, Outcome::completed);
  }
  // A snapshot without the other endpoints removes them.
  driver.setEndpoints({endpoint(2, kPrefill), endpoint(12, kDecode)});
  completePrefill(driver, 30, kIdempotent);
  EXPECT_EQ(driver.lastEndpoint(30), 12u);
}

TEST(SlowStart, KeepsAWarmingUpEndpointWithinItsBudget) {
  Settings custom = settings();
  PolicyDriver driver(custom);
  driver.setEndpoints(fleet());
  for (std::uint64_t id = 1; id <= 60; ++id) {
    completePrefill(driver, id, kIdempotent);
    driver.endAttempt(id, Outcome::completed);
    driver.advanceTime(50 * kMs);
  }
  auto warmingUp = endpoint(3, kPrefill);
  warmingUp.startedAt = driver.now;
  driver.setEndpoints({warmingUp}, EndpointUpdate::Kind::delta);
  int sendsToWarmingUp = 0;
  for (std::uint64_t id = 100; id <= 119; ++id) {  // one overload window of 2 s
    completePrefill(driver, id, kIdempotent);
    for (const auto& [at, action] : driver.log)
      if (const auto* send = std::get_if<Send>(&action);
          send && send->id.value == id && send->endpoint.value == 3)
        ++sendsToWarmingUp;
    driver.endAttempt(id, Outcome::completed);
    driver.advanceTime(50 * kMs);
  }
  // Two warm endpoints together complete 10 requests a second, which is 10 each in a window of 2 s. The
  // budget is 0.3 x 2.5 of that.
  EXPECT_LE(sendsToWarmingUp, 7);
}

// Prevents overload by routers that each find a warming-up endpoint idle: a hundred routers together must
// stay within its budget.
TEST(SlowStart, KeepsAHundredRoutersTogetherWithinTheBudget) {
  Settings custom = settings();
  custom.routers = 100;
  int sends = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    PolicyDriver driver(custom, seed);
    driver.setEndpoints(fleet());
    for (std::uint64_t id = 1; id <= 6; ++id) {
      completePrefill(driver, id, kIdempotent);
      driver.endAttempt(id, Outcome::completed);
      driver.advanceTime(kSec);
    }
    auto warmingUp = endpoint(3, kPrefill);
    warmingUp.startedAt = driver.now;
    driver.setEndpoints({warmingUp}, EndpointUpdate::Kind::delta);
    for (std::uint64_t id = 100; id <= 101; ++id) {  // one overload window of 2 s
      completePrefill(driver, id, kIdempotent);
      for (const auto& [at, action] : driver.log)
        if (const auto* send = std::get_if<Send>(&action); send && send->id.value == id)
          sends += send->endpoint.value == 3 ? 1 : 0;
      driver.endAttempt(id, Outcome::completed);
      driver.advanceTime(kSec);
    }
  }
  // Each warm endpoint completes about 100 requests in a window; the budget is 0.3 x 2.5 of that.
  EXPECT_LE(sends, 75);
}

TEST(KvState, IsReleasedHoweverARequestEnds) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  completePrefill(driver, 1, kNonIdempotent);
  driver.endAttempt(1, Outcome::connectionReset);
  EXPECT_GE(driver.count<Release>(1), 1);
  driver.deliver(driver.newRequest(2));
  driver.deliver(RequestCancelled{{2}});
  const int releasesBefore = driver.count<Release>(2);
  driver.endAttempt(2, Outcome::prefillDone);  // the prefill completes after the client has cancelled
  EXPECT_GT(driver.count<Release>(2), releasesBefore);
  EXPECT_EQ(finalResponses(driver, 2), 0);
}

TEST(StrayEvent, CausesNoAction) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  EXPECT_TRUE(driver.deliver(StreamStarted{{99}, 0}).empty());
  EXPECT_TRUE(driver.deliver(AttemptEnded{.id = {99}, .attempt = 0, .endpoint = {1}}).empty());
  EXPECT_TRUE(driver.deliver(RequestCancelled{{99}}).empty());
  EXPECT_TRUE(driver.deliver(TimerFired{{99 * 4}}).empty());
  EXPECT_TRUE(driver.deliver(ProbeEnded{.endpoint = {99}, .ok = true}).empty());
  driver.serve(driver.newRequest(1));
  EXPECT_TRUE(driver.deliver(TimerFired{{1 * 4}}).empty());
  EXPECT_TRUE(driver.deliver(TimerFired{{1 * 4 + 1}}).empty());
}

TEST(Settings, AreRejectedWithTheirNameWhenInvalid) {
  const auto errorOf = [](auto change) -> std::string {
    Settings custom = settings();
    change(custom);
    try {
      const RoutingPolicy policy(custom, 1);
    } catch (const std::invalid_argument& error) { return error.what(); }
    return "";
  };
  EXPECT_EQ(errorOf([](Settings&) {}), "");
  EXPECT_NE(errorOf([](Settings& changed) { changed.kinds.clear(); }).find("kinds"), std::string::npos);
  EXPECT_NE(errorOf([](Settings& changed) { changed.routers = 0; }).find("routers"), std::string::npos);
  EXPECT_NE(errorOf([](Settings& changed) { changed.ownZone = 7; }).find("ownZone"), std::string::npos);
  EXPECT_NE(errorOf([](Settings& changed) { changed.maxAttempts = 0; }).find("maxAttempts"),
            std::string::npos);
  EXPECT_NE(
      errorOf([](Settings& changed) { changed.warmUpMinCapacity = 2; }).find("warmUpMinCapacity (coldFrom)"),
      std::string::npos);
  EXPECT_NE(errorOf([](Settings& changed) {
              changed.kvReleaseTimeout = -1;
            }).find("kvReleaseTimeout (releaseWithin)"),
            std::string::npos);
  EXPECT_NE(errorOf([](Settings& changed) { changed.maxRetryAfter = -1; }).find("maxRetryAfter"),
            std::string::npos);
}

TEST(Settings, AreAcceptedWhenUnusualButValid) {
  Settings custom = settings();
  custom.zones = 1;
  custom.routers = 1;
  custom.overloadMultiple = 0;
  custom.kvReleaseTimeout = 0;
  PolicyDriver driver(custom);
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  auto request = driver.newRequest(1);
  request.promptTokens = 0;
  request.sharedPrefix = {4};
  request.sharedPrefixTokens = 500;  // longer than the prompt
  driver.serve(request);
  EXPECT_EQ(driver.lastEndpoint(1), 11u);
}

}  // namespace
}  // namespace garnethook::test
