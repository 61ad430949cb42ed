/// @file
/// The endpoints that the policy knows, with indices so that the frequent questions need not walk the whole
/// list: counts by role and zone, endpoints that this router has dealt with, endpoints that may still warm
/// up, and a bounded subset of a large role for each request.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

#include "policy/endpoint.h"
#include "policy/hash.h"

namespace garnethook::policy {

/// Number of roles; arrays by role are indexed by roleIndex.
constexpr std::size_t kRoles = 3;
/// Index of a role in an array by role.
constexpr std::size_t roleIndex(Role role) { return static_cast<std::size_t>(role); }

/// Endpoints and their indices.
class EndpointRegistry {
 public:
  /// Endpoints by identifier.
  using Endpoints = std::map<EndpointId, Endpoint>;
  /// Some endpoints.
  using Group = std::vector<const Endpoint*>;

  /// Of a role of up to so many endpoints a request considers all.
  static constexpr std::size_t kMaxRoleScannedWhole = 128;
  /// Size of this router's own subset of a larger role, chosen without coordination, which moves little as
  /// endpoints come and go.
  static constexpr std::size_t kOwnSubsetSize = 64;
  /// Endpoints of one cell that join that subset, so that KV states of the cell's prefill endpoints stay in
  /// it.
  static constexpr std::size_t kOwnSubsetPerCell = 2;

  /// `routerHashKey`: this router's own order of the endpoints.
  explicit EndpointRegistry(PrefixKey routerHashKey) : routerHashKey_(routerHashKey) {}

  /// All endpoints.
  Endpoints& all() { return endpoints_; }
  /// All endpoints.
  const Endpoints& all() const { return endpoints_; }
  /// An endpoint, added if it is not known.
  Endpoint& at(EndpointId id) { return endpoints_[id]; }
  /// An endpoint, or nullptr.
  Endpoint* find(EndpointId id) {
    const auto at = endpoints_.find(id);
    return at == endpoints_.end() ? nullptr : &at->second;
  }
  /// An endpoint, or nullptr.
  const Endpoint* find(EndpointId id) const {
    const auto at = endpoints_.find(id);
    return at == endpoints_.end() ? nullptr : &at->second;
  }

  /// All endpoints of a role, in order of identifiers, listed or not.
  const std::vector<Endpoint*>& ofRole(Role role) const { return byRole_[roleIndex(role)]; }
  /// Number of listed endpoints of a role.
  std::size_t listedCount(Role role) const { return listedOfRole_[roleIndex(role)]; }
  /// Number of listed endpoints of a zone.
  std::size_t listedCountInZone(std::size_t zone) const {
    const auto at = listedInZone_.find(zone);
    return at == listedInZone_.end() ? 0 : at->second;
  }
  /// KV cache capacity of the listed endpoints of a role, in tokens.
  double listedMemoryTokens(Role role) const { return memoryOfRole_[roleIndex(role)]; }

  /// Endpoints that this router has dealt with, in order of identifiers.
  const std::map<EndpointId, Endpoint*>& contacted() const { return contacted_; }
  /// Counts an endpoint among those that this router has dealt with.
  void markContacted(EndpointId id, Endpoint& endpoint) { contacted_.emplace(id, &endpoint); }

  /// Endpoints that started at a known time and may still warm up; SlowStart removes those that don't.
  std::vector<Endpoint*>& recentlyStarted() { return recentlyStarted_; }

  /// Whether a role is too large for a request to consider all of it.
  bool isLarge(Role role) const { return byRole_[roleIndex(role)].size() > kMaxRoleScannedWhole; }
  /// This router's own subset of a large role, and some endpoints of the cell unless it is nullptr.
  Group ownSubset(Role role, const std::uint64_t* cell) const;

  /// Appends the `count` listed endpoints of a role with the lowest weighted rendezvous hash of the key, in
  /// its order; weights are those at the last rebuildHashIndex().
  void appendLowestHashes(Role role, PrefixKey key, std::size_t count, std::vector<EndpointId>& out);
  /// To be called when weights or the list have changed.
  void rebuildHashIndex();
  /// To be called when the list has changed.
  void rebuildIndex();
  /// Removes endpoints that are neither listed nor in use.
  void removeUnused();

 private:
  // Results kept for a large role: for so many keys, at least so many endpoints each; about 200 bytes a key.
  static constexpr std::size_t kCachedKeys = 2048;
  static constexpr std::size_t kCachedEndpointsPerKey = 4;

  // What hashing needs of a listed endpoint, side by side.
  struct HashedEndpoint {
    std::uint64_t mixedId = 0;
    double weight = 1;
    EndpointId id;
  };

  void addToIndex(Endpoint& endpoint);
  void findLowestHashes(Role role, PrefixKey key, std::size_t count, std::vector<EndpointId>& out) const;
  void chooseOwnSubset(std::size_t role);

  PrefixKey routerHashKey_;
  Endpoints endpoints_;
  std::array<std::vector<Endpoint*>, kRoles> byRole_;
  std::array<std::vector<Endpoint*>, kRoles> ownSubset_;
  std::array<std::size_t, kRoles> listedOfRole_{};
  std::array<double, kRoles> memoryOfRole_{};
  std::array<std::vector<HashedEndpoint>, kRoles> hashed_;
  double maxHashWeight_ = 1;
  std::array<std::unordered_map<std::uint64_t, std::vector<EndpointId>>, kRoles> cachedHashes_;  // by key
  std::map<std::size_t, std::size_t> listedInZone_;
  std::unordered_multimap<std::uint64_t, Endpoint*> byCell_;
  std::map<EndpointId, Endpoint*> contacted_;
  std::vector<Endpoint*> recentlyStarted_;
  bool hasUnlisted_ = false;
};

}  // namespace garnethook::policy
