// A request that can't be served is rejected at once, and its client told when to come back.
#include <gtest/gtest.h>

#include <set>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

Settings settingsWithRetryAfter() {
  Settings custom = settings();
  custom.passesRetryAfter = true;
  custom.maxRetryAfter = 500 * kMs;
  return custom;
}

const Reject* rejection(const std::vector<Action>& actions) {
  for (const auto& action : actions)
    if (const auto* reject = std::get_if<Reject>(&action)) return reject;
  return nullptr;
}

// Sends requests to one prefill endpoint until one is rejected; returns that rejection.
Reject untilRejected(PolicyDriver& driver) {
  for (std::uint64_t id = 1; id < 200; ++id) {
    auto request = driver.newRequest(id);
    request.promptTokens = 5000;
    if (const auto actions = driver.deliver(request); rejection(actions) != nullptr)
      return *rejection(actions);
  }
  ADD_FAILURE() << "never rejected";
  return {};
}

TEST(RetryAfter, IsGivenOnlyWhenItReachesClients) {
  PolicyDriver without(settings());
  PolicyDriver withRetryAfter(settingsWithRetryAfter());
  for (auto* driver : {&without, &withRetryAfter})
    driver->setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  EXPECT_EQ(untilRejected(without).retryAfter, 0);
  EXPECT_GT(untilRejected(withRetryAfter).retryAfter, 0);
}

TEST(RetryAfter, NeverExceedsWhatClientsObey) {
  PolicyDriver driver(settingsWithRetryAfter());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  untilRejected(driver);
  for (std::uint64_t id = 500; id < 520; ++id) {
    auto request = driver.newRequest(id);
    request.promptTokens = 80'000;  // seconds too late
    const auto actions = driver.deliver(request);
    ASSERT_NE(rejection(actions), nullptr);
    EXPECT_LE(rejection(actions)->retryAfter, 500 * kMs);
    EXPECT_GE(rejection(actions)->retryAfter, 250 * kMs);
  }
}

TEST(RetryAfter, GrowsWithTheExpectedLateness) {
  Settings custom = settingsWithRetryAfter();
  custom.maxRetryAfter = 60 * kSec;
  PolicyDriver driver(custom);
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  const auto shortWait = untilRejected(driver).retryAfter;
  auto request = driver.newRequest(500);
  request.promptTokens = 80'000;
  const auto actions = driver.deliver(request);
  ASSERT_NE(rejection(actions), nullptr);
  EXPECT_GT(rejection(actions)->retryAfter, 4 * shortWait);
}

TEST(RetryAfter, SpreadsClientsThatAreRejectedTogether) {
  std::set<Micros> delays;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    PolicyDriver driver(settingsWithRetryAfter(), seed);
    driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
    delays.insert(untilRejected(driver).retryAfter / kMs);
  }
  EXPECT_GT(delays.size(), 10u);
}

TEST(Admission, RejectsAtOnceWhenNoEndpointIsListed) {
  PolicyDriver driver(settingsWithRetryAfter());
  driver.setEndpoints({});
  const auto actions = driver.deliver(driver.newRequest(1));
  ASSERT_NE(rejection(actions), nullptr);
  EXPECT_GT(rejection(actions)->retryAfter, 0);
}

TEST(Admission, RejectsAtOnceWhenNoEndpointPrefills) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(11, kDecode)});
  EXPECT_NE(rejection(driver.deliver(driver.newRequest(1))), nullptr);
}

// The prefill endpoint is full for a moment: it may serve later, so the request waits.
TEST(Admission, WaitsWhenAFullPrefillEndpointMayServeInTime) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  driver.deliver(driver.newRequest(1));
  const auto actions = driver.endAttempt(1, Outcome::rejected);
  EXPECT_EQ(rejection(actions), nullptr);
  driver.advanceTime(400 * kMs);
  EXPECT_EQ(driver.count<Reject>(1), 0);
  EXPECT_EQ(driver.count<Send>(1), 2);
}

// The same, but the prefill alone would take longer than the objective.
TEST(Admission, RejectsAtOnceWhenAFullPrefillEndpointWouldBeTooSlow) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  driver.deliver(driver.newRequest(1));
  driver.endAttempt(1, Outcome::rejected);
  auto request = driver.newRequest(2);
  request.promptTokens = 100'000;
  EXPECT_NE(rejection(driver.deliver(request)), nullptr);
}

// The last decode endpoint leaves during a prefill: nobody can take the KV state.
TEST(Admission, RejectsAtOnceWhenNoEndpointCanDecodeTheKvState) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  driver.deliver(driver.newRequest(1));
  driver.setEndpoints({endpoint(1, kPrefill)});
  const auto actions = driver.endAttempt(1, Outcome::prefillDone);
  EXPECT_NE(rejection(actions), nullptr);
  EXPECT_EQ(driver.count<Release>(1), 1);
}

TEST(Admission, WaitsWhenAFullDecodeEndpointMayServeInTime) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  driver.deliver(driver.newRequest(1));
  driver.endAttempt(1, Outcome::prefillDone);
  EXPECT_EQ(rejection(driver.endAttempt(1, Outcome::rejected)), nullptr);
  driver.advanceTime(200 * kMs);
  EXPECT_EQ(driver.count<Reject>(1), 0);
  EXPECT_EQ(driver.count<Send>(1), 3);
}

// The prefill ends right before the deadline: no decode endpoint can be in time, so there is no wait for a
// full one.
TEST(Admission, RejectsAtOnceWhenTheKvStateComesTooLate) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  auto request = driver.newRequest(1);
  request.remaining = 700 * kMs;
  driver.deliver(request);
  driver.advanceTime(20 * kMs);
  driver.endAttempt(1, Outcome::prefillDone);
  driver.advanceTime(650 * kMs);
  EXPECT_NE(rejection(driver.endAttempt(1, Outcome::rejected)), nullptr);
}

TEST(Admission, RejectsAtOnceAfterTheLastAttempt) {
  Settings custom = settings();
  custom.maxAttempts = 2;
  PolicyDriver driver(custom);
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(11, kDecode)});
  driver.deliver(driver.newRequest(1));
  EXPECT_EQ(rejection(driver.endAttempt(1, Outcome::connectFailed)), nullptr);
  EXPECT_NE(rejection(driver.endAttempt(1, Outcome::connectFailed)), nullptr);
}

}  // namespace
}  // namespace garnethook::test
