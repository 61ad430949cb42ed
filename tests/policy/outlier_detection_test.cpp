// Tests the detection of failing and unresponsive endpoints and of zone outages, retries around them,
// ejection and reinstatement, and the effect of endpoint updates on these records.
#include <gtest/gtest.h>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

std::vector<EndpointEntry> fleet() {
  return {endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(3, kPrefill), endpoint(11, kDecode),
          endpoint(12, kDecode)};
}

TEST(UnresponsiveEndpoint, IsAvoidedAfterAnAttemptTimesOut) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  driver.deliver(driver.newRequest(1));
  const auto unresponsive = driver.lastEndpoint(1);
  driver.advanceTime(2 * kSec);
  EXPECT_EQ(driver.count<Cancel>(1), 1);
  driver.endAttempt(1, Outcome::cancelled);
  EXPECT_NE(driver.lastEndpoint(1), unresponsive);
}

TEST(UnresponsiveEndpoint, IsNotDetectedWhileOtherRequestsAreAnswered) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  driver.deliver(driver.newRequest(1));
  driver.advanceTime(100 * kMs);
  driver.deliver(driver.newRequest(2));
  for (int i = 0; i < 8; ++i) {
    driver.advanceTime(200 * kMs);
    driver.deliver(driver.newRequest(10 + i));
    driver.advanceTime(50 * kMs);
    if (driver.count<Send>(10 + i) > 0)
      driver.endAttempt(10 + i, Outcome::prefillDone);  // shows that the endpoint responds
  }
  EXPECT_EQ(driver.count<Cancel>(2), 0);
}

// Decode endpoints of a cell are overloaded together. Prevents a request that timed out at one of them from
// being retried at each of the others in turn.
struct SlowDecodeEndpoint : testing::TestWithParam<Outcome> {
  // Returns the decode endpoint of a request's second decode attempt, after its first one in the cell of its
  // prefill endpoint ended with `outcome`.
  static std::uint64_t nextEndpoint(const std::vector<EndpointEntry>& endpoints, Outcome outcome) {
    PolicyDriver driver(settings());
    driver.setEndpoints(endpoints);
    driver.deliver(driver.newRequest(1));
    driver.advanceTime(50 * kMs);
    driver.endAttempt(1, Outcome::prefillDone);
    EXPECT_TRUE(driver.lastEndpoint(1) == 11 || driver.lastEndpoint(1) == 12);
    const auto first = driver.lastEndpoint(1);
    driver.advanceTime(outcome == Outcome::rejected ? 10 * kMs : kSec);
    driver.endAttempt(1, outcome);
    EXPECT_NE(driver.lastEndpoint(1), first);
    return driver.lastEndpoint(1);
  }
};

TEST_P(SlowDecodeEndpoint, CausesARetryInAnotherCellIfThereIsOne) {
  const std::vector<EndpointEntry> twoCells{endpoint(1, kPrefill, 1), endpoint(11, kDecode, 1),
                                            endpoint(12, kDecode, 1), endpoint(21, kDecode, 2)};
  EXPECT_EQ(nextEndpoint(twoCells, GetParam()), 21u);
  const std::vector<EndpointEntry> oneCell{twoCells.begin(), twoCells.begin() + 3};
  const auto next = nextEndpoint(oneCell, GetParam());
  EXPECT_TRUE(next == 11 || next == 12);
}
INSTANTIATE_TEST_SUITE_P(NoResponse, SlowDecodeEndpoint,
                         testing::Values(Outcome::timedOut, Outcome::cancelled));

// A rejection by a full decode endpoint is no evidence about the rest of its cell, so the retry stays in the
// cell.
TEST(FullDecodeEndpoint, CausesARetryInTheSameCell) {
  const auto next = SlowDecodeEndpoint::nextEndpoint({endpoint(1, kPrefill, 1), endpoint(11, kDecode, 1),
                                                      endpoint(12, kDecode, 1), endpoint(21, kDecode, 2)},
                                                     Outcome::rejected);
  EXPECT_TRUE(next == 11 || next == 12);
}

