#include "routing/rule_enforcer.h"

namespace garnethook::routing {

bool RuleEnforcer::checkAttempt(const ActiveRequest& active, EndpointId endpoint) {
  const auto violation =
      RuleGuard::check({.requestClass = classOf(active),
                        .history = active.history,
                        .firstExecutedAt = active.firstExecutedAt,
                        .target = endpoints_.locationOf(endpoint).value_or(EndpointLocation()),
                        .phase = endpoints_.phaseAt(endpoint, active.kvEndpoint.has_value()),
                        .isFinished = active.isFinished(),
                        .hasAttemptInFlight = active.attempt.has_value(),
                        .now = context_.timers.now()});
  if (violation) report(*violation, active);
  return !violation;
}

bool RuleEnforcer::mayReject(const ActiveRequest& active) const {
  const bool possiblyExecuted = active.history.possiblyExecuted || active.isGenerating();
  return routing::mayReject(classOf(active), {.possiblyExecuted = possiblyExecuted});
}

void RuleEnforcer::checkCompletionTime(const ActiveRequest& active) {
  const Micros deadline = active.arrivedAt + active.request.remaining;
  if (RuleGuard::isLate(context_.timers.now(), deadline, context_.options.settings.answerSlack))
    report(Violation::lateCompletion, active);
}

void RuleEnforcer::report(Violation violation, const ActiveRequest& active) {
  guard_.record(violation);
  context_.observer.onViolation(violation, active.id, active.request);
}

void RuleEnforcer::recordPossibleExecution(ActiveRequest& active, const InFlightAttempt& attempt) const {
  if (!active.history.possiblyExecuted)
    if (const auto location = endpoints_.locationOf(attempt.endpoint)) active.firstExecutedAt = location;
  active.history.recordPossibleExecution(attempt.sentAt);
}

}  // namespace garnethook::routing
