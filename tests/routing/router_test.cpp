// The life of a request, with time, timers and engines driven by hand.
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
    if (duringTokens) duringTokens();
  }
  void onCompletion(const Completion& received) override {
    EXPECT_FALSE(completion) << "a second completion";
    completion = received;
    if (duringCompletion) duringCompletion();
  }
  bool isCancelled() const override { return hasGone; }
  std::string text;
  bool hasGone = false;
  std::optional<Completion> completion;
  std::function<void()> duringTokens;
  std::function<void()> duringCompletion;
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
  // The prefill that began last is done, so that a decode attempt begins.
  void finishPrefill() {
    AttemptResult result;
    result.outcome = Outcome::prefillDone;
    result.kvTransferParams = "{}";
    router.onAttemptEnded(engines.begun.back().attempt, result);
  }
  void sendToken(const std::string& text = "x") {
    router.onTokens(engines.begun.back().attempt, text, 1, {});
  }

  ManualTimers timers;
  ManualEngines engines;
  Observer observer;
  Router router;
};

TEST_F(RouterTest, CompletesARequestByPrefillAndDecode) {
  RecordingClient client;
  accept(client);
  ASSERT_EQ(engines.begun.size(), 1u);
  EXPECT_EQ(engines.begun[0].phase, Phase::prefill);
  finishPrefill();
  ASSERT_EQ(engines.begun.size(), 2u);
  EXPECT_EQ(engines.begun[1].phase, Phase::decode);
  sendToken("a");
  sendToken("b");
  router.onAttemptEnded(engines.begun[1].attempt, {.outcome = Outcome::completed});
  ASSERT_TRUE(client.completion);
  EXPECT_EQ(client.completion->disposition, Disposition::completed);
  EXPECT_EQ(client.text, "ab");
  EXPECT_EQ(router.activeRequests(), 0u);
  EXPECT_TRUE(engines.released.empty());  // it was transferred
}

TEST_F(RouterTest, EndsTheStreamWhenItsFirstTokenComesAfterTheDeadline) {
  RecordingClient client;
  accept(client, 0, 1'000'000);
  finishPrefill();
  timers.time += 990'000;  // the loop is late: the deadline's timer has not fired yet
  sendToken();
  ASSERT_TRUE(client.completion);
  EXPECT_EQ(client.completion->failureReason, FailureReason::deadline);
  EXPECT_EQ(engines.cancelled.size(), 1u);
  timers.advance(1'000'000);
  EXPECT_EQ(router.activeRequests(), 0u);
}

TEST_F(RouterTest, DropsAndCountsLateEventsOfACancelledAttempt) {
  RecordingClient client;
  const auto id = accept(client);
  finishPrefill();
  const auto attempt = engines.begun.back().attempt;
  router.cancel(id);
  EXPECT_EQ(engines.released.size(), 1u);
  router.onTokens(attempt, "late", 1, {});
  router.onAttemptEnded(attempt, {.outcome = Outcome::completed});
  EXPECT_EQ(client.text, "");
  EXPECT_FALSE(client.completion);
  EXPECT_EQ(router.counters().lateEvents, 2u);
  EXPECT_EQ(router.activeRequests(), 0u);
}

TEST_F(RouterTest, LetsAClientAbortFromItsOwnTokenCallback) {
  RecordingClient client;
  const auto id = accept(client);
  client.duringTokens = [&] { router.abort(id, FailureReason::slowClient, "slow"); };
  finishPrefill();
  sendToken();
  ASSERT_TRUE(client.completion);
  EXPECT_EQ(client.completion->failureReason, FailureReason::slowClient);
  EXPECT_EQ(router.activeRequests(), 0u);
  EXPECT_EQ(engines.cancelled.size(), 1u);
}

TEST_F(RouterTest, RejectsRequestsBeyondItsLimitAtOnce) {
  std::array<RecordingClient, 4> clients;
  for (auto& client : clients) accept(client);
  ASSERT_TRUE(clients[3].completion);
  EXPECT_EQ(clients[3].completion->failureReason, FailureReason::tooManyRequests);
  EXPECT_GT(clients[3].completion->retryAfter, 0);
  EXPECT_EQ(router.activeRequests(), 3u);
}

