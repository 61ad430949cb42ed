// Rule 2 for endings that the router itself gives: a refusal promises that a repeat does no harm.
#pragma once

#include <utility>

#include "routing/types.h"

namespace garnethook::routing {

// What may have happened to a request so far.
struct ExecutionHistory {
  bool possiblyExecuted = false;  // an attempt to answer it is out, or ended without proof that it never ran
  Micros since = 0;               // when the first of those that ended so was sent

  void note(Micros sentAt) {
    if (!std::exchange(possiblyExecuted, true)) since = sentAt;
  }
};

// Until when a further attempt may be sent: engines remember keyed work for a while only, and run it twice
// after that. 0: any time.
inline Micros retryUntil(const RequestClass& c, const ExecutionHistory& exposure) {
  return exposure.possiblyExecuted && c.idempotency == Idempotency::idempotentWithKey
             ? exposure.since + c.deduplicationWindow
             : 0;
}

// Reading is no effect (a read leaves nothing but a state), so only writing and whole attempts expose.
inline bool mayReject(const RequestClass& c, const ExecutionHistory& exposure) {
  if (!exposure.possiblyExecuted || c.idempotency == Idempotency::idempotent) return true;
  return c.idempotency == Idempotency::idempotentWithKey && c.deduplicationScope == DeduplicationScope::fleet;
}

// Whether an outcome proves that the attempt never ran.
inline bool provesNotRun(Outcome outcome) {
  return outcome == Outcome::rejected || outcome == Outcome::connectFailed || outcome == Outcome::notSent ||
         outcome == Outcome::prefillDone;
}

}  // namespace garnethook::routing
