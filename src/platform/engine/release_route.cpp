#include "platform/engine/release_route.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace garnethook::platform {
namespace {

using engine::Responsiveness;

// Sorts by preference; which of equal candidates comes first differs between requests.
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
  std::vector<EndpointId> out;
  out.reserve(kMaxReleaseCandidates + 1);
  // Requests are numbered consecutively: this way they consider different parts.
  const std::size_t first = request * kMaxReleaseCandidates % listed.size();
  for (std::size_t i = 0; i < kMaxReleaseCandidates; ++i) out.push_back(listed[(first + i) % listed.size()]);
  if (std::binary_search(listed.begin(), listed.end(), holder) &&
      std::find(out.begin(), out.end(), holder) == out.end())
    out.push_back(holder);
  return out;
}

std::vector<EndpointId> releaseRoute(EndpointId holder, std::string_view ownZone,
                                     std::vector<ReleaseCandidate> candidates, std::uint64_t request) {
  sortByPreference(candidates, holder, request);
  std::vector<EndpointId> route;
  const auto hasRoom = [&] { return route.size() < kMaxReleaseTargets; };
  std::map<std::pair<bool, std::string_view>, std::vector<EndpointId>> zones;  // the own zone is first
  for (const auto& candidate : candidates) {
    if (candidate.endpoint == holder && candidate.responsiveness == Responsiveness::responsive)
      route.push_back(candidate.endpoint);
    else
      zones[{candidate.zone != ownZone, candidate.zone}].push_back(candidate.endpoint);
  }
  for (std::size_t turn = 0; hasRoom() && turn < candidates.size(); ++turn)
    for (const auto& [zone, endpoints] : zones)
      if (turn < endpoints.size() && hasRoom()) route.push_back(endpoints[turn]);
  return route;
}

}  // namespace garnethook::platform
