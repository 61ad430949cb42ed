// The index of the servers, and what a request looks at in fleets of thousands.
#include "policy/endpoint_registry.h"

#include <gtest/gtest.h>

#include <cmath>
#include <iostream>
#include <map>
#include <set>

#include "support/busy_world.h"

namespace garnethook::test {
namespace {

// Readers, listed, with weights that differ; ids as far apart as real ones.
Fleet readers(std::size_t count, std::uint64_t router = 1) {
  Fleet fleet({mix(router)});
  for (std::size_t i = 0; i < count; ++i) {
    const EndpointId id{mix(i + 1)};
    Server& s = fleet.at(id);
    s.info.id = id;
    s.info.cell = i / 10;
    s.info.zone = i % 3;
    s.role = Role::prefill;
    s.listed = true;
    s.pull = 0.1 + 0.13 * static_cast<double>(i % 11);
  }
  fleet.reindex();
  fleet.indexHashes();
  return fleet;
}

std::vector<EndpointId> leastOfAll(const Fleet& fleet, PrefixKey key, std::size_t count) {
  std::vector<std::pair<double, EndpointId>> draws;
  for (const auto& [id, s] : fleet.all()) {
    const double draw = static_cast<double>(rendezvous(key, id) >> 11) + 0.5;
    draws.emplace_back(-std::log(draw / 9007199254740992.0) / s.pull, id);
  }
  std::sort(draws.begin(), draws.end());
  std::vector<EndpointId> out;
  for (std::size_t i = 0; i < count; ++i) out.push_back(draws[i].second);
  return out;
}

TEST(Fleet, HomesAreThoseOfTheWholeOrder) {
  for (const std::size_t size : {7, 100, 500}) {
    Fleet fleet = readers(size);
    for (std::uint64_t key = 1; key < 200; ++key)
      for (const std::size_t count : {1, 2, 4, 6}) {
        std::vector<EndpointId> homes;
        fleet.leastByWeightedHash(Role::prefill, {key}, count, homes);
        ASSERT_EQ(homes, leastOfAll(fleet, {key}, count)) << size << " " << key << " " << count;
      }
  }
}

TEST(Fleet, HomesFollowTheList) {
  Fleet fleet = readers(500);
  std::vector<EndpointId> before, after;
  fleet.leastByWeightedHash(Role::prefill, {9}, 2, before);
  fleet.at(before[0]).listed = false;
  fleet.reindex();
  fleet.indexHashes();
  fleet.leastByWeightedHash(Role::prefill, {9}, 1, after);
  EXPECT_EQ(after, std::vector<EndpointId>{before[1]});
}

TEST(Fleet, APartMovesLittleAsServersComeAndGo) {
  Fleet fleet = readers(1000);
  const auto ids = [&] {
    std::set<EndpointId> out;
    for (const Server* s : fleet.part(Role::prefill, nullptr)) out.insert(s->info.id);
    return out;
  };
  const auto before = ids();
  ASSERT_EQ(before.size(), Fleet::kOwnPart);
  fleet.at(*before.begin()).listed = false;
  fleet.reindex();
  const auto after = ids();
  EXPECT_EQ(after.size(), Fleet::kOwnPart);
  std::size_t kept = 0;
  for (const EndpointId id : after) kept += before.count(id);
  EXPECT_EQ(kept, Fleet::kOwnPart - 1);
}

TEST(Fleet, ThePartsOfAllRoutersCoverTheServersAlike) {
  constexpr std::size_t kServers = 800;
  constexpr std::size_t kRouters = 300;
  std::map<EndpointId, std::size_t> uses;
  for (std::uint64_t router = 0; router < kRouters; ++router) {
    const Fleet fleet = readers(kServers, router);
    for (const Server* s : fleet.part(Role::prefill, nullptr)) ++uses[s->info.id];
  }
  constexpr double kMean = static_cast<double>(kRouters * Fleet::kOwnPart) / kServers;
  EXPECT_EQ(uses.size(), kServers);
  for (const auto& [id, count] : uses) {
    EXPECT_GT(static_cast<double>(count), 0.2 * kMean);
    EXPECT_LT(static_cast<double>(count), 2.0 * kMean);
  }
}

TEST(Fleet, WhatHasGoneIsForgotten) {
  Fleet fleet = readers(200);
  const EndpointId id = fleet.all().begin()->first;
  fleet.meet(id, fleet.at(id));
  fleet.at(id).listed = false;
  fleet.reindex();
  fleet.forgetGone();
  EXPECT_EQ(fleet.find(id), nullptr);
  EXPECT_TRUE(fleet.met().empty());
  EXPECT_EQ(fleet.listed(Role::prefill), 199u);
}

struct SizeResult {
  double served = 0;
  std::size_t serversUsed = 0;
};

// 80 requests a second for 8 s, as one router of a platform may see.
SizeResult playAt(std::size_t servers, double errors) {
  BusyOptions options;
  options.servers = servers;
  options.perSecond = 80;
  options.seconds = 8;
  options.errors = errors;
  BusyWorld world(options);
  std::set<EndpointId> used;
  world.play([&](auto, const auto&, const auto& actions) {
    for (const Action& a : actions)
      if (const auto* send = std::get_if<Send>(&a)) used.insert(send->endpoint);
  });
  return {static_cast<double>(world.served) / static_cast<double>(world.requests), used.size()};
}

// The servers that a router meets bound its connections; what it serves must not suffer by it.
TEST(LargeFleet, OfThousandsARouterMeetsABoundedPartAndServesAsMuch) {
  for (const double errors : {0.0, 0.05}) {
    const SizeResult usual = playAt(200, errors);
    const SizeResult large = playAt(3200, errors);
    EXPECT_LE(large.serversUsed, usual.serversUsed * 5 / 2 + 40);
    EXPECT_GE(large.served, 0.97 * usual.served);
    std::cout << "served " << usual.served << " and " << large.served << ", servers met " << usual.serversUsed
              << " and " << large.serversUsed << "\n";
  }
}

}  // namespace
}  // namespace garnethook::test
