// Which release calls are made for a request, by what it is at: with time, timers and engines driven by hand.
#include "routing/kv_reservation_releaser.h"

#include <gtest/gtest.h>

#include "manual_engines.h"

namespace garnethook::routing {
namespace {

struct SilentClient final : Client {
  void onTokens(const Tokens&) override {}
  void onCompletion(const Completion&) override {}
};

constexpr Micros kTimeout = 500'000;
constexpr EndpointId kHolder{7};

// A request whose prefill at kHolder was given up just now.
class KvReservationReleaserTest : public testing::Test {
 protected:
  KvReservationReleaserTest()
      : context_{options_, timers_, engines_, observer_, counters_},
        releaser_(context_, requests_),
        active_(&requests_.add({}, client_, timers_.now(), "t")) {
    const InFlightAttempt prefill{.endpoint = kHolder, .phase = Phase::prefill, .sentAt = timers_.now()};
    releaser_.onPrefillSent(*active_, kHolder, timers_.now());
    releaser_.onAttemptAbandoned(active_->id, prefill);
  }
  // Lets time pass; every call is confirmed at once.
  void pass(Micros duration) {
    for (Micros passed = 0; passed < duration; passed += 1'000) {
      timers_.advance(1'000);
      confirmCalls();
    }
  }
  void confirmCalls() {
    for (; confirmed_ < engines_.releaseCalls.size(); ++confirmed_)
      releaser_.onReleaseEnded(engines_.releaseCalls[confirmed_], true);
  }
  void start(Phase phase) {
    active_->attempt = InFlightAttempt{.number = 1, .endpoint = {8}, .phase = phase};
  }
  std::size_t calls() const { return engines_.releaseCalls.size(); }

  Options options_{.kvReservations = {.kvReleaseTimeout = kTimeout, .releaseSkipsAwaitedState = true}};
  ManualTimers timers_;
  ManualEngines engines_;
  Observer observer_;
  Counters counters_;
  RouterContext context_;
  RequestTable requests_;
  SilentClient client_;
  KvReservationReleaser releaser_;
  ActiveRequest* active_;

 private:
  std::size_t confirmed_ = 0;
};

// Nothing else looks at what an abandoned prefill may have left while its request waits for capacity.
TEST_F(KvReservationReleaserTest, ReleasesInTimeWhileTheRequestWaitsForCapacity) {
  pass(kTimeout);
  EXPECT_GE(calls(), 1u);
  pass(4 * kTimeout);
  EXPECT_GE(calls(), 4u);  // again, as state may still appear
  EXPECT_FALSE(releaser_.tracker().isTracking(active_->id));
}

// Such a release would take the state that waits for a decode endpoint with room.
TEST_F(KvReservationReleaserTest, LeavesANewerStateThatWaitsForADecode) {
  active_->kvEndpoint = EndpointId{8};
  pass(2 * kTimeout);
  EXPECT_EQ(calls(), 0u);
}

TEST_F(KvReservationReleaserTest, RepeatsNoReleaseWhileANewerAttemptIsAtWork) {
  pass(kTimeout);
  const std::size_t before = calls();
  for (const Phase phase : {Phase::prefill, Phase::decode}) {
    start(phase);
    pass(kTimeout);
    EXPECT_EQ(calls(), before);
  }
  active_->attempt->hasStarted = true;  // the newer state was fetched
  pass(kTimeout);
  EXPECT_GT(calls(), before);
}

TEST_F(KvReservationReleaserTest, RepeatsReleasesBesideAnAttemptThatMayNotHaveArrived) {
  pass(kTimeout);
  start(Phase::prefill);
  releaser_.releaseDuringAttempt(active_->id, *active_->attempt);
  const std::size_t before = calls();
  pass(kTimeout);
  EXPECT_GT(calls(), before);
}

TEST_F(KvReservationReleaserTest, RepeatsReleasesOfARequestThatHasEnded) {
  releaser_.release(active_->id);
  requests_.erase(active_->id);
  const std::size_t before = calls();
  pass(kTimeout);
  EXPECT_GT(calls(), before);
}

// Engines without such a call free reservations by themselves.
TEST_F(KvReservationReleaserTest, RepeatsNothingWhereEnginesHaveNoRelease) {
  engines_.hasReleaseCall = false;
  ActiveRequest& other = requests_.add({}, client_, timers_.now(), "t");
  releaser_.onPrefillSent(other, kHolder, timers_.now());
  releaser_.onAttemptAbandoned(other.id, {.endpoint = kHolder, .phase = Phase::prefill});
  releaser_.release(other.id);
  confirmCalls();
  EXPECT_FALSE(releaser_.tracker().isTracking(other.id));
}

}  // namespace
}  // namespace garnethook::routing
