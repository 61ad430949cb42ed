/// @file
/// Where prefixes are cached, and until when that is believed.
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

/// A prefix that an endpoint was seen to cache.
struct CachedPrefix {
  EndpointId endpoint;  ///< Where.
  double tokens = 0;    ///< How many tokens.
  Micros at = 0;        ///< When it was last used there.
};

/// Locations of prefixes by key, newest last. A key is dropped when its newest location is too old; keys in
/// order of use make that a matter of the oldest alone.
class PrefixLocations {
 public:
  /// Locations of one key.
  using Locations = std::vector<CachedPrefix>;
  /// The locations of a key, or nullptr; the key of the last call is found at once.
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
  /// The locations of a key that is used now, for the caller to add one.
  Locations& touch(PrefixKey key, Micros now);
  /// Drops keys that were last used before that time.
  void expire(Micros before);

 private:
  std::unordered_map<std::uint64_t, Locations> locations_;
  std::deque<std::pair<Micros, std::uint64_t>> uses_;
  mutable std::uint64_t lastKey_ = 0;
  mutable const Locations* lastFound_ = nullptr;
};

/// Where this router's prefixes are cached, by shared prefix and by session.
class PrefixCacheIndex {
 public:
  /// How long a location is believed, and prefill load is counted.
  static constexpr Micros kLifetime = 10 * kSecond;

  /// Takes the time from `context`.
  explicit PrefixCacheIndex(const DecisionContext& context) : context_(context) {}

  /// Tokens of the request's prompt that are believed to be cached at the endpoint.
  double cachedTokens(const TrackedRequest& request, const Endpoint& endpoint) const;

  /// The same; where the index lists none and the endpoint has affinity to the prefix, the part of shared
  /// prefixes that such prefills were seen to find counts, weighted by `weight`. Every router sends the
  /// prefix there, so it is likely cached. This guards against pricing a warm endpoint as an empty one where
  /// a router sees little of the traffic; the first prefills of a new prefix look too cheap.
  double expectedCachedTokens(const TrackedRequest& request, const Endpoint& endpoint, double weight) const;

  /// Where the request's shared prefix is cached, or nullptr.
  const PrefixLocations::Locations* sharedPrefixLocations(const TrackedRequest& request) const {
    return sharedPrefixes_.find(request.arrival.sharedPrefix);
  }
  /// Where the request's session is cached, or nullptr.
  const PrefixLocations::Locations* sessionLocations(const TrackedRequest& request) const {
    return sessions_.find(request.arrival.session);
  }

  /// Takes in a prefill that found so many tokens cached. Repeated misses mean that the endpoint lost its
  /// cache, by whatever cause: nothing that the index says of it is believed any more.
  void recordPrefill(const TrackedRequest& request, Endpoint& endpoint, const InFlightAttempt& attempt,
                     double foundTokens);
  /// From now on nothing that was known of the endpoint's cache is believed.
  void invalidate(Endpoint& endpoint) const { endpoint.prefixes.validFrom_ = context_.now(); }
  /// Drops what is too old.
  void expire();

 private:
  static constexpr std::size_t kMaxKeys = 50'000;  // far above what lives for kLifetime
  static constexpr int kMissesToInvalidate = 2;
  static constexpr double kAffinityWeight = 0.1;  // of one prefill in affinityShare_

  double tokensIn(const PrefixLocations& index, PrefixKey key, const Endpoint& endpoint) const;
  void remember(PrefixLocations& index, PrefixKey key, EndpointId endpoint, double tokens) const;

  const DecisionContext& context_;
  PrefixLocations sharedPrefixes_;
  PrefixLocations sessions_;
  double affinityPrefills_ = 1;
  double affinityShare_ = 0;  // of shared prefixes, found at affinity endpoints that the index did not list
};

}  // namespace garnethook::policy