// Requests that clients cancel before the endpoint could have answered do not mark it as slow or failing, so
// the next request is not rejected.
TEST(Cancellation, ByClientsDoesNotCountAgainstTheEndpoint) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  const auto longRequest = [&](std::uint64_t id) {
    auto request = driver.newRequest(id);
    request.promptTokens = 6000;
    return request;
  };
  for (std::uint64_t id = 1; id < 10; ++id) driver.serve(longRequest(id), 300 * kMs);
  for (std::uint64_t id = 10; id < 40; ++id) {
    driver.deliver(longRequest(id));
    ASSERT_EQ(driver.lastEndpoint(id), 1u);
    driver.advanceTime(20 * kMs);
    driver.deliver(RequestCancelled{{id}});
    ASSERT_EQ(driver.count<Cancel>(id), 1);
    driver.endAttempt(id, Outcome::cancelled);
  }
  driver.deliver(longRequest(40));
  EXPECT_EQ(driver.lastEndpoint(40), 1u);
  EXPECT_EQ(driver.count<Reject>(40), 0);
}

// A prefill without an answer, while prefills sent later to the same endpoint complete, indicates a lost
// connection. It does not count as a queue at the endpoint, and is retried after its own timeout.
TEST(StalledAttempt, IsCancelledAndDoesNotCountAgainstTheEndpoint) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  for (std::uint64_t id = 2; id < 10; ++id) driver.serve(driver.newRequest(id));
  driver.deliver(driver.newRequest(1));
  const Micros sentAt = driver.now;
  for (std::uint64_t id = 100; driver.count<Cancel>(1) == 0; ++id) {
    driver.serve(driver.newRequest(id));
    ASSERT_EQ(driver.count<Reject>(id), 0) << id;
    ASSERT_LT(driver.now, sentAt + 2 * kSec);
  }
  driver.endAttempt(1, Outcome::cancelled);
  EXPECT_EQ(driver.count<Send>(1), 2);
}

// Smaller prefills regularly complete before a larger one that was sent earlier; the larger one is not
// stalled.
TEST(StalledAttempt, IsNotDetectedForALargePrefillThatSmallOnesOvertake) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  for (std::uint64_t id = 2; id < 10; ++id) driver.serve(driver.newRequest(id));
  auto large = driver.newRequest(1);
  large.promptTokens = 3000;
  driver.deliver(large);
  for (std::uint64_t id = 100; id < 112; ++id) driver.serve(driver.newRequest(id));
  EXPECT_EQ(driver.count<Cancel>(1), 0);
}

// The wait of a stalled decode attempt is not recorded as time to first token, so no requests are rejected
// because of it.
TEST(StalledAttempt, OfDecodePhaseCausesNoRejections) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  for (std::uint64_t id = 2; id < 10; ++id) driver.serve(driver.newRequest(id));
  driver.deliver(driver.newRequest(1, kNonIdempotent));
  driver.advanceTime(50 * kMs);
  driver.endAttempt(1, Outcome::prefillDone);
  ASSERT_EQ(driver.lastEndpoint(1), 11u);
  for (std::uint64_t id = 100; driver.now < 6 * kSec; ++id) {
    driver.serve(driver.newRequest(id));
    ASSERT_EQ(driver.count<Reject>(id), 0) << id;
  }
  driver.advanceTime(kSec);
  driver.endAttempt(1, Outcome::cancelled);
  driver.deliver(driver.newRequest(90));
  EXPECT_EQ(driver.count<Reject>(90), 0);
}

