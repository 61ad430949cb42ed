/// Interface to observe a router, for logs, recordings and token counts.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "routing/completion.h"
#include "routing/endpoint_restart.h"
#include "routing/engine_client.h"
#include "routing/kv_reservation_event.h"
#include "routing/rule_guard.h"

namespace garnethook::routing {

/// Receives notifications of a router, synchronously and on the router's thread. Must not call the router.
class Observer {
 public:
  virtual ~Observer() = default;
  /// An attempt is about to start.
  virtual void onAttempt(const AttemptSpec&) {}
  /// An attempt was ended by its engine or by the router.
  virtual void onAttemptEnded(AttemptId, EndpointId, const AttemptResult&) {}
  /// An engine processed the prompt and reported its number of tokens.
  virtual void onPromptTokensReported(EndpointId, const Request&, double /*tokens*/) {}
  /// A client is about to receive its completion; `duration`: time since the request arrived, in
  /// microseconds.
  virtual void onCompletion(RequestId, const Request&, const Completion&, Micros /*duration*/) {}
  /// A client disconnected or cancelled its request.
  virtual void onCancelled(RequestId) {}
  /// The routing policy wrote a log text; see withEndpointNames().
  virtual void onPolicyLog(const std::string&) {}
  /// An action of the policy or a release call threw an exception.
  virtual void onActionFailed(const std::string& /*error*/) {}
  /// A rule was violated, or would have been; see RuleGuard.
  virtual void onViolation(Violation, RequestId, const Request&) {}
  /// A release call is about to be sent to an endpoint.
  virtual void onRelease(const ReleaseCall&, std::string_view /*traceId*/) {}
  /// A release call ended.
  virtual void onReleaseEnded(const ReleaseCall&, bool /*ok*/) {}
  /// The request's KV reservations are due for release while its attempt is in flight; see DeliveryState.
  virtual void onReleaseDue(AttemptId, EndpointId, DeliveryState) {}
  /// The tracked state of a KV reservation changed.
  virtual void onKvReservation(const KvReservationEvent&) {}
  /// The endpoint list reported a new start of an endpoint.
  virtual void onEndpointRestarted(const EndpointRestartEvent&) {}
  /// The policy handled an event and returned these actions, for recordings.
  virtual void onDecision(Micros, const Event&, const std::vector<Action>&) {}
};

}  // namespace garnethook::routing
