#include "policy/admission.h"

#include <algorithm>

#include "policy/retry_policy.h"

namespace garnethook::policy {

template <class Predicate>
bool AdmissionController::anyListed(Predicate predicate) const {
  const auto& all = collaborators_.registry.all();
  return std::any_of(all.begin(), all.end(),
                     [&](const auto& item) { return item.second.isListed && predicate(item.second); });
}

bool AdmissionController::mayPrefillLater(const TrackedRequest& request) const {
  const EstimatedTime allowedTime =
      kUsableTimeShare * toEstimate(firstTokenDueAt(request) - collaborators_.context.now());
  return anyListed([&](const Endpoint& endpoint) {
    const bool prefills = endpoint.role != Role::decode || collaborators_.settings.decodeEndpointsPrefill;
    return prefills && !collaborators_.candidates.isUsable(endpoint) &&
           RetryPolicy::isInScope(request, endpoint) &&
           collaborators_.prefills.prefillTime(request, endpoint) +
                   collaborators_.firstTokens.baselineTime() <=
               allowedTime;
  });
}

bool AdmissionController::mayDecodeLater(const TrackedRequest& request) const {
  const EstimatedTime remaining = toEstimate(request.deadline - collaborators_.context.now());
  return remaining > collaborators_.firstTokens.baselineTime() && anyListed([&](const Endpoint& endpoint) {
           return endpoint.role != Role::prefill && RetryPolicy::isInScope(request, endpoint);
         });
}

Micros AdmissionController::retryAfter(const TrackedRequest& request) const {
  const Settings& settings = collaborators_.settings;
  if (!settings.passesRetryAfter) return 0;
  const Micros maxDelay = settings.maxRetryAfter > 0 ? settings.maxRetryAfter : request.requestClass.deadline;
  const EstimatedTime delay =
      std::min(toEstimate(maxDelay), std::max(request.excessTime, kMinRetryAfterShare * smallestObjective_));
  return std::max<Micros>(1000, toMicros(delay * (1 - kRetryAfterJitter * collaborators_.context.uniform())));
}

}  // namespace garnethook::policy
