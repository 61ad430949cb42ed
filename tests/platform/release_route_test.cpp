// Tests the selection and order of the endpoints to which a release is sent.
#include "platform/engine/release_route.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace garnethook::platform {
namespace {

std::vector<std::uint64_t> endpointNumbers(const std::vector<EndpointId>& route) {
  std::vector<std::uint64_t> values;
  for (const EndpointId id : route) values.push_back(id.value);
  return values;
}

TEST(ReleaseRoute, OrdersTheHolderThenItsCellThenOtherRunningEndpoints) {
  using engine::Responsiveness;
  const std::vector<ReleaseCandidate> candidates{
      {{1}, "a", "z"}, {{2}, "a", "z"}, {{3}, "b", "z"}, {{4}, "b", "z", false}};
  for (std::uint64_t request = 0; request < 9; ++request) {
    EXPECT_EQ(endpointNumbers(releaseRoute({2}, "z", candidates, request)),
              (std::vector<std::uint64_t>{2, 1, 3, 4}));
    auto withUnresponsive = candidates;  // the holder and its cell are unresponsive
    for (auto& candidate : withUnresponsive)
      candidate.responsiveness =
          candidate.cell == "a" ? Responsiveness::unresponsive : Responsiveness::responsive;
    EXPECT_EQ(endpointNumbers(releaseRoute({1}, "z", withUnresponsive, request)),
              (std::vector<std::uint64_t>{3, 4, 1, 2}));
    // Endpoints that were never tried come before unresponsive ones.
    withUnresponsive[2].responsiveness = Responsiveness::unknown;
    EXPECT_EQ(endpointNumbers(releaseRoute({1}, "z", withUnresponsive, request)),
              (std::vector<std::uint64_t>{4, 3, 1, 2}));
    // The holder is no longer listed.
    const auto routeWithoutHolder = endpointNumbers(releaseRoute({9}, "z", candidates, request));
    ASSERT_EQ(routeWithoutHolder.size(), 4u);
    EXPECT_EQ(routeWithoutHolder.back(), 4u);
  }
  EXPECT_NE(releaseRoute({9}, "z", candidates, 0)[0], releaseRoute({9}, "z", candidates, 1)[0]);
  EXPECT_TRUE(releaseRoute({1}, "z", {}, 0).empty());
}

TEST(ReleaseCandidates, AreALimitedPartOfALargeFleetAndTheHolder) {
  std::vector<EndpointId> candidates;
  for (std::uint64_t id = 1; id <= 3200; ++id) candidates.push_back({id});
  EXPECT_EQ(selectReleaseCandidates({candidates.begin(), candidates.begin() + 100}, {7}, 5).size(), 100u);
  std::set<std::uint64_t> consideredEndpoints;
  for (std::uint64_t request = 0; request < 60; ++request) {
    const auto window = selectReleaseCandidates(candidates, {7}, request);
    EXPECT_LE(window.size(), kMaxReleaseCandidates + 1);
    EXPECT_EQ(std::count(window.begin(), window.end(), EndpointId{7}), 1);
    for (const EndpointId id : window) consideredEndpoints.insert(id.value);
  }
  EXPECT_EQ(consideredEndpoints.size(), candidates.size());
  // The holder is not listed.
  EXPECT_EQ(selectReleaseCandidates(candidates, {9999}, 3).size(), kMaxReleaseCandidates);
}

// Prevents a failure seen in a partition between zones: in each round, for three seconds, a router tried only
// the holder's cell in the other zone, while endpoints of its own zone would have responded.
TEST(ReleaseRoute, AlternatesBetweenZonesStartingWithTheOwnZone) {
  std::vector<ReleaseCandidate> candidates;
  for (std::uint64_t i = 1; i <= 30; ++i)
    candidates.push_back(
        {{i}, i <= 10 ? "far" : "near", i <= 20 ? "other" : "own", true, engine::Responsiveness::responsive});
  for (std::uint64_t request = 0; request < 30; ++request) {
    const auto route = endpointNumbers(releaseRoute({5}, "own", candidates, request));
    ASSERT_EQ(route.size(), kMaxReleaseTargets);
    EXPECT_EQ(route[0], 5u);
    EXPECT_GT(route[1], 20u);
    EXPECT_LE(route[2], 20u);
    EXPECT_EQ(std::count_if(route.begin(), route.end(), [](auto id) { return id > 20; }), 4);
    EXPECT_EQ(std::set(route.begin(), route.end()).size(), route.size());
    // Unresponsive endpoints are tried only after all other endpoints of their zone.
    auto nextRoundCandidates = candidates;
    for (auto& candidate : nextRoundCandidates)
      if (std::find(route.begin(), route.end(), candidate.endpoint.value) != route.end())
        candidate.responsiveness = engine::Responsiveness::unresponsive;
    for (const auto id : endpointNumbers(releaseRoute({5}, "own", nextRoundCandidates, request)))
      EXPECT_EQ(std::find(route.begin(), route.end(), id), route.end());
  }
  // All targets are tried within the time limit of a release.
  EXPECT_LE(static_cast<Micros>(kMaxReleaseTargets - 1) * releaseHedgeDelay(500'000), 500'000);
}

}  // namespace
}  // namespace garnethook::platform
