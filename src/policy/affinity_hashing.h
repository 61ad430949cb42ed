/// @file
/// Affinity of prefixes to endpoints by weighted rendezvous hashing, which is equal at all routers.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/decision_context.h"
#include "policy/endpoint_registry.h"
#include "policy/prefix_cache_index.h"

namespace garnethook::policy {

/// Predicted time of the prefills that were sent lately, in all and by prefix. Times are added up in the
/// order of the sends, oldest first, so the sums are to the last bit what walking all of them gives.
class PrefillLoad {
 public:
  /// Sum of all.
  EstimatedTime total() const { return total_; }
  /// Sum of those with that prefix.
  EstimatedTime of(PrefixKey key) const {
    const auto at = byKey_.find(key.value);
    return at == byKey_.end() ? EstimatedTime::zero() : at->second;
  }
  /// Adds a prefill that is sent.
  void add(PrefixKey key, Micros sentAt, EstimatedTime time);
  /// Drops what was sent before that time.
  void expire(Micros before);

 private:
  struct SentPrefill {
    PrefixKey key;
    Micros sentAt = 0;
    EstimatedTime time = EstimatedTime::zero();
  };
  void count(const SentPrefill& prefill) {
    total_ += prefill.time;
    byKey_.try_emplace(prefill.key.value, EstimatedTime::zero()).first->second += prefill.time;
  }

  std::deque<SentPrefill> prefills_;
  std::unordered_map<std::uint64_t, EstimatedTime> byKey_;
  EstimatedTime total_ = EstimatedTime::zero();
};

/// Chooses the endpoints to which a prefix is hashed.
///
/// They are as many as the prefix makes up endpoints' shares of the own prefill load. This guards against one
/// endpoint, not seen by most routers, for a prefix that all routers send; with few own prefills any prefix
/// looks hot, and more endpoints then cache it.
class AffinityHashing {
 public:
  /// `routerHashKey`: this router's own order of the endpoints.
  AffinityHashing(const DecisionContext& context, EndpointRegistry& registry, PrefixKey routerHashKey)
      : context_(context), registry_(registry), routerHashKey_(routerHashKey) {}

  /// Sets the request's affinity endpoints, of the roles that prefill.
  void assign(TrackedRequest& request);
  /// Adds affinity endpoints of one role.
  void addForRole(TrackedRequest& request, Role role);
  /// Takes in a prefill that is sent, with its predicted time.
  void recordSend(const TrackedRequest& request, EstimatedTime prefillTime);
  /// Drops old load.
  void expire() { load_.expire(context_.now() - PrefixCacheIndex::kLifetime); }
  /// Sets the endpoints' weights and brings the registry's hash index up to date, after the list has changed.
  void updateWeights();

 private:
  static constexpr double kMinWeight = 0.1;
  static constexpr double kMaxWeight = 1.4;
  static constexpr double kWeightWithoutDecode = 0.6;  // of a prefill endpoint whose cell can't decode at all
  // Of a large role a request considers so many of a hot prefix's endpoints.
  static constexpr std::size_t kOwnSubsetOfHotPrefix = 16;

  void addOwnSubset(TrackedRequest& request, Role role, PrefixKey key, std::size_t count);

  const DecisionContext& context_;
  EndpointRegistry& registry_;
  PrefixKey routerHashKey_;
  PrefillLoad load_;
};

}  // namespace garnethook::policy
