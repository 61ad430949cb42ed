// When KV reservations are released, and how often a release is retried.
#include "routing/kv_reservation_tracker.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace garnethook::routing {
namespace {

TEST(KvReservationTracker, RetriesAReleaseUntilItSucceedsOrIsAbandoned) {
  KvReservationTracker tracker(
      {.kvReleaseTimeout = 500'000, .maxReleaseAttempts = 3, .releaseRetryDelay = 100});
  tracker.onPrefillSent({1}, {7}, 0);
  tracker.onPrefillSent({1}, {8}, 0);
  tracker.onPrefillSent({2}, {7}, 0);
  auto calls = tracker.release({1}, 1000);
  ASSERT_EQ(calls.size(), 2u);
  EXPECT_EQ(tracker.reservationCount(), 1u);
  tracker.onReleaseEnded(calls[0], true, 1010);
  tracker.onReleaseEnded(calls[1], false, 1010);
  EXPECT_TRUE(tracker.dueRetries(1100).empty());
  auto retries = tracker.dueRetries(1110);
  ASSERT_EQ(retries.size(), 1u);
  EXPECT_TRUE(tracker.dueRetries(1110).empty());  // a call is in flight
  tracker.onReleaseEnded(retries[0], false, 1200);
  EXPECT_TRUE(tracker.dueRetries(1300).empty());  // the delay grows
  retries = tracker.dueRetries(1400);
  ASSERT_EQ(retries.size(), 1u);
  tracker.onReleaseEnded(retries[0], false, 1500);
  EXPECT_EQ(tracker.abandonedCount(), 1u);
  EXPECT_EQ(tracker.pendingReleaseCount(), 0u);
  EXPECT_EQ(tracker.releasedCount(), 1u);
  EXPECT_TRUE(tracker.release({1}, 2000).empty());
}

// Prevents releases from being abandoned before an endpoint that resets every connection for seconds can be
// reached again.
TEST(KvReservationTracker, RetriesThroughAnOutageOfSecondsAtShortIntervals) {
  KvReservationTracker tracker({});
  tracker.onPrefillSent({1}, {7}, 0);
  auto calls = tracker.release({1}, 0);
  Micros now = 0;
  Micros lastRetryAt = 0;
  for (int attempts = 1; attempts < 40; ++attempts) {
    tracker.onReleaseEnded(calls[0], false, now);
    while ((calls = tracker.dueRetries(now)).empty()) ASSERT_LT(now += 1000, lastRetryAt + 260'000);
    lastRetryAt = now;
  }
  EXPECT_GT(now, 8'000'000);
  EXPECT_EQ(tracker.abandonedCount(), 0u);
}

TEST(KvReservationTracker, ReleasesNothingThatWasTransferredOrNeverReserved) {
  KvReservationTracker tracker({});
  for (const std::uint64_t endpoint : {1, 2}) tracker.onPrefillSent({1}, {endpoint}, 0);
  tracker.onTransferred({1}, {1}, 0);
  tracker.onNoReservation({1}, {2});
  EXPECT_TRUE(tracker.release({1}, 0).empty());
}

// The result of an earlier release arrives after another prefill was sent to the endpoint. The reservation of
// that prefill must remain.
TEST(KvReservationTracker, IgnoresTheResultOfAReleaseOfAnEarlierPrefill) {
  for (const bool isConfirmed : {true, false}) {
    KvReservationTracker tracker({});
    tracker.onPrefillSent({1}, {7}, 0);
    const auto calls = tracker.release({1}, 100);
    ASSERT_EQ(calls.size(), 1u);
    tracker.onPrefillSent({1}, {7}, 200);
    tracker.onReleaseEnded(calls[0], isConfirmed, 300);
    EXPECT_EQ(tracker.reservationCount(), 1u);
    EXPECT_EQ(tracker.pendingReleaseCount(), 0u);
    EXPECT_EQ(tracker.release({1}, 400).size(), 1u);
  }
}

// A decode attempt may be on a dead connection: the state is released unless an endpoint has received the
// attempt, and stays tracked in case one has. A release that is still being retried when the state is
// transferred ends.
TEST(KvReservationTracker, ReleasesUnconfirmedStateAndKeepsTrackingItWhenReleasesSkipAwaitedState) {
  KvReservationTracker plainTracker({});
  plainTracker.onPrefillSent({1}, {7}, 0);
  EXPECT_TRUE(plainTracker.releaseDuringDecode({1}, 500).empty());
  EXPECT_EQ(plainTracker.reservationCount(), 1u);

  KvReservationTracker tracker(
      {.maxReleaseAttempts = 3, .releaseRetryDelay = 100, .releaseSkipsAwaitedState = true});
  tracker.onPrefillSent({1}, {7}, 0);
  tracker.onPrefillSent({2}, {7}, 0);
  const auto calls = tracker.releaseDuringDecode({1}, 500);
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_TRUE(tracker.releaseDuringDecode({1}, 510).empty());  // a call is in flight
  EXPECT_EQ(tracker.reservationCount(), 2u);
  tracker.onReleaseEnded(calls[0], false, 600);
  const auto retries = tracker.dueRetries(700);
  ASSERT_EQ(retries.size(), 1u);
  tracker.onReleaseEnded(retries[0], true, 710);
  EXPECT_EQ(tracker.release({1}, 720).size(), 1u);  // again at the end

  tracker.releaseDuringDecode({2}, 800);
  tracker.onTransferred({2}, {7}, 900);
  EXPECT_FALSE(tracker.isTracking({2}));
}

// Guards against an abandoned prefill that restarts the timeout of what earlier ones left, though it may
// never have arrived. Its own state exists only if it had arrived, and counts from its end.
TEST(KvReservationTracker, AnAbandonedPrefillRestartsTheTimeoutOfItsOwnStateOnly) {
  KvReservationTracker tracker({});
  tracker.onPrefillSent({1}, {7}, 0);
  tracker.onPrefillAbandoned({1}, {7}, {.at = 400'000, .remainingTimeout = 0});
  EXPECT_EQ(tracker.releaseDueAt({1}), 900'000);
  tracker.onPrefillSent({1}, {8}, 410'000);
  tracker.onPrefillAbandoned({1}, {8}, {.at = 800'000, .remainingTimeout = 0});
  EXPECT_EQ(tracker.releaseDueAt({1}), 900'000);  // of the first one
  // The earlier prefill may have left state at this endpoint, too.
  tracker.onPrefillSent({1}, {7}, 810'000);
  tracker.onPrefillAbandoned({1}, {7}, {.at = 850'000, .remainingTimeout = 0});
  EXPECT_EQ(tracker.releaseDueAt({1}), 900'000);
}

// A prefill may be on a dead connection: state left by earlier prefills is released, and the prefill
// continues.
TEST(KvReservationTracker, ReleasesStateOfEarlierPrefillsWhileAnotherIsInFlight) {
  for (const bool skipsAwaitedState : {false, true}) {
    KvReservationTracker tracker({.releaseRetryDelay = 100, .releaseSkipsAwaitedState = skipsAwaitedState});
    tracker.onPrefillSent({1}, {7}, 0);
    tracker.onPrefillSent({1}, {8}, 400);
    auto calls = tracker.releaseDuringPrefill({1}, {8}, 500);
    ASSERT_EQ(calls.size(), 1u);
    EXPECT_EQ(calls[0].endpoint, EndpointId{7});
    EXPECT_EQ(tracker.reservationCount(), 1u);
    EXPECT_EQ(tracker.releaseDueAt({1}), 500'500);
    tracker.onReleaseEnded(calls[0], false, 600);
    EXPECT_EQ(tracker.dueRetries(700).size(), 1u);  // retried

    // To the same endpoint: a later release could free the new state.
    tracker.onPrefillSent({1}, {8}, 800);
    calls = tracker.releaseDuringPrefill({1}, {8}, 1000);
    ASSERT_EQ(calls.size(), skipsAwaitedState ? 1u : 0u);
    if (skipsAwaitedState) tracker.onReleaseEnded(calls[0], false, 1100);
    EXPECT_TRUE(tracker.dueRetries(1'000'000).empty());
    tracker.onNoReservation({1}, {8});
    EXPECT_EQ(tracker.reservationCount(), 1u);  // the earlier prefill there may still have left state
  }
}

// The release timeout of rule 5 keeps running while connections cannot be established, and restarts once an
// attempt has reached an endpoint.
TEST(KvReservationTracker, MeasuresTheReleaseTimeoutFromTheLastAttemptThatReachedAnEndpoint) {
  KvReservationTracker tracker({.kvReleaseTimeout = 500});
  EXPECT_FALSE(tracker.releaseDueAt({1}));
  tracker.onPrefillSent({1}, {7}, 100);
  tracker.onAttemptEnded({1}, 1000);  // the prefill ended
  tracker.onAttemptEnded({2}, 1200);  // of another request
  EXPECT_EQ(tracker.releaseDueAt({1}), 1500);
  tracker.onPrefillSent({1}, {8}, 1400);
  EXPECT_EQ(tracker.releaseDueAt({1}), 1500);  // the oldest reservation determines the time
  tracker.onAttemptEnded({1}, 1450);
  EXPECT_EQ(tracker.releaseDueAt({1}), 1950);
  tracker.onPrefillSent({1}, {8}, 1700);  // to the same endpoint, which rejects it
  tracker.onNoReservation({1}, {8});
  tracker.onTransferred({1}, {7}, 1800);
  EXPECT_EQ(tracker.releaseDueAt({1}), 1950);  // the first prefill there may have left state
  tracker.onNoReservation({1}, {8});
  EXPECT_FALSE(tracker.releaseDueAt({1}));
}

// Prevents leaked state: in staging, an engine finished an abandoned prefill after its release had been
// confirmed, and kept the state. The engine of these tests confirms every call at once.
struct RepeatedReleaseTest : testing::Test {
  // Confirms each call at once and returns the times of all calls until no release is pending.
  std::vector<Micros> confirmCallsUntilDone(std::vector<ReleaseCall> calls,
                                            std::optional<Micros> lastReceivedTime = std::nullopt) {
    std::vector<Micros> times;
    while (tracker.pendingReleaseCount() > 0 && now < 60'000'000) {
      for (const ReleaseCall& call : calls) {
        times.push_back(now);
        tracker.onReleaseEnded(call, true, now, lastReceivedTime);
      }
      now += 10'000;
      calls = tracker.dueRetries(now);
    }
    return times;
  }
  void expectIntervalsWithin(const std::vector<Micros>& times, Micros maxInterval) {
    for (std::size_t i = 1; i < times.size(); ++i) EXPECT_LE(times[i] - times[i - 1], maxInterval);
  }
  KvReservationTracker tracker{{}};
  Micros now = 1'000'000;
};

TEST_F(RepeatedReleaseTest, ContinuesWhileAnAbandonedPrefillMayLeaveState) {
  tracker.onPrefillSent({1}, {7}, now);
  tracker.onPrefillAbandoned({1}, {7}, {.at = now, .remainingTimeout = 2'000'000});
  const Micros abandonedAt = now;
  const auto times = confirmCallsUntilDone(tracker.release({1}, now));
  expectIntervalsWithin(times, 300'000);  // state that appears in between is released within the timeout
  EXPECT_GE(times.back(), abandonedAt + 2'000'000 + KvReservationTracker::kAbandonedWorkMargin);
  EXPECT_LE(times.back(), abandonedAt + 2'600'000);
  EXPECT_LE(times.size(), 14u);
  EXPECT_EQ(tracker.releasedCount(), 1u);
  EXPECT_EQ(tracker.repeatedCount(), times.size() - 1);
}

TEST_F(RepeatedReleaseTest, ContinuesForTheMinimumTimeWhenTheAttemptsTimeoutWasNearlyOver) {
  tracker.onPrefillSent({1}, {7}, now);
  tracker.onPrefillAbandoned({1}, {7}, {.at = now, .remainingTimeout = 0});
  const Micros abandonedAt = now;
  EXPECT_GE(confirmCallsUntilDone(tracker.release({1}, now)).back(),
            abandonedAt + KvReservationTracker::kMinAbandonedWork);
}

// Bytes that were delayed by a network partition arrive when it ends, and the engine only begins then.
TEST_F(RepeatedReleaseTest, ContinuesLongerWhereTheEndpointHasBeenSilentSinceTheAbandonment) {
  tracker.onPrefillSent({1}, {7}, now);
  tracker.onPrefillAbandoned({1}, {7}, {.at = now, .remainingTimeout = 1'000'000});
  const Micros abandonedAt = now;
  const auto times = confirmCallsUntilDone(tracker.release({1}, now), abandonedAt - 1);
  EXPECT_GE(times.back(), abandonedAt + KvReservationTracker::kMaxAbandonedWork);
  EXPECT_LE(times.back(), abandonedAt + KvReservationTracker::kMaxAbandonedWork + 600'000);
}

// The close of a decode attempt and the release are sent at the same time on two connections: a release that
// is processed first skips the state, since the decode still awaits it.
TEST_F(RepeatedReleaseTest, ContinuesWhileAnAbandonedDecodeMayAwaitTheState) {
  tracker.onPrefillSent({1}, {7}, now);
  tracker.onDecodeAbandoned({1}, {.at = now, .remainingTimeout = 0});
  const Micros abandonedAt = now;
  const auto times = confirmCallsUntilDone(tracker.release({1}, now));
  EXPECT_GE(times.size(), 4u);
  EXPECT_GE(times.back(), abandonedAt + KvReservationTracker::kMinAbandonedWork);
}

TEST_F(RepeatedReleaseTest, IsNotNeededWhereNothingWasAbandoned) {
  tracker.onPrefillSent({1}, {7}, now);
  EXPECT_EQ(confirmCallsUntilDone(tracker.release({1}, now)).size(), 1u);
}

// The release would free the new state that the request now awaits.
TEST_F(RepeatedReleaseTest, IsDelayedWhileItsRequestAwaitsANewState) {
  tracker.onPrefillSent({1}, {7}, now);
  tracker.onPrefillAbandoned({1}, {7}, {.at = now, .remainingTimeout = 0});
  const auto calls = tracker.release({1}, now);
  tracker.onReleaseEnded(calls[0], true, now);
  EXPECT_TRUE(tracker.dueRetries(now + 5'000'000, [](RequestId) { return false; }).empty());
  EXPECT_EQ(tracker.dueRetries(now + 5'000'000, [](RequestId) { return true; }).size(), 1u);
}

// A late response to a call that skipped the state must not be taken as the response to the later call that
// has to release it.
TEST(KvReservationTracker, IgnoresResponsesToEarlierCallsOfTheSameRelease) {
  KvReservationTracker tracker({.releaseSkipsAwaitedState = true});
  tracker.onPrefillSent({1}, {7}, 0);
  const auto skippingCalls = tracker.releaseDuringDecode({1}, 500'000);
  const auto finalCalls = tracker.release({1}, 600'000);
  ASSERT_EQ(skippingCalls.size(), 1u);
  ASSERT_EQ(finalCalls.size(), 1u);
  tracker.onReleaseEnded(skippingCalls[0], true, 610'000);
  EXPECT_EQ(tracker.unconfirmedReleaseCount(), 1u);
  tracker.onReleaseEnded(finalCalls[0], false, 620'000);
  EXPECT_EQ(tracker.dueRetries(900'000).size(), 1u);
}

// The release of an earlier prefill is still unconfirmed when the next prefill at that endpoint is rejected.
TEST(KvReservationTracker, KeepsTheReservationOfAnEarlierPrefillWhenTheNextOneIsRejected) {
  KvReservationTracker tracker({});
  tracker.onPrefillSent({1}, {7}, 0);
  ASSERT_EQ(tracker.release({1}, 100).size(), 1u);
  tracker.onPrefillSent({1}, {7}, 200);
  tracker.onNoReservation({1}, {7});
  EXPECT_EQ(tracker.release({1}, 300).size(), 1u);
}

// A transfer frees the state of one prefill; an abandoned prefill at that endpoint may still leave state of
// its own.
TEST(KvReservationTracker, KeepsTrackingAnAbandonedPrefillThroughATransfer) {
  KvReservationTracker tracker({});
  tracker.onPrefillSent({1}, {7}, 0);
  tracker.onPrefillAbandoned({1}, {7}, {.at = 100, .remainingTimeout = 0});
  tracker.onPrefillSent({1}, {7}, 200);
  tracker.onTransferred({1}, {7}, 300);
  EXPECT_EQ(tracker.release({1}, 400).size(), 1u);
}

TEST(KvReservationTracker, CountsTheReservationsAndReleasesOfAnEndpoint) {
  KvReservationTracker tracker({});
  tracker.onPrefillSent({1}, {7}, 0);
  tracker.onPrefillSent({2}, {7}, 0);
  tracker.onPrefillSent({3}, {8}, 0);
  tracker.release({2}, 0);
  EXPECT_EQ(tracker.countAt({7}), 2u);
  EXPECT_EQ(tracker.countAt({9}), 0u);
}

// Prevents a release from staying in flight forever when the response to its call is lost in this process.
TEST(KvReservationTracker, RetriesACallThatNeverGetsAResponse) {
  KvReservationTracker tracker({});
  tracker.onPrefillSent({1}, {7}, 0);
  ASSERT_EQ(tracker.release({1}, 0).size(), 1u);
  EXPECT_TRUE(tracker.dueRetries(1'900'000).empty());
  EXPECT_TRUE(tracker.dueRetries(2'100'000).empty());  // the call counts as failed from now on
  EXPECT_EQ(tracker.dueRetries(2'400'000).size(), 1u);
}

}  // namespace
}  // namespace garnethook::routing
