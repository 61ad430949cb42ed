#include "routing/rule_guard.h"

#include <numeric>

namespace garnethook::routing {
namespace {

bool isInScope(DeduplicationScope scope, const EndpointLocation& firstLocation,
               const EndpointLocation& target) {
  switch (scope) {
    case DeduplicationScope::fleet: return true;
    case DeduplicationScope::zone: return firstLocation.zone == target.zone;
    case DeduplicationScope::cell: return firstLocation.cell == target.cell;
  }
  return false;
}

}  // namespace

std::string_view name(Violation violation) {
  switch (violation) {
    case Violation::concurrentAttempt: return "concurrent-attempt";
    case Violation::attemptAfterCompletion: return "attempt-after-completion";
    case Violation::retryOfNonIdempotent: return "retry-of-non-idempotent";
    case Violation::retryOutsideDeduplicationWindow: return "retry-outside-deduplication-window";
    case Violation::retryOutsideDeduplicationScope: return "retry-outside-deduplication-scope";
    case Violation::rejectionAfterExecution: return "rejection-after-execution";
    case Violation::lateCompletion: return "late-completion";
    case Violation::count_: break;
  }
  return "unknown";
}

std::optional<Violation> RuleGuard::check(const AttemptContext& context) {
  if (context.isFinished) return Violation::attemptAfterCompletion;
  if (context.hasAttemptInFlight) return Violation::concurrentAttempt;
  const RequestClass& requestClass = context.requestClass;
  // A prefill has no effect that could be repeated, so only decode and combined attempts are restricted.
  if (!context.history.possiblyExecuted || requestClass.idempotency == Idempotency::idempotent ||
      context.phase == Phase::prefill)
    return std::nullopt;
  if (requestClass.idempotency == Idempotency::nonIdempotent) return Violation::retryOfNonIdempotent;
  if (context.now > retryUntil(requestClass, context.history))
    return Violation::retryOutsideDeduplicationWindow;
  if (context.firstExecutedAt &&
      !isInScope(requestClass.deduplicationScope, *context.firstExecutedAt, context.target))
    return Violation::retryOutsideDeduplicationScope;
  return std::nullopt;
}

std::uint64_t RuleGuard::total() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

}  // namespace garnethook::routing
