// The five rules, and events that come late or for nothing.
#include <gtest/gtest.h>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

std::vector<EndpointEntry> fleet() {
  return {endpoint(1, kReader), endpoint(2, kReader), endpoint(11, kWriter), endpoint(12, kWriter)};
}
int finals(const Driver& d, std::uint64_t id) { return d.count<Reject>(id) + d.count<Fail>(id); }

void readOne(Driver& d, std::uint64_t id, ClassIndex kind) {
  d.give(d.request(id, kind));
  d.pass(50 * kMs);
  d.end(id, Outcome::prefillDone);
}

class WithoutServers : public testing::TestWithParam<std::vector<EndpointEntry>> {};
TEST_P(WithoutServers, EachRequestGetsOneTimelyAnswer) {
  Driver d(settings());
  d.list(GetParam());
  for (const auto kind : {kSafe, kKeyed, kUnsafe}) d.give(d.request(10 + kind, kind));
  d.pass(100 * kMs);
  for (std::uint64_t id = 10; id <= 12; ++id)
    if (d.count<Send>(id) == 1 && d.sentTo(id) == 1) d.end(id, Outcome::prefillDone);
  d.pass(5 * kSec);
  for (std::uint64_t id = 10; id <= 12; ++id) {
    EXPECT_EQ(finals(d, id), 1);
    EXPECT_GE(d.count<Release>(id), 1);
  }
}
EndpointEntry draining(EndpointEntry entry) {
  entry.state = EndpointState::draining;
  return entry;
}
INSTANTIATE_TEST_SUITE_P(Lists, WithoutServers,
                         testing::Values(std::vector<EndpointEntry>{}, std::vector{endpoint(1, kReader)},
                                         std::vector{endpoint(11, kWriter)},
                                         std::vector{draining(endpoint(1, kReader)),
                                                     draining(endpoint(11, kWriter))}));

TEST(Answers, AtTheDeadlineWithAnAttemptOut) {
  for (const auto kind : {kSafe, kKeyed, kUnsafe}) {
    auto s = settings();
    s.canCancel = false;
    Driver d(s);
    d.list(fleet());
    readOne(d, 1, kind);
    ASSERT_EQ(d.count<Send>(1), 2);
    d.pass(5 * kSec);
    EXPECT_EQ(finals(d, 1), 1);
    EXPECT_EQ(d.count<Fail>(1), kind == kSafe ? 0 : 1);
    const int released = d.count<Release>(1);
    d.end(1, Outcome::timedOut);  // may leave a state behind
    EXPECT_GT(d.count<Release>(1), released);
    EXPECT_EQ(d.count<Send>(1), 2);
  }
}

TEST(Answers, NoneIsOwedOnceTheStreamHasStarted) {
  Driver d(settings());
  d.list(fleet());
  readOne(d, 1, kSafe);
  d.give(StreamStarted{{1}, 1});
  d.pass(20 * kSec);
  EXPECT_EQ(finals(d, 1), 0);
  d.end(1, Outcome::completed);
  EXPECT_EQ(finals(d, 1), 0);
}

TEST(Answers, AnUnknownClassFailsAtOnce) {
  Driver d(settings());
  d.list(fleet());
  auto request = d.request(1);
  request.requestClass.reset();
  d.give(request);
  EXPECT_EQ(d.count<Fail>(1), 1);
  EXPECT_EQ(d.count<Send>(1), 0);
}

class Unproven : public testing::TestWithParam<Outcome> {};
TEST_P(Unproven, UnsafeWorkIsNeitherRepeatedNorRefused) {
  Driver d(settings());
  d.list(fleet());
  readOne(d, 1, kUnsafe);
  ASSERT_GE(d.sentTo(1), 11u);
  d.end(1, GetParam());
  EXPECT_EQ(d.count<Send>(1), 2);
  EXPECT_EQ(d.count<Fail>(1), 1);
  EXPECT_EQ(d.count<Reject>(1), 0);
}
INSTANTIATE_TEST_SUITE_P(Outcomes, Unproven,
                         testing::Values(Outcome::error, Outcome::timedOut, Outcome::connectionReset,
                                         Outcome::cancelled));

class Proven : public testing::TestWithParam<Outcome> {};
TEST_P(Proven, UnsafeWorkMayGoToAnotherWriter) {
  Driver d(settings());
  d.list(fleet());
  readOne(d, 1, kUnsafe);
  const auto first = d.sentTo(1);
  d.end(1, GetParam());
  EXPECT_EQ(d.count<Send>(1), 3);
  EXPECT_NE(d.sentTo(1), first);
}
INSTANTIATE_TEST_SUITE_P(Outcomes, Proven, testing::Values(Outcome::rejected, Outcome::connectFailed));

