/// The attempts of requests: how they begin and end, their timers, and whether they arrive.
#pragma once

#include "routing/endpoint_directory.h"
#include "routing/kv_reservation_releaser.h"
#include "routing/policy_event_queue.h"
#include "routing/request_completer.h"
#include "routing/request_table.h"
#include "routing/router_context.h"
#include "routing/rule_enforcer.h"

namespace garnethook::routing {

/// For the policy, an attempt that ends by the client or the router, so that nothing can be concluded about
/// its endpoint, ends with this outcome.
inline constexpr Outcome kNeutralOutcome = Outcome::notSent;

/// Runs the one attempt that a request may have in flight.
class AttemptRunner {
 public:
  /// The parts of the router that attempts need; all are referred to.
  struct Parts {
    RequestTable& requests;               ///< The active requests.
    const EndpointDirectory& endpoints;   ///< What endpoints are.
    RuleEnforcer& rules;                  ///< The rules.
    KvReservationReleaser& reservations;  ///< KV cache reservations.
    RequestCompleter& completer;          ///< Completes requests.
    PolicyEventQueue& events;             ///< Is told how attempts end.
  };
  /// `context` is referred to.
  AttemptRunner(const RouterContext& context, const Parts& parts) : context_(context), parts_(parts) {}

  /// Begins an attempt that the rules allow.
  void start(ActiveRequest& active, const Send& send);
  /// Ends the attempt in flight by the router's own decision. `requestEnded`: so has the request. Events may
  /// be processed: `active` may be gone afterwards.
  void end(ActiveRequest& active, Outcome outcome, bool requestEnded);
  /// The engine ended the attempt.
  void onAttemptEnded(AttemptId id, const AttemptResult& result);
  /// The engine client has checked whether the attempt's engine is alive.
  void onLivenessChecked(AttemptId id, bool alive);

 private:
  void startTimers(AttemptId id, InFlightAttempt& attempt, Micros timeout,
                   const std::optional<Micros>& releaseDueAt);
  AttemptSpec specOf(const ActiveRequest& active, Micros timeout, bool isReleaseDue) const;
  void onTimeout(AttemptId id);
  void onReleaseDue(AttemptId id);
  bool hasReachedEndpoint(AttemptId id, const InFlightAttempt& attempt) const;
  InFlightAttempt takeAttempt(ActiveRequest& active);
  void recordUsage(ActiveRequest& active, const InFlightAttempt& attempt, const AttemptResult& result);
  void applyResult(ActiveRequest& active, const InFlightAttempt& attempt, const AttemptResult& result,
                   AttemptEnded& event);
  void applyCompleted(ActiveRequest& active, const InFlightAttempt& attempt, const AttemptResult& result);
  void applyFailure(ActiveRequest& active, const InFlightAttempt& attempt, const AttemptResult& result,
                    AttemptEnded& event);

  const RouterContext& context_;
  Parts parts_;
};

}  // namespace garnethook::routing
