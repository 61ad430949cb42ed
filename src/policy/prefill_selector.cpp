#include "policy/prefill_selector.h"

#include <algorithm>

namespace garnethook::policy {

const Endpoint* PrefillSelector::selectFrom(const TrackedRequest& request,
                                            const Candidates& candidates) const {
  if (candidates.empty()) return nullptr;
  const auto cost = [&](const Endpoint& endpoint) {
    return collaborators_.prefills.totalTime(request, endpoint) +
           collaborators_.rejections.expectedTime(endpoint);
  };
  const bool isCached = std::any_of(candidates.begin(), candidates.end(), [&](const Endpoint* endpoint) {
    return collaborators_.prefixes.cachedTokens(request, *endpoint) > 0;
  });
  if (!isCached) {
    Candidates withAffinity = candidates;
    std::erase_if(withAffinity,
                  [&](const Endpoint* endpoint) { return !request.hasAffinityTo(endpoint->entry.id); });
    const Endpoint* best = lowestScore(withAffinity, routerKey_, cost);
    if (best &&
        collaborators_.rejections.expectedTime(*best) <= kAffinityRejectionShare * smallestObjective_ &&
        hasTimeMargin(request, *best))
      return best;
  }
  return lowestScore(candidates, request.arrival.sharedPrefix, cost);
}

}  // namespace garnethook::policy
