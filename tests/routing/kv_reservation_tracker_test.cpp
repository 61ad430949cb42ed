// Which KV cache reservations are released when, and how often a release is retried.
#include "routing/kv_reservation_tracker.h"

#include <gtest/gtest.h>

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
  EXPECT_EQ(tracker.dueRetries(1110).size(), 1u);
  EXPECT_TRUE(tracker.dueRetries(1110).empty());  // a call is in flight
  tracker.onReleaseEnded(calls[1], false, 1200);
  EXPECT_TRUE(tracker.dueRetries(1300).empty());  // the delay grows
  EXPECT_EQ(tracker.dueRetries(1400).size(), 1u);
  tracker.onReleaseEnded(calls[1], false, 1500);
  EXPECT_EQ(tracker.abandonedCount(), 1u);
  EXPECT_EQ(tracker.pendingReleaseCount(), 0u);
  EXPECT_EQ(tracker.releasedCount(), 1u);
  EXPECT_TRUE(tracker.release({1}, 2000).empty());
}

// An endpoint that resets every connection for seconds: releases used to be abandoned before it could be
// reached again.
TEST(KvReservationTracker, RetriesThroughAnOutageOfSecondsAtShortIntervals) {
  KvReservationTracker tracker({});
  tracker.onPrefillSent({1}, {7}, 0);
  const auto call = tracker.release({1}, 0)[0];
  Micros now = 0;
  Micros lastRetryAt = 0;
  for (int attempts = 1; attempts < 40; ++attempts) {
    tracker.onReleaseEnded(call, false, now);
    while (tracker.dueRetries(now).empty()) ASSERT_LT(now += 1000, lastRetryAt + 260'000);
    lastRetryAt = now;
  }
  EXPECT_GT(now, 8'000'000);
  EXPECT_EQ(tracker.abandonedCount(), 0u);
}

TEST(KvReservationTracker, ReleasesNothingThatWasTransferredLostOrNeverReserved) {
  KvReservationTracker tracker({});
  for (const std::uint64_t endpoint : {1, 2, 3}) tracker.onPrefillSent({1}, {endpoint}, 0);
  tracker.onTransferred({1}, {1});
  tracker.onNoReservation({1}, {2});
  tracker.onEndpointRestarted({3});
  EXPECT_TRUE(tracker.release({1}, 0).empty());
}

// The result of an earlier release comes after the endpoint was sent another prefill, whose reservation
// stays.
TEST(KvReservationTracker, IgnoresTheResultOfAReleaseOfAnEarlierPrefill) {
  for (const bool ok : {true, false}) {
    KvReservationTracker tracker({});
    tracker.onPrefillSent({1}, {7}, 0);
    ASSERT_EQ(tracker.release({1}, 100).size(), 1u);
    tracker.onPrefillSent({1}, {7}, 200);
    tracker.onReleaseEnded({{7}, {1}}, ok, 300);
    EXPECT_EQ(tracker.reservationCount(), 1u);
    EXPECT_EQ(tracker.pendingReleaseCount(), 0u);
    EXPECT_EQ(tracker.release({1}, 400).size(), 1u);
  }
}

// A decode attempt may be on a dead connection: the state is released unless an endpoint has the attempt, and
// stays tracked in case it has. A release that is still retried when the state is transferred has nothing
// left to do.
TEST(KvReservationTracker, ReleasesUnconfirmedStateAndKeepsTrackingItWhenReleasesSpareWhatIsAwaited) {
  KvReservationTracker plainTracker({});
  plainTracker.onPrefillSent({1}, {7}, 0);
  EXPECT_TRUE(plainTracker.releaseUnconfirmed({1}, 500).empty());
  EXPECT_EQ(plainTracker.reservationCount(), 1u);

  KvReservationTracker tracker(
      {.maxReleaseAttempts = 3, .releaseRetryDelay = 100, .releaseSparesAwaited = true});
  tracker.onPrefillSent({1}, {7}, 0);
  tracker.onPrefillSent({2}, {7}, 0);
  const auto calls = tracker.releaseUnconfirmed({1}, 500);
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_TRUE(tracker.releaseUnconfirmed({1}, 510).empty());  // a call is in flight
  EXPECT_EQ(tracker.reservationCount(), 2u);
  tracker.onReleaseEnded(calls[0], false, 600);
  EXPECT_EQ(tracker.dueRetries(700).size(), 1u);
  tracker.onReleaseEnded(calls[0], true, 710);
  EXPECT_EQ(tracker.release({1}, 720).size(), 1u);  // again at the end

  tracker.releaseUnconfirmed({2}, 800);
  tracker.onTransferred({2}, {7});
  EXPECT_FALSE(tracker.isTracking({2}));
}

// A prefill may be on a dead connection: what earlier ones left is released, and the prefill goes on.
TEST(KvReservationTracker, ReleasesWhatEarlierPrefillsLeftWhileAnotherIsInFlight) {
  for (const bool releaseSpares : {false, true}) {
    KvReservationTracker tracker({.releaseRetryDelay = 100, .releaseSparesAwaited = releaseSpares});
    tracker.onPrefillSent({1}, {7}, 0);
    tracker.onPrefillSent({1}, {8}, 400);
    auto calls = tracker.releaseOthers({1}, {8}, 500);
    ASSERT_EQ(calls.size(), 1u);
    EXPECT_EQ(calls[0].endpoint, EndpointId{7});
    EXPECT_EQ(tracker.reservationCount(), 1u);
    EXPECT_EQ(tracker.releaseDueAt({1}), 500'500);
    tracker.onReleaseEnded(calls[0], false, 600);
    EXPECT_EQ(tracker.dueRetries(700).size(), 1u);  // retried

    tracker.onPrefillSent({1}, {8},
                          800);  // again at the same endpoint: a later release could hit the new state
    calls = tracker.releaseOthers({1}, {8}, 1000);
    ASSERT_EQ(calls.size(), releaseSpares ? 1u : 0u);
    if (releaseSpares) tracker.onReleaseEnded(calls[0], false, 1100);
    EXPECT_TRUE(tracker.dueRetries(1'000'000).empty());
    tracker.onNoReservation({1}, {8});
    EXPECT_EQ(tracker.reservationCount(), 1u);  // the earlier one there may still have left state
  }
}

// The time of rule 5 runs on while connections fail to come up, and starts anew once an attempt reached an
// endpoint.
TEST(KvReservationTracker, CountsTheReleaseTimeFromTheLastAttemptThatReachedAnEndpoint) {
  KvReservationTracker tracker({.kvReleaseTimeout = 500});
  EXPECT_FALSE(tracker.releaseDueAt({1}));
  tracker.onPrefillSent({1}, {7}, 100);
  tracker.onAttemptEnded({1}, 1000);  // the prefill ended
  tracker.onAttemptEnded({2}, 1200);  // of another request
  EXPECT_EQ(tracker.releaseDueAt({1}), 1500);
  tracker.onPrefillSent({1}, {8}, 1400);
  EXPECT_EQ(tracker.releaseDueAt({1}), 1500);  // the oldest counts
  tracker.onAttemptEnded({1}, 1450);
  EXPECT_EQ(tracker.releaseDueAt({1}), 1950);
  tracker.onPrefillSent({1}, {8}, 1700);  // again at the same endpoint, which rejects it
  tracker.onNoReservation({1}, {8});
  tracker.onTransferred({1}, {7});
  EXPECT_EQ(tracker.releaseDueAt({1}), 1950);  // the first prefill there may have left state
  tracker.onNoReservation({1}, {8});
  EXPECT_FALSE(tracker.releaseDueAt({1}));
}

}  // namespace
}  // namespace garnethook::routing
