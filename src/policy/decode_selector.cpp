#include "policy/decode_selector.h"

#include <algorithm>

namespace garnethook::policy {

const Endpoint* DecodeSelector::select(const TrackedRequest& request, std::uint64_t cell,
                                       double maxOccupancy) const {
  const Candidates decode = collaborators_.candidates.find(request, Role::decode, &cell);
  const Candidates combined = collaborators_.candidates.find(request, Role::combined, &cell);
  const auto score = [&](const Endpoint& endpoint) {
    return occupancyWith(request, endpoint) * collaborators_.speeds.factor(endpoint) +
           collaborators_.rejections.expectedTime(endpoint) / smallestObjective_;
  };
  const auto best = [&](bool inCell) -> const Endpoint* {
    for (const Candidates* group : {&decode, &combined}) {
      Candidates eligible = *group;
      std::erase_if(eligible, [&](const Endpoint* endpoint) {
        return (endpoint->entry.cell == cell) != inCell || occupancyWith(request, *endpoint) > maxOccupancy;
      });
      if (const Endpoint* found = lowestScore(eligible, routerKey_, score)) return found;
    }
    return nullptr;
  };
  const auto& slowCells = request.slowCells;
  const bool staysInCell = std::find(slowCells.begin(), slowCells.end(), cell) == slowCells.end();
  const Endpoint* preferred = best(staysInCell);
  return preferred ? preferred : best(!staysInCell);
}

}  // namespace garnethook::policy
