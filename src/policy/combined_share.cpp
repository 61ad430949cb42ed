#include "policy/combined_share.h"

#include <algorithm>

namespace garnethook::policy {

bool CombinedShare::shouldExecute(const TrackedRequest& request) const {
  if (request.attempts > 0) return false;
  const double combined = decodeCapacity(Role::combined);
  const double decode = decodeCapacity(Role::decode);
  if (combined <= 0 || collaborators_.context.uniform() * (combined + decode) >= combined) return false;
  const Endpoint* endpoint = collaborators_.selector.select(request, Role::combined);
  return endpoint && collaborators_.prefills.prefillTime(request, *endpoint) <=
                         kMaxPrefillRatio * collaborators_.queues.meanPrefillTime();
}

double CombinedShare::decodeCapacity(Role role) const {
  const double streamTime = collaborators_.firstTokens.streamTime(role).count();
  if (collaborators_.registry.isLarge(role))
    return collaborators_.registry.listedMemoryTokens(role) / streamTime;
  double capacity = 0;
  for (const Endpoint* endpoint : collaborators_.registry.endpointsOfRole(role))
    if (endpoint->isListed) capacity += std::max(1.0, endpoint->memoryTokens) / streamTime;
  return capacity;
}

}  // namespace garnethook::policy
