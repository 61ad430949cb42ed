#include "policy/endpoint_registry.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace garnethook::policy {

EndpointRegistry::Group EndpointRegistry::ownSubset(Role role, const std::uint64_t* cell) const {
  const auto& own = ownSubset_[roleIndex(role)];
  Group subset(own.begin(), own.end());
  if (cell == nullptr) return subset;
  std::vector<std::pair<std::uint64_t, const Endpoint*>> ofCell;
  const auto [from, to] = byCell_.equal_range(*cell);
  for (auto at = from; at != to; ++at)
    if (at->second->role == role && at->second->isListed)
      ofCell.emplace_back(~rendezvousHash(routerHashKey_, at->second->entry.id), at->second);
  std::sort(ofCell.begin(), ofCell.end());
  const std::size_t count = std::min(ofCell.size(), kOwnSubsetPerCell);
  for (std::size_t i = 0; i < count; ++i) subset.push_back(ofCell[i].second);
  return subset;
}

void EndpointRegistry::appendLowestHashes(Role role, PrefixKey key, std::size_t count,
                                          std::vector<EndpointId>& out) {
  if (!isLarge(role)) return findLowestHashes(role, key, count, out);
  auto& cache = cachedHashes_[roleIndex(role)];
  if (cache.size() >= kCachedKeys && !cache.contains(key.value)) cache.clear();
  auto& cached = cache.try_emplace(key.value).first->second;
  const std::size_t wanted = std::min(count, hashed_[roleIndex(role)].size());
  if (cached.size() < wanted) {
    cached.clear();
    findLowestHashes(role, key, std::bit_ceil(std::max(count, kCachedEndpointsPerKey)), cached);
  }
  const auto end = cached.begin() + static_cast<std::ptrdiff_t>(std::min(count, cached.size()));
  out.insert(out.end(), cached.begin(), end);
}

void EndpointRegistry::rebuildHashIndex() {
  maxHashWeight_ = 0;
  for (auto& cache : cachedHashes_) cache.clear();
  for (std::size_t role = 0; role < kRoles; ++role) {
    hashed_[role].clear();
    for (const Endpoint* endpoint : byRole_[role]) {
      if (!endpoint->isListed) continue;
      const EndpointId id = endpoint->entry.id;
      hashed_[role].push_back({mixBits(id.value), endpoint->hashWeight, id});
      maxHashWeight_ = std::max(maxHashWeight_, endpoint->hashWeight);
    }
  }
}

void EndpointRegistry::removeUnused() {
  if (!hasUnlisted_) return;
  const auto isUnused = [](const auto& item) { return !item.second.isListed && !item.second.isInUse(); };
  for (const auto& item : endpoints_)
    if (isUnused(item)) contacted_.erase(item.first);
  if (std::erase_if(endpoints_, isUnused) > 0) rebuildIndex();
}

void EndpointRegistry::rebuildIndex() {
  for (auto& group : byRole_) group.clear();
  listedOfRole_ = {};
  memoryOfRole_ = {};
  listedInZone_.clear();
  byCell_.clear();
  recentlyStarted_.clear();
  hasUnlisted_ = false;
  for (auto& [id, endpoint] : endpoints_) addToIndex(endpoint);
  for (std::size_t role = 0; role < kRoles; ++role) chooseOwnSubset(role);
}

void EndpointRegistry::addToIndex(Endpoint& endpoint) {
  const std::size_t role = roleIndex(endpoint.role);
  byRole_[role].push_back(&endpoint);
  if (endpoint.entry.startedAt > 0) recentlyStarted_.push_back(&endpoint);
  byCell_.emplace(endpoint.entry.cell, &endpoint);
  if (!endpoint.isListed) {
    hasUnlisted_ = true;
    return;
  }
  ++listedOfRole_[role];
  memoryOfRole_[role] += std::max(1.0, endpoint.memoryTokens);
  if (endpoint.entry.zone) ++listedInZone_[*endpoint.entry.zone];
}

// The lowest -log(draw) / weight win. Most draws are compared without taking the logarithm.
void EndpointRegistry::findLowestHashes(Role role, PrefixKey key, std::size_t count,
                                        std::vector<EndpointId>& out) const {
  if (count == 0) return;
  constexpr double kRange = 9007199254740992.0;  // 2^53
  constexpr double kRoundingMargin = 0.999999;   // the bound is taken a little too low, for rounding
  const std::uint64_t mixedKey = mixKey(key);
  std::vector<std::pair<double, EndpointId>> lowest;  // a heap with the highest cost first
  double lowestUsefulDraw = 0;                        // draws below it cost more than all of a full heap
  for (const HashedEndpoint& candidate : hashed_[roleIndex(role)]) {
    const double draw = static_cast<double>(mixBits(mixedKey ^ candidate.mixedId) >> 11) + 0.5;
    if (draw < lowestUsefulDraw) continue;
    const std::pair cost{-std::log(draw / kRange) / candidate.weight, candidate.id};
    if (lowest.size() == count) {
      if (cost >= lowest.front()) continue;
      std::pop_heap(lowest.begin(), lowest.end());
      lowest.pop_back();
    }
    lowest.push_back(cost);
    std::push_heap(lowest.begin(), lowest.end());
    if (lowest.size() == count)
      lowestUsefulDraw = std::exp(-lowest.front().first * maxHashWeight_) * kRange * kRoundingMargin;
  }
  std::sort_heap(lowest.begin(), lowest.end());
  for (const auto& [cost, id] : lowest) out.push_back(id);
}

// By rendezvous hashing, so that an endpoint that comes or goes changes the subset by one.
void EndpointRegistry::chooseOwnSubset(std::size_t role) {
  ownSubset_[role].clear();
  if (byRole_[role].size() <= kMaxRoleScannedWhole) return;
  std::vector<std::pair<std::uint64_t, Endpoint*>> draws;
  for (Endpoint* endpoint : byRole_[role])
    if (endpoint->isListed) draws.emplace_back(~rendezvousHash(routerHashKey_, endpoint->entry.id), endpoint);
  const std::size_t size = std::min(draws.size(), kOwnSubsetSize);
  std::partial_sort(draws.begin(), draws.begin() + static_cast<std::ptrdiff_t>(size), draws.end());
  for (std::size_t i = 0; i < size; ++i) ownSubset_[role].push_back(draws[i].second);
}

}  // namespace garnethook::policy