class ReadEnds : public testing::TestWithParam<Outcome> {};
TEST_P(ReadEnds, ReadsAreRepeatableInEveryClass) {
  for (const auto kind : {kSafe, kKeyed, kUnsafe}) {
    Driver d(settings());
    d.list(fleet());
    d.give(d.request(1, kind));
    const auto first = d.sentTo(1);
    d.end(1, GetParam());
    EXPECT_EQ(d.count<Send>(1), 2);
    EXPECT_NE(d.sentTo(1), first);
  }
}
INSTANTIATE_TEST_SUITE_P(Outcomes, ReadEnds,
                         testing::Values(Outcome::error, Outcome::timedOut, Outcome::connectionReset,
                                         Outcome::rejected, Outcome::connectFailed));

TEST(Keyed, RepeatsStayInTheGroupAndItsTime) {
  Driver d(settings());
  d.list({endpoint(1, kReader, 0, 0), endpoint(11, kWriter, 0, 0), endpoint(12, kWriter, 0, 1)});
  readOne(d, 1, kKeyed);
  const auto first = d.sentTo(1);
  d.end(1, Outcome::connectionReset);
  d.pass(5 * kSec);  // to its deadline, as a repeat is out at the first writer
  for (const auto& [at, action] : d.log)
    if (const auto* send = std::get_if<Send>(&action); send && send->endpoint.value >= 11) {
      EXPECT_EQ(send->endpoint.value, first);  // the other writer is in another zone
    }
  EXPECT_EQ(d.count<Reject>(1), 0);
  EXPECT_EQ(finals(d, 1), 1);
}

// A read is a further send too: other engines would not drop what comes of it.
TEST(Keyed, ReadsAnewStayInTheGroup) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Driver d(settings(), seed);
    d.list({endpoint(1, kReader, 0, 0), endpoint(2, kReader, 1, 1), endpoint(11, kWriter, 0, 0),
            endpoint(12, kWriter, 1, 1)});
    readOne(d, 1, kKeyed);
    const bool firstZone = d.sentTo(1) == 11;
    ASSERT_TRUE(firstZone || d.sentTo(1) == 12);
    const auto before = d.log.size();
    d.end(1, Outcome::connectionReset);
    d.end(1, Outcome::rejected, 0, true);  // the state is gone: the prompt has to be read anew
    d.pass(5 * kSec);
    for (auto at = before; at < d.log.size(); ++at)
      if (const auto* send = std::get_if<Send>(&d.log[at].second)) {
        EXPECT_EQ(send->endpoint.value == 1 || send->endpoint.value == 11, firstZone);
      }
    EXPECT_GE(d.count<Send>(1), 4);  // it was read anew
    EXPECT_EQ(d.count<Reject>(1), 0);
    EXPECT_EQ(finals(d, 1), 1);
  }
}

// Engines have forgotten the first try by then, and would run the repeat as work of its own.
TEST(Keyed, NoRepeatBeginsBehindTheWindow) {
  for (const bool late : {false, true}) {
    Driver d(settings());
    d.list({endpoint(1, kReader, 0, 0), endpoint(11, kWriter, 0, 0), endpoint(12, kWriter, 0, 0)});
    readOne(d, 1, kKeyed);
    const int sends = d.count<Send>(1);
    d.pass(settings().classes[kKeyed].deduplicationWindow + (late ? 10 * kMs : -10 * kMs));
    d.end(1, Outcome::connectionReset);
    EXPECT_EQ(d.count<Send>(1), late ? sends : sends + 1);
    d.pass(5 * kSec);
    EXPECT_EQ(d.count<Reject>(1), 0);
    EXPECT_EQ(finals(d, 1), 1);
  }
}

TEST(Attempts, NeverMoreThanAllowed) {
  Driver d(settings());
  d.list(fleet());
  d.give(d.request(1));
  for (int i = 0; i < 10 && finals(d, 1) == 0; ++i) d.end(1, Outcome::error);
  EXPECT_EQ(d.count<Send>(1), settings().maxAttempts);
  EXPECT_EQ(finals(d, 1), 1);
}

TEST(Drains, AreObeyedAtOnce) {
  Driver d(settings());
  d.list(fleet());
  d.list({draining(endpoint(1, kReader)), draining(endpoint(11, kWriter))}, EndpointUpdate::Kind::delta);
  for (std::uint64_t id = 1; id <= 20; ++id) {
    readOne(d, id, kSafe);
    EXPECT_EQ(d.sentTo(id), 12u);
    d.end(id, Outcome::completed);
  }
  d.list({endpoint(2, kReader), endpoint(12, kWriter)});  // a complete list: the others are gone
  readOne(d, 30, kSafe);
  EXPECT_EQ(d.sentTo(30), 12u);
}

TEST(Cold, AFreshServerGetsItsBudgetAndNoBurst) {
  auto s = settings();
  Driver d(s);
  d.list(fleet());
  for (std::uint64_t id = 1; id <= 60; ++id) {
    readOne(d, id, kSafe);
    d.end(id, Outcome::completed);
    d.pass(50 * kMs);
  }
  auto fresh = endpoint(3, kReader);
  fresh.startedAt = d.now;
  d.list({fresh}, EndpointUpdate::Kind::delta);
  int cold = 0;
  for (std::uint64_t id = 100; id <= 119; ++id) {  // a window of 2 s
    readOne(d, id, kSafe);
    for (const auto& [at, action] : d.log)
      if (const auto* send = std::get_if<Send>(&action);
          send && send->id.value == id && send->endpoint.value == 3)
        ++cold;
    d.end(id, Outcome::completed);
    d.pass(50 * kMs);
  }
  // Two warm readers finished 10 a second: 10 in a window each, of which 0.3 x 2.5 may come at once.
  EXPECT_LE(cold, 7);
}