// A reused connection that breaks without any response is not a failure of its endpoint: the endpoint is not
// ejected, and the prefill is retried there.
TEST(ReusedConnection, DoesNotEjectWhenItBreaksUnderAPrefill) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  driver.serve(driver.newRequest(1));
  for (std::uint64_t id = 2; id < 30; ++id) {
    auto request = driver.newRequest(id);
    request.session = {1001};  // cached at the endpoint of the first request
    driver.deliver(request);
    const auto firstEndpoint = driver.lastEndpoint(id);
    AttemptEnded broken{
        .id = {id}, .attempt = 0, .endpoint = {firstEndpoint}, .outcome = Outcome::connectionReset};
    broken.reusedConnection = true;
    driver.deliver(broken);
    ASSERT_EQ(driver.lastEndpoint(id), firstEndpoint);
    driver.advanceTime(20 * kMs);
    driver.endAttempt(id, Outcome::prefillDone, 900);
    driver.endAttempt(id, Outcome::completed);
  }
  for (const auto& [at, action] : driver.log) EXPECT_FALSE(std::holds_alternative<Log>(action));
}

TEST(ReusedConnection, DoesNotEjectWhenItBreaksUnderADecode) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(11, kDecode)});
  for (std::uint64_t id = 1; id <= 3; ++id) driver.deliver(driver.newRequest(id));
  for (std::uint64_t id = 1; id <= 3; ++id) driver.endAttempt(id, Outcome::prefillDone);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    ASSERT_EQ(driver.lastEndpoint(id), 11u);
    AttemptEnded broken{.id = {id}, .attempt = 1, .endpoint = {11}, .outcome = Outcome::connectionReset};
    broken.reusedConnection = true;
    driver.deliver(broken);
  }
  for (const auto& [at, action] : driver.log) EXPECT_FALSE(std::holds_alternative<Log>(action));
}

// A non-idempotent request was possibly executed when its reused connection breaks, so it is not retried.
TEST(ReusedConnection, FailsANonIdempotentDecodeWhenItBreaks) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  driver.deliver(driver.newRequest(1, kNonIdempotent));
  driver.endAttempt(1, Outcome::prefillDone);
  AttemptEnded broken{
      .id = {1}, .attempt = 1, .endpoint = {driver.lastEndpoint(1)}, .outcome = Outcome::connectionReset};
  broken.reusedConnection = true;
  driver.deliver(broken);
  EXPECT_EQ(driver.count<Send>(1), 2);
  EXPECT_EQ(driver.count<Reject>(1), 0);
  EXPECT_EQ(driver.count<Fail>(1), 1);
}

// A slow rejection delays a request more than a queue would, so an endpoint that rejects slowly is avoided;
// one that rejects at once is not.
TEST(Rejection, MakesAnEndpointAvoidedWhenItIsSlow) {
  const auto sendsWhenRejectedAfter = [](Micros delay) {
    PolicyDriver driver(settings());
    driver.setEndpoints({endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(11, kDecode)});
    int sendsToRejecting = 0;
    for (std::uint64_t id = 1; id <= 200; ++id) {
      auto request = driver.newRequest(id);
      request.sharedPrefix = {id};
      driver.deliver(request);
      if (driver.lastEndpoint(id) == 1) {
        sendsToRejecting += id > 100;
        driver.advanceTime(delay);
        driver.endAttempt(id, Outcome::rejected);
      }
      driver.advanceTime(10 * kMs);
      driver.endAttempt(id, Outcome::prefillDone);
      driver.endAttempt(id, Outcome::completed);
      driver.advanceTime(60 * kMs);
    }
    return sendsToRejecting;
  };
  const int sendsWhenFast = sendsWhenRejectedAfter(kMs);
  EXPECT_GT(sendsWhenFast, 25);
  const int sendsWhenSlow = sendsWhenRejectedAfter(400 * kMs);
  EXPECT_LT(sendsWhenSlow, sendsWhenFast / 4);
}

