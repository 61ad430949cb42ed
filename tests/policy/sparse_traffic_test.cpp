// A router that sees little of the traffic: what it has not met is neither idle nor empty.
#include <gtest/gtest.h>

#include <set>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

Settings many() {
  auto s = settings();
  s.routers = 200;
  return s;
}

RequestArrived begun(const Driver& d, std::uint64_t id, std::uint64_t beginning, double tokens) {
  auto request = d.request(id);
  request.sharedPrefix = {beginning};
  request.sharedPrefixTokens = tokens;
  request.promptTokens = tokens + 100;
  return request;
}

// The read of a request ends with a report of what waits at its reader; then it is answered.
void readAndAnswered(Driver& d, std::uint64_t id, double queuedKiloTokens, double found = 0) {
  AttemptEnded done{.id = {id}, .attempt = 0, .endpoint = {d.sentTo(id)}, .outcome = Outcome::prefillDone};
  done.cachedTokens = found;
  done.report = LoadReport{.memoryShare = 0.3, .queuedKiloTokens = queuedKiloTokens};
  d.give(done);
  d.give(StreamStarted{{id}, 1});
  d.end(id, Outcome::completed);
}

// Each beginning is new to this router, but its home has it: the other routers sent it there.
TEST(LittleSeen, AHomeIsExpectedToKeepWhatSuchReadsFound) {
  Driver d(many());
  d.list({endpoint(1, kReader), endpoint(2, kReader), endpoint(3, kReader), endpoint(11, kWriter)});
  for (std::uint64_t id = 1; id <= 20; ++id) {
    d.run(begun(d, id, 500 + id, 3000), 40 * kMs, 3000);
    d.pass(400 * kMs);
  }
  const auto request = begun(d, 100, 900, 11'000);  // cold at 60 us a token: past the hope of 0.7 x 1.67 s
  d.give(request);
  EXPECT_EQ(d.count<Reject>(100), 0);
  EXPECT_EQ(d.count<Send>(100), 1);
}

TEST(LittleSeen, AHomeThatFoundNothingIsPricedAsEmpty) {
  Driver d(many());
  d.list({endpoint(1, kReader), endpoint(2, kReader), endpoint(3, kReader), endpoint(11, kWriter)});
  for (std::uint64_t id = 1; id <= 20; ++id) {
    d.run(begun(d, id, 500 + id, 3000), 230 * kMs, 0);
    d.pass(400 * kMs);
  }
  d.give(begun(d, 100, 900, 25'000));
  EXPECT_EQ(d.count<Reject>(100), 1);
}

// Readers tell of long queues, and yet each read there comes back at once: what waits is kept, or read side
// by side.
TEST(LittleSeen, ReportedQueuesThatNoReadMetRefuseNothing) {
  Driver d(many());
  d.list({endpoint(1, kReader), endpoint(2, kReader), endpoint(3, kReader), endpoint(11, kWriter)});
  for (std::uint64_t id = 1; id <= 60; ++id) {
    d.give(begun(d, id, 500 + id, 3000));
    if (d.count<Send>(id) == 0) continue;
    d.pass(30 * kMs);
    readAndAnswered(d, id, 20, 3000);
    d.pass(300 * kMs);
  }
  int rejected = 0;
  for (std::uint64_t id = 30; id <= 60; ++id) rejected += d.count<Reject>(id);
  EXPECT_EQ(rejected, 0);
}

// Where reads do wait as long as was told, they are held back.
TEST(LittleSeen, ReportedQueuesThatReadsMetAreBelieved) {
  Driver d(many());
  d.list({endpoint(1, kReader), endpoint(2, kReader), endpoint(3, kReader), endpoint(11, kWriter)});
  for (std::uint64_t id = 1; id <= 30; ++id) {
    d.give(begun(d, id, 500 + id, 3000));
    if (d.count<Send>(id) == 0) continue;
    d.pass(700 * kMs);
    readAndAnswered(d, id, 10, 3000);
  }
  d.give(begun(d, 100, 900, 3000));
  d.pass(700 * kMs);
  if (d.count<Send>(100) == 1) readAndAnswered(d, 100, 60, 3000);
  d.give(begun(d, 101, 901, 3000));
  EXPECT_EQ(d.count<Reject>(101), 1);
}

// Reader A was idle when it was met last; what was met since is jammed.
TEST(LittleSeen, AReaderNotMetOfLateIsTakenForTheMeanNotForIdle) {
  Driver d(many());
  d.list({endpoint(1, kReader), endpoint(2, kReader), endpoint(11, kWriter)});
  const auto meet = [&](RequestArrived request, double queued) {
    d.give(request);
    const auto reader = d.sentTo(request.id.value);
    d.pass(20 * kMs);
    readAndAnswered(d, request.id.value, queued);
    return reader;
  };
  const auto idle = meet(d.request(1), 0);
  std::uint64_t id = 2;
  while (id < 40 && meet(d.request(id), 0) == idle) ++id;
  ASSERT_LT(id, 40u);
  d.pass(8 * kSec);
  auto again = d.request(100);  // the session of the latest, so the same reader
  again.session = {id + 1000};
  ASSERT_NE(meet(again, 60), idle);
  d.pass(300 * kMs);
  d.give(d.request(101));
  EXPECT_EQ(d.count<Reject>(101), 1);
}

// First tokens of whole requests bring no report; what they waited beyond their own work still tells.
TEST(LittleSeen, LateAnswersOfMixedServersHoldWholeRequestsBack) {
  Driver d(many());
  d.list({endpoint(21, kMixed), endpoint(22, kMixed), endpoint(23, kMixed), endpoint(24, kMixed)});
  for (std::uint64_t id = 1; id <= 3; ++id) {
    d.give(d.request(id));
    ASSERT_GE(d.sentTo(id), 21u);
  }
  d.pass(1500 * kMs);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    d.give(StreamStarted{{id}, 0});
    d.end(id, Outcome::completed);
  }
  d.pass(300 * kMs);
  d.give(d.request(50));
  EXPECT_EQ(d.count<Send>(50), 0);
}

// One report of a full writer, however old, stood for the whole fleet: such a router refused all it got for
// good.
TEST(LittleSeen, AnOldReportOfOneFullWriterDoesNotFillTheFleet) {
  Driver d(many());
  d.list({endpoint(1, kReader), endpoint(11, kWriter), endpoint(12, kWriter), endpoint(13, kWriter)});
  d.give(d.request(1));
  d.pass(60 * kMs);
  AttemptEnded done{.id = {1}, .attempt = 0, .endpoint = {d.sentTo(1)}, .outcome = Outcome::prefillDone};
  d.give(done);
  AttemptEnded served{.id = {1},
                      .attempt = 1,
                      .endpoint = {d.sentTo(1)},
                      .outcome = Outcome::completed,
                      .requestEnded = true};
  served.report = LoadReport{.memoryShare = 0.97};
  d.give(StreamStarted{{1}, 1});
  d.give(served);
  d.pass(20'000 * kMs);
  d.give(d.request(2));
  EXPECT_EQ(d.count<Send>(2), 1);
}

// A beginning that makes up most of the reading is expected at several homes: a queue at one that is shorter
// than a cold read elsewhere is passed by all the same.
TEST(LittleSeen, AHotBeginningHasSeveralHomes) {
  Driver d(many());
  std::vector<EndpointEntry> fleet{endpoint(11, kWriter)};
  for (std::uint64_t id = 1; id <= 4; ++id) fleet.push_back(endpoint(id, kReader));
  d.list(fleet);
  for (std::uint64_t id = 20; id < 30; ++id) d.run(begun(d, id, id, 300), 20 * kMs, 300);
  const auto first = d.run(begun(d, 1, 7, 3000), 30 * kMs, 3000);
  for (std::uint64_t id = 40; id < 50; ++id) EXPECT_EQ(d.run(begun(d, id, 7, 3000), 30 * kMs, 3000), first);
  d.pass(500 * kMs);
  d.give(begun(d, 3, 7, 3000));
  ASSERT_EQ(d.sentTo(3), first);
  d.pass(30 * kMs);
  readAndAnswered(d, 3, 2.5, 3000);
  d.give(begun(d, 4, 7, 3000));
  EXPECT_NE(d.sentTo(4), first);
  EXPECT_EQ(d.count<Send>(4), 1);
}

}  // namespace
}  // namespace garnethook::test
