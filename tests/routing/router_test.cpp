// The life of a request with time, timers and engines played by hand.
#include "routing/router.h"

#include <gtest/gtest.h>

namespace garnethook::routing {
namespace {

struct HandTimers final : timing::Timers {
  Micros now() const override { return time; }
  timing::TimerKey after(Micros delay, timing::TimerWheel::Task task) override {
    return wheel.add(time + delay, std::move(task));
  }
  bool cancel(timing::TimerKey key) override { return wheel.cancel(key); }
  void pass(Micros span) {
    const Micros end = time + span;
    while (time < end) {
      time = std::min(end, time + 1000);
      wheel.advance(time);
    }
  }
  Micros time = 1'000'000'000;
  timing::TimerWheel wheel{1000, 1'000'000'000};
};

struct HandEngines final : EngineClient {
  void begin(const AttemptSpec& o) override {
    begun.push_back(
        {o.attempt, o.endpoint, o.phase, std::string(o.kvTransferParams), o.requiresNewConnection, o.sendBy});
  }
  void cancel(AttemptId a) override { cancelled.push_back(a); }
  DeliveryState deliveryState(AttemptId) const override { return reached; }
  void release(EndpointId s, RequestId r, const std::string&) override { released.emplace_back(s, r); }
  void probe(EndpointId) override {}
  bool canCheckLiveness() const override { return asksForSigns; }
  void checkLiveness(AttemptId a, EndpointId) override { asked.push_back(a); }
  struct Begun {
    AttemptId attempt;
    EndpointId endpoint;
    Phase phase;
    std::string kvTransferParams;
    bool fresh = false;
    Micros sendBy = 0;
  };
  DeliveryState reached = DeliveryState::confirmed;
  bool asksForSigns = true;
  std::vector<AttemptId> asked;  // for a sign of life of their engines
  std::vector<Begun> begun;
  std::vector<AttemptId> cancelled;
  std::vector<std::pair<EndpointId, RequestId>> released;
};

struct Ear final : Client {
  void onTokens(const Tokens& t) override {
    EXPECT_FALSE(ending);
    text += t.text;
    if (whenToken) whenToken();
  }
  void onCompletion(const Completion& e) override {
    EXPECT_FALSE(ending) << "a second final answer";
    ending = e;
  }
  bool isCancelled() const override { return gone; }
  std::string text;
  bool gone = false;
  std::optional<Completion> ending;
  std::function<void()> whenToken;
};

class RouterTest : public testing::Test {
 protected:
  static Options options() {
    Options o;
    o.settings.classes = {
        {.ttftObjective = 1'000'000, .deadline = 5'000'000},
        {.ttftObjective = 1'000'000, .deadline = 5'000'000, .idempotency = Idempotency::nonIdempotent},
        {.ttftObjective = 1'000'000,
         .deadline = 5'000'000,
         .idempotency = Idempotency::idempotentWithKey,
         .deduplicationScope = DeduplicationScope::fleet,
         .deduplicationWindow = 400'000}};
    o.settings.kinds = {{Role::prefill, 1e5}, {Role::decode, 1e5}};
    o.settings.maxAttempts = 4;
    o.settings.canCancel = true;
    o.settings.kvReleaseTimeout = 500'000;
    o.instance = "t";
    o.openRequests = 3;
    return o;
  }
  RouterTest() : router(options(), timers, engines, observer) {
    router.onList({EndpointUpdate::Kind::snapshot,
                   {{.id = {1}, .zone = 0, .kind = 0},
                    {.id = {2}, .zone = 0, .kind = 1},
                    {.id = {3}, .zone = 0, .kind = 1}}});
  }
  RequestId ask(Client& c, std::size_t kind = 0, Micros remaining = 5'000'000) {
    Request a;
    a.requestClass = kind;
    a.remaining = remaining;
    a.prompt = std::make_shared<const std::string>("p");
    a.promptTokens = 100;
    a.maxOutput = 10;
    return router.accept(a, c);
  }
  // The read of the latest attempt ends well; the writer is sent to.
  void read() {
    AttemptResult r;
    r.outcome = Outcome::prefillDone;
    r.kvTransferParams = "{}";
    router.onAttemptEnded(engines.begun.back().attempt, r);
  }
  void token(const std::string& text = "x") { router.onTokens(engines.begun.back().attempt, text, 1, {}); }

  HandTimers timers;
  HandEngines engines;
  Observer observer;
  Router router;
};

TEST_F(RouterTest, ReadsWritesAndServesOnce) {
  Ear ear;
  ask(ear);
  ASSERT_EQ(engines.begun.size(), 1u);
  EXPECT_EQ(engines.begun[0].phase, Phase::prefill);
  read();
  ASSERT_EQ(engines.begun.size(), 2u);
  EXPECT_EQ(engines.begun[1].phase, Phase::decode);
  token("a");
  token("b");
  router.onAttemptEnded(engines.begun[1].attempt, {.outcome = Outcome::completed});
  ASSERT_TRUE(ear.ending);
  EXPECT_EQ(ear.ending->disposition, Disposition::completed);
  EXPECT_EQ(ear.text, "ab");
  EXPECT_EQ(router.lives(), 0u);
  EXPECT_TRUE(engines.released.empty());  // it was fetched
}

TEST_F(RouterTest, AFirstTokenAfterTheDeadlineEndsTheStreamAndTouchesNothingMore) {
  Ear ear;
  ask(ear, 0, 1'000'000);
  read();
  timers.time += 990'000;  // the loop is late: the deadline's timer has not fired yet
  token();
  ASSERT_TRUE(ear.ending);
  EXPECT_EQ(ear.ending->failureReason, FailureReason::deadline);
  EXPECT_EQ(engines.cancelled.size(), 1u);
  timers.pass(1'000'000);
  EXPECT_EQ(router.lives(), 0u);
}

TEST_F(RouterTest, LatePiecesOfACancelledAttemptAreDroppedAndCounted) {
  Ear ear;
  const auto id = ask(ear);
  read();
  const auto attempt = engines.begun.back().attempt;
  router.cancel(id);
  EXPECT_EQ(engines.released.size(), 1u);
  router.onTokens(attempt, "late", 1, {});
  router.onAttemptEnded(attempt, {.outcome = Outcome::completed});
  EXPECT_EQ(ear.text, "");
  EXPECT_FALSE(ear.ending);
  EXPECT_EQ(router.counters().dropped, 2u);
  EXPECT_EQ(router.lives(), 0u);
}

TEST_F(RouterTest, AClientMayGiveUpFromWithinItsOwnToken) {
  Ear ear;
  const auto id = ask(ear);
  ear.whenToken = [&] { router.abort(id, FailureReason::slowClient, "slow"); };
  read();
  token();
  ASSERT_TRUE(ear.ending);
  EXPECT_EQ(ear.ending->failureReason, FailureReason::slowClient);
  EXPECT_EQ(router.lives(), 0u);
  EXPECT_EQ(engines.cancelled.size(), 1u);
}

TEST_F(RouterTest, BeyondItsBoundItRefusesAtOnceAndForgets) {
  std::array<Ear, 4> ears;
  for (auto& e : ears) ask(e);
  ASSERT_TRUE(ears[3].ending);
  EXPECT_EQ(ears[3].ending->failureReason, FailureReason::tooManyRequests);
  EXPECT_GT(ears[3].ending->retryAfter, 0);
  EXPECT_EQ(router.lives(), 3u);
}

TEST_F(RouterTest, StopAnswersAllAndRefusesOnlyWhatDidNotRun) {
  Ear safe, order, reading;
  ask(safe);
  read();
  ask(order, 1);
  read();
  ask(reading, 1);
  router.stop();
  EXPECT_EQ(safe.ending->disposition, Disposition::rejected);
  EXPECT_EQ(order.ending->disposition, Disposition::failed);
  EXPECT_EQ(reading.ending->disposition, Disposition::rejected);
  EXPECT_EQ(router.lives(), 0u);
  EXPECT_EQ(router.held().held(), 0u);
}

TEST_F(RouterTest, AFailedReleaseIsTriedAgain) {
  Ear ear;
  const auto id = ask(ear);
  read();
  router.cancel(id);
  ASSERT_EQ(engines.released.size(), 1u);
  router.onReleaseEnded(engines.released[0].first, id, false);
  timers.pass(150'000);
  ASSERT_EQ(engines.released.size(), 2u);
  router.onReleaseEnded(engines.released[1].first, id, true);
  EXPECT_EQ(router.held().releasing(), 0u);
}

// Three connections that failed one after another kept a state for longer than rule 5 allows, as each failure
// was taken for the begin of its time.
TEST_F(RouterTest, AStateIsLetGoWhereConnectionsToWritersFailOneAfterAnother) {
  Ear ear;
  ask(ear);
  timers.pass(10'000);
  const Micros readAt = timers.time;
  read();
  engines.reached = DeliveryState::undelivered;
  timers.pass(300'000);
  ASSERT_EQ(engines.begun.back().phase, Phase::decode);
  router.onAttemptEnded(engines.begun.back().attempt, {.outcome = Outcome::connectFailed});
  ASSERT_EQ(engines.begun.back().phase, Phase::decode);
  const auto second = engines.begun.back().attempt;
  while (engines.released.empty() && timers.time < readAt + 2'000'000) timers.pass(1'000);
  EXPECT_LE(timers.time - readAt, 510'000);
  ASSERT_EQ(engines.cancelled.size(), 1u);  // the second write was ended before the state was let go
  EXPECT_EQ(engines.cancelled[0], second);
  EXPECT_FALSE(ear.ending);
  ASSERT_EQ(engines.begun.size(), 4u);
  EXPECT_EQ(engines.begun.back().phase, Phase::prefill);  // and the prompt is read anew
}

// No reader is left as a state's time is over: the request begins anew as a whole attempt, and what is held
// goes on being let go of beside it.
TEST_F(RouterTest, AReleaseGoesOnThoughAWholeAttemptBeginsInPlaceOfTheWrite) {
  Options mixed = options();
  mixed.settings.kinds.push_back({Role::combined, 1e5});
  Router own(mixed, timers, engines, observer);
  own.onList({EndpointUpdate::Kind::snapshot, {{.id = {1}, .kind = 0}, {.id = {2}, .kind = 1}}});
  Ear ear;
  Request a;
  a.remaining = 5'000'000;
  a.prompt = std::make_shared<const std::string>("p");
  a.promptTokens = 100;
  own.accept(a, ear);
  timers.pass(10'000);
  own.onAttemptEnded(engines.begun.back().attempt,
                     {.outcome = Outcome::prefillDone, .kvTransferParams = "{}"});
  ASSERT_EQ(engines.begun.back().phase, Phase::decode);
  engines.reached = DeliveryState::undelivered;
  timers.pass(480'000);
  own.onList({EndpointUpdate::Kind::delta,
              {{.id = {1}, .kind = 0, .state = EndpointState::removed}, {.id = {9}, .kind = 2}}});
  timers.pass(30'000);
  ASSERT_FALSE(engines.released.empty());
  ASSERT_EQ(engines.begun.back().phase, Phase::combined);
  const auto [reader, request] = engines.released.front();
  const std::size_t said = engines.released.size();
  own.onReleaseEnded(reader, request, false);
  timers.pass(200'000);
  EXPECT_GT(engines.released.size(), said);  // again, while the whole attempt is out
  EXPECT_FALSE(ear.ending);
  own.onReleaseEnded(reader, request, true);
  EXPECT_EQ(own.held().held() + own.held().releasing(), 0u);
}

// Nothing of such a write left this router, so the state's time runs on.
TEST_F(RouterTest, AWriteThatFoundNoConnectionHereDoesNotHoldTheStateLonger) {
  constexpr Micros kEach = 240'000;
  Ear ear;
  ask(ear);
  timers.pass(10'000);
  read();
  const Micros readAt = timers.time;
  engines.reached = DeliveryState::undelivered;
  while (engines.released.empty() && timers.time < readAt + 2'000'000) {
    const auto latest = engines.begun.back();
    for (Micros t = 0; t < kEach && engines.released.empty(); t += 1'000) timers.pass(1'000);
    if (latest.phase == Phase::decode)
      router.onAttemptEnded(latest.attempt, {.outcome = Outcome::rejected, .leftRouter = false});
  }
  ASSERT_FALSE(engines.released.empty());
  EXPECT_LE(timers.time - readAt, 510'000);
}

// Engines remember keyed work for its window; a repeat that a late connection brings after that would run.
TEST_F(RouterTest, ARepeatOfKeyedWorkHasToBeWrittenWithinItsWindow) {
  Ear ear;
  ask(ear, 2);
  EXPECT_EQ(engines.begun.back().sendBy, 0);
  timers.pass(10'000);
  read();
  ASSERT_EQ(engines.begun.back().phase, Phase::decode);
  EXPECT_EQ(engines.begun.back().sendBy, 0);  // the first one
  const Micros sentAt = timers.time;
  timers.pass(100'000);
  router.onAttemptEnded(engines.begun.back().attempt, {.outcome = Outcome::connectionReset});
  ASSERT_EQ(engines.begun.size(), 3u);
  EXPECT_EQ(engines.begun.back().phase, Phase::decode);
  EXPECT_EQ(engines.begun.back().sendBy, sentAt + 400'000);
}

TEST_F(RouterTest, AWriteThatReachedItsEngineIsWaitedForAndAKeptConnectionsSilenceRunsOn) {
  Ear ear;
  ask(ear);
  timers.pass(10'000);
  read();
  timers.pass(600'000);  // it waits at its writer
  EXPECT_TRUE(engines.cancelled.empty());
  router.onAttemptEnded(engines.begun.back().attempt, {.outcome = Outcome::error});
  EXPECT_EQ(engines.begun.back().phase, Phase::decode);  // the state is good for another one
  EXPECT_TRUE(engines.released.empty());
  timers.pass(600'000);
  router.onAttemptEnded(engines.begun.back().attempt,
                        {.outcome = Outcome::connectionReset, .reusedConnection = true});
  EXPECT_EQ(engines.released.size(), 1u);  // it may never have come there, and the state's time is over
  EXPECT_EQ(engines.begun.back().phase, Phase::prefill);
}

// What an earlier read may have left has its time too, when the next read's connection does not come up, or
// is one kept from before that died unseen (seen in a cut between zones).
class LostReadTest : public RouterTest, public testing::WithParamInterface<DeliveryState> {};

TEST_P(LostReadTest, WhatItMayHaveLeftIsLetGoWhileTheNextMayNotArrive) {
  router.onList({EndpointUpdate::Kind::delta, {{.id = {4}, .zone = 0, .kind = 0}}});
  Ear ear;
  const auto id = ask(ear);
  timers.pass(10'000);
  const Micros lostAt = timers.time;
  const EndpointId first = engines.begun.back().endpoint;
  router.onAttemptEnded(engines.begun.back().attempt, {.outcome = Outcome::connectionReset});
  ASSERT_EQ(engines.begun.size(), 2u);
  EXPECT_EQ(engines.begun.back().phase, Phase::prefill);
  ASSERT_NE(engines.begun.back().endpoint, first);
  EXPECT_FALSE(engines.begun.front().fresh);
  EXPECT_TRUE(engines.begun.back().fresh);  // so that its arrival shows, and a release need not hit it
  engines.reached = GetParam();
  while (engines.released.empty() && timers.time < lostAt + 550'000) timers.pass(1'000);
  if (GetParam() == DeliveryState::confirmed) {
    EXPECT_TRUE(engines.released.empty());
  } else {
    EXPECT_LE(timers.time - lostAt, 510'000);
    EXPECT_EQ(std::count(engines.released.begin(), engines.released.end(), std::pair(first, id)), 1);
  }
  // One without a connection is over; one that may have arrived is waited for.
  EXPECT_EQ(engines.cancelled.size(), GetParam() == DeliveryState::undelivered ? 1u : 0u);
  if (GetParam() == DeliveryState::undelivered) return;
  ASSERT_EQ(engines.begun.size(), 2u);
  read();
  EXPECT_EQ(engines.begun.back().phase, Phase::decode);
}

INSTANTIATE_TEST_SUITE_P(Reaches, LostReadTest,
                         testing::Values(DeliveryState::undelivered, DeliveryState::written,
                                         DeliveryState::confirmed));

class DoubtTest : public RouterTest {
 protected:
  DoubtTest() : doubtful(spared(), timers, engines, observer) {
    doubtful.onList({EndpointUpdate::Kind::snapshot,
                     {{.id = {1}, .zone = 0, .kind = 0}, {.id = {2}, .zone = 0, .kind = 1}}});
    Request a;
    a.remaining = 5'000'000;
    a.prompt = std::make_shared<const std::string>("p");
    a.promptTokens = 100;
    a.maxOutput = 10;
    doubtful.accept(a, ear);
    timers.pass(10'000);
    readAt = timers.time;
    doubtful.onAttemptEnded(engines.begun.back().attempt, {.outcome = Outcome::prefillDone});
  }
  static Options spared() {
    auto o = options();
    o.held.sparesAwaited = true;
    return o;
  }
  Ear ear;
  Router doubtful;
  Micros readAt = 0;
};

TEST_F(DoubtTest, AStateIsLetGoInTimeWhileAWriteMayBeOnADeadConnection) {
  ASSERT_EQ(engines.begun.back().phase, Phase::decode);
  engines.reached = DeliveryState::written;
  timers.pass(490'000);
  EXPECT_TRUE(engines.released.empty());
  timers.pass(20'000);
  ASSERT_EQ(engines.released.size(), 1u);
  EXPECT_TRUE(engines.cancelled.empty());  // an engine may have it in hand: it is waited for
  doubtful.onTokens(engines.begun.back().attempt, "x", 1, {});
  doubtful.onAttemptEnded(engines.begun.back().attempt, {.outcome = Outcome::completed});
  ASSERT_TRUE(ear.ending);
  EXPECT_EQ(ear.ending->disposition, Disposition::completed);
  EXPECT_EQ(engines.released.size(), 1u);
}

TEST_F(DoubtTest, AWriteThatCameThereIsNotDoubted) {
  timers.pass(600'000);
  EXPECT_TRUE(engines.released.empty());
  EXPECT_FALSE(ear.ending);
}

// A connection came up for the write and fell silent before its last byte was there (seen at a cut: a state
// was held for 2.5 s).
TEST_F(DoubtTest, AStateIsLetGoWhereTheEngineOfAWriteGivesNoSignOfLife) {
  engines.reached = DeliveryState::connected;
  timers.pass(490'000);
  EXPECT_TRUE(engines.asked.empty());
  timers.pass(20'000);
  ASSERT_EQ(engines.asked.size(), 1u);
  EXPECT_TRUE(engines.released.empty());
  doubtful.onLivenessChecked(engines.asked.front(), false);
  EXPECT_EQ(engines.released.size(), 1u);
  EXPECT_TRUE(engines.cancelled.empty());
}

TEST_F(DoubtTest, AStateIsKeptWhereTheEngineOfAWriteIsAlive) {
  engines.reached = DeliveryState::connected;
  timers.pass(510'000);
  ASSERT_EQ(engines.asked.size(), 1u);
  doubtful.onLivenessChecked(engines.asked.front(), true);
  EXPECT_TRUE(engines.released.empty());
}

// The time of what is held runs on through a write that nothing shows to have arrived: it is over when the
// write is given up.
TEST_F(DoubtTest, AnAttemptWithoutASignDoesNotStopTheTimeOfWhatIsHeld) {
  engines.reached = DeliveryState::connected;
  while (engines.cancelled.empty() && timers.time < readAt + 4'000'000) timers.pass(1'000);
  ASSERT_EQ(engines.cancelled.size(), 1u);
  ASSERT_GT(timers.time - readAt, 500'000);
  EXPECT_EQ(engines.released.size(), 1u);
  EXPECT_EQ(engines.begun.back().phase, Phase::prefill);
}

TEST_F(DoubtTest, WhereEnginesCantBeAskedAConnectionThatCameUpIsTrusted) {
  engines.reached = DeliveryState::connected;
  engines.asksForSigns = false;
  timers.pass(600'000);
  EXPECT_TRUE(engines.asked.empty());
  EXPECT_TRUE(engines.released.empty());
}

TEST_F(RouterTest, NothingBeginsForAClientThatHasGone) {
  Ear ear;
  ear.gone = true;
  ask(ear);
  EXPECT_TRUE(engines.begun.empty());
  EXPECT_EQ(router.open(), 0u);
  EXPECT_EQ(router.lives(), 0u);
  EXPECT_EQ(router.counters().left, 1u);
  EXPECT_FALSE(ear.ending);

  Ear later;
  ask(later);
  ASSERT_EQ(engines.begun.size(), 1u);
  later.gone = true;
  read();  // its close and the end of its read come in one turn
  EXPECT_EQ(engines.begun.size(), 1u);
  EXPECT_EQ(router.lives(), 0u);
  EXPECT_EQ(engines.released.size(), 1u);  // and what was read is let go
}

TEST_F(RouterTest, ABadRequestIsNobodysFaultButItsOwn) {
  Ear ear;
  ask(ear);
  router.onAttemptEnded(engines.begun[0].attempt,
                        {.outcome = Outcome::notSent, .badRequest = true, .text = "HTTP 400: too long"});
  ASSERT_TRUE(ear.ending);
  EXPECT_EQ(ear.ending->failureReason, FailureReason::badRequest);
  EXPECT_EQ(engines.begun.size(), 1u);
}

}  // namespace
}  // namespace garnethook::routing
