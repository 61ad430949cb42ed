/// @file
/// Rules for retries: timeouts of attempts, whether and where a request may be retried, and whether it may be
/// rejected.
#pragma once

#include "policy/attempt_timeouts.h"
#include "policy/decision_context.h"
#include "policy/endpoint.h"
#include "policy/first_token_estimator.h"

namespace garnethook::policy {

/// Ensures that a possibly executed request is retried only where a repeated execution is harmless.
class RetryPolicy {
 public:
  /// Dependencies of the policy.
  struct Collaborators {
    const DecisionContext& context;          ///< Provides the current time.
    const Settings& settings;                ///< Limits the number of attempts.
    const AttemptTimeouts& timeouts;         ///< Provides the usual timeouts.
    const FirstTokenEstimator& firstTokens;  ///< Provides the time that another attempt needs.
  };
  /// The collaborators must outlive the policy.
  explicit RetryPolicy(const Collaborators& collaborators) : collaborators_(collaborators) {}

  /// Whether the deadline, the number of attempts and the idempotency of the request allow another attempt.
  bool mayAttempt(const TrackedRequest& request) const;
  /// Whether the request has had as many attempts as it may have. An attempt that its endpoint rejected,
  /// which proves that nothing ran, does not count, up to a limit.
  bool hasUsedAllAttempts(const TrackedRequest& request) const;
  /// Whether an attempt may be sent to the endpoint: once possibly executed, a request that is not idempotent
  /// must stay within its deduplication scope.
  static bool isInScope(const TrackedRequest& request, const Endpoint& endpoint);
  /// Whether the request may be rejected. A rejection guarantees to the client that a retry is harmless.
  static bool mayReject(const TrackedRequest& request);
  /// Returns the timeout of the next attempt, which leaves time for another attempt if possible. Returns 0,
  /// no timeout, if abandoning the attempt would leave a request that is not idempotent possibly executed.
  Micros timeoutFor(const TrackedRequest& request, const InFlightAttempt& attempt) const;

 private:
  bool isRetrySafe(const TrackedRequest& request) const;
  int attemptsLeft(const TrackedRequest& request) const;

  Collaborators collaborators_;
};

}  // namespace garnethook::policy
