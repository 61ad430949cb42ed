/// Delivers completions to clients.
#pragma once

#include "routing/request_table.h"
#include "routing/router_context.h"
#include "routing/rule_enforcer.h"

namespace garnethook::routing {

/// Completes each request once and counts the dispositions.
class RequestCompleter {
 public:
  /// All arguments must outlive this object.
  RequestCompleter(const RouterContext& context, RequestTable& requests, RuleEnforcer& rules)
      : context_(context), requests_(requests), rules_(rules) {}
  /// Completes a pending request. Calls its client, which may call the router; `active` may be erased
  /// afterwards.
  void complete(ActiveRequest& active, Completion completion);

 private:
  void count(const Completion& completion);

  const RouterContext& context_;
  RequestTable& requests_;
  RuleEnforcer& rules_;
};

}  // namespace garnethook::routing
