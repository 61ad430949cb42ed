// A request that cannot be served in time is rejected at once, and its client gets a Retry-After.
#include <gtest/gtest.h>

#include <set>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

Settings settingsWithRetryAfter() {
  Settings customSettings = settings();
  customSettings.passesRetryAfter = true;
  customSettings.maxRetryAfter = 500 * kMs;
  return customSettings;
}

const Reject* rejection(const std::vector<Action>& actions) {
  for (const auto& action : actions)
    if (const auto* reject = std::get_if<Reject>(&action)) return reject;
  return nullptr;
}

// Sends requests until one is rejected and returns that rejection.
Reject sendUntilRejected(PolicyDriver& driver) {
  for (std::uint64_t id = 1; id < 200; ++id) {
    auto request = driver.newRequest(id);
    request.promptTokens = 5000;
    if (const auto actions = driver.deliver(request); rejection(actions) != nullptr)
      return *rejection(actions);
  }
  ADD_FAILURE() << "no request was rejected";
  return {};
}

TEST(RetryAfter, IsSetOnlyWhenItIsPassedToClients) {
  PolicyDriver withoutRetryAfter(settings());
  PolicyDriver withRetryAfter(settingsWithRetryAfter());
  for (auto* driver : {&withoutRetryAfter, &withRetryAfter})
    driver->setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  EXPECT_EQ(sendUntilRejected(withoutRetryAfter).retryAfter, 0);
  EXPECT_GT(sendUntilRejected(withRetryAfter).retryAfter, 0);
}

TEST(RetryAfter, NeverExceedsTheConfiguredMaximum) {
  PolicyDriver driver(settingsWithRetryAfter());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  sendUntilRejected(driver);
  for (std::uint64_t id = 500; id < 520; ++id) {
    auto request = driver.newRequest(id);
    request.promptTokens = 80'000;  // late by several seconds
    const auto actions = driver.deliver(request);
    ASSERT_NE(rejection(actions), nullptr);
    EXPECT_LE(rejection(actions)->retryAfter, 500 * kMs);
    EXPECT_GE(rejection(actions)->retryAfter, 250 * kMs);
  }
}

TEST(RetryAfter, GrowsWithTheExpectedLateness) {
  Settings customSettings = settingsWithRetryAfter();
  customSettings.maxRetryAfter = 60 * kSec;
  PolicyDriver driver(customSettings);
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  const auto shortDelay = sendUntilRejected(driver).retryAfter;
  auto request = driver.newRequest(500);
  request.promptTokens = 80'000;
  const auto actions = driver.deliver(request);
  ASSERT_NE(rejection(actions), nullptr);
  EXPECT_GT(rejection(actions)->retryAfter, 4 * shortDelay);
}

TEST(RetryAfter, DiffersBetweenClientsThatAreRejectedTogether) {
  std::set<Micros> delays;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    PolicyDriver driver(settingsWithRetryAfter(), seed);
    driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
    delays.insert(sendUntilRejected(driver).retryAfter / kMs);
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

// The prefill endpoint is full only for a moment and may serve the request later, so the request is kept.
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

// The prefill endpoint is full, and the prefill alone would take longer than the TTFT objective.
TEST(Admission, RejectsAtOnceWhenAFullPrefillEndpointWouldBeTooSlow) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  driver.deliver(driver.newRequest(1));
  driver.endAttempt(1, Outcome::rejected);
  auto request = driver.newRequest(2);
  request.promptTokens = 100'000;
  EXPECT_NE(rejection(driver.deliver(request)), nullptr);
}

// The last decode endpoint leaves the list during a prefill, so no endpoint can decode the KV state.
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

// The decode endpoint rejects the request right before its deadline. No endpoint could decode it in time, so
// the request does not wait for a full one.
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
  Settings customSettings = settings();
  customSettings.maxAttempts = 2;
  PolicyDriver driver(customSettings);
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(11, kDecode)});
  driver.deliver(driver.newRequest(1));
  EXPECT_EQ(rejection(driver.endAttempt(1, Outcome::connectFailed)), nullptr);
  const auto actions = driver.endAttempt(1, Outcome::connectFailed);
  ASSERT_NE(rejection(actions), nullptr);
  EXPECT_EQ(rejection(actions)->reason, RejectionReason::noAttemptsLeft);
}

// Guards against a request running out of attempts at full decode endpoints: when its KV state was lost
// meanwhile, none was left to prefill it again.
TEST(Admission, PrefillsALostKvStateAgainAfterFullDecodeEndpointsRejectedTheRequest) {
  Settings customSettings = settings();
  customSettings.maxUncountedRejections = 4;
  PolicyDriver driver(customSettings);
  driver.setEndpoints(
      {endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(11, kDecode), endpoint(12, kDecode)});
  driver.deliver(driver.newRequest(1));
  driver.endAttempt(1, Outcome::prefillDone);
  driver.endAttempt(1, Outcome::rejected);
  driver.endAttempt(1, Outcome::rejected);
  driver.advanceTime(200 * kMs);
  ASSERT_EQ(driver.count<Send>(1), 4);
  driver.endAttempt(1, Outcome::rejected, 0, true);
  ASSERT_EQ(driver.count<Send>(1), 5);
  EXPECT_LE(driver.lastEndpoint(1), 2u);
  driver.endAttempt(1, Outcome::prefillDone);
  EXPECT_GE(driver.lastEndpoint(1), 11u);
  EXPECT_EQ(driver.count<Reject>(1), 0);
}

// Rejections must not be repeated without end either.
TEST(Admission, CountsFurtherRejectionsAndAllOtherFailuresAsAttempts) {
  constexpr int kUncounted = 2;
  for (const Outcome outcome : {Outcome::rejected, Outcome::connectFailed}) {
    Settings customSettings = settings();
    customSettings.maxAttempts = 3;
    customSettings.maxUncountedRejections = kUncounted;
    PolicyDriver driver(customSettings);
    std::vector<EndpointEntry> entries{endpoint(11, kDecode)};
    for (std::uint64_t id = 1; id <= 9; ++id) entries.push_back(endpoint(id, kPrefill));
    driver.setEndpoints(entries);
    driver.deliver(driver.newRequest(1));
    for (int i = 0; i < 9 && driver.count<Reject>(1) == 0; ++i) driver.endAttempt(1, outcome);
    EXPECT_EQ(driver.count<Send>(1), 3 + (outcome == Outcome::rejected ? kUncounted : 0));
    EXPECT_EQ(driver.count<Reject>(1), 1);
  }
}

}  // namespace
}  // namespace garnethook::test
