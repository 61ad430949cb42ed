/// Whether a request may have been executed, and what follows from that for retries and rejections (rule 2: a
/// rejection promises that a repeat does no harm).
#pragma once

#include <utility>

#include "policy/routing_policy.h"

namespace garnethook::routing {

/// What may have happened to a request so far. Prefill attempts do not count: they leave nothing but a KV
/// cache reservation.
struct ExecutionHistory {
  /// A decode or combined attempt ended without proof that it never ran, or its answer has begun.
  bool possiblyExecuted = false;
  /// When the first such attempt was sent, on the monotonic clock.
  Micros firstSentAt = 0;

  /// Such an attempt was sent at `sentAt`.
  void recordPossibleExecution(Micros sentAt) {
    if (!std::exchange(possiblyExecuted, true)) firstSentAt = sentAt;
  }
};

/// Until when a further attempt may be sent: engines remember idempotency keys for a while only, and run the
/// work a second time after that. 0: at any time.
inline Micros retryUntil(const RequestClass& requestClass, const ExecutionHistory& history) {
  return history.possiblyExecuted && requestClass.idempotency == Idempotency::idempotentWithKey
             ? history.firstSentAt + requestClass.deduplicationWindow
             : 0;
}

/// Whether the request may be rejected, so that its client may repeat it anywhere.
inline bool mayReject(const RequestClass& requestClass, const ExecutionHistory& history) {
  if (!history.possiblyExecuted || requestClass.idempotency == Idempotency::idempotent) return true;
  return requestClass.idempotency == Idempotency::idempotentWithKey &&
         requestClass.deduplicationScope == DeduplicationScope::fleet;
}

/// Whether an outcome proves that a decode or combined attempt never ran.
inline bool provesNotExecuted(Outcome outcome) {
  return outcome == Outcome::rejected || outcome == Outcome::connectFailed || outcome == Outcome::notSent ||
         outcome == Outcome::prefillDone;
}

}  // namespace garnethook::routing
