#include "policy/retry_policy.h"

#include <algorithm>

namespace garnethook::policy {

bool RetryPolicy::mayAttempt(const TrackedRequest& request) const {
  return collaborators_.context.now() < request.deadline && !hasUsedAllAttempts(request) &&
         isRetrySafe(request);
}

bool RetryPolicy::hasUsedAllAttempts(const TrackedRequest& request) const {
  return attemptsLeft(request) <= 0;
}

int RetryPolicy::attemptsLeft(const TrackedRequest& request) const {
  return collaborators_.settings.maxAttempts - (request.attempts - request.uncountedRejections);
}

bool RetryPolicy::isRetrySafe(const TrackedRequest& request) const {
  const RequestClass& requestClass = request.requestClass;
  if (!request.possiblyExecutedAt || requestClass.idempotency == Idempotency::idempotent) return true;
  return requestClass.idempotency == Idempotency::idempotentWithKey &&
         collaborators_.context.now() - request.possiblyExecutedSince < requestClass.deduplicationWindow;
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
  if (request.attempt) return false;  // may still be executed
  const bool isDeduplicated = requestClass.idempotency == Idempotency::idempotentWithKey &&
                              requestClass.deduplicationScope == DeduplicationScope::fleet;
  return isDeduplicated || !request.possiblyExecutedAt;
}

Micros RetryPolicy::timeoutFor(const TrackedRequest& request, const InFlightAttempt& attempt) const {
  if (attempt.phase != Phase::prefill && request.requestClass.idempotency != Idempotency::idempotent)
    return 0;
  const EstimatedTime remainingTime = toEstimate(request.deadline - collaborators_.context.now());
  const EstimatedTime spare =
      remainingTime - attempt.predictedTime - collaborators_.firstTokens.baselineTime();
  const bool isLast = attemptsLeft(request) <= 1;
  const EstimatedTime limit =
      isLast ? remainingTime
             : std::min(collaborators_.timeouts.usualTimeout(attempt), std::max(spare, remainingTime / 2));
  return std::max<Micros>(1, toMicros(std::min(limit, remainingTime)));
}

}  // namespace garnethook::policy
