#include "policy/affinity_hashing.h"

#include <algorithm>
#include <map>

namespace garnethook::policy {

void PrefillLoad::add(PrefixKey key, Micros sentAt, EstimatedTime time) {
  sentPrefills_.push_back({key, sentAt, time});
  addToSums(sentPrefills_.back());
}

void PrefillLoad::expire(Micros before) {
  if (sentPrefills_.empty() || sentPrefills_.front().sentAt >= before) return;
  while (!sentPrefills_.empty() && sentPrefills_.front().sentAt < before) sentPrefills_.pop_front();
  total_ = EstimatedTime::zero();
  byKey_.clear();
  for (const SentPrefill& prefill : sentPrefills_) addToSums(prefill);
}

void AffinityHashing::assign(TrackedRequest& request) {
  request.affinityEndpoints.clear();
  addForRole(request, Role::prefill);
  addForRole(request, Role::combined);
}

void AffinityHashing::addForRole(TrackedRequest& request, Role role) {
  const RequestArrived& arrival = request.arrival;
  const PrefixKey key = arrival.sharedPrefix.value != 0 ? arrival.sharedPrefix : arrival.session;
  const double share = load_.of(key) / std::max(EstimatedTime(1), load_.total());
  const double endpointShares = share * countAsDouble(registry_.listedCount(role));
  const std::size_t count =
      std::min(registry_.listedCount(role), 1 + static_cast<std::size_t>(endpointShares));
  if (!registry_.isLarge(role))
    return registry_.appendLowestHashes(role, key, count, request.affinityEndpoints);
  if (key.value != 0) addOwnSubset(request, role, key, count);
}

// Adds this router's own part of a hot prefix's endpoints; together, all routers use all of them.
void AffinityHashing::addOwnSubset(TrackedRequest& request, Role role, PrefixKey key, std::size_t count) {
  std::vector<EndpointId> all;
  registry_.appendLowestHashes(role, key, count, all);
  const auto ownEnd =
      all.begin() + static_cast<std::ptrdiff_t>(std::min(all.size(), kMaxOwnEndpointsOfHotPrefix));
  std::partial_sort(all.begin(), ownEnd, all.end(), [this](EndpointId left, EndpointId right) {
    return rendezvousHash(routerKey_, left) > rendezvousHash(routerKey_, right);
  });
  request.affinityEndpoints.insert(request.affinityEndpoints.end(), all.begin(), ownEnd);
}

void AffinityHashing::recordSend(const TrackedRequest& request, EstimatedTime prefillTime) {
  if (prefillTime > EstimatedTime::zero())
    load_.add(request.arrival.sharedPrefix, context_.now(), prefillTime);
}

// The weight of a prefill endpoint is the decode memory per prefill endpoint of its cell, relative to the
// same ratio of the fleet. This prevents the prefill endpoints of a cell from producing more KV states than
// its decode endpoints can take. A cell without decode endpoints cannot overload its own, as its KV states go
// to all other cells. A low weight for it would leave half of the fleet's prefill endpoints idle where there
// are fewer decode endpoints than cells. The drawback: more KV states cross links between cells, which may be
// slow.
void AffinityHashing::updateWeights() {
  struct Capacity {
    double prefillEndpoints = 0;
    double decodeTokens = 0;
  };
  std::map<std::uint64_t, Capacity> cells;
  Capacity fleet;
  for (const auto& [id, endpoint] : registry_.all()) {
    for (Capacity* capacity : {&cells[endpoint.entry.cell], &fleet}) {
      if (!endpoint.isListed) continue;
      if (endpoint.role == Role::prefill)
        capacity->prefillEndpoints += 1;
      else
        capacity->decodeTokens += std::max(1.0, endpoint.memoryTokens);
    }
  }
  const double fleetRatio = fleet.decodeTokens / std::max(1.0, fleet.prefillEndpoints);
  for (auto& [id, endpoint] : registry_.all()) {
    const Capacity& cell = cells[endpoint.entry.cell];
    const double weight =
        cell.decodeTokens / std::max(1.0, cell.prefillEndpoints) / std::max(1.0, fleetRatio);
    if (endpoint.role != Role::prefill)
      endpoint.hashWeight = 1;
    else if (cell.decodeTokens > 0)
      endpoint.hashWeight = std::clamp(weight, kMinWeight, kMaxWeight);
    else
      endpoint.hashWeight = kWeightWithoutDecode;
  }
  registry_.rebuildHashIndex();
}

}  // namespace garnethook::policy
