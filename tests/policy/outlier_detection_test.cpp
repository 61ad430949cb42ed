// Sick servers, cuts, restarts: how they are told and how they come back.
#include <gtest/gtest.h>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

std::vector<EndpointEntry> fleet() {
  return {endpoint(1, kReader), endpoint(2, kReader), endpoint(3, kReader), endpoint(11, kWriter),
          endpoint(12, kWriter)};
}

TEST(Silence, EndsTheAttemptAndTheServerIsLeftAlone) {
  Driver d(settings());
  d.list(fleet());
  d.give(d.request(1));
  const auto silent = d.sentTo(1);
  d.pass(2 * kSec);
  EXPECT_EQ(d.count<Cancel>(1), 1);
  d.end(1, Outcome::cancelled);
  EXPECT_NE(d.sentTo(1), silent);
}

TEST(Silence, ABusyServerIsNotTakenForASilentOne) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  d.give(d.request(1));
  d.pass(100 * kMs);
  d.give(d.request(2));
  for (int i = 0; i < 8; ++i) {
    d.pass(200 * kMs);
    d.give(d.request(10 + i));
    d.pass(50 * kMs);
    if (d.count<Send>(10 + i) > 0) d.end(10 + i, Outcome::prefillDone);  // signs of life
  }
  EXPECT_EQ(d.count<Cancel>(2), 0);
}

// The writers of a hot reader's cell are busy together: a request that one of them kept waiting was tried at
// each of them in turn.
struct SlowWriter : testing::TestWithParam<Outcome> {
  // The writer that a request goes to after the first one of its cell failed it so.
  static std::uint64_t nextWriter(const std::vector<EndpointEntry>& servers, Outcome outcome) {
    Driver d(settings());
    d.list(servers);
    d.give(d.request(1));
    d.pass(50 * kMs);
    d.end(1, Outcome::prefillDone);
    EXPECT_TRUE(d.sentTo(1) == 11 || d.sentTo(1) == 12);
    const auto first = d.sentTo(1);
    d.pass(outcome == Outcome::rejected ? 10 * kMs : kSec);
    d.end(1, outcome);
    EXPECT_NE(d.sentTo(1), first);
    return d.sentTo(1);
  }
};

TEST_P(SlowWriter, SendsItsRequestToAnotherCellWhereThereIsOne) {
  const std::vector<EndpointEntry> two{endpoint(1, kReader, 1), endpoint(11, kWriter, 1),
                                       endpoint(12, kWriter, 1), endpoint(21, kWriter, 2)};
  EXPECT_EQ(nextWriter(two, GetParam()), 21u);
  const std::vector<EndpointEntry> one{two.begin(), two.begin() + 3};
  const auto next = nextWriter(one, GetParam());
  EXPECT_TRUE(next == 11 || next == 12);
}
INSTANTIATE_TEST_SUITE_P(WithoutASign, SlowWriter, testing::Values(Outcome::timedOut, Outcome::cancelled));

// A full writer says nothing of its neighbours: they keep the state in its cell.
TEST(FullWriter, LeavesTheCellToTheOthers) {
  const auto next = SlowWriter::nextWriter(
      {endpoint(1, kReader, 1), endpoint(11, kWriter, 1), endpoint(12, kWriter, 1), endpoint(21, kWriter, 2)},
      Outcome::rejected);
  EXPECT_TRUE(next == 11 || next == 12);
}

// Clients that go away before a server could have answered: it is neither slow nor sick for that, and the
// next request is not refused on its account.
TEST(Departure, OfClientsTellsNothingOfTheServers) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  const auto longAsk = [&](std::uint64_t id) {
    auto request = d.request(id);
    request.promptTokens = 6000;
    return request;
  };
  for (std::uint64_t id = 1; id < 10; ++id) d.run(longAsk(id), 300 * kMs);
  for (std::uint64_t id = 10; id < 40; ++id) {
    d.give(longAsk(id));
    ASSERT_EQ(d.sentTo(id), 1u);
    d.pass(20 * kMs);
    d.give(RequestCancelled{{id}});
    ASSERT_EQ(d.count<Cancel>(id), 1);
    d.end(id, Outcome::cancelled);
  }
  d.give(longAsk(40));
  EXPECT_EQ(d.sentTo(40), 1u);
  EXPECT_EQ(d.count<Reject>(40), 0);
}

