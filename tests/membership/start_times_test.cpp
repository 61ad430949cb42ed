// Start times of endpoints on the monotonic clock, whatever the wall clocks say.
#include "membership/start_times.h"

#include <gtest/gtest.h>

namespace garnethook::test {
namespace {

using membership::EndpointMap;
using membership::EndpointSpec;
using membership::StartTimes;
using Source = StartTimes::Source;
using timing::UnixTime;

constexpr Micros kSecond = 1'000'000;
constexpr Micros kHour = 3600 * kSecond;
constexpr Micros kUnix = 1'700'000'000 * kSecond;  // true Unix time at monotonic time 0
constexpr Micros kNow = 100 * kSecond;

struct StartTimesTest : testing::TestWithParam<Micros> {
  // What this machine's wall clock shows at a monotonic time; the parameter is its error.
  static UnixTime wallClockAt(Micros now) { return {kUnix + now + GetParam()}; }
  // Endpoints by name, each with the monotonic time at which it truly started; 0: long ago.
  static EndpointMap list(const std::map<std::string, Micros>& starts) {
    EndpointMap endpoints;
    for (const auto& [name, start] : starts) {
      EndpointSpec endpoint;
      endpoint.name = name;
      endpoint.startedAt = {start == 0 ? 0 : kUnix + start};
      endpoints[name] = endpoint;
    }
    return endpoints;
  }
  Micros mappedStart(const std::map<std::string, Micros>& starts, const std::string& name, Micros now) {
    return startTimes.toMonotonic(list(starts), Source::discovery, now, wallClockAt(now)).at(name);
  }
  StartTimes startTimes;
};

TEST_P(StartTimesTest, MapsAFreshEndpointOfTheFirstListToARecentStart) {
  EXPECT_GE(mappedStart({{"old", 0}, {"fresh", kNow - kSecond / 2}}, "fresh", kNow), kNow - kSecond);
}

TEST_P(StartTimesTest, KeepsAnUnknownStartUnknown) {
  EXPECT_EQ(mappedStart({{"old", 0}, {"b", kNow}}, "old", kNow), 0);
}

TEST_P(StartTimesTest, MapsTheFirstListByItsLatestStart) {
  const std::map<std::string, Micros> starts{{"early", kNow - 60 * kSecond}, {"late", kNow - kSecond}};
  const Micros early = mappedStart(starts, "early", kNow);
  EXPECT_GE(early, kNow - 60 * kSecond);
  // Where only the latest start lies ahead of this machine's clock it is no evidence; the result may be
  // younger than the truth, never older.
  const bool isLatestAhead = GetParam() < -StartTimes::kMaxClockLead - kSecond && GetParam() > -60 * kSecond;
  if (!isLatestAhead) { EXPECT_LE(early, kNow - 59 * kSecond); }
}

TEST_P(StartTimesTest, MapsAReportedStartNoEarlierThanTheContactBefore) {
  mappedStart({{"a", 0}}, "a", kNow);
  startTimes.recordContact(kNow + 10 * kSecond);
  const Micros now = kNow + 11 * kSecond;
  EXPECT_GE(mappedStart({{"a", 0}, {"b", now - kSecond / 2}}, "b", now), now - kSecond);
  // An endpoint whose own clock is an hour behind.
  const Micros later = now + kSecond;
  EXPECT_GE(mappedStart({{"c", later - kHour}}, "c", later), now - StartTimes::kMaxReportDelay);
}

TEST_P(StartTimesTest, MapsByTheListsClockAfterALossOfContact) {
  mappedStart({{"a", kNow - kSecond / 10}}, "a", kNow);  // reported 0.1 s after its start
  startTimes.recordContact(kNow);
  const Micros now = kNow + 8 * kSecond;
  const Micros b = mappedStart({{"b", kNow + 2 * kSecond}}, "b", now);
  EXPECT_GE(b, kNow + 2 * kSecond);
  EXPECT_LE(b, kNow + 2 * kSecond + kSecond / 5);
}

TEST_P(StartTimesTest, NeverMapsIntoTheFutureAndKeepsAMappedStart) {
  const Micros first = mappedStart({{"a", kNow + kHour}, {"b", kNow - kSecond}}, "a", kNow);
  EXPECT_LE(first, kNow);
  EXPECT_EQ(mappedStart({{"a", kNow + kHour}, {"b", kNow - kSecond}}, "a", kNow + 5 * kSecond), first);
}

INSTANTIATE_TEST_SUITE_P(WallClocks, StartTimesTest,
                         testing::Values(0, 5 * kSecond, -5 * kSecond, kHour, -kHour, 24 * kHour,
                                         -24 * kHour));

// One endpoint's clock is an hour ahead and this machine's is right: the others keep their ages.
TEST(StartTimes, IgnoresAStartInTheFutureWhenMappingOthers) {
  StartTimes startTimes;
  EndpointMap endpoints;
  for (const auto& [name, start] : std::map<std::string, Micros>{{"ahead", kHour}, {"fresh", -kSecond}}) {
    endpoints[name].name = name;
    endpoints[name].startedAt = {kUnix + kNow + start};
  }
  const auto mapped = startTimes.toMonotonic(endpoints, Source::discovery, kNow, {kUnix + kNow});
  EXPECT_GE(mapped.at("fresh"), kNow - 2 * kSecond);
}

TEST(StartTimes, MapsStartsOfThePersistedCopyAnewOnceDiscoveryReports) {
  StartTimes startTimes;
  EndpointMap endpoints;
  endpoints["a"].startedAt = {kUnix + kNow - 60 * kSecond};
  EXPECT_EQ(startTimes.toMonotonic(endpoints, Source::persistedCopy, kNow, {kUnix + kNow}).at("a"), kNow);
  endpoints["b"].startedAt = {kUnix + kNow - kSecond};
  const auto mapped =
      startTimes.toMonotonic(endpoints, Source::discovery, kNow + kSecond / 100, {kUnix + kNow});
  EXPECT_LE(mapped.at("a"), kNow - 58 * kSecond);
  startTimes.retainOnly({});
}

}  // namespace
}  // namespace garnethook::test
