// Mapping of endpoint start times to the monotonic clock, with correct and incorrect wall clocks.
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
constexpr Micros kUnixTimeAtMonotonicZero = 1'700'000'000 * kSecond;  // actual Unix time at monotonic time 0
constexpr Micros kNow = 100 * kSecond;

struct StartTimesTest : testing::TestWithParam<Micros> {
  // This machine's wall clock at a monotonic time; the test parameter is its error.
  static UnixTime wallClockAt(Micros now) { return {kUnixTimeAtMonotonicZero + now + GetParam()}; }
  // Endpoints by name, each with the monotonic time at which it actually started; 0 means long ago.
  static EndpointMap endpointsStartedAt(const std::map<std::string, Micros>& starts) {
    EndpointMap endpoints;
    for (const auto& [name, start] : starts) {
      EndpointSpec endpoint;
      endpoint.name = name;
      endpoint.startedAt = {start == 0 ? 0 : kUnixTimeAtMonotonicZero + start};
      endpoints[name] = endpoint;
    }
    return endpoints;
  }
  Micros mappedStart(const std::map<std::string, Micros>& starts, const std::string& name, Micros now) {
    return startTimes.toMonotonic(endpointsStartedAt(starts), Source::discovery, now, wallClockAt(now))
        .at(name);
  }
  StartTimes startTimes;
};

TEST_P(StartTimesTest, MapsARecentlyStartedEndpointOfTheFirstListToARecentStart) {
  EXPECT_GE(mappedStart({{"old", 0}, {"fresh", kNow - kSecond / 2}}, "fresh", kNow), kNow - kSecond);
}

TEST_P(StartTimesTest, KeepsAnUnknownStartUnknown) {
  EXPECT_EQ(mappedStart({{"old", 0}, {"b", kNow}}, "old", kNow), 0);
}

TEST_P(StartTimesTest, MapsTheFirstListByItsLatestStart) {
  const std::map<std::string, Micros> starts{{"early", kNow - 60 * kSecond}, {"late", kNow - kSecond}};
  const Micros mappedEarly = mappedStart(starts, "early", kNow);
  EXPECT_GE(mappedEarly, kNow - 60 * kSecond);
  // If only the latest start is ahead of this machine's clock, it is not used for the mapping. The result may
  // then be later than the actual start, never earlier.
  const bool isLatestAhead = GetParam() < -StartTimes::kMaxClockLead - kSecond && GetParam() > -60 * kSecond;
  if (!isLatestAhead) { EXPECT_LE(mappedEarly, kNow - 59 * kSecond); }
}

TEST_P(StartTimesTest, MapsAReportedStartNoEarlierThanThePreviousContact) {
  mappedStart({{"a", 0}}, "a", kNow);
  startTimes.recordContact(kNow + 10 * kSecond);
  const Micros now = kNow + 11 * kSecond;
  EXPECT_GE(mappedStart({{"a", 0}, {"b", now - kSecond / 2}}, "b", now), now - kSecond);
  // An endpoint whose clock is an hour behind.
  const Micros later = now + kSecond;
  EXPECT_GE(mappedStart({{"c", later - kHour}}, "c", later), now - StartTimes::kMaxReportDelay);
}

TEST_P(StartTimesTest, MapsByTheListsClockAfterALossOfContact) {
  mappedStart({{"a", kNow - kSecond / 10}}, "a", kNow);  // reported 0.1 s after its start
  startTimes.recordContact(kNow);
  const Micros now = kNow + 8 * kSecond;
  const Micros startOfB = mappedStart({{"b", kNow + 2 * kSecond}}, "b", now);
  EXPECT_GE(startOfB, kNow + 2 * kSecond);
  EXPECT_LE(startOfB, kNow + 2 * kSecond + kSecond / 5);
}

TEST_P(StartTimesTest, NeverMapsIntoTheFutureAndKeepsAMappedStart) {
  const Micros first = mappedStart({{"a", kNow + kHour}, {"b", kNow - kSecond}}, "a", kNow);
  EXPECT_LE(first, kNow);
  EXPECT_EQ(mappedStart({{"a", kNow + kHour}, {"b", kNow - kSecond}}, "a", kNow + 5 * kSecond), first);
}

