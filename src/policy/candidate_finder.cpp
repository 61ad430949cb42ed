#include "policy/candidate_finder.h"

#include <algorithm>

namespace garnethook::policy {

Candidates CandidateFinder::find(const TrackedRequest& request, Role role, const std::uint64_t* cell,
                                 std::size_t sampleSize) const {
  if (collaborators_.registry.isLarge(role)) {
    Candidates found = boundedCandidateSet(request, role, cell, sampleSize);
    std::erase_if(found, [&](const Endpoint* endpoint) {
      return !isEligible(request, *endpoint, Strictness::trustedAndNotFailed);
    });
    if (!found.empty()) return found;
  }
  for (const auto strictness : {Strictness::trustedAndNotFailed, Strictness::trusted, Strictness::usable}) {
    Candidates found;
    for (const Endpoint* endpoint : collaborators_.registry.endpointsOfRole(role))
      if (isEligible(request, *endpoint, strictness)) found.push_back(endpoint);
    if (!found.empty()) return found;
  }
  return {};
}

bool CandidateFinder::isEligible(const TrackedRequest& request, const Endpoint& endpoint,
                                 Strictness strictness) const {
  if (!isUsable(endpoint) || !RetryPolicy::isInScope(request, endpoint)) return false;
  if (strictness == Strictness::trustedAndNotFailed && request.hasFailedAt(endpoint.entry.id)) return false;
  return strictness == Strictness::usable || collaborators_.outliers.isTrusted(endpoint, request);
}

Candidates CandidateFinder::boundedCandidateSet(const TrackedRequest& request, Role role,
                                                const std::uint64_t* cell, std::size_t sampleSize) const {
  Candidates group = collaborators_.registry.ownSubset(role, cell);
  const auto add = [&](EndpointId id) {
    const Endpoint* endpoint = collaborators_.registry.find(id);
    if (endpoint != nullptr && endpoint->role == role) group.push_back(endpoint);
  };
  for (const EndpointId id : request.affinityEndpoints) add(id);
  for (const auto* locations : {collaborators_.prefixes.sharedPrefixLocations(request),
                                collaborators_.prefixes.sessionLocations(request)})
    if (locations != nullptr)
      for (const CachedPrefix& prefix : *locations) add(prefix.endpoint);
  const auto& all = collaborators_.registry.endpointsOfRole(role);
  const std::uint64_t drawOffset = request.arrival.id.value * kSampleSizeWhenLate;
  for (std::size_t draw = 1; draw <= sampleSize; ++draw)
    group.push_back(all[mixBits(routerKey_.value ^ mixBits(drawOffset + draw)) % all.size()]);
  std::sort(group.begin(), group.end(),
            [](const Endpoint* left, const Endpoint* right) { return left->entry.id < right->entry.id; });
  group.erase(std::unique(group.begin(), group.end()), group.end());
  return group;
}

}  // namespace garnethook::policy