// The benefit of a cached prompt does not outweigh slow rejections.
TEST(Rejection, MakesAnEndpointAvoidedWhenThePromptIsCachedThere) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(11, kDecode)});
  std::vector<std::uint64_t> cachedSessions;  // sessions that endpoint 1 has cached
  for (std::uint64_t id = 1; id <= 40; ++id)
    if (driver.serve(driver.newRequest(id)) == 1) cachedSessions.push_back(id);
  ASSERT_GE(cachedSessions.size(), 10u);
  cachedSessions.erase(cachedSessions.begin(), cachedSessions.end() - 10);
  int sendsToCached = 0;
  for (const auto session : cachedSessions) {
    const std::uint64_t id = 100 + session;
    auto request = driver.newRequest(id);
    request.session = {session + 1000};
    driver.deliver(request);
    if (driver.lastEndpoint(id) == 1) {
      ++sendsToCached;
      driver.advanceTime(300 * kMs);
      driver.endAttempt(id, Outcome::rejected);
    }
    driver.advanceTime(10 * kMs);
    driver.endAttempt(id, Outcome::prefillDone);
    driver.endAttempt(id, Outcome::completed);
    driver.advanceTime(200 * kMs);  // its backoff expires
  }
  EXPECT_LE(sendsToCached, 5);
}

TEST(OutlierDetection, EjectsAtOnceWhenConnectionsFail) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  driver.deliver(driver.newRequest(1));
  const auto failing = driver.lastEndpoint(1);
  driver.endAttempt(1, Outcome::connectFailed);
  for (std::uint64_t id = 2; id <= 20; ++id) {
    driver.deliver(driver.newRequest(id));
    EXPECT_NE(driver.lastEndpoint(id), failing);
    driver.endAttempt(id, Outcome::prefillDone);
    driver.endAttempt(id, Outcome::completed);
  }
}

TEST(EjectedEndpoint, GetsOneTrialAtATime) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(11, kDecode)});
  driver.deliver(driver.newRequest(1));
  const auto failing = driver.lastEndpoint(1);
  driver.endAttempt(1, Outcome::connectFailed);
  driver.endAttempt(1, Outcome::prefillDone);
  driver.endAttempt(1, Outcome::completed);
  driver.advanceTime(3 * kSec);
  int trials = 0;
  for (std::uint64_t id = 2; id <= 12; ++id) {
    driver.deliver(driver.newRequest(id));
    trials += driver.lastEndpoint(id) == failing ? 1 : 0;
  }
  EXPECT_EQ(trials, 1);
}

TEST(EjectedEndpoint, IsProbedBeforeATrialWhenAllowed) {
  Settings custom = settings();
  custom.canProbe = true;
  PolicyDriver driver(custom);
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(11, kDecode)});
  driver.deliver(driver.newRequest(1));
  const auto failing = driver.lastEndpoint(1);
  driver.endAttempt(1, Outcome::connectFailed);
  driver.endAttempt(1, Outcome::prefillDone);
  driver.endAttempt(1, Outcome::completed);
  driver.advanceTime(3 * kSec);
  const auto probes = std::count_if(driver.log.begin(), driver.log.end(), [](const auto& item) {
    return std::holds_alternative<Probe>(item.second);
  });
  EXPECT_EQ(probes, 1);
  for (std::uint64_t id = 2; id <= 12; ++id) {
    driver.deliver(driver.newRequest(id));
    EXPECT_NE(driver.lastEndpoint(id), failing);
  }
  driver.deliver(ProbeEnded{.endpoint = {failing}, .ok = true});
  int trials = 0;
  for (std::uint64_t id = 22; id <= 32; ++id) {
    driver.deliver(driver.newRequest(id));
    trials += driver.lastEndpoint(id) == failing ? 1 : 0;
  }
  EXPECT_EQ(trials, 1);
}

