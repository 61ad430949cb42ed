/// Records whether a request was possibly executed, and determines from it which retries and rejections are
/// allowed (rule 2: a rejection guarantees to the client that a retry is safe).
#pragma once

#include <utility>

#include "policy/routing_policy.h"

namespace garnethook::routing {

/// Possible executions of a request so far. Prefill attempts do not count: their only effect is a KV
/// reservation.
struct ExecutionHistory {
  /// Whether a decode or combined attempt ended without proof that it never ran, or its response has started.
  bool possiblyExecuted = false;
  /// When the first such attempt was sent, on the monotonic clock.
  Micros firstSentAt = 0;

  /// Records such an attempt, sent at `sentAt`.
  void recordPossibleExecution(Micros sentAt) {
    if (!std::exchange(possiblyExecuted, true)) firstSentAt = sentAt;
  }
};

/// Returns the latest time at which a further attempt may be sent; 0 if there is no limit. Engines store
/// idempotency keys only for the deduplication window and would execute the request a second time after it.
inline Micros retryUntil(const RequestClass& requestClass, const ExecutionHistory& history) {
  return history.possiblyExecuted && requestClass.idempotency == Idempotency::idempotentWithKey
             ? history.firstSentAt + requestClass.deduplicationWindow
             : 0;
}

/// Returns whether the request may be rejected, after which its client may retry it at any endpoint.
inline bool mayReject(const RequestClass& requestClass, const ExecutionHistory& history) {
  if (!history.possiblyExecuted || requestClass.idempotency == Idempotency::idempotent) return true;
  return requestClass.idempotency == Idempotency::idempotentWithKey &&
         requestClass.deduplicationScope == DeduplicationScope::fleet;
}

/// Returns whether an outcome proves that a decode or combined attempt never ran.
inline bool provesNotExecuted(Outcome outcome) {
  return outcome == Outcome::rejected || outcome == Outcome::connectFailed || outcome == Outcome::notSent ||
         outcome == Outcome::prefillDone;
}

}  // namespace garnethook::routing