// One read gets no answer while reads sent there later do: its connection is lost. It counts for no queue,
// and is tried elsewhere once its own time is over.
TEST(LostConnection, IsGivenUpAndTellsNothingOfTheServer) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  for (std::uint64_t id = 2; id < 10; ++id) d.run(d.request(id));
  d.give(d.request(1));
  const Micros sentAt = d.now;
  for (std::uint64_t id = 100; d.count<Cancel>(1) == 0; ++id) {
    d.run(d.request(id));
    ASSERT_EQ(d.count<Reject>(id), 0) << id;
    ASSERT_LT(d.now, sentAt + 2 * kSec);
  }
  d.end(1, Outcome::cancelled);
  EXPECT_EQ(d.count<Send>(1), 2);
}

// What takes longer as it is larger is passed by smaller ones all the time: it is not lost.
TEST(LostConnection, ALargeReadThatSmallOnesPassIsNone) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  for (std::uint64_t id = 2; id < 10; ++id) d.run(d.request(id));
  auto large = d.request(1);
  large.promptTokens = 3000;
  d.give(large);
  for (std::uint64_t id = 100; id < 112; ++id) d.run(d.request(id));
  EXPECT_EQ(d.count<Cancel>(1), 0);
}

// The same with a write: what it waited is no first token's time, so nobody is refused for it.
TEST(LostConnection, OfAWriteMakesNoJam) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  for (std::uint64_t id = 2; id < 10; ++id) d.run(d.request(id));
  d.give(d.request(1, kUnsafe));
  d.pass(50 * kMs);
  d.end(1, Outcome::prefillDone);
  ASSERT_EQ(d.sentTo(1), 11u);
  for (std::uint64_t id = 100; d.now < 6 * kSec; ++id) {
    d.run(d.request(id));
    ASSERT_EQ(d.count<Reject>(id), 0) << id;
  }
  d.pass(kSec);
  d.end(1, Outcome::cancelled);
  d.give(d.request(90));
  EXPECT_EQ(d.count<Reject>(90), 0);
}

// Old connections that break without a sign are no symptom of their server: it keeps its work, and the read
// goes there once more.
TEST(KeptConnections, ThatBreakMakeNoSuspect) {
  Driver d(settings());
  d.list(fleet());
  d.run(d.request(1));
  for (std::uint64_t id = 2; id < 30; ++id) {
    auto request = d.request(id);
    request.session = {1001};  // what the first reader has cached
    d.give(request);
    const auto reader = d.sentTo(id);
    AttemptEnded broken{.id = {id}, .attempt = 0, .endpoint = {reader}, .outcome = Outcome::connectionReset};
    broken.reusedConnection = true;
    d.give(broken);
    ASSERT_EQ(d.sentTo(id), reader);
    d.pass(20 * kMs);
    d.end(id, Outcome::prefillDone, 900);
    d.end(id, Outcome::completed);
  }
  for (const auto& [at, action] : d.log) EXPECT_FALSE(std::holds_alternative<Log>(action));
}

TEST(KeptConnections, ThatBreakUnderWritesMakeNoSuspect) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  for (std::uint64_t id = 1; id <= 3; ++id) d.give(d.request(id));
  for (std::uint64_t id = 1; id <= 3; ++id) d.end(id, Outcome::prefillDone);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    ASSERT_EQ(d.sentTo(id), 11u);
    AttemptEnded broken{.id = {id}, .attempt = 1, .endpoint = {11}, .outcome = Outcome::connectionReset};
    broken.reusedConnection = true;
    d.give(broken);
  }
  for (const auto& [at, action] : d.log) EXPECT_FALSE(std::holds_alternative<Log>(action));
}

// Rule 2 holds for them too: an unsafe write on such a connection may have run.
TEST(KeptConnections, ThatBreakUnderAnUnsafeWriteEndIt) {
  Driver d(settings());
  d.list(fleet());
  d.give(d.request(1, kUnsafe));
  d.end(1, Outcome::prefillDone);
  AttemptEnded broken{
      .id = {1}, .attempt = 1, .endpoint = {d.sentTo(1)}, .outcome = Outcome::connectionReset};
  broken.reusedConnection = true;
  d.give(broken);
  EXPECT_EQ(d.count<Send>(1), 2);
  EXPECT_EQ(d.count<Reject>(1), 0);
  EXPECT_EQ(d.count<Fail>(1), 1);
}

