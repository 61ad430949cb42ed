// Starts of engines on the process's own clock, whatever the wall clocks say.
#include "membership/start_times.h"

#include <gtest/gtest.h>

namespace garnethook::test {
namespace {

using membership::EndpointMap;
using membership::EndpointSpec;
using membership::StartTimes;

constexpr Micros kSecond = 1'000'000;
constexpr Micros kHour = 3600 * kSecond;
constexpr Micros kUnix = 1'700'000'000 * kSecond;  // Unix time at monotonic time 0, truly
constexpr Micros kNow = 100 * kSecond;

struct StartDatesTest : testing::TestWithParam<Micros> {
  // What this machine's wall clock says at a monotonic time; the parameter is how far it is off.
  Micros wall(Micros now) const { return kUnix + now + GetParam(); }
  // Engines by name, each with the monotonic time at which it truly started; 0: long ago.
  static EndpointMap list(const std::map<std::string, Micros>& starts) {
    EndpointMap out;
    for (const auto& [name, start] : starts) {
      EndpointSpec e;
      e.name = name;
      e.startedAt = start == 0 ? 0 : kUnix + start;
      out[name] = e;
    }
    return out;
  }
  Micros dated(const std::map<std::string, Micros>& starts, const std::string& name, Micros now) {
    return dates.date(list(starts), false, now, wall(now)).at(name).startedAt;
  }
  StartTimes dates;
};

TEST_P(StartDatesTest, AFreshEngineOfTheFirstListIsFresh) {
  EXPECT_GE(dated({{"old", 0}, {"fresh", kNow - kSecond / 2}}, "fresh", kNow), kNow - kSecond);
}

TEST_P(StartDatesTest, LongAgoStaysLongAgo) { EXPECT_EQ(dated({{"old", 0}, {"b", kNow}}, "old", kNow), 0); }

TEST_P(StartDatesTest, EnginesOfTheFirstListAreAsOldAsTheLatestStartProves) {
  const std::map<std::string, Micros> starts{{"early", kNow - 60 * kSecond}, {"late", kNow - kSecond}};
  const Micros early = dated(starts, "early", kNow);
  EXPECT_GE(early, kNow - 60 * kSecond);
  // Where the latest start alone lies ahead of this machine's clock it proves nothing: younger, never older.
  const bool latestAhead = GetParam() < -StartTimes::kMostAhead - kSecond && GetParam() > -60 * kSecond;
  if (!latestAhead) { EXPECT_LE(early, kNow - 59 * kSecond); }
}

TEST_P(StartDatesTest, AStartThatIsHeardOfIsNotOlderThanTheWordBefore) {
  dated({{"a", 0}}, "a", kNow);
  dates.heard(kNow + 10 * kSecond);
  const Micros now = kNow + 11 * kSecond;
  EXPECT_GE(dated({{"a", 0}, {"b", now - kSecond / 2}}, "b", now), now - kSecond);
  // An engine whose own clock is an hour behind.
  const Micros later = now + kSecond;
  EXPECT_GE(dated({{"c", later - kHour}}, "c", later), now - StartTimes::kToldLate);
}

TEST_P(StartDatesTest, AfterASilenceTheListsClockTellsHowOldAStartIs) {
  dated({{"a", kNow - kSecond / 10}}, "a", kNow);  // told 0.1 s behind its start
  dates.heard(kNow);
  const Micros now = kNow + 8 * kSecond;
  const Micros b = dated({{"b", kNow + 2 * kSecond}}, "b", now);
  EXPECT_GE(b, kNow + 2 * kSecond);
  EXPECT_LE(b, kNow + 2 * kSecond + kSecond / 5);
}

TEST_P(StartDatesTest, NoDateLiesAheadAndADateStands) {
  const Micros first = dated({{"a", kNow + kHour}, {"b", kNow - kSecond}}, "a", kNow);
  EXPECT_LE(first, kNow);
  EXPECT_EQ(dated({{"a", kNow + kHour}, {"b", kNow - kSecond}}, "a", kNow + 5 * kSecond), first);
}

INSTANTIATE_TEST_SUITE_P(WallClocks, StartDatesTest,
                         testing::Values(0, 5 * kSecond, -5 * kSecond, kHour, -kHour, 24 * kHour,
                                         -24 * kHour));

// One engine's clock is an hour ahead, this machine's is right: the others' ages stand.
TEST(StartTimes, AStartInTheFutureIsNoEvidenceForOthers) {
  StartTimes dates;
  EndpointMap engines;
  for (const auto& [name, start] : std::map<std::string, Micros>{{"ahead", kHour}, {"fresh", -kSecond}}) {
    engines[name].name = name;
    engines[name].startedAt = kUnix + kNow + start;
  }
  const EndpointMap dated = dates.date(engines, false, kNow, kUnix + kNow);
  EXPECT_GE(dated.at("fresh").startedAt, kNow - 2 * kSecond);
}

TEST(StartTimes, TheFirstListThatIsToldDatesRememberedStartsAnew) {
  StartTimes dates;
  EndpointMap engines;
  engines["a"].startedAt = kUnix + kNow - 60 * kSecond;
  EXPECT_EQ(dates.date(engines, true, kNow, kUnix + kNow).at("a").startedAt, kNow);
  engines["b"].startedAt = kUnix + kNow - kSecond;
  const EndpointMap told = dates.date(engines, false, kNow + kSecond / 100, kUnix + kNow);
  EXPECT_LE(told.at("a").startedAt, kNow - 58 * kSecond);
  dates.keepOnly({});
}

}  // namespace
}  // namespace garnethook::test
