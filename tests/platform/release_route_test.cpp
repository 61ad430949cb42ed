// At which endpoints a release is tried.
#include "platform/engine/release_route.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace garnethook::platform {
namespace {

std::vector<std::uint64_t> numbers(const std::vector<EndpointId>& route) {
  std::vector<std::uint64_t> out;
  for (const EndpointId id : route) out.push_back(id.value);
  return out;
}

TEST(ReleaseRoute, TriesTheHolderThenItsCellThenOtherRunningEndpoints) {
  using engine::Responsiveness;
  const std::vector<ReleaseCandidate> all{
      {{1}, "a", "z"}, {{2}, "a", "z"}, {{3}, "b", "z"}, {{4}, "b", "z", false}};
  for (std::uint64_t request = 0; request < 9; ++request) {
    EXPECT_EQ(numbers(releaseRoute({2}, "z", all, request)), (std::vector<std::uint64_t>{2, 1, 3, 4}));
    auto silent = all;  // the holder and its cell are unresponsive
    for (auto& candidate : silent)
      candidate.responsiveness =
          candidate.cell == "a" ? Responsiveness::unresponsive : Responsiveness::responsive;
    EXPECT_EQ(numbers(releaseRoute({1}, "z", silent, request)), (std::vector<std::uint64_t>{3, 4, 1, 2}));
    silent[2].responsiveness = Responsiveness::unknown;  // never tried: before unresponsive ones
    EXPECT_EQ(numbers(releaseRoute({1}, "z", silent, request)), (std::vector<std::uint64_t>{4, 3, 1, 2}));
    const auto gone = numbers(releaseRoute({9}, "z", all, request));  // the holder is no longer listed
    ASSERT_EQ(gone.size(), 4u);
    EXPECT_EQ(gone.back(), 4u);
  }
  EXPECT_NE(releaseRoute({9}, "z", all, 0)[0], releaseRoute({9}, "z", all, 1)[0]);
  EXPECT_TRUE(releaseRoute({1}, "z", {}, 0).empty());
}

// Seen in a partition between zones: a router tried the holder's cell in the other zone in each round, for
// three seconds, while endpoints of its own zone would have responded.
TEST(ReleaseCandidates, AreABoundedPartOfALargeFleetAndTheHolder) {
  std::vector<EndpointId> all;
  for (std::uint64_t id = 1; id <= 3200; ++id) all.push_back({id});
  EXPECT_EQ(selectReleaseCandidates({all.begin(), all.begin() + 100}, {7}, 5).size(), 100u);
  std::set<std::uint64_t> seen;
  for (std::uint64_t request = 0; request < 60; ++request) {
    const auto window = selectReleaseCandidates(all, {7}, request);
    EXPECT_LE(window.size(), kMaxReleaseCandidates + 1);
    EXPECT_EQ(std::count(window.begin(), window.end(), EndpointId{7}), 1);
    for (const EndpointId id : window) seen.insert(id.value);
  }
  EXPECT_EQ(seen.size(), all.size());
  EXPECT_EQ(selectReleaseCandidates(all, {9999}, 3).size(),
            kMaxReleaseCandidates);  // a holder that is not listed
}

TEST(ReleaseRoute, TakesTurnsBetweenZonesStartingWithItsOwn) {
  std::vector<ReleaseCandidate> all;
  for (std::uint64_t i = 1; i <= 30; ++i)
    all.push_back(
        {{i}, i <= 10 ? "far" : "near", i <= 20 ? "other" : "own", true, engine::Responsiveness::responsive});
  for (std::uint64_t request = 0; request < 30; ++request) {
    const auto route = numbers(releaseRoute({5}, "own", all, request));
    ASSERT_EQ(route.size(), kMaxReleaseTargets);
    EXPECT_EQ(route[0], 5u);
    EXPECT_GT(route[1], 20u);
    EXPECT_LE(route[2], 20u);
    EXPECT_EQ(std::count_if(route.begin(), route.end(), [](auto id) { return id > 20; }), 4);
    EXPECT_EQ(std::set(route.begin(), route.end()).size(), route.size());
    // Unresponsive endpoints are tried again only after all others of their zone.
    auto later = all;
    for (auto& candidate : later)
      if (std::find(route.begin(), route.end(), candidate.endpoint.value) != route.end())
        candidate.responsiveness = engine::Responsiveness::unresponsive;
    for (const auto id : numbers(releaseRoute({5}, "own", later, request)))
      EXPECT_EQ(std::find(route.begin(), route.end(), id), route.end());
  }
  // All are tried within the time for a release.
  EXPECT_LE(static_cast<Micros>(kMaxReleaseTargets - 1) * releaseHedgeDelay(500'000), 500'000);
}

}  // namespace
}  // namespace garnethook::platform
