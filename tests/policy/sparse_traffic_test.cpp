// Tests a router that receives a small part of the traffic. It must not take endpoints that it has not used
// recently for idle, or their caches for empty, since other routers use them.
#include <gtest/gtest.h>

#include <set>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

Settings settingsOfManyRouters() {
  Settings custom = settings();
  custom.routers = 200;
  return custom;
}

RequestArrived requestWithPrefix(const PolicyDriver& driver, std::uint64_t id, std::uint64_t prefix,
                                 double tokens) {
  auto request = driver.newRequest(id);
  request.sharedPrefix = {prefix};
  request.sharedPrefixTokens = tokens;
  request.promptTokens = tokens + 100;
  return request;
}

// Completes the prefill of a request with a load report of its endpoint, and then its decode.
void completeWithReport(PolicyDriver& driver, std::uint64_t id, double queuedKiloTokens,
                        double cachedTokensFound = 0) {
  AttemptEnded done{
      .id = {id}, .attempt = 0, .endpoint = {driver.lastEndpoint(id)}, .outcome = Outcome::prefillDone};
  done.cachedTokens = cachedTokensFound;
  done.report = LoadReport{.memoryShare = 0.3, .queuedKiloTokens = queuedKiloTokens};
  driver.deliver(done);
  driver.deliver(StreamStarted{{id}, 1});
  driver.endAttempt(id, Outcome::completed);
}

// Each prefix is new to this router, but cached at its affinity endpoint, where the other routers sent it.
TEST(SparseTraffic, ExpectsCachedTokensWhenPrefillsAtAffinityEndpointsFoundThem) {
  PolicyDriver driver(settingsOfManyRouters());
  driver.setEndpoints(
      {endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(3, kPrefill), endpoint(11, kDecode)});
  for (std::uint64_t id = 1; id <= 20; ++id) {
    driver.serve(requestWithPrefix(driver, id, 500 + id, 3000), 40 * kMs, 3000);
    driver.advanceTime(400 * kMs);
  }
  // Without cached tokens, this request would be late at 60 us per token.
  const auto request = requestWithPrefix(driver, 100, 900, 11'000);
  driver.deliver(request);
  EXPECT_EQ(driver.count<Reject>(100), 0);
  EXPECT_EQ(driver.count<Send>(100), 1);
}

TEST(SparseTraffic, ExpectsNoCachedTokensWhenPrefillsAtAffinityEndpointsFoundNone) {
  PolicyDriver driver(settingsOfManyRouters());
  driver.setEndpoints(
      {endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(3, kPrefill), endpoint(11, kDecode)});
  for (std::uint64_t id = 1; id <= 20; ++id) {
    driver.serve(requestWithPrefix(driver, id, 500 + id, 3000), 230 * kMs, 0);
    driver.advanceTime(400 * kMs);
  }
  driver.deliver(requestWithPrefix(driver, 100, 900, 25'000));
  EXPECT_EQ(driver.count<Reject>(100), 1);
}

// Endpoints report long queues but complete each prefill quickly, because the queued prompts are cached or
// computed in parallel. No request is rejected.
TEST(SparseTraffic, RejectsNothingForReportedQueuesThatCauseNoWait) {
  PolicyDriver driver(settingsOfManyRouters());
  driver.setEndpoints(
      {endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(3, kPrefill), endpoint(11, kDecode)});
  for (std::uint64_t id = 1; id <= 60; ++id) {
    driver.deliver(requestWithPrefix(driver, id, 500 + id, 3000));
    if (driver.count<Send>(id) == 0) continue;
    driver.advanceTime(30 * kMs);
    completeWithReport(driver, id, 20, 3000);
    driver.advanceTime(300 * kMs);
  }
  int rejected = 0;
  for (std::uint64_t id = 30; id <= 60; ++id) rejected += driver.count<Reject>(id);
  EXPECT_EQ(rejected, 0);
}

// Requests are rejected where prefills wait as long as the reported queues imply.
TEST(SparseTraffic, RejectsForReportedQueuesThatCauseWaits) {
  PolicyDriver driver(settingsOfManyRouters());
  driver.setEndpoints(
      {endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(3, kPrefill), endpoint(11, kDecode)});
  for (std::uint64_t id = 1; id <= 30; ++id) {
    driver.deliver(requestWithPrefix(driver, id, 500 + id, 3000));
    if (driver.count<Send>(id) == 0) continue;
    driver.advanceTime(700 * kMs);
    completeWithReport(driver, id, 10, 3000);
  }
  driver.deliver(requestWithPrefix(driver, 100, 900, 3000));
  driver.advanceTime(700 * kMs);
  if (driver.count<Send>(100) == 1) completeWithReport(driver, 100, 60, 3000);
  driver.deliver(requestWithPrefix(driver, 101, 901, 3000));
  EXPECT_EQ(driver.count<Reject>(101), 1);
}

// One endpoint was idle at its latest use, long ago, and an endpoint used since is overloaded. The former is
// assumed to have the mean load, not to be idle.
TEST(SparseTraffic, AssumesMeanLoadAtAnEndpointNotUsedRecently) {
  PolicyDriver driver(settingsOfManyRouters());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(11, kDecode)});
  const auto sendAndComplete = [&](RequestArrived request, double reportedKiloTokens) {
    driver.deliver(request);
    const auto prefillEndpoint = driver.lastEndpoint(request.id.value);
    driver.advanceTime(20 * kMs);
    completeWithReport(driver, request.id.value, reportedKiloTokens);
    return prefillEndpoint;
  };
  const auto idleEndpoint = sendAndComplete(driver.newRequest(1), 0);
  std::uint64_t id = 2;
  while (id < 40 && sendAndComplete(driver.newRequest(id), 0) == idleEndpoint) ++id;
  ASSERT_LT(id, 40u);
  driver.advanceTime(8 * kSec);
  auto followUp = driver.newRequest(100);  // same session as the latest request, so same endpoint
  followUp.session = {id + 1000};
  ASSERT_NE(sendAndComplete(followUp, 60), idleEndpoint);
  driver.advanceTime(300 * kMs);
  driver.deliver(driver.newRequest(101));
  EXPECT_EQ(driver.count<Reject>(101), 1);
}

// First tokens of combined attempts carry no load report, but a wait beyond their own prefill time indicates
// a queue.
TEST(SparseTraffic, SendsNothingWhenFirstTokensOfCombinedEndpointsAreLate) {
  PolicyDriver driver(settingsOfManyRouters());
  driver.setEndpoints(
      {endpoint(21, kCombined), endpoint(22, kCombined), endpoint(23, kCombined), endpoint(24, kCombined)});
  for (std::uint64_t id = 1; id <= 3; ++id) {
    driver.deliver(driver.newRequest(id));
    ASSERT_GE(driver.lastEndpoint(id), 21u);
  }
  driver.advanceTime(1500 * kMs);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    driver.deliver(StreamStarted{{id}, 0});
    driver.endAttempt(id, Outcome::completed);
  }
  driver.advanceTime(300 * kMs);
  driver.deliver(driver.newRequest(50));
  EXPECT_EQ(driver.count<Send>(50), 0);
}

