#include "policy/admission.h"

#include <algorithm>

#include "policy/retry_policy.h"

namespace garnethook::policy {

template <class Test>
bool AdmissionController::anyListed(Test test) const {
  const auto& all = with_.registry.all();
  return std::any_of(all.begin(), all.end(),
                     [&](const auto& item) { return item.second.isListed && test(item.second); });
}

bool AdmissionController::mayPrefillLater(const TrackedRequest& request) const {
  const double allowed = kTimeShare * asDouble(firstTokenDueAt(request) - with_.context.now());
  return anyListed([&](const Endpoint& endpoint) {
    const bool prefills = endpoint.role != Role::decode || with_.settings.decodeEndpointsPrefill;
    return prefills && !with_.candidates.isUsable(endpoint) && RetryPolicy::isInScope(request, endpoint) &&
           with_.prefills.prefillTime(request, endpoint) + with_.firstTokens.baselineTime() <= allowed;
  });
}

bool AdmissionController::mayDecodeLater(const TrackedRequest& request) const {
  const double left = asDouble(request.deadline - with_.context.now());
  return left > with_.firstTokens.baselineTime() && anyListed([&](const Endpoint& endpoint) {
           return endpoint.role != Role::prefill && RetryPolicy::isInScope(request, endpoint);
         });
}

Micros AdmissionController::retryAfter(const TrackedRequest& request) const {
  const Settings& settings = with_.settings;
  if (!settings.passesRetryAfter) return 0;
  const Micros longest = settings.maxRetryAfter > 0 ? settings.maxRetryAfter : request.requestClass.deadline;
  const double wait =
      std::min(asDouble(longest), std::max(request.excessTime, kMinRetryAfter * smallestObjective_));
  return std::max<Micros>(1000, asMicros(wait * (1 - kRetryAfterSpread * with_.context.uniform())));
}

}  // namespace garnethook::policy
