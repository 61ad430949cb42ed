/// @file
/// Timeouts of attempts, whether a request may be tried again and where, and whether it may be rejected.
#pragma once

#include "policy/attempt_timeouts.h"
#include "policy/decision_context.h"
#include "policy/endpoint.h"
#include "policy/first_token_estimator.h"

namespace garnethook::policy {

/// Keeps the rule that a request which was possibly executed is repeated only where that does no harm.
class RetryPolicy {
 public:
  /// What the policy works with.
  struct Collaborators {
    const DecisionContext& context;          ///< The time.
    const Settings& settings;                ///< Allowed attempts.
    const AttemptTimeouts& timeouts;         ///< Usual timeouts.
    const FirstTokenEstimator& firstTokens;  ///< Time that one more attempt needs.
  };
  /// The collaborators must outlive the policy.
  explicit RetryPolicy(const Collaborators& collaborators) : collaborators_(collaborators) {}

  /// Whether another attempt may be sent at all: the deadline, the number of attempts and the rule above
  /// allow it.
  bool mayAttempt(const TrackedRequest& request) const;
  /// Whether an attempt may be sent there: after a possible execution only within the deduplication scope.
  static bool isInScope(const TrackedRequest& request, const Endpoint& endpoint);
  /// Whether the request may be rejected, which promises its client that a retry is harmless.
  static bool mayReject(const TrackedRequest& request);
  /// Timeout of the next attempt, with room for one more where time allows; 0: none, as giving up on the
  /// attempt would leave the request possibly executed.
  Micros timeoutFor(const TrackedRequest& request, const InFlightAttempt& attempt) const;

 private:
  bool isRetrySafe(const TrackedRequest& request) const;

  Collaborators collaborators_;
};

}  // namespace garnethook::policy
