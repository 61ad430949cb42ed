/// @file
/// Index of the endpoints at which prefixes are expected to be cached.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/decision_context.h"
#include "policy/endpoint.h"

namespace garnethook::policy {

/// A prefix that an endpoint was observed to cache.
struct CachedPrefix {
  EndpointId endpoint;  ///< The endpoint.
  double tokens = 0;    ///< Length of the prefix in tokens.
  Micros at = 0;        ///< When it was last used at the endpoint.
};

/// Locations of prefixes by key, newest last. A key is dropped when its newest location is too old. Keys are
/// also queued in the order of their uses, so that expiry looks at the oldest entries only.
class PrefixLocations {
 public:
  /// Locations of one key.
  using Locations = std::vector<CachedPrefix>;
  /// Returns the locations of a key, or nullptr. The result of the last call is kept, so that repeated calls
  /// with the same key need no look-up.
  const Locations* find(PrefixKey key) const {
    if (key.value == 0) return nullptr;
    if (key.value != lastKey_) {
      const auto at = locations_.find(key.value);
      lastFound_ = at == locations_.end() ? nullptr : &at->second;
      lastKey_ = key.value;
    }
    return lastFound_;
  }
  /// Number of keys.
  std::size_t size() const { return locations_.size(); }
  /// Records a use of a key and returns its locations, to which the caller must add one.
  Locations& touch(PrefixKey key, Micros now);
  /// Drops the keys that were last used before that time.
  void expire(Micros before);

 private:
  std::unordered_map<std::uint64_t, Locations> locations_;
  std::deque<std::pair<Micros, std::uint64_t>> usesByTime_;
  mutable std::uint64_t lastKey_ = 0;
  mutable const Locations* lastFound_ = nullptr;
};

/// Index of where the prefixes that this router sent are cached, by shared prefix and by session.
class PrefixCacheIndex {
 public:
  /// Time for which a location stays valid and for which prefill load is counted.
  static constexpr Micros kLifetime = 10 * kSecond;

  /// `context` provides the current time.
  explicit PrefixCacheIndex(const DecisionContext& context) : context_(context) {}

  /// Returns the number of tokens of the request's prompt that the index lists as cached at the endpoint.
  double cachedTokens(const TrackedRequest& request, const Endpoint& endpoint) const;

  /// Like cachedTokens(), but assumes at least part of the shared prefix to be cached if the endpoint is one
  /// of its affinity endpoints: the part that earlier prefills found cached at affinity endpoints that the
  /// index did not list, times `weight`. Every router sends the prefix there, so it is probably cached. This
  /// prevents a router that sees little of the traffic from estimating the prefill at an endpoint that caches
  /// the prefix as if its cache were empty. The drawback: the first prefills of a new prefix are estimated
  /// too low.
  double expectedCachedTokens(const TrackedRequest& request, const Endpoint& endpoint, double weight) const;

  /// Returns the locations of the request's shared prefix, or nullptr.
  const PrefixLocations::Locations* sharedPrefixLocations(const TrackedRequest& request) const {
    return sharedPrefixes_.find(request.arrival.sharedPrefix);
  }
  /// Returns the locations of the request's session, or nullptr.
  const PrefixLocations::Locations* sessionLocations(const TrackedRequest& request) const {
    return sessions_.find(request.arrival.session);
  }

  /// Records a prefill that found `foundTokens` tokens cached. Repeated misses mean that the endpoint has
  /// lost its cache, whatever the cause, so its locations are invalidated.
  void recordPrefill(const TrackedRequest& request, Endpoint& endpoint, const InFlightAttempt& attempt,
                     double foundTokens);
  /// Invalidates all locations at the endpoint that were recorded before now.
  void invalidate(Endpoint& endpoint) const { endpoint.prefixes.validFrom_ = context_.now(); }
  /// Drops locations older than kLifetime.
  void expire();

 private:
  static constexpr std::size_t kMaxKeys = 50'000;  // far more than are in use within kLifetime
  static constexpr int kMissesToInvalidate = 2;
  static constexpr double kAffinityShareWeight = 0.1;  // least weight of one prefill in affinityShare_

  double cachedTokensIn(const PrefixLocations& index, PrefixKey key, const Endpoint& endpoint) const;
  void addLocation(PrefixLocations& index, PrefixKey key, EndpointId endpoint, double tokens) const;

  const DecisionContext& context_;
  PrefixLocations sharedPrefixes_;
  PrefixLocations sessions_;
  double affinityPrefills_ = 1;
  // Mean share of a shared prefix that was cached at affinity endpoints that the index did not list.
  double affinityShare_ = 0;
};

}  // namespace garnethook::policy