TEST(ZoneOutage, DivertsRequestsFromTheWholeZone) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill, 0, 0), endpoint(2, kPrefill, 0, 1), endpoint(3, kPrefill, 0, 1),
                       endpoint(4, kPrefill, 0, 1), endpoint(11, kDecode, 0, 0)});
  std::uint64_t id = 1;
  for (int failures = 0; failures < 2; ++id) {
    driver.deliver(driver.newRequest(id));
    if (driver.lastEndpoint(id) == 1) continue;
    driver.endAttempt(id, Outcome::connectFailed);
    ++failures;
  }
  for (const auto last = id + 20; id < last; ++id) {
    driver.deliver(driver.newRequest(id));
    // The third endpoint of the zone is avoided too, although it has not failed.
    EXPECT_EQ(driver.lastEndpoint(id), 1u);
    driver.endAttempt(id, Outcome::prefillDone);
    driver.endAttempt(id, Outcome::completed);
  }
}

TEST(OutlierDetection, StillSendsWhenEveryEndpointIsEjected) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(2, kPrefill), endpoint(11, kDecode)});
  for (std::uint64_t id = 1; id <= 2; ++id) {
    driver.deliver(driver.newRequest(id));
    driver.endAttempt(id, Outcome::connectFailed);
    driver.endAttempt(id, Outcome::connectFailed);
  }
  driver.deliver(driver.newRequest(9));
  EXPECT_EQ(driver.count<Send>(9), 1);
}

// Prevents unbounded growth of the records: those of an endpoint that is missing from a snapshot are removed.
TEST(EndpointUpdate, RemovesTheRecordsOfEndpointsThatLeaveTheList) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  driver.deliver(driver.newRequest(1));
  const auto failing = driver.lastEndpoint(1);
  driver.endAttempt(1, Outcome::connectFailed);
  auto rest = fleet();
  std::erase_if(rest, [&](const auto& entry) { return entry.id.value == failing; });
  driver.setEndpoints(rest);
  driver.advanceTime(300 * kMs);
  driver.setEndpoints({endpoint(failing, kPrefill), endpoint(11, kDecode)});
  driver.deliver(driver.newRequest(2));
  driver.deliver(driver.newRequest(3));  // an ejected endpoint would get at most one trial, after a delay
  EXPECT_EQ(driver.lastEndpoint(3), failing);
  EXPECT_EQ(driver.count<Send>(2) + driver.count<Send>(3), 2);
  const auto actions = driver.endAttempt(2, Outcome::prefillDone);
  EXPECT_TRUE(std::none_of(actions.begin(), actions.end(), [](const auto& action) {
    return std::holds_alternative<Log>(action);
  })) << "the endpoint was still ejected";
}

TEST(EndpointUpdate, ServesFromAStaleCopy) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet(), EndpointUpdate::Kind::staleCopy);
  driver.serve(driver.newRequest(1));
  EXPECT_GE(driver.lastEndpoint(1), 11u);
}

TEST(RoutingPolicy, ServesAfterTheClockJumpsAhead) {
  PolicyDriver driver(settings());
  driver.setEndpoints(fleet());
  driver.serve(driver.newRequest(1));
  driver.now += 3600 * kSec;
  driver.serve(driver.newRequest(2));
  EXPECT_GE(driver.lastEndpoint(2), 11u);
}

TEST(Discovery, SubscribesAgainWhenPollingIsConfigured) {
  Settings custom = settings();
  custom.discovery = Discovery::poll;
  custom.pollInterval = 10 * kSec;
  PolicyDriver driver(custom);
  driver.setEndpoints(fleet(), EndpointUpdate::Kind::staleCopy);
  const auto subscriptions = [&] {
    return std::count_if(driver.log.begin(), driver.log.end(),
                         [](const auto& item) { return std::holds_alternative<Subscribe>(item.second); });
  };
  driver.advanceTime(kSec);
  EXPECT_GE(subscriptions(), 1);
  driver.setEndpoints({}, EndpointUpdate::Kind::delta);
  const auto before = subscriptions();
  driver.advanceTime(5 * kSec);
  EXPECT_EQ(subscriptions(), before);
  driver.deliver(EndpointUpdate{EndpointUpdate::Kind::failure, {}});
  driver.advanceTime(5 * kSec);
  EXPECT_GT(subscriptions(), before);
}

}  // namespace
}  // namespace garnethook::test
