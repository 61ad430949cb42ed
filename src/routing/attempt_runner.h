/// Starts and ends the attempts of requests, runs their timers and monitors whether they reach their engines.
#pragma once

#include "routing/endpoint_directory.h"
#include "routing/kv_reservation_releaser.h"
#include "routing/policy_event_queue.h"
#include "routing/request_completer.h"
#include "routing/request_table.h"
#include "routing/router_context.h"
#include "routing/rule_enforcer.h"

namespace garnethook::routing {

/// Outcome reported to the policy for an attempt that was ended by the client or the router, which permits no
/// conclusion about its endpoint.
inline constexpr Outcome kNeutralOutcome = Outcome::notSent;

/// Manages the attempt in flight of each request; a request has at most one.
class AttemptRunner {
 public:
  /// The components of the router that attempts use; all must outlive the AttemptRunner.
  struct Dependencies {
    RequestTable& requests;               ///< The active requests.
    const EndpointDirectory& endpoints;   ///< Roles and locations of endpoints.
    RuleEnforcer& rules;                  ///< The platform's rules.
    KvReservationReleaser& reservations;  ///< KV reservations.
    RequestCompleter& completer;          ///< Completes requests.
    PolicyEventQueue& events;             ///< Is notified of the end of each attempt.
  };
  /// `context` must outlive this object.
  AttemptRunner(const RouterContext& context, const Dependencies& deps) : context_(context), deps_(deps) {}

  /// Starts an attempt. The caller has checked that the rules allow it.
  void start(ActiveRequest& active, const Send& send);
  /// Ends the attempt in flight by decision of the router or the policy. `requestEnded`: the request has
  /// ended too. Processes events, which may erase `active`.
  void end(ActiveRequest& active, Outcome outcome, bool requestEnded);
  /// Handles the end of an attempt reported by the engine client.
  void onAttemptEnded(AttemptId id, const AttemptResult& result);

 private:
  void startTimers(AttemptId id, InFlightAttempt& attempt, Micros timeout,
                   const std::optional<Micros>& releaseDueAt);
  AttemptSpec makeSpec(const ActiveRequest& active, Micros timeout, bool isReleaseDue) const;
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
  Dependencies deps_;
};

}  // namespace garnethook::routing