// A server that turns away after long thought costs more time than a queue; one that does so at once does
// not.
TEST(TurnedAway, SlowlyIsAvoidedQuicklyIsNot) {
  const auto sharePast = [](Micros thought) {
    Driver d(settings());
    d.list({endpoint(1, kReader), endpoint(2, kReader), endpoint(11, kWriter)});
    int there = 0;
    for (std::uint64_t id = 1; id <= 200; ++id) {
      auto request = d.request(id);
      request.sharedPrefix = {id};
      d.give(request);
      if (d.sentTo(id) == 1) {
        there += id > 100;
        d.pass(thought);
        d.end(id, Outcome::rejected);
      }
      d.pass(10 * kMs);
      d.end(id, Outcome::prefillDone);
      d.end(id, Outcome::completed);
      d.pass(60 * kMs);
    }
    return there;
  };
  const int quick = sharePast(kMs);
  EXPECT_GT(quick, 25);
  const int slow = sharePast(400 * kMs);
  EXPECT_LT(slow, quick / 4);
}

// Not even what is cached there is worth it.
TEST(TurnedAway, SlowlyIsAvoidedWhereThePromptIsCachedToo) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(2, kReader), endpoint(11, kWriter)});
  std::vector<std::uint64_t> there;  // sessions that reader 1 has
  for (std::uint64_t id = 1; id <= 40; ++id)
    if (d.run(d.request(id)) == 1) there.push_back(id);
  ASSERT_GE(there.size(), 10u);
  there.erase(there.begin(), there.end() - 10);
  int again = 0;
  for (const auto session : there) {
    const std::uint64_t id = 100 + session;
    auto request = d.request(id);
    request.session = {session + 1000};
    d.give(request);
    if (d.sentTo(id) == 1) {
      ++again;
      d.pass(300 * kMs);
      d.end(id, Outcome::rejected);
    }
    d.pass(10 * kMs);
    d.end(id, Outcome::prefillDone);
    d.end(id, Outcome::completed);
    d.pass(200 * kMs);  // it may be full no longer
  }
  EXPECT_LE(again, 5);
}

TEST(Connects, RefusedOnesMakeASuspectAtOnce) {
  Driver d(settings());
  d.list(fleet());
  d.give(d.request(1));
  const auto dead = d.sentTo(1);
  d.end(1, Outcome::connectFailed);
  for (std::uint64_t id = 2; id <= 20; ++id) {
    d.give(d.request(id));
    EXPECT_NE(d.sentTo(id), dead);
    d.end(id, Outcome::prefillDone);
    d.end(id, Outcome::completed);
  }
}

TEST(Comeback, ByOneTrialAtATime) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(2, kReader), endpoint(11, kWriter)});
  d.give(d.request(1));
  const auto dead = d.sentTo(1);
  d.end(1, Outcome::connectFailed);
  d.end(1, Outcome::prefillDone);
  d.end(1, Outcome::completed);
  d.pass(3 * kSec);
  int trials = 0;
  for (std::uint64_t id = 2; id <= 12; ++id) {
    d.give(d.request(id));
    trials += d.sentTo(id) == dead ? 1 : 0;
  }
  EXPECT_EQ(trials, 1);
}

TEST(Comeback, ProbesGoFirstWhereTheyMay) {
  auto s = settings();
  s.canProbe = true;
  Driver d(s);
  d.list({endpoint(1, kReader), endpoint(2, kReader), endpoint(11, kWriter)});
  d.give(d.request(1));
  const auto dead = d.sentTo(1);
  d.end(1, Outcome::connectFailed);
  d.end(1, Outcome::prefillDone);
  d.end(1, Outcome::completed);
  d.pass(3 * kSec);
  const auto probes = std::count_if(d.log.begin(), d.log.end(), [](const auto& item) {
    return std::holds_alternative<Probe>(item.second);
  });
  EXPECT_EQ(probes, 1);
  for (std::uint64_t id = 2; id <= 12; ++id) {
    d.give(d.request(id));
    EXPECT_NE(d.sentTo(id), dead);
  }
  d.give(ProbeEnded{.endpoint = {dead}, .ok = true});
  int trials = 0;
  for (std::uint64_t id = 22; id <= 32; ++id) {
    d.give(d.request(id));
    trials += d.sentTo(id) == dead ? 1 : 0;
  }
  EXPECT_EQ(trials, 1);
}

