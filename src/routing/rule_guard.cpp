#include "routing/rule_guard.h"

#include <numeric>

namespace garnethook::routing {
namespace {

bool inGroup(DeduplicationScope scope, const EndpointLocation& first, const EndpointLocation& target) {
  switch (scope) {
    case DeduplicationScope::fleet: return true;
    case DeduplicationScope::zone: return first.zone == target.zone;
    case DeduplicationScope::cell: return first.cell == target.cell;
  }
  return false;
}

}  // namespace

std::string_view name(Violation violation) {
  switch (violation) {
    case Violation::concurrentAttempt: return "concurrent-attempt";
    case Violation::attemptAfterCompletion: return "attempt-after-completion";
    case Violation::retryOfNonIdempotent: return "retry-of-non-idempotent";
    case Violation::retryOutsideDeduplicationWindow: return "retry-outside-window";
    case Violation::retryOutsideDeduplicationScope: return "retry-outside-scope";
    case Violation::rejectionAfterExecution: return "rejection-after-execution";
    case Violation::lateCompletion: return "late-completion";
    case Violation::count_: break;
  }
  return "unknown";
}

// Reading is no effect, so only attempts that answer may repeat work.
std::optional<Violation> RuleGuard::judge(const AttemptQuestion& question) {
  if (question.answered) return Violation::attemptAfterCompletion;
  if (question.attemptOut) return Violation::concurrentAttempt;
  const RequestClass& c = question.requestClass;
  if (!question.exposure.possiblyExecuted || c.idempotency == Idempotency::idempotent ||
      question.phase == Phase::prefill)
    return std::nullopt;
  if (c.idempotency == Idempotency::nonIdempotent) return Violation::retryOfNonIdempotent;
  if (question.now > retryUntil(c, question.exposure)) return Violation::retryOutsideDeduplicationWindow;
  if (question.firstPlace && !inGroup(c.deduplicationScope, *question.firstPlace, question.target))
    return Violation::retryOutsideDeduplicationScope;
  return std::nullopt;
}

std::uint64_t RuleGuard::all() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

}  // namespace garnethook::routing
