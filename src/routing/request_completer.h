/// Gives clients their completion.
#pragma once

#include "routing/request_table.h"
#include "routing/router_context.h"
#include "routing/rule_enforcer.h"

namespace garnethook::routing {

/// Completes requests, once each, and counts how they ended.
class RequestCompleter {
 public:
  /// All arguments are referred to.
  RequestCompleter(const RouterContext& context, RequestTable& requests, RuleEnforcer& rules)
      : context_(context), requests_(requests), rules_(rules) {}
  /// Completes a pending request. Its client is called, which may call the router: `active` may be gone
  /// afterwards.
  void complete(ActiveRequest& active, Completion completion);

 private:
  void count(const Completion& completion);

  const RouterContext& context_;
  RequestTable& requests_;
  RuleEnforcer& rules_;
};

}  // namespace garnethook::routing
