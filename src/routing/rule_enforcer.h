/// Applies the platform's rules to the requests of a router.
#pragma once

#include "routing/active_request.h"
#include "routing/endpoint_directory.h"
#include "routing/router_context.h"
#include "routing/rule_guard.h"

namespace garnethook::routing {

/// Checks active requests by RuleGuard, and counts and reports violations.
class RuleEnforcer {
 public:
  /// `context` and `endpoints` are referred to.
  RuleEnforcer(const RouterContext& context, const EndpointDirectory& endpoints)
      : context_(context), endpoints_(endpoints) {}

  /// Whether an attempt at the endpoint breaks no rule; a violation is reported.
  bool checkAttempt(const ActiveRequest& active, EndpointId endpoint);
  /// Whether the request may be rejected.
  bool mayReject(const ActiveRequest& active) const;
  /// Reports a completion that comes too late.
  void checkCompletionTime(const ActiveRequest& active);
  /// Counts and reports a violation.
  void report(Violation violation, const ActiveRequest& active);
  /// The request may have been executed by this attempt.
  void recordPossibleExecution(ActiveRequest& active, const InFlightAttempt& attempt) const;
  /// The request's class.
  const RequestClass& classOf(const ActiveRequest& active) const {
    return context_.options.settings.classes[active.request.requestClass];
  }
  /// The counts of violations.
  const RuleGuard& guard() const { return guard_; }

 private:
  const RouterContext& context_;
  const EndpointDirectory& endpoints_;
  RuleGuard guard_;
};

}  // namespace garnethook::routing
