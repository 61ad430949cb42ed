// The watch of discovery without sockets: lists cut out of a stream, and when a watch is begun anew.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "platform/discovery/endpoint_list.h"
#include "platform/discovery/object_splitter.h"
#include "platform/discovery/watch_policy.h"

namespace garnethook::platform {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kSec = 1'000'000;

std::vector<std::string> cut(const std::string& text, std::size_t piece, std::size_t most = 1000) {
  ObjectSplitter objects(most);
  std::vector<std::string> got;
  for (std::size_t at = 0; at < text.size(); at += piece)
    EXPECT_TRUE(objects.receive(std::string_view(text).substr(at, piece),
                                [&](std::string_view object) { got.emplace_back(object); }));
  EXPECT_FALSE(objects.midway());
  return got;
}

TEST(Objects, AreCutWhateverThePieces) {
  const std::string text = "{\"a\":1}\n\r\n\n{\"b\":{\"c\":[{},{\"d\":\"}{\\\"\\\\\"}]}}\n{}{}\n";
  const std::vector<std::string> whole{"{\"a\":1}", "{\"b\":{\"c\":[{},{\"d\":\"}{\\\"\\\\\"}]}}", "{}",
                                       "{}"};
  for (std::size_t piece = 1; piece <= text.size(); ++piece) EXPECT_EQ(cut(text, piece), whole) << piece;
}

// An indented list was read line by line, and none of its lines was a list.
TEST(Objects, AnIndentedListIsOneList) {
  const std::string list =
      "{\n  \"revision\": 4,\n  \"complete\": true,\n\n  \"members\": [\n    {\n      \"id\": \"e\",\n"
      "      \"host_port\": \"h:1\",\n      \"phase\": \"ready\"\n    }\n  ]\n}";
  for (const std::size_t piece : {1, 7, 1000}) {
    const auto got = cut("\n" + list + "\n\n" + list + "\n", piece);
    ASSERT_EQ(got, (std::vector<std::string>{list, list}));
    const auto update = parseEndpointList(got[0]);
    EXPECT_EQ(update.version, 4);
    ASSERT_EQ(update.engines.size(), 1u);
    EXPECT_EQ(update.engines[0].host, "h");
  }
}

TEST(Objects, StrayTextCostsItsOwnLineAndSizeIsBounded) {
  EXPECT_EQ(cut("stray }{ text\n{\"a\":1}\n", 3), (std::vector<std::string>{"stray }{ text", "{\"a\":1}"}));
  ObjectSplitter objects(10);
  EXPECT_FALSE(objects.receive("{" + std::string(10, ' '), [](std::string_view) {}));
  objects.clear();
  EXPECT_FALSE(objects.midway());
  int seen = 0;
  EXPECT_TRUE(objects.receive("{}", [&](std::string_view) { ++seen; }));
  EXPECT_EQ(seen, 1);
}

TEST(WatchPolicy, PausesGrowAndStartAnewOnceHeard) {
  WatchPolicy policy;
  const auto pause = [&] {
    policy.ended(0);
    EXPECT_EQ(policy.next(), WatchPolicy::Step::begin);
    return policy.due();
  };
  const Micros first = pause();
  EXPECT_GT(pause(), first);
  for (int i = 0; i < 50; ++i) EXPECT_LE(pause(), policy.options().longestPause);
  policy.heard(0, false);
  EXPECT_EQ(pause(), first);
  pause();
  policy.moved();
  EXPECT_EQ(pause(), first);
}

// The same list may come again at once: it is asked for, but not in a loop.
TEST(WatchPolicy, AListThatCantBeUsedIsAskedForAgainAfterTheLongestPause) {
  WatchPolicy policy;
  policy.begun(0);
  policy.heard(1000, false);
  policy.spoilt();
  policy.ended(1000);
  EXPECT_EQ(policy.next(), WatchPolicy::Step::begin);
  EXPECT_EQ(policy.due(), 1000 + policy.options().longestPause);
  policy.begun(policy.due());
  policy.heard(2'000'000, false);
  policy.ended(2'000'000);
  EXPECT_EQ(policy.due(), 2'000'000 + policy.options().firstPause);
}

TEST(WatchPolicy, AListThatDoesNotEndIsGivenUpWhateverGoesOn) {
  WatchPolicy policy;
  policy.begun(0);
  policy.heard(100 * kMs, true);
  Micros now = 100 * kMs;
  for (int i = 0; i < 60 && policy.due() > now + kSec; ++i) policy.heard(now += kSec, true);
  EXPECT_EQ(policy.next(), WatchPolicy::Step::giveUp);
  EXPECT_LE(policy.due(), 5 * kSec);
  policy.heard(now, false);  // it ended after all
  EXPECT_EQ(policy.due(), now + policy.options().silence);
}

// Discovery as a watch meets it: what becomes of connections begun in a phase, and of those that are open.
enum class Phase {
  serving,   // a new connection has at once what there is, and a beat every 2 s
  deaf,      // new connections stand but say nothing; open ones fall silent for good
  lost,      // new connections never come up; open ones fall silent for good
  refusing,  // new connections are refused; open ones are reset
  resetting  // new connections are reset after a moment; open ones too
};
struct Stretch {
  Phase phase;
  Micros length;
};

// Plays the policy through the stretches, then serves for good; tells how long after the begin of that the
// first word came.
Micros firstWord(const std::vector<Stretch>& stretches) {
  WatchPolicy policy;
  Micros now = 0;
  Micros until = 0;
  Micros servedSince = 0;
  for (const auto& s : stretches) servedSince += s.length;
  const auto phaseAt = [&](Micros at) {
    Micros end = 0;
    for (const auto& s : stretches)
      if (at < (end += s.length)) return s.phase;
    return Phase::serving;
  };
  constexpr Micros kNever = 1'000 * kSec;
  bool open = false;        // a connection is up, or being tried
  bool mute = false;        // and nothing will ever be said on it
  Micros failsAt = kNever;  // where it never comes up
  Micros beatAt = kNever;
  const auto begin = [&] {
    policy.begun(now);
    open = true;
    mute = phaseAt(now) == Phase::deaf || phaseAt(now) == Phase::lost;
    failsAt = phaseAt(now) == Phase::lost ? now + policy.options().connectWithin : kNever;
    beatAt = mute ? kNever : now + kMs;
  };
  begin();
  while (now < servedSince + 20 * kSec) {
    until = 0;
    Micros edge = kNever;
    for (const auto& s : stretches) {
      until += s.length;
      if (until > now) {
        edge = until;
        break;
      }
    }
    now = std::min({policy.due(), edge, beatAt, failsAt});
    const Phase phase = phaseAt(now);
    if (open && (phase == Phase::refusing || phase == Phase::resetting)) {
      open = false;
      beatAt = failsAt = kNever;
      policy.ended(now);
    } else if (open && (phase == Phase::deaf || phase == Phase::lost)) {
      mute = true;
      beatAt = kNever;
    }
    if (now == failsAt) {
      failsAt = kNever;
      if (open) policy.ended(now);
      open = false;
    }
    if (open && now == beatAt) {
      if (phase == Phase::serving && now >= servedSince) return now - servedSince;
      policy.heard(now, false);
      beatAt = now + 2 * kSec;
    }
    if (now >= policy.due()) {
      if (policy.next() == WatchPolicy::Step::begin) {
        begin();
      } else {
        open = false;
        beatAt = failsAt = kNever;
        policy.ended(now);
      }
    }
  }
  return kNever;
}

TEST(WatchPolicy, WhateverBefellItAChangeIsHeardWithinSixSecondsOfDiscoverysReturn) {
  std::vector<Stretch> kinds;
  for (const Phase phase : {Phase::serving, Phase::deaf, Phase::lost, Phase::refusing, Phase::resetting})
    for (const Micros length : {1 * kMs, 700 * kMs, 2'300 * kMs, 3'100 * kMs, 8'000 * kMs})
      kinds.push_back({phase, length});
  Micros longest = 0;
  for (const auto& a : kinds)
    for (const auto& b : kinds)
      for (const auto& c : kinds) longest = std::max(longest, firstWord({a, b, c}));
  EXPECT_LE(longest, 5 * kSec);  // and a second for the way
  EXPECT_GE(longest, 2 * kSec);  // the play does hold watches that were found silent
}

// A watch that falls silent while new ones are served: from its first second, or late.
TEST(WatchPolicy, ASilentWatchIsBegunAnewWithinTheBeat) {
  for (const Micros silentFrom : {0 * kMs, 1 * kMs, 900 * kMs, 13'000 * kMs, 60'000 * kMs}) {
    WatchPolicy policy;
    policy.begun(0);
    Micros heard = 0;
    for (Micros at = kMs; at <= silentFrom; at += 2 * kSec) policy.heard(heard = at, false);
    EXPECT_EQ(policy.next(), WatchPolicy::Step::giveUp);
    EXPECT_GT(policy.due(), heard + 2 * kSec);  // a beat is waited for
    policy.ended(policy.due());
    EXPECT_EQ(policy.next(), WatchPolicy::Step::begin);
    EXPECT_LE(policy.due(), std::max(silentFrom, kMs) + 3 * kSec);
  }
}

}  // namespace
}  // namespace garnethook::platform
