// Tests the endpoint index, and the bounded set of endpoints that a router uses in a large fleet.
#include "policy/endpoint_registry.h"

#include <gtest/gtest.h>

#include <cmath>
#include <iostream>
#include <map>
#include <set>

#include "policy/traffic_simulation.h"

namespace garnethook::test {
namespace {

using policy::Endpoint;
using policy::EndpointRegistry;

// Returns a registry of listed prefill endpoints with different weights, and with identifiers spread over the
// whole range, as in production.
EndpointRegistry prefillEndpoints(std::size_t count, std::uint64_t router = 1) {
  EndpointRegistry registry({policy::mixBits(router)});
  for (std::size_t i = 0; i < count; ++i) {
    const EndpointId id{policy::mixBits(i + 1)};
    Endpoint& endpoint = registry.at(id);
    endpoint.entry.id = id;
    endpoint.entry.cell = i / 10;
    endpoint.entry.zone = i % 3;
    endpoint.role = Role::prefill;
    endpoint.isListed = true;
    endpoint.hashWeight = 0.1 + 0.13 * static_cast<double>(i % 11);
  }
  registry.rebuildIndex();
  registry.rebuildHashIndex();
  return registry;
}

// Reference implementation: returns the endpoints with the lowest weighted rendezvous hashes, by hashing and
// sorting all of them.
std::vector<EndpointId> lowestHashes(const EndpointRegistry& registry, PrefixKey key, std::size_t count) {
  std::vector<std::pair<double, EndpointId>> hashes;
  for (const auto& [id, endpoint] : registry.all()) {
    const double unitHash = static_cast<double>(policy::rendezvousHash(key, id) >> 11) + 0.5;
    hashes.emplace_back(-std::log(unitHash / 9007199254740992.0) / endpoint.hashWeight, id);
  }
  std::sort(hashes.begin(), hashes.end());
  std::vector<EndpointId> lowest;
  for (std::size_t i = 0; i < count; ++i) lowest.push_back(hashes[i].second);
  return lowest;
}

TEST(EndpointRegistry, FindsTheLowestHashesOfAllEndpoints) {
  for (const std::size_t size : {7, 100, 500}) {
    EndpointRegistry registry = prefillEndpoints(size);
    for (std::uint64_t key = 1; key < 200; ++key)
      for (const std::size_t count : {1, 2, 4, 6}) {
        std::vector<EndpointId> found;
        registry.appendLowestHashes(Role::prefill, {key}, count, found);
        ASSERT_EQ(found, lowestHashes(registry, {key}, count)) << size << " " << key << " " << count;
      }
  }
}

TEST(EndpointRegistry, FindsTheNextLowestHashWhenAnEndpointLeavesTheList) {
  EndpointRegistry registry = prefillEndpoints(500);
  std::vector<EndpointId> before;
  std::vector<EndpointId> after;
  registry.appendLowestHashes(Role::prefill, {9}, 2, before);
  registry.at(before[0]).isListed = false;
  registry.rebuildIndex();
  registry.rebuildHashIndex();
  registry.appendLowestHashes(Role::prefill, {9}, 1, after);
  EXPECT_EQ(after, std::vector<EndpointId>{before[1]});
}

TEST(EndpointRegistry, ReplacesOneEndpointOfTheOwnSubsetWhenOneLeaves) {
  EndpointRegistry registry = prefillEndpoints(1000);
  const auto ownSubset = [&] {
    std::set<EndpointId> ids;
    for (const Endpoint* endpoint : registry.ownSubset(Role::prefill, nullptr))
      ids.insert(endpoint->entry.id);
    return ids;
  };
  const auto before = ownSubset();
  ASSERT_EQ(before.size(), EndpointRegistry::kOwnSubsetSize);
  registry.at(*before.begin()).isListed = false;
  registry.rebuildIndex();
  const auto after = ownSubset();
  EXPECT_EQ(after.size(), EndpointRegistry::kOwnSubsetSize);
  std::size_t kept = 0;
  for (const EndpointId id : after) kept += before.count(id);
  EXPECT_EQ(kept, EndpointRegistry::kOwnSubsetSize - 1);
}

TEST(EndpointRegistry, CoversAllEndpointsEvenlyWithTheSubsetsOfAllRouters) {
  constexpr std::size_t kEndpoints = 800;
  constexpr std::size_t kRouters = 300;
  std::map<EndpointId, std::size_t> uses;
  for (std::uint64_t router = 0; router < kRouters; ++router) {
    const EndpointRegistry registry = prefillEndpoints(kEndpoints, router);
    for (const Endpoint* endpoint : registry.ownSubset(Role::prefill, nullptr)) ++uses[endpoint->entry.id];
  }
  constexpr double kMean = static_cast<double>(kRouters * EndpointRegistry::kOwnSubsetSize) / kEndpoints;
  EXPECT_EQ(uses.size(), kEndpoints);
  for (const auto& [id, count] : uses) {
    EXPECT_GT(static_cast<double>(count), 0.2 * kMean);
    EXPECT_LT(static_cast<double>(count), 2.0 * kMean);
  }
}

TEST(EndpointRegistry, RemovesAnEndpointThatIsNeitherListedNorInUse) {
  EndpointRegistry registry = prefillEndpoints(200);
  const EndpointId id = registry.all().begin()->first;
  registry.markContacted(id, registry.at(id));
  registry.at(id).isListed = false;
  registry.rebuildIndex();
  registry.removeUnused();
  EXPECT_EQ(registry.find(id), nullptr);
  EXPECT_TRUE(registry.contacted().empty());
  EXPECT_EQ(registry.listedCount(Role::prefill), 199U);
}

struct FleetResult {
  double completedShare = 0;
  std::size_t endpointsUsed = 0;
};

// Simulates 8 s at 80 requests a second, a load that one router of a platform may have.
FleetResult simulateFleet(std::size_t endpointCount, double failureShare) {
  SimulationOptions options;
  options.endpoints = endpointCount;
  options.requestsPerSecond = 80;
  options.durationSeconds = 8;
  options.failureShare = failureShare;
  TrafficSimulation simulation(options);
  std::set<EndpointId> usedEndpoints;
  simulation.run([&](auto, const auto&, const auto& actions) {
    for (const Action& action : actions)
      if (const auto* send = std::get_if<Send>(&action)) usedEndpoints.insert(send->endpoint);
  });
  return {static_cast<double>(simulation.completedRequests) / static_cast<double>(simulation.arrivedRequests),
          usedEndpoints.size()};
}

// A router uses a bounded set of endpoints, which limits its connections. This must not reduce the share of
// completed requests.
TEST(LargeFleet, CompletesAsManyRequestsThroughABoundedSetOfEndpoints) {
  for (const double failureShare : {0.0, 0.05}) {
    const FleetResult medium = simulateFleet(200, failureShare);
    const FleetResult large = simulateFleet(3200, failureShare);
    EXPECT_LE(large.endpointsUsed, medium.endpointsUsed * 5 / 2 + 40);
    EXPECT_GE(large.completedShare, 0.97 * medium.completedShare);
    std::cout << "completed share " << medium.completedShare << " and " << large.completedShare
              << ", endpoints used " << medium.endpointsUsed << " and " << large.endpointsUsed << "\n";
  }
}

}  // namespace
}  // namespace garnethook::test
