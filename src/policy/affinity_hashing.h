/// @file
/// Assigns prefixes to endpoints by weighted rendezvous hashing, with the same result at all routers.
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

/// Predicted time of the recently sent prefills, in total and by prefix. Times are added in the order of the
/// sends, oldest first, so that the sums equal a full recomputation to the last bit.
class PrefillLoad {
 public:
  /// Sum over all prefixes.
  EstimatedTime total() const { return total_; }
  /// Sum over the prefills with that prefix.
  EstimatedTime of(PrefixKey key) const {
    const auto at = byKey_.find(key.value);
    return at == byKey_.end() ? EstimatedTime::zero() : at->second;
  }
  /// Adds a prefill that is being sent.
  void add(PrefixKey key, Micros sentAt, EstimatedTime time);
  /// Drops the prefills that were sent before that time.
  void expire(Micros before);

 private:
  struct SentPrefill {
    PrefixKey key;
    Micros sentAt = 0;
    EstimatedTime time = EstimatedTime::zero();
  };
  void addToSums(const SentPrefill& prefill) {
    total_ += prefill.time;
    byKey_.try_emplace(prefill.key.value, EstimatedTime::zero()).first->second += prefill.time;
  }

  std::deque<SentPrefill> sentPrefills_;
  std::unordered_map<std::uint64_t, EstimatedTime> byKey_;
  EstimatedTime total_ = EstimatedTime::zero();
};

/// Chooses the affinity endpoints of a request's prefix.
///
/// Their number is the prefix's share of this router's prefill load in units of one endpoint's share, rounded
/// down, plus one. This prevents overload of a single endpoint by a hot prefix that all routers send, each of
/// which sees only its own part of that load. The drawback: with few prefills of its own, a router takes any
/// prefix for hot, and more endpoints than needed cache it.
class AffinityHashing {
 public:
  /// `routerKey`: hash key of this router's own order of the endpoints.
  AffinityHashing(const DecisionContext& context, EndpointRegistry& registry, PrefixKey routerKey)
      : context_(context), registry_(registry), routerKey_(routerKey) {}

  /// Sets the request's affinity endpoints among the prefill and combined endpoints.
  void assign(TrackedRequest& request);
  /// Adds the request's affinity endpoints of one role.
  void addForRole(TrackedRequest& request, Role role);
  /// Records a prefill that is being sent, with its predicted time.
  void recordSend(const TrackedRequest& request, EstimatedTime prefillTime);
  /// Drops load older than PrefixCacheIndex::kLifetime.
  void expire() { load_.expire(context_.now() - PrefixCacheIndex::kLifetime); }
  /// Updates the endpoints' hash weights and the registry's hash index after a change of the endpoint list.
  void updateWeights();

 private:
  static constexpr double kMinWeight = 0.1;
  static constexpr double kMaxWeight = 1.4;
  static constexpr double kWeightWithoutDecode = 0.6;  // of a prefill endpoint in a cell without decode
  // Number of a hot prefix's endpoints that one router uses in a large role.
  static constexpr std::size_t kMaxOwnEndpointsOfHotPrefix = 16;

  void addOwnSubset(TrackedRequest& request, Role role, PrefixKey key, std::size_t count);

  const DecisionContext& context_;
  EndpointRegistry& registry_;
  PrefixKey routerKey_;
  PrefillLoad load_;
};

}  // namespace garnethook::policy
