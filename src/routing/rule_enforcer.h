/// Applies the platform's rules to the requests of a router.
#pragma once

#include "routing/active_request.h"
#include "routing/endpoint_directory.h"
#include "routing/router_context.h"
#include "routing/rule_guard.h"

namespace garnethook::routing {

/// Checks active requests with RuleGuard, and counts and reports violations.
class RuleEnforcer {
 public:
  /// `context` and `endpoints` must outlive this object.
  RuleEnforcer(const RouterContext& context, const EndpointDirectory& endpoints)
      : context_(context), endpoints_(endpoints) {}

  /// Returns whether the rules allow an attempt at the endpoint; reports the violation if they do not.
  bool checkAttempt(const ActiveRequest& active, EndpointId endpoint);
  /// Returns whether the rules permit rejecting the request.
  bool mayReject(const ActiveRequest& active) const;
  /// Reports a violation if the request is completed too late; see RuleGuard::isLate().
  void checkCompletionTime(const ActiveRequest& active);
  /// Counts and reports a violation.
  void report(Violation violation, const ActiveRequest& active);
  /// Records that this attempt may have executed the request.
  void recordPossibleExecution(ActiveRequest& active, const InFlightAttempt& attempt) const;
  /// Returns the request's class.
  const RequestClass& classOf(const ActiveRequest& active) const {
    return context_.options.settings.classes[active.request.requestClass];
  }
  /// Rule checks, with the numbers of violations.
  const RuleGuard& guard() const { return guard_; }

 private:
  const RouterContext& context_;
  const EndpointDirectory& endpoints_;
  RuleGuard guard_;
};

}  // namespace garnethook::routing
