/// What happens in a router, for logs, recordings and token counts.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "routing/completion.h"
#include "routing/engine_client.h"
#include "routing/kv_reservation_event.h"
#include "routing/rule_guard.h"

namespace garnethook::routing {

/// Called at once, on the router's thread; must not call the router.
class Observer {
 public:
  virtual ~Observer() = default;
  /// An attempt is about to begin.
  virtual void onAttempt(const AttemptSpec&) {}
  /// An attempt ended, by its engine or by the router.
  virtual void onAttemptEnded(AttemptId, EndpointId, const AttemptResult&) {}
  /// An engine read the prompt and reported how many tokens it has.
  virtual void onPromptTokensReported(EndpointId, const Request&, double /*tokens*/) {}
  /// A client is about to receive its completion; `duration`: since its arrival, in microseconds.
  virtual void onCompletion(RequestId, const Request&, const Completion&, Micros /*duration*/) {}
  /// A client has gone, or wants no more.
  virtual void onCancelled(RequestId) {}
  /// A log text of the routing policy; see withEndpointNames().
  virtual void onPolicyLog(const std::string&) {}
  /// An action of the policy threw when it was executed.
  virtual void onActionFailed(const std::string& /*error*/) {}
  /// A rule would have been broken, or was: see RuleGuard.
  virtual void onViolation(Violation, RequestId, const Request&) {}
  /// An endpoint is asked to release what it reserves for a request.
  virtual void onRelease(const ReleaseCall&, std::string_view /*traceId*/) {}
  /// How such a release ended.
  virtual void onReleaseEnded(const ReleaseCall&, bool /*ok*/) {}
  /// What is known of a KV reservation has changed.
  virtual void onKvReservation(const KvReservationEvent&) {}
  /// Every event given to the policy and the actions it answered with, for recordings.
  virtual void onDecision(Micros, const Event&, const std::vector<Action>&) {}
};

}  // namespace garnethook::routing
