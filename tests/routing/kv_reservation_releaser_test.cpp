// Which release calls are made in each state of a request. Time, timers and engines are driven by the test.
#include "routing/kv_reservation_releaser.h"

#include <gtest/gtest.h>

#include "manual_engines.h"

namespace garnethook::routing {
namespace {

struct SilentClient final : Client {
  void onTokens(const Tokens&) override {}
  void onCompletion(const Completion&) override {}
};

constexpr Micros kReleaseTimeout = 500'000;
constexpr EndpointId kPrefillEndpoint{7};

// A request whose prefill at kPrefillEndpoint was abandoned just now.
class KvReservationReleaserTest : public testing::Test {
 protected:
  KvReservationReleaserTest()
      : context_{options_, timers_, engines_, observer_, counters_},
        releaser_(context_, requests_),
        active_(&requests_.add({}, client_, timers_.now(), "t")) {
    const InFlightAttempt prefill{
        .endpoint = kPrefillEndpoint, .phase = Phase::prefill, .sentAt = timers_.now()};
    releaser_.onPrefillSent(*active_, kPrefillEndpoint, timers_.now());
    releaser_.onAttemptAbandoned(active_->id, prefill);
  }
  // Advances the time and confirms every release call at once.
  void advanceConfirmingCalls(Micros duration) {
    for (Micros elapsed = 0; elapsed < duration; elapsed += 1'000) {
      timers_.advance(1'000);
      confirmCalls();
    }
  }
  void confirmCalls() {
    for (; confirmed_ < engines_.releaseCalls.size(); ++confirmed_)
      releaser_.onReleaseEnded(engines_.releaseCalls[confirmed_], true);
  }
  void startAttempt(Phase phase) {
    active_->attempt = InFlightAttempt{.number = 1, .endpoint = {8}, .phase = phase};
  }
  std::size_t callCount() const { return engines_.releaseCalls.size(); }

  Options options_{.kvReservations = {.kvReleaseTimeout = kReleaseTimeout, .releaseSkipsAwaitedState = true}};
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

// While a request waits for capacity, only the releaser checks when state that its abandoned prefill may have
// left is due for release.
TEST_F(KvReservationReleaserTest, ReleasesInTimeWhileTheRequestWaitsForCapacity) {
  advanceConfirmingCalls(kReleaseTimeout);
  EXPECT_GE(callCount(), 1u);
  advanceConfirmingCalls(4 * kReleaseTimeout);
  EXPECT_GE(callCount(), 4u);  // repeated, since state may still appear
  EXPECT_FALSE(releaser_.tracker().isTracking(active_->id));
}

// A release would free the newer state, which waits for a decode endpoint with free capacity.
TEST_F(KvReservationReleaserTest, KeepsANewerStateThatAwaitsADecode) {
  active_->kvEndpoint = EndpointId{8};
  advanceConfirmingCalls(2 * kReleaseTimeout);
  EXPECT_EQ(callCount(), 0u);
}

TEST_F(KvReservationReleaserTest, RepeatsNoReleaseWhileANewerAttemptIsInFlight) {
  advanceConfirmingCalls(kReleaseTimeout);
  const std::size_t callsBefore = callCount();
  for (const Phase phase : {Phase::prefill, Phase::decode}) {
    startAttempt(phase);
    advanceConfirmingCalls(kReleaseTimeout);
    EXPECT_EQ(callCount(), callsBefore);
  }
  active_->attempt->hasStarted = true;  // the newer state was fetched
  advanceConfirmingCalls(kReleaseTimeout);
  EXPECT_GT(callCount(), callsBefore);
}

TEST_F(KvReservationReleaserTest, RepeatsReleasesDuringAnAttemptThatMayNotHaveArrived) {
  advanceConfirmingCalls(kReleaseTimeout);
  startAttempt(Phase::prefill);
  releaser_.releaseDuringAttempt(active_->id, *active_->attempt);
  const std::size_t callsBefore = callCount();
  advanceConfirmingCalls(kReleaseTimeout);
  EXPECT_GT(callCount(), callsBefore);
}

TEST_F(KvReservationReleaserTest, RepeatsReleasesOfARequestThatHasEnded) {
  releaser_.release(active_->id);
  requests_.erase(active_->id);
  const std::size_t callsBefore = callCount();
  advanceConfirmingCalls(kReleaseTimeout);
  EXPECT_GT(callCount(), callsBefore);
}

// Engines without a release call free reservations on their own.
TEST_F(KvReservationReleaserTest, RepeatsNothingWhereEnginesHaveNoReleaseCall) {
  engines_.hasReleaseCall = false;
  ActiveRequest& other = requests_.add({}, client_, timers_.now(), "t");
  releaser_.onPrefillSent(other, kPrefillEndpoint, timers_.now());
  releaser_.onAttemptAbandoned(other.id, {.endpoint = kPrefillEndpoint, .phase = Phase::prefill});
  releaser_.release(other.id);
  confirmCalls();
  EXPECT_FALSE(releaser_.tracker().isTracking(other.id));
}

}  // namespace
}  // namespace garnethook::routing
