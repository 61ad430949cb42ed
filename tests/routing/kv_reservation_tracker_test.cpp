// Modules free of I/O: the timer wheel, held states, stream guard, final rules, the engine list.
#include "routing/kv_reservation_tracker.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <random>

#include "config/json_file.h"
#include "routing/execution_history.h"
#include "routing/stream_guard.h"
#include "timing/timer_wheel.h"

namespace garnethook {
namespace {

TEST(TimerWheel, ActsAsASortedMap) {
  std::mt19937_64 random(5);
  timing::TimerWheel wheel(1000, 1'000'000);
  std::multimap<std::int64_t, int> plain;
  std::vector<int> fired;
  std::vector<std::pair<timing::TimerKey, std::multimap<std::int64_t, int>::iterator>> keys;
  std::int64_t now = 1'000'000;
  for (int i = 0; i < 20'000; ++i) {
    const auto kind = random() % 10;
    if (kind < 6) {
      const std::int64_t spans[] = {5'000, 400'000, 90'000'000, 20'000'000'000};
      const std::int64_t due =
          now + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(spans[random() % 4]));
      const std::int64_t tick = std::max((due - 1'000'000 + 999) / 1000, (now - 1'000'000) / 1000 + 1);
      keys.emplace_back(wheel.add(due, [&fired, i] { fired.push_back(i); }), plain.emplace(tick, i));
    } else if (kind == 6 && !keys.empty()) {
      const auto at = random() % keys.size();
      if (wheel.cancel(keys[at].first)) plain.erase(keys[at].second);
      keys.erase(keys.begin() + static_cast<std::ptrdiff_t>(at));
    } else {
      now += static_cast<std::int64_t>(random() % (kind == 9 ? 3'000'000'000 : 30'000));
      if (const auto next = wheel.next(); next && !plain.empty()) {
        ASSERT_LE(*next, 1'000'000 + plain.begin()->first * 1000);
      }
      fired.clear();
      wheel.advance(now);
      std::vector<int> expected;
      const auto end = plain.upper_bound((now - 1'000'000) / 1000);
      for (auto at = plain.begin(); at != end; ++at) expected.push_back(at->second);
      plain.erase(plain.begin(), end);
      auto sorted = fired;
      std::sort(sorted.begin(), sorted.end());
      std::sort(expected.begin(), expected.end());
      ASSERT_EQ(sorted, expected);
    }
    ASSERT_EQ(wheel.size(), plain.size());
  }
}

TEST(TimerWheel, TasksMayAddAndCancel) {
  timing::TimerWheel wheel(1000, 0);
  int runs = 0;
  timing::TimerKey victim;
  wheel.add(5000, [&] {
    ++runs;
    EXPECT_TRUE(wheel.cancel(victim));
    wheel.add(5000, [&] { ++runs; });  // not within this tick
  });
  victim = wheel.add(5000, [&] { runs += 100; });
  wheel.advance(5000);
  EXPECT_EQ(runs, 1);
  wheel.advance(6000);
  EXPECT_EQ(runs, 2);
  EXPECT_FALSE(wheel.cancel(victim));
}

TEST(KvReservationTracker, AReleaseIsTriedAgainUntilItHoldsOrIsGivenUp) {
  routing::KvReservationTracker held({.kvReleaseTimeout = 500'000, .tries = 3, .pause = 100});
  held.readSent({1}, {7}, 0);
  held.readSent({1}, {8}, 0);
  held.readSent({2}, {7}, 0);
  auto calls = held.release({1}, 1000);
  ASSERT_EQ(calls.size(), 2u);
  EXPECT_EQ(held.held(), 1u);
  held.ended(calls[0], true, 1010);
  held.ended(calls[1], false, 1010);
  EXPECT_TRUE(held.due(1100).empty());
  EXPECT_EQ(held.due(1110).size(), 1u);
  EXPECT_TRUE(held.due(1110).empty());  // it is out
  held.ended(calls[1], false, 1200);
  EXPECT_TRUE(held.due(1300).empty());  // the pause grows
  EXPECT_EQ(held.due(1400).size(), 1u);
  held.ended(calls[1], false, 1500);
  EXPECT_EQ(held.abandoned(), 1u);
  EXPECT_EQ(held.releasing(), 0u);
  EXPECT_EQ(held.released(), 1u);
  EXPECT_TRUE(held.release({1}, 2000).empty());
}

// A reader that resets every connection for seconds: releases were given up before it could be told again.
TEST(KvReservationTracker, TriesOutlastAnOutageOfSecondsAndStayCloseEnough) {
  routing::KvReservationTracker held({});
  held.readSent({1}, {7}, 0);
  const auto call = held.release({1}, 0)[0];
  Micros now = 0;
  Micros last = 0;
  for (int tries = 1; tries < 40; ++tries) {
    held.ended(call, false, now);
    while (held.due(now).empty()) ASSERT_LT(now += 1000, last + 260'000);
    last = now;
  }
  EXPECT_GT(now, 8'000'000);
  EXPECT_EQ(held.abandoned(), 0u);
}

TEST(KvReservationTracker, WhatWasFetchedLostOrNeverReadIsNotReleased) {
  routing::KvReservationTracker held({});
  for (const std::uint64_t reader : {1, 2, 3}) held.readSent({1}, {reader}, 0);
  held.consumed({1}, {1});
  held.nothingLeft({1}, {2});
  held.readerLost({3});
  EXPECT_TRUE(held.release({1}, 0).empty());
}

// The answer to an earlier release comes after the reader was sent another read: what that leaves stays held.
TEST(KvReservationTracker, ALateAnswerToAReleaseSettlesNoLaterRead) {
  for (const bool ok : {true, false}) {
    routing::KvReservationTracker held({});
    held.readSent({1}, {7}, 0);
    ASSERT_EQ(held.release({1}, 100).size(), 1u);
    held.readSent({1}, {7}, 200);
    held.ended({{7}, {1}}, ok, 300);
    EXPECT_EQ(held.held(), 1u);
    EXPECT_EQ(held.releasing(), 0u);
    EXPECT_EQ(held.release({1}, 400).size(), 1u);
  }
}

// A write may be on a connection that is dead: what is held is let go of unless an engine has the write, and
// stays held in case it has. A release that is still tried when the state is fetched has nothing left to do.
TEST(KvReservationTracker, WhatIsInDoubtIsReleasedAndStaysHeldWhereReleasesSpareWhatIsAwaited) {
  routing::KvReservationTracker plain({});
  plain.readSent({1}, {7}, 0);
  EXPECT_TRUE(plain.releaseInDoubt({1}, 500).empty());
  EXPECT_EQ(plain.held(), 1u);

  routing::KvReservationTracker held({.tries = 3, .pause = 100, .sparesAwaited = true});
  held.readSent({1}, {7}, 0);
  held.readSent({2}, {7}, 0);
  const auto calls = held.releaseInDoubt({1}, 500);
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_TRUE(held.releaseInDoubt({1}, 510).empty());  // it is out
  EXPECT_EQ(held.held(), 2u);
  held.ended(calls[0], false, 600);
  EXPECT_EQ(held.due(700).size(), 1u);
  held.ended(calls[0], true, 710);
  EXPECT_EQ(held.release({1}, 720).size(), 1u);  // once more at the end

  held.releaseInDoubt({2}, 800);
  held.consumed({2}, {7});
  EXPECT_FALSE(held.knows({2}));
}

// A read may be on a connection that is dead: what earlier ones left is let go of, and the read goes on.
TEST(KvReservationTracker, WhatEarlierReadsLeftIsReleasedWhileAnotherIsOut) {
  for (const bool spares : {false, true}) {
    routing::KvReservationTracker held({.pause = 100, .sparesAwaited = spares});
    held.readSent({1}, {7}, 0);
    held.readSent({1}, {8}, 400);
    auto calls = held.releaseOthers({1}, {8}, 500);
    ASSERT_EQ(calls.size(), 1u);
    EXPECT_EQ(calls[0].endpoint, EndpointId{7});
    EXPECT_EQ(held.held(), 1u);
    EXPECT_EQ(held.dueBy({1}), 500'500);
    held.ended(calls[0], false, 600);
    EXPECT_EQ(held.due(700).size(), 1u);  // tried again

    held.readSent({1}, {8}, 800);  // once more at the same reader: a later release could hit the new read
    calls = held.releaseOthers({1}, {8}, 1000);
    ASSERT_EQ(calls.size(), spares ? 1u : 0u);
    if (spares) held.ended(calls[0], false, 1100);
    EXPECT_TRUE(held.due(1'000'000).empty());
    held.nothingLeft({1}, {8});
    EXPECT_EQ(held.held(), 1u);  // the earlier one there may have left a state still
  }
}

// Rule 5's time runs on while connections fail to come up, and starts anew once an attempt reached an engine.
TEST(KvReservationTracker, TheTimeOfWhatIsHeldRunsFromTheLastAttemptThatReachedAnEngine) {
  routing::KvReservationTracker held({.kvReleaseTimeout = 500});
  EXPECT_FALSE(held.dueBy({1}));
  held.readSent({1}, {7}, 100);
  held.outcome({1}, 1000);  // the read ended
  held.outcome({2}, 1200);  // another request's
  EXPECT_EQ(held.dueBy({1}), 1500);
  held.readSent({1}, {8}, 1400);
  EXPECT_EQ(held.dueBy({1}), 1500);  // the oldest counts
  held.outcome({1}, 1450);
  EXPECT_EQ(held.dueBy({1}), 1950);
  held.readSent({1}, {8}, 1700);  // once more at the same reader, which turns it away
  held.nothingLeft({1}, {8});
  held.consumed({1}, {7});
  EXPECT_EQ(held.dueBy({1}), 1950);  // the first read there may have left a state
  held.nothingLeft({1}, {8});
  EXPECT_FALSE(held.dueBy({1}));
}

TEST(StreamGuard, EndsQuietStreamsAndThoseAtTheDeadline) {
  const routing::StreamGuard guard({.silence = 1000, .margin = 100});
  EXPECT_EQ(guard.usable(10'000), 9'900);
  EXPECT_EQ(guard.usable(40), 30);
  EXPECT_EQ(guard.look(500, 0, 9'000).again, 1000);
  EXPECT_EQ(guard.look(1000, 0, 9'000).verdict, routing::StreamGuard::Verdict::stalled);
  EXPECT_EQ(guard.look(900, 800, 900).verdict, routing::StreamGuard::Verdict::deadline);
  EXPECT_FALSE(guard.wentQuiet(1030, 0, 1000, 101));
  EXPECT_TRUE(guard.wentQuiet(1100, 0, 1000, 101));
}

TEST(FinalRules, OnlyWhatDidNotRunIsRefused) {
  RequestClass safe, keyed, unsafe;
  keyed.idempotency = Idempotency::idempotentWithKey;
  unsafe.idempotency = Idempotency::nonIdempotent;
  EXPECT_TRUE(routing::mayReject(safe, {true}));
  EXPECT_TRUE(routing::mayReject(keyed, {true}));
  keyed.deduplicationScope = DeduplicationScope::zone;
  EXPECT_FALSE(routing::mayReject(keyed, {true}));
  EXPECT_FALSE(routing::mayReject(unsafe, {true}));
  EXPECT_TRUE(routing::mayReject(unsafe, {false}));
}

TEST(Config, ErrorsNameFileLineAndKey) {
  const auto error = [](std::string_view text, auto use) -> std::string {
    try {
      const config::Node root(config::JsonFile::parse("f.json", text));
      use(root);
      root.done();
    } catch (const config::Error& e) { return e.what(); }
    return "";
  };
  const auto none = [](const config::Node&) {};
  EXPECT_EQ(error("{\n// c\n\"a\": {\n/* x\n */ \"b\": [1,\n \"two\"] } }",
                  [](const config::Node& n) { n.object("a").texts("b"); }),
            "f.json:5: a.b[0]: a text is wanted");
  EXPECT_EQ(error("{\n\"aim\": 3,\n\"amm\": 4}", [](const config::Node& n) { n.number("aim", 1, 0, 5); }),
            "f.json:3: amm: is not a setting");
  EXPECT_EQ(error("{\n\n\"n\": 7}", [](const config::Node& n) { n.integer("n", 1, 0, 5); }),
            "f.json:3: n: 7 is not between 0 and 5");
  EXPECT_EQ(error("{\"e\":\n \"x\"}",
                  [](const config::Node& n) {
                    n.choice("e", {"a", "b"}, 0);
                  }),
            "f.json:1: e: \"x\" is none of: a, b");
  EXPECT_EQ(error("{}", [](const config::Node& n) { n.text("name"); }), "f.json:1: name: is missing");
  EXPECT_TRUE(error("{\n\"a\": }", none).starts_with("f.json:2: syntax error"));
  const std::string deep = "{\"a\":" + std::string(200'000, '[') + std::string(200'000, ']') + "}";
  EXPECT_EQ(error(deep, none), "f.json:1: (file): nested too deep");
  // Found by fuzzing: the library throws another exception for it, which ended the router.
  EXPECT_TRUE(error("{\"a\": 7e999}", none).starts_with("f.json:1: (file): "));
}

}  // namespace
}  // namespace garnethook