TEST(Cut, AZoneOfSuspectsIsLeftAlone) {
  Driver d(settings());
  d.list({endpoint(1, kReader, 0, 0), endpoint(2, kReader, 0, 1), endpoint(3, kReader, 0, 1),
          endpoint(4, kReader, 0, 1), endpoint(11, kWriter, 0, 0)});
  std::uint64_t id = 1;
  for (int failures = 0; failures < 2; ++id) {
    d.give(d.request(id));
    if (d.sentTo(id) == 1) continue;
    d.end(id, Outcome::connectFailed);
    ++failures;
  }
  for (const auto last = id + 20; id < last; ++id) {
    d.give(d.request(id));
    EXPECT_EQ(d.sentTo(id), 1u);  // not even the third server of the zone, of which nothing is known
    d.end(id, Outcome::prefillDone);
    d.end(id, Outcome::completed);
  }
}

TEST(AllSuspect, TheDesignDecides) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(2, kReader), endpoint(11, kWriter)});
  for (std::uint64_t id = 1; id <= 2; ++id) {
    d.give(d.request(id));
    d.end(id, Outcome::connectFailed);
    d.end(id, Outcome::connectFailed);
  }
  d.give(d.request(9));
  EXPECT_EQ(d.count<Send>(9), 1);
}

// Dropped from a complete list without being called gone: kept forever, such servers grew without bound.
TEST(List, ServersThatLeaveItAreForgotten) {
  Driver d(settings());
  d.list(fleet());
  d.give(d.request(1));
  const auto dead = d.sentTo(1);
  d.end(1, Outcome::connectFailed);
  auto rest = fleet();
  std::erase_if(rest, [&](const auto& entry) { return entry.id.value == dead; });
  d.list(rest);
  d.pass(300 * kMs);
  d.list({endpoint(dead, kReader), endpoint(11, kWriter)});
  d.give(d.request(2));
  d.give(d.request(3));  // a suspect would get one trial at most, after a wait
  EXPECT_EQ(d.sentTo(3), dead);
  EXPECT_EQ(d.count<Send>(2) + d.count<Send>(3), 2);
  const auto actions = d.end(2, Outcome::prefillDone);
  EXPECT_TRUE(std::none_of(actions.begin(), actions.end(), [](const auto& action) {
    return std::holds_alternative<Log>(action);
  })) << "it was still under suspicion";
}

TEST(Restart, AnOldListIsEnoughToBeginWith) {
  Driver d(settings());
  d.list(fleet(), EndpointUpdate::Kind::staleCopy);
  d.run(d.request(1));
  EXPECT_GE(d.sentTo(1), 11u);
}

TEST(Clock, AJumpFarAheadIsBorne) {
  Driver d(settings());
  d.list(fleet());
  d.run(d.request(1));
  d.now += 3600 * kSec;
  d.run(d.request(2));
  EXPECT_GE(d.sentTo(2), 11u);
}

TEST(Discovery, IsAskedWhereItMustBe) {
  auto s = settings();
  s.discovery = Discovery::poll;
  s.pollInterval = 10 * kSec;
  Driver d(s);
  d.list(fleet(), EndpointUpdate::Kind::staleCopy);
  const auto asked = [&] {
    return std::count_if(d.log.begin(), d.log.end(),
                         [](const auto& item) { return std::holds_alternative<Subscribe>(item.second); });
  };
  d.pass(kSec);
  EXPECT_GE(asked(), 1);
  d.list({}, EndpointUpdate::Kind::delta);
  const auto before = asked();
  d.pass(5 * kSec);
  EXPECT_EQ(asked(), before);
  d.give(EndpointUpdate{EndpointUpdate::Kind::failure, {}});
  d.pass(5 * kSec);
  EXPECT_GT(asked(), before);
}

}  // namespace
}  // namespace garnethook::test
