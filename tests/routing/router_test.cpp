// How the router processes requests from arrival to completion. Time, timers and engines are driven by the
// test.
#include "routing/router.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "manual_engines.h"
#include "routing/policy_log.h"

namespace garnethook::routing {
namespace {

struct RecordingClient final : Client {
  void onTokens(const Tokens& tokens) override {
    EXPECT_FALSE(completion);
    text += tokens.text;
    if (onTokensHook) onTokensHook();
  }
  void onCompletion(const Completion& received) override {
    EXPECT_FALSE(completion) << "more than one completion";
    completion = received;
    if (onCompletionHook) onCompletionHook();
  }
  bool isCancelled() const override { return hasDisconnected; }
  std::string text;
  bool hasDisconnected = false;
  std::optional<Completion> completion;
  std::function<void()> onTokensHook;
  std::function<void()> onCompletionHook;
};

struct RestartRecorder final : Observer {
  void onEndpointRestarted(const EndpointRestartEvent& event) override { restarts.push_back(event); }
  std::vector<EndpointRestartEvent> restarts;
};

class RouterTest : public testing::Test {
 protected:
  static Options options() {
    Options options;
    options.settings.classes = {
        {.ttftObjective = 1'000'000, .deadline = 5'000'000},
        {.ttftObjective = 1'000'000, .deadline = 5'000'000, .idempotency = Idempotency::nonIdempotent},
        {.ttftObjective = 1'000'000,
         .deadline = 5'000'000,
         .idempotency = Idempotency::idempotentWithKey,
         .deduplicationScope = DeduplicationScope::fleet,
         .deduplicationWindow = 400'000}};
    options.settings.kinds = {{Role::prefill, 1e5}, {Role::decode, 1e5}};
    options.settings.maxAttempts = 4;
    options.settings.canCancel = true;
    options.settings.kvReleaseTimeout = 500'000;
    options.instance = "t";
    options.maxPendingRequests = 3;
    return options;
  }
  RouterTest() : router(options(), timers, engines, observer) {
    router.onEndpointUpdate({EndpointUpdate::Kind::snapshot,
                             {{.id = {1}, .zone = 0, .kind = 0},
                              {.id = {2}, .zone = 0, .kind = 1},
                              {.id = {3}, .zone = 0, .kind = 1}}});
  }
  static Request request(std::size_t requestClass = 0, Micros remaining = 5'000'000) {
    Request request;
    request.requestClass = requestClass;
    request.remaining = remaining;
    request.prompt = std::make_shared<const std::string>("p");
    request.promptTokens = 100;
    request.maxOutput = 10;
    return request;
  }
  RequestId accept(Client& client, std::size_t requestClass = 0, Micros remaining = 5'000'000) {
    return router.accept(request(requestClass, remaining), client);
  }
  // Completes the prefill attempt that was started last, so that a decode attempt starts.
  void finishPrefill() {
    AttemptResult result;
    result.outcome = Outcome::prefillDone;
    result.kvTransferParams = "{}";
    router.onAttemptEnded(engines.startedAttempts.back().attempt, result);
  }
  // Reports a start of the prefill endpoint.
  void reportStart(Micros startedAt) {
    router.onEndpointUpdate(
        {EndpointUpdate::Kind::delta, {{.id = {1}, .zone = 0, .kind = 0, .startedAt = startedAt}}});
  }
  void sendToken(const std::string& text = "x") {
    router.onTokens(engines.startedAttempts.back().attempt, text, 1, {});
  }

  ManualTimers timers;
  ManualEngines engines;
  RestartRecorder observer;
  Router router;
};

TEST_F(RouterTest, CompletesARequestByPrefillAndDecode) {
  RecordingClient client;
  accept(client);
  ASSERT_EQ(engines.startedAttempts.size(), 1u);
  EXPECT_EQ(engines.startedAttempts[0].phase, Phase::prefill);
  finishPrefill();
  ASSERT_EQ(engines.startedAttempts.size(), 2u);
  EXPECT_EQ(engines.startedAttempts[1].phase, Phase::decode);
  sendToken("a");
  sendToken("b");
  router.onAttemptEnded(engines.startedAttempts[1].attempt, {.outcome = Outcome::completed});
  ASSERT_TRUE(client.completion);
  EXPECT_EQ(client.completion->disposition, Disposition::completed);
  EXPECT_EQ(client.text, "ab");
  EXPECT_EQ(router.activeRequests(), 0u);
  EXPECT_TRUE(engines.releasedReservations.empty());  // the state was transferred
}

TEST_F(RouterTest, EndsTheStreamWhenItsFirstTokenComesAfterTheDeadline) {
  RecordingClient client;
  accept(client, 0, 1'000'000);
  finishPrefill();
  timers.time += 990'000;  // the event loop is late: the deadline timer has not fired yet
  sendToken();
  ASSERT_TRUE(client.completion);
  EXPECT_EQ(client.completion->failureReason, FailureReason::deadline);
  EXPECT_EQ(engines.cancelledAttempts.size(), 1u);
  timers.advance(1'000'000);
  EXPECT_EQ(router.activeRequests(), 0u);
}

TEST_F(RouterTest, DropsAndCountsLateEventsOfACancelledAttempt) {
  RecordingClient client;
  const auto id = accept(client);
  finishPrefill();
  const auto attempt = engines.startedAttempts.back().attempt;
  router.cancel(id);
  EXPECT_EQ(engines.releasedReservations.size(), 1u);
  router.onTokens(attempt, "late", 1, {});
  router.onAttemptEnded(attempt, {.outcome = Outcome::completed});
  EXPECT_EQ(client.text, "");
  EXPECT_FALSE(client.completion);
  EXPECT_EQ(router.counters().lateEvents, 2u);
  EXPECT_EQ(router.activeRequests(), 0u);
}

TEST_F(RouterTest, AllowsAnAbortFromTheClientsTokenCallback) {
  RecordingClient client;
  const auto id = accept(client);
  client.onTokensHook = [&] { router.abort(id, FailureReason::slowClient, "slow"); };
  finishPrefill();
  sendToken();
  ASSERT_TRUE(client.completion);
  EXPECT_EQ(client.completion->failureReason, FailureReason::slowClient);
  EXPECT_EQ(router.activeRequests(), 0u);
  EXPECT_EQ(engines.cancelledAttempts.size(), 1u);
}

TEST_F(RouterTest, RejectsRequestsBeyondItsLimitAtOnce) {
  std::array<RecordingClient, 4> clients;
  for (auto& client : clients) accept(client);
  ASSERT_TRUE(clients[3].completion);
  EXPECT_EQ(clients[3].completion->failureReason, FailureReason::tooManyRequests);
  EXPECT_GT(clients[3].completion->retryAfter, 0);
  EXPECT_EQ(router.activeRequests(), 3u);
}

TEST_F(RouterTest, CompletesAllRequestsOnStopAndRejectsOnlyThoseThatMayBeRetried) {
  RecordingClient idempotent;
  RecordingClient generating;
  RecordingClient prefilling;
  accept(idempotent);
  finishPrefill();
  accept(generating, 1);
  finishPrefill();
  accept(prefilling, 1);
  router.stop();
  EXPECT_EQ(idempotent.completion->disposition, Disposition::rejected);
  EXPECT_EQ(generating.completion->disposition, Disposition::failed);
  EXPECT_EQ(prefilling.completion->disposition, Disposition::rejected);
  EXPECT_EQ(router.activeRequests(), 0u);
  EXPECT_EQ(router.kvReservations().reservationCount(), 0u);
}

TEST_F(RouterTest, RetriesAFailedRelease) {
  RecordingClient client;
  const auto id = accept(client);
  finishPrefill();
  router.cancel(id);
  ASSERT_EQ(engines.releasedReservations.size(), 1u);
  router.onReleaseEnded(engines.releaseCalls[0], false);
  timers.advance(150'000);
  ASSERT_EQ(engines.releasedReservations.size(), 2u);
  router.onReleaseEnded(engines.releaseCalls[1], true);
  EXPECT_EQ(router.kvReservations().unconfirmedReleaseCount(), 0u);
  // The decode in flight may still await the state.
  EXPECT_EQ(router.kvReservations().releasedCount(), 0u);
}

// The parameter is the time since a start that the endpoint list reports.
class ReportedRestartTest : public RouterTest, public testing::WithParamInterface<Micros> {};

// Prevents KV state from staying reserved for good when the endpoint list reports a new start of its
// endpoint. The reported time only limits how late the start was: the state may have been created after it,
// also by a prefill that was sent before it and reached the endpoint after it.
TEST_P(ReportedRestartTest, StateThatMayHaveBeenCreatedAfterItIsReleased) {
  reportStart(timers.time - 60'000'000);
  RecordingClient client;
  const auto id = accept(client);
  timers.advance(10'000);
  finishPrefill();
  timers.advance(10'000);
  reportStart(timers.time - GetParam());
  EXPECT_EQ(router.kvReservations().countAt({1}), 1u);
  router.cancel(id);
  ASSERT_EQ(engines.releaseCalls.size(), 1u);
  EXPECT_EQ(engines.releaseCalls[0].request, id);
}

INSTANTIATE_TEST_SUITE_P(StartAges, ReportedRestartTest, testing::Values(0, 15'000, 20'000, 2'000'000));

// The first list of discovery can date the starts of a stored copy earlier. Prevents this from being logged
// as a restart of every endpoint.
TEST_F(RouterTest, ReportsOnlyLaterStartsAsRestarts) {
  reportStart(timers.time - 2'000'000);
  ASSERT_EQ(observer.restarts.size(), 1u);  // it was listed as started long ago
  EXPECT_FALSE(observer.restarts[0].previousStartAge);
  reportStart(timers.time - 60'000'000);
  EXPECT_EQ(observer.restarts.size(), 1u);
  reportStart(timers.time - 1'000'000);
  ASSERT_EQ(observer.restarts.size(), 2u);
  EXPECT_EQ(observer.restarts[1].endpoint, EndpointId{1});
  EXPECT_EQ(observer.restarts[1].startAge, 1'000'000);
  EXPECT_EQ(observer.restarts[1].previousStartAge, 60'000'000);
}

// Prevents a release from being dropped when the endpoint list reports a restart while no engine has
// confirmed it yet.
TEST_F(RouterTest, RetriesAFailedReleaseAfterARestartWasReported) {
  reportStart(timers.time - 60'000'000);
  RecordingClient client;
  const auto id = accept(client);
  finishPrefill();
  router.cancel(id);
  ASSERT_EQ(engines.releaseCalls.size(), 1u);
  router.onReleaseEnded(engines.releaseCalls[0], false);
  timers.advance(1'000);
  reportStart(timers.time);
  timers.advance(150'000);
  EXPECT_EQ(engines.releaseCalls.size(), 2u);
}

// Prevents repeated connection failures from restarting the release timeout: three consecutive failures kept
// a state for longer than rule 5 allows.
TEST_F(RouterTest, ReleasesTheStateWhenConnectionsToDecodeEndpointsFailRepeatedly) {
  RecordingClient client;
  accept(client);
  timers.advance(10'000);
  const Micros prefilledAt = timers.time;
  finishPrefill();
  engines.delivery = DeliveryState::undelivered;
  timers.advance(300'000);
  ASSERT_EQ(engines.startedAttempts.back().phase, Phase::decode);
  router.onAttemptEnded(engines.startedAttempts.back().attempt, {.outcome = Outcome::connectFailed});
  ASSERT_EQ(engines.startedAttempts.back().phase, Phase::decode);
  const auto secondDecode = engines.startedAttempts.back().attempt;
  while (engines.releasedReservations.empty() && timers.time < prefilledAt + 2'000'000) timers.advance(1'000);
  EXPECT_LE(timers.time - prefilledAt, 510'000);
  // The second decode attempt was cancelled before the release.
  ASSERT_EQ(engines.cancelledAttempts.size(), 1u);
  EXPECT_EQ(engines.cancelledAttempts[0], secondDecode);
  EXPECT_FALSE(client.completion);
  ASSERT_EQ(engines.startedAttempts.size(), 4u);
  EXPECT_EQ(engines.startedAttempts.back().phase, Phase::prefill);  // the prompt is prefilled again
}

// No prefill endpoint is left when the state has to be released: the request restarts as a combined attempt,
// and the release is retried while that attempt is in flight.
TEST_F(RouterTest, KeepsReleasingWhenACombinedAttemptReplacesTheDecode) {
  Options combinedOptions = options();
  combinedOptions.settings.kinds.push_back({Role::combined, 1e5});
  Router combinedRouter(combinedOptions, timers, engines, observer);
  combinedRouter.onEndpointUpdate(
      {EndpointUpdate::Kind::snapshot, {{.id = {1}, .kind = 0}, {.id = {2}, .kind = 1}}});
  RecordingClient client;
  combinedRouter.accept(request(), client);
  timers.advance(10'000);
  combinedRouter.onAttemptEnded(engines.startedAttempts.back().attempt,
                                {.outcome = Outcome::prefillDone, .kvTransferParams = "{}"});
  ASSERT_EQ(engines.startedAttempts.back().phase, Phase::decode);
  engines.delivery = DeliveryState::undelivered;
  timers.advance(480'000);
  combinedRouter.onEndpointUpdate(
      {EndpointUpdate::Kind::delta,
       {{.id = {1}, .kind = 0, .state = EndpointState::removed}, {.id = {9}, .kind = 2}}});
  timers.advance(30'000);
  ASSERT_FALSE(engines.releasedReservations.empty());
  ASSERT_EQ(engines.startedAttempts.back().phase, Phase::combined);
  const std::size_t callsBefore = engines.releasedReservations.size();
  combinedRouter.onReleaseEnded(engines.releaseCalls.front(), false);
  timers.advance(200'000);
  // The release is retried while the combined attempt is in flight.
  ASSERT_GT(engines.releasedReservations.size(), callsBefore);
  EXPECT_FALSE(client.completion);
  combinedRouter.onReleaseEnded(engines.releaseCalls.back(), true);
  EXPECT_EQ(combinedRouter.kvReservations().reservationCount() +
                combinedRouter.kvReservations().pendingReleaseCount(),
            0u);
}

// Guards against decode attempts on silent connections that each give the state its whole time again, whether
// the connection breaks or the attempt times out.
class SilentDecodeTest : public RouterTest, public testing::WithParamInterface<Outcome> {};

TEST_P(SilentDecodeTest, KeepsTheReleaseTimeoutRunningWhenOneEndsWithoutAByteInReturn) {
  RecordingClient client;
  accept(client);
  timers.advance(10'000);
  finishPrefill();
  const Micros prefilledAt = timers.time;
  engines.delivery = DeliveryState::undelivered;
  timers.advance(300'000);
  router.onAttemptEnded(engines.startedAttempts.back().attempt,
                        {.outcome = GetParam(), .anyBytesReceived = false});
  ASSERT_EQ(engines.startedAttempts.size(), 3u);
  ASSERT_EQ(engines.startedAttempts.back().phase, Phase::decode);
  while (engines.releasedReservations.empty() && timers.time < prefilledAt + 2'000'000) timers.advance(1'000);
  EXPECT_LE(timers.time - prefilledAt, 510'000);
}

INSTANTIATE_TEST_SUITE_P(Outcomes, SilentDecodeTest,
                         testing::Values(Outcome::connectionReset, Outcome::timedOut));

// No byte of such a decode attempt was sent, so the release timeout of the state keeps running.
TEST_F(RouterTest, KeepsTheReleaseTimeoutRunningWhenNoByteOfADecodeIsSent) {
  constexpr Micros kAttemptDuration = 240'000;
  RecordingClient client;
  accept(client);
  timers.advance(10'000);
  finishPrefill();
  const Micros prefilledAt = timers.time;
  engines.delivery = DeliveryState::undelivered;
  while (engines.releasedReservations.empty() && timers.time < prefilledAt + 2'000'000) {
    const auto latestAttempt = engines.startedAttempts.back();
    for (Micros elapsed = 0; elapsed < kAttemptDuration && engines.releasedReservations.empty();
         elapsed += 1'000)
      timers.advance(1'000);
    if (latestAttempt.phase == Phase::decode)
      router.onAttemptEnded(latestAttempt.attempt, {.outcome = Outcome::rejected, .anyBytesReceived = false});
  }
  ASSERT_FALSE(engines.releasedReservations.empty());
  EXPECT_LE(timers.time - prefilledAt, 510'000);
}

// Engines keep idempotency keys for the deduplication window; a retry that a slow connection delivers after
// the window would be executed again.
TEST_F(RouterTest, LimitsTheTimeUntilWhichARetryOfKeyedWorkMayBeSent) {
  RecordingClient client;
  accept(client, 2);
  EXPECT_EQ(engines.startedAttempts.back().sendBy, 0);
  timers.advance(10'000);
  finishPrefill();
  ASSERT_EQ(engines.startedAttempts.back().phase, Phase::decode);
  EXPECT_EQ(engines.startedAttempts.back().sendBy, 0);  // the first decode attempt has no limit
  const Micros sentAt = timers.time;
  timers.advance(100'000);
  router.onAttemptEnded(engines.startedAttempts.back().attempt, {.outcome = Outcome::connectionReset});
  ASSERT_EQ(engines.startedAttempts.size(), 3u);
  EXPECT_EQ(engines.startedAttempts.back().phase, Phase::decode);
  EXPECT_EQ(engines.startedAttempts.back().sendBy, sentAt + 400'000);
}

TEST_F(RouterTest, WaitsForADecodeThatArrivedButNotForOneOnASilentReusedConnection) {
  RecordingClient client;
  accept(client);
  timers.advance(10'000);
  finishPrefill();
  timers.advance(600'000);  // the decode attempt waits at its endpoint
  EXPECT_TRUE(engines.cancelledAttempts.empty());
  router.onAttemptEnded(engines.startedAttempts.back().attempt, {.outcome = Outcome::error});
  EXPECT_EQ(engines.startedAttempts.back().phase, Phase::decode);  // another decode may fetch the state
  EXPECT_TRUE(engines.releasedReservations.empty());
  timers.advance(600'000);
  router.onAttemptEnded(
      engines.startedAttempts.back().attempt,
      {.outcome = Outcome::connectionReset, .reusedConnection = true, .anyBytesReceived = false});
  // The decode may never have arrived, and the release is due.
  EXPECT_EQ(engines.releasedReservations.size(), 1u);
  EXPECT_EQ(engines.startedAttempts.back().phase, Phase::prefill);
}

// The release timeout applies to state that an earlier prefill may have left, also while the connection of
// the next prefill cannot be established, or is a reused one that failed undetected, as happened during a
// network partition between zones.
class FailedPrefillTest : public RouterTest, public testing::WithParamInterface<DeliveryState> {};

TEST_P(FailedPrefillTest, ReleasesItsPossibleStateWhileTheNextPrefillMayNotHaveArrived) {
  router.onEndpointUpdate({EndpointUpdate::Kind::delta, {{.id = {4}, .zone = 0, .kind = 0}}});
  RecordingClient client;
  const auto id = accept(client);
  timers.advance(10'000);
  const Micros failedAt = timers.time;
  const EndpointId first = engines.startedAttempts.back().endpoint;
  router.onAttemptEnded(engines.startedAttempts.back().attempt,
                        {.outcome = Outcome::connectionReset, .anyBytesReceived = false});
  ASSERT_EQ(engines.startedAttempts.size(), 2u);
  EXPECT_EQ(engines.startedAttempts.back().phase, Phase::prefill);
  ASSERT_NE(engines.startedAttempts.back().endpoint, first);
  EXPECT_FALSE(engines.startedAttempts.front().requiresNewConnection);
  // A new connection shows whether the prefill arrives, so that a release does not free its state.
  EXPECT_TRUE(engines.startedAttempts.back().requiresNewConnection);
  engines.delivery = GetParam();
  while (engines.releasedReservations.empty() && timers.time < failedAt + 550'000) timers.advance(1'000);
  if (GetParam() == DeliveryState::confirmed) {
    EXPECT_TRUE(engines.releasedReservations.empty());
  } else {
    EXPECT_LE(timers.time - failedAt, 510'000);
    EXPECT_EQ(std::count(engines.releasedReservations.begin(), engines.releasedReservations.end(),
                         std::pair(first, id)),
              1);
  }
  // A prefill without a connection is cancelled; one that may have arrived continues.
  EXPECT_EQ(engines.cancelledAttempts.size(), GetParam() == DeliveryState::undelivered ? 1u : 0u);
  if (GetParam() == DeliveryState::undelivered) return;
  ASSERT_EQ(engines.startedAttempts.size(), 2u);
  finishPrefill();
  EXPECT_EQ(engines.startedAttempts.back().phase, Phase::decode);
}

INSTANTIATE_TEST_SUITE_P(DeliveryStates, FailedPrefillTest,
                         testing::Values(DeliveryState::undelivered, DeliveryState::written,
                                         DeliveryState::confirmed));

class UnconfirmedDecodeTest : public RouterTest {
 protected:
  UnconfirmedDecodeTest() : selectiveReleaseRouter(selectiveReleaseOptions(), timers, engines, observer) {
    selectiveReleaseRouter.onEndpointUpdate(
        {EndpointUpdate::Kind::snapshot,
         {{.id = {1}, .zone = 0, .kind = 0}, {.id = {2}, .zone = 0, .kind = 1}}});
    selectiveReleaseRouter.accept(request(), client);
    timers.advance(10'000);
    prefilledAt = timers.time;
    selectiveReleaseRouter.onAttemptEnded(engines.startedAttempts.back().attempt,
                                          {.outcome = Outcome::prefillDone});
  }
  static Options selectiveReleaseOptions() {
    Options selectiveRelease = options();
    selectiveRelease.kvReservations.releaseSkipsAwaitedState = true;
    return selectiveRelease;
  }
  RecordingClient client;
  Router selectiveReleaseRouter;
  Micros prefilledAt = 0;
};

TEST_F(UnconfirmedDecodeTest, ReleasesTheStateInTimeWhileTheDecodeMayBeOnADeadConnection) {
  ASSERT_EQ(engines.startedAttempts.back().phase, Phase::decode);
  engines.delivery = DeliveryState::written;
  timers.advance(490'000);
  EXPECT_TRUE(engines.releasedReservations.empty());
  timers.advance(20'000);
  ASSERT_EQ(engines.releasedReservations.size(), 1u);
  EXPECT_TRUE(engines.cancelledAttempts.empty());  // an endpoint may have received it, so it continues
  selectiveReleaseRouter.onTokens(engines.startedAttempts.back().attempt, "x", 1, {});
  selectiveReleaseRouter.onAttemptEnded(engines.startedAttempts.back().attempt,
                                        {.outcome = Outcome::completed});
  ASSERT_TRUE(client.completion);
  EXPECT_EQ(client.completion->disposition, Disposition::completed);
  EXPECT_EQ(engines.releasedReservations.size(), 1u);
}

TEST_F(UnconfirmedDecodeTest, KeepsTheStateWhenTheDecodeHasArrived) {
  timers.advance(600'000);
  EXPECT_TRUE(engines.releasedReservations.empty());
  EXPECT_FALSE(client.completion);
}

// The release timeout of a reservation keeps running during a decode attempt that is not confirmed to have
// arrived, so the release is due when the decode attempt is abandoned.
TEST_F(UnconfirmedDecodeTest, KeepsTheReleaseTimeoutRunningDuringAnUnconfirmedAttempt) {
  engines.delivery = DeliveryState::written;
  while (engines.cancelledAttempts.empty() && timers.time < prefilledAt + 4'000'000) timers.advance(1'000);
  ASSERT_EQ(engines.cancelledAttempts.size(), 1u);
  ASSERT_GT(timers.time - prefilledAt, 500'000);
  EXPECT_EQ(engines.releasedReservations.size(), 2u);  // when it was due, and for the next prefill
  EXPECT_EQ(engines.startedAttempts.back().phase, Phase::prefill);
}

// Guards against a router that runs out of memory by requests that end long before their deadlines: none of
// their timers stays, however they end.
TEST_F(RouterTest, KeepsNoTimerOfARequestThatHasEnded) {
  constexpr std::size_t kRequests = 1000;
  timers.advance(500'000);
  const std::size_t timersBefore = router.runningTimers();
  for (std::size_t i = 0; i < kRequests; ++i) {
    RecordingClient completed;
    accept(completed);
    timers.advance(10'000);
    finishPrefill();
    router.onTokens(engines.startedAttempts.back().attempt, "x", 1, {});
    router.onAttemptEnded(engines.startedAttempts.back().attempt, {.outcome = Outcome::completed});
    RecordingClient cancelled;
    router.cancel(accept(cancelled));
  }
  router.onEndpointUpdate({EndpointUpdate::Kind::snapshot, {}});
  for (std::size_t i = 0; i < kRequests; ++i) {
    RecordingClient rejected;
    accept(rejected);
    EXPECT_TRUE(rejected.completion);
  }
  EXPECT_EQ(router.activeRequests(), 0u);
  EXPECT_LE(router.runningTimers(), timersBefore + 1);  // one more repeats the releases of the cancelled ones
}

// Prevents a release call that throws from blocking the other calls or from staying in flight forever.
TEST_F(RouterTest, RetriesAReleaseWhoseCallThrows) {
  RecordingClient client;
  const auto id = accept(client);
  finishPrefill();
  engines.failsNextRelease = true;
  router.cancel(id);
  EXPECT_TRUE(engines.releasedReservations.empty());
  timers.advance(200'000);
  EXPECT_EQ(engines.releasedReservations.size(), 1u);
}

TEST_F(RouterTest, StartsNoAttemptForADisconnectedClient) {
  RecordingClient client;
  client.hasDisconnected = true;
  accept(client);
  EXPECT_TRUE(engines.startedAttempts.empty());
  EXPECT_EQ(router.pendingRequests(), 0u);
  EXPECT_EQ(router.activeRequests(), 0u);
  EXPECT_EQ(router.counters().cancelled, 1u);
  EXPECT_FALSE(client.completion);

  RecordingClient laterClient;
  accept(laterClient);
  ASSERT_EQ(engines.startedAttempts.size(), 1u);
  laterClient.hasDisconnected = true;
  finishPrefill();  // the disconnect and the end of the prefill occur in one event-loop iteration
  EXPECT_EQ(engines.startedAttempts.size(), 1u);
  EXPECT_EQ(router.activeRequests(), 0u);
  EXPECT_EQ(engines.releasedReservations.size(), 1u);  // the state is released
}

TEST_F(RouterTest, FailsABadRequestWithoutARetry) {
  RecordingClient client;
  accept(client);
  router.onAttemptEnded(engines.startedAttempts[0].attempt,
                        {.outcome = Outcome::notSent, .badRequest = true, .text = "HTTP 400: too long"});
  ASSERT_TRUE(client.completion);
  EXPECT_EQ(client.completion->failureReason, FailureReason::badRequest);
  EXPECT_EQ(engines.startedAttempts.size(), 1u);
}

// The completion callback makes the router process events, which end the attempt and erase the request.
TEST_F(RouterTest, AllowsANewRequestFromTheCompletionCallbackOfAStalledStream) {
  RecordingClient client;
  RecordingClient nextClient;
  client.onCompletionHook = [&] { accept(nextClient); };
  accept(client, 0, 60'000'000);
  finishPrefill();
  sendToken();
  const AttemptId stalled = engines.startedAttempts.back().attempt;
  const Micros startedAt = timers.time;
  while (!client.completion && timers.time < startedAt + 11'000'000) timers.advance(1'000);
  ASSERT_TRUE(client.completion);
  EXPECT_EQ(client.completion->failureReason, FailureReason::streamStalled);
  EXPECT_EQ(engines.cancelledAttempts, std::vector<AttemptId>{stalled});
  EXPECT_FALSE(nextClient.completion);
  EXPECT_EQ(router.activeRequests(), 1U);
}

TEST_F(RouterTest, AllowsACancelFromTheClientsTokenCallback) {
  RecordingClient client;
  const RequestId id = accept(client);
  client.onTokensHook = [&] { router.cancel(id); };
  finishPrefill();
  sendToken();
  EXPECT_FALSE(client.completion);
  EXPECT_EQ(router.counters().cancelled, 1U);
  EXPECT_EQ(router.activeRequests(), 0U);
  EXPECT_EQ(engines.cancelledAttempts.size(), 1U);
}

TEST_F(RouterTest, AllowsCancelsOfThisAndAnotherRequestFromTheCompletionCallback) {
  RecordingClient client;
  RecordingClient other;
  const RequestId id = accept(client);
  const RequestId otherId = accept(other);
  client.onCompletionHook = [&] {
    router.cancel(id);
    router.cancel(otherId);
  };
  router.abort(id, FailureReason::slowClient, "slow");
  EXPECT_TRUE(client.completion);
  EXPECT_FALSE(other.completion);
  EXPECT_EQ(router.counters().failed, 1U);
  EXPECT_EQ(router.counters().cancelled, 1U);
  EXPECT_EQ(router.pendingRequests(), 0U);
  EXPECT_EQ(router.activeRequests(), 0U);
}

TEST_F(RouterTest, AllowsAStopFromTheCompletionCallbackWhileEventsAreProcessed) {
  RecordingClient client;
  RecordingClient other;
  accept(other);
  client.onCompletionHook = [&] { router.stop(); };
  accept(client, 1);
  router.onAttemptEnded(engines.startedAttempts.back().attempt,
                        {.outcome = Outcome::notSent, .badRequest = true, .text = "HTTP 400"});
  ASSERT_TRUE(client.completion);
  EXPECT_EQ(client.completion->failureReason, FailureReason::badRequest);
  ASSERT_TRUE(other.completion);
  EXPECT_EQ(other.completion->failureReason, FailureReason::shuttingDown);
  EXPECT_EQ(router.activeRequests(), 0U);
  RecordingClient lateClient;
  accept(lateClient);
  ASSERT_TRUE(lateClient.completion);
  EXPECT_EQ(lateClient.completion->failureReason, FailureReason::shuttingDown);
}

TEST_F(RouterTest, ExecutesLaterActionsWhenOneThrows) {
  RecordingClient client;
  engines.failsNextAttempt = true;
  accept(client);
  EXPECT_EQ(router.counters().failedActions, 1U);
  EXPECT_TRUE(engines.startedAttempts.empty());
  RecordingClient other;
  accept(other);
  EXPECT_EQ(engines.startedAttempts.size(), 1U);  // the action queue is not blocked
  router.stop();
  EXPECT_TRUE(client.completion);
  EXPECT_TRUE(other.completion);
  EXPECT_EQ(router.activeRequests(), 0U);
}

TEST(PolicyLog, ReplacesEndpointIdsWithNames) {
  const auto nameOf = [](EndpointId id) { return "endpoint-" + std::to_string(id.value % 10); };
  EXPECT_EQ(withEndpointNames("server 12345678901 ejected for 1000 ms", nameOf),
            "server endpoint-1 ejected for 1000 ms");
  EXPECT_EQ(withEndpointNames("123456789 1234567890x", nameOf), "123456789 1234567890x");
  EXPECT_EQ(withEndpointNames("", nameOf), "");
}

}  // namespace
}  // namespace garnethook::routing