// Prevents an endpoint that runs without a restart from being dated anew, and so from being limited as if it
// were cold, when one full list lacks it.
TEST_P(StartTimesTest, KeepsTheStartOfAnEndpointThatWasMissingFromAList) {
  const Micros first = mappedStart({{"a", kNow - 60 * kSecond}, {"b", kNow - kSecond}}, "a", kNow);
  mappedStart({{"b", kNow - kSecond}}, "b", kNow + 20 * kSecond);
  startTimes.limitUnlisted(endpointsStartedAt({{"b", kNow - kSecond}}));
  const Micros again =
      mappedStart({{"a", kNow - 60 * kSecond}, {"b", kNow - kSecond}}, "a", kNow + 21 * kSecond);
  EXPECT_EQ(again, first);
}

// Prevents a cold endpoint from counting as warm after an entry without a start time, as in a list that is
// older than the start.
TEST_P(StartTimesTest, KeepsAKnownStartThroughAnEntryWithoutOne) {
  mappedStart({{"a", 0}, {"b", kNow - 60 * kSecond}}, "a", kNow);
  const Micros now = kNow + 10 * kSecond;
  const Micros mapped = mappedStart({{"a", now - kSecond}}, "a", now);
  EXPECT_GE(mapped, now - kSecond);
  EXPECT_EQ(mappedStart({{"a", 0}}, "a", now + kSecond), mapped);
  EXPECT_EQ(mappedStart({{"a", now - kSecond}}, "a", now + 2 * kSecond), mapped);
}

// Prevents an endpoint from counting as warm too early when a list reports its previous start again.
TEST_P(StartTimesTest, MovesTheStartOfAnEndpointOnlyForward) {
  mappedStart({{"a", kNow - kHour}, {"b", kNow - kSecond}}, "a", kNow);
  const Micros now = kNow + 10 * kSecond;
  startTimes.recordContact(now);
  const Micros mapped = mappedStart({{"a", now}}, "a", now);
  EXPECT_GE(mappedStart({{"a", kNow - kHour}}, "a", now + kSecond / 10), mapped);
  EXPECT_GE(mappedStart({{"a", now}}, "a", now + kSecond / 5), mapped);
}

INSTANTIATE_TEST_SUITE_P(WallClocks, StartTimesTest,
                         testing::Values(0, 5 * kSecond, -5 * kSecond, kHour, -kHour, 24 * kHour,
                                         -24 * kHour));

// One endpoint's clock is an hour ahead and this machine's is correct: the mapping of the others is
// unaffected.
TEST(StartTimes, IgnoresAStartInTheFutureWhenMappingOthers) {
  StartTimes startTimes;
  EndpointMap endpoints;
  for (const auto& [name, start] : std::map<std::string, Micros>{{"ahead", kHour}, {"fresh", -kSecond}}) {
    endpoints[name].name = name;
    endpoints[name].startedAt = {kUnixTimeAtMonotonicZero + kNow + start};
  }
  const auto mapped =
      startTimes.toMonotonic(endpoints, Source::discovery, kNow, {kUnixTimeAtMonotonicZero + kNow});
  EXPECT_GE(mapped.at("fresh"), kNow - 2 * kSecond);
}

TEST(StartTimes, RemapsStartsOfThePersistedCopyOnceDiscoveryReports) {
  StartTimes startTimes;
  EndpointMap endpoints;
  endpoints["a"].startedAt = {kUnixTimeAtMonotonicZero + kNow - 60 * kSecond};
  EXPECT_EQ(startTimes.toMonotonic(endpoints, Source::persistedCopy, kNow, {kUnixTimeAtMonotonicZero + kNow})
                .at("a"),
            kNow);
  endpoints["b"].startedAt = {kUnixTimeAtMonotonicZero + kNow - kSecond};
  const auto mapped = startTimes.toMonotonic(endpoints, Source::discovery, kNow + kSecond / 100,
                                             {kUnixTimeAtMonotonicZero + kNow});
  EXPECT_LE(mapped.at("a"), kNow - 58 * kSecond);
}

// Endpoints that leave and are replaced under new names must not take up memory for good.
TEST(StartTimes, StoresALimitedNumberOfEndpointsThatAreNotListed) {
  StartTimes startTimes;
  EndpointMap listed;
  for (std::size_t i = 0; i <= StartTimes::kMaxUnlisted; ++i) {
    EndpointMap endpoints;
    endpoints[std::to_string(i)].startedAt = {kUnixTimeAtMonotonicZero + kNow};
    if (i == 0) listed = endpoints;
    startTimes.toMonotonic(endpoints, Source::discovery, kNow, {kUnixTimeAtMonotonicZero + kNow});
  }
  startTimes.limitUnlisted(listed);
  EXPECT_EQ(startTimes.size(), StartTimes::kMaxUnlisted + 1);
  startTimes.limitUnlisted({});
  EXPECT_EQ(startTimes.size(), 0U);
}

}  // namespace
}  // namespace garnethook::test