// Prevents permanent rejection: an old report of one full decode endpoint, taken for the load of the whole
// fleet, would make the router reject every request from then on.
TEST(SparseTraffic, AdmitsAgainWhenTheReportOfOneFullDecodeEndpointIsOld) {
  PolicyDriver driver(settingsOfManyRouters());
  driver.setEndpoints(
      {endpoint(1, kPrefill), endpoint(11, kDecode), endpoint(12, kDecode), endpoint(13, kDecode)});
  driver.deliver(driver.newRequest(1));
  driver.advanceTime(60 * kMs);
  AttemptEnded done{
      .id = {1}, .attempt = 0, .endpoint = {driver.lastEndpoint(1)}, .outcome = Outcome::prefillDone};
  driver.deliver(done);
  AttemptEnded served{.id = {1},
                      .attempt = 1,
                      .endpoint = {driver.lastEndpoint(1)},
                      .outcome = Outcome::completed,
                      .requestEnded = true};
  served.report = LoadReport{.memoryShare = 0.97};
  driver.deliver(StreamStarted{{1}, 1});
  driver.deliver(served);
  driver.advanceTime(20'000 * kMs);
  driver.deliver(driver.newRequest(2));
  EXPECT_EQ(driver.count<Send>(2), 1);
}

// A prefix that causes most of the prefill load has several affinity endpoints. A request therefore avoids a
// queue at one of them, although the wait would be shorter than an uncached prefill elsewhere.
TEST(SparseTraffic, GivesAHotPrefixSeveralAffinityEndpoints) {
  PolicyDriver driver(settingsOfManyRouters());
  std::vector<EndpointEntry> fleet{endpoint(11, kDecode)};
  for (std::uint64_t id = 1; id <= 4; ++id) fleet.push_back(endpoint(id, kPrefill));
  driver.setEndpoints(fleet);
  for (std::uint64_t id = 20; id < 30; ++id)
    driver.serve(requestWithPrefix(driver, id, id, 300), 20 * kMs, 300);
  const auto first = driver.serve(requestWithPrefix(driver, 1, 7, 3000), 30 * kMs, 3000);
  for (std::uint64_t id = 40; id < 50; ++id)
    EXPECT_EQ(driver.serve(requestWithPrefix(driver, id, 7, 3000), 30 * kMs, 3000), first);
  driver.advanceTime(500 * kMs);
  driver.deliver(requestWithPrefix(driver, 3, 7, 3000));
  ASSERT_EQ(driver.lastEndpoint(3), first);
  driver.advanceTime(30 * kMs);
  completeWithReport(driver, 3, 2.5, 3000);
  driver.deliver(requestWithPrefix(driver, 4, 7, 3000));
  EXPECT_NE(driver.lastEndpoint(4), first);
  EXPECT_EQ(driver.count<Send>(4), 1);
}

}  // namespace
}  // namespace garnethook::test