// Each of a hundred routers finds an empty fresh server; together they must stay within its budget.
TEST(Cold, AHundredRoutersTogetherKeepTheBudget) {
  auto s = settings();
  s.routers = 100;
  int sends = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Driver d(s, seed);
    d.list(fleet());
    for (std::uint64_t id = 1; id <= 6; ++id) {
      readOne(d, id, kSafe);
      d.end(id, Outcome::completed);
      d.pass(kSec);
    }
    auto fresh = endpoint(3, kReader);
    fresh.startedAt = d.now;
    d.list({fresh}, EndpointUpdate::Kind::delta);
    for (std::uint64_t id = 100; id <= 101; ++id) {  // a window of 2 s
      readOne(d, id, kSafe);
      for (const auto& [at, action] : d.log)
        if (const auto* send = std::get_if<Send>(&action); send && send->id.value == id)
          sends += send->endpoint.value == 3 ? 1 : 0;
      d.end(id, Outcome::completed);
      d.pass(kSec);
    }
  }
  // Warm readers finish about 100 in a window; 0.3 x 2.5 of that may come.
  EXPECT_LE(sends, 75);
}

TEST(Pinned, EveryEndReleases) {
  Driver d(settings());
  d.list(fleet());
  readOne(d, 1, kUnsafe);
  d.end(1, Outcome::connectionReset);
  EXPECT_GE(d.count<Release>(1), 1);
  d.give(d.request(2));
  d.give(RequestCancelled{{2}});
  const int before = d.count<Release>(2);
  d.end(2, Outcome::prefillDone);  // the state came after the client had left
  EXPECT_GT(d.count<Release>(2), before);
  EXPECT_EQ(finals(d, 2), 0);
}

TEST(Stray, EventsForNothingDoNothing) {
  Driver d(settings());
  d.list(fleet());
  EXPECT_TRUE(d.give(StreamStarted{{99}, 0}).empty());
  EXPECT_TRUE(d.give(AttemptEnded{.id = {99}, .attempt = 0, .endpoint = {1}}).empty());
  EXPECT_TRUE(d.give(RequestCancelled{{99}}).empty());
  EXPECT_TRUE(d.give(TimerFired{{99 * 4}}).empty());
  EXPECT_TRUE(d.give(ProbeEnded{.endpoint = {99}, .ok = true}).empty());
  d.run(d.request(1));
  EXPECT_TRUE(d.give(TimerFired{{1 * 4}}).empty());
  EXPECT_TRUE(d.give(TimerFired{{1 * 4 + 1}}).empty());
}

TEST(Settings, WhatCannotWorkIsRejectedByName) {
  const auto errorOf = [](auto change) -> std::string {
    auto s = settings();
    change(s);
    try {
      const RoutingPolicy brain(s, 1);
    } catch (const std::invalid_argument& error) { return error.what(); }
    return "";
  };
  EXPECT_EQ(errorOf([](Settings&) {}), "");
  EXPECT_NE(errorOf([](Settings& s) { s.kinds.clear(); }).find("kinds"), std::string::npos);
  EXPECT_NE(errorOf([](Settings& s) { s.routers = 0; }).find("routers"), std::string::npos);
  EXPECT_NE(errorOf([](Settings& s) { s.ownZone = 7; }).find("ownZone"), std::string::npos);
  EXPECT_NE(errorOf([](Settings& s) { s.maxAttempts = 0; }).find("maxAttempts"), std::string::npos);
  EXPECT_NE(errorOf([](Settings& s) { s.warmUpMinCapacity = 2; }).find("warmUpMinCapacity (coldFrom)"),
            std::string::npos);
  EXPECT_NE(errorOf([](Settings& s) { s.kvReleaseTimeout = -1; }).find("kvReleaseTimeout (releaseWithin)"),
            std::string::npos);
  EXPECT_NE(errorOf([](Settings& s) { s.maxRetryAfter = -1; }).find("maxRetryAfter"), std::string::npos);
}

TEST(Settings, OddButLegalOnesWork) {
  auto s = settings();
  s.zones = 1;
  s.routers = 1;
  s.overloadMultiple = 0;
  s.kvReleaseTimeout = 0;
  Driver d(s);
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  auto request = d.request(1);
  request.promptTokens = 0;
  request.sharedPrefix = {4};
  request.sharedPrefixTokens = 500;  // longer than the prompt
  d.run(request);
  EXPECT_EQ(d.sentTo(1), 11u);
}

}  // namespace
}  // namespace garnethook::test
