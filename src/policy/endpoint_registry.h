/// @file
/// Registry of all endpoints, with indices for frequent queries that would otherwise iterate over the whole
/// list: counts by role and zone, endpoints that this router has contacted, endpoints that may be warming up,
/// and a bounded subset of a large role for each request.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

#include "policy/endpoint.h"
#include "policy/hash.h"

namespace garnethook::policy {

/// Number of roles; arrays by role are indexed by roleIndex().
constexpr std::size_t kRoleCount = 3;
/// Index of a role in an array by role.
constexpr std::size_t roleIndex(Role role) { return static_cast<std::size_t>(role); }

/// Stores endpoints and maintains the indices.
class EndpointRegistry {
 public:
  /// Endpoints by identifier.
  using Endpoints = std::map<EndpointId, Endpoint>;
  /// A selection of endpoints.
  using Group = std::vector<const Endpoint*>;

  /// Largest role, in endpoints, of which each request considers every endpoint.
  static constexpr std::size_t kMaxFullyScannedRoleSize = 128;
  /// Size of this router's own subset of a larger role. Routers choose their subsets without coordination,
  /// and a subset changes little when endpoints are added or removed.
  static constexpr std::size_t kOwnSubsetSize = 64;
  /// Number of endpoints of one cell that are added to that subset, so that KV states of the cell's prefill
  /// endpoints can be decoded within the cell.
  static constexpr std::size_t kOwnSubsetPerCell = 2;

  /// `routerKey`: rendezvous hashing key of this router.
  explicit EndpointRegistry(PrefixKey routerKey) : routerKey_(routerKey) {}

  /// All endpoints, listed or not.
  Endpoints& all() { return endpoints_; }
  /// All endpoints, listed or not.
  const Endpoints& all() const { return endpoints_; }
  /// Returns an endpoint, adding it if it does not exist.
  Endpoint& at(EndpointId id) { return endpoints_[id]; }
  /// Returns an endpoint, or nullptr.
  Endpoint* find(EndpointId id) {
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
  }
  /// Returns an endpoint, or nullptr.
  const Endpoint* find(EndpointId id) const {
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
  }

  /// All endpoints of a role, listed or not, sorted by identifier.
  const std::vector<Endpoint*>& endpointsOfRole(Role role) const { return endpointsByRole_[roleIndex(role)]; }
  /// Number of listed endpoints of a role.
  std::size_t listedCount(Role role) const { return listedCountByRole_[roleIndex(role)]; }
  /// Number of listed endpoints in a zone.
  std::size_t listedCountInZone(std::size_t zone) const {
    const auto found = listedCountByZone_.find(zone);
    return found == listedCountByZone_.end() ? 0 : found->second;
  }
  /// Total KV cache capacity of the listed endpoints of a role, in tokens.
  double listedMemoryTokens(Role role) const { return memoryTokensByRole_[roleIndex(role)]; }

  /// Endpoints that this router has contacted, sorted by identifier.
  const std::map<EndpointId, Endpoint*>& contacted() const { return contacted_; }
  /// Adds an endpoint to the contacted endpoints.
  void markContacted(EndpointId id, Endpoint& endpoint) { contacted_.emplace(id, &endpoint); }

  /// Endpoints with a known start time that may be warming up; SlowStart removes the others.
  std::vector<Endpoint*>& recentlyStarted() { return recentlyStarted_; }

  /// Whether a role is too large for a request to consider all its endpoints.
  bool isLarge(Role role) const {
    return endpointsByRole_[roleIndex(role)].size() > kMaxFullyScannedRoleSize;
  }
  /// Returns this router's own subset of a large role and, unless `cell` is nullptr, some endpoints of the
  /// cell.
  Group ownSubset(Role role, const std::uint64_t* cell) const;

  /// Appends the `count` listed endpoints of a role with the lowest weighted rendezvous hash of `key`, in
  /// ascending order of the hash. Uses the weights as of the last rebuildHashIndex().
  void appendLowestHashes(Role role, PrefixKey key, std::size_t count, std::vector<EndpointId>& result);
  /// Must be called after a change of the weights or the endpoint list.
  void rebuildHashIndex();
  /// Must be called after a change of the endpoint list.
  void rebuildIndex();
  /// Removes endpoints that are neither listed nor have attempts in flight.
  void removeUnused();

 private:
  // Cache of hashing results per large role: number of keys, and least number of endpoints per key. An entry
  // takes about 200 bytes.
  static constexpr std::size_t kCachedKeys = 2048;
  static constexpr std::size_t kCachedEndpointsPerKey = 4;

  // The hashing inputs of a listed endpoint, stored contiguously.
  struct HashedEndpoint {
    std::uint64_t mixedId = 0;
    double weight = 1;
    EndpointId id;
  };

  void addToIndex(Endpoint& endpoint);
  void findLowestHashes(Role role, PrefixKey key, std::size_t count, std::vector<EndpointId>& result) const;
  void chooseOwnSubset(std::size_t role);

  PrefixKey routerKey_;
  Endpoints endpoints_;
  std::array<std::vector<Endpoint*>, kRoleCount> endpointsByRole_;
  std::array<std::vector<Endpoint*>, kRoleCount> ownSubsetByRole_;
  std::array<std::size_t, kRoleCount> listedCountByRole_{};
  std::array<double, kRoleCount> memoryTokensByRole_{};
  std::array<std::vector<HashedEndpoint>, kRoleCount> hashedByRole_;
  double maxHashWeight_ = 1;
  // By role and key.
  std::array<std::unordered_map<std::uint64_t, std::vector<EndpointId>>, kRoleCount> cachedLowestHashes_;
  std::map<std::size_t, std::size_t> listedCountByZone_;
  std::unordered_multimap<std::uint64_t, Endpoint*> endpointsByCell_;
  std::map<EndpointId, Endpoint*> contacted_;
  std::vector<Endpoint*> recentlyStarted_;
  bool hasUnlisted_ = false;
};

}  // namespace garnethook::policy
