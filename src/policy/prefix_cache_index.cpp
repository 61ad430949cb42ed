#include "policy/prefix_cache_index.h"

#include <algorithm>

namespace garnethook::policy {

PrefixLocations::Locations& PrefixLocations::touch(PrefixKey key, Micros now) {
  usesByTime_.emplace_back(now, key.value);
  lastKey_ = 0;
  return locations_[key.value];
}

void PrefixLocations::expire(Micros before) {
  lastKey_ = 0;
  for (; !usesByTime_.empty() && usesByTime_.front().first < before; usesByTime_.pop_front()) {
    const auto at = locations_.find(usesByTime_.front().second);
    if (at != locations_.end() && at->second.back().at < before) locations_.erase(at);
  }
}

double PrefixCacheIndex::cachedTokens(const TrackedRequest& request, const Endpoint& endpoint) const {
  const double shared = std::min(cachedTokensIn(sharedPrefixes_, request.arrival.sharedPrefix, endpoint),
                                 request.sharedPrefixTokensAt(endpoint.entry));
  return std::min(std::max(shared, cachedTokensIn(sessions_, request.arrival.session, endpoint)),
                  request.promptTokensAt(endpoint.entry));
}

double PrefixCacheIndex::expectedCachedTokens(const TrackedRequest& request, const Endpoint& endpoint,
                                              double weight) const {
  const double share = request.hasAffinityTo(endpoint.entry.id) ? weight * affinityShare_ : 0;
  return std::max(
      cachedTokens(request, endpoint),
      share * std::min(request.sharedPrefixTokensAt(endpoint.entry), request.promptTokensAt(endpoint.entry)));
}

void PrefixCacheIndex::recordPrefill(const TrackedRequest& request, Endpoint& endpoint,
                                     const InFlightAttempt& attempt, double foundTokens) {
  const double shared = request.sharedPrefixTokensAt(endpoint.entry);
  if (attempt.expectedCachedTokens == 0 && shared > 0 && request.hasAffinityTo(endpoint.entry.id))
    affinityShare_ += std::max(kAffinityShareWeight, 1.0 / ++affinityPrefills_) *
                      (std::clamp(foundTokens / shared, 0.0, 1.0) - affinityShare_);
  const bool missed = attempt.expectedCachedTokens > 0 && foundTokens < attempt.expectedCachedTokens / 2;
  int& misses = endpoint.prefixes.consecutiveMisses_;
  misses = missed ? misses + 1 : 0;
  if (misses >= kMissesToInvalidate) invalidate(endpoint);
  addLocation(sharedPrefixes_, request.arrival.sharedPrefix, attempt.endpoint, shared);
  addLocation(sessions_, request.arrival.session, attempt.endpoint, request.promptTokensAt(endpoint.entry));
}

void PrefixCacheIndex::expire() {
  sharedPrefixes_.expire(context_.now() - kLifetime);
  sessions_.expire(context_.now() - kLifetime);
}

double PrefixCacheIndex::cachedTokensIn(const PrefixLocations& index, PrefixKey key,
                                        const Endpoint& endpoint) const {
  const auto* locations = index.find(key);
  if (locations == nullptr) return 0;
  for (const CachedPrefix& prefix : *locations)
    if (prefix.endpoint == endpoint.entry.id && prefix.at >= endpoint.prefixes.validFrom_ &&
        context_.now() - prefix.at <= kLifetime)
      return prefix.tokens;
  return 0;
}

void PrefixCacheIndex::addLocation(PrefixLocations& index, PrefixKey key, EndpointId endpoint,
                                   double tokens) const {
  if (key.value == 0 || tokens <= 0) return;
  if (index.size() >= kMaxKeys && index.find(key) == nullptr) return;
  auto& locations = index.touch(key, context_.now());
  std::erase_if(locations, [&](const CachedPrefix& prefix) {
    return prefix.endpoint == endpoint || context_.now() - prefix.at > kLifetime;
  });
  locations.push_back({endpoint, tokens, context_.now()});
}

}  // namespace garnethook::policy
