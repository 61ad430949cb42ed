#include "policy/combined_share.h"

#include <algorithm>

namespace garnethook::policy {

bool CombinedShare::takes(const TrackedRequest& request) const {
  if (request.attempts > 0) return false;
  const double combined = capacityOf(Role::combined);
  const double decode = capacityOf(Role::decode);
  if (combined <= 0 || with_.context.uniform() * (combined + decode) >= combined) return false;
  const Endpoint* endpoint = with_.selector.select(request, Role::combined);
  return endpoint &&
         with_.prefills.prefillTime(request, *endpoint) <= kMaxPrefill * with_.queues.meanPrefillTime();
}

double CombinedShare::capacityOf(Role role) const {
  const double streamTime = with_.firstTokens.streamTime(role);
  if (with_.registry.isLarge(role)) return with_.registry.listedMemoryTokens(role) / streamTime;
  double capacity = 0;
  for (const Endpoint* endpoint : with_.registry.ofRole(role))
    if (endpoint->isListed) capacity += std::max(1.0, endpoint->memoryTokens) / streamTime;
  return capacity;
}

}  // namespace garnethook::policy