TEST_F(RouterTest, CompletesAllRequestsOnStopAndRejectsOnlyWhatDidNotRun) {
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
  ASSERT_EQ(engines.released.size(), 1u);
  router.onReleaseEnded(engines.releaseCalls[0], false);
  timers.advance(150'000);
  ASSERT_EQ(engines.released.size(), 2u);
  router.onReleaseEnded(engines.releaseCalls[1], true);
  EXPECT_EQ(router.kvReservations().unconfirmedReleaseCount(), 0u);
  EXPECT_EQ(router.kvReservations().releasedCount(),
            0u);  // the decode in flight may still wait for the state
}

// Three connections that failed one after another kept a state for longer than rule 5 allows, because each
// failure restarted its time.
TEST_F(RouterTest, ReleasesTheStateWhenConnectionsToDecodeEndpointsFailRepeatedly) {
  RecordingClient client;
  accept(client);
  timers.advance(10'000);
  const Micros prefilledAt = timers.time;
  finishPrefill();
  engines.delivery = DeliveryState::undelivered;
  timers.advance(300'000);
  ASSERT_EQ(engines.begun.back().phase, Phase::decode);
  router.onAttemptEnded(engines.begun.back().attempt, {.outcome = Outcome::connectFailed});
  ASSERT_EQ(engines.begun.back().phase, Phase::decode);
  const auto second = engines.begun.back().attempt;
  while (engines.released.empty() && timers.time < prefilledAt + 2'000'000) timers.advance(1'000);
  EXPECT_LE(timers.time - prefilledAt, 510'000);
  ASSERT_EQ(engines.cancelled.size(), 1u);  // the second decode ended before the state was released
  EXPECT_EQ(engines.cancelled[0], second);
  EXPECT_FALSE(client.completion);
  ASSERT_EQ(engines.begun.size(), 4u);
  EXPECT_EQ(engines.begun.back().phase, Phase::prefill);  // the prompt is read again
}

// No prefill endpoint is left when the state has to be released: the request begins anew as a combined
// attempt, and the release goes on beside it.
TEST_F(RouterTest, KeepsReleasingWhenACombinedAttemptReplacesTheDecode) {
  Options withCombined = options();
  withCombined.settings.kinds.push_back({Role::combined, 1e5});
  Router combinedRouter(withCombined, timers, engines, observer);
  combinedRouter.onEndpointUpdate(
      {EndpointUpdate::Kind::snapshot, {{.id = {1}, .kind = 0}, {.id = {2}, .kind = 1}}});
  RecordingClient client;
  combinedRouter.accept(request(), client);
  timers.advance(10'000);
  combinedRouter.onAttemptEnded(engines.begun.back().attempt,
                                {.outcome = Outcome::prefillDone, .kvTransferParams = "{}"});
  ASSERT_EQ(engines.begun.back().phase, Phase::decode);
  engines.delivery = DeliveryState::undelivered;
  timers.advance(480'000);
  combinedRouter.onEndpointUpdate(
      {EndpointUpdate::Kind::delta,
       {{.id = {1}, .kind = 0, .state = EndpointState::removed}, {.id = {9}, .kind = 2}}});
  timers.advance(30'000);
  ASSERT_FALSE(engines.released.empty());
  ASSERT_EQ(engines.begun.back().phase, Phase::combined);
  const std::size_t calls = engines.released.size();
  combinedRouter.onReleaseEnded(engines.releaseCalls.front(), false);
  timers.advance(200'000);
  ASSERT_GT(engines.released.size(), calls);  // again, while the combined attempt is in flight
  EXPECT_FALSE(client.completion);
  combinedRouter.onReleaseEnded(engines.releaseCalls.back(), true);
  EXPECT_EQ(combinedRouter.kvReservations().reservationCount() +
                combinedRouter.kvReservations().pendingReleaseCount(),
            0u);
}

// Nothing of such a decode left this router, so the state's time runs on.
TEST_F(RouterTest, KeepsTheReleaseTimeRunningWhenADecodeNeverLeavesTheRouter) {
  constexpr Micros kAttemptDuration = 240'000;
  RecordingClient client;
  accept(client);
  timers.advance(10'000);
  finishPrefill();
  const Micros prefilledAt = timers.time;
  engines.delivery = DeliveryState::undelivered;
  while (engines.released.empty() && timers.time < prefilledAt + 2'000'000) {
    const auto latestAttempt = engines.begun.back();
    for (Micros elapsed = 0; elapsed < kAttemptDuration && engines.released.empty(); elapsed += 1'000)
      timers.advance(1'000);
    if (latestAttempt.phase == Phase::decode)
      router.onAttemptEnded(latestAttempt.attempt, {.outcome = Outcome::rejected, .anyBytesSent = false});
  }
  ASSERT_FALSE(engines.released.empty());
  EXPECT_LE(timers.time - prefilledAt, 510'000);
}

// Engines remember keys for a window; a retry that a slow connection delivers after it would run again.
TEST_F(RouterTest, LimitsWhenARetryOfKeyedWorkMayBeSent) {
  RecordingClient client;
  accept(client, 2);
  EXPECT_EQ(engines.begun.back().sendBy, 0);
  timers.advance(10'000);
  finishPrefill();
  ASSERT_EQ(engines.begun.back().phase, Phase::decode);
  EXPECT_EQ(engines.begun.back().sendBy, 0);  // the first one
  const Micros sentAt = timers.time;
  timers.advance(100'000);
  router.onAttemptEnded(engines.begun.back().attempt, {.outcome = Outcome::connectionReset});
  ASSERT_EQ(engines.begun.size(), 3u);
  EXPECT_EQ(engines.begun.back().phase, Phase::decode);
  EXPECT_EQ(engines.begun.back().sendBy, sentAt + 400'000);
}

TEST_F(RouterTest, WaitsForADecodeThatArrivedButNotForOneOnASilentKeptConnection) {
  RecordingClient client;
  accept(client);
  timers.advance(10'000);
  finishPrefill();
  timers.advance(600'000);  // it waits at its endpoint
  EXPECT_TRUE(engines.cancelled.empty());
  router.onAttemptEnded(engines.begun.back().attempt, {.outcome = Outcome::error});
  EXPECT_EQ(engines.begun.back().phase, Phase::decode);  // another decode may fetch the state
  EXPECT_TRUE(engines.released.empty());
  timers.advance(600'000);
  router.onAttemptEnded(engines.begun.back().attempt,
                        {.outcome = Outcome::connectionReset, .reusedConnection = true});
  EXPECT_EQ(engines.released.size(), 1u);  // it may never have arrived, and the state's time is over
  EXPECT_EQ(engines.begun.back().phase, Phase::prefill);
}

// What an earlier prefill may have left has its time too, when the next prefill's connection does not come
// up, or is a kept one that died unnoticed (seen when zones were cut off from each other).
class LostPrefillTest : public RouterTest, public testing::WithParamInterface<DeliveryState> {};

TEST_P(LostPrefillTest, ReleasesWhatItMayHaveLeftWhileTheNextOneMayNotArrive) {
  router.onEndpointUpdate({EndpointUpdate::Kind::delta, {{.id = {4}, .zone = 0, .kind = 0}}});
  RecordingClient client;
  const auto id = accept(client);
  timers.advance(10'000);
  const Micros lostAt = timers.time;
  const EndpointId first = engines.begun.back().endpoint;
  router.onAttemptEnded(engines.begun.back().attempt, {.outcome = Outcome::connectionReset});
  ASSERT_EQ(engines.begun.size(), 2u);
  EXPECT_EQ(engines.begun.back().phase, Phase::prefill);
  ASSERT_NE(engines.begun.back().endpoint, first);
  EXPECT_FALSE(engines.begun.front().requiresNewConnection);
  EXPECT_TRUE(engines.begun.back()
                  .requiresNewConnection);  // so that its arrival is known, and a release need not hit it
  engines.delivery = GetParam();
  while (engines.released.empty() && timers.time < lostAt + 550'000) timers.advance(1'000);
  if (GetParam() == DeliveryState::confirmed) {
    EXPECT_TRUE(engines.released.empty());
  } else {
    EXPECT_LE(timers.time - lostAt, 510'000);
    EXPECT_EQ(std::count(engines.released.begin(), engines.released.end(), std::pair(first, id)), 1);
  }
  // One without a connection has ended; one that may have arrived goes on.
  EXPECT_EQ(engines.cancelled.size(), GetParam() == DeliveryState::undelivered ? 1u : 0u);
  if (GetParam() == DeliveryState::undelivered) return;
  ASSERT_EQ(engines.begun.size(), 2u);
  finishPrefill();
  EXPECT_EQ(engines.begun.back().phase, Phase::decode);
}

INSTANTIATE_TEST_SUITE_P(DeliveryStates, LostPrefillTest,
                         testing::Values(DeliveryState::undelivered, DeliveryState::written,
                                         DeliveryState::confirmed));

class UnconfirmedDecodeTest : public RouterTest {
 protected:
  UnconfirmedDecodeTest() : sparingRouter(sparingOptions(), timers, engines, observer) {
    sparingRouter.onEndpointUpdate({EndpointUpdate::Kind::snapshot,
                                    {{.id = {1}, .zone = 0, .kind = 0}, {.id = {2}, .zone = 0, .kind = 1}}});
    sparingRouter.accept(request(), client);
    timers.advance(10'000);
    prefilledAt = timers.time;
    sparingRouter.onAttemptEnded(engines.begun.back().attempt, {.outcome = Outcome::prefillDone});
  }
  static Options sparingOptions() {
    Options sparing = options();
    sparing.kvReservations.releaseSkipsAwaitedState = true;
    return sparing;
  }
  RecordingClient client;
  Router sparingRouter;
  Micros prefilledAt = 0;
};

TEST_F(UnconfirmedDecodeTest, ReleasesTheStateInTimeWhileTheDecodeMayBeOnADeadConnection) {
  ASSERT_EQ(engines.begun.back().phase, Phase::decode);
  engines.delivery = DeliveryState::written;
  timers.advance(490'000);
  EXPECT_TRUE(engines.released.empty());
  timers.advance(20'000);
  ASSERT_EQ(engines.released.size(), 1u);
  EXPECT_TRUE(engines.cancelled.empty());  // an endpoint may have it, so it goes on
  sparingRouter.onTokens(engines.begun.back().attempt, "x", 1, {});
  sparingRouter.onAttemptEnded(engines.begun.back().attempt, {.outcome = Outcome::completed});
  ASSERT_TRUE(client.completion);
  EXPECT_EQ(client.completion->disposition, Disposition::completed);
  EXPECT_EQ(engines.released.size(), 1u);
}

TEST_F(UnconfirmedDecodeTest, KeepsTheStateWhenTheDecodeHasArrived) {
  timers.advance(600'000);
  EXPECT_TRUE(engines.released.empty());
  EXPECT_FALSE(client.completion);
}

// A connection was established for the decode and fell silent before its last byte arrived (seen when a zone
// was cut off: a state was kept for 2.5 s).
TEST_F(UnconfirmedDecodeTest, ReleasesTheStateWhenTheDecodeEndpointIsNotAlive) {
  engines.delivery = DeliveryState::connected;
  timers.advance(490'000);
  EXPECT_TRUE(engines.livenessChecks.empty());
  timers.advance(20'000);
  ASSERT_EQ(engines.livenessChecks.size(), 1u);
  EXPECT_TRUE(engines.released.empty());
  sparingRouter.onLivenessChecked(engines.livenessChecks.front(), false);
  EXPECT_EQ(engines.released.size(), 1u);
  EXPECT_TRUE(engines.cancelled.empty());
}

TEST_F(UnconfirmedDecodeTest, KeepsTheStateWhenTheDecodeEndpointIsAlive) {
  engines.delivery = DeliveryState::connected;
  timers.advance(510'000);
  ASSERT_EQ(engines.livenessChecks.size(), 1u);
  sparingRouter.onLivenessChecked(engines.livenessChecks.front(), true);
  EXPECT_TRUE(engines.released.empty());
}

// The time of a reservation runs on through a decode that nothing shows to have arrived: it is over when the
// decode is given up.
TEST_F(UnconfirmedDecodeTest, KeepsTheReleaseTimeRunningThroughAnUnconfirmedAttempt) {
  engines.delivery = DeliveryState::connected;
  while (engines.cancelled.empty() && timers.time < prefilledAt + 4'000'000) timers.advance(1'000);
  ASSERT_EQ(engines.cancelled.size(), 1u);
  ASSERT_GT(timers.time - prefilledAt, 500'000);
  EXPECT_EQ(engines.released.size(), 1u);
  EXPECT_EQ(engines.begun.back().phase, Phase::prefill);
}

TEST_F(UnconfirmedDecodeTest, TrustsANewConnectionWhereLivenessCannotBeChecked) {
  engines.delivery = DeliveryState::connected;
  engines.checksLiveness = false;
  timers.advance(600'000);
  EXPECT_TRUE(engines.livenessChecks.empty());
  EXPECT_TRUE(engines.released.empty());
}

// A call that can't be made must not cost the others, nor stay in flight for ever.
TEST_F(RouterTest, MakesAReleaseAgainWhereItsCallThrows) {
  RecordingClient client;
  const auto id = accept(client);
  finishPrefill();
  engines.failsNextRelease = true;
  router.cancel(id);
  EXPECT_TRUE(engines.released.empty());
  timers.advance(200'000);
  EXPECT_EQ(engines.released.size(), 1u);
}

TEST_F(RouterTest, BeginsNoAttemptForAClientThatHasGone) {
  RecordingClient client;
  client.hasGone = true;
  accept(client);
  EXPECT_TRUE(engines.begun.empty());
  EXPECT_EQ(router.pendingRequests(), 0u);
  EXPECT_EQ(router.activeRequests(), 0u);
  EXPECT_EQ(router.counters().cancelled, 1u);
  EXPECT_FALSE(client.completion);

  RecordingClient laterClient;
  accept(laterClient);
  ASSERT_EQ(engines.begun.size(), 1u);
  laterClient.hasGone = true;
  finishPrefill();  // its close and the end of its prefill come in one loop turn
  EXPECT_EQ(engines.begun.size(), 1u);
  EXPECT_EQ(router.activeRequests(), 0u);
  EXPECT_EQ(engines.released.size(), 1u);  // and its state is released
}

TEST_F(RouterTest, FailsABadRequestWithoutARetry) {
  RecordingClient client;
  accept(client);
  router.onAttemptEnded(engines.begun[0].attempt,
                        {.outcome = Outcome::notSent, .badRequest = true, .text = "HTTP 400: too long"});
  ASSERT_TRUE(client.completion);
  EXPECT_EQ(client.completion->failureReason, FailureReason::badRequest);
  EXPECT_EQ(engines.begun.size(), 1u);
}

// The client's callback makes the router process events, which end the attempt and erase the request.
TEST_F(RouterTest, LetsAClientSendAnotherRequestFromItsCompletionWhenItsStreamStalls) {
  RecordingClient client;
  RecordingClient next;
  client.duringCompletion = [&] { accept(next); };
  accept(client, 0, 60'000'000);
  finishPrefill();
  sendToken();
  const AttemptId stalled = engines.begun.back().attempt;
  const Micros startedAt = timers.time;
  while (!client.completion && timers.time < startedAt + 11'000'000) timers.advance(1'000);
  ASSERT_TRUE(client.completion);
  EXPECT_EQ(client.completion->failureReason, FailureReason::streamStalled);
  EXPECT_EQ(engines.cancelled, std::vector<AttemptId>{stalled});
  EXPECT_FALSE(next.completion);
  EXPECT_EQ(router.activeRequests(), 1U);
}

TEST_F(RouterTest, LetsAClientCancelFromItsOwnTokenCallback) {
  RecordingClient client;
  const RequestId id = accept(client);
  client.duringTokens = [&] { router.cancel(id); };
  finishPrefill();
  sendToken();
  EXPECT_FALSE(client.completion);
  EXPECT_EQ(router.counters().cancelled, 1U);
  EXPECT_EQ(router.activeRequests(), 0U);
  EXPECT_EQ(engines.cancelled.size(), 1U);
}

TEST_F(RouterTest, LetsAClientCancelItselfAndAnotherRequestFromItsCompletion) {
  RecordingClient client;
  RecordingClient other;
  const RequestId id = accept(client);
  const RequestId otherId = accept(other);
  client.duringCompletion = [&] {
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

TEST_F(RouterTest, StopsFromWithinACompletionWhileEventsAreProcessed) {
  RecordingClient client;
  RecordingClient other;
  accept(other);
  client.duringCompletion = [&] { router.stop(); };
  accept(client, 1);
  router.onAttemptEnded(engines.begun.back().attempt,
                        {.outcome = Outcome::notSent, .badRequest = true, .text = "HTTP 400"});
  ASSERT_TRUE(client.completion);
  EXPECT_EQ(client.completion->failureReason, FailureReason::badRequest);
  ASSERT_TRUE(other.completion);
  EXPECT_EQ(other.completion->failureReason, FailureReason::shuttingDown);
  EXPECT_EQ(router.activeRequests(), 0U);
  RecordingClient late;
  accept(late);
  ASSERT_TRUE(late.completion);
  EXPECT_EQ(late.completion->failureReason, FailureReason::shuttingDown);
}

TEST_F(RouterTest, ExecutesLaterActionsWhenOneThrows) {
  RecordingClient client;
  engines.failsNextAttempt = true;
  accept(client);
  EXPECT_EQ(router.counters().failedActions, 1U);
  EXPECT_TRUE(engines.begun.empty());
  RecordingClient other;
  accept(other);
  EXPECT_EQ(engines.begun.size(), 1U);  // the queue is not blocked
  router.stop();
  EXPECT_TRUE(client.completion);
  EXPECT_TRUE(other.completion);
  EXPECT_EQ(router.activeRequests(), 0U);
}

TEST(PolicyLog, ReplacesEndpointIdsByNames) {
  const auto nameOf = [](EndpointId id) { return "endpoint-" + std::to_string(id.value % 10); };
  EXPECT_EQ(withEndpointNames("server 12345678901 ejected for 1000 ms", nameOf),
            "server endpoint-1 ejected for 1000 ms");
  EXPECT_EQ(withEndpointNames("123456789 1234567890x", nameOf), "123456789 1234567890x");
  EXPECT_EQ(withEndpointNames("", nameOf), "");
}

}  // namespace
}  // namespace garnethook::routing
