// Who answers: room in the reader's cell, then elsewhere, then waiting.
#include <gtest/gtest.h>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

std::vector<EndpointEntry> fleet() {
  return {endpoint(1, kReader, 0), endpoint(11, kWriter, 0), endpoint(12, kWriter, 0),
          endpoint(13, kWriter, 1)};
}

void readOne(Driver& d, std::uint64_t id, double tokens = 1000) {
  auto request = d.request(id);
  request.promptTokens = tokens;
  d.give(request);
  d.pass(50 * kMs);
  d.end(id, Outcome::prefillDone);
}

TEST(Writing, TakesTheRoomierWriterOfTheCell) {
  Driver d(settings());
  d.list(fleet());
  readOne(d, 1, 5000);
  const auto first = d.sentTo(1);
  EXPECT_TRUE(first == 11 || first == 12);
  readOne(d, 2);
  EXPECT_EQ(d.sentTo(2), first == 11 ? 12u : 11u);
}

TEST(Writing, ReportsOfMemoryDecide) {
  Driver d(settings());
  d.list(fleet());
  for (std::uint64_t id = 1; id <= 2; ++id) {
    readOne(d, id);
    AttemptEnded done{.id = {id}, .attempt = 1, .endpoint = {d.sentTo(id)}, .outcome = Outcome::completed};
    done.requestEnded = true;
    done.report = LoadReport{.memoryShare = d.sentTo(id) == 11 ? 0.8 : 0.2};
    d.give(done);
  }
  readOne(d, 3);
  EXPECT_EQ(d.sentTo(3), 12u);
}

TEST(Writing, AFullCellSendsToAnother) {
  Driver d(settings());
  d.list(fleet());
  for (std::uint64_t id = 1; id <= 2; ++id) {
    readOne(d, id);
    AttemptEnded done{.id = {id}, .attempt = 1, .endpoint = {d.sentTo(id)}, .outcome = Outcome::completed};
    done.requestEnded = true;
    done.report = LoadReport{.memoryShare = 0.99};
    d.give(done);
  }
  readOne(d, 3);
  EXPECT_EQ(d.sentTo(3), 13u);
}

TEST(Writing, WithoutRoomAStateWaitsWithinTheReleaseTime) {
  auto s = settings();
  Driver d(s);
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  readOne(d, 1);
  d.give(d.request(2));
  AttemptEnded done{.id = {1}, .attempt = 1, .endpoint = {11}, .outcome = Outcome::completed};
  done.requestEnded = true;
  done.report = LoadReport{.memoryShare = 1};
  d.give(done);
  d.pass(50 * kMs);
  d.end(2, Outcome::prefillDone);
  EXPECT_EQ(d.count<Send>(2), 1);
  d.pass(s.kvReleaseTimeout);
  EXPECT_EQ(d.count<Send>(2), 2);  // sent at the last look all the same
}

TEST(Writing, WithoutRoomAnywhereNothingNewIsLetIn) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  readOne(d, 1);
  AttemptEnded done{.id = {1}, .attempt = 1, .endpoint = {11}, .outcome = Outcome::completed};
  done.requestEnded = true;
  done.report = LoadReport{.memoryShare = 0.97};
  d.give(done);
  d.give(d.request(2));
  EXPECT_EQ(d.count<Send>(2), 0);
  EXPECT_EQ(d.count<Reject>(2), 1);
}

TEST(Writing, AMissingStateBlamesTheStateAndIsReadAnew) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(2, kReader), endpoint(11, kWriter)});
  d.give(d.request(1));
  const auto reader = d.sentTo(1);
  d.end(1, Outcome::prefillDone);
  EXPECT_EQ(d.sentTo(1), 11u);
  d.end(1, Outcome::rejected, 0, true);
  EXPECT_EQ(d.sentTo(1), reader == 1 ? 2u : 1u);
  d.end(1, Outcome::prefillDone);
  EXPECT_EQ(d.sentTo(1), 11u);  // not blamed
}

TEST(Writing, AFullWriterIsPassedOver) {
  Driver d(settings());
  d.list(fleet());
  readOne(d, 1);
  const auto first = d.sentTo(1);
  d.end(1, Outcome::rejected);
  EXPECT_NE(d.sentTo(1), first);
  EXPECT_EQ(d.count<Send>(1), 3);
}

// A hundred routers that know nothing of equal writers must not all choose the same.
TEST(Writing, RoutersThatKnowNothingSpreadOverEqualWriters) {
  auto s = settings();
  s.routers = 100;
  std::map<std::uint64_t, int> chosen;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Driver d(s, seed);
    d.list({endpoint(1, kReader), endpoint(11, kWriter), endpoint(12, kWriter), endpoint(13, kWriter),
            endpoint(14, kWriter)});
    readOne(d, 1);
    ++chosen[d.sentTo(1)];
  }
  for (std::uint64_t id = 11; id <= 14; ++id) EXPECT_LE(chosen[id], 40) << id;
}

// One own stream at a writer is no sign of one at each of a hundred routers.
TEST(Writing, OneStreamOfManyRoutersIsNoFullWriter) {
  auto s = settings();
  s.routers = 100;
  Driver d(s);
  d.list({endpoint(1, kReader, 0), endpoint(11, kWriter, 0), endpoint(12, kWriter, 1),
          endpoint(13, kWriter, 1), endpoint(14, kWriter, 1), endpoint(15, kWriter, 1)});
  for (std::uint64_t id = 1; id <= 2; ++id) {
    readOne(d, id, 2000);
    EXPECT_EQ(d.sentTo(id), 11u);
    d.pass(20 * kMs);
    d.give(StreamStarted{{id}, 1});
    d.pass(kSec);
  }
}

// Reading between answers slows them: where answers stream for long, fewer requests go whole.
TEST(Mixed, AnswersThatStreamForLongEarnASmallerShare) {
  const auto whole = [](Micros atMixed) {
    Driver d(settings());
    d.list({endpoint(1, kReader), endpoint(2, kReader), endpoint(11, kWriter), endpoint(21, kMixed)});
    int count = 0;
    for (std::uint64_t id = 1; id <= 200; ++id) {
      d.give(d.request(id));
      const bool mixed = d.sentTo(id) == 21;
      count += mixed && id > 100 ? 1 : 0;
      d.pass(50 * kMs);
      if (!mixed) d.end(id, Outcome::prefillDone);
      d.give(StreamStarted{{id}, d.count<Send>(id) - 1});
      d.pass(d.sentTo(id) == 21 ? atMixed : 500 * kMs);
      d.end(id, Outcome::completed);
    }
    return count;
  };
  const int usual = whole(500 * kMs);
  const int slow = whole(3 * kSec);
  EXPECT_GT(usual, 30);  // half of the answering memory is there
  EXPECT_GT(slow, 0);
  EXPECT_LT(2 * slow, usual);
}

}  // namespace
}  // namespace garnethook::test
