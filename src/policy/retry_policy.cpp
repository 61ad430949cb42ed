#include "policy/retry_policy.h"

#include <algorithm>

namespace garnethook::policy {

bool RetryPolicy::mayTry(const TrackedRequest& request) const {
  return with_.context.now() < request.deadline && request.attempts < with_.settings.maxAttempts &&
         isRepeatable(request);
}

bool RetryPolicy::isRepeatable(const TrackedRequest& request) const {
  const RequestClass& requestClass = request.requestClass;
  if (!request.possiblyExecutedAt || requestClass.idempotency == Idempotency::idempotent) return true;
  return requestClass.idempotency == Idempotency::idempotentWithKey &&
         with_.context.now() - request.possiblyExecutedSince < requestClass.deduplicationWindow;
}

bool RetryPolicy::isInScope(const TrackedRequest& request, const Endpoint& endpoint) {
  const RequestClass& requestClass = request.requestClass;
  if (!request.possiblyExecutedAt || requestClass.idempotency == Idempotency::idempotent) return true;
  switch (requestClass.deduplicationScope) {
    case DeduplicationScope::fleet: return true;
    case DeduplicationScope::zone: return endpoint.entry.zone == request.possiblyExecutedAt->zone;
    case DeduplicationScope::cell: return endpoint.entry.cell == request.possiblyExecutedAt->cell;
  }
  return false;
}

bool RetryPolicy::mayReject(const TrackedRequest& request) {
  const RequestClass& requestClass = request.requestClass;
  if (requestClass.idempotency == Idempotency::idempotent) return true;
  if (request.attempt) return false;  // it may yet be executed
  const bool isDeduplicated = requestClass.idempotency == Idempotency::idempotentWithKey &&
                              requestClass.deduplicationScope == DeduplicationScope::fleet;
  return isDeduplicated || !request.possiblyExecutedAt;
}

Micros RetryPolicy::timeoutFor(const TrackedRequest& request, const InFlightAttempt& attempt) const {
  if (attempt.phase != Phase::prefill && request.requestClass.idempotency != Idempotency::idempotent)
    return 0;
  const double left = asDouble(request.deadline - with_.context.now());
  const double spare = left - attempt.predictedTime - with_.firstTokens.baselineTime();
  const bool isLast = request.attempts + 1 >= with_.settings.maxAttempts;
  const double limit =
      isLast ? left : std::min(with_.timeouts.usualTimeout(attempt), std::max(spare, left / 2));
  return std::max<Micros>(1, asMicros(std::min(limit, left)));
}

}  // namespace garnethook::policy
