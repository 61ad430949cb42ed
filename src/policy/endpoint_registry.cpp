#include "policy/endpoint_registry.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace garnethook::policy {

EndpointRegistry::Group EndpointRegistry::ownSubset(Role role, const std::uint64_t* cell) const {
  const auto& roleSubset = ownSubsetByRole_[roleIndex(role)];
  Group subset(roleSubset.begin(), roleSubset.end());
  if (cell == nullptr) return subset;
  std::vector<std::pair<std::uint64_t, const Endpoint*>> cellEndpoints;
  const auto [cellBegin, cellEnd] = endpointsByCell_.equal_range(*cell);
  for (auto member = cellBegin; member != cellEnd; ++member)
    if (member->second->role == role && member->second->isListed)
      cellEndpoints.emplace_back(~rendezvousHash(routerKey_, member->second->entry.id), member->second);
  std::sort(cellEndpoints.begin(), cellEndpoints.end());
  const std::size_t count = std::min(cellEndpoints.size(), kOwnSubsetPerCell);
  for (std::size_t i = 0; i < count; ++i) subset.push_back(cellEndpoints[i].second);
  return subset;
}

void EndpointRegistry::appendLowestHashes(Role role, PrefixKey key, std::size_t count,
                                          std::vector<EndpointId>& result) {
  if (!isLarge(role)) return findLowestHashes(role, key, count, result);
  auto& cache = cachedLowestHashes_[roleIndex(role)];
  if (cache.size() >= kCachedKeys && !cache.contains(key.value)) cache.clear();
  auto& cached = cache.try_emplace(key.value).first->second;
  const std::size_t wanted = std::min(count, hashedByRole_[roleIndex(role)].size());
  if (cached.size() < wanted) {
    cached.clear();
    findLowestHashes(role, key, std::bit_ceil(std::max(count, kCachedEndpointsPerKey)), cached);
  }
  const auto end = cached.begin() + static_cast<std::ptrdiff_t>(std::min(count, cached.size()));
  result.insert(result.end(), cached.begin(), end);
}

void EndpointRegistry::rebuildHashIndex() {
  maxHashWeight_ = 0;
  for (auto& cache : cachedLowestHashes_) cache.clear();
  for (std::size_t role = 0; role < kRoleCount; ++role) {
    hashedByRole_[role].clear();
    for (const Endpoint* endpoint : endpointsByRole_[role]) {
      if (!endpoint->isListed) continue;
      const EndpointId id = endpoint->entry.id;
      hashedByRole_[role].push_back({mixBits(id.value), endpoint->hashWeight, id});
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
  for (auto& group : endpointsByRole_) group.clear();
  listedCountByRole_ = {};
  memoryTokensByRole_ = {};
  listedCountByZone_.clear();
  endpointsByCell_.clear();
  recentlyStarted_.clear();
  hasUnlisted_ = false;
  for (auto& [id, endpoint] : endpoints_) addToIndex(endpoint);
  for (std::size_t role = 0; role < kRoleCount; ++role) chooseOwnSubset(role);
}

void EndpointRegistry::addToIndex(Endpoint& endpoint) {
  const std::size_t role = roleIndex(endpoint.role);
  endpointsByRole_[role].push_back(&endpoint);
  if (endpoint.entry.startedAt > 0) recentlyStarted_.push_back(&endpoint);
  endpointsByCell_.emplace(endpoint.entry.cell, &endpoint);
  if (!endpoint.isListed) {
    hasUnlisted_ = true;
    return;
  }
  ++listedCountByRole_[role];
  memoryTokensByRole_[role] += std::max(1.0, endpoint.memoryTokens);
  if (endpoint.entry.zone) ++listedCountByZone_[*endpoint.entry.zone];
}

// Selects the endpoints with the lowest cost -log(draw) / weight, where the draw is the hash of key and
// endpoint. Most draws are rejected by comparison with a bound, without computing the logarithm.
void EndpointRegistry::findLowestHashes(Role role, PrefixKey key, std::size_t count,
                                        std::vector<EndpointId>& result) const {
  if (count == 0) return;
  constexpr double kDrawRange = 9007199254740992.0;  // 2^53
  constexpr double kRoundingMargin = 0.999999;       // lowers the bound to allow for rounding errors
  const std::uint64_t mixedKey = mixKey(key);
  std::vector<std::pair<double, EndpointId>> lowest;  // max-heap by cost
  double lowestUsefulDraw = 0;  // lower draws have a higher cost than a full heap's maximum
  for (const HashedEndpoint& candidate : hashedByRole_[roleIndex(role)]) {
    const double draw = static_cast<double>(mixBits(mixedKey ^ candidate.mixedId) >> 11) + 0.5;
    if (draw < lowestUsefulDraw) continue;
    const std::pair cost{-std::log(draw / kDrawRange) / candidate.weight, candidate.id};
    if (lowest.size() == count) {
      if (cost >= lowest.front()) continue;
      std::pop_heap(lowest.begin(), lowest.end());
      lowest.pop_back();
    }
    lowest.push_back(cost);
    std::push_heap(lowest.begin(), lowest.end());
    if (lowest.size() == count)
      lowestUsefulDraw = std::exp(-lowest.front().first * maxHashWeight_) * kDrawRange * kRoundingMargin;
  }
  std::sort_heap(lowest.begin(), lowest.end());
  for (const auto& [cost, id] : lowest) result.push_back(id);
}

// Uses rendezvous hashing, so that adding or removing an endpoint changes at most one member of the subset.
void EndpointRegistry::chooseOwnSubset(std::size_t role) {
  ownSubsetByRole_[role].clear();
  if (endpointsByRole_[role].size() <= kMaxFullyScannedRoleSize) return;
  std::vector<std::pair<std::uint64_t, Endpoint*>> draws;
  for (Endpoint* endpoint : endpointsByRole_[role])
    if (endpoint->isListed) draws.emplace_back(~rendezvousHash(routerKey_, endpoint->entry.id), endpoint);
  const std::size_t size = std::min(draws.size(), kOwnSubsetSize);
  std::partial_sort(draws.begin(), draws.begin() + static_cast<std::ptrdiff_t>(size), draws.end());
  for (std::size_t i = 0; i < size; ++i) ownSubsetByRole_[role].push_back(draws[i].second);
}

}  // namespace garnethook::policy
