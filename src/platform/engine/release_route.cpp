#include "platform/engine/release_route.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace garnethook::platform {
namespace {

using engine::Responsiveness;

// Sorts by preference; the order of equal candidates differs between requests.
void sortByPreference(std::vector<ReleaseCandidate>& candidates, EndpointId holder, std::uint64_t request) {
  const auto holderEntry = std::find_if(candidates.begin(), candidates.end(),
                                        [&](const auto& candidate) { return candidate.endpoint == holder; });
  const bool isCellKnown = holderEntry != candidates.end();
  const std::string_view cell = isCellKnown ? holderEntry->cell : std::string_view();
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& left, const auto& right) { return left.endpoint < right.endpoint; });
  if (!candidates.empty())
    std::rotate(candidates.begin(),
                candidates.begin() + static_cast<std::ptrdiff_t>(request % candidates.size()),
                candidates.end());
  const auto rank = [&](const ReleaseCandidate& candidate) {
    return std::tuple(candidate.responsiveness, candidate.endpoint != holder, !candidate.running,
                      !isCellKnown || candidate.cell != cell);
  };
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
}

}  // namespace

Micros releaseHedgeDelay(Micros kvReleaseTimeout) {
  return std::max<Micros>(1, kvReleaseTimeout / static_cast<Micros>(kMaxReleaseTargets));
}

std::vector<EndpointId> selectReleaseCandidates(const std::vector<EndpointId>& listed, EndpointId holder,
                                                std::uint64_t request) {
  if (listed.size() <= kMaxReleaseCandidates) return listed;
  std::vector<EndpointId> selected;
  selected.reserve(kMaxReleaseCandidates + 1);
  // Requests are numbered consecutively, so successive requests consider different windows of the fleet.
  const std::size_t first = request * kMaxReleaseCandidates % listed.size();
  for (std::size_t i = 0; i < kMaxReleaseCandidates; ++i)
    selected.push_back(listed[(first + i) % listed.size()]);
  if (std::binary_search(listed.begin(), listed.end(), holder) &&
      std::find(selected.begin(), selected.end(), holder) == selected.end())
    selected.push_back(holder);
  return selected;
}

std::vector<EndpointId> releaseRoute(EndpointId holder, std::string_view ownZone,
                                     std::vector<ReleaseCandidate> candidates, std::uint64_t request) {
  sortByPreference(candidates, holder, request);
  std::vector<EndpointId> route;
  const auto hasCapacity = [&] { return route.size() < kMaxReleaseTargets; };
  // The key sorts this router's own zone first.
  std::map<std::pair<bool, std::string_view>, std::vector<EndpointId>> zones;
  for (const auto& candidate : candidates) {
    if (candidate.endpoint == holder && candidate.responsiveness == Responsiveness::responsive)
      route.push_back(candidate.endpoint);
    else
      zones[{candidate.zone != ownZone, candidate.zone}].push_back(candidate.endpoint);
  }
  for (std::size_t position = 0; hasCapacity() && position < candidates.size(); ++position)
    for (const auto& [zone, endpoints] : zones)
      if (position < endpoints.size() && hasCapacity()) route.push_back(endpoints[position]);
  return route;
}

}  // namespace garnethook::platform
